"""Requests, answers and reports as typed values, independent of their names on the wire."""

from egretstack.traffic._report import MoveAnswer, MoveOutcome, RunnerReport, RunReport
from egretstack.traffic._request import ClientRequest, Fingerprint, Generation, PromptPart
from egretstack.traffic._send import (
    ContinueFrom,
    RunnerAnswer,
    RunnerHealth,
    RunnerLoad,
    SendOptions,
)

__all__ = [
    "ClientRequest",
    "ContinueFrom",
    "Fingerprint",
    "Generation",
    "MoveAnswer",
    "MoveOutcome",
    "PromptPart",
    "RunReport",
    "RunnerAnswer",
    "RunnerHealth",
    "RunnerLoad",
    "RunnerReport",
    "SendOptions",
]
