"""A network stand-in inside one process: listeners, streams, and cuts between hosts."""

from collections.abc import Awaitable, Callable

import trio
from trio.testing import memory_stream_pair

Handler = Callable[[trio.abc.Stream], Awaitable[None]]


class _CutStream(trio.abc.Stream):
    """One end of a stream; what is sent while the way is cut is lost without a sign."""

    def __init__(self, inner: trio.abc.Stream, network: "Network", source: str, target: str):
        self._inner = inner
        self._network = network
        self._way = (source, target)
        self._opened = network.opened
        network.opened += 1

    async def send_all(self, data: bytes) -> None:
        """Send, or lose."""
        if self._way not in self._network.cuts and not self._is_silent():
            await self._inner.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Do nothing; a memory stream never blocks."""

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive."""
        return await self._inner.receive_some(max_bytes)

    async def aclose(self) -> None:
        """Close; the other end sees it unless the way is cut."""
        if self._way in self._network.cuts or self._is_silent():
            await trio.lowlevel.checkpoint()
            return
        await self._inner.aclose()

    def _is_silent(self) -> bool:
        return self._opened < self._network.silent_below


class Network:
    """Connects hosts by IP number. A pair (source, target) in `cuts` loses what goes that way."""

    def __init__(self) -> None:
        self.cuts: set[tuple[str, str]] = set()
        self.opened = 0
        self.silent_below = 0
        self._listeners: dict[tuple[str, int], tuple[Handler, trio.Nursery]] = {}

    def cut(self, one: str, other: str) -> None:
        """Cut both ways between two hosts."""
        self.cuts |= {(one, other), (other, one)}

    def silence_open_streams(self) -> None:
        """Lose all that is sent over streams open now, without a sign; new ones work."""
        self.silent_below = self.opened

    def heal(self) -> None:
        """End every cut."""
        self.cuts.clear()

    async def serve(
        self, handler: Handler, host: str, port: int, task_status: trio.TaskStatus[object]
    ) -> None:
        """Serve streams at an address until cancelled."""
        async with trio.open_nursery() as nursery:
            self._listeners[host, port] = (handler, nursery)
            task_status.started()
            try:
                await trio.sleep_forever()
            finally:
                del self._listeners[host, port]

    async def connect(self, source: str, host: str, port: int) -> trio.abc.Stream:
        """Open a stream; a cut way hangs, a host that does not listen refuses."""
        if (source, host) in self.cuts or (host, source) in self.cuts:
            await trio.sleep_forever()
        if (host, port) not in self._listeners:
            raise ConnectionRefusedError(f"{host}:{port}")
        handler, nursery = self._listeners[host, port]
        near, far = memory_stream_pair()
        nursery.start_soon(_serve_one, handler, _CutStream(far, self, host, source))
        return _CutStream(near, self, source, host)


async def _serve_one(handler: Handler, stream: trio.abc.Stream) -> None:
    try:
        await handler(stream)
    finally:
        # A server closes the connection when its handler ends, and the kernel that of a
        # killed process: the other end sees it and does not wait for an answer.
        with trio.CancelScope(shield=True):
            await stream.aclose()
