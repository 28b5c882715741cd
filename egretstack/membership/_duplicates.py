"""Tells when two processes go by one instance id."""

from collections import deque

from egretstack.membership._rows import InstanceRow, InstanceState

MAX_REFUTATIONS = 3
WINDOW_S = 300.0


class DuplicateDetector:
    """Counts rows that only another process of this id can have made; times in seconds.

    Two such processes would overrule each other's rows once a second for ever, and every change
    would go to the whole fleet. Each gives up after a few answers; the alarm tells the operator.
    """

    def __init__(self) -> None:
        self.alarms = 0
        self._refuted_s: deque[float] = deque(maxlen=MAX_REFUTATIONS)

    def may_refute(self, now_s: float, held: InstanceRow) -> bool:
        """Tell whether to go above the row that the others hold of this instance."""
        # Others only ever accuse; that is answered always, or a live instance would stay gone.
        if held.state in (InstanceState.SUSPECT, InstanceState.GONE):
            return True
        # A former run may have left such a row behind, but not several in a row.
        if len(self._refuted_s) == MAX_REFUTATIONS and now_s - self._refuted_s[0] < WINDOW_S:
            return False
        self._refuted_s.append(now_s)
        if len(self._refuted_s) == MAX_REFUTATIONS and now_s - self._refuted_s[0] < WINDOW_S:
            self.alarms += 1
        return True
