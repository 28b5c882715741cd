"""A shard of the ledger: its head object, and the segments that hold its older rows.

Every key belongs to one shard for ever, and a shard has one head. Each new row is a conditional
update of the head, whatever entry writes it and however old an earlier row of the key is: so
the head's version alone decides which of two uses of a key came first.
"""

from array import array
from bisect import bisect_left
from dataclasses import dataclass, field
from itertools import groupby

from egretstack.ledger._entry import CallState
from egretstack.ledger._row import KeyId, Row
from egretstack.objectapi import StoredObject

SHARD_COUNT = 8
"""Never change it while rows are kept: a key would move to a shard that has not its row."""
BUCKET_S = 3_600
"""Rows that may be forgotten in the same hour go into the same segment, which goes whole."""
ROLL_THRESHOLD_BYTES = 65_536
"""Size of a head's rows above which the ended ones move into a segment."""
MAX_HEAD_BYTES = 786_432
"""Size of a head's rows above which no new row is taken: only open rows can add up to it."""
MAX_SEGMENTS = 4_000
"""Listed segments above which no new row is taken: the list is part of the head's bytes."""
MAX_SEGMENT_BYTES = 524_288
_INDEX_DIGITS = 16
_FINAL_STATES = frozenset({CallState.DONE, CallState.UNKNOWN})


def head_name(number: int) -> str:
    """Give the name of a shard's head object."""
    return f"head-{number}"


def shard_number(key: KeyId, shards: int = SHARD_COUNT) -> int:
    """Give the shard of a key."""
    return int(key[:8], 16) % shards


class CorruptShard(Exception):
    """A ledger object cannot be read; nothing may be sent on the strength of it."""


@dataclass(frozen=True)
class Segment:
    """A listed segment; its rows may all be forgotten after `until_s`."""

    name: str
    until_s: float


@dataclass(frozen=True)
class Shard:
    """The content of a head: rows by key, and the segments from oldest to newest.

    `turn` grows with each write, so that a write is never the same as the one before.
    """

    row_by_key: dict[KeyId, Row] = field(default_factory=dict)
    segments: tuple[Segment, ...] = ()
    write_count: int = 0

    @property
    def size(self) -> int:
        """Give about the bytes of the rows."""
        return sum(row.size for row in self.row_by_key.values())

    def spec(self) -> dict[str, object]:
        """Give the stored form."""
        return {
            "turn": self.write_count,
            "segments": [[one.name, one.until_s] for one in self.segments],
            "rows": rows_spec(self.row_by_key),
        }

    @classmethod
    def from_stored(cls, stored: StoredObject | None) -> "Shard":
        """Read a head; a missing one is empty. Raises BadShard."""
        if stored is None:
            return cls()
        try:
            listed = tuple(Segment(name, until_s) for name, until_s in stored.spec["segments"])
            return cls(read_rows(stored.spec), listed, stored.spec["turn"])
        except (KeyError, TypeError, ValueError) as error:
            raise CorruptShard(f"{stored.name}: {error!r}") from error


def rows_spec(row_by_key: dict[KeyId, Row]) -> dict[str, object]:
    """Give the stored form of rows."""
    return {key: row.spec() for key, row in row_by_key.items()}


def read_rows(spec: dict) -> dict[KeyId, Row]:
    """Read rows of a head or segment; raise KeyError, TypeError or ValueError."""
    return {KeyId(key): Row.from_spec(row) for key, row in spec["rows"].items()}


class SegmentIndex:
    """The keys of a segment, 8 bytes each; a hit is checked against the segment itself."""

    def __init__(self, keys: list[KeyId]) -> None:
        self._key_numbers = array("Q", sorted(int(key[:_INDEX_DIGITS], 16) for key in keys))

    def may_hold(self, key: KeyId) -> bool:
        """Tell whether the segment may hold a key; a no is certain."""
        number = int(key[:_INDEX_DIGITS], 16)
        position = bisect_left(self._key_numbers, number)
        return position < len(self._key_numbers) and self._key_numbers[position] == number


def largest_bucket(row_by_key: dict[KeyId, Row]) -> dict[KeyId, Row]:
    """Pick the rows of the largest bucket that never change again, for a segment of their own.

    Rows of calls that did not run stay: their keys are free, and a segment is never rewritten.
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
