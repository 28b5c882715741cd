"""A shard of the ledger: its head object, and the segments that hold its older rows.

Every key always belongs to the same shard, and a shard has one head. Each new row is a conditional
update of the head, regardless of the entry that writes it and of the age of an earlier row with
the same key. So the head's version alone decides which of two uses of a key came first.
"""

from array import array
from bisect import bisect_left
from dataclasses import dataclass, field
from itertools import groupby

from egretstack.ledger._entry import CallState
from egretstack.ledger._row import KeyId, Row
from egretstack.objectapi import StoredObject

SHARD_COUNT = 8
"""Must not change while rows are stored: a key would move to a shard that lacks its row."""
BUCKET_S = 3_600
"""Rows that expire in the same hour go into the same segment, which is deleted as a whole."""
ROLL_THRESHOLD_BYTES = 65_536
"""Size of a head's rows above which the rows of ended calls move into a segment."""
MAX_HEAD_BYTES = 786_432
"""Size of a head's rows above which no new row is accepted; only open rows can add up to it."""
MAX_SEGMENTS = 4_000
"""Number of listed segments from which no new row is accepted: the list is part of the head."""
MAX_SEGMENT_BYTES = 524_288
_INDEX_DIGITS = 16
_FINAL_STATES = frozenset({CallState.DONE, CallState.UNKNOWN})


def head_name(number: int) -> str:
    """Return the name of a shard's head object."""
    return f"head-{number}"


def shard_number(key: KeyId, shards: int = SHARD_COUNT) -> int:
    """Return the number of a key's shard."""
    return int(key[:8], 16) % shards


class CorruptShard(Exception):
    """A ledger object cannot be parsed; no call may be sent on its basis."""


@dataclass(frozen=True)
class Segment:
    """A listed segment, whose rows have all expired after `until_s`."""

    name: str
    until_s: float


@dataclass(frozen=True)
class Shard:
    """The content of a head: rows by key, and the segments from oldest to newest.

    `write_count` grows with each write, so that a write never equals the one before it.
    """

    row_by_key: dict[KeyId, Row] = field(default_factory=dict)
    segments: tuple[Segment, ...] = ()
    write_count: int = 0

    @property
    def size(self) -> int:
        """Return the approximate size of the rows in bytes."""
        return sum(row.size for row in self.row_by_key.values())

    def spec(self) -> dict[str, object]:
        """Return the stored form."""
        return {
            "turn": self.write_count,
            "segments": [[one.name, one.until_s] for one in self.segments],
            "rows": rows_spec(self.row_by_key),
        }

    @classmethod
    def from_stored(cls, stored: StoredObject | None) -> "Shard":
        """Parse a head; a missing one is empty. Raises CorruptShard."""
        if stored is None:
            return cls()
        try:
            listed = tuple(Segment(name, until_s) for name, until_s in stored.spec["segments"])
            return cls(read_rows(stored.spec), listed, stored.spec["turn"])
        except (KeyError, TypeError, ValueError) as error:
            raise CorruptShard(f"{stored.name}: {error!r}") from error


def rows_spec(row_by_key: dict[KeyId, Row]) -> dict[str, object]:
    """Return the stored form of rows."""
    return {key: row.spec() for key, row in row_by_key.items()}


def read_rows(spec: dict) -> dict[KeyId, Row]:
    """Parse the rows of a head or segment. Raises KeyError, TypeError, ValueError."""
    return {KeyId(key): Row.from_spec(row) for key, row in spec["rows"].items()}


class SegmentIndex:
    """An index of a segment's keys, 8 bytes each; a hit is checked against the segment itself."""

    def __init__(self, keys: list[KeyId]) -> None:
        self._key_numbers = array("Q", sorted(int(key[:_INDEX_DIGITS], 16) for key in keys))

    def may_hold(self, key: KeyId) -> bool:
        """Return whether the segment may hold a key; False is certain."""
        number = int(key[:_INDEX_DIGITS], 16)
        position = bisect_left(self._key_numbers, number)
        return position < len(self._key_numbers) and self._key_numbers[position] == number


def largest_bucket(row_by_key: dict[KeyId, Row]) -> dict[KeyId, Row]:
    """Return the rows of the largest bucket that never change again, to move into a segment.

    Rows of calls that did not run stay in the head: their keys may be used again, and a segment
    is never rewritten.
    """
    ended = [(key, row) for key, row in row_by_key.items() if row.state in _FINAL_STATES]
    ended.sort(key=lambda pair: pair[1].until_s)
    groups = [list(group) for _, group in groupby(ended, lambda pair: _bucket(pair[1]))]
    largest = max(groups, key=lambda group: sum(row.size for _, row in group), default=[])
    picked: dict[KeyId, Row] = {}
    size = 0
    for key, row in largest:
        size += row.size
        if size > MAX_SEGMENT_BYTES:
            break
        picked[key] = row
    return picked


def _bucket(row: Row) -> int:
    return int(row.until_s // BUCKET_S)
