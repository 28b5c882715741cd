"""Rows that an instance holds of an earlier home and the current home may lack; pure.

A new home has not always received its predecessor's rows: it may have started a moment ago, or
updates to it were lost. All others then start over with its rows. What only a home knows would be
lost on all instances, so they keep such rows for a while and send them to the new home.
"""

from collections.abc import Iterator, Mapping

from egretstack.fleet._messages import HeldRows
from egretstack.fleet._news import split_changes, unpack_changes
from egretstack.fleet._versioned_rows import Row, RowChange
from egretstack.ids import InstanceId

KEEP_S = 3.0
"""How long rows are kept; the home has updated its own from the first instance that sends them
within a period or two."""
RESEND_AFTER_S = 0.3
"""Time after which they are sent again; a little more than the report period."""


class FormerRows:
    """The rows of earlier homes that the current one has not listed yet."""

    def __init__(self) -> None:
        self._rows: dict[str, Row] = {}
        self._until_s = float("-inf")
        self._sent_s = float("-inf")

    def __bool__(self) -> bool:
        return bool(self._rows)

    def keep(self, now_s: float, rows: Mapping[str, Row]) -> None:
        """Keep rows of a home that another one has replaced.

        If homes change in short succession, the rows of the earlier ones stay.
        """
        self._rows |= rows
        self._until_s = now_s + KEEP_S
        self._sent_s = float("-inf")

    def settle(self, now_s: float, current: Mapping[str, Row]) -> set[str]:
        """Drop the rows that the current home has listed, or all when their time is over.

        A key that it has listed is its own from then on: when it removes the row, the former one
        does not come back. Returns the keys that are missing from now on.
        """
        before = self._rows
        if now_s >= self._until_s:
            self._rows = {}
        else:
            self._rows = {key: row for key, row in before.items() if key not in current}
        return before.keys() - self._rows.keys() - current.keys()

    def of_kind(self, kind: str) -> dict[str, Row]:
        """Return the rows whose keys begin with the letter `kind`."""
        return {key: row for key, row in self._rows.items() if key[0] == kind}

    def take_due(self, now_s: float) -> dict[str, Row]:
        """Return the rows to send to the home now, and record them as sent; may be none."""
        if now_s - self._sent_s < RESEND_AFTER_S:
            return {}
        self._sent_s = now_s
        return dict(self._rows)


def held_rows_messages(sender: InstanceId, rows: Mapping[str, Row]) -> Iterator[HeldRows]:
    """Yield the messages with rows, each of which fits a datagram; none without rows."""
    if not rows:
        return
    changes = [RowChange(number, key, row) for number, (key, row) in enumerate(rows.items(), 1)]
    for part in split_changes(0, len(changes), changes):
        yield HeldRows(sender, part.packed)


def unpack_held_rows(message: HeldRows) -> dict[str, Row]:
    """Return the rows of a message. Raises MessageError."""
    changes = unpack_changes(message.rows)
    return {change.key: change.row for change in changes if change.row is not None}
