"""What a process and each neighbour have sent each other, and what is still to be sent."""

from dataclasses import dataclass, field

from egretstack.ids import InstanceId
from egretstack.membership._messages import Heartbeat, HeartbeatAnswer
from egretstack.membership._rows import Row, pack_row, unpack_row
from egretstack.membership._table import Table

MAX_ROWS_SENT = 64
MAX_ROWS_ACCEPTED = 256
AnyHeartbeat = Heartbeat | HeartbeatAnswer


@dataclass
class _Progress:
    confirmed: int = 0
    """Version of this process's table that the neighbour has confirmed."""
    seen_run: int = 0
    seen_version: int = 0


@dataclass
class Exchange:
    """Makes heartbeats for neighbours and applies theirs; one for each process."""

    process_run: int
    table: Table
    revision: int = 0
    _progress_by_peer: dict[InstanceId, _Progress] = field(default_factory=dict)

    def has_updates(self, peer: InstanceId) -> bool:
        """Return whether a neighbour lacks a change, as far as is known."""
        confirmed = self._progress(peer).confirmed
        return confirmed < self.table.version and bool(
            self.table.changes_after(confirmed, self._source(peer), 1)[0]
        )

    def message(self, peer: InstanceId, kind: type[AnyHeartbeat] = Heartbeat) -> AnyHeartbeat:
        """Make the next heartbeat, or answer, for a neighbour."""
        progress = self._progress(peer)
        rows, version = self.table.changes_after(
            progress.confirmed, self._source(peer), MAX_ROWS_SENT
        )
        return kind(
            run=self.process_run,
            revision=self.revision,
            digest=self.table.digest,
            base=progress.confirmed,
            version=version,
            seen_run=progress.seen_run,
            seen_version=progress.seen_version,
            rows=[pack_row(row) for row in rows],
        )

    def apply(self, peer: InstanceId, message: AnyHeartbeat) -> list[Row]:
        """Apply a neighbour's heartbeat and return the rows that were new. Raises RowError."""
        rows = [unpack_row(packed) for packed in message.rows[:MAX_ROWS_ACCEPTED]]
        progress = self._progress(peer)
        if progress.seen_run != message.run:
            progress.seen_run = message.run
            progress.seen_version = 0
        updates = [row for row in rows if self.table.put(row, self._source(peer))]
        self._record_seen(progress, message)
        progress.confirmed = message.seen_version if message.seen_run == self.process_run else 0
        if message.digest == self.table.digest:
            # Equal tables need no rows. Without this, every first contact would send all rows.
            progress.confirmed = self.table.version
        return updates

    def retain(self, peers: set[InstanceId]) -> None:
        """Drop the state of all neighbours but those given."""
        for peer in self._progress_by_peer.keys() - peers:
            del self._progress_by_peer[peer]

    def _record_seen(self, progress: _Progress, message: AnyHeartbeat) -> None:
        # A sender may count on rows that an earlier run of this process had confirmed. Accepting
        # its version then would leave a gap that is never filled, so its base has to be known here.
        if message.base <= progress.seen_version or message.digest == self.table.digest:
            progress.seen_version = message.version

    def _source(self, peer: InstanceId) -> str:
        """Return the name of a neighbour's run; what that run sent is not sent back to it.

        A restarted neighbour has lost what its earlier run sent, above all the news of its own end.
        """
        return f"{peer}/{self._progress(peer).seen_run}"

    def _progress(self, peer: InstanceId) -> _Progress:
        return self._progress_by_peer.setdefault(peer, _Progress())
