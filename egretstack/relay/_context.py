"""Objects shared by all relays, and the task that describes one request."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from functools import cached_property
from math import inf

import trio

from egretstack.fleet import Runner, RunnerTable
from egretstack.http1 import AnswerMemory, ConnectionPool, Dialer
from egretstack.ids import RunnerId, ServiceName, ZoneName
from egretstack.kernel import UnforeseenErrors
from egretstack.placing import (
    CallDurations,
    GenerationRequest,
    Placement,
    PlainBalancer,
    Run,
    RunnerBackoffs,
    SendBound,
)
from egretstack.relay._budget import RetryBudget
from egretstack.relay._crash_guard import CrashGuard
from egretstack.relay._cursor import EventSteps, parse_event_number
from egretstack.relay._departure import Departure
from egretstack.relay._patience import SILENCE_S
from egretstack.relay._runner_probes import RunnerProbes
from egretstack.relay._runner_signals import RunnerSignals
from egretstack.relay._stream_limits import StreamLimits
from egretstack.routing import ClientAccount, EngineConfig, Route, RouteKind, ServiceConfig
from egretstack.traffic import ClientRequest, Fingerprint, RunnerAnswer, SendOptions

RANKS = 100
"""Number of route ranks that are distinguished within one client account rank."""
ENGINE_RANKS = 3
"""The same for engines: an engine has ten priorities, and most accounts have one of three ranks."""
CONNECT_TIMEOUT_S = 0.15
"""Connecting takes some 3 ms unless the runner has ended. A lost SYN is retransmitted only after a
second; trying another runner is faster."""


class EnginePlacing(ABC):
    """Places generations: asks the home, or decides locally while the home does not answer."""

    @abstractmethod
    async def place(self, request: GenerationRequest, engine: EngineConfig) -> Placement:
        """Choose the engine of a generation. Raises RequestFailed."""

    @abstractmethod
    def add_run(self, run: Run) -> None:
        """Add a run, in progress until `remove_run`; its fields are updated as it proceeds."""

    @abstractmethod
    def remove_run(self, run: Run) -> None:
        """Remove a run that has ended on this instance."""

    @abstractmethod
    def record_first_token(self, run: Run, read_s: float, waited_s: float) -> None:
        """Record a first token, `read_s` after the send, `waited_s` after the request arrived."""

    @abstractmethod
    def record_gap(self, run: Run, gap_s: float, events: int) -> None:
        """Record the time from the events before to the last `events` of a run."""

    @abstractmethod
    def stream_time_s(
        self, service: ServiceName, context_tokens: int, output_tokens: int, engine: EngineConfig
    ) -> float | None:
        """Return how long a stream takes on the slowest engine at present, once it is sent.

        None if the engines of its service were not measured.
        """

    @abstractmethod
    def tokens_left(self, run: Run) -> float:
        """Return the number of output tokens that a run is still expected to generate."""

    @abstractmethod
    async def choose_backup(
        self, run: Run, engine: EngineConfig, source: RunnerId
    ) -> RunnerId | None:
        """Choose the backup engine of a run that moved off `source`; None if there is none."""

    @abstractmethod
    async def acquire_move_permit(self, run: Run, refused: Collection[RunnerId]) -> RunnerId:
        """Wait for the permit to copy a run off its runner; return the destination.

        `refused` names engines that recently had no capacity for its copy.
        """

    @abstractmethod
    def release_move_permit(self, attempt: str, source: RunnerId) -> None:
        """Release the permit."""


@dataclass
class RelayContext:
    """Objects shared by all requests of a process."""

    runners: RunnerTable
    balancer: PlainBalancer
    placing: EnginePlacing
    budget: RetryBudget
    dialer: Dialer
    """Opens the connections to runners."""
    pool: ConnectionPool
    send_bounds: SendBound
    """Limits on what may currently be sent to each runner."""
    backoffs: RunnerBackoffs
    crash_guard: CrashGuard
    signals: RunnerSignals
    unforeseen: UnforeseenErrors
    answer_memory: AnswerMemory
    """Limits the answers of runners that are read or passed on."""
    stream_limits: StreamLimits = field(default_factory=StreamLimits)
    event_steps: EventSteps = field(default_factory=EventSteps)
    call_durations: CallDurations = field(default_factory=CallDurations)
    departure: Departure = field(default_factory=Departure)
    on_runner_failure: Callable[[], None] = lambda: None
    """Called when a runner failed a request that was sent to it."""
    probes: RunnerProbes = field(init=False)

    def __post_init__(self) -> None:
        self.probes = RunnerProbes(self.dialer)

    def on_answer(
        self, task: "RelayTask", runner: RunnerId, answer: RunnerAnswer, sent_s: float
    ) -> None:
        """Record the signals in a runner's response to a task that was sent at `sent_s`."""
        if answer.attempt_id in ("", task.request.attempt_id):
            self.signals.on_answer(runner, answer, sent_s)

    def resumed_tokens(self, task: "RelayTask") -> int:
        """Return how much of the output the client has from earlier attempts, in tokens.

        Until the difference between ids is known, ids are taken to count tokens.
        """
        generation, number = task.request.generation, parse_event_number(task.last_event_id)
        if generation is None or number is None:
            return 0
        stride = task.service.engine.tokens_per_event
        step = self.event_steps.known(task.service.name) or stride
        return min(generation.max_output_tokens, number * stride // step)

    def latest_send_s(self, task: "RelayTask") -> float:
        """Return until when a task may be sent to a runner, so that it ends before this instance.

        Infinite unless this instance leaves, and for a task whose deadline comes before that.
        """
        if not self.departure.is_leaving:
            return inf
        is_stream = task.is_engine_stream
        until_s = self.departure.streams_until_s if is_stream else self.departure.answers_until_s
        if task.deadline_s <= until_s:
            return inf
        needed_s = self._stream_time_s(task) if is_stream else self._call_time_s(task)
        return -inf if needed_s is None else until_s - needed_s - SILENCE_S

    def _call_time_s(self, task: "RelayTask") -> float | None:
        return self.call_durations.longest_s(trio.current_time(), task.route.name)

    def _stream_time_s(self, task: "RelayTask") -> float | None:
        generation = task.request.generation
        if generation is None:
            return None
        resumed = self.resumed_tokens(task)
        return self.placing.stream_time_s(
            task.service.name,
            generation.prompt_tokens + resumed,
            generation.max_output_tokens - resumed,
            task.service.engine,
        )

    def record_engine_result(self, runner: RunnerId, *, broke: bool) -> None:
        """Count whether an engine broke a run; the end of a leaving engine does not count."""
        if broke and not self.runners.is_ready(runner):
            return
        self.balancer.recent_answers.record(trio.current_time(), runner, broke=broke)
        if broke:
            self.on_runner_failure()


@dataclass(frozen=True)
class RelayTask:
    """One request with the routing decisions made when its head was read."""

    request: ClientRequest
    route: Route
    service: ServiceConfig
    account: ClientAccount | None
    received_s: float
    deadline_s: float
    """Time by which the response has to be final, on trio's clock."""
    zones: frozenset[ZoneName] | None = None
    """Availability zones whose runners may run it; None if all may."""

    @cached_property
    def fingerprint(self) -> Fingerprint:
        """Ids of the request and its shared parts, equal for all attempts at the same request."""
        return self.request.fingerprint("" if self.account is None else self.account.name)

    @property
    def is_engine_stream(self) -> bool:
        """Whether the answer is relayed event by event from an engine."""
        return self.route.kind is RouteKind.STREAM and self.service.engine is not None

    @property
    def last_event_id(self) -> str:
        """Last event that the client has from an earlier attempt; empty on other routes."""
        return self.request.last_event_id if self.route.resumable else ""

    def time_left_s(self) -> float:
        """Return the time until the deadline."""
        return self.deadline_s - trio.current_time()

    @property
    def rank(self) -> int:
        """Rank among all waiting requests: the client account's rank first, then the route's."""
        return self._account_rank() * RANKS + min(RANKS - 1, self.route.rank)

    @property
    def priority(self) -> int:
        """The rank as an engine priority; engines have only a few."""
        return self._account_rank() * ENGINE_RANKS + min(ENGINE_RANKS - 1, self.route.rank)

    def _account_rank(self) -> int:
        return self.account.rank or 0 if self.account is not None else 0

    def send_options(self, runner: Runner, **more: object) -> SendOptions:
        """Return the terms of a send to a runner."""
        account = None if self.account is None else self.account.name
        return SendOptions(runner.incarnation.name, self.time_left_s(), account, **more)
