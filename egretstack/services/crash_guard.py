"""Finds out whether the runner of a broken run has ended, and notes what it was running."""

from dataclasses import dataclass, field

import trio

from egretstack.events import Event, log
from egretstack.fleet import Runner
from egretstack.http1 import ConnectFailed, connect_upstream
from egretstack.ids import ContentId, RunnerId
from egretstack.kernel import Kernel, Service
from egretstack.relay import CrashGuard
from egretstack.services.fleet_port import FleetPort

PROBE_TIMEOUT_S = 0.15
NOTICE_S = 0.5
"""A runner that was known to leave for longer ends by plan."""


@dataclass
class _BrokenRun:
    attempt: str
    content: ContentId
    sent_s: float
    broke_s: float
    judged: trio.Event = field(default_factory=trio.Event)


class CrashGuardService(Service, CrashGuard):
    """Probes runners whose runs broke."""

    name = "crash_guard"
    requires = ("fleet_port",)

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._port = kernel.get(FleetPort)
        self._broken_by_runner: dict[RunnerId, list[_BrokenRun]] = {}
        """Broken runs of the runners that are being probed."""
        self._nursery: trio.Nursery | None = None

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Probe until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    def broke(
        self, attempt: str, content: ContentId, runner: RunnerId, sent_s: float
    ) -> trio.Event:
        """Take note that a run broke off at a runner."""
        broken = _BrokenRun(attempt, content, sent_s, trio.current_time())
        known = self._port.runners.by_id.get(runner)
        if known is None or self._nursery is None or self._is_leaving(runner):
            broken.judged.set()
            return broken.judged
        waiting = self._broken_by_runner.get(runner)
        if waiting is not None:
            waiting.append(broken)
            return broken.judged
        self._broken_by_runner[runner] = [broken]
        self._nursery.start_soon(self._probe, known)
        return broken.judged

    def _is_leaving(self, runner: RunnerId) -> bool:
        stopped_s = self._port.runners.stopped_s(runner)
        return stopped_s is not None and trio.current_time() - stopped_s > NOTICE_S

    async def _probe(self, runner: Runner) -> None:
        """Find out whether a runner still accepts connections."""
        ended = False
        try:
            connection = await connect_upstream(runner.address, PROBE_TIMEOUT_S)
            connection.close()
        except ConnectFailed:
            ended = True
        for broken in self._broken_by_runner.pop(runner.id):
            self._judge(runner.id, broken, ended=ended)
            broken.judged.set()

    def _judge(self, runner: RunnerId, broken: _BrokenRun, *, ended: bool) -> None:
        log(
            Event.RUN_BROKEN,
            request=broken.attempt,
            content=broken.content,
            runner=runner,
            ran_ms=round((broken.broke_s - broken.sent_s) * 1000),
            ended=ended,
        )
