"""What a model engine does for the system.

Generations follow the OpenAI Responses API: created with a streamed answer, resumed after a
sequence number, cancelled by id.
"""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from enum import Enum

from egretstack.ids import GenerationId, ModelName


class EngineError(Exception):
    """An engine did not do what was asked."""


class EngineUnreachable(EngineError):
    """No connection was made: nothing was sent."""


class EngineNoAnswer(EngineUnreachable):
    """No connection was made in time; the engine may be stalled, or gone without a sign."""


class EngineRefused(EngineError):
    """The engine answered that it takes no new generation now."""

    def __init__(self, detail: str, retry_after_s: float | None) -> None:
        super().__init__(detail)
        self.retry_after_s = retry_after_s


class EngineBroken(EngineError):
    """The connection broke; the generation may go on."""


class EngineSilent(EngineError):
    """Nothing came for the silence allowed; the connection may be dead, or the engine busy."""


class GenerationNotFound(EngineError):
    """The engine answers and does not have the generation any more."""


@dataclass(frozen=True)
class GenerationRequest:
    """What is asked of an engine. `priority` is higher for more valuable work."""

    model: ModelName
    prompt: str
    max_output_tokens: int
    priority: int


class EngineEventKind(Enum):
    """What an event of a stream says."""

    CREATED = "response.created"
    TOKEN = "response.output_text.delta"
    COMPLETED = "response.completed"
    FAILED = "response.failed"
    CANCELLED = "response.cancelled"


@dataclass(frozen=True, slots=True)
class EngineEvent:
    """One event: its generation, its place in the order, and the text it adds."""

    generation: GenerationId
    sequence: int
    kind: EngineEventKind
    text: str = ""


class GenerationState(Enum):
    """What an engine says of a generation."""

    QUEUED = "queued"
    RUNNING = "in_progress"
    COMPLETED = "completed"
    CANCELLED = "cancelled"
    FAILED = "failed"


@dataclass(frozen=True)
class LoadReport:
    """An engine's load at `reported_s`, seconds on the engine's clock before it was read.

    `age_s` is how old the report was when it was read, in seconds.
    """

    age_s: float
    running: int
    waiting: int
    kv_used_tokens: int
    kv_capacity_tokens: int
    preemptions: int
    leaving: bool = False
    """The engine says that it is to get no new work."""


@dataclass(frozen=True)
class CacheEvent:
    """A prompt prefix entered or left an engine's cache. Events come late and with gaps."""

    number: int
    prefix: str
    stored: bool


@dataclass(frozen=True)
class Order:
    """An order to an engine: the desired end, with an id and a fencing number."""

    id: str
    fencing: int
    models: tuple[ModelName, ...]


class OrderRefused(EngineError):
    """The engine refused an order because it has seen a newer fencing number."""


EngineStream = AbstractAsyncContextManager[AsyncIterator[EngineEvent]]


class EngineClient(ABC):
    """One engine. Streams raise EngineBroken or EngineSilent where they end early."""

    @abstractmethod
    def generate(self, request: GenerationRequest) -> EngineStream:
        """Start a generation. Raises EngineUnreachable, EngineRefused, EngineBroken."""

    @abstractmethod
    def resume(self, generation: GenerationId, after: int) -> EngineStream:
        """Follow a generation from the event after sequence number `after`.

        Raises EngineUnreachable, EngineBroken, GenerationGone.
        """

    @abstractmethod
    async def cancel(self, generation: GenerationId) -> None:
        """End a generation; one that is gone is no error. Raises EngineError."""

    @abstractmethod
    async def state(self, generation: GenerationId) -> GenerationState:
        """Ask after a generation over a new connection. Raises EngineError, GenerationGone."""

    @abstractmethod
    async def load(self) -> LoadReport:
        """Read the latest load report. Raises EngineError."""

    @abstractmethod
    async def cache_events(self, after: int) -> list[CacheEvent]:
        """Read cache events numbered above `after`; numbers may be missing."""

    @abstractmethod
    async def models(self) -> tuple[ModelName, ...]:
        """Read which models the engine serves now. Raises EngineError."""

    @abstractmethod
    async def order(self, order: Order) -> None:
        """Give an order. Raises OrderRefused, EngineError."""
