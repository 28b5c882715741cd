"""Keeps the fleet's records of requests that end runners in the store, as the home.

After a restart of every instance they are read from there. An instance that receives no reports of
others is its own home, so that one that is cut off only from its peers still applies the records
and adds to them.
"""

import trio

from egretstack.crashes import CrashRecord, record_from_row, record_row
from egretstack.events import Event, log
from egretstack.fleet import StoreReachability
from egretstack.ids import ContentId
from egretstack.kernel import Kernel
from egretstack.messages import MessageError
from egretstack.platform import Change, ObjectKind, RevisionConflict, StoreAway
from egretstack.services.fleet_port import IDLE_POLL_INTERVAL_S
from egretstack.services.store_following import StoreFollower
from egretstack.services.store_reading import UNAVAILABLE_PAUSE_S

WATCH_S = 5.0
"""Length of one watch. Besides this home only another home or an operator writes, both rarely."""
FIELD = "record"
"""Name under which an object's spec holds the record's row."""
MAX_BAD_LOGGED = 8
MAX_NAME_LOGGED = 128


class CrashList(StoreFollower):
    """Reads the records, and writes those that have to last."""

    name = "crash_list"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._stored_by_content: dict[ContentId, CrashRecord] = {}
        """The records as the store has them."""
        self._changed = trio.Event()

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Read and write until cancelled."""
        self._port.on_crash_record_change(self._on_record_change)
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
            listing = await store.list(ObjectKind.CRASH_RECORD)
            self._stored_by_content.clear()
            changes, revision = [Change(one, False) for one in listing.objects], listing.revision
        else:
            watched = await store.watch(ObjectKind.CRASH_RECORD, self._revision, WATCH_S)
            changes, revision = watched.changes, watched.revision
        bad = [name for change in changes if (name := self._apply(change)) is not None]
        for name in bad[:MAX_BAD_LOGGED]:
            log(Event.CRASH_RECORD_UNREADABLE, content=name[:MAX_NAME_LOGGED])
        self._revision = revision
        self._changed.set()

    def _apply(self, change: Change) -> str | None:
        """Apply an object of the store; return its name if it cannot be read."""
        now_s = trio.current_time()
        content = ContentId(change.object.name)
        if change.deleted:
            # It was deleted by an operator, unless this instance has dropped the record itself.
            if self._stored_by_content.pop(content, None) is not None:
                self._port.record_clear(now_s, content)
            return None
        try:
            record = record_from_row(change.object.spec.get(FIELD))
        except MessageError:
            return change.object.name
        self._stored_by_content[content] = record
        self._port.apply_crash_record(now_s, content, record)
        return None

    async def _write_changes(self) -> None:
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
        lasting = self._port.crashes.durable_records()
        for content, record in lasting.items():
            if self._stored_by_content.get(content) != record:
                await self._write(content, record)
        for content in self._stored_by_content.keys() - lasting.keys():
            # Removed here first, so that the watch does not take this deletion for an operator's.
            self._stored_by_content.pop(content)
            await self._store_reading.store.delete(ObjectKind.CRASH_RECORD, content)

    async def _write(self, content: ContentId, record: CrashRecord) -> None:
        """Write a record; the watch reports what another home wrote at the same time."""
        store, spec = self._store_reading.store, {FIELD: record_row(record)}
        try:
            if not await store.replace(ObjectKind.CRASH_RECORD, content, spec):
                await store.create(ObjectKind.CRASH_RECORD, content, spec)
        except RevisionConflict:
            self._changed.set()
            return
        self._stored_by_content[content] = record
