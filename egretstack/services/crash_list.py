"""Keeps the fleet's records of requests that end runners in the store, as the home."""

from collections.abc import Mapping

import trio

from egretstack.crashes import CrashRecord, record_from_row, record_row
from egretstack.events import Event
from egretstack.ids import ContentId
from egretstack.platform import ObjectKind
from egretstack.services._stored_records import StoredRecords


class CrashList(StoredRecords[ContentId, CrashRecord]):
    """Reads the records of requests, and writes those that have to last."""

    name = "crash_list"
    kind = ObjectKind.CRASH_RECORD
    unreadable = Event.CRASH_RECORD_UNREADABLE

    def _parse(self, row: object) -> CrashRecord:
        return record_from_row(row)

    def _row(self, record: CrashRecord) -> list:
        return record_row(record)

    def _lasting(self) -> Mapping[ContentId, CrashRecord]:
        return self._port.crashes.durable_records()

    def _apply_record(self, key: ContentId, record: CrashRecord) -> None:
        self._port.apply_crash_record(trio.current_time(), key, record)

    def _apply_deletion(self, key: ContentId) -> None:
        self._port.record_clear(trio.current_time(), key)

    def _listen(self) -> None:
        self._port.on_crash_record_change(self._on_record_change)
