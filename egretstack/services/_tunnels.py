"""Opens connections to runners through other instances."""

import trio

from egretstack.detour import HelperChoice, TunnelOutcome, TunnelRefused, open_tunnel
from egretstack.events import Event, log
from egretstack.fleet import Instance
from egretstack.http1 import ConnectFailed, Link, NotReached
from egretstack.ids import ZoneName
from egretstack.kernel import Kernel
from egretstack.platform import NodeSettings
from egretstack.services.fleet_port import FleetPort

MAX_HELPERS = 2
"""Instances that are asked for one connection."""
ANSWER_MARGIN_S = 0.05
"""Time for a helper's answer in addition to its own time to connect."""


class Tunnels:
    """Asks other instances for connections to runners."""

    def __init__(self, kernel: Kernel) -> None:
        node: NodeSettings = kernel.settings
        self._port = kernel.get(FleetPort)
        self._detour_port = node.detour_port
        self._choice = HelperChoice(self._port.fleet.own.instance, node.region_by_zone, kernel.rng)

    async def open(self, address: str, timeout_s: float) -> Link:
        """Connect to a runner through another instance. Raises ConnectFailed, NotReached."""
        is_unreachable = False
        for helper in self._helpers(address):
            try:
                link = await open_tunnel(
                    (helper.peer_address.rpartition(":")[0], self._detour_port),
                    address,
                    timeout_s,
                    timeout_s + ANSWER_MARGIN_S,
                )
            except TunnelRefused as error:
                log(Event.TUNNEL_REFUSED, helper=helper.id, runner=address, reason=str(error))
                self._choice.record_refused(trio.current_time(), helper.id)
                is_unreachable = is_unreachable or error.outcome is TunnelOutcome.UNREACHABLE
                continue
            self._choice.record_helped(helper.id)
            return link
        if is_unreachable:
            raise ConnectFailed(f"{address}: not through another instance either")
        raise NotReached(f"{address}: no other instance can tell")

    def _helpers(self, address: str) -> list[Instance]:
        if self._detour_port is None:
            return []
        now_s = trio.current_time()
        live = self._port.fleet.live(now_s)
        return self._choice.choose(now_s, live, self._zone_of(address), MAX_HELPERS)

    def _zone_of(self, address: str) -> ZoneName:
        zones = (one.zone for one in self._port.runners.by_id.values() if one.address == address)
        return next(zones, self._port.fleet.own.instance.zone)
