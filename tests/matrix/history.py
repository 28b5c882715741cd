"""What happened in one cell: typed events, in order of time."""

from dataclasses import dataclass
from enum import Enum
from typing import TypeVar

import trio

from egretstack.errors import ErrorKind, RunState

MOST_HAPPENINGS = 5_000
"""Far above what a cell records: a program that spins without time going on is stopped here."""


class EndlessHistory(Exception):
    """A cell recorded more than any cell that comes to its end."""


class Path(Enum):
    """A path through the system; the columns of the matrix are its steps."""

    SESSION = "session"
    CALL = "call"
    CHANGE = "change"
    ORDER = "order"
    DRAIN = "drain"


@dataclass(frozen=True)
class Happening:
    """Something happened at `at_s`, seconds on the clock of the runtime."""

    at_s: float


@dataclass(frozen=True)
class Asked(Happening):
    """A caller sent a request, or repeated a call with its key.

    `length` is the number of tokens that the whole answer of a session has.
    """

    request: str
    path: Path
    entry: str
    length: int = 0


@dataclass(frozen=True)
class Delivered(Happening):
    """A caller received a token; its text says which generation made it and its number."""

    request: str
    generation: str
    number: int
    sequence: int


@dataclass(frozen=True)
class Finished(Happening):
    """A caller was told that its answer is whole; `marker` is the request the answer names."""

    request: str
    marker: str
    tokens: int = 0


@dataclass(frozen=True)
class Refused(Happening):
    """A caller got a final answer other than the one it asked for."""

    request: str
    kind: ErrorKind
    run: RunState
    retry_after_s: int | None = None
    delivered: int | None = None


@dataclass(frozen=True)
class GaveUp(Happening):
    """A caller got no final answer within its patience."""

    request: str


@dataclass(frozen=True)
class Broken(Happening):
    """A caller's connection broke before its answer ended."""

    request: str
    entry: str


@dataclass(frozen=True)
class NotListening(Happening):
    """An entry refused a caller's connection."""

    request: str
    entry: str


@dataclass(frozen=True)
class WorkGiven(Happening):
    """An upstream was given new work. `generation` is empty for a call."""

    upstream: str
    request: str
    generation: str = ""


@dataclass(frozen=True)
class CallRan(Happening):
    """A plain service carried a non-idempotent call out."""

    request: str


@dataclass(frozen=True)
class LeavingBegan(Happening):
    """An upstream was first said to be leaving."""

    upstream: str


@dataclass(frozen=True)
class StopBegan(Happening):
    """A planned stop of an entry began; callers keep answers for `answer_life_s`."""

    entry: str
    answer_life_s: float


@dataclass(frozen=True)
class Stopped(Happening):
    """An entry's process ended."""

    entry: str


@dataclass(frozen=True)
class Killed(Happening):
    """A process was killed."""

    process: str


@dataclass(frozen=True)
class UpstreamDied(Happening):
    """An upstream's process died, and with it what it ran."""

    upstream: str


@dataclass(frozen=True)
class Frozen(Happening):
    """A process was frozen."""

    process: str


@dataclass(frozen=True)
class Thawed(Happening):
    """A process went on."""

    process: str


@dataclass(frozen=True)
class StoreAway(Happening):
    """The object API stopped answering, or answers slowly."""


@dataclass(frozen=True)
class StoreBack(Happening):
    """The object API answers as usual again."""


class ChangeAnswer(Enum):
    """What an operator was told of a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"
    AWAY = "away"


@dataclass(frozen=True)
class ChangeTold(Happening):
    """An operator was told what became of a change of one part; it started from `base`."""

    change: str
    part: str
    answer: ChangeAnswer
    revision: int = 0
    base: str = ""


@dataclass(frozen=True)
class HeadWritten(Happening):
    """The store took a new head: its revision, its change, and each part's version."""

    revision: int
    change: str
    digest_by_part: dict[str, str]


@dataclass(frozen=True)
class InForce(Happening):
    """A process has a revision in force from now on."""

    process: str
    revision: int
    digest_by_part: dict[str, str]


@dataclass(frozen=True)
class OrderTaken(Happening):
    """An engine carried out an order; `checks` tells whether it checks fencing numbers."""

    engine: str
    order: str
    fencing: int
    checks: bool


H = TypeVar("H", bound=Happening)


class History:
    """The happenings of one cell."""

    def __init__(self, happenings: list[Happening] | None = None) -> None:
        self.happenings: list[Happening] = list(happenings or ())

    def add(self, kind: type[H], *fields: object) -> None:
        """Record a happening now; a history without end is an error."""
        if len(self.happenings) >= MOST_HAPPENINGS:
            raise EndlessHistory
        self.happenings.append(kind(trio.current_time(), *fields))

    def of(self, kind: type[H]) -> list[H]:
        """Give the happenings of a kind, in order."""
        return [one for one in self.happenings if isinstance(one, kind)]

    def end_s(self) -> float:
        """Give the time of the last happening."""
        return max((one.at_s for one in self.happenings), default=0.0)
