"""How the rate limit that a runner states is split among the instances. Does no I/O.

A runner states how many requests it accepts from all instances together. The instances may be
partitioned from each other, so each has its own allocation: for engines the home has most of the
limit, in proportion to the share of the fleet that it can reach, and each instance has a little
for requests that it sends without the home. Whatever the partition, the allocations do not add up
to more than the runner tolerates for a while.
"""

from dataclasses import dataclass

from egretstack.fleet import Runner, RunnerLimits, RunnerTable
from egretstack.ids import RunnerId
from egretstack.placing._send_bounds import SendBound, SendOrigin
from egretstack.placing._split import FleetSplit

WINDOW_S = 4.0
"""Time window over which the requests to a runner are counted."""
OVERAGE = 1.5
"""What a runner tolerates in a window, as a multiple of its limit."""
SLACK = 5
"""Number of requests that a runner tolerates in a window in addition to that."""
MAIN_SHARE = 0.9
"""Share of a limit for requests that the home places, or for calls to a plain runner."""
OWN_SHARE = 0.3
"""Share of an engine's limit, besides the home's, for requests sent without the home."""
MAX_HOMES = 2
"""Homes of a partitioned fleet that use the home's allocation: those that reach at least half."""
HOME_BURST_SHARE = 0.125
"""Share of what a runner tolerates beyond all allocated rates that one home may send at once."""
CALL_BURST_SHARE = 0.5
"""The same for calls to a plain runner, for all instances together."""
MIN_PER_S = 0.1
"""Lowest rate of requests to a runner. Without any request no instance would learn from it that
it accepts more again."""


@dataclass(frozen=True, slots=True)
class _Allowance:
    """The rate and burst that this instance, or the home, may use of a limit."""

    per_s: float
    burst: float


@dataclass(slots=True)
class _Bucket:
    """Token bucket: the requests of an allowance that are not used yet."""

    filled_s: float
    tokens: float = 1.0

    def fill(self, now_s: float, allowance: _Allowance) -> float:
        """Add the tokens gained since the last call; return the level."""
        gained = max(0.0, now_s - self.filled_s) * allowance.per_s
        self.tokens = min(allowance.burst, self.tokens + gained)
        self.filled_s = now_s
        return self.tokens


class LimitAllocation(SendBound):
    """Limits what this instance sends to runners that state a rate limit."""

    def __init__(self, split: FleetSplit, runners: RunnerTable, limits: RunnerLimits) -> None:
        self._split = split
        self._runners = runners
        self._limits = limits
        self._bucket_by_use: dict[tuple[RunnerId, bool], _Bucket] = {}
        """By runner, and whether the bucket is for requests that the home places."""

    def allows(self, now_s: float, runner: Runner, origin: SendOrigin) -> bool:
        """Return whether a runner may get one more request; always true if it states no limit."""
        return self.time_until_allowed_s(now_s, runner, origin) <= 0.0

    def time_until_allowed_s(
        self, now_s: float, runner: Runner, origin: SendOrigin, ahead: int = 0
    ) -> float:
        """Return the time until a runner may get a request after `ahead` others; 0 if now."""
        allowance = self._allowance(runner.id, origin)
        if allowance is None:
            return 0.0
        if allowance.per_s <= 0.0:
            return float("inf")
        tokens = self._bucket(now_s, runner.id, origin).fill(now_s, allowance)
        return max(0.0, 1.0 + ahead - tokens) / allowance.per_s

    def record_sent(self, now_s: float, runner_id: RunnerId, origin: SendOrigin) -> None:
        """Record a request that is sent to a runner."""
        allowance = self._allowance(runner_id, origin)
        if allowance is not None:
            bucket = self._bucket(now_s, runner_id, origin)
            bucket.tokens = bucket.fill(now_s, allowance) - 1.0

    def forget_removed(self) -> None:
        """Forget runners that are no longer known."""
        for use in [one for one in self._bucket_by_use if one[0] not in self._runners.by_id]:
            del self._bucket_by_use[use]

    def is_rate_limited(self, runner: Runner) -> bool:
        """Return whether a runner accepts too few requests to continue broken streams on it."""
        return self._limits.per_s(runner.id) is not None

    def _allowance(self, runner_id: RunnerId, origin: SendOrigin) -> _Allowance | None:
        """Return what this instance may send for an origin; None if the runner has no limit."""
        stated = self._limits.per_s(runner_id)
        if stated is None:
            return None
        limit = max(MIN_PER_S, stated)
        if origin is SendOrigin.PLAIN:
            spare = WINDOW_S * (OVERAGE * stated - MAIN_SHARE * limit) + SLACK
            return self._even_allowance(
                runner_id, MAIN_SHARE * limit, spare, CALL_BURST_SHARE * spare
            )
        spare = WINDOW_S * (OVERAGE * stated - (MAIN_SHARE + OWN_SHARE) * limit) + SLACK
        home_burst = max(1.0, HOME_BURST_SHARE * spare)
        if self._is_home_use(origin):
            return _Allowance(MAIN_SHARE * limit * self._split.reachable_share, home_burst)
        return self._even_allowance(
            runner_id, OWN_SHARE * limit, spare - MAX_HOMES * home_burst, 0.0
        )

    def _even_allowance(
        self, runner_id: RunnerId, per_s: float, spare: float, burst: float
    ) -> _Allowance:
        """Split a rate and a burst evenly among as many instances as `spare` permits."""
        senders = min(self._split.instance_count, int(spare))
        if not self._split.is_sender(runner_id, senders):
            return _Allowance(0.0, 0.0)
        return _Allowance(per_s / senders, max(1.0, burst / senders))

    def _is_home_use(self, origin: SendOrigin) -> bool:
        """Return whether a request uses the home's allocation.

        A home that reaches less than half of the fleet uses only its allocation as an instance.
        """
        return origin is SendOrigin.HOME and self._split.reachable_share * MAX_HOMES >= 1.0

    def _bucket(self, now_s: float, runner_id: RunnerId, origin: SendOrigin) -> _Bucket:
        use = runner_id, self._is_home_use(origin)
        bucket = self._bucket_by_use.get(use)
        if bucket is None:
            bucket = self._bucket_by_use[use] = _Bucket(now_s)
        return bucket
