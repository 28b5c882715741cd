"""An engine's report of its own load, and the result of copying a run's memory."""

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class RunReport:
    """One run as its engine reports it."""

    attempt_id: str
    held_tokens: int
    events: int
    priority: int


@dataclass(frozen=True)
class RunnerReport:
    """An engine's report of its own load, some hundred milliseconds old."""

    leaving: bool
    leaves_in_s: float | None
    running: int
    waiting: int
    kv_used_tokens: int
    """Memory of runs, pins and holds, without what is only cached."""
    kv_total_tokens: int
    runs: tuple[RunReport, ...]
    started_ms: int | None = None
    """When the engine started, by its own clock, in Unix milliseconds; None if not reported."""


class MoveOutcome(Enum):
    """The result of copying a run's memory."""

    COPIED = "copied"
    NO_SUCH_RUN = "no-such-run"
    BUSY = "busy"
    """Another copy of the same run is in progress."""
    NO_CAPACITY = "no-room"
    """The destination has no free memory or cannot be reached."""
    NOT_SENT = "not-sent"
    """The runner was not reached, so the run goes on there as before."""
    FAILED = "failed"
    """No valid answer: a run that was to stop may have stopped."""


@dataclass(frozen=True, slots=True)
class MoveAnswer:
    """The answer to a request to copy a run's memory."""

    outcome: MoveOutcome
    handle: str
    generated_events: int
