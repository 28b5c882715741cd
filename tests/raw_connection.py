"""Connections on which tests send raw bytes."""

import trio

from tests.platform_site import WAIT_S


async def exchange_raw(address: str, data: bytes) -> bytes:
    """Send bytes to HOST:PORT; return all that comes until the connection is closed or reset."""
    host, _, port = address.rpartition(":")
    received = b""
    with trio.fail_after(WAIT_S):
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            try:
                await stream.send_all(data)
                while more := await stream.receive_some(65_536):
                    received += more
            except trio.BrokenResourceError:
                pass
    return received
