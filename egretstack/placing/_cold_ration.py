"""How many requests a cold runner gets in a second, over the whole fleet; pure.

A runner that has just started, or came back, crashes under a rate that it takes when it is warm.
The load is that of a zone whose runners come back together while callers try again. The bound is
one for the fleet, and instances may be cut off from each other: the home has a part for what it
places, as large as the share of the fleet that it hears, and each instance has a part of the rest
for what it sends by itself. Whoever is cut off from whom, the parts add up to no more.
"""

from collections import deque
from collections.abc import Callable
from enum import Enum
from hashlib import blake2b

from egretstack.fleet import Runner, RunnerTable
from egretstack.ids import InstanceId, RunnerId, ServiceName
from egretstack.platform import Bounds
from egretstack.routing import ColdPlan

WINDOW_S = 1.1
"""A second, and what a request may take longer on its way than the one before it."""
SAFETY_SHARE = 0.9
"""Part of the bound that is used: an instance may not know all others yet."""


class ColdPart(Enum):
    """Which part of the bound a request draws on."""

    HOME = "home"
    """The home places it, for any instance."""
    ALONE = "alone"
    """An instance places it at an engine because the home is silent."""
    PLAIN = "plain"
    """An instance sends it to a plain runner, for which nobody places."""


class ColdRation:
    """What cold runners got in the last second from this instance, and what more they may get."""

    def __init__(self, own: InstanceId, runners: RunnerTable, bounds: Bounds) -> None:
        self._own = own
        self._runners = runners
        self.bounds = bounds
        self.plan: Callable[[ServiceName], ColdPlan | None] = lambda service: None
        """Gives how cold runners of a service have to be treated."""
        self.others: tuple[InstanceId, ...] = ()
        """All other instances that were ever heard of, living or not."""
        self.heard = 0
        """How many of them this instance hears now."""
        self._sent_by_id: dict[RunnerId, deque[float]] = {}

    def allows(self, now_s: float, runner: Runner, part: ColdPart) -> bool:
        """Tell whether one more request may go to a runner; always, if it is not cold."""
        plan = self.plan(runner.service)
        overage = self.bounds.cold_overage
        if plan is None or plan.requests_per_s <= 0 or overage is None:
            return True
        if not self._runners.is_cold(now_s, runner.id, plan.start_s):
            return True
        whole = SAFETY_SHARE * (plan.requests_per_s * overage + self.bounds.cold_slack)
        homes = min(plan.requests_per_s, whole)
        if part is ColdPart.HOME:
            most = homes * (1 + self.heard) / (1 + len(self.others))
        elif part is ColdPart.ALONE:
            most = self._own_part(runner.id, whole - homes)
        else:
            most = self._own_part(runner.id, whole)
        return len(self._recent(now_s, runner.id)) + 1 <= most

    def sent(self, now_s: float, runner_id: RunnerId) -> None:
        """Note a request that goes to a runner."""
        self._recent(now_s, runner_id).append(now_s)

    def forget_gone(self) -> None:
        """Forget runners that are no longer known."""
        for gone in self._sent_by_id.keys() - self._runners.by_id.keys():
            del self._sent_by_id[gone]

    def _own_part(self, runner_id: RunnerId, whole: float) -> int:
        """Give this instance's part; where there are too many instances, one each for some.

        Which ones goes by a hash of runner and instance, so that each runner has others.
        """
        instances = 1 + len(self.others)
        if whole >= instances:
            return int(whole / instances)
        own = _digest(runner_id, self._own)
        before = sum(_digest(runner_id, other) < own for other in self.others)
        return 1 if before < int(whole) else 0

    def _recent(self, now_s: float, runner_id: RunnerId) -> deque[float]:
        times = self._sent_by_id.setdefault(runner_id, deque())
        while times and now_s - times[0] >= WINDOW_S:
            times.popleft()
        return times


def _digest(runner_id: RunnerId, instance: InstanceId) -> bytes:
    return blake2b(f"{runner_id} {instance}".encode(), digest_size=8).digest()
