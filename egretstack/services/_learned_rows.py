"""What only a home knows: kinds of rows of other services, and marks of runners.

While this instance follows a home, these rows are put to use; those of an earlier home that the
current one lacks are kept and sent to it (`fleet.FormerRows`). While it is the home, it adds what
others send it in this way.
"""

from collections.abc import Callable, Iterable

from egretstack.events import Event, log
from egretstack.fleet import MAX_KEYS, FormerRows, Instance, VersionedRows, held_rows_messages
from egretstack.ids import InstanceId
from egretstack.kernel import WorkKind
from egretstack.messages import MessageError
from egretstack.services._news_rows import (
    MARKS,
    SUSPECT,
    UNRESPONSIVE,
    RowByKey,
    RowKind,
    mark_rows,
    marked,
    of_kind,
)
from egretstack.services.fleet_port import FleetPort


class LearnedRows:
    """The learned rows of one instance, in either role."""

    def __init__(self, port: FleetPort) -> None:
        self._port = port
        self._kind_by_letter: dict[str, RowKind] = {}
        self._former = FormerRows()

    def add_kind(
        self, letter: str, make: Callable[[], RowByKey], apply: Callable[[RowByKey], None]
    ) -> None:
        """Add a kind of rows; all their keys begin with the letter."""
        self._kind_by_letter[letter] = RowKind(make, apply)

    @property
    def keeps_rows(self) -> bool:
        """Whether there are rows of an earlier home that the current one may lack."""
        return bool(self._former)

    def make(self) -> RowByKey:
        """Return the rows of all kinds as the home; the marks are in the runners' rows."""
        rows: RowByKey = {}
        for kind in self._kind_by_letter.values():
            rows |= kind.make()
        return rows

    def keep(self, now_s: float, dropped: RowByKey) -> None:
        """Keep the learned ones of the rows of a home that another one has replaced."""
        learned = self._of(dropped)
        if learned:
            self._former.keep(now_s, learned)

    def apply(self, held: RowByKey, letters: Iterable[str] | None = None) -> None:
        """Put rows of some kinds to use, of all by default, with those that the home lacks yet."""
        for letter in self._kind_by_letter if letters is None else letters:
            self._apply_kind(letter, self._former.of_kind(letter) | of_kind(held, letter))

    def _apply_kind(self, letter: str, rows: RowByKey) -> None:
        """Put rows of one kind to use; an unforeseen error keeps no other kind from its use."""
        kind = self._kind_by_letter.get(letter)
        if kind is None:
            return
        with self._port.kernel.unforeseen.confined(WorkKind.ROW, kind=letter):
            kind.apply(rows)

    def marks(self, held: RowByKey) -> RowByKey:
        """Return the marks of runners, with those that the home lacks yet."""
        return self._former.of_kind(MARKS) | mark_rows(held)

    def settle(self, now_s: float, held: RowByKey) -> set[str]:
        """Drop the kept rows that the home has listed; return the letters of those that expired."""
        return {key[0] for key in self._former.settle(now_s, self._of(held))}

    def send(self, now_s: float, home: Instance) -> None:
        """Send the home the rows that it lacks, unless it was sent them a moment ago."""
        rows = self._former.take_due(now_s) if self._former else {}
        for message in held_rows_messages(self._port.fleet.own.instance.id, rows):
            self._port.send(home.peer_address, message)

    def begin_as_home(self, held: RowByKey, letters: Iterable[str]) -> None:
        """Go on from the rows that are held as this instance becomes the home.

        `letters` are the kinds with rows that came in part, and are not in use yet.
        """
        self.apply(held, letters)
        self._take_over_marks(self.marks(held))
        self._former = FormerRows()

    def take_over(self, source: InstanceId, rows: RowByKey, published: VersionedRows) -> None:
        """Add rows that another instance holds and that were never among those of this home.

        Raises MessageError.
        """
        for letter, kind in self._kind_by_letter.items():
            own = kind.make()
            new = {
                key: row
                for key, row in of_kind(rows, letter).items()
                if key not in own and not published.knows(key)
            }
            if len(published) + len(own) + len(new) > MAX_KEYS:
                raise MessageError(f"{len(new)} more rows are too many")
            if new:
                self._apply_kind(letter, new | own)
                log(Event.HOME_ROWS_TAKEN_OVER, source=source, rows=len(new))
                self._port.report_soon()
        self._take_over_marks(of_kind(rows, MARKS))

    def _take_over_marks(self, rows: RowByKey) -> None:
        known = self._port.runners.by_id.keys()
        self._port.take_over_marks(
            unresponsive=marked(rows, UNRESPONSIVE) & known,
            suspects=marked(rows, SUSPECT) & known,
        )

    def _of(self, rows: RowByKey) -> RowByKey:
        """Return the learned ones of a home's rows."""
        kinds = {key: row for key, row in rows.items() if key[0] in self._kind_by_letter}
        return kinds | mark_rows(rows)
