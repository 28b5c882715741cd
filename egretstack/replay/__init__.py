"""Replay of recorded traces: a model of an engine, and later the replay itself."""

from egretstack.replay._engine_model import (
    EngineModel,
    EngineParameters,
    ModelOutput,
    OutputKind,
)

__all__ = ["EngineModel", "EngineParameters", "ModelOutput", "OutputKind"]
