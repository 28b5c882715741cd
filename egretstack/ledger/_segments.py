"""One process's view of a shard's segments, and the segment that it is creating."""

from collections.abc import Iterable

from egretstack.ledger._row import KeyId, Row
from egretstack.ledger._shard import Segment, SegmentIndex, Shard, largest_bucket
from egretstack.ledger._steps import CreateSegment, Operation


class SegmentCache:
    """Indexes of the listed segments, the rows of the last one read, and the one being created.

    `created` is a segment that exists but that the head does not list yet, and `moved_rows` are
    its rows. `unlisted_name` names a created segment that no head will ever list.
    """

    def __init__(self, roll_bytes: int) -> None:
        self._roll_bytes = roll_bytes
        self._index_by_name: dict[str, SegmentIndex] = {}
        self._missing_names: set[str] = set()
        self._base_version: str | None = None
        self.loaded_name = ""
        self.row_by_key: dict[KeyId, Row] = {}
        self.created: Segment | None = None
        self.moved_rows: dict[KeyId, Row] = {}
        self.unlisted_name: str | None = None

    def on_head_read(self, shard: Shard, version: str | None) -> None:
        """Update from a head that was read at `version`."""
        names = {segment.name for segment in shard.segments}
        indexes = self._index_by_name.items()
        self._index_by_name = {name: index for name, index in indexes if name in names}
        self._missing_names &= names
        if self.created is None or self.created.name not in names and version == self._base_version:
            return
        if self.created.name not in names:
            # The head's version has changed without it, so the write that lists it can never
            # land.
            self.unlisted_name = self.created.name
        self.clear_created()

    def on_segment_read(self, name: str, row_by_key: dict[KeyId, Row]) -> None:
        """Index a segment and keep its rows until the next one is read."""
        self._add(name, row_by_key)
        self.loaded_name, self.row_by_key = name, row_by_key

    def on_segment_missing(self, name: str) -> bool:
        """Record that a listed segment is missing; return True from the second time on."""
        was_missing = name in self._missing_names
        self._missing_names.add(name)
        return was_missing

    def on_segment_created(self, name: str, step: CreateSegment, version: str | None) -> None:
        """Record that a segment was created from rows of the head at `version`."""
        self.created = Segment(name, step.until_s)
        self.moved_rows = step.row_by_key
        self._base_version = version
        self._add(name, step.row_by_key)

    def clear_created(self) -> None:
        """Clear the created segment: the head lists it, or never will."""
        self.created, self.moved_rows = None, {}

    def find_unread(self, shard: Shard, epoch_s: float) -> str | None:
        """Return a listed segment that must be read before any intent can be written."""
        for segment in shard.segments:
            if segment.name not in self._index_by_name and segment.until_s > epoch_s:
                return segment.name
        return None

    def find_segment(self, operation: Operation, shard: Shard, epoch_s: float) -> str | None:
        """Return the newest segment that holds the key, or that must be read to find out."""
        for segment in reversed(shard.segments):
            if segment.until_s <= epoch_s or segment.name in operation.segments_without_key:
                continue
            if not self._index_by_name[segment.name].may_hold(operation.key):
                continue
            if segment.name != self.loaded_name:
                return segment.name
            row = self.row_by_key.get(operation.key)
            if row is not None and row.until_s > epoch_s:
                return segment.name
            operation.segments_without_key.add(segment.name)
        return None

    def roll_over(self, rows: dict[KeyId, Row]) -> CreateSegment | None:
        """Remove moved rows from `rows`, or return the next segment to create if it is too big."""
        if self.created is not None:
            for key, row in self.moved_rows.items():
                if rows.get(key) == row:
                    del rows[key]
            return None
        if sum(row.size for row in rows.values()) <= self._roll_bytes:
            return None
        moved = largest_bucket(rows)
        if not moved:
            return None
        return CreateSegment(moved, max(row.until_s for row in moved.values()))

    def _add(self, name: str, keys: Iterable[KeyId]) -> None:
        self._index_by_name[name] = SegmentIndex(list(keys))
