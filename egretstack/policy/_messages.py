"""The typed events a policy is told of, and the actions it answers with.

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
    """One generation that wants an engine. Its output length is not known."""

    id: RequestId
    account: AccountId
    service: ServiceName
    model: ModelName
    prompt_tokens: int
    max_output_tokens: int
    prefix: str
    """Name of the prompt's shared beginning, for cache affinity; empty if none."""
    value: int
    deadline_s: float
    """Time by which it has to start."""
    streamed: bool
    stall_weight: float = 0.34
    preemption_weight: float = 0.33
    tail_weight: float = 0.33
    excluded: frozenset[RunnerId] = frozenset()
    """Runners that failed this work before."""


@dataclass(frozen=True)
class RunnerInfo:
    """One engine that may get work."""

    id: RunnerId
    service: ServiceName
    zone: ZoneName
    models: tuple[ModelName, ...]
    kv_capacity_tokens: int
    max_batch: int


@dataclass(frozen=True)
class Arrived:
    """A request passed its account's limits and wants an engine."""

    request: SchedulingRequest


@dataclass(frozen=True)
class Started:
    """The engine accepted the generation."""

    request_id: RequestId


@dataclass(frozen=True)
class Progressed:
    """The session's events reached `tokens` output tokens, `delivered` of them to the caller."""

    request_id: RequestId
    tokens: int
    delivered: int


class EndReason(Enum):
    """How a piece of work left its engine."""

    FINISHED = "finished"
    CANCELLED = "cancelled"
    FAILED = "failed"


@dataclass(frozen=True)
class Ended:
    """The work left its engine, or its caller left the queue. `tokens` were generated."""

    request_id: RequestId
    tokens: int
    reason: EndReason


@dataclass(frozen=True)
class RunnerSeen:
    """A runner is known, or its description changed."""

    runner: RunnerInfo


@dataclass(frozen=True)
class RunnerLeft:
    """A runner gets no new work; what runs on it goes on."""

    runner_id: RunnerId


@dataclass(frozen=True)
class RunnerReported:
    """A runner's load at `taken_s`, which lies before the time the report was read."""

    runner_id: RunnerId
    taken_s: float
    running: int
    waiting: int
    kv_used_tokens: int
    kv_capacity_tokens: int
    preemptions: int


@dataclass(frozen=True)
class CacheChanged:
    """A prefix entered or left a runner's cache; such news comes late and with gaps."""

    runner_id: RunnerId
    prefix: str
    stored: bool


@dataclass(frozen=True)
class Evicted:
    """Work that the policy evicted has left its engine and waits for another.

    An Evict is not followed by this when the caller had seen something of the answer: the work
    then goes on where it is.
    """

    request_id: RequestId


@dataclass(frozen=True)
class InstancesSeen:
    """So many instances send work to the runners, this one among them."""

    count: int


@dataclass(frozen=True)
class LengthsLearned:
    """Another instance's summary of output lengths, in place of its earlier one."""

    source: InstanceId
    summary: LengthSummary


@dataclass(frozen=True)
class Tick:
    """The time asked for by `Policy.next_wake_s` has come."""


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
    """Send the work to the runner. The engine takes higher `priority` first."""

    request_id: RequestId
    runner_id: RunnerId
    priority: int


@dataclass(frozen=True)
class Refuse:
    """Answer the work's caller at once."""

    request_id: RequestId
    kind: ErrorKind
    retry_after_s: float


@dataclass(frozen=True)
class Evict:
    """Cancel the work at its runner and put it back in the queue; nothing was delivered."""

    request_id: RequestId


Action = Dispatch | Refuse | Evict
