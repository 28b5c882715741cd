"""Versioned updates: what the home sends to whom, and how an instance applies them; pure.

Each report carries the version that its sender holds; the home sends what changed since then.
Sending the whole list to everybody at each change grows with the square of the fleet: in a large
fleet many instances would know of a leaving runner only after its notice has run out.
"""

import zlib
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, replace
from enum import Enum

import msgpack

from egretstack.fleet._messages import MAX_ROWS, FleetNews
from egretstack.fleet._versioned_rows import Row, RowChange, VersionedRows, change_from_row
from egretstack.ids import InstanceId
from egretstack.messages import MessageError

MAX_PACKED_BYTES = 1_100
"""Packed rows of one datagram. With its other fields and headers it stays below 1,400 bytes, so
that it fits in one packet: a datagram of several packets is lost if any of them is."""
MAX_ROWS_BYTES = 65_536
"""Unpacked rows of one datagram; no instance of egretstack sends more."""
MAX_KEYS = 16_384
"""Rows held in all: several times the instances and runners of the largest fleet."""
MAX_REMOVED = 1_024
"""Removed rows that a home remembers, about 40 bytes each, before it starts over. A fleet of 195
instances and 35 runners that all restart at once removes 230."""
RESEND_AFTER_S = 0.3
"""How long an update counts as in flight, from the first one that is not acknowledged: a little
more than the report period. An instance that misses one requests it at once."""
ACK_TIMEOUT_S = 0.1
"""Time after which an instance's report acknowledges what was sent before, many times a round trip.
If it does not, the update was lost, and is sent again without waiting for another report."""
REPEAT_AFTER_S = 0.05
"""When urgent updates are sent once more, before the reports can show who has lost them."""
_COMPRESSION_LEVEL = 1


@dataclass(frozen=True, slots=True)
class HeldVersion:
    """What an instance holds: a version, in the numbering of one home."""

    epoch: int = 0
    """Drawn anew by each home; 0 if nothing is held."""
    version: int = 0


@dataclass(frozen=True, slots=True)
class UpdatePart:
    """Contents of one datagram: the changes after `base`, up to `upto`."""

    base: int
    upto: int
    packed: bytes

    def fill(self, update: FleetNews) -> FleetNews:
        """Return an update with these rows."""
        return replace(update, base=self.base, upto=self.upto, rows=self.packed)


@dataclass(slots=True)
class _Progress:
    held: int = 0
    sent: int = 0
    first_sent_s: float = float("-inf")
    """When the first update that is not acknowledged yet was sent. If this were the last one, a
    part that was lost would never be resent while other rows change."""
    last_sent_s: float = float("-inf")
    """When the last update was sent."""


class UpdatePublisher:
    """The home's side: the rows, and which version each instance has.

    A new home continues from the version that it held under its predecessor, so that the others
    need only what changed since and not everything.
    """

    def __init__(
        self, draw_epoch: Callable[[], int], held: HeldVersion, rows: VersionedRows
    ) -> None:
        self._draw_epoch = draw_epoch
        self.epoch = draw_epoch()
        self.continued = held
        self.rows = rows
        self._progress_by_instance: dict[InstanceId, _Progress] = {}
        self._parts_by_base: dict[int, list[UpdatePart]] = {}
        self._parts_version: tuple[int, int] | None = None
        self._urgent_since: int | None = None
        """The version before the urgent changes that were sent once; None if all were repeated."""

    def replace_rows(self, row_by_key: Mapping[str, Row]) -> bool:
        """Replace the rows with the current ones and return whether any changed."""
        if self.rows.removed > MAX_REMOVED:
            self.epoch, self.continued, self.rows = (
                self._draw_epoch(),
                HeldVersion(),
                VersionedRows(),
            )
            self._progress_by_instance.clear()
            self._urgent_since = None
        return self.rows.replace_all(row_by_key)

    def mark_urgent(self, since: int) -> None:
        """Mark the changes after a version as urgent: `urgent_parts_for` returns them once more."""
        before = self._urgent_since
        self._urgent_since = since if before is None else min(before, since)

    def urgent_repeated(self) -> None:
        """Record that the urgent updates were sent once more to all."""
        self._urgent_since = None

    def urgent_parts_for(self, instance: InstanceId) -> list[UpdatePart]:
        """Return the urgent updates that an instance has not acknowledged; may be none.

        A leaving runner gives about 1.5 s of notice. On links that lose packets, some instances of
        a large fleet lose the datagram with the notice. They would get it with the answer to a
        later report, when the runs that they have there should already be moving. Two such
        datagrams are rarely both lost.
        """
        if self._urgent_since is None:
            return []
        progress = self._progress(instance)
        base = max(progress.held, self._urgent_since)
        return [] if base >= self.rows.version else self._parts(base)

    def record_held(self, instance: InstanceId, held: HeldVersion, *, missed: bool = False) -> None:
        """Record what an instance reports to hold; `missed` if it could not apply later updates."""
        progress = self._progress(instance)
        progress.held = self._translate_version(held)
        if missed:
            progress.sent = progress.held

    def retain(self, kept: set[InstanceId]) -> None:
        """Drop the state of all instances but those given."""
        for instance in self._progress_by_instance.keys() - kept:
            del self._progress_by_instance[instance]

    def is_behind(self, now_s: float, instance: InstanceId) -> bool:
        """Return whether an instance that just reported lacks something not in flight."""
        progress = self._progress(instance)
        if now_s - progress.last_sent_s >= ACK_TIMEOUT_S:
            progress.sent = progress.held
        return self._base(now_s, instance) < self.rows.version

    def parts_for(self, now_s: float, instance: InstanceId) -> list[UpdatePart]:
        """Return the parts to send to an instance now, at least one, and record them as sent."""
        base = self._base(now_s, instance)
        progress = self._progress(instance)
        if base == progress.held:
            progress.first_sent_s = now_s
        if base < self.rows.version:
            progress.last_sent_s = now_s
        progress.sent = self.rows.version
        return self._parts(base)

    def _progress(self, instance: InstanceId) -> _Progress:
        return self._progress_by_instance.setdefault(instance, _Progress())

    def _base(self, now_s: float, instance: InstanceId) -> int:
        progress = self._progress(instance)
        in_flight = now_s - progress.first_sent_s < RESEND_AFTER_S
        return max(progress.held, progress.sent) if in_flight else progress.held

    def _translate_version(self, held: HeldVersion) -> int:
        """Return a version of another home in this one's numbering; 0 if there is none."""
        continued = self.continued
        continues = held.epoch == continued.epoch and held.version <= continued.version
        if held.epoch != self.epoch and not continues:
            return 0
        return min(held.version, self.rows.version)

    def _parts(self, base: int) -> list[UpdatePart]:
        state = self.epoch, self.rows.version
        if self._parts_version != state:
            self._parts_version, self._parts_by_base = state, {}
        parts = self._parts_by_base.get(base)
        if parts is None:
            parts = list(split_changes(base, self.rows.version, self.rows.changes_since(base)))
            self._parts_by_base[base] = parts
        return parts


class ApplyResult(Enum):
    """Outcome of applying an update."""

    WHOLE = "whole"
    """All that the home has sent is held now."""
    PART = "part"
    """More parts have to come first."""
    GAP = "gap"
    """An earlier update was lost; the next report requests it."""


class UpdateFollower:
    """An instance's side: the rows as the home sent them."""

    def __init__(self) -> None:
        self.rows = VersionedRows()
        self._epoch = 0
        self._changed: set[str] = set()
        self._replaced: dict[str, Row] = {}
        self.missed = False
        """Whether an update came that builds on a version which is not held."""

    @property
    def held(self) -> HeldVersion:
        """The version that this instance holds."""
        return HeldVersion(self._epoch, self.rows.version)

    def adopt(self, publisher: UpdatePublisher) -> None:
        """Adopt the rows that this instance sent as the home, which it was until now."""
        self.rows, self._epoch = publisher.rows, publisher.epoch

    def apply(self, update: FleetNews) -> ApplyResult:
        """Apply an update of the home. Raises MessageError."""
        changes = unpack_changes(update.rows)
        if not 0 <= update.base <= update.upto <= update.latest:
            raise MessageError("an update with versions out of order")
        if len(self.rows) + len(changes) > MAX_KEYS:
            raise MessageError("an update with too many rows")
        same_epoch = update.epoch == self._epoch or self._switch_epoch(update)
        self.missed = not same_epoch or update.base > self.rows.version
        if self.missed:
            return ApplyResult.GAP
        self._changed.update(self.rows.apply(changes, update.upto))
        return ApplyResult.WHOLE if self.rows.version >= update.latest else ApplyResult.PART

    def pop_changed(self) -> set[str]:
        """Return the keys of the rows that changed since the last call."""
        changed, self._changed = self._changed, set()
        return changed

    def pop_replaced(self) -> dict[str, Row]:
        """Return the rows of a home that were dropped for those of another, since the last call."""
        replaced, self._replaced = self._replaced, {}
        return replaced

    def _switch_epoch(self, update: FleetNews) -> bool:
        """Renumber the held rows for another home, or start over; False if neither works."""
        continues = update.continued_epoch == self._epoch != 0
        if continues and self.rows.version <= update.continued_version:
            self._epoch = update.epoch
            return True
        if update.base > 0:
            return False
        self._replaced = self.rows.rows()
        self._changed.update(self._replaced)
        self.rows, self._epoch = VersionedRows(), update.epoch
        return True


class UpdateReplica:
    """One instance's updates, in either role; roles change without agreement with anybody."""

    def __init__(self, draw_epoch: Callable[[], int]) -> None:
        self._draw_epoch = draw_epoch
        self._follower = UpdateFollower()
        self._publisher: UpdatePublisher | None = None

    @property
    def publisher(self) -> UpdatePublisher | None:
        """The home's side, None unless this instance is the home."""
        return self._publisher

    @property
    def held(self) -> HeldVersion:
        """The version that this instance holds.

        A home has a numbering of its own. If it reported its versions under its predecessor's
        epoch, they would look like the predecessor's, and another successor would leave out what
        this instance lacks.
        """
        if self._publisher is not None:
            return HeldVersion(self._publisher.epoch, self._publisher.rows.version)
        return self._follower.held

    @property
    def missed(self) -> bool:
        """Whether this instance missed updates of the home that it follows."""
        return self._publisher is None and self._follower.missed

    def lead(self) -> UpdatePublisher:
        """Return the home's side and take on that role."""
        if self._publisher is None:
            held, rows = self._follower.held, self._follower.rows
            self._publisher = UpdatePublisher(self._draw_epoch, held, rows)
        return self._publisher

    def follow(self) -> UpdateFollower:
        """Return the follower's side and take on that role, with the rows sent as home."""
        if self._publisher is not None:
            self._follower.adopt(self._publisher)
            self._publisher = None
        return self._follower


def pack_changes(changes: list[RowChange]) -> bytes:
    """Return changes packed for one datagram."""
    return _compress(msgpack.packb(changes)) if changes else b""


def _compress(rows: bytes) -> bytes:
    return zlib.compress(rows, _COMPRESSION_LEVEL)


def unpack_changes(packed: bytes) -> list[RowChange]:
    """Return the changes that were packed. Raises MessageError, also if there are too many."""
    if not packed:
        return []
    inflater = zlib.decompressobj()
    try:
        rows = msgpack.unpackb(inflater.decompress(packed, MAX_ROWS_BYTES))
    except (zlib.error, ValueError, msgpack.UnpackException) as error:
        raise MessageError(f"cannot unpack changes: {error!r}") from error
    if not inflater.eof or not isinstance(rows, list) or len(rows) > MAX_ROWS:
        raise MessageError("packed changes are truncated or too many")
    return [change_from_row(row) for row in rows]


def split_changes(base: int, latest: int, changes: list[RowChange]) -> Iterator[UpdatePart]:
    """Yield parts that each fit a datagram; the last one reaches the latest version."""
    if not changes:
        yield UpdatePart(base, latest, b"")
        return
    rows = msgpack.packb(changes)
    packed = _compress(rows)
    fits = len(packed) <= MAX_PACKED_BYTES and len(rows) <= MAX_ROWS_BYTES
    if fits or len(changes) == 1:
        yield UpdatePart(base, latest, packed)
        return
    middle = len(changes) // 2
    middle_version = changes[middle - 1].version
    yield from split_changes(base, middle_version, changes[:middle])
    yield from split_changes(middle_version, latest, changes[middle:])
