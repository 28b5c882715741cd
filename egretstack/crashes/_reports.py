"""What one instance has found out and tells the home, until it surely knows; pure."""

from collections import deque

from egretstack.crashes._record import MAX_ROUND, Strike, strike_row
from egretstack.ids import ContentId
from egretstack.messages import MessageError

REPEAT_S = 5.0
"""How long a finding goes with each report; a home takes less to change."""
MOST_TOLD = 64
"""Findings of either kind in one report, some 60 bytes each."""


class CrashReports:
    """The latest findings of one instance."""

    def __init__(self) -> None:
        self._strikes: deque[tuple[ContentId, Strike]] = deque(maxlen=MOST_TOLD)
        self._clears: deque[tuple[float, ContentId, int]] = deque(maxlen=MOST_TOLD)

    def record_strike(self, content: ContentId, strike: Strike) -> None:
        """Note that a runner ended while it ran a request."""
        self._strikes.append((content, strike))

    def record_clear(self, now_s: float, content: ContentId, cleared_round: int) -> None:
        """Note that a runner answered a request, which began that round."""
        self._clears.append((now_s, content, cleared_round))

    def strike_rows(self, now_s: float) -> list:
        """Give the rows of the latest strikes."""
        while self._strikes and now_s - self._strikes[0][1].ended_s > REPEAT_S:
            self._strikes.popleft()
        return [strike_row(content, strike, now_s) for content, strike in self._strikes]

    def clear_rows(self, now_s: float) -> list:
        """Give the rows of the latest answers."""
        while self._clears and now_s - self._clears[0][0] > REPEAT_S:
            self._clears.popleft()
        return [[content, cleared_round] for _, content, cleared_round in self._clears]


def clear_from_row(row: object) -> tuple[ContentId, int]:
    """Read the row of an answer that clears a request. Raises MessageError."""
    try:
        content, cleared_round = row
    except (TypeError, ValueError) as error:
        raise MessageError(f"not a cleared request: {error}") from error
    if not isinstance(content, str) or not isinstance(cleared_round, int):
        raise MessageError("a cleared request of no content or round")
    if not 0 < cleared_round <= MAX_ROUND:
        raise MessageError(f"a cleared request of round {cleared_round}")
    return ContentId(content), cleared_round
