"""Cuts the links between one entry and all runners, and lets runners fall silent.

It serves entries that run in one process.
An entry's tasks are told apart from those of others by a context variable, so that a cut holds for
one entry while others, the store and clients are not affected.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from enum import Enum
from unittest.mock import patch

import trio

from egretstack.http1 import _client
from egretstack.http1._sockets import open_connection

_entry: ContextVar[str] = ContextVar("entry", default="")


class LinkCut(Enum):
    """How an entry loses its runners."""

    RESET = "reset"
    """Open connections are reset, and new ones are refused."""
    DROPPED = "dropped"
    """Nothing arrives in either direction; new connections hang."""
    NEW_REFUSED = "new-refused"
    """Open connections live on, and new ones are refused."""


class RunnerLinks:
    """The links of all entries to the runners; `is_runner` tells a runner's host from others."""

    def __init__(self, is_runner: Callable[[str], bool]) -> None:
        self._is_runner = is_runner
        self._cut_by_entry: dict[str, LinkCut] = {}
        self._silent: set[str] = set()
        """Runners that are silent now, as `HOST:PORT`."""
        self._spoke = trio.Event()
        self._open: set[_CuttableStream] = set()
        self.connects_by_entry: dict[str, int] = {}
        """Number of connections that each entry has opened to runners."""

    @contextmanager
    def installed(self) -> Iterator[None]:
        """Carry all connections to upstreams while the context lasts."""
        with patch.object(_client, "open_connection", self.open_connection):
            yield

    @staticmethod
    def enter(entry: str) -> None:
        """Count the connections of this task and of those that it starts as an entry's."""
        _entry.set(entry)

    def cut(self, entry: str, how: LinkCut) -> None:
        """Cut an entry off from all runners."""
        self._cut_by_entry[entry] = how
        self._notify(entry)

    def heal(self, entry: str) -> None:
        """End a cut; what it held up arrives now."""
        self._cut_by_entry.pop(entry, None)
        self._notify(entry)

    def silence(self, runner: str) -> None:
        """Let a runner fall silent; new connections to it hang."""
        self._silent.add(runner)
        self._notify_all()

    def end_silence(self, runner: str) -> None:
        """Let a runner go on; what was held up arrives now."""
        self._silent.discard(runner)
        self._spoke.set()
        self._spoke = trio.Event()
        self._notify_all()

    def holds_up(self, entry: str, runner: str) -> bool:
        """Return whether nothing passes between an entry and a runner now."""
        return runner in self._silent or self.cut_of(entry) is LinkCut.DROPPED

    def cut_of(self, entry: str) -> LinkCut | None:
        """Return how an entry is cut off now; None if it is not."""
        return self._cut_by_entry.get(entry)

    def forget(self, stream: "_CuttableStream") -> None:
        """Forget a closed connection."""
        self._open.discard(stream)

    def _notify_all(self) -> None:
        for stream in list(self._open):
            stream.on_change()

    def _notify(self, entry: str) -> None:
        for stream in [one for one in self._open if one.entry == entry]:
            stream.on_change()

    async def open_connection(self, host: str, port: int):
        """Open a connection, if it is not cut."""
        entry = _entry.get()
        if not entry or not self._is_runner(host):
            return await open_connection(host, port)
        cut = self.cut_of(entry)
        if cut is LinkCut.DROPPED:
            await trio.sleep_forever()
        if cut is not None:
            await trio.lowlevel.checkpoint()
            raise ConnectionRefusedError(f"{host}:{port}")
        while f"{host}:{port}" in self._silent:
            await self._spoke.wait()
        stream, raw = await open_connection(host, port)
        self.connects_by_entry[entry] = self.connects_by_entry.get(entry, 0) + 1
        carried = _CuttableStream(self, entry, f"{host}:{port}", stream)
        self._open.add(carried)
        return carried, raw


class _CuttableStream:
    """A connection of an entry to a runner."""

    def __init__(
        self, links: RunnerLinks, entry: str, runner: str, stream: trio.SocketStream
    ) -> None:
        self.entry = entry
        self._runner = runner
        self._links = links
        self._stream = stream
        self._is_reset = False
        self._changed = trio.Event()
        self._scopes: set[trio.CancelScope] = set()

    @property
    def socket(self) -> "_CuttableStream":
        """What `close` is called on."""
        return self

    def close(self) -> None:
        """Close the connection."""
        self._links.forget(self)
        self._stream.socket.close()

    def on_change(self) -> None:
        """Apply the entry's cut."""
        self._is_reset = self._is_reset or self._links.cut_of(self.entry) is LinkCut.RESET
        for scope in self._scopes:
            scope.cancel()
        self._changed.set()
        self._changed = trio.Event()

    async def send_all(self, data: bytes) -> None:
        """Send data once it can arrive."""
        await self._until_carried()
        await self._stream.send_all(data)

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive data."""
        while True:
            await self._until_carried()
            scope = trio.CancelScope()
            self._scopes.add(scope)
            try:
                with scope:
                    return await self._stream.receive_some(max_bytes)
            finally:
                self._scopes.discard(scope)

    async def _until_carried(self) -> None:
        while not self._is_reset and self._links.holds_up(self.entry, self._runner):
            await self._changed.wait()
        if self._is_reset:
            raise trio.BrokenResourceError("reset by a cut")
