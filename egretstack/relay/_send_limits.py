"""Limits on the sends of one attempt at a resumable stream. Does no I/O; the time is passed in.

They address the load of runners that break off, hang or reject: if every stream of such a runner
were sent on without limits, a fault of some runners would overload the others.
"""

from egretstack.ids import ServiceName
from egretstack.relay._budget import RetryBudget
from egretstack.relay._patience import (
    CONTINUE_WAIT_SHARE,
    FIRST_EVENT_SHARE,
    MIN_FIRST_EVENT_S,
    reader_patience_s,
)
from egretstack.routing import Route


class SendLimits:
    """Decides whether one more runner may get an attempt, and how long it may take.

    `waiting_since_s` is the time since which the reader has waited for an event.
    """

    def __init__(
        self, route: Route, service: ServiceName, deadline_s: float, budget: RetryBudget
    ) -> None:
        self._route = route
        self._service = service
        self._deadline_s = deadline_s
        self._budget = budget
        self._sends = 0

    def record_send(self) -> None:
        """Record that the attempt is sent to a runner; a rejected send counts too."""
        self._sends += 1

    def allows(self, now_s: float, waiting_since_s: float) -> bool:
        """Return whether one more runner may get an attempt that may have run already."""
        if not self._route.is_resumable_stream or self._sends >= self._route.max_sends:
            return False
        if self.patience_left_s(now_s, waiting_since_s) <= 0.0:
            return False
        return self._budget.allows(now_s, self._service)

    def patience_left_s(self, now_s: float, waiting_since_s: float) -> float:
        """Return how much longer the reader waits for an event."""
        by_patience_s = waiting_since_s + reader_patience_s(self._route) - now_s
        return max(0.0, min(by_patience_s, self._deadline_s - now_s))

    def place_wait_s(self, now_s: float, waiting_since_s: float) -> float:
        """Return how long the attempt may wait for a place at another runner."""
        return CONTINUE_WAIT_SHARE * self.patience_left_s(now_s, waiting_since_s)

    def first_event_timeout_s(self, now_s: float, waiting_since_s: float) -> float:
        """Return how long a runner that is sent the attempt now may take for its first event."""
        if self.allows(now_s, waiting_since_s):
            timeout_s = FIRST_EVENT_SHARE * self.patience_left_s(now_s, waiting_since_s)
            if timeout_s >= MIN_FIRST_EVENT_S:
                return timeout_s
        return max(0.0, self._deadline_s - now_s)
