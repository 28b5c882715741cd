"""Forecasts how long a request waits, from the rates at which work goes out and comes in."""

from collections import deque
from math import inf

WINDOW_S = 10.0
MAX_KEPT = 512
MIN_BUSY_S = 2.0
"""Time with work waiting that a rate rests on; before that no wait is forecast."""
MIN_RETRY_S = 1.0
MAX_RETRY_S = 60.0


class WaitForecast:
    """Rates of one group of runners, over the last WINDOW_S."""

    def __init__(self) -> None:
        self._sent_s: deque[float] = deque(maxlen=MAX_KEPT)
        self._come: deque[tuple[float, int]] = deque(maxlen=MAX_KEPT)
        self._waiting_since_s: float | None = None

    def arrived(self, now_s: float, value: int) -> None:
        """Note a request that came."""
        self._come.append((now_s, value))

    def sent(self, now_s: float) -> None:
        """Note work that went out."""
        self._sent_s.append(now_s)

    def waiting(self, now_s: float, some: bool) -> None:
        """Note whether some work waits."""
        if not some:
            self._waiting_since_s = None
        elif self._waiting_since_s is None:
            self._waiting_since_s = now_s

    def wait_s(self, now_s: float, ahead: int, value: int) -> float:
        """Forecast the wait behind `ahead` others; work of more value will come in front.

        Infinite when work of more value comes as fast as work goes out.
        """
        since_s = self._waiting_since_s
        if since_s is None or now_s - since_s < MIN_BUSY_S:
            return 0.0
        span_s = min(WINDOW_S, now_s - since_s)
        start_s = now_s - span_s
        sent = sum(1 for at_s in self._sent_s if at_s >= start_s)
        above = sum(1 for at_s, worth in self._come if at_s >= start_s and worth > value)
        rate = (sent - above) / span_s
        if rate <= 0:
            return inf
        return (ahead + 1) / rate

    def retry_after_s(self, now_s: float, wait_s: float, allowed_s: float) -> float:
        """Forecast when the same request would find a wait that its deadline allows."""
        if wait_s == inf:
            return MAX_RETRY_S / 2
        return min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s - allowed_s))
