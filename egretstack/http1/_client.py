"""Client side of one connection to an upstream."""

from abc import ABC, abstractmethod

import h11
import trio

from egretstack.http1._messages import RequestHead, ResponseHead
from egretstack.http1._sockets import Link, SocketLink, open_connection

READ_BYTES = 65_536
_FRAMING = frozenset({b"content-length", b"transfer-encoding"})
_HEAD = b"HEAD"
MAX_HEAD_BYTES = 65_536
"""Maximum size of a response head; a larger one is treated as invalid."""

MAX_INTERIM_ANSWERS = 16
"""Interim responses (1xx) that may come before a response; a sound upstream sends one or two."""


class ConnectFailed(Exception):
    """No connection was established, so no byte of the request was sent."""


class NotReached(ConnectFailed):
    """No connection was established, and it is not known whether the upstream accepts any."""


class UpstreamBroken(Exception):
    """The connection ended or violated the protocol; a request sent on it may have run."""


class UpstreamConnection:
    """An open connection with at most one request in progress."""

    def __init__(self, link: Link, address: str) -> None:
        self.address = address
        self.request_count = 0
        self.idle_since_s = 0.0
        self.idle_limit_s: float | None = None
        """How long the upstream keeps an idle connection open, from its `Keep-Alive` header."""
        self.is_unframed = False
        """Whether the response has neither a length nor chunks, and ends with the connection."""
        self._link = link
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._sending = True
        self._expects_body = True
        """Whether the response to the latest request may have a body; that to a HEAD has none."""

    async def send(self, head: RequestHead, body: bytes) -> None:
        """Send a complete request. Raises UpstreamBroken.

        May run concurrently with `read_head` and `read_body`: an upstream may respond before it
        has read all of a long body, and continues to read the rest of it.
        """
        self.request_count += 1
        self._sending = True
        self._expects_body = head.method != _HEAD
        if self._http.their_state is not h11.IDLE:
            raise UpstreamBroken("answered or closed before the request")
        request = h11.Request(method=head.method, target=head.target, headers=list(head.headers))
        try:
            # If the upstream closes immediately, the reader may see that before this runs; h11 then
            # accepts no request any more.
            parts = [self._http.send(request)]
            if body:
                parts.append(self._http.send(h11.Data(data=body)))
            parts.append(self._http.send(h11.EndOfMessage()))
            await self._link.send_all(b"".join(parts))
        except h11.LocalProtocolError as error:
            raise UpstreamBroken(f"closed before the request: {error}") from error
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise UpstreamBroken(f"while sending: {error!r}") from error
        self._sending = False

    async def read_head(self) -> ResponseHead:
        """Read the response head. Raises UpstreamBroken."""
        for _ in range(MAX_INTERIM_ANSWERS + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                headers = tuple((bytes(name), bytes(value)) for name, value in event.headers)
                names = {name for name, _ in headers}
                self.is_unframed = self._expects_body and names.isdisjoint(_FRAMING)
                return ResponseHead(event.status_code, bytes(event.reason), headers)
            if not isinstance(event, h11.InformationalResponse):
                raise UpstreamBroken("closed before an answer")
        raise UpstreamBroken(f"more than {MAX_INTERIM_ANSWERS} interim answers")

    async def read_body(self) -> bytes | None:
        """Read the next bytes of the response body; return None at its end.

        Raises UpstreamBroken if the body ends before it is complete.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise UpstreamBroken("closed within an answer")

    @property
    def has_sent(self) -> bool:
        """Whether the latest request was sent completely."""
        return not self._sending

    def is_reusable(self) -> bool:
        """Return whether another request may be sent after the response was read completely.

        Bytes after the response belong to no request; on a connection that has some, the next
        request would receive them as its response.
        """
        is_done = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        return is_done and not self._sending and not self._http.trailing_data[0]

    def start_next(self, now_s: float) -> None:
        """Prepare for the next request."""
        self._http.start_next_cycle()
        self.idle_since_s = now_s

    def is_fresh(self, now_s: float, max_idle_s: float) -> bool:
        """Return whether the idle connection may still be used."""
        limit_s = max_idle_s if self.idle_limit_s is None else min(max_idle_s, self.idle_limit_s)
        return now_s - self.idle_since_s < limit_s and self._link.is_open_and_quiet()

    def close(self) -> None:
        """Close immediately; an upstream that is still working sees its client disconnect."""
        self._link.close()

    async def _next_event(self) -> h11.Event | type:
        try:
            while True:
                event = self._http.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self._http.receive_data(await self._link.receive_some(READ_BYTES))
        except h11.RemoteProtocolError as error:
            raise UpstreamBroken(f"not an answer: {error}") from error
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise UpstreamBroken(f"while reading: {error!r}") from error


async def connect_link(address: str, timeout_s: float) -> Link:
    """Connect to `HOST:PORT` by TCP. Raises ConnectFailed."""
    host, _, port = address.rpartition(":")
    try:
        with trio.fail_after(timeout_s):
            stream, raw = await open_connection(host, int(port))
    except (OSError, ValueError, trio.TooSlowError) as error:
        raise ConnectFailed(f"{address}: {error!r}") from error
    return SocketLink(stream, raw)


async def connect_upstream(address: str, timeout_s: float) -> UpstreamConnection:
    """Connect to `HOST:PORT` by TCP. Raises ConnectFailed."""
    return UpstreamConnection(await connect_link(address, timeout_s), address)


class Dialer(ABC):
    """Opens connections to upstreams."""

    @abstractmethod
    async def connect(self, address: str, timeout_s: float) -> UpstreamConnection:
        """Connect to `HOST:PORT`. Raises ConnectFailed, NotReached."""


class DirectDialer(Dialer):
    """Opens TCP connections."""

    async def connect(self, address: str, timeout_s: float) -> UpstreamConnection:
        """Connect to `HOST:PORT`. Raises ConnectFailed."""
        return await connect_upstream(address, timeout_s)
