"""Counts the HTTP requests in progress, up to the last byte of each answer."""

from collections.abc import Awaitable, Callable

import trio

AsgiApp = Callable[[dict, Callable, Callable], Awaitable[None]]


_GOES_ON = "/v1/responses/"


class RequestCounter:
    """Wraps an ASGI application; a graceful shutdown waits here until no request is open.

    After `close`, only requests that follow a session in progress are counted: with refusals
    counted too, callers that ask again and again would keep a leaving process up for ever.
    """

    def __init__(self) -> None:
        self.open = 0
        self._closed = False
        self._idle = trio.Event()

    def wrap(self, app: AsgiApp) -> AsgiApp:
        """Give the application with its requests counted."""

        async def counted(scope: dict, receive: Callable, send: Callable) -> None:
            if scope["type"] != "http" or not self._counts(scope["path"]):
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
        """Count no requests any more that ask for new work."""
        self._closed = True

    def _counts(self, path: str) -> bool:
        return not self._closed or path.startswith(_GOES_ON)

    async def wait_idle(self) -> None:
        """Wait until no request is open."""
        while self.open:
            self._idle = trio.Event()
            await self._idle.wait()
