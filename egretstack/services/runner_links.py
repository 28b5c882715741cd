"""Opens all connections to runners: directly, or through another instance.

Whether this instance reaches the runners at all follows from the connections that it opens, and
from trying a few runners while that is in doubt.
"""

from collections.abc import Callable

import trio

from egretstack.detour import LinkState, RunnerReach
from egretstack.events import Event, log
from egretstack.fleet import RunnerState
from egretstack.http1 import ConnectFailed, Dialer, Link, UpstreamConnection, connect_link
from egretstack.kernel import Kernel, Service, WorkKind
from egretstack.services._tunnels import Tunnels
from egretstack.services.fleet_port import FleetPort
from egretstack.services.relay_metrics import RelayMetrics

PROBE_INTERVAL_S = 0.25
PROBE_TIMEOUT_S = 0.15
PROBED_RUNNERS = 3
"""Runners that are tried at once while the links are not known to be sound."""
OTHER_RUNNER_S = 0.03
"""Time that other runners have to accept a connection before other instances are asked."""


class RunnerLinks(Service, Dialer):
    """The connections from this instance to the runners."""

    name = "runner_links"
    requires = ("fleet_port", "relay_metrics")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._port = kernel.get(FleetPort)
        self._tunnels = Tunnels(kernel)
        self._reach = RunnerReach()
        self._reported_state = LinkState.SOUND
        self._doubted = trio.Event()
        self._listeners: list[Callable[[], None]] = []
        metrics = kernel.get(RelayMetrics)
        self._connects = metrics.counter(
            "egret_relay_runner_connects", "Connections to runners, by outcome.", "outcome"
        )
        gauge = metrics.gauge(
            "egret_relay_reaches_runners", "Whether this instance can connect to runners itself."
        )
        gauge.set_function(lambda: int(self._reach.state is not LinkState.CUT))

    @property
    def is_sound(self) -> bool:
        """Whether nothing speaks against this instance's own links."""
        return self._reach.state is LinkState.SOUND

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` when this instance has lost all runners, or reaches them again."""
        self._listeners.append(listener)

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Try runners whenever the links are not known to be sound, until cancelled."""
        task_status.started()
        rounds = self.kernel.unforeseen.repeated(WorkKind.ROUND, loop=self.name)
        while True:
            await self._doubted.wait()
            while not self.is_sound:
                with rounds.attempt():
                    await self._probe()
                await trio.sleep(PROBE_INTERVAL_S)
            self._doubted = trio.Event()

    async def connect(self, address: str, timeout_s: float) -> UpstreamConnection:
        """Connect to a runner by whatever way there is. Raises ConnectFailed, NotReached."""
        return UpstreamConnection(await self._open(address, timeout_s), address)

    async def open_directly(self, address: str, timeout_s: float) -> Link:
        """Connect to a runner without another instance. Raises ConnectFailed."""
        try:
            link = await connect_link(address, timeout_s)
        except ConnectFailed:
            self._connects.labels("failed").inc()
            self._reach.record_failed(trio.current_time(), address, len(self._addresses()))
            self._on_state()
            raise
        self._connects.labels("direct").inc()
        self._reach.record_connected(trio.current_time())
        self._on_state()
        return link

    async def _open(self, address: str, timeout_s: float) -> Link:
        is_alone = len(self._port.fleet.live(trio.current_time())) == 1
        if self._reach.state is LinkState.CUT and not is_alone:
            return await self._open_tunnel(address, timeout_s)
        try:
            return await self.open_directly(address, timeout_s)
        except ConnectFailed:
            if is_alone or self._reach.is_proven(trio.current_time()):
                raise
        return await self._open_unless_others_accept(address, timeout_s)

    async def _open_tunnel(self, address: str, timeout_s: float) -> Link:
        link = await self._tunnels.open(address, timeout_s)
        self._connects.labels("tunnel").inc()
        return link

    async def _open_unless_others_accept(self, address: str, timeout_s: float) -> Link:
        """Connect through another instance to a runner that accepted no connection.

        Raises ConnectFailed also if another runner accepts one, so that this runner is the cause.
        """
        link = None
        failure = ConnectFailed(f"{address}: another runner accepts connections")
        async with trio.open_nursery() as nursery:
            others = [one for one in self._addresses() if one != address]
            for other in self.kernel.rng.sample(others, min(PROBED_RUNNERS, len(others))):
                nursery.start_soon(self._try_runner, other, nursery.cancel_scope)
            await trio.sleep(OTHER_RUNNER_S)
            try:
                link = await self._open_tunnel(address, timeout_s)
            except ConnectFailed as error:
                failure = error
            nursery.cancel_scope.cancel()
        if link is None:
            raise failure
        if not self._reach.is_proven(trio.current_time()):
            self._reach.record_cut()
            self._on_state()
        return link

    async def _probe(self) -> None:
        """Try some runners; the links are cut if none of them accepts a connection."""
        addresses = self._addresses()
        tried = self.kernel.rng.sample(addresses, min(PROBED_RUNNERS, len(addresses)))
        async with trio.open_nursery() as nursery:
            for address in tried:
                nursery.start_soon(self._try_runner, address, nursery.cancel_scope)
        if self._reach.state is LinkState.DOUBTED:
            self._reach.record_cut()
            self._on_state()

    async def _try_runner(self, address: str, scope: trio.CancelScope) -> None:
        """Connect to a runner, and cancel the scope if it accepts."""
        try:
            link = await self.open_directly(address, PROBE_TIMEOUT_S)
        except ConnectFailed:
            return
        link.close()
        scope.cancel()

    def _addresses(self) -> list[str]:
        runners = self._port.runners.by_id.values()
        return sorted({one.address for one in runners if one.state is RunnerState.READY})

    def _on_state(self) -> None:
        state = self._reach.state
        if state is not LinkState.SOUND:
            self._doubted.set()
        if state is LinkState.DOUBTED or state is self._reported_state:
            return
        self._reported_state = state
        log(Event.RUNNERS_REACHED if state is LinkState.SOUND else Event.RUNNERS_UNREACHED)
        self._port.update_own(reaches_runners=state is LinkState.SOUND)
        self._port.report_soon()
        for listener in self._listeners:
            listener()
