"""Keeps known, on all instances, which runners are brittle."""

import trio

from egretstack.events import Event, log
from egretstack.fleet import InstanceReport, limit_from_row, parse_rows
from egretstack.ids import InstanceId, RunnerId
from egretstack.kernel import Kernel, Service
from egretstack.messages import MessageError
from egretstack.services._news_rows import BRITTLE, InvalidRows, RowByKey, parse_limit_row
from egretstack.services.fleet_news import FleetUpdatesService
from egretstack.services.fleet_port import FleetPort
from egretstack.services.placing_home import PlacingHome
from egretstack.traffic import RunnerAnswer

FORGET_PERIOD_S = 30.0


class BrittleRunners(Service):
    """Learns from answers, reports and the home which runners are brittle."""

    name = "brittle_runners"
    requires = ("fleet_news", "fleet_port", "placing_home")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._port = kernel.get(FleetPort)
        self._stated = self._port.brittle
        self._allocation = kernel.get(PlacingHome).brittle_allocation
        self._invalid_rows = InvalidRows(Event.HOME_ROWS_INVALID)
        # Before any service runs: rows are applied only as they come or change.
        kernel.get(FleetUpdatesService).add_row_kind(BRITTLE, self._rows, self._apply_rows)

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Drop the state of removed runners until cancelled."""
        self._port.on_report_received(self._on_report)
        task_status.started()
        while True:
            await trio.sleep(FORGET_PERIOD_S)
            self._stated.retain(self._port.runners.by_id)

    def on_answer(self, runner: RunnerId, answer: RunnerAnswer, sent_s: float) -> None:
        """Record what a runner's answer to a request that was sent at `sent_s` says."""
        now_s = trio.current_time()
        if self._stated.record_answer(now_s, runner, answer.brittle_per_s, sent_s):
            self._on_changed(runner)
        if answer.rejected:
            self._allocation.record_rejected(now_s, runner)

    def _on_report(self, instance: InstanceId, report: InstanceReport) -> None:
        try:
            rows = parse_rows(report.brittle, limit_from_row)
        except MessageError as error:
            log(Event.PEER_REFUSED, sender=instance, error=str(error))
            return
        now_s = trio.current_time()
        for runner, per_s, age_s in rows:
            if runner in self._port.runners.by_id and self._stated.record_reported(
                now_s, runner, per_s, now_s - age_s
            ):
                self._on_changed(runner)

    def _rows(self) -> RowByKey:
        return {f"{BRITTLE}{runner}": [per_s] for runner, per_s in self._stated.limited().items()}

    def _apply_rows(self, rows: RowByKey) -> None:
        parsed = self._invalid_rows.parse(rows, parse_limit_row)
        stated = {RunnerId(key[1:]): per_s for key, per_s in parsed.items()}
        for runner in self._stated.apply_home_limits(trio.current_time(), stated):
            self._on_changed(runner)

    def _on_changed(self, runner: RunnerId) -> None:
        per_s = self._stated.per_s(runner)
        if per_s is None:
            log(Event.RUNNER_NOT_BRITTLE, runner=runner)
        else:
            log(Event.RUNNER_BRITTLE, runner=runner, per_s=per_s)
        self._port.report_soon()
