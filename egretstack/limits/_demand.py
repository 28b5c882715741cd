"""How much an account is used on one entry: requests a second, and most open at once."""

QUIET_S = 2.0
"""Time without a request after which an entry keeps only what is open."""

DEMAND_THRESHOLD = 0.2
"""Requests a second below which an entry holds no rate, and asks for each request."""

_SHORTEST_COUNT_S = 1.0
_SINGLE_COUNT_S = 6.0
"""A single request tells less of a rate than several; this keeps it below the threshold."""

_PEAK_DECAY = 0.5


class Demand:
    """Counts requests, admitted or not; times in seconds, the rate in requests a second."""

    def __init__(self, now_s: float) -> None:
        self.last_s = now_s
        self.rate = 0.0
        self.peak = 0.0
        self._arrived = 0
        self._counted_s = now_s

    @property
    def is_low(self) -> bool:
        """Tell whether asking for each request costs less than holding a rate."""
        return self.rate < DEMAND_THRESHOLD

    def arrived(self, now_s: float) -> None:
        """Note a request."""
        self._arrived += 1
        self.last_s = now_s

    def opened(self, open_now: int) -> None:
        """Note how many requests are open."""
        self.peak = max(self.peak, float(open_now))

    def count(self, now_s: float, open_now: int) -> None:
        """Bring the rate and the peak up to date, when an ask is made."""
        if now_s - self.last_s > QUIET_S:
            # Asking again costs one round trip; keeping what is not used costs other entries.
            self.rate = 0.0
            self.peak = float(open_now)
        elapsed_s = now_s - self._counted_s
        shortest_s = _SHORTEST_COUNT_S if self._arrived > 1 else _SINGLE_COUNT_S
        rate = self._arrived / max(shortest_s, elapsed_s)
        if elapsed_s < _SHORTEST_COUNT_S:
            # Several asks within one count: the count goes on, or a steep rise would look flat.
            self.rate = max(self.rate, rate)
            return
        self.rate = max(rate, (self.rate + rate) / 2)
        self._arrived = 0
        self._counted_s = now_s
        self.peak = max(float(open_now), self.peak * _PEAK_DECAY)
