"""The end of a tunnel at the instance that needs it."""

import socket

import trio

from egretstack.detour._wire import FrameReader, TunnelOutcome, encode_request
from egretstack.http1 import Link, is_open_and_quiet, open_connection


class TunnelRefused(Exception):
    """A helper has not connected to the runner; nothing was sent to it.

    `outcome` is None if the helper itself did not answer.
    """

    def __init__(self, outcome: TunnelOutcome | None, detail: str) -> None:
        super().__init__(detail if outcome is None else outcome.name.lower())
        self.outcome = outcome


class TunnelLink(Link):
    """A connection to a runner through a helper."""

    def __init__(self, stream: trio.SocketStream, raw: socket.socket) -> None:
        self._stream = stream
        self._raw = raw
        self._frames = FrameReader()

    async def send_all(self, data: bytes) -> None:
        """Send data to the runner."""
        await self._stream.send_all(data)

    async def receive_some(self, max_bytes: int) -> bytes:
        """Receive data of the runner; empty once it has closed its connection.

        Raises trio.BrokenResourceError also if the helper closed without saying that.
        """
        while True:
            try:
                data = self._frames.next()
            except ValueError as error:
                raise trio.BrokenResourceError(str(error)) from error
            if data is not None:
                return data
            received = await self._stream.receive_some(max_bytes)
            if not received:
                raise trio.BrokenResourceError("the helper closed the tunnel")
            self._frames.feed(received)

    def is_open_and_quiet(self) -> bool:
        """Return whether the tunnel is open and has no bytes to read."""
        return self._frames.is_empty and is_open_and_quiet(self._raw)

    def close(self) -> None:
        """Close the tunnel; the helper closes the connection to the runner."""
        self._stream.socket.close()


async def open_tunnel(
    helper: tuple[str, int], address: str, connect_s: float, answer_s: float
) -> TunnelLink:
    """Open a tunnel through a helper, given by host and port, to a runner's address.

    The helper gets `connect_s` to connect; in all it may take `answer_s`. Raises TunnelRefused.
    """
    raw = None
    try:
        with trio.fail_after(answer_s):
            stream, raw = await open_connection(*helper)
            await stream.send_all(encode_request(address, connect_s))
            answer = await stream.receive_some(1)
        outcome = TunnelOutcome(answer[0]) if answer else None
    except BaseException as error:
        if raw is not None:
            stream.socket.close()
        if isinstance(error, OSError | trio.TooSlowError | trio.BrokenResourceError | ValueError):
            raise TunnelRefused(None, repr(error)) from error
        raise
    if outcome is not TunnelOutcome.CONNECTED:
        stream.socket.close()
        raise TunnelRefused(outcome, "closed without an answer")
    return TunnelLink(stream, raw)
