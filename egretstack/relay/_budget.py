"""This instance's share of the fleet's retry budget.

Retries add load to overloaded runners just when they can handle less. The budget bounds retries
for each service: a share of the requests, plus a fixed number that is split evenly over the fleet.
"""

from collections import deque

from egretstack.ids import ServiceName
from egretstack.platform import Bounds

SAFETY_SHARE = 0.8
"""Share of the budget that is used: windows slide, and their edges differ between instances."""


class RetryBudget:
    """Counts requests and retries by service over a sliding window."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.instances = 1
        """Instances that share the fixed part; no fewer than the live ones."""
        self._request_times_by_service: dict[ServiceName, deque[float]] = {}
        self._retry_times_by_service: dict[ServiceName, deque[float]] = {}

    def record_request(self, now_s: float, service: ServiceName) -> None:
        """Record a client's request for a service."""
        self._recent(now_s, self._request_times_by_service, service).append(now_s)

    def record_retry(self, now_s: float, service: ServiceName) -> None:
        """Record a retry."""
        self._recent(now_s, self._retry_times_by_service, service).append(now_s)

    def allows(self, now_s: float, service: ServiceName) -> bool:
        """Return whether one more retry stays within this instance's share of the budget."""
        requests = len(self._recent(now_s, self._request_times_by_service, service))
        retries = len(self._recent(now_s, self._retry_times_by_service, service))
        share = self.bounds.retry_slack / max(1, self.instances)
        allowed = self.bounds.retry_ratio * requests + share
        return retries + 1 <= SAFETY_SHARE * allowed

    def _recent(
        self, now_s: float, times_by_service: dict[ServiceName, deque[float]], service: ServiceName
    ) -> deque[float]:
        times = times_by_service.setdefault(service, deque())
        while times and now_s - times[0] > self.bounds.retry_window_s:
            times.popleft()
        return times
