"""One send of a request to a runner, and the head of what comes back."""

from dataclasses import dataclass

from egretstack.http1 import ResponseHead
from egretstack.ids import AccountId, RunnerName


@dataclass(frozen=True, slots=True)
class ContinueFrom:
    """Where a run's memory lies, and the last event that its caller has."""

    address: str
    """The runner that holds the copy, or the source that stopped."""
    copy_id: str
    """Handle of a moved copy, or the attempt's id for a backup copy."""
    last_event_id: str


@dataclass(frozen=True, slots=True)
class SendOptions:
    """What the system adds to a request for one send."""

    runner_name: RunnerName
    time_left_s: float
    account: AccountId | None
    priority: int | None = None
    """0 is the most urgent."""
    backup_address: str | None = None
    """Runner to which the run's memory is copied while it grows."""
    continue_from: ContinueFrom | None = None
    last_event_id: str | None = None
    """From where a client itself wants a stream to go on."""


@dataclass(frozen=True, slots=True)
class RunnerLoad:
    """What a runner tells of its load beside an answer."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class RunnerHealth:
    """What a healthy runner says of itself."""

    name: RunnerName
    cold_s: float
    """How much longer it is cold."""


@dataclass(frozen=True)
class RunnerAnswer:
    """The head of a runner's answer."""

    head: ResponseHead
    attempt_id: str
    sealed: bool
    """Whether the runner vouches for it; only then does it count as an answer at all."""
    rejected: bool
    """The runner states that it did not run the request, and never will."""
    misdirected: bool
    """Another runner answered, at the address of the one that was meant."""
    encoded: bool
    """The body is not the runner's own bytes."""
    load: RunnerLoad | None
    limit_per_s: float | None = None
    """Requests a second that the runner takes from the whole fleet, as long as its answers say so;
    None if it names no limit."""
    leaving: bool = False
    """Whether the runner says that it leaves."""
    backoff_s: float | None = None
    """How long the runner, which turned the request away, wants nothing from this instance."""
