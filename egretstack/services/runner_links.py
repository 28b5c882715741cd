"""Opens all connections to runners, and finds out whether this instance reaches them at all."""

from collections.abc import Callable

import trio

from egretstack.detour import LinkState, RunnerReach
from egretstack.events import Event, log
from egretstack.fleet import RunnerState
from egretstack.http1 import ConnectFailed, Dialer, UpstreamConnection, connect_upstream
from egretstack.kernel import Kernel, Service
from egretstack.services.fleet_port import FleetPort
from egretstack.services.relay_metrics import RelayMetrics

PROBE_INTERVAL_S = 0.25
PROBE_TIMEOUT_S = 0.15
PROBED_RUNNERS = 3
"""Runners that are tried in each round while the links are not known to be sound."""


class RunnerLinks(Service, Dialer):
    """The connections from this instance to the runners."""

    name = "runner_links"
    requires = ("fleet_port", "relay_metrics")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._port = kernel.get(FleetPort)
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

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` when this instance has lost all runners, or reaches them again."""
        self._listeners.append(listener)

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Try runners whenever the links are not known to be sound, until cancelled."""
        task_status.started()
        while True:
            await self._doubted.wait()
            while self._reach.state is not LinkState.SOUND:
                await self._probe()
                await trio.sleep(PROBE_INTERVAL_S)
            self._doubted = trio.Event()

    async def connect(self, address: str, timeout_s: float) -> UpstreamConnection:
        """Connect to a runner. Raises ConnectFailed."""
        return await self._connect_directly(address, timeout_s)

    async def _connect_directly(self, address: str, timeout_s: float) -> UpstreamConnection:
        try:
            connection = await connect_upstream(address, timeout_s)
        except ConnectFailed:
            self._connects.labels("failed").inc()
            self._reach.record_failed(trio.current_time(), address, len(self._addresses()))
            self._on_state()
            raise
        self._connects.labels("direct").inc()
        self._reach.record_connected(trio.current_time())
        self._on_state()
        return connection

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
        try:
            connection = await self._connect_directly(address, PROBE_TIMEOUT_S)
        except ConnectFailed:
            return
        connection.close()
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
        for listener in self._listeners:
            listener()
