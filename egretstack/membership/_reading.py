"""When this process reads the whole list, so that few read it at a time.

What one reader finds changed spreads with the heartbeats. The readings of the instances are spaced
evenly over the period, so the fleet as a whole reads often though each instance reads rarely.
"""

from dataclasses import dataclass

ROW_BYTES = 200
MAX_READ_BYTES_PER_S = 1000
"""Average rate that a process may spend on reading the list."""


@dataclass(frozen=True)
class ReadingPlan:
    """The period of this process's readings, in seconds, and its offset within it."""

    period_s: float
    offset_s: float

    @classmethod
    def make(cls, min_period_s: float, members: int, rank: int, readers: int) -> "ReadingPlan":
        """Plan for a list of `members` rows that `readers` processes read, this one `rank`th."""
        period_s = max(min_period_s, members * ROW_BYTES / MAX_READ_BYTES_PER_S)
        return cls(period_s, period_s * rank / max(1, readers))

    def wait_s(self, epoch_s: float) -> float:
        """Return the time until the next reading. Clocks need to agree only for even spacing."""
        wait_s = (self.offset_s - epoch_s) % self.period_s
        # A reading that began a little early must not be followed by one more in the same period.
        return wait_s if wait_s >= self.period_s / 2 else wait_s + self.period_s
