"""Sends the configuration in force to peers that cannot reach the store."""

from functools import partial

import trio

from egretstack.fleet import send_packed
from egretstack.http1 import open_listener
from egretstack.kernel import Service
from egretstack.platform import NodeSettings
from egretstack.services._serving import serve_connections
from egretstack.services.store_reading import StoreReading


class ConfigurationRelay(Service):
    """Serves the configuration on the peer port."""

    name = "configuration_relay"
    requires = ("store_reading",)

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Serve peers until cancelled."""
        node: NodeSettings = self.kernel.settings
        listener = await open_listener(node.ip, node.first_peer_port)
        async with trio.open_nursery() as nursery:
            serve = partial(serve_connections, port="configuration")
            await nursery.start(serve, self.kernel, listener, self._serve)
            task_status.started()

    async def _serve(self, stream: trio.SocketStream) -> None:
        await send_packed(stream, self.kernel.get(StoreReading).packed_configuration())
