"""Takes what runners say of themselves beside their answers to this instance."""

import trio

from egretstack.events import Event, log
from egretstack.fleet import InstanceReport, limit_of, rows_of
from egretstack.ids import InstanceId, RunnerId
from egretstack.kernel import Kernel, Service
from egretstack.messages import MessageError
from egretstack.relay import RunnerWords
from egretstack.services.fleet_port import FleetPort
from egretstack.services.placing_home import PlacingHome
from egretstack.services.relay_metrics import RelayMetrics
from egretstack.traffic import RunnerAnswer

FORGET_PERIOD_S = 30.0


class RunnerWordsService(Service, RunnerWords):
    """Learns what runners take: so many requests a second, none for a while, or no more."""

    name = "runner_words"
    requires = ("fleet_port", "placing_home", "relay_metrics")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._port = kernel.get(FleetPort)
        self._rests = kernel.get(PlacingHome).rests
        self._bounds = kernel.get(PlacingHome).bounds
        gauge = kernel.get(RelayMetrics).gauge(
            "egret_relay_limited_runners", "Runners that name how many requests a second they take."
        )
        gauge.set_function(lambda: len(self._port.limits.limited()))

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Forget runners that are gone, until cancelled."""
        self._port.on_report(self._take_report)
        task_status.started()
        while True:
            await trio.sleep(FORGET_PERIOD_S)
            self._port.limits.forget(self._port.runners.by_id)
            self._bounds.forget_removed()

    def heard(self, runner: RunnerId, answer: RunnerAnswer, sent_s: float) -> None:
        """Take what a runner says beside its answer to a request that was sent at `sent_s`."""
        if answer.misdirected:
            return  # Another runner's word.
        self._port.hear_limit(runner, answer.limit_per_s, sent_s)
        is_news = answer.leaving and not self._port.runners.is_leaving(runner)
        if is_news or answer.rest_s is not None:
            log(Event.RUNNER_WORD, runner=runner, leaving=answer.leaving, rest_s=answer.rest_s)
        if answer.leaving:
            self._port.notice(runner)
        if answer.rest_s is not None:
            self._rests.record_requested(trio.current_time(), runner, answer.rest_s)

    def _take_report(self, instance: InstanceId, report: InstanceReport) -> None:
        try:
            limits = rows_of(report.limits, limit_of)
            leaving = rows_of(report.leaving, lambda row: RunnerId(str(row)))
        except MessageError as error:
            log(Event.PEER_REFUSED, sender=instance, error=str(error))
            return
        for runner in leaving:
            self._port.notice(runner)
        for runner, per_s, age_s in limits:
            if runner in self._port.runners.by_id:
                self._port.take_limit(runner, per_s, age_s)
