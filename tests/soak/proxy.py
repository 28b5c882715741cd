"""A loopback proxy that harms the connections it carries."""

import random
from enum import Enum

import trio

READ_BYTES = 65_536
MOST_DELAY_S = 0.3


class LinkFault(Enum):
    """What happens to what is carried."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    """Open connections are reset, again and again."""
    SILENT = "silent"
    """Open connections carry nothing more for good; new ones work."""
    ONE_WAY = "one-way"
    """Nothing comes back."""
    CUT = "cut"
    """New connections hang too."""


class Proxy:
    """Forwards what connects to one address to another."""

    def __init__(self, address: str, target: str, rng: random.Random) -> None:
        self.address = address
        self.fault = LinkFault.NONE
        self._target = target
        self._rng = rng
        self._silenced_up_to = 0
        self._accepted = 0

    def harm(self, fault: LinkFault) -> None:
        """Begin a fault; NONE ends it, but what went silent stays so."""
        self.fault = fault
        if fault is LinkFault.SILENT:
            self._silenced_up_to = self._accepted

    async def run(self, task_status: trio.TaskStatus[object]) -> None:
        """Forward until cancelled."""
        host, _, port = self.address.rpartition(":")
        await trio.serve_tcp(self._forward, int(port), host=host, task_status=task_status)

    async def _forward(self, near: trio.SocketStream) -> None:
        self._accepted += 1
        number = self._accepted
        host, _, port = self._target.rpartition(":")
        try:
            while self.fault is LinkFault.CUT:
                await trio.sleep(0.05)
            far = await trio.open_tcp_stream(host, int(port))
            async with far, trio.open_nursery() as nursery:
                nursery.start_soon(self._copy, near, far, number, True, nursery)
                nursery.start_soon(self._copy, far, near, number, False, nursery)
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # Either end is gone; the other learns it by the close of this connection.

    async def _copy(
        self,
        source: trio.SocketStream,
        target: trio.SocketStream,
        number: int,
        forth: bool,
        nursery: trio.Nursery,
    ) -> None:
        while data := await source.receive_some(READ_BYTES):
            if self.fault is LinkFault.DELAY:
                await trio.sleep(self._rng.uniform(0, MOST_DELAY_S))
            if self.fault is LinkFault.RESET and self._rng.random() < 0.3:
                break
            back_is_cut = self.fault is LinkFault.ONE_WAY and not forth
            if number <= self._silenced_up_to or back_is_cut or self.fault is LinkFault.CUT:
                await trio.sleep_forever()
            await target.send_all(data)
        nursery.cancel_scope.cancel()
