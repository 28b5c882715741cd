"""Pool of idle connections to upstreams, for requests that may be retried."""

import trio

from egretstack.http1._client import Dialer, DirectDialer, UpstreamConnection

MAX_IDLE_S = 2.0
"""Longest idle time after which a connection is reused if the upstream sends no `Keep-Alive`."""
MAX_IDLE_PER_ADDRESS = 4
"""Idle connections kept for one address."""


class ConnectionPool:
    """Provides connections by address, the most recently used idle one first."""

    def __init__(self, max_idle: int = MAX_IDLE_PER_ADDRESS, dialer: Dialer | None = None) -> None:
        self._max_idle = max_idle
        self._dialer = dialer or DirectDialer()
        self._idle_by_address: dict[str, list[UpstreamConnection]] = {}

    async def acquire(self, address: str, connect_timeout_s: float) -> UpstreamConnection:
        """Return an idle connection that is still open, or a new one. Raises ConnectFailed."""
        idle = self._idle_by_address.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.is_fresh(trio.current_time(), MAX_IDLE_S):
                return connection
            connection.close()
        return await self._dialer.connect(address, connect_timeout_s)

    def release(self, connection: UpstreamConnection) -> None:
        """Keep a connection if its response was read completely, else close it."""
        if not connection.is_reusable():
            connection.close()
            return
        connection.start_next(trio.current_time())
        idle = self._idle_by_address.setdefault(connection.address, [])
        idle.append(connection)
        if len(idle) > self._max_idle:
            idle.pop(0).close()

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle_by_address.pop(address, ()):
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle_by_address):
            self.close_idle(address)
