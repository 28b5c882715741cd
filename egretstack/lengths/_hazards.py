"""Counts of sessions by bucket of length: how many came to it, how many ended in it."""

from egretstack.lengths._buckets import BUCKETS

DECAY_SESSIONS = 300
"""Sessions after which an observation of a bucket counts 1/e: lengths drift over a day."""
_KEPT = 1 - 1 / DECAY_SESSIONS


class HazardCounts:
    """A Kaplan-Meier estimate on buckets, which forgets by the number of observations.

    A session that still runs counts in every bucket it has passed, so a long answer is evidence
    before it ends. Counts never pass `MEMORY`.
    """

    def __init__(self) -> None:
        self.at_risk = [0.0] * BUCKETS
        self.ended = [0.0] * BUCKETS

    def add(self, bucket: int, *, ended: bool) -> None:
        """Note a session that passed a bucket, or ended in it."""
        self.at_risk[bucket] = self.at_risk[bucket] * _KEPT + 1.0
        self.ended[bucket] *= _KEPT
        if ended:
            self.ended[bucket] += 1.0

    def merge(self, other: "HazardCounts") -> None:
        """Add another instance's counts."""
        for bucket in range(BUCKETS):
            self.at_risk[bucket] += other.at_risk[bucket]
            self.ended[bucket] += other.ended[bucket]
