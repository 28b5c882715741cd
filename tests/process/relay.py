"""A TCP relay that can silence its open connections, like a stateful device that lost its table:
they stay open and carry nothing, while new connections work."""

import trio

READ_BYTES = 65_536


class Relay:
    """Forwards connections to `host` and `port` to a target."""

    def __init__(self, host: str, port: int, target_host: str, target_port: int) -> None:
        self.host = host
        self.accepted = 0
        self._port = port
        self._target = (target_host, target_port)
        self._silenced_up_to = 0

    def silence_open_connections(self) -> None:
        """Forward nothing more on the connections that are open now."""
        self._silenced_up_to = self.accepted

    async def run(self, task_status: trio.TaskStatus[object]) -> None:
        """Forward until cancelled."""
        await trio.serve_tcp(self._forward, self._port, host=self.host, task_status=task_status)

    async def _forward(self, client: trio.SocketStream) -> None:
        self.accepted += 1
        number = self.accepted
        try:
            upstream = await trio.open_tcp_stream(*self._target)
            async with upstream, trio.open_nursery() as nursery:
                nursery.start_soon(self._copy, client, upstream, number)
                nursery.start_soon(self._copy, upstream, client, number)
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    async def _copy(
        self, source: trio.SocketStream, target: trio.SocketStream, number: int
    ) -> None:
        while True:
            data = await source.receive_some(READ_BYTES)
            if number <= self._silenced_up_to:
                await trio.sleep_forever()
            if not data:
                await target.send_eof()
                return
            await target.send_all(data)
