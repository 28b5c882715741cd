"""A rate over the last few seconds. Does no I/O; the time is passed in."""

from math import exp

WINDOW_S = 2.0
"""Usual time constant of the average. A surge shows in it within two seconds, and at 19 events a
second it varies by about a tenth."""


class RecentRate:
    """Events, or amounts, per second, with exponential decay."""

    def __init__(self, window_s: float = WINDOW_S) -> None:
        self._window_s = window_s
        self._sum = 0.0
        self.at_s = float("-inf")
        """When an event was last recorded."""

    def add(self, now_s: float, amount: float = 1.0) -> None:
        """Record an event."""
        self._sum = self._decayed(now_s) + amount
        self.at_s = now_s

    def per_s(self, now_s: float) -> float:
        """Return the rate; it starts below the true one for about the window."""
        return self._decayed(now_s) / self._window_s

    def _decayed(self, now_s: float) -> float:
        return self._sum * exp(-max(0.0, now_s - self.at_s) / self._window_s)
