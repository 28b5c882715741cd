"""How long the latest calls of each route took. Does no I/O; the time is passed in."""

from collections import OrderedDict, deque

MAX_CALLS = 16
"""Latest calls of a route of which the longest counts."""
MIN_CALLS = 3
"""Calls from which the time of a route's calls counts as measured."""
MAX_AGE_S = 30.0
MAX_ROUTES = 1_024


class CallDurations:
    """The times of this instance's calls, by route."""

    def __init__(self) -> None:
        self._calls_by_route: OrderedDict[str, deque[tuple[float, float]]] = OrderedDict()
        """When each call ended and how long it took, in seconds."""

    def record(self, now_s: float, route: str, took_s: float) -> None:
        """Record a call that was answered, or that ended without an answer after it was sent."""
        calls = self._calls_by_route.get(route)
        if calls is None:
            calls = self._calls_by_route[route] = deque(maxlen=MAX_CALLS)
            if len(self._calls_by_route) > MAX_ROUTES:
                self._calls_by_route.popitem(last=False)
        calls.append((now_s, took_s))

    def longest_s(self, now_s: float, route: str) -> float | None:
        """Return how long the longest of the latest calls took; None if too few were measured."""
        calls = self._calls_by_route.get(route, ())
        times = [took_s for ended_s, took_s in calls if now_s - ended_s <= MAX_AGE_S]
        return max(times) if len(times) >= MIN_CALLS else None
