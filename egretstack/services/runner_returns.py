"""Asks runners whose entry was missing and came back whether they live, as the home.

A runner that is cut off from the store for a while loses its entry and serves on; with three plain
runners, to leave one out for good costs a third of the service. But an entry also comes back by a
heartbeat that was long on its way, from a runner that is gone: a request sent there would be lost.
Only the runner knows, and a leaving one says so; one question each half second tells.
"""

import trio

from egretstack.events import Event, log
from egretstack.fleet import Runner
from egretstack.http1 import ConnectFailed
from egretstack.ids import RunnerId
from egretstack.kernel import Kernel, Service
from egretstack.services._runner_health import NoHealthAnswer, ask_health
from egretstack.services.fleet_port import FleetPort
from egretstack.services.placing_home import PlacingHome
from egretstack.services.store_reading import StoreReading
from egretstack.traffic import RunnerHealth

LOOK_S = 0.5
"""How often returned runners are asked; they are few, and each question takes a slot of theirs."""
TIMEOUT_S = 0.5


class RunnerReturns(Service):
    """Lets runners back that answer for themselves."""

    name = "runner_returns"
    requires = ("fleet_port", "placing_home", "store_reading")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._port = kernel.get(FleetPort)
        self._store = kernel.get(StoreReading)
        self._rests = kernel.get(PlacingHome).rests
        self._told_not_back: set[RunnerId] = set()

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Ask while this instance is the home."""
        task_status.started()
        while True:
            await trio.sleep(LOOK_S)
            if not self._port.is_home():
                continue
            evacuated = self._port.runners.evacuated
            resting = self._rests.in_backoff(trio.current_time())
            returned = [
                one
                for one in self._port.runners.returned()
                if one.zone not in evacuated and one.id not in resting
            ]
            self._told_not_back &= {runner.id for runner in returned}
            async with trio.open_nursery() as nursery:
                for runner in returned:
                    nursery.start_soon(self._ask, runner)

    async def _ask(self, runner: Runner) -> None:
        plan = self._store.service(runner.service)
        if plan is None:
            return
        health = await self._health(runner, plan.health_path)
        said = None if health is None else health.name
        if said == runner.incarnation.name:
            self._port.runners.became_cold(trio.current_time(), runner.id, health.cold_s)
            self._port.runner_back(runner.id)
        elif runner.id not in self._told_not_back:
            self._told_not_back.add(runner.id)
            log(Event.RUNNER_NOT_BACK, runner=runner.id, answered=said)

    async def _health(self, runner: Runner, path: str) -> RunnerHealth | None:
        """Give what a healthy runner at a runner's address says; None if none answers."""
        try:
            return await ask_health(runner, path, TIMEOUT_S, TIMEOUT_S)
        except ConnectFailed:
            return None
        except NoHealthAnswer as error:
            log(Event.UPSTREAM_BROKEN, request="", runner=runner.id, error=str(error))
            return None
