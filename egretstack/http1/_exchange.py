"""One request and its complete response, for callers that neither stream nor stop early."""

import trio

from egretstack.http1._client import UpstreamBroken, UpstreamConnection
from egretstack.http1._messages import RequestHead, ResponseHead, first_value

_KEEP_ALIVE = b"keep-alive"
_TIMEOUT = b"timeout="
_IDLE_MARGIN_S = 0.5
"""Subtracted from an upstream's own limit: a request sent just before it closes would be reset."""


class AnswerTooLarge(UpstreamBroken):
    """The response body exceeds the size that its reader accepts."""


async def exchange(
    connection: UpstreamConnection, head: RequestHead, body: bytes, max_bytes: int
) -> tuple[ResponseHead, bytes]:
    """Send a request and read its complete response. Raises UpstreamBroken.

    A failure while sending is not final: an upstream that rejects a long request responds before it
    has read all of it, and closes.
    """
    failure: UpstreamBroken | None = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_send, connection, head, body)
        try:
            response = await _read(connection, max_bytes)
        except UpstreamBroken as error:
            failure = error
        nursery.cancel_scope.cancel()
    if failure is not None:
        raise failure
    connection.idle_limit_s = _idle_limit_s(response[0])
    return response


async def _send(connection: UpstreamConnection, head: RequestHead, body: bytes) -> None:
    try:
        await connection.send(head, body)
    except UpstreamBroken:
        return  # The reader sees the same failure, or the response that came before it.


async def _read(connection: UpstreamConnection, max_bytes: int) -> tuple[ResponseHead, bytes]:
    head = await connection.read_head()
    body = bytearray()
    while (data := await connection.read_body()) is not None:
        body += data
        if len(body) > max_bytes:
            raise AnswerTooLarge(f"more than {max_bytes} bytes")
    return head, bytes(body)


def _idle_limit_s(head: ResponseHead) -> float | None:
    keep_alive = first_value(head.headers, _KEEP_ALIVE)
    if keep_alive is None:
        return None
    for part in keep_alive.split(b","):
        name, found, seconds = part.strip().partition(_TIMEOUT)
        if found and not name and seconds.isdigit():
            return max(0.0, int(seconds) - _IDLE_MARGIN_S)
    return None
