"""Rows by key, each with the version at which it last changed; pure.

An instance that holds an earlier version gets only what changed since, in the order of the changes,
so that any prefix of that list is the complete state at some version.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import msgpack

from egretstack.messages import MessageError

MAX_KEY_LENGTH = 257
"""A letter and an id."""
MAX_ROW_BYTES = 32_768
"""Longest row that is sent, with its key: it has to fit a datagram even if it does not compress."""

Row = list


class RowChange(NamedTuple):
    """The state of one row since a version."""

    version: int
    key: str
    row: Row | None
    """None if the row was removed."""


class VersionedRows:
    """The rows, and the version of the last change."""

    def __init__(self) -> None:
        self.version = 0
        self._change_by_key: dict[str, RowChange] = {}
        self.removed = 0
        """Removed rows, which are kept so that instances which still hold them can be informed."""
        self.unsendable: frozenset[str] = frozenset()
        """Keys of the current rows that the others could not read, and so are left out."""

    def __len__(self) -> int:
        return len(self._change_by_key)

    def knows(self, key: str) -> bool:
        """Return whether there is a row with a key, or was one."""
        return key in self._change_by_key

    def replace_all(self, row_by_key: Mapping[str, Row]) -> bool:
        """Replace all rows with the current ones; return whether any changed.

        A row that the others could not read is left out, as if it were not there.
        """
        before = self.version
        unsendable = set()
        for key, row in row_by_key.items():
            known = self._change_by_key.get(key)
            if known is not None and known.row == row:
                continue
            if _is_sendable(key, row):
                self._put(key, row)
            else:
                unsendable.add(key)
        for key, known in list(self._change_by_key.items()):
            if known.row is not None and (key not in row_by_key or key in unsendable):
                self._put(key, None)
        self.unsendable = frozenset(unsendable)
        return self.version != before

    def apply(self, changes: Iterable[RowChange], version: int) -> list[str]:
        """Apply changes up to a version that another holder sent; return the keys that changed."""
        changed = []
        for change in changes:
            if change.version <= self.version:
                continue
            self._store(change)
            changed.append(change.key)
        self.version = max(self.version, version)
        return changed

    def changes_since(self, version: int) -> list[RowChange]:
        """Return what changed after a version, in the order of the changes."""
        if version == self.version:
            return []
        return sorted(one for one in self._change_by_key.values() if one.version > version)

    def rows(self) -> dict[str, Row]:
        """Return the current rows by key."""
        return {key: one.row for key, one in self._change_by_key.items() if one.row is not None}

    def _put(self, key: str, row: Row | None) -> None:
        self.version += 1
        self._store(RowChange(self.version, key, row))

    def _store(self, change: RowChange) -> None:
        before = self._change_by_key.get(change.key)
        was_removed = before is not None and before.row is None
        self.removed += (change.row is None) - was_removed
        self._change_by_key[change.key] = change


def _is_sendable(key: str, row: Row) -> bool:
    try:
        packed = msgpack.packb([key, row])
    except (TypeError, ValueError, OverflowError):
        return False
    return 0 < len(key) <= MAX_KEY_LENGTH and len(packed) <= MAX_ROW_BYTES


def change_from_row(row: object) -> RowChange:
    """Parse the change of a row. Raises MessageError."""
    try:
        version, key, content = row
    except (TypeError, ValueError) as error:
        raise MessageError(f"invalid change: {error}") from error
    if not isinstance(version, int) or not isinstance(key, str):
        raise MessageError("a change without a valid version or key")
    if not 0 < len(key) <= MAX_KEY_LENGTH:
        raise MessageError(f"a key with {len(key)} characters")
    if content is not None and not isinstance(content, list):
        raise MessageError("a change whose row is not a list")
    return RowChange(version, key, content)
