"""Counts of sessions by length bucket: how many reached it and how many ended in it."""

from egretstack.lengths._buckets import BUCKETS

DECAY_SESSIONS = 300
"""Sessions in a bucket after which the weight of an observation in it is 1/e: lengths drift over
a day."""
_DECAY = 1 - 1 / DECAY_SESSIONS


class HazardCounts:
    """Counts for a Kaplan-Meier estimate on buckets, decayed by the number of observations.

    A running session counts in every bucket that it has passed, so a long answer is evidence
    before it ends. Counts never exceed `DECAY_SESSIONS`.
    """

    def __init__(self) -> None:
        self.at_risk = [0.0] * BUCKETS
        self.ended = [0.0] * BUCKETS

    def add(self, bucket: int, *, ended: bool) -> None:
        """Record a session that passed a bucket, or ended in it."""
        self.at_risk[bucket] = self.at_risk[bucket] * _DECAY + 1.0
        self.ended[bucket] *= _DECAY
        if ended:
            self.ended[bucket] += 1.0

    def merge(self, other: "HazardCounts") -> None:
        """Add another instance's counts."""
        for bucket in range(BUCKETS):
            self.at_risk[bucket] += other.at_risk[bucket]
            self.ended[bucket] += other.ended[bucket]
