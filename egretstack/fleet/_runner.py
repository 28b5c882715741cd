"""A runner as the fleet knows it."""

from dataclasses import dataclass, field
from enum import Enum

from egretstack.ids import RunnerId, RunnerName, ServiceName, ZoneName

_START_MARK = "@"


class RunnerState(Enum):
    """Whether a runner may get new requests."""

    READY = "ready"
    LEAVING = "leaving"
    """It announced its end: it gets no new requests, and what runs there has to end or move."""
    MISSING = "missing"
    """It is no longer listed. Some runners leave that way; it may also be cut off from the store
    for a while. Treated like leaving until it is listed again and answers a health request
    itself."""
    GONE = "gone"
    """Its process has ended: a later start uses its name. Nothing runs there any more."""


@dataclass(frozen=True, slots=True)
class Incarnation:
    """One start of one runner.

    A runner that crashes may start again under its name. It then has no state of its former start,
    so nothing that was known of that start may be applied to the new one.
    """

    name: RunnerName
    """The name that the runner gives itself, the same after each start."""
    started_ms: int | None = None
    """Start time by the runner's own clock, in Unix milliseconds; None if it gives none, and then
    each start has a name of its own."""

    @property
    def id(self) -> RunnerId:
        """The key of all state kept for this start; another start has another key."""
        if self.started_ms is None:
            return RunnerId(self.name)
        return RunnerId(f"{self.name}{_START_MARK}{self.started_ms}")

    def is_before(self, other: "Incarnation") -> bool:
        """Return whether `other` is a later start of the same runner."""
        return self.name == other.name and (self.started_ms or 0) < (other.started_ms or 0)


@dataclass(frozen=True, slots=True)
class Runner:
    """One start of one runner, as it describes itself."""

    incarnation: Incarnation
    service: ServiceName
    address: str
    zone: ZoneName
    slots: int
    state: RunnerState
    cold_s: float
    """Remaining time of its cold start, in which it is slow."""
    confirmed_at_revision: int = 0
    """Revision of the store's list at which an instance found it alive again after its entry had
    been missing; 0 if that never happened."""
    id: RunnerId = field(init=False)
    """Key of its incarnation, computed once: it is looked up for each runner at each placement."""

    def __post_init__(self) -> None:
        object.__setattr__(self, "id", self.incarnation.id)
