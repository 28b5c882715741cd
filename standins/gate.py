"""A gate for all external calls of one simulated process: pauses, kills and observes it.

Models SIGSTOP and SIGKILL inside one process: data that a paused process would send or receive
waits at the gate until the process is resumed. A call that was about to be sent when the pause
began is sent on resumption, before any timer of the process can cancel it, like a real pause
between the last check and the first byte. Not modelled: the memory and the timers of the process
stay active during the pause, so it counts timeouts that a stopped process would not. Process tests
use the real signals.
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
    """A point in the external calls of a process at which a test can inject a fault."""

    STORE_WRITE = "a write to the object API is about to be sent"
    STORE_WRITTEN = "a write to the object API was answered"
    ENGINE_REQUESTED = "a request for a new generation is about to be sent"
    ENGINE_ACCEPTED = "an engine accepted a generation"
    CALL_SENT = "a call to a plain service is about to be sent"
    CALL_RAN = "a plain service executed a call; its answer has not arrived yet"
    ORDER_SENT = "an order to an engine is about to be sent"
    ORDER_ACCEPTED = "an engine accepted an order"


Observer = Callable[["Gate", Seam, object], None]
"""Called with the gate, the seam, and its subject: a write, a prompt, a call or an order."""


@dataclass(frozen=True)
class Write:
    """Identifies the object of a write to the object API."""

    kind: ObjectKind
    name: str


class ProcessKilled(BaseException):
    """Ends the tasks of a killed process, including those shielded from cancellation."""


class Gate:
    """The gate of one process; `observers` are shared by all processes of the deployment."""

    def __init__(self, process: str, observers: list[Observer]) -> None:
        self.process = process
        self.dead = False
        self._observers = observers
        self._resumed = trio.Event()
        self._resumed.set()

    @property
    def paused(self) -> bool:
        """Return whether the process is paused."""
        return not self._resumed.is_set()

    def pause(self) -> None:
        """Hold everything that passes the gate until `resume`."""
        if not self.paused:
            self._resumed = trio.Event()

    def resume(self) -> None:
        """Let held calls and data pass."""
        self._resumed.set()

    async def wait(self) -> None:
        """Wait until the process is not paused. Raises ProcessKilled if it was killed."""
        await self._resumed.wait()
        if self.dead:
            raise ProcessKilled(self.process)

    async def call(self, call: Callable[[], Awaitable[T]]) -> T:
        """Make a call; its result or error has to pass the gate as well."""
        await self.wait()
        try:
            result = await call()
        except Exception:
            await self.wait()
            raise
        await self.wait()
        return result

    async def notify(self, seam: Seam, subject: object) -> None:
        """Notify the observers, then wait if they paused the process."""
        self._call_observers(seam, subject)
        await self.wait()

    async def send(self, seam: Seam, subject: object, call: Callable[[], Awaitable[T]]) -> T:
        """Notify the observers, then make a call; a pause takes effect just before it is sent."""
        await self.wait()
        self._call_observers(seam, subject)
        if self.dead:
            raise ProcessKilled(self.process)
        if not self.paused:
            return await call()
        with trio.CancelScope(shield=True):
            await self.wait()
            return await call()

    def _call_observers(self, seam: Seam, subject: object) -> None:
        for observer in list(self._observers):
            observer(self, seam, subject)


class GatedObjectApi(ObjectApi):
    """The client of the object API in one process."""

    def __init__(self, inner: InProcessObjectApi, gate: Gate) -> None:
        self.inner = inner
        self._gate = gate

    @property
    def store(self) -> ObjectStore:
        """Return the store that it uses."""
        return self.inner.store

    @property
    def cut(self) -> bool:
        """Whether only this process is disconnected from the store."""
        return self.inner.cut

    @cut.setter
    def cut(self, cut: bool) -> None:
        self.inner.cut = cut

    async def get(self, kind: ObjectKind, name: str) -> StoredObject | None:
        """Return one object; None if it does not exist."""
        return await self._gate.call(lambda: self.inner.get(kind, name))

    async def list(self, kind: ObjectKind) -> list[StoredObject]:
        """Return all objects of a kind."""
        return await self._gate.call(lambda: self.inner.list(kind))

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
        """Watch the changes of a kind."""
        await self._gate.wait()
        async with self.inner.watch(kind, since, duration_s) as changes:
            yield self._changes(changes)

    async def _changes(self, changes: AsyncIterator[WatchChange]) -> AsyncIterator[WatchChange]:
        async for change in changes:
            await self._gate.wait()
            yield change

    async def _write(self, write: Write, call: Callable[[], Awaitable[T]]) -> T:
        result = await self._gate.call(lambda: self._gate.send(Seam.STORE_WRITE, write, call))
        await self._gate.notify(Seam.STORE_WRITTEN, write)
        return result
