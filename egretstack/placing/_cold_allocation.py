"""Rate limit for cold runners over the whole fleet. Does no I/O.

A runner that has just started, or came back, crashes under a rate that it handles once it is warm.
This matters when the runners of a zone come back together while callers retry. The limit applies
to the fleet as a whole, and instances may be partitioned from each other. So the home has an
allocation for the requests that it places, in proportion to the share of the fleet that it can
reach, and each instance has an allocation of the rest for requests that it sends without the home.
Whatever the partition, the allocations do not add up to more than the limit.
"""

from collections import deque
from collections.abc import Callable

from egretstack.fleet import Runner, RunnerTable
from egretstack.ids import RunnerId, ServiceName
from egretstack.placing._send_bounds import SendBound, SendOrigin
from egretstack.placing._split import FleetSplit
from egretstack.platform import Bounds
from egretstack.routing import ColdStartConfig

WINDOW_S = 1.1
"""One second, plus how much longer a request may be on its way than the one before it."""
SAFETY_SHARE = 0.9
"""Share of the limit that is allocated: an instance may not know all others yet."""


class ColdAllocation(SendBound):
    """Limits how many requests this instance sends to each cold runner in a window."""

    def __init__(self, split: FleetSplit, runners: RunnerTable, bounds: Bounds) -> None:
        self._split = split
        self._runners = runners
        self.bounds = bounds
        self.config_for: Callable[[ServiceName], ColdStartConfig | None] = lambda service: None
        """Returns a service's configuration of cold runners."""
        self._sent_by_id: dict[RunnerId, deque[float]] = {}

    def allows(self, now_s: float, runner: Runner, origin: SendOrigin) -> bool:
        """Return whether a runner may get one more request; always true unless it is cold."""
        limit = self._limit(now_s, runner, origin)
        return limit is None or len(self._recent(now_s, runner.id)) + 1 <= limit

    def time_until_allowed_s(
        self, now_s: float, runner: Runner, origin: SendOrigin, ahead: int = 0
    ) -> float:
        """Return the time until a runner may get a request after `ahead` others; 0 if now."""
        limit = self._limit(now_s, runner, origin)
        if limit is None:
            return 0.0
        if limit < 1:
            return float("inf")
        windows, position = divmod(ahead, int(limit))
        recent = self._recent(now_s, runner.id)
        excess = len(recent) + position + 1 - int(limit)
        wait_s = recent[min(excess, len(recent)) - 1] + WINDOW_S - now_s if excess > 0 else 0.0
        return wait_s + windows * WINDOW_S

    def _limit(self, now_s: float, runner: Runner, origin: SendOrigin) -> float | None:
        """Return how many requests this instance may send in a window; None if unlimited."""
        config = self.config_for(runner.service)
        overage = self.bounds.cold_overage
        if config is None or config.requests_per_s <= 0 or overage is None:
            return None
        if origin is SendOrigin.CONTINUED:
            return None  # The home counts it in its own allocation.
        if not self._runners.is_cold(now_s, runner.id, config.warm_up_s):
            return None
        total = SAFETY_SHARE * (config.requests_per_s * overage + self.bounds.cold_slack)
        home_total = min(config.requests_per_s, total)
        if origin is SendOrigin.HOME:
            return home_total * self._split.reachable_share
        if origin is SendOrigin.ALONE:
            return self._own_allocation(runner.id, total - home_total)
        return self._own_allocation(runner.id, total)

    def record_sent(self, now_s: float, runner_id: RunnerId, origin: SendOrigin) -> None:
        """Record a request that is sent to a runner."""
        if origin is not SendOrigin.CONTINUED:
            self._recent(now_s, runner_id).append(now_s)

    def forget_removed(self) -> None:
        """Forget runners that are no longer known."""
        for removed in self._sent_by_id.keys() - self._runners.by_id.keys():
            del self._sent_by_id[removed]

    def _own_allocation(self, runner_id: RunnerId, total: float) -> int:
        """Return this instance's equal share of `total`.

        With more instances than requests, some instances get one request and the others none.
        """
        if total >= self._split.instance_count:
            return int(total / self._split.instance_count)
        return int(self._split.is_sender(runner_id, int(total)))

    def _recent(self, now_s: float, runner_id: RunnerId) -> deque[float]:
        times = self._sent_by_id.setdefault(runner_id, deque())
        while times and now_s - times[0] >= WINDOW_S:
            times.popleft()
        return times
