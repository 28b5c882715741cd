"""Server side of one client connection, with detection of a client that disconnects."""

from dataclasses import dataclass

import h11
import trio

from egretstack.http1._body_memory import BodyMemory
from egretstack.http1._messages import Headers, RequestHead, ResponseHead
from egretstack.http1._sockets import reset_on_close

READ_BYTES = 65_536
MAX_PIPELINED_BYTES = 65_536
"""Maximum bytes of pipelined requests that are read while a request is served; then reading stops.

Without the limit a client that keeps sending would fill the memory. Once reading has stopped, a
disconnect is noticed only after the response is sent, which prolongs only the work for this client.
"""
MAX_JOINED_BYTES = 65_536
"""Size up to which a body is copied to be sent in one piece with its head."""
_TRANSFER_ENCODING = b"transfer-encoding"
_CONTENT_LENGTH = b"content-length"
_HEAD = b"HEAD"
_CONNECT = b"CONNECT"
_TOO_LARGE_HEAD = 431
_LINE_EXTRA = 4
"""Colon, space and CRLF of each header."""


class BadRequest(Exception):
    """The client's request cannot be served; `status` is the status of the response."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


class ClientDisconnected(Exception):
    """The client closed its connection, or the connection broke."""


class SlowSender(Exception):
    """The client did not send a complete request within the timeout."""


@dataclass(frozen=True)
class ServerLimits:
    """Size limits and timeouts for client requests."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    """Time from the first byte of a request to the end of its head, and between reads of a body."""
    idle_timeout_s: float
    """Time without a request after which the connection is closed."""


class ClientConnection:
    """Serves one request after another on one stream."""

    def __init__(
        self, stream: trio.SocketStream, limits: ServerLimits, body_memory: BodyMemory | None = None
    ) -> None:
        self.limits = limits
        self._body_memory = body_memory
        """Shared with other connections; if None, only the size of each body is limited."""
        self._body_bytes = 0
        self._stream = stream
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.header_bytes)
        self._sends_bodies = True
        """Whether the response to the current request may have a body; that to a HEAD has none."""
        self._pipelined_bytes = 0

    async def read_head(self) -> RequestHead | None:
        """Read the head of the next request; None if the client disconnects or stays idle.

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
        self._sends_bodies = event.method != _HEAD
        head = RequestHead(
            bytes(event.method),
            bytes(event.target),
            tuple((bytes(name), bytes(value)) for name, value in event.headers),
        )
        if head.method == _CONNECT:
            raise BadRequest(501, "CONNECT is not supported")
        _reject_two_framings(head.headers)
        _reject_large_head(head, self.limits.header_bytes)
        return head

    async def read_body(self) -> bytes:
        """Read the complete request body; it counts in the body memory until `release_body`.

        Raises BadRequest, ClientDisconnected, SlowSender, BodyMemoryFull.
        """
        if self._http.they_are_waiting_for_100_continue:
            response = h11.InformationalResponse(status_code=100, headers=[])
            await self._send(self._http.send(response))
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
        """Release the memory of the request body; the request has ended."""
        if self._body_memory is not None:
            self._body_memory.release(self._body_bytes)
            self._body_bytes = 0

    def _count_body(self, count: int) -> None:
        if self._body_memory is not None:
            self._body_memory.acquire(count)
            self._body_bytes += count

    async def wait_until_disconnected(self) -> None:
        """Return once the client has disconnected; bytes of pipelined requests are kept."""
        while self._pipelined_bytes < MAX_PIPELINED_BYTES:
            try:
                data = await self._stream.receive_some(READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return
            if not data:
                return
            self._pipelined_bytes += len(data)
            self._http.receive_data(data)
        await trio.sleep_forever()

    async def send_response(self, head: ResponseHead, body: bytes) -> None:
        """Send a complete response, only its head to a HEAD request. Raises ClientDisconnected."""
        parts = [self._start(head, len(body)), self._body(body)]
        parts.append(self._http.send(h11.EndOfMessage()) or b"")
        if len(body) <= MAX_JOINED_BYTES:
            parts = [b"".join(parts)]
        for part in parts:
            await self._send(part)

    async def start_stream(self, head: ResponseHead, body: bytes = b"") -> None:
        """Send the head of a response of unknown length and its first bytes.

        Raises ClientDisconnected.
        """
        await self._send(self._start(head, None) + self._body(body))

    async def send_chunk(self, body: bytes) -> None:
        """Send a piece of a response body. Raises ClientDisconnected."""
        await self._send(self._body(body))

    async def finish_stream(self) -> None:
        """End a response body normally. Raises ClientDisconnected."""
        await self._send(self._http.send(h11.EndOfMessage()))

    async def send_raw(self, data: bytes) -> None:
        """Send raw bytes, for test servers that violate the protocol."""
        await self._send(data)

    def abort(self) -> None:
        """Reset the connection, so that a truncated response cannot look complete."""
        reset_on_close(self._stream)
        self._stream.socket.close()

    def close(self) -> None:
        """Close the connection."""
        self._stream.socket.close()

    def can_start_response(self) -> bool:
        """Return whether no part of a response to the current request was sent."""
        return self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    def start_next(self) -> bool:
        """Prepare for the next request; return False if the connection has to be closed."""
        if self._http.our_state is not h11.DONE or self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        self._sends_bodies = True
        self._pipelined_bytes = len(self._http.trailing_data[0])
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

    def _body(self, data: bytes) -> bytes:
        """Return a piece of the body as it is sent."""
        return self._http.send(h11.Data(data=data)) if data and self._sends_bodies else b""

    def _start(self, head: ResponseHead, length: int | None) -> bytes:
        headers = [*head.headers]
        # The length of what a runner would send to a GET is not known from its answer to a HEAD.
        if length is not None and (length or self._sends_bodies):
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


def _reject_two_framings(headers: Headers) -> None:
    """Reject a request with two body lengths: servers could find different requests in it."""
    names = [name for name, _ in headers]
    if _TRANSFER_ENCODING in names and _CONTENT_LENGTH in names:
        raise BadRequest(400, "both a length and chunks")


def _reject_large_head(head: RequestHead, limit: int) -> None:
    """Reject a complete head over the limit; h11 limits only heads that are incomplete."""
    size = len(head.method) + len(head.target)
    size += sum(len(name) + len(value) + _LINE_EXTRA for name, value in head.headers)
    if size > limit:
        raise BadRequest(_TOO_LARGE_HEAD, f"a head of more than {limit} bytes")


def _bad_request(error: h11.RemoteProtocolError) -> BadRequest:
    status = error.error_status_hint
    return BadRequest(status if status in (400, _TOO_LARGE_HEAD, 501) else 400, str(error))
