"""The history of one cell: typed events in chronological order."""

from dataclasses import dataclass
from enum import Enum
from typing import TypeVar

import trio

from egretstack.errors import ErrorKind, RunState

MAX_EVENTS = 5_000
"""Far above what a cell records; it stops a program that loops without the mock clock advancing."""


class EndlessHistory(Exception):
    """A cell recorded more events than any cell that completes."""


class Path(Enum):
    """A path through the system; the columns of the matrix are the steps of the paths."""

    SESSION = "session"
    CALL = "call"
    CHANGE = "change"
    ORDER = "order"
    DRAIN = "drain"


@dataclass(frozen=True)
class HistoryEvent:
    """An event at `at_s`, in seconds on trio's clock."""

    at_s: float


@dataclass(frozen=True)
class RequestSent(HistoryEvent):
    """A caller sent a request, or repeated a call with its key.

    `length` is the number of tokens that the whole answer of a session has.
    """

    request: str
    path: Path
    entry: str
    length: int = 0


@dataclass(frozen=True)
class TokenDelivered(HistoryEvent):
    """A caller received a token; its text holds the generation and its number in it."""

    request: str
    generation: str
    number: int
    sequence: int


@dataclass(frozen=True)
class Finished(HistoryEvent):
    """A caller was told that its answer is complete; `marker` is the request that it names."""

    request: str
    marker: str
    tokens: int = 0


@dataclass(frozen=True)
class Refused(HistoryEvent):
    """A caller got a final answer other than the requested one."""

    request: str
    kind: ErrorKind
    run: RunState
    retry_after_s: int | None = None
    delivered: int | None = None


@dataclass(frozen=True)
class TimedOut(HistoryEvent):
    """A caller got no final answer in time."""

    request: str


@dataclass(frozen=True)
class Disconnected(HistoryEvent):
    """A caller's connection broke before its answer ended."""

    request: str
    entry: str


@dataclass(frozen=True)
class ConnectRefused(HistoryEvent):
    """An entry refused a caller's connection."""

    request: str
    entry: str


@dataclass(frozen=True)
class RequestAssigned(HistoryEvent):
    """A request was sent to an upstream; `generation` is empty for a call."""

    upstream: str
    request: str
    generation: str = ""


@dataclass(frozen=True)
class CallRan(HistoryEvent):
    """A plain service ran a non-idempotent call."""

    request: str


@dataclass(frozen=True)
class LeavingBegan(HistoryEvent):
    """An upstream was announced as leaving for the first time."""

    upstream: str


@dataclass(frozen=True)
class StopBegan(HistoryEvent):
    """A planned stop of an entry began; callers use an entry list for `answer_ttl_s`."""

    entry: str
    answer_ttl_s: float


@dataclass(frozen=True)
class Stopped(HistoryEvent):
    """An entry's process ended."""

    entry: str


@dataclass(frozen=True)
class Killed(HistoryEvent):
    """A process was killed."""

    process: str


@dataclass(frozen=True)
class UpstreamDied(HistoryEvent):
    """An upstream's process died, and with it everything it ran."""

    upstream: str


@dataclass(frozen=True)
class Paused(HistoryEvent):
    """A process was paused."""

    process: str


@dataclass(frozen=True)
class Resumed(HistoryEvent):
    """A process was resumed."""

    process: str


@dataclass(frozen=True)
class StoreUnavailable(HistoryEvent):
    """The object API stopped answering, or answers slowly."""


@dataclass(frozen=True)
class StoreAvailable(HistoryEvent):
    """The object API answers normally again."""


class ChangeAnswer(Enum):
    """The answer to an operator's change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"
    UNAVAILABLE = "away"


@dataclass(frozen=True)
class ChangeAnswered(HistoryEvent):
    """An operator got the answer to a change of one part that started from version `base`."""

    change: str
    part: str
    answer: ChangeAnswer
    revision: int = 0
    base: str = ""


@dataclass(frozen=True)
class HeadWritten(HistoryEvent):
    """The store accepted a new head: its revision, its change, and each part's version."""

    revision: int
    change: str
    digest_by_part: dict[str, str]


@dataclass(frozen=True)
class InForce(HistoryEvent):
    """A process has put a revision in force."""

    process: str
    revision: int
    digest_by_part: dict[str, str]


@dataclass(frozen=True)
class OrderAccepted(HistoryEvent):
    """An engine executed an order; `checks` is whether the engine checks fencing numbers."""

    engine: str
    order: str
    fencing: int
    checks: bool


H = TypeVar("H", bound=HistoryEvent)


class History:
    """The events of one cell."""

    def __init__(self, events: list[HistoryEvent] | None = None) -> None:
        self.events: list[HistoryEvent] = list(events or ())

    def add(self, kind: type[H], *fields: object) -> None:
        """Record an event now; raise EndlessHistory after MAX_EVENTS."""
        if len(self.events) >= MAX_EVENTS:
            raise EndlessHistory
        self.events.append(kind(trio.current_time(), *fields))

    def of(self, kind: type[H]) -> list[H]:
        """Return the events of one type, in order."""
        return [one for one in self.events if isinstance(one, kind)]

    def end_s(self) -> float:
        """Return the time of the last event."""
        return max((one.at_s for one in self.events), default=0.0)
