"""This instance's part of the fleet's budget for sending requests a second time.

Runners that are in trouble get more work by retries just when they can do less. The budget bounds
that for each service: a share of the requests, and a fixed number that the fleet splits evenly.
"""

from collections import deque

from egretstack.ids import ServiceName
from egretstack.platform import Bounds

SAFETY_SHARE = 0.8
"""Part of the budget that is used: windows slide, and instances see their edges differently."""


class RetryBudget:
    """Requests and second sends of the last window, by service."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.instances = 1
        """Instances that share the fixed part; at least those that live."""
        self._requests_by_service: dict[ServiceName, deque[float]] = {}
        self._repeats_by_service: dict[ServiceName, deque[float]] = {}

    def record_request(self, now_s: float, service: ServiceName) -> None:
        """Note a client's request for a service."""
        self._recent(now_s, self._requests_by_service, service).append(now_s)

    def record_retry(self, now_s: float, service: ServiceName) -> None:
        """Note a second send."""
        self._recent(now_s, self._repeats_by_service, service).append(now_s)

    def allows(self, now_s: float, service: ServiceName) -> bool:
        """Tell whether one more second send keeps within this instance's part."""
        requests = len(self._recent(now_s, self._requests_by_service, service))
        repeats = len(self._recent(now_s, self._repeats_by_service, service))
        share = self.bounds.retry_slack / max(1, self.instances)
        allowed = self.bounds.retry_ratio * requests + share
        return repeats + 1 <= SAFETY_SHARE * allowed

    def _recent(
        self, now_s: float, times_by_service: dict[ServiceName, deque[float]], service: ServiceName
    ) -> deque[float]:
        times = times_by_service.setdefault(service, deque())
        while times and now_s - times[0] > self.bounds.retry_window_s:
            times.popleft()
        return times
