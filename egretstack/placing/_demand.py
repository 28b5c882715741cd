"""How much of the engines' memory runs have needed lately. Does no I/O; the time is passed in.

Backup copies are for times with memory to spare. If they were made from what is free at the moment,
in a lull they would take the memory that the next runs need, and those runs would be refused for as
long as the copies stay.
"""

from math import exp

DECAY_S = 15.0
"""Time in which a past peak loses most of its weight: about the length of a long run."""
INITIAL_SHARE = 0.5
"""Assumed share of memory that runs needed before any were seen. Traffic takes some seconds to fill
the engines; copies made of all free memory until then would stay for as long as the first runs."""


class RecentDemand:
    """The highest share of memory that runs needed, with exponential decay."""

    def __init__(self) -> None:
        self._peak_share = INITIAL_SHARE
        self._at_s: float | None = None

    def record(self, now_s: float, share: float) -> None:
        """Record the share of memory that runs and waiting requests need now."""
        self._peak_share = max(share, self.peak_share(now_s))
        self._at_s = now_s

    def peak_share(self, now_s: float) -> float:
        """Return the decayed peak share."""
        passed_s = 0.0 if self._at_s is None else max(0.0, now_s - self._at_s)
        return self._peak_share * exp(-passed_s / DECAY_S)
