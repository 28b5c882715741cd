"""Whose turn it is to be copied off an engine; pure, with the time passed in.

Copies off one engine queue up behind each other on its link. When several run at once, the last
part of each, which stops the stream, waits behind the first parts of the others: the pause that a
reader sees grows from some 10 ms to several hundred. One at a time keeps it short.
"""

from collections.abc import Callable
from dataclasses import dataclass

from egretstack.ids import RunnerId

TURN_S = 2.5
"""Longest turn; a copy takes some 0.2 to 0.4 s, and one that hangs must not hold up the rest."""
ASKING_S = 0.4
"""An instance asks again every tenth of a second; one that stopped asking has given up."""


@dataclass(slots=True)
class _Asking:
    order: float
    asked_s: float
    refused: frozenset[RunnerId]
    """Engines that had no room for the run's copy a moment ago."""


class MovePermits:
    """One turn at a time for each engine that runs are copied off."""

    def __init__(self) -> None:
        self._holder_by_source: dict[RunnerId, tuple[str, float]] = {}
        self._asking_by_source: dict[RunnerId, dict[str, _Asking]] = {}

    def request(
        self,
        now_s: float,
        source: RunnerId,
        attempt: str,
        order: float,
        refused: frozenset[RunnerId] = frozenset(),
    ) -> bool:
        """Tell whether it is this run's turn; the lowest order among those asking goes first."""
        asking = self._asking_by_source.setdefault(source, {})
        asking[attempt] = _Asking(order, now_s, refused)
        holder = self._holder_by_source.get(source)
        if holder is not None and now_s - holder[1] < TURN_S:
            return holder[0] == attempt
        return self.grant_next(now_s, source) == attempt

    def release_ended(self, source: RunnerId, has_ended: Callable[[str], bool]) -> None:
        """Take the turn back from a run that has ended; the news of it may have been lost."""
        holder = self._holder_by_source.get(source)
        if holder is not None and has_ended(holder[0]):
            self.release(source, holder[0])

    def holder(self, source: RunnerId) -> str | None:
        """Give the run that has the turn."""
        holder = self._holder_by_source.get(source)
        return None if holder is None else holder[0]

    def refusing_engines(self, source: RunnerId, attempt: str) -> frozenset[RunnerId]:
        """Give the engines that a run which asks was refused by."""
        asking = self._asking_by_source.get(source, {}).get(attempt)
        return frozenset() if asking is None else asking.refused

    def grant_next(self, now_s: float, source: RunnerId) -> str | None:
        """Give the turn to the first of those that ask, if nobody has it; None if nobody asks."""
        holder = self._holder_by_source.get(source)
        if holder is not None and now_s - holder[1] < TURN_S:
            return None
        asking = self._asking_by_source.get(source, {})
        for name in [one for one, it in asking.items() if now_s - it.asked_s > ASKING_S]:
            del asking[name]
        if not asking:
            return None
        first = min(asking, key=lambda name: asking[name].order)
        self._holder_by_source[source] = (first, now_s)
        return first

    def release(self, source: RunnerId, attempt: str) -> None:
        """Note that a turn is over."""
        asking = self._asking_by_source.get(source, {})
        asking.pop(attempt, None)
        if not asking:
            self._asking_by_source.pop(source, None)
        holder = self._holder_by_source.get(source)
        if holder is not None and holder[0] == attempt:
            del self._holder_by_source[source]
