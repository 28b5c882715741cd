"""The records of all requests that one instance knows of; pure, with the time passed in."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from egretstack.crashes._record import CrashRecord, Strike
from egretstack.ids import ContentId

MAX_RECORDS = 512
"""Records that are kept and told, some 40 bytes each on the wire; the least suspected go first."""
KEEP_S = 3600.0
"""Time without an end of a runner after which a request is given another try."""
KEEP_SINGLE_S = 300.0
"""The same for a request that was in progress at one end only."""


@dataclass(slots=True)
class _Known:
    record: CrashRecord = field(default_factory=CrashRecord)
    changed_s: float = float("-inf")
    first_ended_s: float = float("inf")
    last_sent_s: float = float("-inf")


class CrashTable:
    """Records by content."""

    def __init__(self) -> None:
        self._known_by_content: dict[ContentId, _Known] = {}
        self._waiting_by_content: dict[ContentId, set[Callable[[], None]]] = {}

    def __len__(self) -> int:
        return len(self._known_by_content)

    def record(self, content: ContentId) -> CrashRecord | None:
        """Give what is known of a request; None if nothing is."""
        known = self._known_by_content.get(content)
        return None if known is None else known.record

    def is_refused(self, content: ContentId) -> bool:
        """Tell whether no runner may get a request."""
        known = self._known_by_content.get(content)
        return known is not None and known.record.is_refused

    def is_suspected(self, content: ContentId) -> bool:
        """Tell whether a runner has ended while it ran a request, which nothing has cleared."""
        known = self._known_by_content.get(content)
        return known is not None and known.record.weight > 0

    def refused_count(self) -> int:
        """Give how many requests no runner may get."""
        return sum(one.record.is_refused for one in self._known_by_content.values())

    def round(self, content: ContentId) -> int:
        """Give the round for which an end of a runner counts now."""
        known = self._known_by_content.get(content)
        return 0 if known is None else known.record.round

    def record_strike(self, now_s: float, content: ContentId, strike: Strike) -> bool:
        """Note that a runner ended while it ran a request; tell whether that is news."""
        if strike.round < self.round(content):
            return False
        known = self._known_by_content.setdefault(content, _Known())
        known.first_ended_s = min(known.first_ended_s, strike.ended_s)
        known.last_sent_s = max(known.last_sent_s, strike.sent_s)
        recurred = known.last_sent_s >= known.first_ended_s
        record = CrashRecord(strike.round, {strike.runner: strike.weight}, recurred)
        return self._merge(now_s, content, record)

    def clear(self, now_s: float, content: ContentId) -> int | None:
        """Note that a runner answered a request; give the round, None if nothing was held of it."""
        known = self._known_by_content.get(content)
        if known is None or not known.record.weight:
            return None
        record = known.record.cleared()
        self._merge(now_s, content, record)
        return record.round

    def merge_record(self, now_s: float, content: ContentId, record: CrashRecord) -> bool:
        """Take what another instance or the store knows; tell whether it is news."""
        known = self._known_by_content.setdefault(content, _Known())
        if record.weight:
            known.first_ended_s = min(known.first_ended_s, now_s)
        return self._merge(now_s, content, record)

    def merge_clear(self, now_s: float, content: ContentId, cleared_round: int) -> bool:
        """Take it that another instance cleared a request; tell whether it is news."""
        if content not in self._known_by_content:
            return False
        return self._merge(now_s, content, CrashRecord(cleared_round))

    def shared_records(self) -> dict[ContentId, CrashRecord]:
        """Give the records that every instance has to know; any may answer or break the request."""
        return {content: known.record for content, known in self._known_by_content.items()}

    def durable_records(self) -> dict[ContentId, CrashRecord]:
        """Give the records that have to outlive every process.

        A single end is left out: of a runner that ends by itself, all runs would be recorded.
        """
        return {
            content: known.record
            for content, known in self._known_by_content.items()
            if len(known.record.weight_by_runner) > 1
        }

    def forget_expired(self, now_s: float) -> None:
        """Forget what nothing was heard of for long."""
        for content, known in list(self._known_by_content.items()):
            keep_s = KEEP_S if len(known.record.weight_by_runner) > 1 else KEEP_SINGLE_S
            if now_s - known.changed_s > keep_s:
                del self._known_by_content[content]

    @contextmanager
    def notify_when_refused(self, content: ContentId, wake: Callable[[], None]) -> Iterator[None]:
        """Call `wake` if a request is refused while the context lasts."""
        waiting = self._waiting_by_content.setdefault(content, set())
        waiting.add(wake)
        try:
            yield
        finally:
            waiting.discard(wake)
            if not waiting:
                self._waiting_by_content.pop(content, None)

    def _merge(self, now_s: float, content: ContentId, record: CrashRecord) -> bool:
        known = self._known_by_content[content]
        merged = known.record.merged(record)
        if merged == known.record:
            return False
        if merged.round > known.record.round:
            known.first_ended_s, known.last_sent_s = float("inf"), float("-inf")
        known.record, known.changed_s = merged, now_s
        if merged.is_refused:
            for wake in tuple(self._waiting_by_content.get(content, ())):
                wake()
        self._drop_least()
        return True

    def _drop_least(self) -> None:
        while len(self._known_by_content) > MAX_RECORDS:
            least = min(self._known_by_content, key=self._importance)
            del self._known_by_content[least]

    def _importance(self, content: ContentId) -> tuple[bool, int, float]:
        known = self._known_by_content[content]
        return known.record.is_refused, known.record.weight, known.changed_s
