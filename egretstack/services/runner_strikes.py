"""Reports which runners fail the requests they get, and combines the reports as the home."""

import trio

from egretstack.events import Event, log
from egretstack.fleet import InstanceReport, parse_rows
from egretstack.ids import InstanceId, RunnerId
from egretstack.kernel import Kernel, Service, WorkKind
from egretstack.placing import FleetStrikes, count_from_row, count_row
from egretstack.services.fleet_port import IDLE_POLL_INTERVAL_S, FleetPort
from egretstack.services.relaying import Relaying
from egretstack.services.store_reading import StoreReading

CHECK_INTERVAL_S = 0.1
"""How often the home determines the suspects, besides at each report with a failure, so that they
are cleared in time."""


class RunnerStrikes(Service):
    """Counts answers and failures of this instance, and of all instances as the home."""

    name = "runner_strikes"
    requires = ("fleet_port", "relaying", "store_reading")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._port = kernel.get(FleetPort)
        self._store = kernel.get(StoreReading)
        self._balancer = kernel.get(Relaying).context.balancer
        self._strikes = FleetStrikes()

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Report counts and determine suspects until cancelled."""
        self._port.answer_count_rows = self._rows
        self._port.on_report_received(self._on_report)
        self._port.on_marks_taken_over(self._on_marks_taken_over)
        self.kernel.get(Relaying).context.on_runner_failure = self._port.report_soon
        task_status.started()
        rounds = self.kernel.unforeseen.repeated(WorkKind.ROUND, loop=self.name)
        while True:
            await trio.sleep(CHECK_INTERVAL_S if self._port.is_home() else IDLE_POLL_INTERVAL_S)
            with rounds.attempt():
                if self._port.is_home():
                    self._update_suspects()

    def _rows(self) -> list:
        return [count_row(one) for one in self._balancer.recent_answers.counts(trio.current_time())]

    def _on_report(self, instance: InstanceId, report: InstanceReport) -> None:
        if not self._port.fleet.reaches_runners(instance):
            self._strikes.withdraw_reports(instance)
            return
        counts = parse_rows(report.answers, count_from_row)
        self._strikes.record_report(trio.current_time(), instance, counts)
        if self._port.is_home() and any(one.broke for one in counts):
            self._update_suspects()

    def _on_marks_taken_over(
        self, unresponsive: frozenset[RunnerId], suspects: frozenset[RunnerId]
    ) -> None:
        self._strikes.take_over(trio.current_time(), suspects)
        self._update_suspects()

    def _engines(self) -> set[RunnerId]:
        runners = self._port.runners.by_id.values()
        return {runner.id for runner in runners if self._store.engine(runner.service)}

    def _update_suspects(self) -> None:
        now_s = trio.current_time()
        own = self.kernel.settings.instance
        self._strikes.record_report(now_s, own, self._balancer.recent_answers.counts(now_s))
        self._strikes.retain(self._port.runners.by_id)
        suspects = self._strikes.suspects(now_s, self._engines())
        if suspects != self._port.runners.suspects:
            log(Event.RUNNERS_SUSPECTED, runners=",".join(sorted(suspects)))
            self._port.runners.suspects = suspects
            self._port.report_soon()
