"""Replays recorded traces under the scheduling policies, against a model of the engines."""

from egretstack.replay._deployment import Deployment, EngineSpec, ServiceTerms, read_deployment
from egretstack.replay._engine_model import (
    EngineModel,
    EngineParameters,
    LoadSnapshot,
    ModelOutput,
    OutputKind,
    StepResult,
)
from egretstack.replay._figures import STALL_STEPS, Figures, Tally
from egretstack.replay._run import ALL_POLICIES, replay, resolve_policy_names
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
    "Deployment",
    "StepResult",
    "Tally",
    "TraceLine",
    "resolve_policy_names",
    "read_deployment",
    "read_trace",
    "replay",
]
