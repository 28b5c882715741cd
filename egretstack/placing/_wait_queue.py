"""Queue of generations that wait at the home for a place.

Requests whose first token can still be in time go first. A caller that was refused and returns is
late from its first attempt on. If it were served before those that are in time, it would make the
next one late, and on engines that stay full no request would be in time any more.
"""

from collections import Counter
from collections.abc import Collection, Iterator
from heapq import heapify, heappop, heappush

from egretstack.placing._fair_order import FairOrder, OrderKey, QueuedRequest, StartOf
from egretstack.placing._run import GenerationRequest
from egretstack.routing import EngineConfig

REQUEST_TTL_S = 0.8
"""How long a request stays queued after it was last sent; it is sent several times in that time."""
MAX_WAITING = 4096
PROMPT_TTL_S = 40.0
"""How long a caller that left without a place is remembered: the deadline of a long request."""
SCAN_INTERVAL_S = 0.05
"""Time between two scans of all requests for late and expired ones when capacity is shared."""


class WaitQueue:
    """Queued requests by attempt.

    Their fair order is kept only if client accounts share capacity.
    """

    def __init__(self, *, shares_capacity: bool = False) -> None:
        self._shares_capacity = shares_capacity
        """If so, a caller that returns is ordered by the time of its first attempt."""
        self._by_attempt: dict[str, QueuedRequest] = {}
        self._in_time_until_s_by_prompt: dict[str, float] = {}
        """For callers that wait or left without a place, in the order in which they first came."""
        self._prompt_ends: list[tuple[float, str]] = []
        """Heap of these times and prompts; some are no longer known."""
        self._count_by_key: Counter[tuple[int, str]] = Counter()
        """Number of waiting requests by rank and account."""
        self._count_by_rank: Counter[int] = Counter()
        self._fair_order = FairOrder()
        self._scanned_s = float("-inf")
        self._late_count = 0

    def __len__(self) -> int:
        return len(self._by_attempt)

    def __contains__(self, attempt: str) -> bool:
        return attempt in self._by_attempt

    @property
    def is_full(self) -> bool:
        """Whether no further request can be queued."""
        return len(self._by_attempt) >= MAX_WAITING

    def enqueue(
        self,
        now_s: float,
        request: GenerationRequest,
        engine: EngineConfig,
        cost: float = 0.0,
        *,
        crowding: bool = False,
        on_time: bool = False,
    ) -> None:
        """Add a request, or refresh it if it is already queued.

        `cost` is the memory x time that it is expected to use; `crowding` says that its account has
        too much to go before less urgent requests, `on_time` that its caller returned when told.
        """
        queued = self._by_attempt.get(request.attempt)
        if queued is not None:
            queued.request, queued.requested_s = request, now_s
        elif not self.is_full:
            until_s = self._in_time_until_s(now_s, request)
            first_s = now_s
            if self._shares_capacity:
                first_s = min(now_s, until_s - request.first_token_budget_s)
            order, account = (request.rank, first_s), request.account
            queued = QueuedRequest(request, engine, order, until_s, now_s, account, now_s, cost)
            queued.crowding, queued.on_time = crowding, on_time
            self._by_attempt[request.attempt] = queued
            if self._shares_capacity:
                self._fair_order.add(queued, late=False)
            self._count(queued, 1)

    def count_of(self, rank: int, account: str) -> int:
        """Return how many requests of an account wait in a rank."""
        return self._count_by_key[rank, account]

    def count_in(self, rank: int) -> int:
        """Return how many requests wait in a rank."""
        return self._count_by_rank[rank]

    @property
    def in_time_count(self) -> int:
        """How many waiting requests were not late when they were last looked at."""
        return len(self._by_attempt) - self._late_count

    def is_return(self, now_s: float, request: GenerationRequest) -> bool:
        """Return whether a caller comes back with a prompt for which it found no place."""
        until_s = self._in_time_until_s_by_prompt.get(request.prompt_id)
        return until_s is not None and now_s - until_s <= PROMPT_TTL_S

    def in_time_until_s(self, now_s: float, request: GenerationRequest) -> float:
        """Return when a request that is not queued yet is late, from its first attempt."""
        if self.is_return(now_s, request):
            return self._in_time_until_s_by_prompt[request.prompt_id]
        return now_s + request.first_token_budget_s

    def record_refused(self, now_s: float, request: GenerationRequest) -> None:
        """Remember a caller whose request was not queued, as if it had waited."""
        self._in_time_until_s(now_s, request)

    def find(self, attempt: str) -> QueuedRequest | None:
        """Return the queued request of an attempt; None if it is not queued."""
        return self._by_attempt.get(attempt)

    def count_others(self, request: GenerationRequest) -> int:
        """Return how many other requests for the same service wait."""
        service, attempt = request.service, request.attempt
        waiting = self._by_attempt.values()
        return sum(
            one.request.service == service and one.request.attempt != attempt for one in waiting
        )

    def requests(self) -> list[QueuedRequest]:
        """Return all requests, in no particular order."""
        return list(self._by_attempt.values())

    def remove(self, attempt: str) -> None:
        """Remove a request for which no caller waits any more."""
        self._pop(attempt)

    def remove_placed(self, attempt: str) -> None:
        """Remove a request that got a place; its caller's earlier refusal no longer counts."""
        queued = self._pop(attempt)
        if queued is not None:
            self._in_time_until_s_by_prompt.pop(queued.request.prompt_id, None)

    def in_order(
        self,
        now_s: float,
        prefill_per_s: float,
        crowding: Collection[str] = (),
    ) -> Iterator[QueuedRequest]:
        """Return the requests that still wait, the first to be placed first.

        Those of `crowding` client accounts come after the others of their rank.
        """
        self._remove_expired(now_s)

        def order(queued: QueuedRequest) -> tuple[bool, int, bool, float]:
            request = queued.request
            late = queued.is_late(now_s, request.context_tokens / prefill_per_s)
            rank, first_s = queued.order
            return late, rank, request.account in crowding, first_s

        yield from sorted(self._by_attempt.values(), key=order)

    def in_fair_order(self, start_of: StartOf) -> Iterator[QueuedRequest]:
        """Return the requests in the order of lateness, rank, and their accounts' virtual starts.

        In each rank those whose callers returned on time come before the others.
        """
        return self._fair_order.in_order(start_of)

    def with_keys(self, start_of: StartOf) -> Iterator[tuple[OrderKey, QueuedRequest]]:
        """Return the requests in the same order, each with its key."""
        return self._fair_order.with_keys(start_of)

    def key(self, queued: QueuedRequest, start_of: StartOf) -> OrderKey:
        """Return the key of a queued request in this order."""
        return self._fair_order.key(queued, start_of)

    def take_late(self, now_s: float, prefill_per_s: float) -> list[QueuedRequest]:
        """Remove expired requests; return those that are late, which come last from now on.

        Scans all requests, but at most once in SCAN_INTERVAL_S; returns none in between.
        """
        if now_s - self._scanned_s < SCAN_INTERVAL_S:
            return []
        self._scanned_s = now_s
        self._remove_expired(now_s)
        late = [
            one
            for one in self._by_attempt.values()
            if one.is_late(now_s, one.request.context_tokens / prefill_per_s)
        ]
        self._late_count = len(late)
        for queued in late:
            if queued.group is not None and not queued.group[0]:
                self._fair_order.add(queued, late=True)
        return late

    def waiting_accounts(self) -> dict[int, set[str]]:
        """Return the accounts with requests that can be in time, by rank."""
        return self._fair_order.waiting_accounts()

    def prompt_tokens(self) -> float:
        """Return the total length of all queued prompts."""
        return sum(one.request.context_tokens for one in self._by_attempt.values())

    def _in_time_until_s(self, now_s: float, request: GenerationRequest) -> float:
        """Return when a request is late; a prompt that came before keeps its first time."""
        until_s = now_s + request.first_token_budget_s
        if not request.prompt_id:
            return until_s
        known = self._in_time_until_s_by_prompt
        ends = self._prompt_ends
        while ends and now_s - ends[0][0] > PROMPT_TTL_S:
            ended_s, prompt_id = heappop(ends)
            if known.get(prompt_id) == ended_s:
                del known[prompt_id]
        if len(known) >= MAX_WAITING:
            known.pop(next(iter(known)))
        if request.prompt_id not in known:
            known[request.prompt_id] = until_s
            heappush(ends, (until_s, request.prompt_id))
            if len(ends) > 2 * MAX_WAITING:  # Without those that were placed or dropped since.
                ends[:] = [(it, one) for one, it in known.items()]
                heapify(ends)
        return known[request.prompt_id]

    def _remove_expired(self, now_s: float) -> None:
        for attempt in [
            one for one, it in self._by_attempt.items() if now_s - it.requested_s > REQUEST_TTL_S
        ]:
            self._pop(attempt)

    def _pop(self, attempt: str) -> QueuedRequest | None:
        queued = self._by_attempt.pop(attempt, None)
        if queued is not None:
            self._fair_order.remove(queued)
            self._count(queued, -1)
        return queued

    def _count(self, queued: QueuedRequest, change: int) -> None:
        rank, account = queued.order[0], queued.account
        for counts, key in ((self._count_by_rank, rank), (self._count_by_key, (rank, account))):
            counts[key] += change
            if not counts[key]:
                del counts[key]
