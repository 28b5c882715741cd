"""Counts the HTTP requests in progress, until the last byte of each answer is sent."""

from collections.abc import Awaitable, Callable

import trio

AsgiApp = Callable[[dict, Callable, Callable], Awaitable[None]]


_SESSION_PATH_PREFIX = "/v1/responses/"


class RequestCounter:
    """Wraps an ASGI application; a graceful shutdown waits on it until no request is open.

    After `close`, only requests for existing sessions are counted. If refused requests were
    counted too, callers that retry again and again would keep a leaving process alive forever.
    """

    def __init__(self) -> None:
        self.open = 0
        self._closed = False
        self._idle = trio.Event()

    def wrap(self, app: AsgiApp) -> AsgiApp:
        """Return the application with its requests counted."""

        async def counted(scope: dict, receive: Callable, send: Callable) -> None:
            if scope["type"] != "http" or not self._is_counted(scope["path"]):
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

    def close(self) -> None:
        """Stop counting requests, except those for existing sessions."""
        self._closed = True

    def _is_counted(self, path: str) -> bool:
        return not self._closed or path.startswith(_SESSION_PATH_PREFIX)

    async def wait_idle(self) -> None:
        """Wait until no request is open."""
        while self.open:
            self._idle = trio.Event()
            await self._idle.wait()
