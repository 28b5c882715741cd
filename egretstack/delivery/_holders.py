"""Which entry serves a generation now, as far as this entry was told."""

from collections import OrderedDict

from egretstack.ids import GenerationId, InstanceId, RunnerId

MAX_HOLDERS = 4096
Place = tuple[RunnerId, GenerationId]
"""A generation is named by its engine and its id there."""


class GenerationHolders:
    """Remembers the last holder told of each generation, for a bounded time and number.

    The session id names the entry that opened the session. After the second pick-up that name
    is stale: the entry in between would not be told, and its cancel at the end of its resume
    window would end a stream that is read elsewhere. So the entry told before answers with the
    holder it knows, and the newcomer tells that one too.
    """

    def __init__(self, ttl_s: float, limit: int = MAX_HOLDERS) -> None:
        self._life_s = ttl_s
        self._most = limit
        self._row_by_place: OrderedDict[Place, tuple[InstanceId, float]] = OrderedDict()

    def record(self, now_s: float, place: Place, holder: InstanceId) -> None:
        """Remember the newest holder."""
        self._row_by_place.pop(place, None)
        self._row_by_place[place] = (holder, now_s)
        self._trim(now_s)

    def holder(self, now_s: float, place: Place) -> InstanceId | None:
        """Give the holder last told of, or None."""
        self._trim(now_s)
        row = self._row_by_place.get(place)
        return row[0] if row else None

    def __len__(self) -> int:
        return len(self._row_by_place)

    def _trim(self, now_s: float) -> None:
        while self._row_by_place:
            place, (_, told_s) = next(iter(self._row_by_place.items()))
            if len(self._row_by_place) <= self._most and now_s - told_s <= self._life_s:
                return
            del self._row_by_place[place]
