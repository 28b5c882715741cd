"""How many requests a cold runner gets in a second, over the whole fleet; pure.

A runner that has just started, or came back, crashes under a rate that it takes when it is warm.
The load is that of a zone whose runners come back together while callers try again. The bound is
one for the fleet, and instances may be cut off from each other: the home has a part for what it
places, as large as the share of the fleet that it hears, and each instance has a part of the rest
for what it sends by itself. Whoever is cut off from whom, the parts add up to no more.
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
"""A second, and what a request may take longer on its way than the one before it."""
SAFETY_SHARE = 0.9
"""Part of the bound that is used: an instance may not know all others yet."""


class ColdAllocation(SendBound):
    """What cold runners got in the last second from this instance, and what more they may get."""

    def __init__(self, split: FleetSplit, runners: RunnerTable, bounds: Bounds) -> None:
        self._split = split
        self._runners = runners
        self.bounds = bounds
        self.plan: Callable[[ServiceName], ColdStartConfig | None] = lambda service: None
        """Gives how cold runners of a service have to be treated."""
        self._sent_by_id: dict[RunnerId, deque[float]] = {}

    def allows(self, now_s: float, runner: Runner, part: SendOrigin) -> bool:
        """Tell whether one more request may go to a runner; always, if it is not cold."""
        most = self._most(now_s, runner, part)
        return most is None or len(self._recent(now_s, runner.id)) + 1 <= most

    def time_until_allowed_s(
        self, now_s: float, runner: Runner, part: SendOrigin, ahead: int = 0
    ) -> float:
        """Give when a request may go to a runner, `ahead` others before it; 0 if at once."""
        most = self._most(now_s, runner, part)
        if most is None:
            return 0.0
        if most < 1:
            return float("inf")
        windows, place = divmod(ahead, int(most))
        recent = self._recent(now_s, runner.id)
        over = len(recent) + place + 1 - int(most)
        wait_s = recent[min(over, len(recent)) - 1] + WINDOW_S - now_s if over > 0 else 0.0
        return wait_s + windows * WINDOW_S

    def _most(self, now_s: float, runner: Runner, part: SendOrigin) -> float | None:
        """Give how many requests this instance may send in a window; None if it is not bounded."""
        plan = self.plan(runner.service)
        overage = self.bounds.cold_overage
        if plan is None or plan.requests_per_s <= 0 or overage is None:
            return None
        if part is SendOrigin.CONTINUED:
            return None  # The home counts it as its own.
        if not self._runners.is_cold(now_s, runner.id, plan.warm_up_s):
            return None
        whole = SAFETY_SHARE * (plan.requests_per_s * overage + self.bounds.cold_slack)
        homes = min(plan.requests_per_s, whole)
        if part is SendOrigin.HOME:
            return homes * self._split.reachable_share
        if part is SendOrigin.ALONE:
            return self._own_part(runner.id, whole - homes)
        return self._own_part(runner.id, whole)

    def record_sent(self, now_s: float, runner_id: RunnerId, part: SendOrigin) -> None:
        """Note a request that goes to a runner."""
        if part is not SendOrigin.CONTINUED:
            self._recent(now_s, runner_id).append(now_s)

    def forget_removed(self) -> None:
        """Forget runners that are no longer known."""
        for gone in self._sent_by_id.keys() - self._runners.by_id.keys():
            del self._sent_by_id[gone]

    def _own_part(self, runner_id: RunnerId, whole: float) -> int:
        """Give this instance's part; where there are too many instances, one each for some."""
        if whole >= self._split.instance_count:
            return int(whole / self._split.instance_count)
        return int(self._split.is_sender(runner_id, int(whole)))

    def _recent(self, now_s: float, runner_id: RunnerId) -> deque[float]:
        times = self._sent_by_id.setdefault(runner_id, deque())
        while times and now_s - times[0] >= WINDOW_S:
            times.popleft()
        return times
