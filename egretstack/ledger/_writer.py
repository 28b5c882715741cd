"""Decides what one process reads and writes of one shard, without I/O and with times passed in.

All waiting operations go into one conditional update (group commit). After an update without an
answer the head is read again, and the operations are applied again to its content. That settles
every case. If the row of the attempt is there, the update landed. If it is missing and the version
has changed, the lost update can never land. If the version has not changed, the next update is
conditional on the same version as the lost one, so at most one of the two takes effect, and both
carry the same attempt.
"""

from dataclasses import replace
from math import inf

from egretstack.ledger._entry import CallState
from egretstack.ledger._row import KeyId, Row
from egretstack.ledger._segments import SegmentCache
from egretstack.ledger._shard import (
    MAX_HEAD_BYTES,
    MAX_SEGMENTS,
    ROLL_THRESHOLD_BYTES,
    Shard,
)
from egretstack.ledger._steps import (
    CreateSegment,
    DeleteSegment,
    Operation,
    OperationKind,
    Outcome,
    ReadHead,
    ReadSegment,
    Step,
    WriteHead,
)

MAX_PENDING = 2_000
OPEN_ROW_EXTRA_RETENTION_S = 86_400
"""How long past its retention a row without an outcome is still kept, in seconds."""


class ShardWriter:
    """One process's view of a shard, its waiting operations and the update in progress."""

    def __init__(self, roll_bytes: int = ROLL_THRESHOLD_BYTES) -> None:
        self._pending: list[Operation] = []
        self._batch: list[Operation] = []
        self._shard: Shard | None = None
        self._version: str | None = None
        self._segments = SegmentCache(roll_bytes)
        self._draft = Shard()
        self._refuses_new_rows = False
        self._has_other_writers = False

    @property
    def is_idle(self) -> bool:
        """Return whether no operation is waiting or being written."""
        return not self._pending and not self._batch

    def submit(self, operation: Operation) -> None:
        """Queue an operation; its outcome is set on it later."""
        is_begin = operation.kind is OperationKind.BEGIN
        if is_begin and len(self._pending) >= MAX_PENDING:
            operation.outcome = Outcome.REFUSED
            return
        self._pending.append(operation)

    def expire_begins(self, now_s: float) -> None:
        """End each BEGIN whose time is over; those that may have been written are retracted."""
        for operation in [*self._pending, *self._batch]:
            is_waiting_begin = operation.kind is OperationKind.BEGIN and operation.outcome is None
            if is_waiting_begin and operation.give_up_at_s <= now_s:
                self._end_begin(operation)

    def next_step(self, epoch_s: float) -> Step | None:
        """Return the next store call to make, or None if nothing is waiting."""
        if self._segments.unlisted_name is not None:
            return DeleteSegment(self._segments.unlisted_name)
        if not self._pending:
            if self._has_other_writers:
                # Other processes write this shard too. A write based on an old view would only
                # conflict, and a read costs the platform less than a write.
                self._shard = None
            return None
        if self._shard is None:
            return ReadHead()
        unread = (
            self._segments.find_unread(self._shard, epoch_s)
            if self._must_search_segments()
            else None
        )
        if unread is not None:
            return ReadSegment(unread)
        return self._plan_commit(epoch_s)

    def on_head_read(self, shard: Shard, version: str | None) -> None:
        """Update from the head as it was just read."""
        self._has_other_writers = version != self._version
        self._shard, self._version = shard, version
        self._segments.on_head_read(shard, version)
        for operation in self._pending:
            operation.has_fresh_head = True

    def on_segment_read(self, name: str, row_by_key: dict[KeyId, Row] | None) -> None:
        """Update from a segment that was just read; its rows are None if it does not exist."""
        if row_by_key is not None:
            self._segments.on_segment_read(name, row_by_key)
            return
        # The head may no longer list it. If it still does, no intent can be written safely.
        if self._segments.on_segment_missing(name):
            self.on_failure(False)
        self._shard = None

    def on_segment_created(self, name: str, step: CreateSegment) -> None:
        """Record that the segment exists; the next write of the head lists it."""
        self._segments.on_segment_created(name, step, self._version)

    def on_segment_deleted(self) -> None:
        """Record that the deletion of an unlisted segment was attempted."""
        self._segments.unlisted_name = None

    def on_written(self, version: str) -> None:
        """Record that the write took effect."""
        self._shard, self._version = self._draft, version
        self._segments.clear_created()
        for operation in self._batch:
            operation.outcome = operation.outcome or Outcome.WRITTEN
        self._batch = []

    def on_conflict(self) -> None:
        """Handle a conflict: another write was first, or an unanswered write of this one landed."""
        self._requeue()

    def on_failure(self, in_doubt: bool) -> None:
        """Handle a failed call; `in_doubt` says that a write may have landed or may still land.

        After a call that had no effect each BEGIN ends at once, so that its caller learns when to
        retry.
        """
        for operation in self._batch if in_doubt else ():
            target = operation.retraction or operation
            target.in_doubt, target.in_doubt_version = True, self._version
        self._requeue()
        if in_doubt:
            return
        for operation in list(self._pending):
            if operation.kind is OperationKind.BEGIN:
                self._end_begin(operation)

    def _must_search_segments(self) -> bool:
        return any(self._needs_segments(operation) for operation in self._pending)

    @staticmethod
    def _needs_segments(operation: Operation) -> bool:
        """Return whether an operation may add a row, which requires that the key has none yet."""
        retracts = operation.kind is OperationKind.RETRACT and operation.forwarded
        return operation.kind is OperationKind.BEGIN or retracts

    def _requeue(self) -> None:
        self._pending = [one for one in self._batch if one.outcome is None] + self._pending
        self._batch = []
        self._shard = None
        for operation in self._pending:
            operation.has_fresh_head = False

    def _end_begin(self, operation: Operation) -> None:
        is_in_batch = operation in self._batch
        if not is_in_batch:
            self._pending.remove(operation)
        if not is_in_batch and not operation.in_doubt and not operation.forwarded:
            operation.outcome = Outcome.REFUSED
            return
        operation.outcome = Outcome.ABANDONED
        if operation.for_peer:
            # Its sender may have written the intent itself meanwhile and be sending the call. A
            # retraction here would free the key for a second run, so the sender retracts.
            return
        # The caller has its answer, so this attempt is never sent. Its intent may be in the store
        # or land later, and would block the key forever, so it is retracted until that is settled.
        operation.retraction = Operation(
            OperationKind.RETRACT,
            operation.key,
            operation.row.with_outcome(CallState.NOT_RUN),
            inf,
            forwarded=operation.forwarded,
            in_doubt=operation.in_doubt,
            in_doubt_version=operation.in_doubt_version,
        )
        self._pending.append(operation.retraction)

    def _plan_commit(self, epoch_s: float) -> Step | None:
        rows = {
            key: row for key, row in self._shard.row_by_key.items() if is_retained(row, epoch_s)
        }
        rolled = self._segments.roll_over(rows)
        if rolled is not None:
            return rolled
        changed: list[Operation] = []
        self._refuses_new_rows = self._is_full(rows)
        for operation in list(self._pending):
            step = self._apply(operation, rows, changed, epoch_s)
            if step is not None:
                return step
        if not changed:
            return None
        self._batch = changed
        self._pending = [one for one in self._pending if one not in changed]
        segments = self._shard.segments
        if self._segments.created is not None:
            segments = (*segments, self._segments.created)
        self._draft = Shard(rows, segments, self._shard.write_count + 1)
        return WriteHead(self._draft.spec(), self._version)

    def _is_full(self, rows: dict[KeyId, Row]) -> bool:
        has_max_segments = len(self._shard.segments) >= MAX_SEGMENTS
        return has_max_segments or sum(row.size for row in rows.values()) > MAX_HEAD_BYTES

    def _apply(
        self,
        operation: Operation,
        rows: dict[KeyId, Row],
        changed: list[Operation],
        epoch_s: float,
    ) -> Step | None:
        """Apply one operation to `rows`; return a step that must come first, if there is one."""
        if any(one.key == operation.key for one in changed):
            return None
        found = rows.get(operation.key) or self._moved_row(operation.key)
        if found is None and self._needs_segments(operation):
            segment = self._find_segment(operation, epoch_s)
            if segment is not None and segment != self._segments.loaded_name:
                return ReadSegment(segment)
            found = self._segments.row_by_key[operation.key] if segment else None
        if operation.kind is not OperationKind.BEGIN:
            return self._apply_end(operation, found, rows, changed)
        if found is not None and found.attempt == operation.row.attempt:
            # Written by an update whose answer was lost, or by the shard's ledger home.
            operation.row = found
            return self._complete(operation, Outcome.WRITTEN if found.is_open else Outcome.REFUSED)
        if found is not None and not _is_key_free(found, operation):
            operation.found = found
            return (
                self._complete(operation, Outcome.FOUND)
                if operation.has_fresh_head
                else self._reread()
            )
        if self._refuses_new_rows:
            return self._complete(operation, Outcome.REFUSED)
        if found is not None:
            fence = max(operation.row.fence, found.fence + 1)
            operation.row = replace(operation.row, fence=fence)
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
        is_own = found is not None and found.attempt == operation.row.attempt
        if is_own and found == operation.row:
            return self._complete(operation, Outcome.WRITTEN)
        if is_own:
            rows[operation.key] = operation.row
            changed.append(operation)
            return None
        if found is None and self._needs_segments(operation):
            # The ledger home may write the intent late. It then finds the attempt ended, and
            # writes nothing.
            rows[operation.key] = operation.row
            changed.append(operation)
            return None
        if operation.kind is OperationKind.RETRACT and self._may_land_yet(operation):
            # The attempt has no row, but a delayed write of it could still land until the head's
            # version changes. A write of the head that changes only its write count prevents that.
            changed.append(operation)
            return None
        if not operation.has_fresh_head:
            return self._reread()
        return self._complete(operation, Outcome.LOST)

    def _may_land_yet(self, operation: Operation) -> bool:
        return operation.in_doubt and operation.in_doubt_version == self._version

    def _reread(self) -> ReadHead:
        self._shard = None
        return ReadHead()

    def _complete(self, operation: Operation, outcome: Outcome) -> None:
        operation.outcome = outcome
        self._pending.remove(operation)

    def _find_segment(self, operation: Operation, epoch_s: float) -> str | None:
        return self._segments.find_segment(operation, self._shard, epoch_s)

    def _moved_row(self, key: KeyId) -> Row | None:
        """Return a row that this write moves into a segment that the head does not list yet."""
        return self._segments.moved_rows.get(key)


def is_retained(row: Row, epoch_s: float) -> bool:
    """Return whether a row is still kept; one without an outcome is kept longer."""
    extra_s = OPEN_ROW_EXTRA_RETENTION_S if row.is_open else 0
    return epoch_s < row.until_s + extra_s


def _is_key_free(found: Row, operation: Operation) -> bool:
    if found.fingerprint != operation.row.fingerprint:
        return False
    return found.state is CallState.NOT_RUN or found.attempt == operation.replaces
