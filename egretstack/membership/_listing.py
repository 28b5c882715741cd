"""Takes a reading of the platform's list into the table."""

from egretstack.membership._rows import ListedRow
from egretstack.membership._table import Table
from egretstack.platform import Member

FIRST_STAMP = 1
"""Stamp of what a process's first reading finds. It is sent to nobody: a restart, or the start of
the whole fleet, would else send around thousands of rows that everyone has long known."""


class Listing:
    """Turns readings into rows, one row for each change."""

    def __init__(self, table: Table) -> None:
        self._table = table
        self._read_once = False

    def take(self, epoch_ms: int, members: list[Member]) -> bool:
        """Take a reading; True if anything changed."""
        changed = False
        listed = {ListedRow.key_of(member): member for member in members}
        for key, member in listed.items():
            changed |= self._note(key, member, epoch_ms)
        for row in list(self._table.rows()):
            if isinstance(row, ListedRow) and row.state is not None and row.key not in listed:
                stamp = max(epoch_ms, row.stamp + 1)
                changed |= self._table.put(ListedRow(row.member, None, stamp))
        self._read_once = True
        return changed

    def _note(self, key: tuple[str, str], member: Member, epoch_ms: int) -> bool:
        old = self._table.get(key)
        stamp = epoch_ms if self._read_once else FIRST_STAMP
        row = ListedRow(_plain(member), member.state, stamp)
        if old is None:
            return self._table.put(row, is_news=self._read_once)
        if old.state is member.state and old.member == row.member:
            return False
        # Above the stamp it replaces, so that a reader whose clock is behind prevails as well.
        return self._table.put(ListedRow(row.member, row.state, max(epoch_ms, old.stamp + 1)))


def _plain(member: Member) -> Member:
    """Give the member as rows hold it: the state stands beside it."""
    return Member(
        member.id, member.service, member.zone, member.host, member.ports, type(member.state).LIVE
    )
