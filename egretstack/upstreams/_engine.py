"""The interface of a client for a model engine.

Generations follow the OpenAI Responses API: they are created with a streamed answer, resumed
after a sequence number, and cancelled by id.
"""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from enum import Enum

from egretstack.ids import GenerationId, ModelName


class EngineError(Exception):
    """A request to an engine failed."""


class EngineUnreachable(EngineError):
    """No connection was made: nothing was sent."""


class EngineNoAnswer(EngineUnreachable):
    """No connection was made in time; the engine may be stalled, or have ended unnoticed."""


class EngineRefused(EngineError):
    """The engine answered that it accepts no new generation now."""

    def __init__(self, detail: str, retry_after_s: float | None) -> None:
        super().__init__(detail)
        self.retry_after_s = retry_after_s


class EngineBroken(EngineError):
    """The connection broke; the generation may still be in progress."""


class EngineSilent(EngineError):
    """Nothing arrived before the read timeout; the connection may be dead, or the engine busy."""


class GenerationNotFound(EngineError):
    """The engine answered that it no longer has the generation."""


@dataclass(frozen=True)
class GenerationRequest:
    """A request for a generation. `priority` is higher for more valuable requests."""

    model: ModelName
    prompt: str
    max_output_tokens: int
    priority: int


class EngineEventKind(Enum):
    """The kind of a stream's event, by its name in the Responses API."""

    CREATED = "response.created"
    TOKEN = "response.output_text.delta"
    COMPLETED = "response.completed"
    FAILED = "response.failed"
    CANCELLED = "response.cancelled"


@dataclass(frozen=True, slots=True)
class EngineEvent:
    """One event: its generation, its sequence number, and the text that it adds."""

    generation: GenerationId
    sequence: int
    kind: EngineEventKind
    text: str = ""


class GenerationState(Enum):
    """The state of a generation, as its engine reports it."""

    QUEUED = "queued"
    RUNNING = "in_progress"
    COMPLETED = "completed"
    CANCELLED = "cancelled"
    FAILED = "failed"


@dataclass(frozen=True)
class LoadReport:
    """An engine's report of its load.

    `age_s` is how old the report was when it was read, in seconds on the engine's clock.
    """

    age_s: float
    running: int
    waiting: int
    kv_used_tokens: int
    kv_capacity_tokens: int
    preemptions: int
    leaving: bool = False
    """The engine reports that it must get no new requests."""


@dataclass(frozen=True)
class CacheEvent:
    """A prompt prefix entered or left an engine's cache. Events arrive late and with gaps."""

    number: int
    prefix: str
    stored: bool


@dataclass(frozen=True)
class Order:
    """An order to an engine: the models to serve, with an id and a fencing number."""

    id: str
    fencing: int
    models: tuple[ModelName, ...]


class OrderRefused(EngineError):
    """The engine refused an order because it has seen a newer fencing number."""


EngineStream = AbstractAsyncContextManager[AsyncIterator[EngineEvent]]


class EngineClient(ABC):
    """A client of one engine. Streams that end early raise EngineBroken or EngineSilent."""

    @abstractmethod
    def generate(self, request: GenerationRequest) -> EngineStream:
        """Start a generation. Raises EngineUnreachable, EngineRefused, EngineBroken."""

    @abstractmethod
    def resume(self, generation: GenerationId, after: int) -> EngineStream:
        """Resume a generation's stream with the event after sequence number `after`.

        Raises EngineUnreachable, EngineBroken, GenerationNotFound.
        """

    @abstractmethod
    async def cancel(self, generation: GenerationId) -> None:
        """Cancel a generation; a missing one is no error. Raises EngineError."""

    @abstractmethod
    async def state(self, generation: GenerationId) -> GenerationState:
        """Query a generation's state over a new connection.

        Raises EngineError, GenerationNotFound.
        """

    @abstractmethod
    async def load(self) -> LoadReport:
        """Fetch the latest load report. Raises EngineError."""

    @abstractmethod
    async def cache_events(self, after: int) -> list[CacheEvent]:
        """Fetch the cache events numbered above `after`; numbers may be missing."""

    @abstractmethod
    async def models(self) -> tuple[ModelName, ...]:
        """Fetch the models that the engine serves now. Raises EngineError."""

    @abstractmethod
    async def order(self, order: Order) -> None:
        """Send an order. Raises OrderRefused, EngineError."""
