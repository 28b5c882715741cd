"""HTTP between callers and instances in one process; connections can break or stop responding.

An application runs in tasks of the simulated process that serves it, so killing that process breaks
its callers' connections. A silenced connection loses everything that either end sends.
"""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import trio

from standins.gate import Gate

App = Callable[..., Awaitable[None]]
STOP_GRACE_S = 1.0
"""Time for open requests to finish after a server stops listening, as in the real server."""
CHUNKS_IN_FLIGHT = 16


class ConnectionBroken(Exception):
    """The connection ended before the answer was complete."""


@dataclass
class _Listener:
    app: App
    nursery: trio.Nursery
    gate: Gate
    exchanges: list["_Exchange"] = field(default_factory=list)


class _Exchange:
    """One request and its response."""

    def __init__(self, scope: dict, body: bytes, listener: _Listener) -> None:
        self.scope = scope
        self.silent = False
        self.disconnected = trio.Event()
        self._body: bytes | None = body
        self._listener = listener
        self._to_caller, self.from_app = trio.open_memory_channel(CHUNKS_IN_FLIGHT)

    async def run(self) -> None:
        self._listener.exchanges.append(self)
        try:
            await self._listener.app(self.scope, self._receive, self._send)
        finally:
            self._listener.exchanges.remove(self)
            if not self.silent:
                self._to_caller.close()

    async def _receive(self) -> dict:
        await self._listener.gate.wait()
        if self._body is not None:
            body, self._body = self._body, None
            return {"type": "http.request", "body": body, "more_body": False}
        await self.disconnected.wait()
        await self._listener.gate.wait()
        return {"type": "http.disconnect"}

    async def _send(self, message: dict) -> None:
        await self._listener.gate.wait()
        if self.silent or self.disconnected.is_set():
            return
        try:
            await self._to_caller.send(message)
        except trio.BrokenResourceError:
            return


class HttpResponse:
    """A response as the caller receives it."""

    def __init__(self, exchange: _Exchange) -> None:
        self._exchange = exchange
        self.status = 0
        self.headers: dict[str, str] = {}

    async def start(self) -> None:
        """Receive status and headers. Raises ConnectionBroken."""
        message = await self._receive_message()
        self.status = message["status"]
        self.headers = {name.decode().lower(): value.decode() for name, value in message["headers"]}

    async def chunks(self) -> AsyncIterator[bytes]:
        """Receive the body. Raises ConnectionBroken if it ends early."""
        more = True
        while more:
            message = await self._receive_message()
            more = message.get("more_body", False)
            if message.get("body"):
                yield message["body"]

    async def read(self) -> bytes:
        """Receive the complete body. Raises ConnectionBroken."""
        return b"".join([chunk async for chunk in self.chunks()])

    async def _receive_message(self) -> dict:
        try:
            return await self._exchange.from_app.receive()
        except trio.EndOfChannel as error:
            raise ConnectionBroken("reset") from error


class HttpNetwork:
    """A simulated network of HTTP listeners by host and port."""

    def __init__(self) -> None:
        self._listener_by_address: dict[tuple[str, int], _Listener] = {}

    async def serve(
        self,
        app: App,
        address: str,
        gate: Gate,
        stop: trio.Event,
        task_status: trio.TaskStatus[object],
    ) -> None:
        """Serve until `stop` is set, then cancel requests that are open after STOP_GRACE_S."""
        host, _, port = address.rpartition(":")
        async with trio.open_nursery() as nursery:
            listener = _Listener(app, nursery, gate)
            self._listener_by_address[host, int(port)] = listener
            task_status.started()
            try:
                await stop.wait()
            finally:
                del self._listener_by_address[host, int(port)]
            nursery.cancel_scope.deadline = trio.current_time() + STOP_GRACE_S

    def silence(self, host: str, port: int) -> None:
        """Make every open connection to an address lose all data that is sent from now on."""
        listener = self._listener_by_address.get((host, port))
        for exchange in listener.exchanges if listener else ():
            exchange.silent = True

    @asynccontextmanager
    async def request(
        self,
        host: str,
        port: int,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b"",
    ) -> AsyncIterator[HttpResponse]:
        """Send a request. Raises ConnectionRefusedError, ConnectionBroken."""
        await trio.lowlevel.checkpoint()
        listener = self._listener_by_address.get((host, port))
        if listener is None:
            raise ConnectionRefusedError(f"{host}:{port}")
        exchange = _Exchange(_asgi_scope(method, target, headers, body), body, listener)
        listener.nursery.start_soon(exchange.run)
        try:
            response = HttpResponse(exchange)
            await response.start()
            yield response
        finally:
            if not exchange.silent:
                exchange.disconnected.set()
            exchange.from_app.close()


def _asgi_scope(method: str, target: str, headers: dict[str, str], body: bytes) -> dict:
    path, _, query = target.partition("?")
    pairs = [(name.lower().encode(), value.encode()) for name, value in headers.items()]
    pairs.append((b"host", b"entry"))
    if body:
        pairs.append((b"content-length", str(len(body)).encode()))
    return {
        "type": "http",
        "asgi": {"version": "3.0", "spec_version": "2.3"},
        "http_version": "1.1",
        "method": method,
        "scheme": "http",
        "path": path,
        "raw_path": path.encode(),
        "query_string": query.encode(),
        "root_path": "",
        "headers": pairs,
        "client": ("127.0.0.1", 1),
        "server": ("127.0.0.1", 2),
        "extensions": {},
    }
