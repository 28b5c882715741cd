"""Whether an instance reaches the store, from the outcome of its calls; pure, time is passed in."""

from egretstack.fleet._instance import StoreReachability

REACHABLE_TTL_S = 2.5
"""How long an answer of the store shows that an instance reaches it: two watch requests."""
UNREACHABLE_TTL_S = 5.0
"""How long a failure shows the opposite. If it did not expire, no instance would try again after an
outage."""


class StoreWatch:
    """What the outcomes of one instance's calls show about the store."""

    def __init__(self) -> None:
        self.reachability = StoreReachability.UNKNOWN
        self._answered_s = float("-inf")
        self._failed_s = float("-inf")
        self._failures = 0
        """Calls in a row that were not answered."""

    def record_answer(self, now_s: float) -> None:
        """Record that the store answered a call."""
        self._answered_s, self._failures = now_s, 0
        self.reachability = StoreReachability.REACHABLE

    def record_failure(self, now_s: float) -> None:
        """Record that the store did not answer a call.

        After an answer a moment ago, the store counts as reachable until a second call fails:
        otherwise a single lost answer would move the home.
        """
        self._failed_s = now_s
        self._failures += 1
        if self.reachability is not StoreReachability.REACHABLE or self._failures > 1:
            self.reachability = StoreReachability.UNREACHABLE

    def record_delay(self) -> None:
        """Record that a home's calls take too long to learn of leaving runners in time."""
        if self.reachability is StoreReachability.REACHABLE:
            self.reachability = StoreReachability.UNREACHABLE

    def expire(self, now_s: float) -> None:
        """Reset a result that is too old to be reported."""
        lapsed = {
            StoreReachability.REACHABLE: now_s - self._answered_s > REACHABLE_TTL_S,
            StoreReachability.UNREACHABLE: now_s - max(self._failed_s, self._answered_s)
            > UNREACHABLE_TTL_S,
        }
        if lapsed.get(self.reachability, False):
            self.reachability = StoreReachability.UNKNOWN
