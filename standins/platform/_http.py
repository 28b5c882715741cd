"""What every stand-in of the platform shares: a small HTTP server on a loopback address."""

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


def json_body(document: object) -> bytes:
    """Give a document as JSON."""
    return json.dumps(document).encode()


class StandInServer(ABC):
    """Serves requests one after another on each connection."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.connections = 0
        self.limit_per_s: float | None = None
        """Limit that a runner names in its answers, in requests a second; it is not enforced."""
        self.says_leaving = False
        """Whether a runner says in its answers that it leaves."""
        self.said_leaving_s: list[float] = []
        """When it said so."""
        self.backoff_s: float | None = None
        """Rest that a runner asks for, which then turns every request away; None for no rest."""
        self.backoffs: list[tuple[float, str]] = []
        """When it asked for rest, and the attempt that it turned away."""
        self.arrivals: list[tuple[float, str]] = []
        """When requests reached a runner, and their attempts; those that it rejected too."""
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
        """Whether it was stopped and nobody has run it again."""
        return self._scope.cancel_called

    def stop(self) -> None:
        """End at once: every connection breaks."""
        self._scope.cancel()

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        connection = ClientConnection(stream, LIMITS)
        try:
            while (head := await connection.read_head()) is not None:
                body = await connection.read_body()
                await self._answer_while_there(connection, head, body)
                if not connection.start_next():
                    return
        except (BadRequest, ClientDisconnected, SlowSender):
            return
        finally:
            connection.close()

    async def _answer_while_there(
        self, connection: ClientConnection, head: RequestHead, body: bytes
    ) -> None:
        async with trio.open_nursery() as nursery:

            async def watch() -> None:
                await connection.wait_until_disconnected()
                nursery.cancel_scope.cancel()

            nursery.start_soon(watch)
            try:
                await self.answer(connection, head, body)
            except ClientDisconnected:
                connection.close()
            nursery.cancel_scope.cancel()

    @property
    def arrived_s(self) -> list[float]:
        """When requests reached a runner, those among them that it rejected."""
        return [at for at, _ in self.arrivals]

    def signal_headers(self) -> tuple[Header, ...]:
        """Give what a runner says of itself in all its answers."""
        words: list[Header] = []
        if self.limit_per_s is not None:
            words.append((b"server-limit", str(self.limit_per_s).encode()))
        if self.says_leaving:
            self.said_leaving_s.append(trio.current_time())
            words.append((b"server-leaving", b"1"))
        return tuple(words)

    async def reject(self, connection: ClientConnection, attempt: str) -> None:
        """Reject a request, and ask for rest if this runner wants some."""
        headers = ((b"not-executed", b"1"), *self.signal_headers())
        if self.backoff_s is not None:
            self.backoffs.append((trio.current_time(), attempt))
            headers = (*headers, (b"retry-after", str(self.backoff_s).encode()))
        await send(connection, 503, headers=headers)

    @abstractmethod
    async def answer(self, connection: ClientConnection, head: RequestHead, body: bytes) -> None:
        """Answer one request."""


async def send(
    connection: ClientConnection,
    status: int,
    body: bytes = b"",
    headers: tuple[Header, ...] = (),
) -> None:
    """Send a whole answer."""
    await connection.send_response(ResponseHead(status, b"", headers), body)
