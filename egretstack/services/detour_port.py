"""Connects to runners for other instances that cannot do so themselves."""

from functools import partial

import trio

from egretstack.detour import BadTunnelRequest, TunnelOutcome, carry, read_request
from egretstack.events import Event, log
from egretstack.fleet import RunnerState
from egretstack.http1 import ConnectFailed, Link, open_listener
from egretstack.kernel import Kernel, Service
from egretstack.platform import NodeSettings
from egretstack.services._serving import serve_connections
from egretstack.services.fleet_port import FleetPort
from egretstack.services.relay_metrics import RelayMetrics
from egretstack.services.runner_links import RunnerLinks

MAX_TUNNELS = 256
"""Each takes two sockets and two buffers of 64 KiB at most."""
MAX_CONNECT_S = 1.0
REQUEST_TIMEOUT_S = 1.0


class DetourPort(Service):
    """Carries tunnels."""

    name = "detour_port"
    requires = ("fleet_port", "relay_metrics", "runner_links")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._port = kernel.get(FleetPort)
        self._links = kernel.get(RunnerLinks)
        self._tunnels = 0
        gauge = kernel.get(RelayMetrics).gauge(
            "egret_relay_tunnels", "Connections to runners that are carried for other instances."
        )
        gauge.set_function(lambda: self._tunnels)

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Serve other instances until cancelled."""
        node: NodeSettings = self.kernel.settings
        if node.detour_port is None:
            task_status.started()
            await trio.sleep_forever()
        listener = await open_listener(node.ip, node.detour_port)
        async with trio.open_nursery() as nursery:
            serve = partial(serve_connections, port="detour")
            await nursery.start(serve, self.kernel, listener, self._serve)
            task_status.started()

    async def _serve(self, stream: trio.SocketStream) -> None:
        try:
            with trio.fail_after(REQUEST_TIMEOUT_S):
                request = await read_request(stream)
        except (BadTunnelRequest, trio.TooSlowError, trio.BrokenResourceError) as error:
            log(Event.PEER_REFUSED, sender="", error=repr(error))
            request = None
        if request is None:
            stream.socket.close()
            return
        address, timeout_s, first = request
        self._tunnels += 1
        try:
            await self._open_and_carry(stream, address, timeout_s, first)
        finally:
            self._tunnels -= 1
            stream.socket.close()

    async def _open_and_carry(
        self, stream: trio.SocketStream, address: str, timeout_s: float, first: bytes
    ) -> None:
        outcome, link = await self._connect(address, timeout_s)
        try:
            await stream.send_all(bytes((outcome.value,)))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            outcome = None  # The instance did not wait for the answer.
        except BaseException:
            if link is not None:
                link.close()
            raise
        if link is None:
            return
        if outcome is None:
            link.close()
            return
        began_s = trio.current_time()
        carried_bytes = await carry(stream, link, first)
        log(
            Event.TUNNEL_ENDED,
            runner=address,
            carried_bytes=carried_bytes,
            took_ms=round((trio.current_time() - began_s) * 1000),
        )

    async def _connect(self, address: str, timeout_s: float) -> tuple[TunnelOutcome, Link | None]:
        refusal = self._refusal(address)
        if refusal is not None:
            return refusal, None
        try:
            link = await self._links.open_directly(address, min(timeout_s, MAX_CONNECT_S))
        except ConnectFailed:
            refusal = TunnelOutcome.UNREACHABLE if self._links.is_sound else TunnelOutcome.CUT
            return refusal, None
        return TunnelOutcome.CONNECTED, link

    def _refusal(self, address: str) -> TunnelOutcome | None:
        """Return why no tunnel to an address is opened; None if it may be."""
        if self.kernel.draining.is_set():
            return TunnelOutcome.LEAVING
        if not any(
            one.address == address and one.state is not RunnerState.GONE
            for one in self._port.runners.by_id.values()
        ):
            return TunnelOutcome.UNKNOWN_RUNNER
        if self._tunnels > MAX_TUNNELS:
            return TunnelOutcome.FULL
        return None if self._links.is_sound else TunnelOutcome.CUT
