"""Hands the configuration in force to a peer: whoever connects gets it, as one msgpack value.

It is compressed: 840 routes are some 0.19 MB as text. Of twenty instances that fetched so many from
one of them at once, over its link of 10 Mbit/s, seventeen ran out of time and began again, 54 times
in all, and nine had them more than 3 s late.
"""

import zlib

import msgpack
import trio

from egretstack.http1 import open_connection

TRANSFER_TIMEOUT_S = 1.0
MAX_BYTES = 4_194_304
"""Several times the largest object that the store holds."""
_COMPRESSION_LEVEL = 1
"""The fastest: rows of a configuration are so alike that a higher one gains little."""


def pack_text(text: bytes) -> bytes:
    """Give what peers get for a text; made once for all of them."""
    return msgpack.packb(zlib.compress(text, _COMPRESSION_LEVEL))


async def send_packed(stream: trio.SocketStream, packed: bytes) -> None:
    """Send a packed text and close. A peer that leaves early asks again if it still needs it."""
    with trio.move_on_after(TRANSFER_TIMEOUT_S):
        async with stream:
            try:
                await stream.send_all(packed)
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
                async for chunk in stream:
                    data += chunk
                    if len(data) > MAX_BYTES:
                        raise OSError("a configuration too large")
        return unpack_text(bytes(data))
    except (trio.BrokenResourceError, trio.TooSlowError, ValueError) as error:
        raise OSError(repr(error)) from error


def unpack_text(data: bytes) -> bytes:
    """Give the text that was packed. Raises ValueError, also for one that would be too large."""
    compressed = msgpack.unpackb(data)
    if not isinstance(compressed, bytes):
        raise ValueError("not a configuration")
    inflater = zlib.decompressobj()
    try:
        text = inflater.decompress(compressed, MAX_BYTES)
    except zlib.error as error:
        raise ValueError(f"not compressed: {error}") from error
    if not inflater.eof:
        raise ValueError("a configuration cut short, or too large")
    return text
