"""A runner as the fleet knows it."""

from dataclasses import dataclass, field
from enum import Enum

from egretstack.ids import RunnerId, RunnerName, ServiceName, ZoneName

_START_MARK = "@"


class RunnerState(Enum):
    """Whether a runner may get work."""

    READY = "ready"
    LEAVING = "leaving"
    """It announced its end: no new work, and what runs there has to end or move."""
    MISSING = "missing"
    """It is no longer listed. That is how some leave; it may also be cut off from the store for a
    while. The same as leaving until it is listed again and answers for itself."""
    GONE = "gone"
    """Its process has ended: a later start goes by its name. Nothing runs there any more."""


@dataclass(frozen=True, slots=True)
class Incarnation:
    """One start of one runner.

    A runner that crashes may start again under its name. It then knows nothing of before, so that
    nothing believed of the former start may be used on the new one.
    """

    name: RunnerName
    """What the runner calls itself, the same after each start."""
    started_ms: int | None = None
    """Time of its start by the runner's own clock, in Unix milliseconds; None if it tells none,
    and then each start has a name of its own."""

    @property
    def id(self) -> RunnerId:
        """The key of all that is known of this start; another start has another one."""
        if self.started_ms is None:
            return RunnerId(self.name)
        return RunnerId(f"{self.name}{_START_MARK}{self.started_ms}")

    def is_before(self, other: "Incarnation") -> bool:
        """Tell whether `other` is a later start of the same runner."""
        return self.name == other.name and (self.started_ms or 0) < (other.started_ms or 0)


@dataclass(frozen=True, slots=True)
class Runner:
    """One start of one runner, and what it tells of itself."""

    incarnation: Incarnation
    service: ServiceName
    address: str
    zone: ZoneName
    slots: int
    state: RunnerState
    cold_s: float
    """How much longer it stays slow after its start."""
    confirmed_at_revision: int = 0
    """Revision of the store's list as of which an instance found it alive again, after its entry
    had been missing; 0 if it never was."""
    id: RunnerId = field(init=False)
    """Key of its incarnation, worked out once: it is looked up for each runner at each placing."""

    def __post_init__(self) -> None:
        object.__setattr__(self, "id", self.incarnation.id)
