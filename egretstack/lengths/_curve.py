"""A survival curve of output length."""

from math import exp, log, log2

from egretstack.lengths._buckets import BUCKETS, EDGES, bucket_index

_MIN_SURVIVAL = 1e-6
_EXACT_BELOW = 4
"""Below this length each token is a bucket; above it a doubling is two buckets."""


class SurvivalCurve:
    """Survival by length: the share of sessions that reach a number of tokens.

    Between bucket edges the logarithm of the share is linear in the logarithm of the length.
    """

    __slots__ = ("_expected_tokens", "_log_survivals", "mean_tokens")

    def __init__(self, hazards: list[float]) -> None:
        log_survivals = [0.0]
        for hazard in hazards:
            log_survivals.append(log_survivals[-1] + log(max(_MIN_SURVIVAL, 1.0 - hazard)))
        self._log_survivals = log_survivals
        self._expected_tokens = _expected_tokens_from(log_survivals)
        self.mean_tokens = max(1.0, self._expected_tokens[0])
        """Mean length, tokens."""

    def log_survival(self, tokens: float) -> float:
        """Return the logarithm of the share of sessions that reach `tokens`."""
        if tokens <= 1:
            return 0.0
        position = tokens - 1 if tokens < _EXACT_BELOW else 2 * log2(tokens) - 1
        bucket = min(int(position), BUCKETS - 1)
        log_survivals = self._log_survivals
        start = log_survivals[bucket]
        return start + (position - bucket) * (log_survivals[bucket + 1] - start)

    def conditional_survival(self, generated: float, ahead: float) -> float:
        """Return the share that generate `ahead` more tokens, of those that have `generated`."""
        return exp(self.log_survival(generated + ahead) - self.log_survival(generated))

    def quantile(self, share: float, generated: float = 0.0) -> float:
        """Return the length that `share` of the sessions with `generated` tokens stay below."""
        target = self.log_survival(generated) + log(max(_MIN_SURVIVAL, 1.0 - share))
        log_survivals = self._log_survivals
        for bucket in range(BUCKETS):
            if log_survivals[bucket + 1] <= target:
                drop = log_survivals[bucket] - log_survivals[bucket + 1]
                position = bucket + ((log_survivals[bucket] - target) / drop if drop else 0.0)
                tokens = position + 1 if position < _EXACT_BELOW - 1 else 2 ** ((position + 1) / 2)
                return max(generated, tokens)
        return float(EDGES[-1])

    def excess_survival(self, ahead: float) -> float:
        """Return the share of sequences, seen at a random time, that generate `ahead` more tokens.

        This is the survival function of the stationary excess distribution.
        """
        if ahead >= EDGES[-1]:
            return 0.0
        bucket = bucket_index(max(1, int(ahead)))
        edge = EDGES[bucket]
        expected = self._expected_tokens
        fraction = max(0.0, ahead - edge) / (EDGES[bucket + 1] - edge)
        return min(
            1.0,
            (expected[bucket] + fraction * (expected[bucket + 1] - expected[bucket])) / expected[0],
        )


def _expected_tokens_from(log_survivals: list[float]) -> list[float]:
    """Return, by bucket, the expected number of tokens generated from its lower edge on."""
    expected = [0.0] * BUCKETS
    for bucket in reversed(range(BUCKETS - 1)):
        width = EDGES[bucket + 1] - EDGES[bucket]
        survival = (exp(log_survivals[bucket]) + exp(log_survivals[bucket + 1])) / 2
        expected[bucket] = expected[bucket + 1] + width * survival
    return expected
