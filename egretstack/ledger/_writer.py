"""Decides what one process reads and writes of one shard. Pure: no I/O, times passed in.

All operations that wait go into one conditional update (group commit). After an update without
an answer the head is read again and the operations are applied again to what is found. That
settles every case: a row with one's own attempt landed; where it is missing and the version has
moved on, the lost update can never land; where the version has not moved, the next update is
conditional on the same version as the lost one, so at most one of the two takes effect, and
both carry the same attempt.
"""

from dataclasses import replace
from math import inf

from egretstack.ledger._entry import CallState
from egretstack.ledger._row import KeyId, Row
from egretstack.ledger._shard import (
    MAX_HEAD_BYTES,
    ROLL_BYTES,
    Segment,
    SegmentIndex,
    Shard,
    largest_bucket,
)
from egretstack.ledger._steps import (
    DropSegment,
    MakeSegment,
    Operation,
    Outcome,
    ReadHead,
    ReadSegment,
    Step,
    Wanted,
    WriteHead,
)

MAX_PENDING = 2_000
OPEN_ROWS_KEPT_S = 86_400
"""How much longer than its retention a row without an outcome is kept, in seconds."""


class ShardWriter:
    """The state of one shard as one process knows it."""

    def __init__(self, roll_bytes: int = ROLL_BYTES) -> None:
        self._roll_bytes = roll_bytes
        self._pending: list[Operation] = []
        self._batch: list[Operation] = []
        self._shard: Shard | None = None
        self._version: str | None = None
        self._index_by_segment: dict[str, SegmentIndex] = {}
        self._loaded: tuple[str, dict[KeyId, Row]] = ("", {})
        self._missing: set[str] = set()
        self._made: Segment | None = None
        self._moved: dict[KeyId, Row] = {}
        self._unlisted: str | None = None
        self._base: str | None = None
        self._draft = Shard()
        self._full = False
        self._shared = False

    @property
    def idle(self) -> bool:
        """Tell whether no operation waits."""
        return not self._pending and not self._batch

    def submit(self, operation: Operation) -> None:
        """Take an operation in; its outcome is set on it later."""
        begins = operation.wanted is Wanted.BEGIN
        if begins and len(self._pending) >= MAX_PENDING:
            operation.outcome = Outcome.REFUSED
            return
        self._pending.append(operation)

    def give_up(self, now: float) -> None:
        """End the beginnings whose time is over; those in doubt are retracted from now on."""
        for operation in [*self._pending, *self._batch]:
            begins = operation.wanted is Wanted.BEGIN and operation.outcome is None
            if begins and operation.give_up_s <= now:
                self._end_begin(operation)

    def step(self, epoch_s: float) -> Step | None:
        """Give the next call to make, or None when nothing waits."""
        if self._unlisted is not None:
            return DropSegment(self._unlisted)
        if not self._pending:
            if self._shared:
                # Others write this shard too: a write on an old view would only conflict, and a
                # read costs the platform less than a write.
                self._shard = None
            return None
        if self._shard is None:
            return ReadHead()
        unread = self._unread_segment(epoch_s) if self._begins() else None
        if unread is not None:
            return ReadSegment(unread)
        return self._plan(epoch_s)

    def head_read(self, shard: Shard, version: str | None) -> None:
        """Take in the head as just read."""
        self._shared = version != self._version
        self._shard, self._version = shard, version
        names = {segment.name for segment in shard.segments}
        self._index_by_segment = {
            name: index for name, index in self._index_by_segment.items() if name in names
        }
        self._missing &= names
        for operation in self._pending:
            operation.fresh = True
        self._check_made(names)

    def segment_read(self, name: str, row_by_key: dict[KeyId, Row] | None) -> None:
        """Take in a segment; None if there is none of that name."""
        if row_by_key is None:
            self._segment_missing(name)
            return
        self._index_by_segment[name] = SegmentIndex(list(row_by_key))
        self._loaded = (name, row_by_key)

    def segment_made(self, name: str, made: MakeSegment) -> None:
        """Take in that the segment exists; the next write of the head lists it."""
        self._made = Segment(name, made.until_s)
        self._moved = made.row_by_key
        self._base = self._version
        self._index_by_segment[name] = SegmentIndex(list(made.row_by_key))

    def segment_dropped(self) -> None:
        """Take in that an unlisted segment was deleted, or that this was tried."""
        self._unlisted = None

    def written(self, version: str) -> None:
        """Take in that the write took effect."""
        self._shard, self._version = self._draft, version
        self._made, self._moved = None, {}
        for operation in self._batch:
            operation.outcome = operation.outcome or Outcome.WRITTEN
        self._batch = []

    def conflict(self) -> None:
        """Take in that another write came first, or that one's own landed unnoticed."""
        self._requeue()

    def failed(self, sent: bool) -> None:
        """Take in that a call had no effect, or (`sent`) that a write may have had or have yet.

        Beginnings end at once: their callers are told when to come back.
        """
        for operation in self._batch if sent else ():
            left = operation.retraction or operation
            left.in_doubt, left.doubt = True, self._version
        self._requeue()
        if sent:
            return
        for operation in list(self._pending):
            if operation.wanted is Wanted.BEGIN:
                self._end_begin(operation)

    def _begins(self) -> bool:
        return any(operation.wanted is Wanted.BEGIN for operation in self._pending)

    def _segment_missing(self, name: str) -> None:
        """Read the head again, which may list it no more; else nothing can begin here."""
        if name in self._missing:
            self.failed(False)
        self._missing.add(name)
        self._shard = None

    def _requeue(self) -> None:
        waiting = [operation for operation in self._batch if operation.outcome is None]
        self._pending = waiting + self._pending
        self._batch = []
        self._shard = None
        for operation in self._pending:
            operation.fresh = False

    def _end_begin(self, operation: Operation) -> None:
        under_way = operation in self._batch
        if not under_way:
            self._pending.remove(operation)
        if not under_way and not operation.in_doubt:
            operation.outcome = Outcome.REFUSED
            return
        operation.outcome = Outcome.ABANDONED
        # The caller is answered, so this attempt is never sent. Its intent may be in the store
        # or land later and would block the key for ever: retracting it goes on until settled.
        operation.retraction = Operation(
            Wanted.RETRACT,
            operation.key,
            operation.row.ended(CallState.NOT_RUN),
            inf,
            in_doubt=operation.in_doubt,
            doubt=operation.doubt,
        )
        self._pending.append(operation.retraction)

    def _check_made(self, names: set[str]) -> None:
        if self._made is None:
            return
        if self._made.name not in names and self._version == self._base:
            return
        if self._made.name not in names:
            # The head moved on without it, so the write that listed it can never land.
            self._unlisted = self._made.name
        self._made, self._moved = None, {}

    def _unread_segment(self, epoch_s: float) -> str | None:
        for segment in self._shard.segments:
            known = segment.name in self._index_by_segment
            if not known and segment.until_s > epoch_s:
                return segment.name
        return None

    def _plan(self, epoch_s: float) -> Step | None:
        rows = {key: row for key, row in self._shard.row_by_key.items() if kept(row, epoch_s)}
        rolled = self._roll(rows)
        if rolled is not None:
            return rolled
        changed: list[Operation] = []
        self._full = sum(row.size for row in rows.values()) > MAX_HEAD_BYTES
        for operation in list(self._pending):
            step = self._apply(operation, rows, changed, epoch_s)
            if step is not None:
                return step
        if not changed:
            return None
        self._batch = changed
        self._pending = [one for one in self._pending if one not in changed]
        segments = self._shard.segments
        if self._made is not None:
            segments = (*segments, self._made)
        self._draft = Shard(rows, segments, self._shard.turn + 1)
        return WriteHead(self._draft.spec(), self._version)

    def _roll(self, rows: dict[KeyId, Row]) -> MakeSegment | None:
        if self._made is not None:
            for key, row in self._moved.items():
                if rows.get(key) == row:
                    del rows[key]
            return None
        if sum(row.size for row in rows.values()) <= self._roll_bytes:
            return None
        moved = largest_bucket(rows)
        if not moved:
            return None
        return MakeSegment(moved, max(row.until_s for row in moved.values()))

    def _apply(
        self,
        operation: Operation,
        rows: dict[KeyId, Row],
        changed: list[Operation],
        epoch_s: float,
    ) -> Step | None:
        """Apply one operation to the draft; give a call to make first, if one is needed."""
        if any(one.key == operation.key for one in changed):
            return None
        found = rows.get(operation.key) or self._moved.get(operation.key)
        if operation.wanted is not Wanted.BEGIN:
            return self._apply_end(operation, found, rows, changed)
        if found is None:
            segment = self._segment_of(operation, epoch_s)
            if segment is not None and segment != self._loaded[0]:
                return ReadSegment(segment)
            found = self._loaded[1][operation.key] if segment else None
        if found is not None and found.attempt == operation.row.attempt:
            return self._settle(operation, Outcome.WRITTEN)
        if found is not None and not _free(found, operation):
            operation.found = found
            return self._settle(operation, Outcome.FOUND) if operation.fresh else self._reread()
        if self._full:
            return self._settle(operation, Outcome.REFUSED)
        if found is not None:
            number = max(operation.row.fence, found.fence + 1)
            operation.row = replace(operation.row, fence=number)
        rows[operation.key] = operation.row
        changed.append(operation)
        return None

    def _apply_end(
        self,
        operation: Operation,
        found: Row | None,
        rows: dict[KeyId, Row],
        changed: list[Operation],
    ) -> Step | None:
        own = found is not None and found.attempt == operation.row.attempt
        if own and found == operation.row:
            return self._settle(operation, Outcome.WRITTEN)
        if own:
            rows[operation.key] = operation.row
            changed.append(operation)
            return None
        if operation.wanted is Wanted.RETRACT and self._may_land_yet(operation):
            # Nothing of ours is there, but a write delayed on its way could land until the
            # head's version moves. Writing the head, changed in its turn alone, shuts it out.
            changed.append(operation)
            return None
        if not operation.fresh:
            return self._reread()
        return self._settle(operation, Outcome.LOST)

    def _may_land_yet(self, operation: Operation) -> bool:
        return operation.in_doubt and operation.doubt == self._version

    def _reread(self) -> ReadHead:
        self._shard = None
        return ReadHead()

    def _settle(self, operation: Operation, outcome: Outcome) -> None:
        operation.outcome = outcome
        self._pending.remove(operation)

    def _segment_of(self, operation: Operation, epoch_s: float) -> str | None:
        """Give the newest segment that holds the key, or that must be read to know."""
        for segment in reversed(self._shard.segments):
            if segment.until_s <= epoch_s or segment.name in operation.cleared:
                continue
            if not self._index_by_segment[segment.name].may_hold(operation.key):
                continue
            if segment.name != self._loaded[0]:
                return segment.name
            row = self._loaded[1].get(operation.key)
            if row is not None and row.until_s > epoch_s:
                return segment.name
            operation.cleared.add(segment.name)
        return None


def kept(row: Row, epoch_s: float) -> bool:
    """Tell whether a row is still kept; one without an outcome is kept longer."""
    extra_s = OPEN_ROWS_KEPT_S if row.open else 0
    return epoch_s < row.until_s + extra_s


def _free(found: Row, operation: Operation) -> bool:
    if found.fingerprint != operation.row.fingerprint:
        return False
    return found.state is CallState.NOT_RUN or found.attempt == operation.over
