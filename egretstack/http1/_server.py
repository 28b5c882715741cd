"""One connection from a client: reads requests, sends answers, and sees the client leave."""

from dataclasses import dataclass

import h11
import trio

from egretstack.http1._body_memory import BodyMemory
from egretstack.http1._messages import Headers, RequestHead, ResponseHead
from egretstack.http1._sockets import reset_on_close

READ_BYTES = 65_536
MAX_AHEAD_BYTES = 65_536
"""Bytes of later requests that are taken in while one is answered; then reading stops.

A client that sends on and on would fill memory otherwise. Its close is then seen only once the
answer is sent, which bounds nothing but the work of that one client.
"""
_TRANSFER_ENCODING = b"transfer-encoding"
_CONTENT_LENGTH = b"content-length"
_TOO_LARGE_HEAD = 431
_LINE_EXTRA = 4
"""Colon, space and line end of each header."""


class BadRequest(Exception):
    """What the client sent is no request that can be served; `status` tells how to answer."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


class ClientDisconnected(Exception):
    """The client closed its connection, or it broke."""


class SlowSender(Exception):
    """The client did not send a whole request in the time allowed."""


@dataclass(frozen=True)
class ServerLimits:
    """What a client may send, and how long it may take."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    """Time from the first byte of a request to the end of its head, and between parts of a body."""
    idle_timeout_s: float
    """Time without a request after which the connection is closed."""


class ClientConnection:
    """Serves one request after another on one stream."""

    def __init__(
        self, stream: trio.SocketStream, limits: ServerLimits, body_memory: BodyMemory | None = None
    ) -> None:
        self.limits = limits
        self._room = body_memory
        """Shared with other connections; without one, the limit of each body is the only bound."""
        self._body_bytes = 0
        self._stream = stream
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.header_bytes)
        self._ahead = 0

    async def read_head(self) -> RequestHead | None:
        """Read the head of the next request; None if the client leaves or stays idle instead.

        Raises BadRequest, SlowSender.
        """
        if not await self._wait_for_bytes():
            return None
        try:
            with trio.fail_after(self.limits.header_timeout_s):
                event = await self._next_event()
        except ClientDisconnected:
            return None
        except trio.TooSlowError as error:
            raise SlowSender("the head did not arrive") from error
        if not isinstance(event, h11.Request):
            return None
        head = RequestHead(
            bytes(event.method),
            bytes(event.target),
            tuple((bytes(name), bytes(value)) for name, value in event.headers),
        )
        _refuse_two_framings(head.headers)
        _refuse_large(head, self.limits.header_bytes)
        return head

    async def read_body(self) -> bytes:
        """Read the whole body of the request; it counts in the room until `release_body`.

        Raises BadRequest, ClientGone, SlowSender, NoRoomForBody.
        """
        if self._http.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            await self._send(self._http.send(go_on))
        body = bytearray()
        while True:
            try:
                with trio.fail_after(self.limits.header_timeout_s):
                    event = await self._next_event()
            except trio.TooSlowError as error:
                raise SlowSender("the body did not arrive") from error
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if not isinstance(event, h11.Data):
                raise ClientDisconnected("closed within a request")
            if len(body) + len(event.data) > self.limits.body_bytes:
                raise BadRequest(413, f"a body of more than {self.limits.body_bytes} bytes")
            self._count_body(len(event.data))
            body += event.data

    def release_body(self) -> None:
        """Give back the room of the body; the request is over."""
        if self._room is not None:
            self._room.release(self._body_bytes)
            self._body_bytes = 0

    def _count_body(self, count: int) -> None:
        if self._room is not None:
            self._room.acquire(count)
            self._body_bytes += count

    async def wait_until_disconnected(self) -> None:
        """Return once the client has closed; bytes of later requests are kept for their turn."""
        while self._ahead < MAX_AHEAD_BYTES:
            try:
                data = await self._stream.receive_some(READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return
            if not data:
                return
            self._ahead += len(data)
            self._http.receive_data(data)
        await trio.sleep_forever()

    async def send_response(self, head: ResponseHead, body: bytes) -> None:
        """Send a whole answer. Raises ClientGone."""
        parts = [self._start(head, len(body))]
        if body:
            parts.append(self._http.send(h11.Data(data=body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        await self._send(b"".join(parts))

    async def start_stream(self, head: ResponseHead, body: bytes = b"") -> None:
        """Send the head of an answer of unknown length, and its first bytes. Raises ClientGone."""
        parts = [self._start(head, None)]
        if body:
            parts.append(self._http.send(h11.Data(data=body)))
        await self._send(b"".join(parts))

    async def send_chunk(self, body: bytes) -> None:
        """Send a piece of an answer's body. Raises ClientGone."""
        await self._send(self._http.send(h11.Data(data=body)))

    async def finish_stream(self) -> None:
        """Send the proper end of an answer's body. Raises ClientGone."""
        await self._send(self._http.send(h11.EndOfMessage()))

    async def send_raw(self, data: bytes) -> None:
        """Send bytes as they are, for stand-ins of servers that break the protocol."""
        await self._send(data)

    def abort(self) -> None:
        """Reset the connection: an answer that ends early must not look complete."""
        reset_on_close(self._stream)
        self._stream.socket.close()

    def close(self) -> None:
        """Close the connection."""
        self._stream.socket.close()

    def can_start_response(self) -> bool:
        """Tell whether nothing of an answer to the present request was sent."""
        return self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    def start_next(self) -> bool:
        """Make ready for the next request; False if the connection has to be closed."""
        if self._http.our_state is not h11.DONE or self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        self._ahead = len(self._http.trailing_data[0])
        return True

    async def _wait_for_bytes(self) -> bool:
        if self._http.trailing_data[0]:
            return True
        with trio.move_on_after(self.limits.idle_timeout_s):
            try:
                data = await self._stream.receive_some(READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return False
            self._http.receive_data(data)
            return bool(data)
        return False

    def _start(self, head: ResponseHead, length: int | None) -> bytes:
        headers = [*head.headers]
        if length is not None:
            headers.append((_CONTENT_LENGTH, b"%d" % length))
        return self._http.send(
            h11.Response(status_code=head.status, reason=head.reason, headers=headers)
        )

    async def _next_event(self) -> h11.Event | type:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise _bad_request(error) from error
            if event is not h11.NEED_DATA:
                return event
            try:
                self._http.receive_data(await self._stream.receive_some(READ_BYTES))
            except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                raise ClientDisconnected(repr(error)) from error

    async def _send(self, data: bytes | None) -> None:
        try:
            await self._stream.send_all(data or b"")
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ClientDisconnected(repr(error)) from error


def _refuse_two_framings(headers: Headers) -> None:
    """Refuse a request that tells its length twice: two readers could find two requests in it."""
    names = [name for name, _ in headers]
    if _TRANSFER_ENCODING in names and _CONTENT_LENGTH in names:
        raise BadRequest(400, "both a length and chunks")


def _refuse_large(head: RequestHead, limit: int) -> None:
    """Refuse a head over the limit that came whole; h11 counts only what is not whole yet."""
    size = len(head.method) + len(head.target)
    size += sum(len(name) + len(value) + _LINE_EXTRA for name, value in head.headers)
    if size > limit:
        raise BadRequest(_TOO_LARGE_HEAD, f"a head of more than {limit} bytes")


def _bad_request(error: h11.RemoteProtocolError) -> BadRequest:
    status = error.error_status_hint
    return BadRequest(status if status in (400, _TOO_LARGE_HEAD, 501) else 400, str(error))
