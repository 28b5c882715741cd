"""Forecasts the length of a generation from its client's estimate and from past lengths.

Estimates are right only at the median: their logarithms spread far more than those of the lengths,
so a length follows its estimate by about a third of the distance from the mean. Taken literally,
long estimates leave engines half empty, and short ones fill them until a stream is preempted.
"""

from dataclasses import dataclass
from math import erfc, exp, log, sqrt
from statistics import NormalDist

from egretstack.ids import ServiceName

PRIOR_SHARE = 0.33
"""Expected share of the maximum output before any length was seen."""
PRIOR_SLOPE = 0.33
"""How far a length follows its estimate, in logarithms."""
PRIOR_WEIGHT = 8.0
"""Number of observations that the prior counts as."""
SPREAD = 0.62
"""Standard deviation of the logarithm of lengths, given the estimate."""
DECAY = 0.98
"""Weight of the past at each observation; about the last fifty determine the means."""
MAX_GROUPS = 256
MIN_SURVIVAL = 1e-6
"""Probability below which the tail of the distribution is no longer computed with any accuracy."""
_NORMAL = NormalDist()


@dataclass(slots=True)
class _Group:
    """Running means of the logarithms of estimates and lengths."""

    weight: float
    estimate: float
    length: float

    def add(self, estimate: float, length: float) -> None:
        self.weight = DECAY * self.weight + 1.0
        self.estimate += (estimate - self.estimate) / self.weight
        self.length += (length - self.length) / self.weight


class LengthForecast:
    """Learns lengths by service and maximum output, which separates kinds of requests."""

    def __init__(self) -> None:
        self._group_by_key: dict[tuple[ServiceName, int], _Group] = {}

    def record_finished(
        self, service: ServiceName, max_tokens: int, estimate: int | None, tokens: int
    ) -> None:
        """Record the length of a generation that ended."""
        group = self._group(service, max_tokens)
        length = log(max(1, tokens))
        group.add(group.estimate if estimate is None else log(max(1, estimate)), length)

    def quantile(
        self,
        service: ServiceName,
        max_tokens: int,
        estimate: int | None,
        generated_tokens: int,
        share: float,
    ) -> float:
        """Return the length that a generation in progress stays below with probability `share`."""
        log_mean = self._log_mean(service, max_tokens, estimate)
        survival = 1.0
        if generated_tokens >= 1:
            survival = _upper_tail((log(generated_tokens) - log_mean) / SPREAD)
        if survival < MIN_SURVIVAL:
            length = generated_tokens * (1 + 2 * share * SPREAD**2)
        else:
            length = exp(log_mean - SPREAD * _NORMAL.inv_cdf(survival * (1.0 - share)))
        return min(float(max_tokens), max(generated_tokens + 1.0, length))

    def expected(
        self, service: ServiceName, max_tokens: int, estimate: int | None, generated_tokens: int
    ) -> float:
        """Return the expected length of a generation in progress, in tokens."""
        mean = self._log_mean(service, max_tokens, estimate)
        return min(
            float(max_tokens), max(generated_tokens + 1.0, _mean_beyond(mean, generated_tokens))
        )

    def _log_mean(self, service: ServiceName, max_tokens: int, estimate: int | None) -> float:
        group = self._group(service, max_tokens)
        if estimate is None:
            return group.length
        return group.length + PRIOR_SLOPE * (log(max(1, estimate)) - group.estimate)

    def _group(self, service: ServiceName, max_tokens: int) -> _Group:
        key = (service, max_tokens)
        group = self._group_by_key.get(key)
        if group is None:
            if len(self._group_by_key) >= MAX_GROUPS:
                self._group_by_key.pop(next(iter(self._group_by_key)))
            mean = log(max(1.0, PRIOR_SHARE * max_tokens)) - SPREAD**2 / 2
            group = self._group_by_key[key] = _Group(PRIOR_WEIGHT, mean, mean)
        return group


def _mean_beyond(log_mean: float, generated: int) -> float:
    """Return the mean of a log-normal length, given that it is more than `generated`."""
    mean = exp(log_mean + SPREAD**2 / 2)
    if generated < 1:
        return mean
    survival = _upper_tail((log(generated) - log_mean) / SPREAD)
    if survival < MIN_SURVIVAL:
        return generated * (1 + SPREAD**2)
    return mean * _upper_tail((log(generated) - log_mean) / SPREAD - SPREAD) / survival


def _upper_tail(deviations: float) -> float:
    return 0.5 * erfc(deviations / sqrt(2.0))
