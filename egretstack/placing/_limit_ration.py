"""How much of the limit that a runner names each instance may use; pure.

A runner names what it takes from all instances together. They may be cut off from each other, so
each has a part of its own: for engines the home has most of it, as much as the share of the fleet
that it hears, and each instance has a little for what it sends without the home. Whoever is cut off
from whom, the parts add up to no more than the runner bears for a while.
"""

from dataclasses import dataclass

from egretstack.fleet import Runner, RunnerLimits, RunnerTable
from egretstack.ids import RunnerId
from egretstack.placing._send_bounds import SendBound, SendPart
from egretstack.placing._split import FleetSplit

WINDOW_S = 4.0
OVERAGE = 1.5
"""What a runner bears in a window, as a multiple of its limit."""
SLACK = 5
"""What it bears beyond that, in requests."""
MAIN_SHARE = 0.9
"""Part of a limit for what the home places, or for calls to a plain runner."""
OWN_SHARE = 0.3
"""Part of an engine's limit, beside the home's, for what instances send without the home."""
MOST_HOMES = 2
"""Homes of a split fleet that use the home's part: those that hear half of it or more."""
LEAST_PER_S = 0.1
"""Requests a second that a runner gets at least. Without any, nobody would hear from it that it
takes more again."""


@dataclass(slots=True)
class _Bucket:
    """Fills at a rate, up to one request."""

    filled_s: float
    held: float = 1.0

    def fill(self, now_s: float, per_s: float) -> float:
        """Bring it up to date; give what it holds."""
        self.held = min(1.0, self.held + max(0.0, now_s - self.filled_s) * per_s)
        self.filled_s = now_s
        return self.held


class LimitRation(SendBound):
    """What this instance may send to runners that name limits."""

    def __init__(self, split: FleetSplit, runners: RunnerTable, limits: RunnerLimits) -> None:
        self._split = split
        self._runners = runners
        self._limits = limits
        self._bucket_by_use: dict[tuple[RunnerId, bool], _Bucket] = {}
        """By runner, and whether it is what the home places."""

    def allows(self, now_s: float, runner: Runner, part: SendPart) -> bool:
        """Tell whether one more request may go to a runner; always, if it names no limit."""
        return self.free_after_s(now_s, runner, part) <= 0.0

    def free_after_s(self, now_s: float, runner: Runner, part: SendPart, ahead: int = 0) -> float:
        """Give when a request may go to a runner, `ahead` others before it; 0 if at once."""
        per_s = self._per_s(runner.id, part)
        if per_s is None:
            return 0.0
        if per_s <= 0.0:
            return float("inf")
        held = self._bucket(now_s, runner.id, part).fill(now_s, per_s)
        return max(0.0, 1.0 + ahead - held) / per_s

    def sent(self, now_s: float, runner_id: RunnerId, part: SendPart) -> None:
        """Note a request that goes to a runner."""
        per_s = self._per_s(runner_id, part)
        if per_s is not None:
            bucket = self._bucket(now_s, runner_id, part)
            bucket.held = bucket.fill(now_s, per_s) - 1.0

    def forget_gone(self) -> None:
        """Forget runners that are no longer known."""
        for use in [one for one in self._bucket_by_use if one[0] not in self._runners.by_id]:
            del self._bucket_by_use[use]

    def is_scarce(self, runner: Runner) -> bool:
        """Tell whether a runner takes too little to go on there with streams that broke off."""
        return self._limits.per_s(runner.id) is not None

    def _per_s(self, runner_id: RunnerId, part: SendPart) -> float | None:
        """Give this instance's part of a runner's limit; None if it names none."""
        named = self._limits.per_s(runner_id)
        if named is None:
            return None
        limit = max(LEAST_PER_S, named)
        if self._is_home_use(part):
            return MAIN_SHARE * limit * self._split.heard_share
        plain = part is SendPart.PLAIN
        used = MAIN_SHARE if plain else MAIN_SHARE + OWN_SHARE
        # Beside what they fill by, parts may each be used at once after a pause.
        at_once = WINDOW_S * (OVERAGE * named - used * limit) + SLACK - (0 if plain else MOST_HOMES)
        most = min(self._split.instances, int(at_once))
        if not self._split.is_among(runner_id, most):
            return 0.0
        return (MAIN_SHARE if plain else OWN_SHARE) * limit / most

    def _is_home_use(self, part: SendPart) -> bool:
        """Tell whether a part is the home's; one that hears few places by its own part alone."""
        return part is SendPart.HOME and self._split.heard_share * MOST_HOMES >= 1.0

    def _bucket(self, now_s: float, runner_id: RunnerId, part: SendPart) -> _Bucket:
        use = runner_id, self._is_home_use(part)
        bucket = self._bucket_by_use.get(use)
        if bucket is None:
            bucket = self._bucket_by_use[use] = _Bucket(now_s)
        return bucket
