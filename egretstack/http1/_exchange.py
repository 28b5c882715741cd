"""One request and its whole answer, for callers that want neither streaming nor early ends."""

import trio

from egretstack.http1._client import UpstreamBroken, UpstreamConnection
from egretstack.http1._messages import RequestHead, ResponseHead, first_value

_KEEP_ALIVE = b"keep-alive"
_TIMEOUT = b"timeout="
_IDLE_MARGIN_S = 0.5
"""Taken off an upstream's own limit: a request sent just before it closes would be reset."""


class ResponseTooLarge(UpstreamBroken):
    """The answer's body goes beyond what its reader accepts."""


async def exchange(
    connection: UpstreamConnection, head: RequestHead, body: bytes, max_bytes: int
) -> tuple[ResponseHead, bytes]:
    """Send a request and read its answer whole. Raises UpstreamBroken.

    A break while sending is not the end: an upstream that rejects a long request answers before it
    has read it, and closes.
    """
    broken: UpstreamBroken | None = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_send, connection, head, body)
        try:
            answer = await _read(connection, max_bytes)
        except UpstreamBroken as error:
            broken = error
        nursery.cancel_scope.cancel()
    if broken is not None:
        raise broken
    connection.idle_limit_s = _idle_limit_s(answer[0])
    return answer


async def _send(connection: UpstreamConnection, head: RequestHead, body: bytes) -> None:
    try:
        await connection.send(head, body)
    except UpstreamBroken:
        return  # The reader sees the same break, or the answer that came before it.


async def _read(connection: UpstreamConnection, most_bytes: int) -> tuple[ResponseHead, bytes]:
    head = await connection.read_head()
    body = bytearray()
    while (data := await connection.read_body()) is not None:
        body += data
        if len(body) > most_bytes:
            raise ResponseTooLarge(f"more than {most_bytes} bytes")
    return head, bytes(body)


def _idle_limit_s(head: ResponseHead) -> float | None:
    told = first_value(head.headers, _KEEP_ALIVE)
    if told is None:
        return None
    for part in told.split(b","):
        name, found, seconds = part.strip().partition(_TIMEOUT)
        if found and not name and seconds.isdigit():
            return max(0.0, int(seconds) - _IDLE_MARGIN_S)
    return None
