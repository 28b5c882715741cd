"""Chooses an engine, and one for a backup copy, for each generation of the fleet.

The home places for all instances and knows every run. Any other instance places its own requests
while the home does not answer, from the loads that the home last sent.
"""

import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from itertools import islice

from egretstack.fleet import Runner, RunnerTable
from egretstack.ids import InstanceId, RunnerId
from egretstack.placing._capacity_sharing import CapacitySharing
from egretstack.placing._copies import FULL_SHARE, LATE_FULL_SHARE, CopyPlanner
from egretstack.placing._early_refusals import EarlyRefusals
from egretstack.placing._engine_choice import Choice, EngineChoice
from egretstack.placing._refusal import Refusal
from egretstack.placing._run import SHORT_TOKENS, GenerationRequest, Placement, Run
from egretstack.placing._run_registry import LoadById, RunRegistry
from egretstack.placing._send_bounds import SendBound, SendOrigin
from egretstack.placing._split import FleetSplit
from egretstack.placing._wait_queue import QueuedRequest, WaitQueue
from egretstack.routing import EngineConfig

MAX_TRIED = 32
"""Queued requests that are tried each time memory may have been freed."""
MAX_LATE_PREFILL_S = 2.0
"""Longest wait for its first token at which such a generation is still placed. Together with the
time in the queue before, the first token still comes before its reader gives up."""
MAX_DUE_PREFILL_S = 1.0
"""The same limit for a late generation whose caller was told to return now. It may fill engines
further than others that are late, and must not make urgent ones wait for longer than they can."""
MIN_RETRY_S = 0.3
MAX_RETRY_S = 2.0


@dataclass(frozen=True, slots=True)
class PlaceRefused:
    """No engine has capacity for the generation now, or others go first."""

    retry_after_s: float
    """Forecast of when there is capacity."""


@dataclass(frozen=True, slots=True)
class Placed:
    """The placement of a request that was queued."""

    attempt: str
    placement: Placement


class Placer:
    """Chooses engines from the registry of runs, and queues requests that have to wait."""

    def __init__(
        self,
        runners: RunnerTable,
        rng: random.Random,
        bounds: SendBound | None = None,
        *,
        shares_capacity: bool = False,
        split: FleetSplit | None = None,
    ) -> None:
        self.registry = RunRegistry(runners)
        self._queue = WaitQueue(shares_capacity=shares_capacity)
        self.sharing = (
            CapacitySharing(self.registry, self._queue, split) if shares_capacity else None
        )
        """How client accounts share scarce memory; None if they do not.

        `split` limits what this instance uses while it places alone; None for no limit.
        """
        self._runners = runners
        self._bounds = bounds
        """Limits what engines get; None for no limit."""
        self._choice = EngineChoice(self.registry, rng)
        self._copies = CopyPlanner(self.registry, runners, rng, bounds)
        self.refusals: EarlyRefusals | None = None
        """Decides which requests are refused before their longest wait; None if none are."""
        if self.sharing is not None:
            self.refusals = EarlyRefusals(self.registry, runners, self.sharing, self._queue.find)
            self.sharing.is_on_time = self.refusals.is_on_time

    def place(
        self, now_s: float, request: GenerationRequest, engine: EngineConfig, *, fleet_wide: bool
    ) -> Placement | PlaceRefused:
        """Choose an engine at once, regardless of the queue, and record the placement."""
        earlier = self.registry.recent_placement(request)
        if earlier is not None:
            return earlier
        loads = self.registry.loads(now_s, fleet_wide=fleet_wide)
        origin = SendOrigin.HOME if fleet_wide else SendOrigin.ALONE
        limits_alone = self.sharing is not None and not fleet_wide
        if limits_alone:
            runners = self._runners.ready(request.service)
            loads = self.sharing.limit_alone(now_s, request, engine, runners, loads, FULL_SHARE)
        placed = self._place(
            now_s, request, engine, request.first_token_budget_s, loads, FULL_SHARE, origin
        )
        if limits_alone and isinstance(placed, Placement):
            self.sharing.record_placed_alone(now_s, request, placed)
        if self.refusals is not None and isinstance(placed, Placement):
            self.refusals.record_placed(now_s, request)
        return placed

    def enqueue(self, now_s: float, request: GenerationRequest, engine: EngineConfig) -> None:
        """Queue a request; `place_waiting` returns its placement once there is one.

        A request for which there is a `queue_refusal` is not queued.
        """
        cost, crowding, on_time = 0.0, False, False
        if self.sharing is not None and request.attempt not in self._queue:
            if self.sharing.refusal(now_s, request) is not None:
                return
            self.sharing.record_new(now_s, request)
            cost = self.sharing.cost(request)
            crowding = self.sharing.shares.is_crowding(now_s, request.account)
            on_time = self.sharing.is_on_time(request)
        self._queue.enqueue(now_s, request, engine, cost, crowding=crowding, on_time=on_time)

    def queue_refusal(
        self, now_s: float, request: GenerationRequest, engine: EngineConfig
    ) -> Refusal | None:
        """Return the refusal of a request that cannot be queued; None if it can.

        Always None unless client accounts share capacity.
        """
        if self.sharing is None or request.attempt in self._queue:
            return None
        refusal = self.refusals.record_request(now_s, request, engine)
        reason = None if refusal is not None else self.sharing.refusal(now_s, request)
        if reason is not None:
            refusal = self.refusals.refuse(now_s, request, engine, reason)
        return refusal

    def take_dropped(self, now_s: float) -> list[Refusal]:
        """Return the refusals of requests that `place_waiting` dropped as they came too late."""
        if self.sharing is None:
            return []
        return [self.refusals.refuse_dropped(now_s, it) for it in self.sharing.take_dropped()]

    def place_waiting(self, now_s: float) -> list[Placed]:
        """Place queued requests in their order, as far as there is capacity."""
        if self.sharing is not None:
            self.sharing.begin_pass(now_s)
        if not len(self._queue):
            return []
        placed = []
        charged = []
        loads = self.registry.loads(now_s, fleet_wide=True)
        blocked = False
        in_order = list(islice(self._in_order(now_s), MAX_TRIED))
        self._record_demand(now_s, in_order, loads)
        for queued in in_order:
            late = queued.is_late(
                now_s, queued.request.context_tokens / self.registry.prefill_per_s
            )
            # Later requests must not use the memory that the first in order waits for; short ones
            # release it before that matters.
            if blocked and (late or not self._is_short(queued.request)):
                continue
            earlier = self.registry.recent_placement(queued.request)
            decided = earlier or self._place_queued(now_s, queued, late, loads)
            if isinstance(decided, Placement):
                placed.append(Placed(queued.request.attempt, decided))
                if earlier is None:
                    charged.append(queued)
            else:
                blocked = True
        if self.sharing is not None:
            self.refusals.record_placed_queued(now_s, charged)
        for placement in placed:
            self._queue.remove_placed(placement.attempt)
        if self.sharing is not None:
            self.sharing.record_placed(now_s, charged)
        return placed

    def _record_demand(self, now_s: float, in_order: list[QueuedRequest], loads: LoadById) -> None:
        if in_order:
            first, tokens = in_order[0], self._queue.prompt_tokens()
            self._copies.record_demand(now_s, first.request.service, first.engine, loads, tokens)

    def forecast_retry_s(self, now_s: float, request: GenerationRequest) -> float:
        """Forecast when a request that found no engine may be sent again."""
        loads = self.registry.loads(now_s, fleet_wide=True)
        waits = [
            loads[runner.id].prefill_wait_s(now_s) for runner in self._candidates(request, loads)
        ]
        return min(MAX_RETRY_S, max(MIN_RETRY_S, min(waits, default=MAX_RETRY_S)))

    def retry_after_s(
        self, now_s: float, request: GenerationRequest, engine: EngineConfig
    ) -> float:
        """Return when the caller of a request that waits may return if it gets no place."""
        if self.refusals is None:
            return self.forecast_retry_s(now_s, request)
        return self.refusals.retry_s(now_s, request, engine)

    def time_until_allowed_s(
        self, now_s: float, request: GenerationRequest, origin: SendOrigin
    ) -> float:
        """Return the time until the limits allow a request, after those queued; 0 if now.

        This does not say whether an engine has capacity for it.
        """
        engines = self._allowed(request)
        if self._bounds is None or not engines:
            return 0.0
        bounds = self._bounds
        if any(bounds.allows(now_s, engine, origin) for engine in engines):
            return 0.0
        ahead = self._queue.count_others(request) // len(engines)
        return min(bounds.time_until_allowed_s(now_s, engine, origin, ahead) for engine in engines)

    def remove(self, attempt: str) -> None:
        """Remove a request whose caller gave up, or that has ended."""
        self._queue.remove(attempt)
        self.registry.forget_placement(attempt)
        if self.sharing is not None:
            self.sharing.record_ended(attempt)
            self.refusals.forget(attempt)

    def retain_instances(self, live: Iterable[InstanceId]) -> None:
        """Forget the runs of instances that are not in `live`."""
        self.registry.retain_instances(live)
        self._copies.forget_removed()
        if self._bounds is not None:
            self._bounds.forget_removed()

    def waiting_requests(self) -> list[QueuedRequest]:
        """Return the queued requests, in no particular order."""
        return self._queue.requests()

    def move_run(
        self,
        now_s: float,
        attempt: str,
        runner_id: RunnerId,
        engine: EngineConfig,
        source_id: RunnerId | None = None,
    ) -> RunnerId | None:
        """Record that a run continues on another engine; choose its backup engine from now on.

        That is never `source_id`, where it broke off: that engine may have ended.
        """
        run = self.registry.find_run(attempt)
        runner = self._runners.by_id.get(runner_id)
        if run is None or runner is None:
            return None
        self._record_sent(now_s, runner_id, SendOrigin.HOME)
        run.runner, run.backup = runner_id, None
        loads = self.registry.loads(now_s, fleet_wide=True)
        loads = {one: load for one, load in loads.items() if one != source_id}
        run.backup = self._copies.backup(now_s, run.request, engine, runner, loads)
        return run.backup

    def begin_copy(
        self,
        now_s: float,
        run: Run,
        engine: EngineConfig,
        refused: frozenset[RunnerId] = frozenset(),
    ) -> RunnerId | None:
        """Choose an engine to which a run is copied now, and record it; None if there is none.

        Those that have just `refused` the copy are skipped: the registry does not know what fills
        them.
        """
        loads = self.registry.loads(now_s, fleet_wide=True)
        loads = {runner_id: load for runner_id, load in loads.items() if runner_id not in refused}
        destination = self._copies.destination(now_s, run, engine, loads)
        if destination is not None:
            self._copies.begin(now_s, run, destination, engine)
        return destination

    def _in_order(self, now_s: float) -> Iterator[QueuedRequest]:
        if self.sharing is not None:
            return self.sharing.in_order()
        crowding = self.registry.crowding_accounts()
        return self._queue.in_order(now_s, self.registry.prefill_per_s, crowding)

    def _place_queued(
        self,
        now_s: float,
        queued: QueuedRequest,
        late: bool,
        loads: LoadById,
    ) -> Placement | PlaceRefused:
        prefill_budget_s = MAX_LATE_PREFILL_S if late else queued.in_time_until_s - now_s
        if queued.on_time and prefill_budget_s < MAX_DUE_PREFILL_S:
            prefill_budget_s = MAX_DUE_PREFILL_S
        full_share = LATE_FULL_SHARE if late else FULL_SHARE
        if self.sharing is not None:
            runners = self._runners.ready(queued.request.service)
            loads, prefill_budget_s = self.sharing.limit_queued(
                now_s, queued, runners, loads, prefill_budget_s, full_share
            )
        return self._place(
            now_s, queued.request, queued.engine, prefill_budget_s, loads, full_share
        )

    def _place(
        self,
        now_s: float,
        request: GenerationRequest,
        engine: EngineConfig,
        prefill_budget_s: float,
        loads: LoadById,
        full_share: float,
        origin: SendOrigin = SendOrigin.HOME,
    ) -> Placement | PlaceRefused:
        max_tokens = full_share * engine.kv_capacity_tokens
        choice = Choice(now_s, request, engine, prefill_budget_s, max_tokens, loads)
        candidates = self._candidates(request, loads)
        fitting = [
            runner
            for runner in self._choice.fitting(choice, candidates)
            if self._bounds is None or self._bounds.allows(now_s, runner, origin)
        ]
        if not fitting:
            return PlaceRefused(MIN_RETRY_S)
        chosen, latency = self._choice.best(choice, fitting, candidates)
        backup = self._copies.backup(now_s, request, engine, chosen, loads)
        placement = Placement(chosen.id, backup, latency)
        self.registry.record_placement(now_s, request, placement, loads)
        self._record_sent(now_s, chosen.id, origin)
        return placement

    def _record_sent(self, now_s: float, runner_id: RunnerId, origin: SendOrigin) -> None:
        if self._bounds is not None:
            self._bounds.record_sent(now_s, runner_id, origin)

    def _candidates(self, request: GenerationRequest, loads: LoadById) -> list[Runner]:
        """Return the engines to choose from; suspected ones only if there are no others."""
        ready = [runner for runner in self._allowed(request) if runner.id in loads]
        return [runner for runner in ready if runner.id not in self._runners.suspects] or ready

    def _allowed(self, request: GenerationRequest) -> list[Runner]:
        """Return the engines that may run a request, regardless of their load."""
        return [
            runner
            for runner in self._runners.ready(request.service)
            if runner.id not in request.excluded and request.may_run_in(runner.zone)
        ]

    def _is_short(self, request: GenerationRequest) -> bool:
        return self.registry.expected_new_output(request) < SHORT_TOKENS
