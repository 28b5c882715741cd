"""Measures the demand of an account on one entry: request rate and peak of open requests."""

QUIET_AFTER_S = 2.0
"""Time without a request after which an entry keeps only the slots of open requests."""

DEMAND_THRESHOLD = 0.2
"""Requests per second below which an entry holds no rate and queries the home per request."""

_MIN_COUNT_S = 1.0
"""Minimum time over which a rate is measured."""
_MIN_SINGLE_COUNT_S = 6.0
"""The same for a single request, which is weaker evidence of a rate: it stays below the
threshold."""

_PEAK_DECAY = 0.5


class DemandMeter:
    """Counts requests, admitted or not; times in seconds, the rate in requests per second."""

    def __init__(self, now_s: float) -> None:
        self.last_arrival_s = now_s
        self.rate = 0.0
        self.peak_open = 0.0
        self._arrived = 0
        self._count_started_s = now_s

    @property
    def is_low(self) -> bool:
        """Return whether a query per request costs less than holding a rate."""
        return self.rate < DEMAND_THRESHOLD

    def record_arrival(self, now_s: float) -> None:
        """Record that a request arrived."""
        self._arrived += 1
        self.last_arrival_s = now_s

    def record_open(self, open_now: int) -> None:
        """Record the number of open requests."""
        self.peak_open = max(self.peak_open, float(open_now))

    def update(self, now_s: float, open_now: int) -> None:
        """Update the rate and the peak; called when a query is made."""
        if now_s - self.last_arrival_s > QUIET_AFTER_S:
            # Another query costs one round trip; unused limits that are kept are missing elsewhere.
            self.rate = 0.0
            self.peak_open = float(open_now)
        elapsed_s = now_s - self._count_started_s
        shortest_s = _MIN_COUNT_S if self._arrived > 1 else _MIN_SINGLE_COUNT_S
        rate = self._arrived / max(shortest_s, elapsed_s)
        if elapsed_s < _MIN_COUNT_S:
            # Several queries within one count: it continues, or a steep rise would be averaged out.
            self.rate = max(self.rate, rate)
            return
        self.rate = max(rate, (self.rate + rate) / 2)
        self._arrived = 0
        self._count_started_s = now_s
        self.peak_open = max(float(open_now), self.peak_open * _PEAK_DECAY)
