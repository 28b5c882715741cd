"""Reads the engines' own reports, as the home, for the whole fleet.

Reports show a leaving or dead engine sooner than the store does, and also while the store cannot.
With one reader their number does not grow with the number of instances.
"""

from collections.abc import Callable

import trio

from egretstack.events import Event, log
from egretstack.fleet import Runner, RunnerState, UnansweredQueries
from egretstack.http1 import ConnectFailed, ConnectionPool, UpstreamBroken, exchange
from egretstack.ids import RunnerId
from egretstack.kernel import Kernel, Service, WorkKind
from egretstack.platform import BadBody, report_request, runner_report
from egretstack.services.fleet_port import IDLE_POLL_INTERVAL_S, FleetPort
from egretstack.services.runner_links import RunnerLinks
from egretstack.services.store_reading import StoreReading
from egretstack.traffic import RunnerReport

POLL_INTERVAL_S = 0.1
PERIOD_S = 1.0
"""Each report costs a call; while the store is reachable, its list shows leaving runners sooner."""
STORE_UNAVAILABLE_AGE_S = 1.0
"""Age of the list of runners from which reports take its place."""
STORE_UNAVAILABLE_PERIOD_S = 0.25
"""Runners end some 1.5 s after their notice, and a run needs most of that time to move."""
TIMEOUT_S = 0.5
MAX_REPORT_BYTES = 65_536
"""Limit of one report; those of all engines are read at once. A run takes some 50 bytes."""


class EngineReports(Service):
    """Learns from engines whether they leave or do not answer."""

    name = "engine_reports"
    requires = ("fleet_port", "runner_links", "store_reading")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._port = kernel.get(FleetPort)
        self._store = kernel.get(StoreReading)
        links = kernel.get(RunnerLinks)
        self._pool = ConnectionPool(max_idle=1, dialer=links)
        links.on_change(self._pool.close)
        self._unanswered = UnansweredQueries()
        self._requested_s = float("-inf")
        self._listeners: list[Callable[[RunnerId, RunnerReport], None]] = []

    def on_report(self, listener: Callable[[RunnerId, RunnerReport], None]) -> None:
        """Call `listener` with each report."""
        self._listeners.append(listener)

    def record_ended(self, runner: RunnerId) -> None:
        """Record, as the home, that an instance found a runner to have ended.

        Its missing reports would show this only a second or two later, when copies and places at
        that runner are already lost.
        """
        engines = self._engines()
        if self._port.is_home() and any(one.id == runner for one in engines):
            self._unanswered.record_ended(runner)
            self._publish_unresponsive(engines)

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Read reports while this instance is the home."""
        self._port.on_marks_taken_over(self._on_marks_taken_over)
        task_status.started()
        rounds = self.kernel.unforeseen.repeated(WorkKind.ROUND, loop=self.name)
        try:
            async with trio.open_nursery() as nursery:
                while True:
                    await trio.sleep(
                        POLL_INTERVAL_S if self._port.is_home() else IDLE_POLL_INTERVAL_S
                    )
                    with rounds.attempt():
                        if self._port.is_home() and self._is_due():
                            self._check_all(nursery)
        finally:
            self._pool.close()

    def _on_marks_taken_over(
        self, unresponsive: frozenset[RunnerId], suspects: frozenset[RunnerId]
    ) -> None:
        for runner in unresponsive:
            self._unanswered.record_ended(runner)
        self._publish_unresponsive(self._engines())

    def _is_due(self) -> bool:
        now_s = trio.current_time()
        unavailable = self._port.runners.age_s(now_s) > STORE_UNAVAILABLE_AGE_S
        return now_s - self._requested_s >= (
            STORE_UNAVAILABLE_PERIOD_S if unavailable else PERIOD_S
        )

    def _check_all(self, nursery: trio.Nursery) -> None:
        self._requested_s = trio.current_time()
        engines = self._engines()
        self._publish_unresponsive(engines)
        for runner in engines:
            nursery.start_soon(self._check, runner)

    def _engines(self) -> list[Runner]:
        return [
            runner
            for runner in self._port.runners.by_id.values()
            if runner.state is RunnerState.READY
            and runner.zone not in self._port.runners.evacuated
            and self._store.engine(runner.service)
        ]

    def _publish_unresponsive(self, engines: list[Runner]) -> None:
        unresponsive = self._unanswered.unresponsive({runner.id for runner in engines})
        if unresponsive != self._port.runners.unresponsive:
            log(Event.RUNNERS_SILENT, runners=",".join(sorted(unresponsive)))
            self._port.runners.unresponsive = unresponsive
            self._port.report_soon()

    async def _check(self, runner: Runner) -> None:
        with self.kernel.unforeseen.confined(WorkKind.EXCHANGE, runner=runner.id):
            await self._check_report(runner)

    async def _check_report(self, runner: Runner) -> None:
        report = await self._request_report(runner)
        if report is None:
            self._unanswered.record_miss(runner.id)
            return
        if report.started_ms not in (None, runner.incarnation.started_ms):
            self._port.record_runner_start(runner.id, report.started_ms)
            return
        self._unanswered.record_answer(runner.id)
        for listener in self._listeners:
            listener(runner.id, report)
        if report.leaving or report.leaves_in_s is not None:
            self._port.record_leaving(runner.id)

    async def _request_report(self, runner: Runner) -> RunnerReport | None:
        """Request the report of one engine; return None if no readable report comes."""
        try:
            connection = await self._pool.acquire(runner.address, TIMEOUT_S)
        except ConnectFailed:
            return None
        try:
            with trio.fail_after(TIMEOUT_S):
                head, body = await exchange(
                    connection, report_request(runner.address), b"", MAX_REPORT_BYTES
                )
            report = runner_report(body) if head.status == 200 else None
        except (UpstreamBroken, trio.TooSlowError, BadBody) as error:
            connection.close()
            log(Event.REPORT_UNREADABLE, runner=runner.id, error=repr(error))
            return None
        except BaseException:
            connection.close()
            raise
        self._pool.release(connection)
        return report
