"""Idle connections to upstreams, kept for requests that may be repeated."""

import trio

from egretstack.http1._client import UpstreamConnection, connect_upstream

MOST_IDLE_S = 2.0
"""Longest idle time after which a kept connection is used again, when the upstream names none."""
MAX_IDLE = 4
"""Idle connections kept for one address."""


class ConnectionPool:
    """Hands out kept connections by address, the most recently used first."""

    def __init__(self, max_idle: int = MAX_IDLE) -> None:
        self._max_idle = max_idle
        self._idle_by_address: dict[str, list[UpstreamConnection]] = {}

    async def acquire(self, address: str, connect_timeout_s: float) -> UpstreamConnection:
        """Give a kept connection that looks whole, or a new one. Raises ConnectFailed."""
        idle = self._idle_by_address.get(address, [])
        while idle:
            kept = idle.pop()
            if kept.is_fresh(trio.current_time(), MOST_IDLE_S):
                return kept
            kept.close()
        return await connect_upstream(address, connect_timeout_s)

    def release(self, connection: UpstreamConnection) -> None:
        """Keep a connection whose answer was read whole, or close it."""
        if not connection.is_reusable():
            connection.close()
            return
        connection.start_next(trio.current_time())
        idle = self._idle_by_address.setdefault(connection.address, [])
        idle.append(connection)
        if len(idle) > self._max_idle:
            idle.pop(0).close()

    def close_idle(self, address: str) -> None:
        """Close what is kept for an address."""
        for kept in self._idle_by_address.pop(address, ()):
            kept.close()

    def close(self) -> None:
        """Close everything."""
        for address in list(self._idle_by_address):
            self.close_idle(address)
