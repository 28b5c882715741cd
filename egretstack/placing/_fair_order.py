"""Requests that wait, grouped so that their fair order is found without sorting all of them.

Hundreds of requests wait while memory is scarce, and the first few are looked up some hundred times
a second. A lookup here costs a heap of one entry for each waiting account, not of each request.
"""

from bisect import insort
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from heapq import heapify, heappop, heapreplace
from operator import attrgetter

from egretstack.placing._run import GenerationRequest
from egretstack.routing import EngineConfig

StartOf = Callable[[int, str], float]
"""Returns the virtual start of a client account in a rank."""

Group = tuple[bool, bool, int]
"""Late, crowding, rank: what orders requests before their accounts' virtual starts."""

OrderKey = tuple[Group, float]
"""Group and virtual start of a request: it is served before those with larger keys."""


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A generation request that waits for a place."""

    request: GenerationRequest
    engine: EngineConfig
    order: tuple[int, float]
    """Rank, then the time at which it first came."""
    in_time_until_s: float
    """When its first token is late, counted from its caller's first attempt."""
    requested_s: float
    account: str
    """Its client account; one that is renamed meanwhile counts from the next request."""
    waiting_since_s: float = 0.0
    """When this attempt came; earlier attempts of its caller do not count."""
    cost: float = 0.0
    """Memory x time that it is expected to use, in token seconds."""
    crowding: bool = False
    """Whether its account has too much to go before less urgent requests of others."""
    on_time: bool = False
    """Whether its caller returned at the time it was told; it is then never treated as late."""
    group: Group | None = None
    """Its place in the fair order; None if it is not in one."""

    @property
    def first_s(self) -> float:
        """The time at which it first came."""
        return self.order[1]

    @property
    def arrival(self) -> tuple[bool, float]:
        """What orders the requests of one account, and accounts with the same virtual start."""
        return not self.on_time, self.first_s

    def is_late(self, now_s: float, prefill_s: float) -> bool:
        """Return whether its first token is late on any engine if the prefill takes `prefill_s`."""
        return not self.on_time and now_s + prefill_s > self.in_time_until_s


class FairOrder:
    """Waiting requests by group, and in each group by account in the order of arrival."""

    def __init__(self) -> None:
        self._groups: dict[Group, dict[str, list[QueuedRequest]]] = {}

    def add(self, queued: QueuedRequest, *, late: bool) -> None:
        """Add a request, or move it to another group."""
        self.remove(queued)
        queued.group = (late, queued.crowding, queued.order[0])
        lines = self._groups.setdefault(queued.group, {})
        insort(lines.setdefault(queued.account, []), queued, key=attrgetter("arrival"))

    def remove(self, queued: QueuedRequest) -> None:
        """Remove a request if it is in a group."""
        if queued.group is None:
            return
        lines = self._groups[queued.group]
        line = lines[queued.account]
        line.remove(queued)
        if not line:
            del lines[queued.account]
        if not lines:
            del self._groups[queued.group]
        queued.group = None

    def in_order(self, start_of: StartOf) -> Iterator[QueuedRequest]:
        """Return the requests, the first to be placed first; do not change them meanwhile."""
        return (queued for _, queued in self.with_keys(start_of))

    def with_keys(self, start_of: StartOf) -> Iterator[tuple[OrderKey, QueuedRequest]]:
        """Return the requests in order, each with its key; do not change them meanwhile.

        Within a group they are in the order of virtual starts. The second request of an account
        starts where the first one ends.
        """
        for group, lines in sorted(self._groups.items(), key=lambda item: item[0]):
            rank = group[2]
            heap = [
                (start_of(rank, account), line[0].arrival, account, 0)
                for account, line in lines.items()
            ]
            heapify(heap)
            while heap:
                start, _, account, position = heap[0]
                line = lines[account]
                yield (group, start), line[position]
                if position + 1 < len(line):
                    following = line[position + 1].arrival
                    end = start + line[position].cost
                    heapreplace(heap, (end, following, account, position + 1))
                else:
                    heappop(heap)

    def key(self, queued: QueuedRequest, start_of: StartOf) -> OrderKey:
        """Return the key of a request in the order."""
        line = self._groups[queued.group][queued.account]
        before = line[: line.index(queued)]
        start = start_of(queued.group[2], queued.account) + sum(one.cost for one in before)
        return queued.group, start

    def waiting_accounts(self) -> dict[int, set[str]]:
        """Return the accounts with requests that can be in time, by rank."""
        accounts: dict[int, set[str]] = {}
        for (late, _, rank), lines in self._groups.items():
            if not late:
                accounts.setdefault(rank, set()).update(lines)
        return accounts
