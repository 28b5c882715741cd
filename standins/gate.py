"""A gate that every outside call of one process passes: it freezes, kills and observes it.

Models SIGSTOP and SIGKILL inside one process: what a frozen process would send or receive waits
at the gate until the thaw. A call that was about to leave when the freeze struck leaves at the
thaw before any timer of the process can take it back, as after a pause between the last check
and the first byte. Not modelled: the process's memory and timers go on during the freeze, so
it counts timeouts that a stopped process would not. Process tests use the real signal.
"""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from enum import Enum
from typing import TypeVar

import trio

from egretstack.objectapi import (
    DEFAULT_WATCH_DURATION_S,
    ObjectApi,
    ObjectKind,
    StoredObject,
    WatchChange,
)
from standins.object_store import InProcessObjectApi, ObjectStore

T = TypeVar("T")


class Seam(Enum):
    """A place at the edge of a process where a test can strike."""

    STORE_WRITE = "a write to the object API is about to leave"
    STORE_WRITTEN = "a write to the object API was answered"
    ENGINE_ASKED = "a new generation is about to be asked for"
    ENGINE_ACCEPTED = "an engine accepted a generation"
    CALL_SENT = "a call to a plain service is about to leave"
    CALL_RAN = "a plain service carried a call out; its answer is on the way"
    ORDER_SENT = "an order to an engine is about to leave"
    ORDER_TAKEN = "an engine took an order"


Observer = Callable[["Gate", Seam, object], None]
"""Told of the process, the place, and its subject: a write, a prompt, a call, an order."""


@dataclass(frozen=True)
class Write:
    """The object that a write to the object API is for."""

    kind: ObjectKind
    name: str


class ProcessKilled(BaseException):
    """Ends the tasks of a killed process, also the ones that are shielded from cancellation."""


class Gate:
    """The gate of one process; `observers` belong to the whole world."""

    def __init__(self, process: str, observers: list[Observer]) -> None:
        self.process = process
        self.dead = False
        self._observers = observers
        self._opened = trio.Event()
        self._opened.set()

    @property
    def frozen(self) -> bool:
        """Tell whether the process is frozen."""
        return not self._opened.is_set()

    def freeze(self) -> None:
        """Hold everything that passes, until `thaw`."""
        if not self.frozen:
            self._opened = trio.Event()

    def thaw(self) -> None:
        """Let everything pass again."""
        self._opened.set()

    async def wait(self) -> None:
        """Pass; a killed process never does."""
        await self._opened.wait()
        if self.dead:
            raise ProcessKilled(self.process)

    async def through(self, call: Callable[[], Awaitable[T]]) -> T:
        """Make a call; its answer or its error passes the gate as well."""
        await self.wait()
        try:
            result = await call()
        except Exception:
            await self.wait()
            raise
        await self.wait()
        return result

    async def reached(self, seam: Seam, subject: object) -> None:
        """Tell the observers, then let what they did take effect."""
        self._tell(seam, subject)
        await self.wait()

    async def leave(self, seam: Seam, subject: object, call: Callable[[], Awaitable[T]]) -> T:
        """Make a call after telling the observers; a freeze strikes just before it leaves."""
        await self.wait()
        self._tell(seam, subject)
        if self.dead:
            raise ProcessKilled(self.process)
        if not self.frozen:
            return await call()
        with trio.CancelScope(shield=True):
            await self.wait()
            return await call()

    def _tell(self, seam: Seam, subject: object) -> None:
        for observer in list(self._observers):
            observer(self, seam, subject)


class GatedObjectApi(ObjectApi):
    """The object API as one process reaches it."""

    def __init__(self, inner: InProcessObjectApi, gate: Gate) -> None:
        self.inner = inner
        self._gate = gate

    @property
    def store(self) -> ObjectStore:
        """Give the store behind it."""
        return self.inner.store

    @property
    def cut(self) -> bool:
        """Tell whether this process alone is cut off; set it to do so."""
        return self.inner.cut

    @cut.setter
    def cut(self, cut: bool) -> None:
        self.inner.cut = cut

    async def get(self, kind: ObjectKind, name: str) -> StoredObject | None:
        """Read one object."""
        return await self._gate.through(lambda: self.inner.get(kind, name))

    async def list(self, kind: ObjectKind) -> list[StoredObject]:
        """Read all objects of a kind."""
        return await self._gate.through(lambda: self.inner.list(kind))

    async def create(self, kind: ObjectKind, name: str, spec: dict) -> StoredObject:
        """Create an object."""
        return await self._write(Write(kind, name), lambda: self.inner.create(kind, name, spec))

    async def replace(self, kind: ObjectKind, name: str, spec: dict, version: str) -> StoredObject:
        """Replace an object."""
        return await self._write(
            Write(kind, name), lambda: self.inner.replace(kind, name, spec, version)
        )

    async def delete(self, kind: ObjectKind, name: str, version: str) -> None:
        """Delete an object."""
        await self._write(Write(kind, name), lambda: self.inner.delete(kind, name, version))

    @asynccontextmanager
    async def watch(
        self, kind: ObjectKind, since: str | None, duration_s: float = DEFAULT_WATCH_DURATION_S
    ) -> AsyncIterator[AsyncIterator[WatchChange]]:
        """Follow changes."""
        await self._gate.wait()
        async with self.inner.watch(kind, since, duration_s) as changes:
            yield self._changes(changes)

    async def _changes(self, changes: AsyncIterator[WatchChange]) -> AsyncIterator[WatchChange]:
        async for change in changes:
            await self._gate.wait()
            yield change

    async def _write(self, write: Write, call: Callable[[], Awaitable[T]]) -> T:
        result = await self._gate.through(lambda: self._gate.leave(Seam.STORE_WRITE, write, call))
        await self._gate.reached(Seam.STORE_WRITTEN, write)
        return result
