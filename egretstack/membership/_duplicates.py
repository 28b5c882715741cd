"""Detects that two processes use one instance id."""

from collections import deque

from egretstack.membership._rows import InstanceRow, InstanceState

MAX_REFUTATIONS = 3
WINDOW_S = 300.0


class DuplicateDetector:
    """Counts rows that only another process with this id can have made; times in seconds.

    Two such processes would overrule each other's rows once a second without end, and every change
    would be sent to the whole fleet. Each gives up after a few refutations; the alarm informs the
    operator.
    """

    def __init__(self) -> None:
        self.alarms = 0
        self._refuted_s: deque[float] = deque(maxlen=MAX_REFUTATIONS)

    def may_refute(self, now_s: float, held: InstanceRow) -> bool:
        """Return whether to refute the row that the others hold of this instance."""
        # Other instances only ever set these two states. They are always refuted, or a live
        # instance would stay gone.
        if held.state in (InstanceState.SUSPECT, InstanceState.GONE):
            return True
        # An earlier run of this process may have left one such row behind, but not several.
        if len(self._refuted_s) == MAX_REFUTATIONS and now_s - self._refuted_s[0] < WINDOW_S:
            return False
        self._refuted_s.append(now_s)
        if len(self._refuted_s) == MAX_REFUTATIONS and now_s - self._refuted_s[0] < WINDOW_S:
            self.alarms += 1
        return True
