"""Times of one session's deliveries to its caller."""

from egretstack.metrics._levels import AccountLevels


class DeliveryPace:
    """Counts a session's first token and gaps, as its caller is given them.

    `resumed` tells that an earlier entry gave the first token. The wait until the next one then
    counts as a gap from the time the session was picked up, which is less than the caller saw.
    """

    def __init__(self, levels: AccountLevels, opened_s: float, *, resumed: bool = False) -> None:
        self._levels = levels
        self._opened_s = opened_s
        self._last_s = opened_s if resumed else None

    def record_delivered(self, now_s: float, tokens: int) -> None:
        """Count tokens that are handed on together; all but the first follow without a gap."""
        if tokens <= 0:
            return
        if self._last_s is None:
            self._levels.record_first_token(now_s - self._opened_s)
        else:
            self._levels.record_gaps(now_s - self._last_s)
        if tokens > 1:
            self._levels.record_gaps(0.0, tokens - 1)
        self._last_s = now_s
