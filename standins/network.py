"""A simulated network in one process: listeners, streams, and cut connections between hosts."""

from collections.abc import Awaitable, Callable

import trio
from trio.testing import memory_stream_pair

Handler = Callable[[trio.abc.Stream], Awaitable[None]]


class _NetworkStream(trio.abc.Stream):
    """One end of a stream; data sent while its direction is cut is lost without an error."""

    def __init__(self, inner: trio.abc.Stream, network: "Network", source: str, target: str):
        self._inner = inner
        self._network = network
        self._direction = (source, target)
        self._number = network.opened
        network.opened += 1

    async def send_all(self, data: bytes) -> None:
        """Send data, or lose it if the direction is cut or the stream is silenced."""
        if self._direction not in self._network.cuts and not self._is_silenced():
            await self._inner.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Do nothing; a memory stream never blocks."""

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive data."""
        return await self._inner.receive_some(max_bytes)

    async def aclose(self) -> None:
        """Close; the other end notices it unless the direction is cut or the stream is silenced."""
        if self._direction in self._network.cuts or self._is_silenced():
            await trio.lowlevel.checkpoint()
            return
        await self._inner.aclose()

    def _is_silenced(self) -> bool:
        return self._number < self._network.silenced_below


class Network:
    """Connects hosts by IP address; data from source to target is lost for each pair in `cuts`."""

    def __init__(self) -> None:
        self.cuts: set[tuple[str, str]] = set()
        self.opened = 0
        self.silenced_below = 0
        self._listeners: dict[tuple[str, int], tuple[Handler, trio.Nursery]] = {}

    def cut(self, first: str, second: str) -> None:
        """Cut both directions between two hosts."""
        self.cuts |= {(first, second), (second, first)}

    def silence_open_streams(self) -> None:
        """Lose all data sent over currently open streams, without an error; new streams work."""
        self.silenced_below = self.opened

    def heal(self) -> None:
        """Remove every cut."""
        self.cuts.clear()

    async def serve(
        self, handler: Handler, host: str, port: int, task_status: trio.TaskStatus[object]
    ) -> None:
        """Accept streams at an address until cancelled."""
        async with trio.open_nursery() as nursery:
            self._listeners[host, port] = (handler, nursery)
            task_status.started()
            try:
                await trio.sleep_forever()
            finally:
                del self._listeners[host, port]

    async def connect(self, source: str, host: str, port: int) -> trio.abc.Stream:
        """Open a stream; it hangs if a direction is cut.

        Raises ConnectionRefusedError if nothing listens at the address.
        """
        if (source, host) in self.cuts or (host, source) in self.cuts:
            await trio.sleep_forever()
        if (host, port) not in self._listeners:
            raise ConnectionRefusedError(f"{host}:{port}")
        handler, nursery = self._listeners[host, port]
        client_end, server_end = memory_stream_pair()
        nursery.start_soon(
            _serve_connection, handler, _NetworkStream(server_end, self, host, source)
        )
        return _NetworkStream(client_end, self, source, host)


async def _serve_connection(handler: Handler, stream: trio.abc.Stream) -> None:
    try:
        await handler(stream)
    finally:
        # A server closes the connection when its handler ends, and the operating system closes
        # that of a killed process: the other end notices it and does not wait for an answer.
        with trio.CancelScope(shield=True):
            await stream.aclose()
