"""Hands the configuration in force to a peer: whoever connects gets it, as one msgpack value."""

import msgpack
import trio

from egretstack.http1 import open_connection

TRANSFER_TIMEOUT_S = 1.0
MAX_BYTES = 4_194_304
"""Several times the largest object that the store holds."""


async def give_text(stream: trio.SocketStream, text: bytes) -> None:
    """Send the text and close. A peer that leaves early asks again if it still needs it."""
    with trio.move_on_after(TRANSFER_TIMEOUT_S):
        async with stream:
            try:
                await stream.send_all(msgpack.packb(text))
            except trio.BrokenResourceError:
                return


async def fetch_text(address: str) -> bytes:
    """Fetch a peer's text. Raises OSError, also where the peer sent nothing that can be read."""
    host, _, port = address.rpartition(":")
    data = bytearray()
    try:
        with trio.fail_after(TRANSFER_TIMEOUT_S):
            stream, _ = await open_connection(host, int(port))
            async with stream:
                async for part in stream:
                    data += part
                    if len(data) > MAX_BYTES:
                        raise OSError("a configuration too large")
        text = msgpack.unpackb(bytes(data))
    except (trio.BrokenResourceError, trio.TooSlowError, ValueError) as error:
        raise OSError(repr(error)) from error
    if not isinstance(text, bytes):
        raise OSError("not a configuration")
    return text
