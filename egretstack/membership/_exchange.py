"""What a process and one neighbour have told each other, and what is still to be told."""

from dataclasses import dataclass, field

from egretstack.ids import InstanceId
from egretstack.membership._messages import Heartbeat, HeartbeatAnswer
from egretstack.membership._rows import Row, pack_row, unpack_row
from egretstack.membership._table import Table

MAX_ROWS_SENT = 64
MAX_ROWS_TAKEN = 256
AnyHeartbeat = Heartbeat | HeartbeatAnswer


@dataclass
class _Told:
    confirmed: int = 0
    """Version of our table that the neighbour has confirmed."""
    seen_run: int = 0
    seen_version: int = 0


@dataclass
class Exchange:
    """Makes heartbeats for neighbours and takes theirs in; one for each process."""

    run: int
    table: Table
    revision: int = 0
    _told_by_peer: dict[InstanceId, _Told] = field(default_factory=dict)

    def has_news(self, peer: InstanceId) -> bool:
        """Tell whether a neighbour lacks a change, as far as is known."""
        confirmed = self._told(peer).confirmed
        return confirmed < self.table.version and bool(
            self.table.news(confirmed, self._source(peer), 1)[0]
        )

    def message(self, peer: InstanceId, kind: type[AnyHeartbeat] = Heartbeat) -> AnyHeartbeat:
        """Make the next heartbeat, or answer, for a neighbour."""
        told = self._told(peer)
        rows, version = self.table.news(told.confirmed, self._source(peer), MAX_ROWS_SENT)
        return kind(
            run=self.run,
            revision=self.revision,
            digest=self.table.digest,
            base=told.confirmed,
            version=version,
            seen_run=told.seen_run,
            seen_version=told.seen_version,
            rows=[pack_row(row) for row in rows],
        )

    def take(self, peer: InstanceId, message: AnyHeartbeat) -> list[Row]:
        """Take a neighbour's heartbeat in; give the rows that were news. Raises RowError."""
        rows = [unpack_row(packed) for packed in message.rows[:MAX_ROWS_TAKEN]]
        told = self._told(peer)
        if told.seen_run != message.run:
            told.seen_run = message.run
            told.seen_version = 0
        news = [row for row in rows if self.table.put(row, self._source(peer))]
        self._note_seen(told, message)
        told.confirmed = message.seen_version if message.seen_run == self.run else 0
        if message.digest == self.table.digest:
            # Equal tables need no rows. Without this, every first contact would send all.
            told.confirmed = self.table.version
        return news

    def forget(self, peers: set[InstanceId]) -> None:
        """Forget all neighbours but these."""
        for peer in self._told_by_peer.keys() - peers:
            del self._told_by_peer[peer]

    def _note_seen(self, told: _Told, message: AnyHeartbeat) -> None:
        # A sender may count on rows that an earlier run of this process had confirmed. Taking its
        # version then would leave a hole that is never filled; so its base has to be known here.
        if message.base <= told.seen_version or message.digest == self.table.digest:
            told.seen_version = message.version

    def _source(self, peer: InstanceId) -> str:
        """Name a run of a neighbour; what it sent is not sent back to it.

        A restarted neighbour has lost what its former run sent, its own end above all.
        """
        return f"{peer}/{self._told(peer).seen_run}"

    def _told(self, peer: InstanceId) -> _Told:
        return self._told_by_peer.setdefault(peer, _Told())
