"""The crash records that one instance knows. Does no I/O; the time is passed in."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from egretstack.crashes._record import CrashRecord, Strike
from egretstack.ids import ContentId

MAX_RECORDS = 512
"""Maximum number of records that are kept and sent, some 40 bytes each on the wire. The least
suspected are dropped first."""
RECORD_TTL_S = 3600.0
"""Time without another strike after which a request is tried again."""
SINGLE_STRIKE_TTL_S = 300.0
"""The same for a request with a strike from a single runner."""


@dataclass(slots=True)
class _Entry:
    record: CrashRecord = field(default_factory=CrashRecord)
    changed_s: float = float("-inf")
    first_ended_s: float = float("inf")
    last_sent_s: float = float("-inf")


class CrashTable:
    """Crash records by content id, the fingerprint of a request."""

    def __init__(self) -> None:
        self._entry_by_content: dict[ContentId, _Entry] = {}
        self._callbacks_by_content: dict[ContentId, set[Callable[[], None]]] = {}

    def __len__(self) -> int:
        return len(self._entry_by_content)

    def record(self, content: ContentId) -> CrashRecord | None:
        """Return the crash record of a request; None if there is none."""
        entry = self._entry_by_content.get(content)
        return None if entry is None else entry.record

    def is_refused(self, content: ContentId) -> bool:
        """Return whether no runner may get a request."""
        entry = self._entry_by_content.get(content)
        return entry is not None and entry.record.is_refused

    def is_suspected(self, content: ContentId) -> bool:
        """Return whether a runner ended while it ran a request, and no answer cleared it since."""
        entry = self._entry_by_content.get(content)
        return entry is not None and entry.record.weight > 0

    def refused_count(self) -> int:
        """Return how many requests no runner may get."""
        return sum(entry.record.is_refused for entry in self._entry_by_content.values())

    def round(self, content: ContentId) -> int:
        """Return the round in which a strike against a request counts now."""
        entry = self._entry_by_content.get(content)
        return 0 if entry is None else entry.record.round

    def record_strike(self, now_s: float, content: ContentId, strike: Strike) -> bool:
        """Record that a runner ended while it ran a request; return whether the record changed."""
        if strike.round < self.round(content):
            return False
        entry = self._entry_by_content.setdefault(content, _Entry())
        entry.first_ended_s = min(entry.first_ended_s, strike.ended_s)
        entry.last_sent_s = max(entry.last_sent_s, strike.sent_s)
        recurred = entry.last_sent_s >= entry.first_ended_s
        record = CrashRecord(strike.round, {strike.runner: strike.weight}, recurred)
        return self._merge(now_s, content, record)

    def clear(self, now_s: float, content: ContentId) -> int | None:
        """Clear a request that a runner answered.

        Returns its new round, or None if there were no strikes against it.
        """
        entry = self._entry_by_content.get(content)
        if entry is None or not entry.record.weight:
            return None
        record = entry.record.cleared()
        self._merge(now_s, content, record)
        return record.round

    def merge_record(self, now_s: float, content: ContentId, record: CrashRecord) -> bool:
        """Merge a record of another instance or the store; return whether the record changed."""
        entry = self._entry_by_content.setdefault(content, _Entry())
        if record.weight:
            entry.first_ended_s = min(entry.first_ended_s, now_s)
        return self._merge(now_s, content, record)

    def merge_clear(self, now_s: float, content: ContentId, cleared_round: int) -> bool:
        """Apply another instance's clear of a known request; return whether the record changed."""
        if content not in self._entry_by_content:
            return False
        return self._merge(now_s, content, CrashRecord(cleared_round))

    def shared_records(self) -> dict[ContentId, CrashRecord]:
        """Return the records for all instances; any of them may get an answer or a broken run."""
        return {content: entry.record for content, entry in self._entry_by_content.items()}

    def durable_records(self) -> dict[ContentId, CrashRecord]:
        """Return the records that have to survive the end of all processes.

        Records with a single runner are left out: otherwise all runs on a runner that ends by
        itself would be stored.
        """
        return {
            content: entry.record
            for content, entry in self._entry_by_content.items()
            if len(entry.record.weight_by_runner) > 1
        }

    def forget_expired(self, now_s: float) -> None:
        """Forget records that have not changed for a long time."""
        for content, entry in list(self._entry_by_content.items()):
            ttl_s = RECORD_TTL_S if len(entry.record.weight_by_runner) > 1 else SINGLE_STRIKE_TTL_S
            if now_s - entry.changed_s > ttl_s:
                del self._entry_by_content[content]

    @contextmanager
    def notify_when_refused(
        self, content: ContentId, callback: Callable[[], None]
    ) -> Iterator[None]:
        """Call `callback` if a request is refused while the context is active."""
        callbacks = self._callbacks_by_content.setdefault(content, set())
        callbacks.add(callback)
        try:
            yield
        finally:
            callbacks.discard(callback)
            if not callbacks:
                self._callbacks_by_content.pop(content, None)

    def _merge(self, now_s: float, content: ContentId, record: CrashRecord) -> bool:
        entry = self._entry_by_content[content]
        merged = entry.record.merged(record)
        if merged == entry.record:
            return False
        if merged.round > entry.record.round:
            entry.first_ended_s, entry.last_sent_s = float("inf"), float("-inf")
        entry.record, entry.changed_s = merged, now_s
        if merged.is_refused:
            for callback in tuple(self._callbacks_by_content.get(content, ())):
                callback()
        self._drop_least_important()
        return True

    def _drop_least_important(self) -> None:
        while len(self._entry_by_content) > MAX_RECORDS:
            least = min(self._entry_by_content, key=self._importance)
            del self._entry_by_content[least]

    def _importance(self, content: ContentId) -> tuple[bool, int, float]:
        entry = self._entry_by_content[content]
        return entry.record.is_refused, entry.record.weight, entry.changed_s
