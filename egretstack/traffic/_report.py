"""What an engine tells of itself, and how a copy of a run's memory went."""

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class RunReport:
    """One run as its engine sees it."""

    attempt_id: str
    held_tokens: int
    events: int
    priority: int


@dataclass(frozen=True)
class RunnerReport:
    """An engine's own account of its load, some hundred milliseconds old."""

    leaving: bool
    leaves_in_s: float | None
    running: int
    waiting: int
    kv_used_tokens: int
    """Memory of runs, pins and holds; what is only cached is not in it."""
    kv_total_tokens: int
    runs: tuple[RunReport, ...]
    started_ms: int | None = None
    """When it started, by its own clock, in Unix milliseconds; None if it does not tell."""


class MoveOutcome(Enum):
    """How a copy of a run's memory went."""

    COPIED = "copied"
    NO_SUCH_RUN = "no-such-run"
    BUSY = "busy"
    """Another copy of the same run is under way."""
    NO_CAPACITY = "no-room"
    """The destination has no room or is not reached."""
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class MoveAnswer:
    """The answer to a copy."""

    outcome: MoveOutcome
    handle: str
    generated_events: int
