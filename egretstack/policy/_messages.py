"""The typed events that a policy processes, and the actions that it returns.

All times are seconds on the runtime's clock; all sizes are tokens.
"""

from dataclasses import dataclass
from enum import Enum

from egretstack.errors import ErrorKind
from egretstack.ids import (
    AccountId,
    InstanceId,
    ModelName,
    RequestId,
    RunnerId,
    ServiceName,
    ZoneName,
)
from egretstack.lengths import LengthSummary


@dataclass(frozen=True)
class SchedulingRequest:
    """A generation request to be assigned to an engine. Its output length is unknown."""

    id: RequestId
    account: AccountId
    service: ServiceName
    model: ModelName
    prompt_tokens: int
    max_output_tokens: int
    prefix: str
    """Identifies the shared beginning of the prompt, for cache affinity; empty if none."""
    value: int
    """Contract value; the greater goes first."""
    deadline_s: float
    """Time by which it has to start."""
    streamed: bool
    stall_weight: float = 0.34
    preemption_weight: float = 0.33
    tail_weight: float = 0.33
    excluded: frozenset[RunnerId] = frozenset()
    """Runners that failed this request before."""


@dataclass(frozen=True)
class RunnerInfo:
    """An engine that may get requests."""

    id: RunnerId
    service: ServiceName
    zone: ZoneName
    models: tuple[ModelName, ...]
    kv_capacity_tokens: int
    max_batch: int


@dataclass(frozen=True)
class Arrived:
    """A request passed its account's limits and needs an engine."""

    request: SchedulingRequest


@dataclass(frozen=True)
class Started:
    """The engine accepted the request."""

    request_id: RequestId


@dataclass(frozen=True)
class Progressed:
    """The session's events reached `tokens` output tokens, `delivered` of them to the caller."""

    request_id: RequestId
    tokens: int
    delivered: int


class EndReason(Enum):
    """How a request left its engine."""

    FINISHED = "finished"
    CANCELLED = "cancelled"
    FAILED = "failed"


@dataclass(frozen=True)
class Ended:
    """The request left its engine, or its caller left the queue. `tokens` were generated."""

    request_id: RequestId
    tokens: int
    reason: EndReason


@dataclass(frozen=True)
class RunnerSeen:
    """A runner was added, or its description changed."""

    runner: RunnerInfo


@dataclass(frozen=True)
class RunnerLeft:
    """A runner gets no new requests; those running on it continue."""

    runner_id: RunnerId


@dataclass(frozen=True)
class RunnerReported:
    """A runner's load at `taken_s`, which is before the time at which the report was read."""

    runner_id: RunnerId
    taken_s: float
    running: int
    waiting: int
    kv_used_tokens: int
    kv_capacity_tokens: int
    preemptions: int


@dataclass(frozen=True)
class CacheChanged:
    """A prefix entered or left a runner's cache; these events are delayed and may be lost."""

    runner_id: RunnerId
    prefix: str
    stored: bool


@dataclass(frozen=True)
class Evicted:
    """A request that the policy evicted has left its engine and waits for another.

    An Evict is not followed by this event if some of the answer had been delivered by then: the
    request continues where it is.
    """

    request_id: RequestId


@dataclass(frozen=True)
class InstancesSeen:
    """The number of instances that send requests to the runners, including this one."""

    count: int


@dataclass(frozen=True)
class LengthsLearned:
    """Another instance's summary of output lengths; replaces its earlier one."""

    source: InstanceId
    summary: LengthSummary


@dataclass(frozen=True)
class Tick:
    """The time returned by `Policy.next_wake_s` was reached."""


PolicyEvent = (
    Arrived
    | Started
    | Progressed
    | Ended
    | RunnerSeen
    | RunnerLeft
    | RunnerReported
    | CacheChanged
    | Evicted
    | InstancesSeen
    | LengthsLearned
    | Tick
)


@dataclass(frozen=True)
class Dispatch:
    """Send the request to the runner. The engine serves a higher `priority` first."""

    request_id: RequestId
    runner_id: RunnerId
    priority: int


@dataclass(frozen=True)
class Refuse:
    """Answer the caller with an error immediately."""

    request_id: RequestId
    kind: ErrorKind
    retry_after_s: float


@dataclass(frozen=True)
class Evict:
    """Cancel a request at its runner and queue it again; only if nothing was delivered."""

    request_id: RequestId


Action = Dispatch | Refuse | Evict
