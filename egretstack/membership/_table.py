"""The table of rows that instances share, with the order in which this process learned them."""

import hashlib
from collections.abc import Iterator

from egretstack.membership._rows import Row, pack_row

MAX_ROWS = 20_000
"""Bound on the rows kept; new subjects beyond it are not accepted from peers."""
_DIGEST_BYTES = 8

Key = tuple[str, str]


class Table:
    """Rows by subject; the newest of each.

    Each change gets the next version. A neighbour is sent the rows above the version that it has
    confirmed, so nothing is lost with a message, and a neighbour that was cut off catches up.
    """

    def __init__(self) -> None:
        self.version = 0
        self.digest = 0
        self._row_by_key: dict[Key, Row] = {}
        self._version_by_key: dict[Key, int] = {}
        self._source_by_key: dict[Key, str] = {}
        self._changed: set[Key] = set()

    def get(self, key: Key) -> Row | None:
        """Return the row of a subject."""
        return self._row_by_key.get(key)

    def rows(self) -> Iterator[Row]:
        """Return every row."""
        return iter(self._row_by_key.values())

    def snapshot(self) -> dict[Key, Row]:
        """Return a copy of the rows by subject."""
        return dict(self._row_by_key)

    def put(self, row: Row, source: str = "", *, is_shared: bool = True) -> bool:
        """Store a row if it is newer than the known one; return whether it was stored.

        A row that is not shared is kept, but not sent to others.
        """
        old = self._row_by_key.get(row.key)
        if old is not None and old.order >= row.order:
            return False
        if old is None and source and len(self._row_by_key) >= MAX_ROWS:
            return False
        if old is not None:
            self.remove(row.key)
        self._row_by_key[row.key] = row
        self._changed.add(row.key)
        if is_shared:
            # The order of the dictionary is that of the versions: a changed row goes to the end.
            self.version += 1
            self._version_by_key[row.key] = self.version
            self._source_by_key[row.key] = source
        self.digest ^= _digest(row)
        return True

    def remove(self, key: Key) -> None:
        """Remove a subject."""
        row = self._row_by_key.pop(key)
        self._version_by_key.pop(key, None)
        self._source_by_key.pop(key, None)
        self._changed.add(key)
        self.digest ^= _digest(row)

    def pop_changed(self) -> set[Key]:
        """Return the subjects whose rows changed since the last call."""
        changed, self._changed = self._changed, set()
        return changed

    def changes_after(self, after: int, reader: str, limit: int) -> tuple[list[Row], int]:
        """Return rows above a version, at most `limit`, and the version they reach.

        Rows that came from the reader itself are left out.
        """
        rows: list[Row] = []
        for key in reversed(self._version_by_key):
            if self._version_by_key[key] <= after:
                break
            if self._source_by_key[key] != reader:
                rows.append(self._row_by_key[key])
        rows.reverse()
        if len(rows) <= limit:
            return rows, self.version
        rows = rows[:limit]
        return rows, self._version_by_key[rows[-1].key]


def _digest(row: Row) -> int:
    text = repr(pack_row(row)).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest(), "big")
