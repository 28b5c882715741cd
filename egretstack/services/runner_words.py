"""Records the signals that runners send with their answers to this instance."""

import trio

from egretstack.events import Event, log
from egretstack.fleet import InstanceReport, limit_from_row, parse_rows
from egretstack.ids import InstanceId, RunnerId
from egretstack.kernel import Kernel, Service
from egretstack.relay import RunnerSignals
from egretstack.services.brittle_runners import BrittleRunners
from egretstack.services.fleet_port import FleetPort
from egretstack.services.placing_home import PlacingHome
from egretstack.services.relay_metrics import RelayMetrics
from egretstack.traffic import RunnerAnswer

FORGET_PERIOD_S = 30.0


class RunnerSignalsService(Service, RunnerSignals):
    """Learns a runner's limit of requests per second, its backoff, or that it leaves."""

    name = "runner_words"
    requires = ("brittle_runners", "fleet_port", "placing_home", "relay_metrics")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._port = kernel.get(FleetPort)
        self._backoffs = kernel.get(PlacingHome).backoffs
        self._send_bounds = kernel.get(PlacingHome).send_bounds
        self._brittle = kernel.get(BrittleRunners)
        gauge = kernel.get(RelayMetrics).gauge(
            "egret_relay_limited_runners", "Runners that name how many requests a second they take."
        )
        gauge.set_function(lambda: len(self._port.limits.limited()))
        self._invalid_loads = kernel.get(RelayMetrics).counter(
            "egret_relay_invalid_loads", "Answers whose stated load could not be read completely."
        )

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Drop the state of removed runners until cancelled."""
        self._port.on_report_received(self._on_report)
        task_status.started()
        while True:
            await trio.sleep(FORGET_PERIOD_S)
            self._port.limits.retain(self._port.runners.by_id)
            self._send_bounds.forget_removed()

    def on_answer(self, runner: RunnerId, answer: RunnerAnswer, sent_s: float) -> None:
        """Record the signals in a runner's answer to a request that was sent at `sent_s`."""
        if answer.misdirected:
            return  # The signal of another runner.
        if answer.load_invalid:
            self._invalid_loads.inc()
        self._port.record_runner_limit(runner, answer.limit_per_s, sent_s)
        self._brittle.on_answer(runner, answer, sent_s)
        is_new = answer.leaving and not self._port.runners.is_leaving(runner)
        if is_new or answer.backoff_s is not None:
            log(Event.RUNNER_WORD, runner=runner, leaving=answer.leaving, rest_s=answer.backoff_s)
        if answer.leaving:
            self._port.record_leaving(runner)
        if answer.backoff_s is not None:
            self._backoffs.record_requested(trio.current_time(), runner, answer.backoff_s)

    def _on_report(self, instance: InstanceId, report: InstanceReport) -> None:
        """Record what another instance has heard. Raises MessageError."""
        for runner in parse_rows(report.leaving, lambda row: RunnerId(str(row))):
            self._port.record_leaving(runner)
        for runner, per_s, age_s in parse_rows(report.limits, limit_from_row):
            if runner in self._port.runners.by_id:
                self._port.record_peer_limit(runner, per_s, age_s)
