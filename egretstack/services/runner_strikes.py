"""Tells the fleet which runners break what they are sent, and learns it as the home."""

import trio

from egretstack.events import Event, log
from egretstack.fleet import InstanceReport, rows_of
from egretstack.ids import InstanceId, RunnerId
from egretstack.kernel import Kernel, Service
from egretstack.placing import FleetStrikes, count_from_row, count_row
from egretstack.services.fleet_port import IDLE_LOOK_S, FleetPort
from egretstack.services.relaying import Relaying
from egretstack.services.store_reading import StoreReading

LOOK_S = 0.1
"""How often the home judges, besides at each report; clears suspects in time."""


class RunnerStrikes(Service):
    """The counts of this instance, and as the home those of all."""

    name = "runner_strikes"
    requires = ("fleet_port", "relaying", "store_reading")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._port = kernel.get(FleetPort)
        self._store = kernel.get(StoreReading)
        self._balancer = kernel.get(Relaying).tools.balancer
        self._strikes = FleetStrikes()

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Report and judge until cancelled."""
        self._port.answers = self._rows
        self._port.on_report(self._take_report)
        self.kernel.get(Relaying).tools.on_break = self._port.tell_soon
        task_status.started()
        while True:
            await trio.sleep(LOOK_S if self._port.is_home() else IDLE_LOOK_S)
            if self._port.is_home():
                self._judge()

    def _rows(self) -> list:
        return [count_row(one) for one in self._balancer.recent_answers.counts(trio.current_time())]

    def _take_report(self, instance: InstanceId, report: InstanceReport) -> None:
        counts = rows_of(report.answers, count_from_row)
        self._strikes.record_report(trio.current_time(), instance, counts)
        if self._port.is_home() and any(one.broke for one in counts):
            self._judge()

    def _engines(self) -> set[RunnerId]:
        runners = self._port.runners.by_id.values()
        return {runner.id for runner in runners if self._store.engine(runner.service)}

    def _judge(self) -> None:
        now_s = trio.current_time()
        own = self.kernel.settings.instance
        self._strikes.record_report(now_s, own, self._balancer.recent_answers.counts(now_s))
        self._strikes.retain(self._port.runners.by_id)
        suspects = self._strikes.suspects(now_s, self._engines())
        if suspects != self._port.runners.suspects:
            log(Event.RUNNERS_SUSPECTED, runners=",".join(sorted(suspects)))
            self._port.runners.suspects = suspects
            self._port.tell_soon()
