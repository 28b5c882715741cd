"""One connection to an upstream: sends a request, reads its answer, and knows when it is spoilt."""

import socket

import h11
import trio

from egretstack.http1._messages import RequestHead, ResponseHead
from egretstack.http1._sockets import is_untouched, open_connection

READ_BYTES = 65_536
MAX_HEAD_BYTES = 65_536
"""Largest head of an answer; more is taken as garbage."""


class ConnectFailed(Exception):
    """No connection came about, so not one byte of the request left."""


class UpstreamBroken(Exception):
    """The connection ended or spoke nonsense; a request sent on it may have run."""


class UpstreamConnection:
    """An open connection with at most one request in progress."""

    def __init__(self, stream: trio.SocketStream, raw: socket.socket, address: str) -> None:
        self.address = address
        self.request_count = 0
        self.idle_since_s = 0.0
        self.idle_limit_s: float | None = None
        """How long the other side keeps it open while idle, as told in `Keep-Alive`."""
        self._stream = stream
        self._raw = raw
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._sending = True

    async def send(self, head: RequestHead, body: bytes) -> None:
        """Send a whole request. Raises UpstreamBroken.

        It may run beside `read_head` and `read_body`: an upstream may answer before it has read a
        long body, and goes on reading the rest of that body.
        """
        self.request_count += 1
        self._sending = True
        request = h11.Request(method=head.method, target=head.target, headers=list(head.headers))
        try:
            # An upstream that closes at once may be seen by the reader before this runs; h11 then
            # takes no request any more.
            parts = [self._http.send(request)]
            if body:
                parts.append(self._http.send(h11.Data(data=body)))
            parts.append(self._http.send(h11.EndOfMessage()))
            await self._stream.send_all(b"".join(parts))
        except h11.LocalProtocolError as error:
            raise UpstreamBroken(f"closed before the request: {error}") from error
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise UpstreamBroken(f"while sending: {error!r}") from error
        self._sending = False

    async def read_head(self) -> ResponseHead:
        """Read the head of the answer. Raises UpstreamBroken."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                headers = tuple((bytes(name), bytes(value)) for name, value in event.headers)
                return ResponseHead(event.status_code, bytes(event.reason), headers)
            if not isinstance(event, h11.InformationalResponse):
                raise UpstreamBroken("closed before an answer")

    async def read_body(self) -> bytes | None:
        """Read the next bytes of the answer's body; None at its proper end.

        Raises UpstreamBroken if the body ends before it is whole.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise UpstreamBroken("closed within an answer")

    def is_reusable(self) -> bool:
        """Tell whether a further request may go out after the answer was read whole.

        Bytes beyond the answer belong to no request: on a connection that has some, the next
        request would get them as its answer.
        """
        done = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        return done and not self._sending and not self._http.trailing_data[0]

    def start_next(self, now_s: float) -> None:
        """Make ready for a further request."""
        self._http.start_next_cycle()
        self.idle_since_s = now_s

    def is_fresh(self, now_s: float, most_idle_s: float) -> bool:
        """Tell whether the idle connection may still be used."""
        limit = most_idle_s if self.idle_limit_s is None else min(most_idle_s, self.idle_limit_s)
        return now_s - self.idle_since_s < limit and is_untouched(self._raw)

    def close(self) -> None:
        """Close at once; an upstream at work sees that its caller left."""
        self._stream.socket.close()

    async def _next_event(self) -> h11.Event | type:
        try:
            while True:
                event = self._http.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self._http.receive_data(await self._stream.receive_some(READ_BYTES))
        except h11.RemoteProtocolError as error:
            raise UpstreamBroken(f"not an answer: {error}") from error
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise UpstreamBroken(f"while reading: {error!r}") from error


async def connect_upstream(address: str, timeout_s: float) -> UpstreamConnection:
    """Connect to `HOST:PORT`. Raises ConnectFailed."""
    host, _, port = address.rpartition(":")
    try:
        with trio.fail_after(timeout_s):
            stream, raw = await open_connection(host, int(port))
    except (OSError, ValueError, trio.TooSlowError) as error:
        raise ConnectFailed(f"{address}: {error!r}") from error
    return UpstreamConnection(stream, raw, address)
