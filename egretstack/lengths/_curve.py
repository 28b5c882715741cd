"""A survival curve of output length."""

from math import exp, log, log2

from egretstack.lengths._buckets import BUCKETS, EDGES, bucket_index

_LEAST_SHARE = 1e-6
_FINE = 4
"""Below this length a token is a bucket; above it a doubling is two."""


class SurvivalCurve:
    """Survival by length: the share of sessions that reach a number of tokens.

    Between edges the logarithm of the share falls evenly with the logarithm of the length.
    """

    __slots__ = ("_left", "_log_share", "mean_tokens")

    def __init__(self, hazards: list[float]) -> None:
        logs = [0.0]
        for hazard in hazards:
            logs.append(logs[-1] + log(max(_LEAST_SHARE, 1.0 - hazard)))
        self._log_share = logs
        self._left = _tokens_left(logs)
        self.mean_tokens = max(1.0, self._left[0])
        """Mean length, tokens."""

    def log_survival(self, tokens: float) -> float:
        """Give the logarithm of the share that reaches `tokens`."""
        if tokens <= 1:
            return 0.0
        place = tokens - 1 if tokens < _FINE else 2 * log2(tokens) - 1
        bucket = min(int(place), BUCKETS - 1)
        logs = self._log_share
        low = logs[bucket]
        return low + (place - bucket) * (logs[bucket + 1] - low)

    def conditional_survival(self, generated: float, ahead: float) -> float:
        """Give the share that generates `ahead` more tokens, of those that have `generated`."""
        return exp(self.log_survival(generated + ahead) - self.log_survival(generated))

    def quantile(self, share: float, generated: float = 0.0) -> float:
        """Give the length that `share` of the sessions with `generated` tokens stay below."""
        wanted = self.log_survival(generated) + log(max(_LEAST_SHARE, 1.0 - share))
        logs = self._log_share
        for bucket in range(BUCKETS):
            if logs[bucket + 1] <= wanted:
                fall = logs[bucket] - logs[bucket + 1]
                place = bucket + ((logs[bucket] - wanted) / fall if fall else 0.0)
                tokens = place + 1 if place < _FINE - 1 else 2 ** ((place + 1) / 2)
                return max(generated, tokens)
        return float(EDGES[-1])

    def excess_survival(self, ahead: float) -> float:
        """Give the share of sequences met at any moment that generate `ahead` more tokens."""
        if ahead >= EDGES[-1]:
            return 0.0
        bucket = bucket_index(max(1, int(ahead)))
        low = EDGES[bucket]
        left = self._left
        part = max(0.0, ahead - low) / (EDGES[bucket + 1] - low)
        return min(1.0, (left[bucket] + part * (left[bucket + 1] - left[bucket])) / left[0])


def _tokens_left(logs: list[float]) -> list[float]:
    """Give, by bucket, the mean tokens that are generated from its edge on."""
    left = [0.0] * BUCKETS
    for bucket in reversed(range(BUCKETS - 1)):
        width = EDGES[bucket + 1] - EDGES[bucket]
        reached = (exp(logs[bucket]) + exp(logs[bucket + 1])) / 2
        left[bucket] = left[bucket + 1] + width * reached
    return left
