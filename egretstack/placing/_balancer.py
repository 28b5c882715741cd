"""Chooses a runner of a plain service for one call; pure, with the time passed in."""

import random
from dataclasses import dataclass

from egretstack.fleet import Runner
from egretstack.ids import RunnerId, ZoneName
from egretstack.placing._strikes import RecentAnswers
from egretstack.traffic import RunnerLoad

LOAD_LIFE_S = 1.0
"""How long a runner's own account of its load is used."""
FAILURE_MEMORY = 0.8
"""Weight of the past in the share of failures; some five calls decide."""
SUSPECT_SHARE = 0.3
"""Share of failures above which a runner is used only if the others are no better.

Healthy runners fail up to one call in seven by the services' own account.
"""
REST_S = 3.0
"""How long a suspected runner is left alone before one call tries it again."""
SLOW_TIMES = 3.0
"""A runner whose answers take so many times the median of all counts as suspected."""
TRIAL_SHARE = 0.2
"""Share of calls that may be repeated for which suspects are chosen like any other runner."""
OTHER_ZONE_COST = 0.15
"""What another availability zone counts for, in shares of a runner's slots."""


@dataclass(slots=True)
class _Seen:
    in_flight: int = 0
    load: RunnerLoad | None = None
    load_s: float = 0.0
    failures: float = 0.0
    latency_s: float | None = None
    rests_until_s: float = 0.0


class PlainBalancer:
    """What this instance knows of the runners of plain services."""

    def __init__(self, zone: ZoneName, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng
        self._seen_by_id: dict[RunnerId, _Seen] = {}
        self.recent_answers = RecentAnswers()

    def choose(
        self,
        now_s: float,
        runners: list[Runner],
        suspects: frozenset[RunnerId] = frozenset(),
        *,
        repeatable: bool = False,
    ) -> Runner | None:
        """Give the runner with the least to do, among those that answer well; None if none.

        A runner that the fleet suspects gets nothing that may not be repeated, unless all are
        suspected. Of the rest it gets some, by which it is found out when it is well again.
        """
        if not runners:
            return None
        self._forget_gone({runner.id for runner in runners})
        if not repeatable or self._rng.random() >= TRIAL_SHARE:
            runners = [one for one in runners if one.id not in suspects] or runners
        rows = [(*self._cost(now_s, runner), self._rng.random(), runner) for runner in runners]
        return min(rows, key=lambda row: row[:3])[3]

    def record_sent(self, runner_id: RunnerId) -> None:
        """Note a call that goes out."""
        self._seen(runner_id).in_flight += 1

    def record_rejected(self, runner_id: RunnerId) -> None:
        """Note that a runner turned a call away and said for how long; it is no worse for that."""
        seen = self._seen(runner_id)
        seen.in_flight = max(0, seen.in_flight - 1)

    def record_unreachable(self, now_s: float, runner_id: RunnerId) -> None:
        """Note that a runner accepts no connection: it is left alone at once."""
        self.recent_answers.record(now_s, runner_id, broke=True)
        self._seen(runner_id).rests_until_s = now_s + REST_S

    def record_ended(
        self,
        now_s: float,
        runner_id: RunnerId,
        *,
        failed: bool,
        latency_s: float | None = None,
        load: RunnerLoad | None = None,
    ) -> None:
        """Note how a call went; a call without a latency tells nothing of the runner's speed."""
        seen = self._seen(runner_id)
        seen.in_flight = max(0, seen.in_flight - 1)
        seen.failures = FAILURE_MEMORY * seen.failures + (1 - FAILURE_MEMORY) * failed
        if failed and seen.failures > SUSPECT_SHARE:
            seen.rests_until_s = now_s + REST_S
        if load is not None:
            seen.load, seen.load_s = load, now_s
        if latency_s is not None:
            known = latency_s if seen.latency_s is None else seen.latency_s
            seen.latency_s = FAILURE_MEMORY * known + (1 - FAILURE_MEMORY) * latency_s
            if seen.latency_s > SLOW_TIMES * self._median_latency_s():
                # Its speed is learned anew after the rest: by its old figures it would never
                # be tried again.
                seen.rests_until_s, seen.latency_s = now_s + REST_S, None

    def _cost(self, now_s: float, runner: Runner) -> tuple[bool, float]:
        seen = self._seen(runner.id)
        busy = seen.in_flight
        if seen.load is not None and now_s - seen.load_s < LOAD_LIFE_S:
            busy = max(busy, seen.load.running + seen.load.waiting)
        cost = busy / runner.slots + (OTHER_ZONE_COST if runner.zone != self._zone else 0.0)
        return seen.rests_until_s > now_s, cost

    def _median_latency_s(self) -> float:
        known = [it.latency_s for it in self._seen_by_id.values() if it.latency_s is not None]
        return sorted(known)[(len(known) - 1) // 2]

    def _seen(self, runner_id: RunnerId) -> _Seen:
        return self._seen_by_id.setdefault(runner_id, _Seen())

    def _forget_gone(self, listed: set[RunnerId]) -> None:
        """Forget idle runners of the asked service that are no longer listed."""
        if len(self._seen_by_id) < 4 * len(listed) + 64:
            return
        for name in [one for one, it in self._seen_by_id.items() if one not in listed]:
            if not self._seen_by_id[name].in_flight:
                del self._seen_by_id[name]
