"""Merges a reading of the platform's list into the table, in steps of bounded work."""

from collections.abc import Iterator

from egretstack.membership._rows import ListedRow, Row
from egretstack.membership._table import Key, Table
from egretstack.objectapi import Member

FIRST_STAMP = 1
"""Stamp of the entries in a process's first reading. They are not sent to others: otherwise a
restart, or the start of the whole fleet, would send thousands of rows that everyone has long
known."""
STEP_ROWS = 32
"""Members compared in one step: 2,120 of them at once blocked the event loop for 15 ms."""


class Listing:
    """Turns readings into rows, one row for each change."""

    def __init__(self, table: Table) -> None:
        self._table = table
        self._has_read = False

    def steps(self, epoch_ms: int, members: list[Member]) -> Iterator[bool]:
        """Merge a reading; yield after each step whether it changed anything."""
        held = self._table.snapshot()
        listed: set[Key] = set()
        for batch in _batches(members):
            changed = False
            for member in batch:
                key = ListedRow.key_of(member)
                listed.add(key)
                # Between two steps a neighbour may send a row that was read after this reading.
                # That row is newer; if it were overwritten, a leaving runner would get requests
                # until the next reading.
                if self._table.get(key) is held.get(key):
                    changed |= self._update(key, member, epoch_ms)
            yield changed
        for batch in _batches(list(held.items())):
            yield self._unlist(epoch_ms, [row for key, row in batch if key not in listed])
        self._has_read = True

    def _unlist(self, epoch_ms: int, rows: list[Row]) -> bool:
        changed = False
        for row in rows:
            if not isinstance(row, ListedRow) or row.state is None:
                continue
            if self._table.get(row.key) is row:
                stamp = max(epoch_ms, row.stamp + 1)
                changed |= self._table.put(ListedRow(row.member, None, stamp))
        return changed

    def _update(self, key: Key, member: Member, epoch_ms: int) -> bool:
        old = self._table.get(key)
        stamp = epoch_ms if self._has_read else FIRST_STAMP
        row = ListedRow(_without_state(member), member.state, stamp)
        if old is None:
            return self._table.put(row, is_shared=self._has_read)
        if old.state is member.state and old.member == row.member:
            return False
        # Above the stamp it replaces, so that a reader whose clock is behind prevails as well.
        return self._table.put(ListedRow(row.member, row.state, max(epoch_ms, old.stamp + 1)))


def _batches(items: list) -> Iterator[list]:
    for start in range(0, len(items), STEP_ROWS):
        yield items[start : start + STEP_ROWS]


def _without_state(member: Member) -> Member:
    """Return the member as rows hold it: its state is a separate field of the row."""
    return Member(
        member.id, member.service, member.zone, member.host, member.ports, type(member.state).LIVE
    )
