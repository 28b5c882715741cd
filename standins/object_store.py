"""A stand-in for the platform's object API: versions, conditional updates, watches and faults."""

import json
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import trio

from egretstack.objectapi import (
    DEFAULT_WATCH_DURATION_S,
    Conflict,
    ObjectApi,
    ObjectKind,
    PlatformAway,
    PlatformOutcomeUnknown,
    StoredObject,
    WatchChange,
    WatchKind,
    WatchLost,
)

HISTORY_LENGTH = 10_000


@dataclass
class Faults:
    """Active faults. `delay_s` delays each call; the counts are the calls still to be lost."""

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    lose_requests: int = 0
    silent_watches: bool = False


@dataclass
class ObjectStore:
    """The objects, their versions, and the history of changes for watches."""

    by_place: dict[tuple[ObjectKind, str], StoredObject] = field(default_factory=dict)
    history: list[tuple[int, WatchChange]] = field(default_factory=list)
    version: int = 0
    changed: trio.Event = field(default_factory=trio.Event)
    faults: Faults = field(default_factory=Faults)
    calls: Counter = field(default_factory=Counter)
    waiting_watches: int = 0

    def put(self, kind: ObjectKind, name: str, spec: dict, version: str | None) -> StoredObject:
        """Create (if `version` is None) or replace an object. Raises Conflict."""
        found = self.by_place.get((kind, name))
        if (found.version if found else None) != version:
            raise Conflict(name)
        self.version += 1
        copy = json.loads(json.dumps(spec))
        stored = StoredObject(kind, name, str(self.version), copy)
        self.by_place[kind, name] = stored
        self._record_change(WatchKind.MODIFIED if found else WatchKind.ADDED, stored)
        return stored

    def remove(self, kind: ObjectKind, name: str, version: str) -> None:
        """Delete an object. Raises Conflict."""
        found = self.by_place.get((kind, name))
        if found is None or found.version != version:
            raise Conflict(name)
        self.version += 1
        del self.by_place[kind, name]
        deleted = StoredObject(kind, name, str(self.version), found.spec)
        self._record_change(WatchKind.DELETED, deleted)

    def of_kind(self, kind: ObjectKind) -> list[StoredObject]:
        """Return all objects of a kind."""
        return [stored for (other, _), stored in self.by_place.items() if other is kind]

    def changes_since(self, kind: ObjectKind, version: int) -> list[tuple[int, WatchChange]]:
        """Return the changes after a version. Raises WatchLost if the history is too short."""
        if self.history and version < self.history[0][0] - 1:
            raise WatchLost("too old")
        return [row for row in self.history if row[0] > version and row[1].object.kind is kind]

    def snapshot(self) -> dict:
        """Return a copy of the objects, for a test that restores an older state."""
        return dict(self.by_place)

    def restore(self, snapshot: dict) -> None:
        """Replace the objects by an older copy, as a restore from a backup does."""
        self.by_place = dict(snapshot)
        self.history.clear()
        self.version += 1
        self._notify_watches()

    def _record_change(self, kind: WatchKind, stored: StoredObject) -> None:
        self.history.append((self.version, WatchChange(kind, stored)))
        del self.history[:-HISTORY_LENGTH]
        self._notify_watches()

    def _notify_watches(self) -> None:
        self.changed.set()
        self.changed = trio.Event()


class InProcessObjectApi(ObjectApi):
    """The client of the store in one process. `cut` disconnects only this client."""

    def __init__(self, store: ObjectStore) -> None:
        self.store = store
        self.cut = False

    async def get(self, kind: ObjectKind, name: str) -> StoredObject | None:
        """Return one object; None if it does not exist."""
        await self._call("get", kind)
        return self.store.by_place.get((kind, name))

    async def list(self, kind: ObjectKind) -> list[StoredObject]:
        """Return all objects of a kind."""
        await self._call("list", kind)
        return self.store.of_kind(kind)

    async def create(self, kind: ObjectKind, name: str, spec: dict) -> StoredObject:
        """Create an object."""
        await self._call("create", kind)
        self._maybe_lose_request()
        stored = self.store.put(kind, name, spec, None)
        self._maybe_lose_answer()
        return stored

    async def replace(self, kind: ObjectKind, name: str, spec: dict, version: str) -> StoredObject:
        """Replace an object."""
        await self._call("replace", kind)
        self._maybe_lose_request()
        stored = self.store.put(kind, name, spec, version)
        self._maybe_lose_answer()
        return stored

    async def delete(self, kind: ObjectKind, name: str, version: str) -> None:
        """Delete an object."""
        await self._call("delete", kind)
        self._maybe_lose_request()
        self.store.remove(kind, name, version)
        self._maybe_lose_answer()

    @asynccontextmanager
    async def watch(
        self, kind: ObjectKind, since: str | None, duration_s: float = DEFAULT_WATCH_DURATION_S
    ) -> AsyncIterator[AsyncIterator[WatchChange]]:
        """Watch the changes of a kind."""
        await self._call("watch", kind)
        start = self.store.version if since is None else int(since)
        self.store.changes_since(kind, start)
        self.store.waiting_watches += 1
        try:
            yield self._changes(kind, start, trio.current_time() + duration_s)
        finally:
            self.store.waiting_watches -= 1

    async def _changes(
        self, kind: ObjectKind, after: int, until_s: float
    ) -> AsyncIterator[WatchChange]:
        while True:
            changed = self.store.changed
            if self.cut or self.store.faults.down:
                raise WatchLost("cut")
            if not self.store.faults.silent_watches:
                for version, change in self.store.changes_since(kind, after):
                    after = version
                    yield change
            with trio.move_on_at(until_s):
                await changed.wait()
                continue
            if not self.store.faults.silent_watches:
                bookmark = StoredObject(kind, "", str(self.store.version), {})
                yield WatchChange(WatchKind.BOOKMARK, bookmark)
                return
            await trio.sleep_forever()

    async def _call(self, verb: str, kind: ObjectKind) -> None:
        self.store.calls[verb, kind] += 1
        await trio.sleep(self.store.faults.delay_s)
        if self.cut or self.store.faults.down:
            raise PlatformAway("down")

    def _maybe_lose_request(self) -> None:
        if self.store.faults.lose_requests:
            self.store.faults.lose_requests -= 1
            raise PlatformOutcomeUnknown("request lost")

    def _maybe_lose_answer(self) -> None:
        if self.store.faults.lose_answers:
            self.store.faults.lose_answers -= 1
            raise PlatformOutcomeUnknown("answer lost")
