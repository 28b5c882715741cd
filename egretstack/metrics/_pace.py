"""Records the times at which a session's tokens are delivered to its caller."""

from egretstack.metrics._levels import AccountLevels


class DeliveryPace:
    """Counts a session's first token and the gaps between tokens, as delivered to its caller.

    `resumed` means that another entry delivered the first token. The wait until the next token
    then counts as a gap that starts at the takeover; the gap that the caller saw is longer.
    """

    def __init__(self, levels: AccountLevels, opened_s: float, *, resumed: bool = False) -> None:
        self._levels = levels
        self._opened_s = opened_s
        self._last_s = opened_s if resumed else None

    def record_delivered(self, now_s: float, tokens: int) -> None:
        """Count tokens that are delivered together; all but the first have a gap of zero."""
        if tokens <= 0:
            return
        if self._last_s is None:
            self._levels.record_first_token(now_s - self._opened_s)
        else:
            self._levels.record_gaps(now_s - self._last_s)
        if tokens > 1:
            self._levels.record_gaps(0.0, tokens - 1)
        self._last_s = now_s
