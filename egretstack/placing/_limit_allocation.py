"""How much of the limit that a runner names each instance may use; pure.

A runner names what it takes from all instances together. They may be cut off from each other, so
each has a part of its own: for engines the home has most of it, as much as the share of the fleet
that it hears, and each instance has a little for what it sends without the home. Whoever is cut off
from whom, the parts add up to no more than the runner bears for a while.
"""

from dataclasses import dataclass

from egretstack.fleet import Runner, RunnerLimits, RunnerTable
from egretstack.ids import RunnerId
from egretstack.placing._send_bounds import SendBound, SendOrigin
from egretstack.placing._split import FleetSplit

WINDOW_S = 4.0
"""Time over which what a runner bears is counted."""
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
HOME_AT_ONCE = 0.125
"""Part of what a runner bears beyond the rates of all parts that one home may send at once."""
CALLS_AT_ONCE = 0.5
"""The same for calls to a plain runner, all instances together."""
LEAST_PER_S = 0.1
"""Requests a second that a runner gets at least. Without any, nobody would hear from it that it
takes more again."""


@dataclass(frozen=True, slots=True)
class _Allowance:
    """What one instance, or the home, may send of a limit."""

    per_s: float
    at_once: float


@dataclass(slots=True)
class _Bucket:
    """What of an allowance is not used yet, in requests."""

    filled_s: float
    held: float = 1.0

    def fill(self, now_s: float, allowance: _Allowance) -> float:
        """Bring it up to date; give what it holds."""
        gained = max(0.0, now_s - self.filled_s) * allowance.per_s
        self.held = min(allowance.at_once, self.held + gained)
        self.filled_s = now_s
        return self.held


class LimitAllocation(SendBound):
    """What this instance may send to runners that name limits."""

    def __init__(self, split: FleetSplit, runners: RunnerTable, limits: RunnerLimits) -> None:
        self._split = split
        self._runners = runners
        self._limits = limits
        self._bucket_by_use: dict[tuple[RunnerId, bool], _Bucket] = {}
        """By runner, and whether it is what the home places."""

    def allows(self, now_s: float, runner: Runner, part: SendOrigin) -> bool:
        """Tell whether one more request may go to a runner; always, if it names no limit."""
        return self.time_until_allowed_s(now_s, runner, part) <= 0.0

    def time_until_allowed_s(
        self, now_s: float, runner: Runner, part: SendOrigin, ahead: int = 0
    ) -> float:
        """Give when a request may go to a runner, `ahead` others before it; 0 if at once."""
        allowance = self._allowance(runner.id, part)
        if allowance is None:
            return 0.0
        if allowance.per_s <= 0.0:
            return float("inf")
        held = self._bucket(now_s, runner.id, part).fill(now_s, allowance)
        return max(0.0, 1.0 + ahead - held) / allowance.per_s

    def record_sent(self, now_s: float, runner_id: RunnerId, part: SendOrigin) -> None:
        """Note a request that goes to a runner."""
        allowance = self._allowance(runner_id, part)
        if allowance is not None:
            bucket = self._bucket(now_s, runner_id, part)
            bucket.held = bucket.fill(now_s, allowance) - 1.0

    def forget_removed(self) -> None:
        """Forget runners that are no longer known."""
        for use in [one for one in self._bucket_by_use if one[0] not in self._runners.by_id]:
            del self._bucket_by_use[use]

    def is_rate_limited(self, runner: Runner) -> bool:
        """Tell whether a runner takes too little to go on there with streams that broke off."""
        return self._limits.per_s(runner.id) is not None

    def _allowance(self, runner_id: RunnerId, part: SendOrigin) -> _Allowance | None:
        """Give what may be sent to a runner from a part of its limit; None if it names none."""
        named = self._limits.per_s(runner_id)
        if named is None:
            return None
        limit = max(LEAST_PER_S, named)
        if part is SendOrigin.PLAIN:
            spare = WINDOW_S * (OVERAGE * named - MAIN_SHARE * limit) + SLACK
            return self._even_allowance(runner_id, MAIN_SHARE * limit, spare, CALLS_AT_ONCE * spare)
        spare = WINDOW_S * (OVERAGE * named - (MAIN_SHARE + OWN_SHARE) * limit) + SLACK
        homes = max(1.0, HOME_AT_ONCE * spare)
        if self._is_home_use(part):
            return _Allowance(MAIN_SHARE * limit * self._split.reachable_share, homes)
        return self._even_allowance(runner_id, OWN_SHARE * limit, spare - MOST_HOMES * homes, 0.0)

    def _even_allowance(
        self, runner_id: RunnerId, per_s: float, spare: float, at_once: float
    ) -> _Allowance:
        """Split a rate, and what may be sent at once, among as many instances as `spare` bears."""
        most = min(self._split.instance_count, int(spare))
        if not self._split.is_sender(runner_id, most):
            return _Allowance(0.0, 0.0)
        return _Allowance(per_s / most, max(1.0, at_once / most))

    def _is_home_use(self, part: SendOrigin) -> bool:
        """Tell whether a part is the home's; one that hears few places by its own part alone."""
        return part is SendOrigin.HOME and self._split.reachable_share * MOST_HOMES >= 1.0

    def _bucket(self, now_s: float, runner_id: RunnerId, part: SendOrigin) -> _Bucket:
        use = runner_id, self._is_home_use(part)
        bucket = self._bucket_by_use.get(use)
        if bucket is None:
            bucket = self._bucket_by_use[use] = _Bucket(now_s)
        return bucket
