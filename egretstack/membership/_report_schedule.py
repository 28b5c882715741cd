"""In which order, and how often, the chosen runners' load reports are read."""

import random
from collections.abc import Iterable

from egretstack.ids import RunnerId

JITTER = 0.1
"""Fraction by which the time between two readings varies, so that instances do not synchronize."""
MAX_AHEAD = 7
"""Readings by which urgent ones may run ahead of the rate; the ones after them wait that much
longer. Enough for one runner to be read every `RETRY_INTERVAL_S` until it counts as unresponsive,
with jitter."""
RETRY_INTERVAL_S = 0.5
"""Minimum time between two urgent readings of one runner."""
RETRY_PERIOD_S = 10.0
"""How long after its first failure a runner is read urgently; later it is read in its normal
order."""


class ReportSchedule:
    """Distributes a bounded rate of readings evenly over runners; urgent ones are read first.

    Times are seconds on the runtime's clock. Over any longer time the readings stay below the rate:
    an urgent one delays those that follow.
    """

    def __init__(self, rate_per_s: float, min_interval_s: float, rng: random.Random) -> None:
        self._gap_s = 1 / rate_per_s
        self._min_interval_s = min_interval_s
        self._rng = rng
        self._next_reading_s = float("-inf")
        self._read_s: dict[RunnerId, float] = {}
        self._urgent: dict[RunnerId, None] = {}
        self._failed_s: dict[RunnerId, float] = {}

    def set_runners(self, runners: Iterable[RunnerId]) -> None:
        """Schedule these runners; new ones come first, in a random order."""
        wanted = set(runners)
        for held in (self._read_s, self._urgent, self._failed_s):
            for runner in held.keys() - wanted:
                del held[runner]
        new = sorted(wanted - self._read_s.keys())
        self._rng.shuffle(new)
        self._read_s |= dict.fromkeys(new, float("-inf"))

    def prioritize(self, runner: RunnerId) -> None:
        """Read a runner urgently: something else than its report shows that it may be down."""
        if runner in self._read_s:
            self._urgent[runner] = None

    def record_failure(self, now_s: float, runner: RunnerId) -> None:
        """Record that a reading failed; the runner is read again soon, for some time."""
        if runner not in self._read_s:
            return
        if now_s - self._failed_s.setdefault(runner, now_s) < RETRY_PERIOD_S:
            self._urgent[runner] = None

    def record_success(self, runner: RunnerId) -> None:
        """Record that a reading returned a report."""
        self._failed_s.pop(runner, None)

    def pop_due(self, now_s: float, busy: set[RunnerId]) -> RunnerId | None:
        """Return the runner to read now, if one is due, and count it as read; not one of `busy`."""
        runner = self._next(now_s, busy)
        if runner is None or self._due_s(now_s, runner) > now_s:
            return None
        gap_s = self._gap_s * self._rng.uniform(1 - JITTER, 1 + JITTER)
        self._next_reading_s = max(self._next_reading_s, now_s - self._gap_s) + gap_s
        self._read_s[runner] = now_s
        self._urgent.pop(runner, None)
        return runner

    def wait_s(self, now_s: float, busy: set[RunnerId]) -> float:
        """Return the time until `pop_due` may return a runner; infinite if there is none."""
        runner = self._next(now_s, busy)
        return float("inf") if runner is None else max(0.0, self._due_s(now_s, runner) - now_s)

    def _next(self, now_s: float, busy: set[RunnerId]) -> RunnerId | None:
        free = [runner for runner in self._read_s if runner not in busy]
        return min(free, key=lambda one: (self._due_s(now_s, one), self._read_s[one]), default=None)

    def _due_s(self, now_s: float, runner: RunnerId) -> float:
        if runner in self._urgent:
            ahead_s = self._next_reading_s - MAX_AHEAD * self._gap_s
            return max(self._read_s[runner] + RETRY_INTERVAL_S, ahead_s)
        return max(self._read_s[runner] + self._min_interval_s, self._next_reading_s, now_s)
