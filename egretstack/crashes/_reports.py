"""Strikes and clears that one instance reports to the home, repeated until it has them. No I/O."""

from collections import deque

from egretstack.crashes._record import MAX_ROUND, Strike, strike_row
from egretstack.ids import ContentId
from egretstack.messages import MessageError

REPEAT_PERIOD_S = 5.0
"""How long a finding is repeated in each report; a change of home takes less time."""
MAX_REPORTED = 64
"""Maximum number of findings of either kind in one report; each takes some 60 bytes."""


class CrashReports:
    """The latest strikes and clears that one instance found."""

    def __init__(self) -> None:
        self._strikes: deque[tuple[ContentId, Strike]] = deque(maxlen=MAX_REPORTED)
        self._clears: deque[tuple[float, ContentId, int]] = deque(maxlen=MAX_REPORTED)

    def record_strike(self, content: ContentId, strike: Strike) -> None:
        """Record that a runner ended while it ran a request."""
        self._strikes.append((content, strike))

    def record_clear(self, now_s: float, content: ContentId, cleared_round: int) -> None:
        """Record that a runner answered a request, which began `cleared_round`."""
        self._clears.append((now_s, content, cleared_round))

    def strike_rows(self, now_s: float) -> list:
        """Return the rows of the latest strikes."""
        while self._strikes and now_s - self._strikes[0][1].ended_s > REPEAT_PERIOD_S:
            self._strikes.popleft()
        return [strike_row(content, strike, now_s) for content, strike in self._strikes]

    def clear_rows(self, now_s: float) -> list:
        """Return the rows of the latest clears."""
        while self._clears and now_s - self._clears[0][0] > REPEAT_PERIOD_S:
            self._clears.popleft()
        return [[content, cleared_round] for _, content, cleared_round in self._clears]


def clear_from_row(row: object) -> tuple[ContentId, int]:
    """Parse the row of a clear: an answer to a suspected request. Raises MessageError."""
    try:
        content, cleared_round = row
    except (TypeError, ValueError) as error:
        raise MessageError(f"not a clear: {error}") from error
    if not isinstance(content, str) or not isinstance(cleared_round, int):
        raise MessageError("clear: content is not a string or round is not an integer")
    if not 0 < cleared_round <= MAX_ROUND:
        raise MessageError(f"clear: invalid round {cleared_round}")
    return ContentId(content), cleared_round
