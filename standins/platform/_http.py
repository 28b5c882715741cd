"""Base class of the platform's stand-ins: a small HTTP server on a loopback address."""

import json
from abc import ABC, abstractmethod
from functools import partial

import trio

from egretstack.http1 import (
    BadRequest,
    ClientConnection,
    ClientDisconnected,
    Header,
    RequestHead,
    ResponseHead,
    ServerLimits,
    SlowSender,
    open_listener,
)

LIMITS = ServerLimits(65_536, 8_388_608, 10.0, 60.0)
NOTICE_S = 0.002
"""Time after a pause until a server notices connections that were closed meanwhile."""


def json_body(document: object) -> bytes:
    """Return a document encoded as JSON."""
    return json.dumps(document).encode()


class StandInServer(ABC):
    """Serves the requests of each connection one at a time."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.connections = 0
        self.limit_per_s: float | None = None
        """Limit in requests per second that a runner announces in its answers; not enforced."""
        self.brittle: int | None = None
        """Requests that a runner may have to reject in a second, beyond which it falls over; it
        says so in its answers. None if it bears any number."""
        self.says_leaving = False
        """Whether a runner announces in its answers that it is leaving."""
        self.said_leaving_s: list[float] = []
        """Times at which it announced that."""
        self.backoff_s: float | None = None
        """Backoff that a runner requests as it rejects every request; None to accept them."""
        self.backoffs: list[tuple[float, str]] = []
        """Time of each requested backoff, and the attempt that was rejected with it."""
        self.arrivals: list[tuple[float, str]] = []
        """Arrival time and attempt of each request to a runner, including rejected ones."""
        self._awake = trio.Event()
        self._awake.set()
        self._scope = trio.CancelScope()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until stopped or cancelled."""
        host, _, port = self.address.rpartition(":")
        self._scope = trio.CancelScope()
        with self._scope:
            listener = await open_listener(host, int(port))
            async with trio.open_nursery() as nursery:
                serve = partial(trio.serve_listeners, self._serve, [listener])
                await nursery.start(serve)
                task_status.started()

    @property
    def has_ended(self) -> bool:
        """Whether it was stopped and has not been started again."""
        return self._scope.cancel_called

    def stop(self) -> None:
        """End immediately: every connection breaks."""
        self._scope.cancel()

    def pause(self) -> None:
        """Stand still as a stopped process does: closed connections are not noticed either."""
        self._awake = trio.Event()

    def end_pause(self) -> None:
        """Go on: requests that arrived meanwhile begin, then closed connections are noticed."""
        self._awake.set()

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        connection = ClientConnection(stream, LIMITS)
        try:
            while (head := await connection.read_head()) is not None:
                body = await connection.read_body()
                await self._answer_until_disconnected(connection, head, body)
                if not connection.start_next():
                    return
        except (BadRequest, ClientDisconnected, SlowSender):
            return
        finally:
            connection.close()

    async def _answer_until_disconnected(
        self, connection: ClientConnection, head: RequestHead, body: bytes
    ) -> None:
        async with trio.open_nursery() as nursery:

            async def watch() -> None:
                await connection.wait_until_disconnected()
                if not self._awake.is_set():
                    await self._awake.wait()
                    await trio.sleep(NOTICE_S)
                nursery.cancel_scope.cancel()

            nursery.start_soon(watch)
            try:
                await self._awake.wait()
                await self.answer(connection, head, body)
            except ClientDisconnected:
                connection.close()
            nursery.cancel_scope.cancel()

    @property
    def arrived_s(self) -> list[float]:
        """Arrival times of all requests to a runner, including rejected ones."""
        return [at_s for at_s, _ in self.arrivals]

    def signal_headers(self) -> tuple[Header, ...]:
        """Return the headers by which a runner announces its state in every answer."""
        headers: list[Header] = []
        if self.limit_per_s is not None:
            headers.append((b"server-limit", str(self.limit_per_s).encode()))
        if self.brittle is not None:
            headers.append((b"server-brittle", b"%d" % self.brittle))
        if self.says_leaving:
            self.said_leaving_s.append(trio.current_time())
            headers.append((b"server-leaving", b"1"))
        return tuple(headers)

    async def reject(self, connection: ClientConnection, attempt: str) -> None:
        """Reject a request, and request a backoff if one is set."""
        headers = ((b"not-executed", b"1"), *self.signal_headers())
        if self.backoff_s is not None:
            self.backoffs.append((trio.current_time(), attempt))
            headers = (*headers, (b"retry-after", str(self.backoff_s).encode()))
        await send(connection, 503, headers=headers)

    @abstractmethod
    async def answer(self, connection: ClientConnection, head: RequestHead, body: bytes) -> None:
        """Answer one request."""


async def start_unframed(
    connection: ClientConnection, status: int, headers: tuple[Header, ...]
) -> None:
    """Send the head of an answer with neither a length nor chunks, which ends with its connection.

    Its body is sent with `send_raw`; nothing else may follow on the connection.
    """
    lines = [b"HTTP/1.1 %d OK" % status, *(name + b": " + value for name, value in headers)]
    await connection.send_raw(b"\r\n".join(lines) + b"\r\nconnection: close\r\n\r\n")


async def send(
    connection: ClientConnection,
    status: int,
    body: bytes = b"",
    headers: tuple[Header, ...] = (),
) -> None:
    """Send a complete answer."""
    await connection.send_response(ResponseHead(status, b"", headers), body)
