"""Which entry serves a generation now, according to the takeovers reported to this entry."""

from collections import OrderedDict

from egretstack.ids import GenerationId, InstanceId, RunnerId

MAX_HOLDERS = 4096
GenerationKey = tuple[RunnerId, GenerationId]
"""A generation is identified by its engine and its id on that engine."""


class GenerationHolders:
    """Stores the last reported holder of each generation, bounded in time and number.

    The session id names the entry that opened the session. After a second takeover that name is
    stale: the entry in between would not be notified, and when its resume window ends it would
    cancel a generation whose stream is read elsewhere. So an entry that is notified of a takeover
    answers with the previous holder that it knows, and the new holder notifies that one too.
    """

    def __init__(self, ttl_s: float, limit: int = MAX_HOLDERS) -> None:
        self._ttl_s = ttl_s
        self._limit = limit
        self._row_by_key: OrderedDict[GenerationKey, tuple[InstanceId, float]] = OrderedDict()

    def record(self, now_s: float, key: GenerationKey, holder: InstanceId) -> None:
        """Store the newest holder of a generation."""
        self._row_by_key.pop(key, None)
        self._row_by_key[key] = (holder, now_s)
        self._forget_old(now_s)

    def holder(self, now_s: float, key: GenerationKey) -> InstanceId | None:
        """Return the last recorded holder, or None."""
        self._forget_old(now_s)
        row = self._row_by_key.get(key)
        return row[0] if row else None

    def __len__(self) -> int:
        return len(self._row_by_key)

    def _forget_old(self, now_s: float) -> None:
        while self._row_by_key:
            key, (_, recorded_s) = next(iter(self._row_by_key.items()))
            if len(self._row_by_key) <= self._limit and now_s - recorded_s <= self._ttl_s:
                return
            del self._row_by_key[key]
