"""How much of the engines' memory runs have needed lately; pure, with the time passed in.

Copies kept in case are for times with memory to spare. Made by what is free at the moment, they
take in a lull what the next runs need, and those are refused for as long as the copies stay.
"""

from math import exp

MEMORY_S = 15.0
"""Time in which a past peak loses most of its weight: about a long run's length."""
START_SHARE = 0.5
"""Share that runs are taken to have needed before any were seen. Traffic needs some seconds to fill
engines; copies made of all that is free until then stay for as long as the first runs do."""


class RecentDemand:
    """The highest share of memory that runs needed, with the past fading."""

    def __init__(self) -> None:
        self._peak_share = START_SHARE
        self._at_s: float | None = None

    def note(self, now_s: float, share: float) -> None:
        """Note the share that runs, and work that waits, need now."""
        self._peak_share = max(share, self.peak_share(now_s))
        self._at_s = now_s

    def peak_share(self, now_s: float) -> float:
        """Give the share to reckon with."""
        passed_s = 0.0 if self._at_s is None else max(0.0, now_s - self._at_s)
        return self._peak_share * exp(-passed_s / MEMORY_S)
