"""The end of a tunnel at the helper, which passes bytes between an instance and a runner."""

import socket

import trio

from egretstack.detour._wire import (
    END_FRAME,
    MAX_FRAME_BYTES,
    decode_request,
    encode_frame,
    request_length,
)
from egretstack.http1 import USER_TIMEOUT_MS, Link, reset_on_close

CLOSE_TIMEOUT_S = 2.0
"""How long a tunnel stays open after its runner has closed, for the instance to read the rest."""


async def read_request(stream: trio.SocketStream) -> tuple[str, float, bytes] | None:
    """Read a request for a tunnel: the runner's address, the time to connect, and later bytes.

    Returns None if the instance closed before. Raises BadTunnelRequest, trio.BrokenResourceError.
    """
    data = bytearray()
    while (length := request_length(data)) is None or len(data) < length:
        received = await stream.receive_some(MAX_FRAME_BYTES)
        if not received:
            return None
        data += received
    return (*decode_request(bytes(data[:length])), bytes(data[length:]))


async def carry(stream: trio.SocketStream, runner: Link, first: bytes) -> int:
    """Pass bytes on until either side ends; return how many came from the runner.

    `first` is what the instance has sent already.
    """
    carried = _Carried()
    # The instance may be lost behind a partition, which would never end the runner's work.
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_to_runner, stream, runner, first, carried, nursery.cancel_scope)
            await _to_instance(runner, stream, carried)
            if carried.runner_has_closed:
                await trio.sleep(CLOSE_TIMEOUT_S)
            nursery.cancel_scope.cancel()
    finally:
        runner.close()
        if not carried.runner_has_closed:
            reset_on_close(stream)
        stream.socket.close()
    return carried.from_runner


class _Carried:
    """What one tunnel has carried."""

    def __init__(self) -> None:
        self.from_runner = 0
        """Bytes."""
        self.runner_has_closed = False


async def _to_runner(
    stream: trio.SocketStream,
    runner: Link,
    first: bytes,
    carried: _Carried,
    scope: trio.CancelScope,
) -> None:
    """Pass the instance's bytes on; once it closes, the tunnel ends."""
    try:
        if first:
            await runner.send_all(first)
        while data := await stream.receive_some(MAX_FRAME_BYTES):
            try:
                await runner.send_all(data)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                # A runner may answer and close before it has read all of a long request.
                continue
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        pass  # The instance is gone, which ends the tunnel just as its close does.
    scope.cancel()


async def _to_instance(runner: Link, stream: trio.SocketStream, carried: _Carried) -> None:
    """Pass the runner's bytes on, and its close, but not a reset."""
    try:
        while data := await runner.receive_some(MAX_FRAME_BYTES):
            carried.from_runner += len(data)
            await stream.send_all(encode_frame(data))
        carried.runner_has_closed = True
        await stream.send_all(END_FRAME)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return
