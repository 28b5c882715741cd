"""Forecasts how long a generation gets, from its client's estimate and from what others came to.

Estimates are right at the median only: their logarithm spreads far more than the lengths' own, so
a length follows its estimate by about a third of the distance from the mean. Taken at their word,
long estimates keep engines half empty, and short ones fill them until a stream is preempted.
"""

from dataclasses import dataclass
from math import erfc, exp, log, sqrt

from egretstack.ids import ServiceName

PRIOR_SHARE = 0.33
"""Part of the most output that is expected before any length was seen."""
PRIOR_SLOPE = 0.33
"""How far a length follows its estimate, in logarithms."""
PRIOR_WEIGHT = 8.0
"""Observations that the prior counts for."""
SPREAD = 0.62
"""Standard deviation of the logarithm of lengths, given the estimate."""
MEMORY = 0.98
"""Weight of the past in each observation; some fifty decide."""
MAX_GROUPS = 256


@dataclass(slots=True)
class _Group:
    """Running means of the logarithms of estimates and lengths."""

    weight: float
    estimate: float
    length: float

    def add(self, estimate: float, length: float) -> None:
        self.weight = MEMORY * self.weight + 1.0
        self.estimate += (estimate - self.estimate) / self.weight
        self.length += (length - self.length) / self.weight


class LengthForecast:
    """Learns by service and by the most output asked for, which tells kinds of request apart."""

    def __init__(self) -> None:
        self._group_by_key: dict[tuple[ServiceName, int], _Group] = {}

    def record_finished(
        self, service: ServiceName, most_tokens: int, estimate: int | None, tokens: int
    ) -> None:
        """Note a generation that came to its end."""
        group = self._group(service, most_tokens)
        length = log(max(1, tokens))
        group.add(group.estimate if estimate is None else log(max(1, estimate)), length)

    def expected(
        self, service: ServiceName, most_tokens: int, estimate: int | None, made_tokens: int
    ) -> float:
        """Give the mean length of a generation that has made so many tokens and goes on."""
        group = self._group(service, most_tokens)
        mean = group.length
        if estimate is not None:
            mean += PRIOR_SLOPE * (log(max(1, estimate)) - group.estimate)
        return min(float(most_tokens), max(made_tokens + 1.0, _mean_beyond(mean, made_tokens)))

    def _group(self, service: ServiceName, most_tokens: int) -> _Group:
        key = (service, most_tokens)
        group = self._group_by_key.get(key)
        if group is None:
            if len(self._group_by_key) >= MAX_GROUPS:
                self._group_by_key.pop(next(iter(self._group_by_key)))
            mean = log(max(1.0, PRIOR_SHARE * most_tokens)) - SPREAD**2 / 2
            group = self._group_by_key[key] = _Group(PRIOR_WEIGHT, mean, mean)
        return group


def _mean_beyond(mean: float, made: int) -> float:
    """Give the mean of a log-normal length, given that it is more than `made`."""
    whole = exp(mean + SPREAD**2 / 2)
    if made < 1:
        return whole
    behind = _upper_tail((log(made) - mean) / SPREAD)
    if behind < 1e-6:
        return made * (1 + SPREAD**2)
    return whole * _upper_tail((log(made) - mean) / SPREAD - SPREAD) / behind


def _upper_tail(deviations: float) -> float:
    return 0.5 * erfc(deviations / sqrt(2.0))
