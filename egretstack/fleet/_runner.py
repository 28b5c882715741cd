"""A runner as the fleet knows it."""

from dataclasses import dataclass
from enum import Enum

from egretstack.ids import RunnerId, ServiceName, ZoneName


class RunnerState(Enum):
    """Whether a runner may get work."""

    READY = "ready"
    LEAVING = "leaving"
    """It announced its end: no new work, and what runs there has to end or move."""


@dataclass(frozen=True, slots=True)
class Runner:
    """One start of one runner; a restarted one has another id."""

    id: RunnerId
    service: ServiceName
    address: str
    zone: ZoneName
    slots: int
    state: RunnerState
    cold_s: float
    """How much longer it stays slow after its start."""
