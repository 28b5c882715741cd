"""Counts the HTTP requests in progress, up to the last byte of each answer."""

from collections.abc import Awaitable, Callable

import trio

AsgiApp = Callable[[dict, Callable, Callable], Awaitable[None]]


class RequestCounter:
    """Wraps an ASGI application; a graceful shutdown waits here until no request is open."""

    def __init__(self) -> None:
        self.open = 0
        self._idle = trio.Event()

    def around(self, app: AsgiApp) -> AsgiApp:
        """Give the application with its requests counted."""

        async def counted(scope: dict, receive: Callable, send: Callable) -> None:
            if scope["type"] != "http":
                await app(scope, receive, send)
                return
            self.open += 1
            try:
                await app(scope, receive, send)
            finally:
                self.open -= 1
                if not self.open:
                    self._idle.set()

        return counted

    async def wait_idle(self) -> None:
        """Wait until no request is open."""
        while self.open:
            self._idle = trio.Event()
            await self._idle.wait()
