"""Tells clients which instances to use, and the platform whether this one is ready."""

from functools import partial

import trio

from egretstack.fleet import InstanceState, nearest
from egretstack.http1 import (
    BadRequest,
    ClientConnection,
    ClientDisconnected,
    RequestHead,
    ServerLimits,
    SlowSender,
    open_listener,
)
from egretstack.ids import RegionName
from egretstack.kernel import Kernel, Service
from egretstack.platform import (
    NodeSettings,
    directory_answer,
    is_directory_request,
    is_readiness_request,
    json_answer,
    requested_host,
    requested_region,
)
from egretstack.services._serving import serve_connections
from egretstack.services.fleet_port import FleetPort
from egretstack.services.store_reading import StoreReading

LIMITS = ServerLimits(header_bytes=8_192, body_bytes=1_024, header_timeout_s=2, idle_timeout_s=10)
MAX_ADDRESSES = 64
"""Clients use no more addresses of one answer."""
ANSWER_TTL_S = 2.0
"""How long clients keep an answer. Some keep it three times as long, which is still within the
grace period of a stopping instance. A dead instance is named for no longer than this plus the time
after which it counts as not live."""
GRACE_SHARE = 0.25
"""Share of the grace period that an answer's time to live may take at most, so that three times to
live end within it."""
CHECK_INTERVAL_S = 0.1


class DirectoryPort(Service):
    """Answers directory requests and readiness checks."""

    name = "directory_port"
    requires = ("fleet_port", "store_reading")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._port = kernel.get(FleetPort)
        self._store = kernel.get(StoreReading)
        self._leaving = False
        node: NodeSettings = kernel.settings
        self._region_by_zone = node.region_by_zone

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Serve until cancelled."""
        node: NodeSettings = self.kernel.settings
        addresses = {node.ready_address, node.directory_address} - {""}
        async with trio.open_nursery() as nursery:
            for address in sorted(addresses):
                host, _, port = address.rpartition(":")
                listener = await open_listener(host, int(port))
                serve = partial(serve_connections, port="directory")
                await nursery.start(serve, self.kernel, listener, self._serve)
            task_status.started()
            nursery.start_soon(self._leave_on_drain)
            while True:
                self._publish_state()
                await trio.sleep(CHECK_INTERVAL_S)

    async def _leave_on_drain(self) -> None:
        await self.kernel.draining.wait()
        self._leaving = True
        self._publish_state()
        self._port.report_soon()

    def is_ready(self) -> bool:
        """Return whether clients may be sent here."""
        return not self._leaving and self._store.is_informed()

    def _publish_state(self) -> None:
        if self._leaving:
            state = InstanceState.LEAVING
        else:
            state = InstanceState.READY if self.is_ready() else InstanceState.STARTING
        if state is not self._port.fleet.own.state:
            self._port.update_own(state=state)
            self._port.report_soon()

    async def _serve(self, stream: trio.SocketStream) -> None:
        connection = ClientConnection(stream, LIMITS)
        try:
            while True:
                head = await connection.read_head()
                if head is None:
                    return
                await connection.read_body()
                await connection.send_response(*self._answer(head))
                if not connection.start_next():
                    return
        except (BadRequest, SlowSender, ClientDisconnected):
            return  # No answer was sent; the client queries another instance.
        finally:
            connection.close()

    def _answer(self, head: RequestHead):
        if is_readiness_request(head):
            return json_answer(200 if self.is_ready() else 503, {"ready": self.is_ready()})
        if is_directory_request(head):
            # Checked only ten times a second, an instance that has just become ready would send its
            # first clients away.
            self._publish_state()
            addresses = self.ready_addresses(requested_region(head), requested_host(head))
            if not addresses:
                return json_answer(503, {"error": "no instance is ready"}, ANSWER_TTL_S)
            grace_s = self.kernel.settings.bounds.grace_s
            ttl_s = min(
                ANSWER_TTL_S, grace_s * GRACE_SHARE, self.kernel.settings.bounds.directory_ttl_s
            )
            return directory_answer(addresses, ttl_s)
        return json_answer(404, {"error": "no such resource"})

    def ready_addresses(self, region: RegionName, host: str) -> list[str]:
        """Return the addresses for clients of a region, no more than they use of one answer."""
        live = self._port.fleet.live(trio.current_time())
        known_ready = [known for known in live if known.state is InstanceState.READY]
        reaching = [known for known in known_ready if known.reaches_runners]
        ready = [known.instance for known in reaching or known_ready]
        table = self._store.gate.table
        allowed = frozenset() if table is None else table.allowed_regions(host)
        near = nearest(ready, self._region_by_zone, region, allowed)
        ready = [one.front_address for one in near]
        if len(ready) > MAX_ADDRESSES:
            return self.kernel.rng.sample(ready, MAX_ADDRESSES)
        return ready
