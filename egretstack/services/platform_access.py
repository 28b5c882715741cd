"""Access to all that is outside this process: platform, runners and peers; keys and metrics.

Every other service reaches the outside through this one, so a test that replaces it can run whole
programs on a mock clock.
"""

import random
import socket
import ssl
from collections.abc import Awaitable, Callable
from functools import cache

import httpx
import trio
from hypercorn.config import Config, Sockets
from hypercorn.trio import serve

from egretstack.callers import AsgiApp
from egretstack.delivery import SessionIdCipher
from egretstack.errors import UserError
from egretstack.kernel import Kernel, Service
from egretstack.metrics import Metrics
from egretstack.objectapi import (
    BudgetedObjectApi,
    HttpInstanceList,
    HttpObjectApi,
    InstanceList,
    Member,
    ObjectApi,
)
from egretstack.peers import PeerKeys
from egretstack.upstreams import EngineClient, HttpEngine, HttpPlainService, PlainService

CONNECT_TIMEOUT_S = 2.0
IDLE_CONNECTION_S = 75
STOP_GRACE_S = 1.0
LISTEN_BACKLOG = 2048
"""Connections that may wait to be accepted.

With the library's 100, callers that all connect at once (after another entry died) overflow the
queue: the kernel drops their first packets, and they wait for a second or more before they try
again.
"""
SEND_TIMEOUT_S = 30.0
SEND_BUFFER_BYTES = 131_072
MAX_KEY_FILE_BYTES = 65_536
_NO_LIMITS = httpx.Limits(max_connections=None, max_keepalive_connections=200)
_NO_KEEPALIVE = httpx.Limits(max_connections=None, max_keepalive_connections=0)


@cache
def _tls() -> ssl.SSLContext:
    """Load the trusted certificates once; each load blocks the event loop for some 70 ms."""
    return httpx.create_ssl_context(trust_env=False)


def _http_client(timeout: httpx.Timeout, limits: httpx.Limits) -> httpx.AsyncClient:
    return httpx.AsyncClient(timeout=timeout, limits=limits, trust_env=False, verify=_tls())


class PlatformAccess(Service):
    """Holds the HTTP and TCP clients and servers through which other services reach the outside."""

    name = "platform_access"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        settings = kernel.settings
        base = settings.text("platform", "object_api")
        namespace = settings.text("platform", "namespace")
        timeout = httpx.Timeout(settings.number("platform", "timeout_s"), connect=CONNECT_TIMEOUT_S)
        self._client = _http_client(timeout, _NO_LIMITS)
        self._unpooled_client = _http_client(timeout, _NO_KEEPALIVE)
        self.instance_list: InstanceList = HttpInstanceList(self._client, base, namespace)
        self.metrics = Metrics(settings.text("instance", "id"), kernel.epoch.now)
        self.object_api = self.budgeted(HttpObjectApi(self._client, base, namespace))
        keys = self._keys()
        self.tokens = SessionIdCipher(keys)
        self.peer_keys = PeerKeys(keys, kernel.epoch)

    def budgeted(self, inner: ObjectApi) -> BudgetedObjectApi:
        """Wrap the object API in this process's call budget and circuit breaker."""
        timeout_s = self.kernel.settings.number("platform", "timeout_s")
        now_s = trio.current_time()
        return BudgetedObjectApi(inner, timeout_s, self.metrics, random.Random(), now_s)

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Keep the clients open."""
        async with self._client, self._unpooled_client:
            task_status.started()
            await trio.sleep_forever()

    def engine(self, member: Member) -> EngineClient:
        """Return a client of an engine."""
        silence_s = self.kernel.settings.number("engines", "silence_s")
        return HttpEngine(self._client, self._unpooled_client, member.url(), silence_s)

    def plain(self, member: Member) -> PlainService:
        """Return a client of a plain service's runner."""
        return HttpPlainService(self._client, member.url())

    async def open_stream(self, host: str, port: int) -> trio.abc.Stream:
        """Connect to a peer. Raises OSError."""
        return await trio.open_tcp_stream(host, port)

    async def serve_streams(
        self,
        handler: Callable[[trio.abc.Stream], Awaitable[None]],
        host: str,
        port: int,
        task_status: trio.TaskStatus[object],
    ) -> None:
        """Serve peers that connect, until cancelled."""
        await trio.serve_tcp(handler, port, host=host, task_status=task_status)

    async def serve_http(
        self,
        app: AsgiApp,
        address: str,
        stop: trio.Event,
        send_timeout_s: float = SEND_TIMEOUT_S,
        *,
        task_status: trio.TaskStatus[object],
    ) -> None:
        """Serve an HTTP application until `stop`; requests still open are cut soon after.

        A connection whose other end does not read what was sent within `send_timeout_s` is closed.
        """
        config = _BoundedConfig(send_timeout_s)
        config.bind = [address]
        config.backlog = LISTEN_BACKLOG
        config.accesslog = None
        config.errorlog = None
        config.keep_alive_timeout = IDLE_CONNECTION_S
        config.graceful_timeout = STOP_GRACE_S
        await serve(app, config, shutdown_trigger=stop.wait, task_status=task_status)

    def _keys(self) -> list[bytes]:
        path = self.kernel.settings.path("sessions", "key_file")
        try:
            text = path.read_bytes()
        except OSError as error:
            raise UserError(f"{path}: cannot be read: {error.strerror}") from error
        if len(text) > MAX_KEY_FILE_BYTES:
            raise UserError(f"{path}: larger than {MAX_KEY_FILE_BYTES} bytes")
        return [line.strip() for line in text.splitlines() if line.strip()]


class _BoundedConfig(Config):
    """Bounds what a connection whose other end does not read may hold, and for how long.

    The server writes to a connection shielded from cancellation, so none of this program's tasks
    can end a write that blocks: a caller that is connected and never reads would keep its request
    open for ever. The kernel's own limit on unread data closes the connection, the write fails, and
    the request is cancelled as after any lost connection. Accepted sockets inherit both options.
    """

    def __init__(self, send_timeout_s: float) -> None:
        super().__init__()
        self._send_timeout_ms = int(send_timeout_s * 1000)

    def create_sockets(self) -> Sockets:
        """Create the listening sockets with the limits set."""
        sockets = super().create_sockets()
        for listener in sockets.insecure_sockets:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, self._send_timeout_ms)
        return sockets
