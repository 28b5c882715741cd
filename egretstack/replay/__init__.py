"""Replay of recorded traces through the policies, against a model of the engines."""

from egretstack.replay._engine_model import (
    EngineModel,
    EngineParameters,
    LoadSnapshot,
    ModelOutput,
    OutputKind,
    StepResult,
)
from egretstack.replay._figures import STALL_STEPS, Figures, Tally
from egretstack.replay._run import ALL_POLICIES, policies_named, replay
from egretstack.replay._site import EngineSpec, ServiceTerms, Site, read_site
from egretstack.replay._trace import TraceLine, read_trace

__all__ = [
    "ALL_POLICIES",
    "STALL_STEPS",
    "EngineModel",
    "EngineParameters",
    "EngineSpec",
    "Figures",
    "LoadSnapshot",
    "ModelOutput",
    "OutputKind",
    "ServiceTerms",
    "Site",
    "StepResult",
    "Tally",
    "TraceLine",
    "policies_named",
    "read_site",
    "read_trace",
    "replay",
]
