"""What a placer holds when client accounts share scarce capacity. Does no I/O except for logging.

It combines the shares of client accounts, the headroom of the more urgent ranks and the even part
of an instance that places alone, and decides which requests need not wait any longer.
"""

from collections import Counter, deque
from collections.abc import Callable, Iterator
from math import inf

from egretstack.events import Event, log
from egretstack.fleet import Runner
from egretstack.ids import ServiceName
from egretstack.placing._account_shares import REBUILD_S, AccountShares
from egretstack.placing._even_part import EvenPart
from egretstack.placing._fair_order import OrderKey, QueuedRequest
from egretstack.placing._headroom import Headroom, admissible, capped_places
from egretstack.placing._refusal import RefusalReason
from egretstack.placing._run import GenerationRequest, Placement, Run
from egretstack.placing._run_registry import GROWTH_TOKENS, LoadById, RunRegistry
from egretstack.placing._split import FleetSplit
from egretstack.placing._wait_limit import WAIT_SHARE, is_worth_waiting
from egretstack.placing._wait_queue import MAX_WAITING, REQUEST_TTL_S, WaitQueue
from egretstack.routing import EngineConfig

TOKEN_S = 0.008
"""Assumed time per output token on an engine. Only the ratio between requests matters for shares;
headroom follows the measured times as soon as there are some."""
IDLE_S = 1.0
"""Time without a pass after which the shares are rebuilt: another instance was the home."""
COUNT_INTERVAL_S = 0.1
"""Time between two counts of the runs in progress."""
EXCEEDED_TTL_S = 5.0
"""Time without such a request after which an account is within its share again."""
MAX_EXCEEDED = 256
"""Accounts above their share whose return below it is logged."""
MAX_RANK = 9_999
"""Highest rank that is distinguished; requests of higher ones count as this one. An account's rank
counts a hundred times as much as a route's."""


class CapacitySharing:
    """The shares, headroom and even part of one placer."""

    def __init__(
        self, registry: RunRegistry, queue: WaitQueue, split: FleetSplit | None = None
    ) -> None:
        self.shares = AccountShares()
        self.headroom = Headroom()
        self.is_on_time: Callable[[GenerationRequest], bool] = lambda request: False
        """Returns whether a caller returned at the time it was told."""
        self._even_part = None if split is None else EvenPart(split)
        self._registry = registry
        self._queue = queue
        self._passed_s = float("-inf")
        self._rebuild_until_s = float("-inf")
        self._counted_s = float("-inf")
        self._dropped: deque[QueuedRequest] = deque(maxlen=MAX_WAITING)
        self._dropped_s_by_attempt: dict[str, float] = {}
        self._exceeded_s_by_key: dict[tuple[int, str], float] = {}
        """When each account, by rank, was last found above its share."""
        self._services_with_headroom: set[ServiceName] = set()

    def cost(self, request: GenerationRequest) -> float:
        """Return the memory x time that a request is expected to use, in token seconds."""
        tokens = request.context_tokens + self._registry.expected_new_output(request)
        return tokens * self._time_s(request)

    def begin_pass(self, now_s: float) -> None:
        """Bring all state up to date before queued requests are placed."""
        if now_s - self._passed_s > IDLE_S:
            self._rebuild_until_s = now_s + REBUILD_S
            log(Event.SHARES_REBUILT, waiting=len(self._queue))
        self._passed_s = now_s
        if now_s - self._counted_s >= COUNT_INTERVAL_S:
            self._counted_s = now_s
            self._count_runs(now_s)
            self.shares.forget_idle(now_s)
            self._log_accounts_within(now_s)
            self._log_headroom(now_s)
        prefill_per_s = self._registry.prefill_per_s
        for position, queued in enumerate(self._queue.take_late(now_s, prefill_per_s)):
            if not self._may_serve_late(now_s, queued, position):
                self._drop(now_s, queued)

    def in_order(self) -> Iterator[QueuedRequest]:
        """Return the queued requests, the first to be placed first."""
        return self._queue.in_fair_order(self.shares.start)

    def with_keys(self) -> Iterator[tuple[OrderKey, QueuedRequest]]:
        """Return the queued requests in the same order, each with its key."""
        return self._queue.with_keys(self.shares.start)

    def key(self, queued: QueuedRequest) -> OrderKey:
        """Return the key of a queued request in this order."""
        return self._queue.key(queued, self.shares.start)

    def newcomer_key(self, now_s: float, request: GenerationRequest) -> OrderKey:
        """Return a key behind those of all other newcomers of a request's rank that are in time."""
        crowding = self.shares.is_crowding(now_s, request.account)
        return (False, crowding, request.rank), inf

    def record_new(self, now_s: float, request: GenerationRequest) -> None:
        """Record a request that is about to be queued for the first time."""
        rank = _rank(request)
        self.shares.record_waiting(now_s, rank, request.account)
        if self.shares.is_crowding(now_s, request.account):
            self._record_exceeded(now_s, rank, request.account, "work")
        elif not self._queue.is_return(now_s, request):
            self.headroom.record_arrival(
                now_s,
                (request.service, rank),
                self._needed_tokens(request),
                self._time_s(request),
                request.first_token_budget_s,
            )

    def record_placed(self, now_s: float, placed: list[QueuedRequest]) -> None:
        """Record queued requests that got a place, after they were removed from the queue."""
        for queued in placed:
            rank = _rank(queued.request)
            prompt_tokens = queued.request.context_tokens
            self.shares.record_served(now_s, rank, queued.account, queued.cost, prompt_tokens)
            self.headroom.record_placed(now_s, (queued.request.service, rank))
        if placed:
            self.shares.advance(self._queue.waiting_accounts())

    def limit_queued(
        self,
        now_s: float,
        queued: QueuedRequest,
        runners: list[Runner],
        loads: LoadById,
        prefill_budget_s: float,
        full_share: float,
    ) -> tuple[LoadById, float]:
        """Return the engines that a request may use, and the time for its prompt there.

        Both leave headroom for the more urgent ranks. Prompts wait at the home, where they are in
        order, for as long as they may, and on an engine only for the rest of their time: a long
        queue there would always have room only for the request that has just come.
        """
        request = queued.request
        if prefill_budget_s > 0.0 and now_s <= queued.in_time_until_s:
            engine_s = (1.0 - WAIT_SHARE) * request.first_token_budget_s
            prefill_budget_s = min(prefill_budget_s, max(engine_s, self._alone_s(request)))
        rank = _rank(request) + queued.crowding
        reserve = self.headroom.reserve(now_s, (request.service, rank))
        if reserve is None:
            return loads, prefill_budget_s
        needed = self._needed_tokens(request)
        usable = admissible(reserve, needed, full_share, queued.engine, runners, loads)
        own_s = request.context_tokens / self._registry.prefill_per_s
        budget_s = min(prefill_budget_s, reserve.prefill_s + own_s)
        return {one: load for one, load in loads.items() if one in usable}, budget_s

    def reserved_tokens(
        self, now_s: float, request: GenerationRequest, engine: EngineConfig, runners: list[Runner]
    ) -> float:
        """Return the memory that requests like this one leave free for the more urgent ranks.

        It does not include what is free as soon as the present runs of these ranks end.
        """
        rank = _rank(request) + self.shares.is_crowding(now_s, request.account)
        reserve = self.headroom.reserve(now_s, (request.service, rank))
        if reserve is None:
            return 0.0
        kept = capped_places(reserve, engine, runners) * reserve.place_tokens
        return max(0.0, kept - reserve.held_tokens)

    def limit_alone(
        self,
        now_s: float,
        request: GenerationRequest,
        engine: EngineConfig,
        runners: list[Runner],
        loads: LoadById,
        full_share: float,
    ) -> LoadById:
        """Return the engines on which this instance may place a request without the home."""
        if self._even_part is None:
            return loads
        needed = self._needed_tokens(request)
        most = full_share * engine.kv_capacity_tokens
        return {
            runner.id: loads[runner.id]
            for runner in runners
            if runner.id in loads
            and self._even_part.allows(now_s, runner, loads[runner.id], most, needed)
        }

    def record_placed_alone(
        self, now_s: float, request: GenerationRequest, placement: Placement
    ) -> None:
        """Record a placement that was made without the home."""
        if self._even_part is not None:
            needed = self._needed_tokens(request)
            self._even_part.record_placed(now_s, request.attempt, placement.runner, needed)

    def record_ended(self, attempt: str) -> None:
        """Record that the caller of a request gave up, or that its run has ended."""
        if self._even_part is not None:
            self._even_part.record_ended(attempt)

    def refusal(self, now_s: float, request: GenerationRequest) -> RefusalReason | None:
        """Return why a request cannot be queued; None if it can.

        A caller that returned when told, or whose stream has begun, is refused only if the queue is
        full.
        """
        if request.attempt in self._queue:
            return None
        if request.attempt in self._dropped_s_by_attempt:
            return RefusalReason.TOO_LATE
        if self._queue.is_full:
            self._queue.record_refused(now_s, request)
            return RefusalReason.QUEUE_FULL
        if request.generated_tokens or self.is_on_time(request):
            return None
        rank, account = _rank(request), request.account
        prefill_s = request.context_tokens / self._registry.prefill_per_s
        in_time_s = self._queue.in_time_until_s(now_s, request) - now_s - prefill_s
        lateness_s = prefill_s if self._queue.is_return(now_s, request) else -in_time_s
        if in_time_s < 0.0 and not is_worth_waiting(lateness_s, request.time_left_s):
            return RefusalReason.TOO_LATE
        if now_s < self._rebuild_until_s:
            return None  # The rates from which limits follow are not known yet.
        wait_s = min(request.max_wait_s, max(0.0, in_time_s))
        waiting = self._queue.count_of(rank, account)
        others = self._queue.count_in(rank) - waiting
        limit = self.shares.waiting_limit(now_s, rank, account, wait_s, others)
        if waiting < limit:
            return None
        self._queue.record_refused(now_s, request)
        self._record_exceeded(now_s, rank, account, "waiting")
        return RefusalReason.ACCOUNT_LIMIT

    def take_dropped(self) -> list[QueuedRequest]:
        """Return the requests that were dropped from the queue since the last call."""
        dropped = list(self._dropped)
        self._dropped.clear()
        return dropped

    def _may_serve_late(self, now_s: float, queued: QueuedRequest, ahead: int) -> bool:
        """Return whether a late answer is worth having, and room for it comes in its time.

        `ahead` counts the late requests that go first; those that can be in time do so as well.
        """
        request = queued.request
        waited_s = now_s - queued.waiting_since_s
        prefill_s = request.context_tokens / self._registry.prefill_per_s
        # A caller that was told to return expects a late answer: only what is added now counts.
        lateness_s = now_s + prefill_s - max(queued.in_time_until_s, queued.waiting_since_s)
        left_s = None if request.time_left_s is None else request.time_left_s - waited_s
        if not is_worth_waiting(lateness_s, left_s):
            return False
        if left_s is not None and left_s < self._time_s(request):
            return False
        per_s = self.shares.served_per_s(now_s, MAX_RANK)
        ahead += self._queue.in_time_count
        return ahead <= per_s * max(0.0, request.max_wait_s - waited_s)

    def _drop(self, now_s: float, queued: QueuedRequest) -> None:
        attempt = queued.request.attempt
        self._queue.remove(attempt)
        self._dropped.append(queued)
        # Its instance may have sent it once more before it gets the refusal.
        known = self._dropped_s_by_attempt
        while known and now_s - next(iter(known.values())) > REQUEST_TTL_S:
            del known[next(iter(known))]
        known[attempt] = now_s

    def _count_runs(self, now_s: float) -> None:
        rebuilding = now_s < self._rebuild_until_s
        running: Counter = Counter()
        costs: Counter = Counter()
        for run in self._registry.runs():
            rank = _rank(run.request)
            running[run.request.service, rank] += 1
            if rebuilding:
                costs[rank, run.request.account] += self._cost_left(run)
        self.headroom.record_running(now_s, running)
        if rebuilding:
            self.shares.rebuild(now_s, costs)

    def _cost_left(self, run: Run) -> float:
        left = self._registry.tokens_left(run)
        return self._registry.forecast_tokens(run) * left * TOKEN_S

    def _time_s(self, request: GenerationRequest) -> float:
        prefill_s = request.context_tokens / self._registry.prefill_per_s
        return prefill_s + TOKEN_S * self._registry.expected_new_output(request)

    def _alone_s(self, request: GenerationRequest) -> float:
        """Return the time for a prompt on an engine that has almost no other to process."""
        return 1.2 * request.context_tokens / self._registry.prefill_per_s

    def _needed_tokens(self, request: GenerationRequest) -> float:
        growth = min(GROWTH_TOKENS, self._registry.expected_new_output(request))
        return request.context_tokens + growth

    def _record_exceeded(self, now_s: float, rank: int, account: str, what: str) -> None:
        known = self._exceeded_s_by_key
        if (rank, account) not in known:
            if len(known) >= MAX_EXCEEDED:
                return
            log(Event.SHARE_EXCEEDED, account=account, rank=rank, what=what)
        known[rank, account] = now_s

    def _log_accounts_within(self, now_s: float) -> None:
        known = self._exceeded_s_by_key
        for key in [one for one, it in known.items() if now_s - it > EXCEEDED_TTL_S]:
            del known[key]
            log(Event.SHARE_KEPT, account=key[1], rank=key[0])

    def _log_headroom(self, now_s: float) -> None:
        before, now = self._services_with_headroom, self.headroom.services(now_s)
        for service in now - before:
            log(Event.HEADROOM_BEGUN, service=service, ranks=self.headroom.ranks(now_s, service))
        for service in before - now:
            log(Event.HEADROOM_ENDED, service=service)
        self._services_with_headroom = now


def _rank(request: GenerationRequest) -> int:
    return max(0, min(MAX_RANK, request.rank))
