"""Options for one send of a request to a runner, and the head of the runner's answer."""

from dataclasses import dataclass

from egretstack.http1 import ResponseHead
from egretstack.ids import AccountId, RunnerName


@dataclass(frozen=True, slots=True)
class ContinueFrom:
    """Where a run's memory is stored, and the last event that its caller has received."""

    address: str
    """The runner that holds the copy, or the stopped source."""
    copy_id: str
    """Handle of a moved copy, or the attempt id for a backup copy."""
    last_event_id: str


@dataclass(frozen=True, slots=True)
class SendOptions:
    """What is added to a client's request for one send to a runner."""

    runner_name: RunnerName
    time_left_s: float
    account: AccountId | None
    priority: int | None = None
    """0 is the highest priority."""
    backup_address: str | None = None
    """The runner to which the run's memory is copied while it grows."""
    continue_from: ContinueFrom | None = None
    last_event_id: str | None = None
    """The last event that the client has of a resumable stream; None to start at the first one."""


@dataclass(frozen=True, slots=True)
class RunnerLoad:
    """The load that a runner reports in the headers of an answer."""

    running: int
    waiting: int
    slots: int | None
    work_percent: int | None = None
    """How long work takes on its machine now, in percent of the usual time; None if not stated."""


@dataclass(frozen=True, slots=True)
class RunnerHealth:
    """A healthy runner's answer to a health check."""

    name: RunnerName
    cold_s: float
    """How much longer the runner is cold."""


@dataclass(frozen=True)
class RunnerAnswer:
    """The head of a runner's answer."""

    head: ResponseHead
    attempt_id: str
    sealed: bool
    """Whether the runner marked the answer as its own; an unmarked one is not a valid answer."""
    rejected: bool
    """The runner states that it did not run the request, and never will."""
    misdirected: bool
    """Another runner answered, at the address of the one that was meant."""
    encoded: bool
    """The body has a content encoding, so it is not the runner's own bytes."""
    load: RunnerLoad | None
    load_invalid: bool = False
    """Whether the answer states a load of which some part could not be read."""
    limit_per_s: float | None = None
    """Requests a second that the runner accepts from the whole fleet; None if it states no limit.

    The limit holds as long as the runner's answers state it.
    """
    brittle_per_s: float | None = None
    """Rejections a second beyond which the runner falls over; None if it states no number."""
    leaving: bool = False
    """Whether the runner states that it is leaving."""
    backoff_s: float | None = None
    """How long the runner, which rejected the request, wants no requests from this instance."""
