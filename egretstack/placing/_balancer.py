"""Load balancing of calls to plain services. Does no I/O; the time is passed in."""

import random
from collections.abc import Mapping
from dataclasses import dataclass

from egretstack.fleet import Runner
from egretstack.ids import RunnerId, ZoneName
from egretstack.placing._call_speeds import CallSpeeds
from egretstack.placing._strikes import RecentAnswers
from egretstack.traffic import RunnerLoad

LOAD_REPORT_TTL_S = 1.0
"""How long the load that a runner reports about itself is used."""
AVERAGE_DECAY = 0.8
"""Weight of past calls in the moving averages; about the last five calls determine them."""
SUSPECT_SHARE = 0.3
"""Share of failures above which a runner is used only if the others are no better.

Services state that up to one call in seven fails on a healthy runner.
"""
AVOID_S = 3.0
"""How long a suspected runner is avoided before another call tries it."""
SLOW_FACTOR = 3.0
"""A runner slower than this multiple of the median latency of all runners is suspected."""
TRIAL_SHARE = 0.2
"""Share of repeatable calls for which suspects are chosen like any other runner."""
OTHER_ZONE_COST = 0.15
"""Cost of another availability zone, as a share of a runner's slots."""
UNMEASURED_WEIGHT = 2
"""How many calls one call in flight counts as at a runner whose speed is not known yet, while the
speeds of others differ: it gets some calls, not as many as a runner that is known to be fast."""


@dataclass(slots=True)
class _RunnerStats:
    in_flight: int = 0
    load: RunnerLoad | None = None
    load_s: float = 0.0
    failures: float = 0.0
    latency_s: float | None = None
    avoid_until_s: float = 0.0


class PlainBalancer:
    """Chooses runners of plain services from this instance's own experience with them."""

    def __init__(self, zone: ZoneName, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng
        self._stats_by_id: dict[RunnerId, _RunnerStats] = {}
        self._speeds = CallSpeeds()
        self.recent_answers = RecentAnswers()

    def choose(
        self,
        now_s: float,
        runners: list[Runner],
        suspects: frozenset[RunnerId] = frozenset(),
        *,
        repeatable: bool = False,
    ) -> Runner | None:
        """Return the least loaded runner among those that answer well; None if there is none.

        Where runners differ in speed, it is the one at which the call is expected to end first.

        A runner that the fleet suspects gets only calls that may be repeated, unless all runners
        are suspected. It gets a share of those, so that its recovery is detected.
        """
        if not runners:
            return None
        self._forget_removed({runner.id for runner in runners})
        if not repeatable or self._rng.random() >= TRIAL_SHARE:
            runners = [runner for runner in runners if runner.id not in suspects] or runners
        factor_by_id = self._speeds.factors(now_s, runners)
        rows = [
            (*self._cost(now_s, runner, factor_by_id), self._rng.random(), runner)
            for runner in runners
        ]
        return min(rows, key=lambda row: row[:3])[3]

    def in_flight(self, runner_id: RunnerId) -> int:
        """Return how many calls of this instance are in progress at a runner."""
        stats = self._stats_by_id.get(runner_id)
        return 0 if stats is None else stats.in_flight

    def record_sent(self, runner_id: RunnerId) -> None:
        """Record a call that is sent to a runner."""
        self._stats(runner_id).in_flight += 1

    def record_rejected(self, runner_id: RunnerId) -> None:
        """Record that a runner rejected a call for a stated time, which is not a failure."""
        stats = self._stats(runner_id)
        stats.in_flight = max(0, stats.in_flight - 1)

    def record_unreachable(self, now_s: float, runner_id: RunnerId) -> None:
        """Record that a runner accepts no connection; it is avoided at once."""
        self.recent_answers.record(now_s, runner_id, broke=True)
        self._stats(runner_id).avoid_until_s = now_s + AVOID_S

    def withdraw_failures(self) -> None:
        """Forget all failures, whose cause were this instance's links and not the runners."""
        self.recent_answers = RecentAnswers()
        for stats in self._stats_by_id.values():
            stats.failures, stats.avoid_until_s = 0.0, 0.0

    def record_ended(
        self,
        now_s: float,
        runner_id: RunnerId,
        *,
        failed: bool,
        latency_s: float | None = None,
        load: RunnerLoad | None = None,
    ) -> None:
        """Record the result of a call; without a latency the runner's speed is not updated."""
        stats = self._stats(runner_id)
        stats.in_flight = max(0, stats.in_flight - 1)
        stats.failures = AVERAGE_DECAY * stats.failures + (1 - AVERAGE_DECAY) * failed
        if failed and stats.failures > SUSPECT_SHARE:
            stats.avoid_until_s = now_s + AVOID_S
        if load is not None:
            stats.load, stats.load_s = load, now_s
        if latency_s is not None:
            average_s = latency_s if stats.latency_s is None else stats.latency_s
            stats.latency_s = AVERAGE_DECAY * average_s + (1 - AVERAGE_DECAY) * latency_s
            if stats.latency_s > SLOW_FACTOR * self._median_latency_s():
                # The latency is measured anew afterwards: with the old average the runner would
                # never be tried again.
                stats.avoid_until_s, stats.latency_s = now_s + AVOID_S, None

    def record_call_time(
        self, now_s: float, runner: Runner, latency_s: float, load: RunnerLoad | None
    ) -> None:
        """Record how long an answered call took, for the speed of its runner."""
        stated_percent = None if load is None else load.work_percent
        self._speeds.record_call(now_s, runner, latency_s, stated_percent)

    def _cost(
        self, now_s: float, runner: Runner, factor_by_id: Mapping[RunnerId, float]
    ) -> tuple[bool, float]:
        stats = self._stats(runner.id)
        busy = stats.in_flight
        if stats.load is not None and now_s - stats.load_s < LOAD_REPORT_TTL_S:
            busy = max(busy, stats.load.running + stats.load.waiting)
        if factor_by_id and not self._speeds.is_measured(runner.id):
            busy += (UNMEASURED_WEIGHT - 1) * stats.in_flight
        cost = busy / runner.slots + (OTHER_ZONE_COST if runner.zone != self._zone else 0.0)
        if factor_by_id:
            # A call takes one typical time, longer behind others, times the runner's own factor.
            cost = (1.0 + cost) * factor_by_id[runner.id]
        return stats.avoid_until_s > now_s, cost

    def _median_latency_s(self) -> float:
        known = [it.latency_s for it in self._stats_by_id.values() if it.latency_s is not None]
        return sorted(known)[(len(known) - 1) // 2]

    def _stats(self, runner_id: RunnerId) -> _RunnerStats:
        return self._stats_by_id.setdefault(runner_id, _RunnerStats())

    def _forget_removed(self, listed: set[RunnerId]) -> None:
        """Forget idle runners of the requested service that are no longer listed."""
        if len(self._stats_by_id) < 4 * len(listed) + 64:
            return
        for runner_id in [one for one, it in self._stats_by_id.items() if one not in listed]:
            if not self._stats_by_id[runner_id].in_flight:
                del self._stats_by_id[runner_id]
                self._speeds.forget(runner_id)
