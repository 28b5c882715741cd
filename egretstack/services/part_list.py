"""Keeps the fleet's records of parts of prompts that end runners in the store, as the home."""

from collections.abc import Mapping

from egretstack.crashes import PartRecord, part_record_from_row, part_record_row
from egretstack.events import Event
from egretstack.ids import PartId
from egretstack.kernel import Kernel
from egretstack.platform import ObjectKind
from egretstack.services._stored_records import StoredRecords
from egretstack.services.part_records import PartRecords


class PartList(StoredRecords[PartId, PartRecord]):
    """Reads the records of guilty parts, and writes them."""

    name = "part_list"
    requires = (*StoredRecords.requires, "part_records")
    kind = ObjectKind.PART_RECORD
    unreadable = Event.PART_RECORD_UNREADABLE

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._records = kernel.get(PartRecords)

    def _parse(self, row: object) -> PartRecord:
        return part_record_from_row(row)

    def _row(self, record: PartRecord) -> list:
        return part_record_row(record)

    def _lasting(self) -> Mapping[PartId, PartRecord]:
        return self._records.durable_records()

    def _apply_record(self, key: PartId, record: PartRecord) -> None:
        self._records.merge_stored(key, record)

    def _apply_deletion(self, key: PartId) -> None:
        self._records.clear(key)

    def _listen(self) -> None:
        self._records.on_change(self._on_record_change)
