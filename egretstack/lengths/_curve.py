"""A survival curve of output length."""

from bisect import bisect_right
from math import exp, log

from egretstack.lengths._buckets import BUCKETS, EDGES

_LEAST_SHARE = 1e-6
_LOG_EDGES = tuple(log(edge) for edge in EDGES)
_TAIL_STEP = 0.35
"""Width of the last bucket in log tokens, for lengths beyond the last edge."""


class Curve:
    """Survival by length: the share of sessions that reach a number of tokens.

    Between edges the logarithm of the share falls evenly with the logarithm of the length.
    """

    __slots__ = ("_log_share", "mean_tokens")

    def __init__(self, hazards: list[float]) -> None:
        logs = [0.0]
        for hazard in hazards:
            logs.append(logs[-1] + log(max(_LEAST_SHARE, 1.0 - hazard)))
        self._log_share = logs
        self.mean_tokens = self._mean()

    def log_share(self, tokens: float) -> float:
        """Give the logarithm of the share that reaches `tokens`."""
        if tokens <= 1:
            return 0.0
        bucket = bisect_right(EDGES, tokens) - 1
        low = _LOG_EDGES[bucket]
        width = _LOG_EDGES[bucket + 1] - low if bucket + 1 < BUCKETS else _TAIL_STEP
        part = (log(tokens) - low) / width
        logs = self._log_share
        return logs[bucket] + part * (logs[bucket + 1] - logs[bucket])

    def share_left(self, generated: float, ahead: float) -> float:
        """Give the share that generates `ahead` more tokens, of those that have `generated`."""
        return exp(self.log_share(generated + ahead) - self.log_share(generated))

    def quantile(self, share: float, generated: float = 0.0) -> float:
        """Give the length that `share` of the sessions with `generated` tokens stay below."""
        wanted = self.log_share(generated) + log(max(_LEAST_SHARE, 1.0 - share))
        logs = self._log_share
        for bucket in range(BUCKETS):
            if logs[bucket + 1] <= wanted:
                low = _LOG_EDGES[bucket]
                width = _LOG_EDGES[bucket + 1] - low if bucket + 1 < BUCKETS else _TAIL_STEP
                fall = logs[bucket + 1] - logs[bucket]
                part = (wanted - logs[bucket]) / fall if fall else 0.0
                return max(generated, exp(low + part * width))
        return float(EDGES[-1])

    def excess_share(self, ahead: float) -> float:
        """Give the share of sequences met at any moment that generate `ahead` more tokens."""
        total = 0.0
        for bucket in range(BUCKETS - 1):
            high = EDGES[bucket + 1]
            if high > ahead:
                low = max(EDGES[bucket], ahead)
                total += (high - low) * exp(self._log_share[bucket])
        return min(1.0, total / self.mean_tokens)

    def _mean(self) -> float:
        total = 0.0
        for bucket in range(BUCKETS - 1):
            total += (EDGES[bucket + 1] - EDGES[bucket]) * exp(self._log_share[bucket])
        return max(1.0, total)
