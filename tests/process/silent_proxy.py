"""A TCP forwarder whose open connections can be made silent for good while new ones work."""

import trio

READ_BYTES = 65_536


class SilentProxy:
    """Forwards connections made to it; `silence` loses all that the open ones carry."""

    def __init__(self, host: str, port: int) -> None:
        self._target = (host, port)
        self._opened = 0
        self._silent_below = 0

    def silence(self) -> None:
        """Make the connections open now silent: nothing arrives, and no end is seen."""
        self._silent_below = self._opened

    async def serve(
        self, host: str, port: int, task_status: trio.TaskStatus[object] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Forward until cancelled."""
        await trio.serve_tcp(self._forward, port, host=host, task_status=task_status)

    async def _forward(self, near: trio.SocketStream) -> None:
        number = self._opened
        self._opened += 1
        async with await trio.open_tcp_stream(*self._target) as far, trio.open_nursery() as nursery:
            nursery.start_soon(self._carry, number, near, far, nursery.cancel_scope)
            nursery.start_soon(self._carry, number, far, near, nursery.cancel_scope)

    async def _carry(
        self,
        number: int,
        source: trio.SocketStream,
        target: trio.SocketStream,
        scope: trio.CancelScope,
    ) -> None:
        try:
            async for data in source:
                if number >= self._silent_below:
                    await target.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        if number < self._silent_below:
            await trio.sleep_forever()
        scope.cancel()
