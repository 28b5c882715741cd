"""Takes what runners say of themselves beside their answers to this instance."""

import trio

from egretstack.events import Event, log
from egretstack.ids import RunnerId
from egretstack.kernel import Kernel, Service
from egretstack.relay import RunnerWords
from egretstack.services.fleet_port import FleetPort
from egretstack.services.relay_metrics import RelayMetrics
from egretstack.traffic import RunnerAnswer

FORGET_PERIOD_S = 30.0


class RunnerWordsService(Service, RunnerWords):
    """Learns how many requests a second runners take."""

    name = "runner_words"
    requires = ("fleet_port", "relay_metrics")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._port = kernel.get(FleetPort)
        gauge = kernel.get(RelayMetrics).gauge(
            "egret_relay_limited_runners", "Runners that name how many requests a second they take."
        )
        gauge.set_function(lambda: len(self._port.limits.limited()))

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Forget runners that are gone, until cancelled."""
        task_status.started()
        while True:
            await trio.sleep(FORGET_PERIOD_S)
            self._port.limits.forget(self._port.runners.by_id)

    def heard(self, runner: RunnerId, answer: RunnerAnswer, sent_s: float) -> None:
        """Take what a runner says beside its answer to a request that was sent at `sent_s`."""
        if answer.misdirected:
            return  # Another runner's word.
        was_limited = self._port.limits.per_s(runner) is not None
        if not self._port.limits.heard(trio.current_time(), runner, answer.limit_per_s, sent_s):
            return
        if answer.limit_per_s is None:
            log(Event.RUNNER_UNLIMITED, runner=runner)
        elif not was_limited:
            log(Event.RUNNER_LIMITED, runner=runner, per_s=answer.limit_per_s)
