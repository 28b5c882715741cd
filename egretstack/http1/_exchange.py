"""One request and its complete response, for callers that neither stream nor stop early."""

from collections.abc import Awaitable, Callable

import trio

from egretstack.http1._answer_memory import AnswerReservation
from egretstack.http1._client import UpstreamBroken, UpstreamConnection
from egretstack.http1._messages import RequestHead, ResponseHead, first_value

BLOCK_BYTES = 65_536
"""Size of the blocks in which a body is kept while it is read."""
_KEEP_ALIVE = b"keep-alive"
_TIMEOUT = b"timeout="
_MAX_TIMEOUT_DIGITS = 9
_IDLE_MARGIN_S = 0.5
"""Subtracted from an upstream's own limit: a request sent just before it closes would be reset."""


class AnswerTooLarge(UpstreamBroken):
    """The response body exceeds the size that its reader accepts."""


async def exchange(
    connection: UpstreamConnection,
    head: RequestHead,
    body: bytes,
    max_bytes: int,
    memory: AnswerReservation | None = None,
) -> tuple[ResponseHead, bytes]:
    """Send a request and read its complete response. Raises UpstreamBroken.

    A failure while sending is not final: an upstream that rejects a long request responds before it
    has read all of it, and closes. The response is counted in `memory`, if that is given.
    """
    failure: UpstreamBroken | None = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_send, connection, head, body)
        try:
            response = await _read(connection, max_bytes, memory)
        except UpstreamBroken as error:
            failure = error
        nursery.cancel_scope.cancel()
    if failure is not None:
        try:
            raise failure
        finally:
            failure = None  # A cycle with its traceback would keep what was read.
    connection.idle_limit_s = _idle_limit_s(response[0])
    return response


async def _send(connection: UpstreamConnection, head: RequestHead, body: bytes) -> None:
    try:
        await connection.send(head, body)
    except UpstreamBroken:
        return  # The reader sees the same failure, or the response that came before it.


async def _read(
    connection: UpstreamConnection, max_bytes: int, memory: AnswerReservation | None
) -> tuple[ResponseHead, bytes]:
    head = await connection.read_head()
    return head, await read_whole_body(connection.read_body, max_bytes, memory)


async def read_whole_body(
    read: Callable[[], Awaitable[bytes | None]], max_bytes: int, memory: AnswerReservation | None
) -> bytes:
    """Return a response body that is read in pieces, up to None. Raises UpstreamBroken."""
    if memory is None:
        return await _read_pieces(read, max_bytes, lambda size: None)
    before = memory.size
    with memory.reading():
        return await _read_pieces(read, max_bytes, lambda size: memory.resize(before + size))
    raise AssertionError("a body that is not read raises")


async def _read_pieces(
    read: Callable[[], Awaitable[bytes | None]], max_bytes: int, count: Callable[[int], None]
) -> bytes:
    # Blocks that stay where they are: many bodies that grow at once fragment the memory otherwise.
    blocks: list[bytes] = []
    tail = bytearray()
    size = 0
    while (piece := await read()) is not None:
        size += len(piece)
        if size > max_bytes:
            raise AnswerTooLarge(f"more than {max_bytes} bytes")
        count(size)
        tail += piece
        if len(tail) >= BLOCK_BYTES:
            blocks.append(bytes(tail))
            tail = bytearray()
    return b"".join((*blocks, tail))


def _idle_limit_s(head: ResponseHead) -> float | None:
    keep_alive = first_value(head.headers, _KEEP_ALIVE)
    if keep_alive is None:
        return None
    for part in keep_alive.split(b","):
        name, found, seconds = part.strip().partition(_TIMEOUT)
        if found and not name and seconds.isdigit() and len(seconds) <= _MAX_TIMEOUT_DIGITS:
            return max(0.0, int(seconds) - _IDLE_MARGIN_S)
    return None
