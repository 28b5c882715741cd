"""Keeps records of the fleet in the store, as the home: reads all of one kind, and writes its own.

After a restart of every instance they are read from there. An instance that receives no reports of
others is its own home, so that one that is cut off only from its peers still applies the records
and adds to them.
"""

from abc import abstractmethod
from collections.abc import Mapping
from typing import ClassVar, Generic, TypeVar

import trio

from egretstack.events import Event, log
from egretstack.fleet import StoreReachability
from egretstack.kernel import Kernel, WorkKind
from egretstack.messages import MessageError
from egretstack.platform import Change, ObjectKind, RevisionConflict, StoreAway
from egretstack.services.fleet_port import IDLE_POLL_INTERVAL_S
from egretstack.services.store_following import MAX_NAME_LOGGED, StoreFollower
from egretstack.services.store_reading import UNAVAILABLE_PAUSE_S

WATCH_S = 5.0
"""Length of one watch. Besides this home only another home or an operator writes, both rarely."""
FIELD = "record"
"""Name under which an object's spec holds the record's row."""
MAX_BAD_LOGGED = 8

Key = TypeVar("Key", bound=str)
Record = TypeVar("Record")


class StoredRecords(StoreFollower, Generic[Key, Record]):
    """Reads the records of one kind, and writes those that have to last."""

    kind: ClassVar[ObjectKind]
    unreadable: ClassVar[Event]
    """The event that tells of an object that cannot be read."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._stored_by_key: dict[Key, Record] = {}
        """The records as the store has them."""
        self._changed = trio.Event()

    @abstractmethod
    def _parse(self, row: object) -> Record:
        """Return the record of a row. Raises MessageError."""

    @abstractmethod
    def _row(self, record: Record) -> list:
        """Return the row of a record."""

    @abstractmethod
    def _lasting(self) -> Mapping[Key, Record]:
        """Return the records that have to be in the store."""

    @abstractmethod
    def _apply_record(self, key: Key, record: Record) -> None:
        """Add what the store has."""

    @abstractmethod
    def _apply_deletion(self, key: Key) -> None:
        """Clear what an operator has deleted."""

    @abstractmethod
    def _listen(self) -> None:
        """Ask for a call of `_on_record_change` at each change."""

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Read and write until cancelled."""
        self._listen()
        task_status.started()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow)
            nursery.start_soon(self._write_changes)

    def _on_record_change(self) -> None:
        self._changed.set()

    def _is_current(self) -> bool:
        return self._port.fleet.has_live_home(trio.current_time())

    def _may_read(self) -> bool:
        """Return whether the store is reachable; the list of runners finds out when it is back."""
        reachability = self._port.fleet.own.store
        return self._port.is_home() and reachability is not StoreReachability.UNREACHABLE

    async def _read(self) -> None:
        store = self._store_reading.store
        if self._revision is None:
            listing = await store.list(self.kind)
            self._stored_by_key.clear()
            changes, revision = [Change(one, False) for one in listing.objects], listing.revision
        else:
            watched = await store.watch(self.kind, self._revision, WATCH_S)
            changes, revision = watched.changes, watched.revision
        for name in self._apply_each(changes, self._apply)[:MAX_BAD_LOGGED]:
            log(self.unreadable, object=name[:MAX_NAME_LOGGED])
        self._revision = revision
        self._changed.set()

    def _apply(self, change: Change) -> list[str]:
        """Apply an object of the store; return its name if it cannot be read."""
        key: Key = change.object.name
        if change.deleted:
            # It was deleted by an operator, unless this instance has dropped the record itself.
            if self._stored_by_key.pop(key, None) is not None:
                self._apply_deletion(key)
            return []
        try:
            record = self._parse(change.object.spec.get(FIELD))
        except MessageError:
            return [change.object.name]
        self._stored_by_key[key] = record
        self._apply_record(key, record)
        return []

    async def _write_changes(self) -> None:
        writes = self.kernel.unforeseen.repeated(WorkKind.ROUND, loop=f"{self.name} writes")
        while True:
            with writes.attempt():
                await self._write_until_error()
            self._changed.set()
            await trio.sleep(UNAVAILABLE_PAUSE_S)

    async def _write_until_error(self) -> None:
        while True:
            await self._changed.wait()
            if self._port.is_home() and (self._revision is None or not self._may_read()):
                await trio.sleep(IDLE_POLL_INTERVAL_S)
                continue
            self._changed = trio.Event()
            if not self._port.is_home():
                continue  # The next home reads the store first, and writes what is missing there.
            try:
                await self._write_all()
            except StoreAway as error:
                self._store_reading.record_unavailable(error)
                self._changed.set()
                await trio.sleep(UNAVAILABLE_PAUSE_S)

    async def _write_all(self) -> None:
        lasting = self._lasting()
        for key, record in lasting.items():
            if self._stored_by_key.get(key) != record:
                await self._write(key, record)
        for key in self._stored_by_key.keys() - lasting.keys():
            # Removed here first, so that the watch does not take this deletion for an operator's.
            self._stored_by_key.pop(key)
            await self._store_reading.store.delete(self.kind, key)

    async def _write(self, key: Key, record: Record) -> None:
        """Write a record; the watch reports what another home wrote at the same time."""
        store, spec = self._store_reading.store, {FIELD: self._row(record)}
        try:
            if not await store.replace(self.kind, key, spec):
                await store.create(self.kind, key, spec)
        except RevisionConflict:
            self._changed.set()
            return
        self._stored_by_key[key] = record
