"""Relays clients' requests to runners: what may be sent again, and what has to be said else."""

from egretstack.relay._budget import RetryBudget
from egretstack.relay._client_stream import ClientStream
from egretstack.relay._crash_guard import CrashGuard
from egretstack.relay._cursor import EventCursor, EventGap
from egretstack.relay._events import EventSplitter, EventTooLarge, StreamEvent
from egretstack.relay._knowledge import RequestFailed, RunKnowledge, barred
from egretstack.relay._plain import PlainRelay, WholeAnswer
from egretstack.relay._runner_words import RunnerWords
from egretstack.relay._stream import StreamRelay
from egretstack.relay._tools import EnginePlacing, RelayTools, Task

__all__ = [
    "ClientStream",
    "CrashGuard",
    "EnginePlacing",
    "EventCursor",
    "EventGap",
    "EventSplitter",
    "EventTooLarge",
    "PlainRelay",
    "RelayTools",
    "RequestFailed",
    "RetryBudget",
    "RunKnowledge",
    "RunnerWords",
    "StreamEvent",
    "StreamRelay",
    "Task",
    "WholeAnswer",
    "barred",
]
