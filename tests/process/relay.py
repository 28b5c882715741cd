"""Forwards TCP connections, and can forget the open ones as a stateful device between two ends
does: they stay open and carry nothing, while new connections work."""

import trio

READ_BYTES = 65_536


class Relay:
    """Forwards what connects to `host` and `port` to a target."""

    def __init__(self, host: str, port: int, target_host: str, target_port: int) -> None:
        self.host = host
        self.accepted = 0
        self._port = port
        self._target = (target_host, target_port)
        self._forgotten_up_to = 0

    def forget_open_connections(self) -> None:
        """Carry nothing more on the connections that are open now."""
        self._forgotten_up_to = self.accepted

    async def run(self, task_status: trio.TaskStatus[object]) -> None:
        """Forward until cancelled."""
        await trio.serve_tcp(self._forward, self._port, host=self.host, task_status=task_status)

    async def _forward(self, near: trio.SocketStream) -> None:
        self.accepted += 1
        number = self.accepted
        try:
            far = await trio.open_tcp_stream(*self._target)
            async with far, trio.open_nursery() as nursery:
                nursery.start_soon(self._copy, near, far, number)
                nursery.start_soon(self._copy, far, near, number)
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    async def _copy(
        self, source: trio.SocketStream, target: trio.SocketStream, number: int
    ) -> None:
        while True:
            data = await source.receive_some(READ_BYTES)
            if number <= self._forgotten_up_to:
                await trio.sleep_forever()
            if not data:
                await target.send_eof()
                return
            await target.send_all(data)
