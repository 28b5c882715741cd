"""What one process knows of a shard's segments, and the segment it is making."""

from collections.abc import Iterable

from egretstack.ledger._row import KeyId, Row
from egretstack.ledger._shard import Segment, SegmentIndex, Shard, largest_bucket
from egretstack.ledger._steps import CreateSegment, Operation


class SegmentBook:
    """Indexes of the listed segments, the rows of the one read last, and the one being made."""

    def __init__(self, roll_bytes: int) -> None:
        self._roll_bytes = roll_bytes
        self._index_by_name: dict[str, SegmentIndex] = {}
        self._missing: set[str] = set()
        self._base: str | None = None
        self.loaded = ""
        self.row_by_key: dict[KeyId, Row] = {}
        self.made: Segment | None = None
        self.moved: dict[KeyId, Row] = {}
        self.unlisted: str | None = None

    def head_read(self, shard: Shard, version: str | None) -> None:
        """Take in which segments the head lists at a version."""
        names = {segment.name for segment in shard.segments}
        indexes = self._index_by_name.items()
        self._index_by_name = {name: index for name, index in indexes if name in names}
        self._missing &= names
        if self.made is None or self.made.name not in names and version == self._base:
            return
        if self.made.name not in names:
            # The head moved on without it, so the write that listed it can never land.
            self.unlisted = self.made.name
        self.clear_made()

    def read(self, name: str, row_by_key: dict[KeyId, Row]) -> None:
        """Take in the rows of a segment."""
        self._add(name, row_by_key)
        self.loaded, self.row_by_key = name, row_by_key

    def missing(self, name: str) -> bool:
        """Take in that a listed segment is not there; True the second time."""
        again = name in self._missing
        self._missing.add(name)
        return again

    def make(self, name: str, made: CreateSegment, version: str | None) -> None:
        """Take in that a segment was made of rows of the head at a version."""
        self.made = Segment(name, made.until_s)
        self.moved = made.row_by_key
        self._base = version
        self._add(name, made.row_by_key)

    def clear_made(self) -> None:
        """Forget the segment being made: the head lists it, or never will."""
        self.made, self.moved = None, {}

    def unread(self, shard: Shard, epoch_s: float) -> str | None:
        """Give a listed segment that must be read before any key can begin."""
        for segment in shard.segments:
            if segment.name not in self._index_by_name and segment.until_s > epoch_s:
                return segment.name
        return None

    def holder(self, operation: Operation, shard: Shard, epoch_s: float) -> str | None:
        """Give the newest segment that holds the key, or that must be read to know."""
        for segment in reversed(shard.segments):
            if segment.until_s <= epoch_s or segment.name in operation.segments_without_key:
                continue
            if not self._index_by_name[segment.name].may_hold(operation.key):
                continue
            if segment.name != self.loaded:
                return segment.name
            row = self.row_by_key.get(operation.key)
            if row is not None and row.until_s > epoch_s:
                return segment.name
            operation.segments_without_key.add(segment.name)
        return None

    def roll(self, rows: dict[KeyId, Row]) -> CreateSegment | None:
        """Take moved rows out of `rows`, or tell which to move where there are too many."""
        if self.made is not None:
            for key, row in self.moved.items():
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
