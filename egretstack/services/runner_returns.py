"""Checks, as the home, runners whose entry was missing and came back.

A runner that is cut off from the store for a while loses its entry and serves on; with three plain
runners, to exclude one for good costs a third of the service. But an entry also comes back through
a delayed heartbeat of a runner that has ended, and a request sent there would be lost. Only the
runner itself knows, and a leaving one says so, so each is asked for its health every half second.
"""

import trio

from egretstack.events import Event, log
from egretstack.fleet import Runner
from egretstack.http1 import ConnectFailed
from egretstack.ids import RunnerId
from egretstack.kernel import Kernel, Service, WorkKind
from egretstack.services._runner_health import NoHealthAnswer, fetch_health
from egretstack.services.fleet_port import FleetPort
from egretstack.services.placing_home import PlacingHome
from egretstack.services.runner_links import RunnerLinks
from egretstack.services.store_reading import StoreReading
from egretstack.traffic import RunnerHealth

CHECK_INTERVAL_S = 0.5
"""How often relisted runners are checked; they are few, and each check takes one of their slots."""
TIMEOUT_S = 0.5


class RunnerReturns(Service):
    """Accepts relisted runners again that answer under their own name."""

    name = "runner_returns"
    requires = ("fleet_port", "placing_home", "runner_links", "store_reading")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._port = kernel.get(FleetPort)
        self._store = kernel.get(StoreReading)
        self._links = kernel.get(RunnerLinks)
        self._backoffs = kernel.get(PlacingHome).backoffs
        self._logged_not_back: set[RunnerId] = set()

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Check runners while this instance is the home."""
        task_status.started()
        rounds = self.kernel.unforeseen.repeated(WorkKind.ROUND, loop=self.name)
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            with rounds.attempt():
                if self._port.is_home():
                    await self._check_all()

    async def _check_all(self) -> None:
        evacuated = self._port.runners.evacuated
        backed_off = self._backoffs.in_backoff(trio.current_time())
        returned = [
            runner
            for runner in self._port.runners.relisted()
            if runner.zone not in evacuated and runner.id not in backed_off
        ]
        self._logged_not_back &= {runner.id for runner in returned}
        async with trio.open_nursery() as nursery:
            for runner in returned:
                nursery.start_soon(self._check, runner)

    async def _check(self, runner: Runner) -> None:
        with self.kernel.unforeseen.confined(WorkKind.EXCHANGE, runner=runner.id):
            await self._check_health(runner)

    async def _check_health(self, runner: Runner) -> None:
        plan = self._store.service(runner.service)
        if plan is None:
            return
        health = await self._health(runner, plan.health_path)
        answered = None if health is None else health.name
        if answered == runner.incarnation.name:
            self._port.runners.record_cold(trio.current_time(), runner.id, health.cold_s)
            self._port.confirm_runner(runner.id)
        elif runner.id not in self._logged_not_back:
            self._logged_not_back.add(runner.id)
            log(Event.RUNNER_NOT_BACK, runner=runner.id, answered=answered)

    async def _health(self, runner: Runner, path: str) -> RunnerHealth | None:
        """Return the health of a healthy runner at a runner's address; None if none answers."""
        try:
            return await fetch_health(self._links, runner, path, TIMEOUT_S, TIMEOUT_S)
        except ConnectFailed:
            return None
        except NoHealthAnswer as error:
            log(Event.UPSTREAM_BROKEN, request="", runner=runner.id, error=str(error))
            return None
