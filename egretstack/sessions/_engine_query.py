"""Queries an engine for a generation, and classifies failures of its stream."""

from egretstack.delivery import EngineReply, Failure
from egretstack.ids import GenerationId
from egretstack.upstreams import (
    EngineBroken,
    EngineClient,
    EngineError,
    EngineNoAnswer,
    EngineRefused,
    EngineSilent,
    EngineUnreachable,
    GenerationNotFound,
)

_FAILURE_BY_ERROR: dict[type[EngineError], Failure] = {
    EngineUnreachable: Failure.UNREACHABLE,
    EngineNoAnswer: Failure.NO_ANSWER,
    EngineRefused: Failure.REFUSED,
    EngineBroken: Failure.BROKEN,
    EngineSilent: Failure.UNRESPONSIVE,
    GenerationNotFound: Failure.MISSING,
}


class StreamFailed(Exception):
    """Reading an engine's stream failed."""

    def __init__(self, failure: Failure, detail: str, retry_after_s: float | None = None) -> None:
        super().__init__(detail)
        self.failure = failure
        self.retry_after_s = retry_after_s

    @classmethod
    def of(cls, error: EngineError) -> "StreamFailed":
        """Classify an engine client's error."""
        failure = _FAILURE_BY_ERROR.get(type(error), Failure.FAILED)
        return cls(failure, str(error), getattr(error, "retry_after_s", None))


async def query_engine(engine: EngineClient, generation: GenerationId) -> EngineReply:
    """Query over a new connection whether the engine has a generation, ended or not.

    A stream without data says nothing about the engine: the connection may be dead while new ones
    work. An engine that accepts no connection in time, or accepts one and does not answer, is
    stalled, or its host vanished without a reset; only a refused connection shows that no process
    is listening.
    """
    try:
        await engine.state(generation)
    except GenerationNotFound:
        return EngineReply.MISSING
    except (EngineNoAnswer, EngineSilent):
        return EngineReply.NO_ANSWER
    except EngineError:
        return EngineReply.REFUSED
    return EngineReply.HAS_IT
