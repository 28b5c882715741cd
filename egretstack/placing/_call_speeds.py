"""How long a call takes at each plain runner, from measured times and from what runners state.

Runners on shared machines differ by a constant factor, and a machine is slower for some hundred
milliseconds at a time. Counting calls in flight sends a slow runner as many calls as a fast one.
Does no I/O; the time is passed in.
"""

from dataclasses import dataclass
from math import exp, log, sqrt
from statistics import median_low

from egretstack.fleet import Runner
from egretstack.ids import RunnerId, ServiceName

STATED_TTL_S = 0.3
"""How long a runner's statement of its present speed is used; it changes many times a second."""
MIN_STATED_PERCENT = 25
MAX_STATED_PERCENT = 400
"""Range to which stated speeds are limited: machines are rarely faster or slower than that."""
USUAL_PERCENT = 100
DECAY = 0.9
"""Weight of past calls in the averages; about the last ten determine them."""
MAX_STEP = 0.7
"""Largest difference from the average, in logarithms, with which one call counts: twice as long.

A call that hit a pause of its machine says little about the next one.
"""
MIN_CALLS = 5
"""Calls from which a runner's time is compared with the others'."""
MEMORY_S = 4.0
"""Time after which a measured difference has lost most of its weight. A runner that was slow while
it was cold, or while its machine was busy, would otherwise never be tried again."""
MIN_DIFFERENCE = 0.4
"""Difference from the median, in logarithms, from which runners count as different: 1.5 times."""
SPREAD_FACTOR = 3.0
"""Standard errors by which the difference must also exceed the spread of a runner's calls."""
PRIOR_SPREAD = 0.5
"""Assumed mean deviation of the logarithm of call times before any were measured."""


@dataclass(slots=True)
class _CallTimes:
    """Running averages of logarithms of seconds."""

    service: ServiceName
    calls: int = 0
    usual: float = 0.0
    """Time of a call while the machine works as usual."""
    spread: float = PRIOR_SPREAD
    """Mean deviation of calls from that average."""
    stated_percent: int | None = None
    measured_s: float = 0.0
    """When the last call was answered."""

    def add(self, now_s: float, latency_s: float, stated_percent: int | None) -> None:
        slowdown = _limited_percent(stated_percent) / USUAL_PERCENT
        value = log(max(1e-4, latency_s) / slowdown)
        if not self.calls:
            self.usual = value
        difference = value - self.usual
        age_s = max(0.0, now_s - self.measured_s)
        weight = max(1 - DECAY, 1 / (self.calls + 1), 1 - exp(-age_s / MEMORY_S))
        self.usual += weight * max(-MAX_STEP, min(MAX_STEP, difference))
        self.spread += (1 - DECAY) * (abs(difference) - self.spread)
        self.calls += 1
        self.stated_percent, self.measured_s = stated_percent, now_s

    def stated_slowdown(self, now_s: float) -> float:
        """Return the slowdown that the runner states now; 1 if it states none."""
        if now_s - self.measured_s > STATED_TTL_S:
            return 1.0
        return _limited_percent(self.stated_percent) / USUAL_PERCENT

    @property
    def standard_error(self) -> float:
        """Return the standard error of the average, given how many past calls determine it."""
        effective = min(self.calls, (1 + DECAY) / (1 - DECAY))
        return self.spread / sqrt(max(1.0, effective))


class CallSpeeds:
    """Measured call times of plain runners, with their stated speed taken out.

    A stated speed changes only how a measured time is split into the usual time and the slowdown of
    the moment. A runner that states a speed it does not have is therefore judged by its times.
    """

    def __init__(self) -> None:
        self._times_by_id: dict[RunnerId, _CallTimes] = {}

    def record_call(
        self, now_s: float, runner: Runner, latency_s: float, stated_percent: int | None
    ) -> None:
        """Record a call that was answered, and the speed that its answer stated, in percent."""
        times = self._times_by_id.setdefault(runner.id, _CallTimes(runner.service))
        times.add(now_s, latency_s, stated_percent)

    def factors(self, now_s: float, runners: list[Runner]) -> dict[RunnerId, float]:
        """Return how long a call takes at each runner now, as a multiple of the typical one's.

        Empty if none of them states its speed, or if they do not differ by more than the spread of
        their calls and all state the usual speed.
        """
        known = {
            runner.id: times
            for runner in runners
            if (times := self._times_by_id.get(runner.id)) is not None and times.calls >= MIN_CALLS
        }
        if all(times.stated_percent is None for times in known.values()):
            return {}
        typical = median_low(times.usual for times in known.values())
        factor_by_id = {
            runner_id: _factor(now_s, times, typical) for runner_id, times in known.items()
        }
        if all(factor == 1.0 for factor in factor_by_id.values()):
            return {}
        # A runner without measurements is tried as if it were the fastest.
        fastest = min(factor_by_id.values())
        return {runner.id: factor_by_id.get(runner.id, fastest) for runner in runners}

    def is_measured(self, runner_id: RunnerId) -> bool:
        """Return whether enough calls to a runner were answered to know its speed."""
        times = self._times_by_id.get(runner_id)
        return times is not None and times.calls >= MIN_CALLS

    def forget(self, runner_id: RunnerId) -> None:
        """Forget a runner that is no longer listed."""
        self._times_by_id.pop(runner_id, None)


def _factor(now_s: float, times: _CallTimes, typical: float) -> float:
    """Return the factor of one runner; exactly 1 unless it clearly differs."""
    factor = log(times.stated_slowdown(now_s))
    difference = times.usual - typical
    if abs(difference) > max(MIN_DIFFERENCE, SPREAD_FACTOR * times.standard_error):
        age_s = max(0.0, now_s - times.measured_s - STATED_TTL_S)
        factor += exp(-age_s / MEMORY_S) * difference
    return exp(factor) if abs(factor) >= MIN_DIFFERENCE else 1.0


def _limited_percent(percent: int | None) -> int:
    if percent is None:
        return USUAL_PERCENT
    return max(MIN_STATED_PERCENT, min(MAX_STATED_PERCENT, percent))
