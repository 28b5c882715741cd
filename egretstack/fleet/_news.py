"""The fleet's news by version: what the home tells to whom, and what an instance makes of it; pure.

Each report carries the version that its sender holds; the home sends what changed since. Whole
lists to everybody at each change grow with the square of the fleet: in a large one a leaving runner
is known to many only after its notice.
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
that it goes in one packet: one of several packets is lost if any of them is."""
MAX_ROWS_BYTES = 65_536
"""Rows of one datagram, unpacked; more is no news of an instance of this system."""
MAX_KEYS = 16_384
"""Rows that are held in all: several times the instances and runners of the largest fleet."""
MAX_REMOVED = 1_024
"""Removed rows that a home remembers, some 40 bytes each, before it begins anew. A fleet of 195
instances and 35 runners that all restart at once removes 230."""
RESEND_AFTER_S = 0.3
"""How long news are taken to be on their way, from the first that is not reported to be held: a
little more than a report's period. Whoever misses some asks at once."""
ACK_TIMEOUT_S = 0.1
"""Time after which an instance's report shows what was told before, many times a round trip. One
that does not has lost it: a later report need not be waited for."""
REPEAT_AFTER_S = 0.05
"""When urgent news go out once more, before the reports can tell who has lost them."""
_COMPRESSION_LEVEL = 1


@dataclass(frozen=True, slots=True)
class HeldVersion:
    """What an instance holds: a version, as one home numbered them."""

    epoch: int = 0
    """Drawn anew by each home; 0 if nothing is held."""
    version: int = 0


@dataclass(frozen=True, slots=True)
class UpdatePart:
    """What one datagram tells: the changes after `base`, up to `upto`."""

    base: int
    upto: int
    packed: bytes

    def fill(self, update: FleetNews) -> FleetNews:
        """Give news with these rows."""
        return replace(update, base=self.base, upto=self.upto, rows=self.packed)


@dataclass(slots=True)
class _Progress:
    held: int = 0
    sent: int = 0
    first_sent_s: float = float("-inf")
    """When the first of what is sent and not held yet went out. Were it the last, a part that was
    lost would never be sent again while other rows change."""
    last_sent_s: float = float("-inf")
    """When the last of it went out."""


class UpdatePublisher:
    """The home's side: the rows, and what each instance has of them.

    A new home goes on from the version that it held under the former one, so that the others need
    only what changed since and not everything.
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
        """The version before the urgent changes that have been told once; None if all were told
        again."""

    def replace_rows(self, row_by_key: Mapping[str, Row]) -> bool:
        """Take the rows that there are now; tell whether any changed."""
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
        """Take the changes after a version for urgent: `repeats_for` gives them once more."""
        before = self._urgent_since
        self._urgent_since = since if before is None else min(before, since)

    def urgent_repeated(self) -> None:
        """Note that the urgent news went out once more to all."""
        self._urgent_since = None

    def urgent_parts_for(self, instance: InstanceId) -> list[UpdatePart]:
        """Give the urgent news that an instance has not reported to hold; may be none.

        A runner that leaves gives some 1.5 s. Where the links lose packets, some instances of a
        large fleet lose the one that says so. They would hear of it from the answer to a later
        report, when what they run there has to be moved already. Two are rarely lost.
        """
        if self._urgent_since is None:
            return []
        progress = self._progress(instance)
        base = max(progress.held, self._urgent_since)
        return [] if base >= self.rows.version else self._parts(base)

    def record_held(self, instance: InstanceId, held: HeldVersion, *, missed: bool = False) -> None:
        """Note what an instance reports to hold; `missed` if it could not use what came later."""
        progress = self._progress(instance)
        progress.held = self._translate_version(held)
        if missed:
            progress.sent = progress.held

    def retain(self, kept: set[InstanceId]) -> None:
        """Forget instances that are not among those kept."""
        for instance in self._progress_by_instance.keys() - kept:
            del self._progress_by_instance[instance]

    def is_behind(self, now_s: float, instance: InstanceId) -> bool:
        """Tell whether an instance that has just reported lacks something not on its way."""
        progress = self._progress(instance)
        if now_s - progress.last_sent_s >= ACK_TIMEOUT_S:
            progress.sent = progress.held
        return self._base(now_s, instance) < self.rows.version

    def parts_for(self, now_s: float, instance: InstanceId) -> list[UpdatePart]:
        """Give what to send to an instance now, and take it as sent; at least one part."""
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
        """Give a version of another home in this one's numbers; 0 if it tells nothing here."""
        continued = self.continued
        goes_on = held.epoch == continued.epoch and held.version <= continued.version
        if held.epoch != self.epoch and not goes_on:
            return 0
        return min(held.version, self.rows.version)

    def _parts(self, base: int) -> list[UpdatePart]:
        state = self.epoch, self.rows.version
        if self._parts_version != state:
            self._parts_version, self._parts_by_base = state, {}
        parts = self._parts_by_base.get(base)
        if parts is None:
            parts = list(_split_changes(base, self.rows.version, self.rows.changes_since(base)))
            self._parts_by_base[base] = parts
        return parts


class ApplyResult(Enum):
    """What became of news."""

    WHOLE = "whole"
    """All that the home has told is held now."""
    PART = "part"
    """More has to come first."""
    GAP = "gap"
    """Something before was lost; it is asked for by the next report."""


class UpdateFollower:
    """An instance's side: the rows as the home told them."""

    def __init__(self) -> None:
        self.rows = VersionedRows()
        self._epoch = 0
        self._changed: set[str] = set()
        self.missed = False
        """Whether news came that build on others which are not held."""

    @property
    def held(self) -> HeldVersion:
        """What this instance holds."""
        return HeldVersion(self._epoch, self.rows.version)

    def adopt(self, publisher: UpdatePublisher) -> None:
        """Hold what this instance told itself as the home it was until now."""
        self.rows, self._epoch = publisher.rows, publisher.epoch

    def apply(self, update: FleetNews) -> ApplyResult:
        """Take news of the home. Raises MessageError."""
        changes = unpack_changes(update.rows)
        if not 0 <= update.base <= update.upto <= update.latest:
            raise MessageError("news with versions out of order")
        if len(self.rows) + len(changes) > MAX_KEYS:
            raise MessageError("news of more than any fleet has")
        same_epoch = update.epoch == self._epoch or self._switch_epoch(update)
        self.missed = not same_epoch or update.base > self.rows.version
        if self.missed:
            return ApplyResult.GAP
        self._changed.update(self.rows.apply(changes, update.upto))
        return ApplyResult.WHOLE if self.rows.version >= update.latest else ApplyResult.PART

    def pop_changed(self) -> set[str]:
        """Give the keys of the rows that changed since they were last asked for."""
        changed, self._changed = self._changed, set()
        return changed

    def _switch_epoch(self, update: FleetNews) -> bool:
        """Take another home's numbers for the rows held, or begin anew; False if neither can be."""
        goes_on = update.continued_epoch == self._epoch != 0
        if goes_on and self.rows.version <= update.continued_version:
            self._epoch = update.epoch
            return True
        if update.base > 0:
            return False
        self._changed.update(self.rows.rows())
        self.rows, self._epoch = VersionedRows(), update.epoch
        return True


class UpdateReplica:
    """One instance's news, in either role; it changes roles without agreement with anybody."""

    def __init__(self, draw_epoch: Callable[[], int]) -> None:
        self._draw_epoch = draw_epoch
        self._follower = UpdateFollower()
        self._publisher: UpdatePublisher | None = None

    @property
    def publisher(self) -> UpdatePublisher | None:
        """The home's side, only while this instance is the home."""
        return self._publisher

    @property
    def held(self) -> HeldVersion:
        """What this instance holds.

        A home has versions of its own. Told under its former home's epoch, they would look like
        that one's, and another heir of it would leave out what this instance lacks.
        """
        if self._publisher is not None:
            return HeldVersion(self._publisher.epoch, self._publisher.rows.version)
        return self._follower.held

    @property
    def missed(self) -> bool:
        """Whether this instance missed news of the home it follows."""
        return self._publisher is None and self._follower.missed

    def lead(self) -> UpdatePublisher:
        """Give the home's side, from now on this instance's."""
        if self._publisher is None:
            held, rows = self._follower.held, self._follower.rows
            self._publisher = UpdatePublisher(self._draw_epoch, held, rows)
        return self._publisher

    def follow(self) -> UpdateFollower:
        """Give the other side; what this instance told as the home is what it holds."""
        if self._publisher is not None:
            self._follower.adopt(self._publisher)
            self._publisher = None
        return self._follower


def pack_changes(changes: list[RowChange]) -> bytes:
    """Give changes as one datagram carries them."""
    return zlib.compress(msgpack.packb(changes), _COMPRESSION_LEVEL) if changes else b""


def unpack_changes(packed: bytes) -> list[RowChange]:
    """Give the changes that were packed. Raises MessageError, also for too many of them."""
    if not packed:
        return []
    inflater = zlib.decompressobj()
    try:
        rows = msgpack.unpackb(inflater.decompress(packed, MAX_ROWS_BYTES))
    except (zlib.error, ValueError, msgpack.UnpackException) as error:
        raise MessageError(f"changes that can't be unpacked: {error!r}") from error
    if not inflater.eof or not isinstance(rows, list) or len(rows) > MAX_ROWS:
        raise MessageError("changes cut short, or too many")
    return [change_from_row(row) for row in rows]


def _split_changes(base: int, latest: int, changes: list[RowChange]) -> Iterator[UpdatePart]:
    """Give parts that each fit a datagram; the last one reaches the latest version."""
    packed = pack_changes(changes)
    if len(packed) <= MAX_PACKED_BYTES or len(changes) == 1:
        yield UpdatePart(base, latest, packed)
        return
    middle = len(changes) // 2
    middle_version = changes[middle - 1].version
    yield from _split_changes(base, middle_version, changes[:middle])
    yield from _split_changes(middle_version, latest, changes[middle:])
