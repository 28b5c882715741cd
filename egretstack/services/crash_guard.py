"""Finds out whether the runner of a broken run has ended, and what it was running; tells the home.

The home learns it from reports, and tells all instances in its news.
"""

from collections.abc import Callable
from contextlib import AbstractContextManager
from dataclasses import dataclass, field
from enum import Enum

import trio

from egretstack.crashes import CrashReports, Strike, clear_from_row, strike_from_row, strike_weight
from egretstack.events import Event, log
from egretstack.fleet import InstanceReport, Runner
from egretstack.http1 import ConnectFailed
from egretstack.ids import ContentId, InstanceId, RunnerId
from egretstack.kernel import Kernel, Service
from egretstack.messages import MessageError
from egretstack.relay import CrashGuard
from egretstack.services._runner_health import NoHealthAnswer, ask_health
from egretstack.services.engine_reports import EngineReports
from egretstack.services.fleet_port import FleetPort
from egretstack.services.relay_metrics import RelayMetrics
from egretstack.services.store_reading import StoreReading

CONNECT_TIMEOUT_S = 0.15
HEALTH_TIMEOUT_S = 0.2
MOST_PROBES = 3
PROBE_AGAIN_S = 0.5
"""Pause after a probe that told nothing: what starts in the runner's place may not be up yet."""
NOTICE_S = 0.5
"""A runner that was known to leave for longer ends by plan."""
FORGET_PERIOD_S = 30.0


class _Word(Enum):
    """What came of a probe."""

    LIVES = "lives"
    ENDED = "ended"
    UNKNOWN = "unknown"


@dataclass
class _BrokenRun:
    attempt: str
    content: ContentId
    sent_s: float
    first_event_s: float | None
    broke_s: float
    judged: trio.Event = field(default_factory=trio.Event)


class CrashGuardService(Service, CrashGuard):
    """Probes runners whose runs broke, and shares what it finds."""

    name = "crash_guard"
    requires = ("engine_reports", "fleet_port", "relay_metrics", "store_reading")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._port = kernel.get(FleetPort)
        self._store = kernel.get(StoreReading)
        self._engine_reports = kernel.get(EngineReports)
        self._reports = CrashReports()
        self._broken_by_runner: dict[RunnerId, list[_BrokenRun]] = {}
        """Broken runs of the runners that are being probed."""
        self._nursery: trio.Nursery | None = None
        gauge = kernel.get(RelayMetrics).gauge(
            "egret_relay_refused_contents",
            "Requests that no runner gets, as runners end under them.",
        )
        gauge.set_function(self._port.crashes.refused_count)

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Probe and share until cancelled."""
        self._port.strikes = lambda: self._reports.strike_rows(trio.current_time())
        self._port.clears = lambda: self._reports.clear_rows(trio.current_time())
        self._port.on_report(self._take_report)
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            while True:
                await trio.sleep(FORGET_PERIOD_S)
                self._port.crashes.forget_expired(trio.current_time())

    def refuses(self, content: ContentId) -> bool:
        """Tell whether no runner may get a request now."""
        return self._port.crashes.is_refused(content)

    def told_when_refused(
        self, content: ContentId, wake: Callable[[], None]
    ) -> AbstractContextManager[None]:
        """Call `wake` if a request is refused while the context lasts."""
        return self._port.crashes.notify_when_refused(content, wake)

    def answered(self, content: ContentId) -> None:
        """Take note that a runner ran a request to an end and lives."""
        now_s = trio.current_time()
        cleared_round = self._port.clear(now_s, content)
        if cleared_round is not None:
            self._reports.record_clear(now_s, content, cleared_round)
            self._port.tell_soon()

    def broke(
        self,
        attempt: str,
        content: ContentId,
        runner: RunnerId,
        sent_s: float,
        first_event_s: float | None = None,
    ) -> trio.Event:
        """Take note that a run broke off at a runner; find out whether that has ended."""
        broken = _BrokenRun(attempt, content, sent_s, first_event_s, trio.current_time())
        known = self._port.runners.by_id.get(runner)
        if known is None or self._nursery is None or self._is_leaving(runner):
            broken.judged.set()
        elif runner in self._broken_by_runner:
            self._broken_by_runner[runner].append(broken)
        else:
            self._broken_by_runner[runner] = [broken]
            self._nursery.start_soon(self._probe, known)
        if self._port.crashes.is_suspected(content):
            return broken.judged
        unsuspected = trio.Event()
        unsuspected.set()
        return unsuspected

    def _is_leaving(self, runner: RunnerId) -> bool:
        stopped_s = self._port.runners.stopped_s(runner)
        return stopped_s is not None and trio.current_time() - stopped_s > NOTICE_S

    async def _probe(self, runner: Runner) -> None:
        """Ask a runner until it is known whether it has ended, a few times at most."""
        word = await self._ask(runner)
        for _ in range(MOST_PROBES - 1):
            if word is not _Word.UNKNOWN:
                break
            for broken in self._broken_by_runner[runner.id]:
                broken.judged.set()
            await trio.sleep(PROBE_AGAIN_S)
            word = await self._ask(runner)
        if word is _Word.UNKNOWN and self._port.runners.stopped_s(runner.id) is not None:
            word = _Word.ENDED  # Its entry is gone too.
        for broken in self._broken_by_runner.pop(runner.id):
            self._judge(runner.id, broken, ended=word is _Word.ENDED)
            broken.judged.set()
        if word is _Word.ENDED:
            self._port.tell_soon()

    async def _ask(self, runner: Runner) -> _Word:
        """Find out whether a runner accepts no connection, or another one answers in its place.

        One that is busy answers late or rejects the question, and has not ended.
        """
        plan = self._store.service(runner.service)
        path = "/" if plan is None else plan.health_path
        try:
            health = await ask_health(runner, path, CONNECT_TIMEOUT_S, HEALTH_TIMEOUT_S)
        except ConnectFailed:
            return _Word.ENDED
        except NoHealthAnswer:
            return _Word.ENDED if self._port.runners.is_gone(runner.id) else _Word.UNKNOWN
        other = health is not None and health.name != runner.incarnation.name
        return _Word.ENDED if other or self._port.runners.is_gone(runner.id) else _Word.LIVES

    def _judge(self, runner: RunnerId, broken: _BrokenRun, *, ended: bool) -> None:
        log(
            Event.RUN_BROKEN,
            request=broken.attempt,
            content=broken.content,
            runner=runner,
            ran_ms=round((broken.broke_s - broken.sent_s) * 1000),
            ended=ended,
        )
        if not ended:
            return
        strike = Strike(
            runner,
            broken.sent_s,
            broken.broke_s,
            strike_weight(broken.first_event_s, broken.broke_s),
            self._port.crashes.round(broken.content),
        )
        self._strike(broken.content, strike)
        self._reports.record_strike(broken.content, strike)

    def _strike(self, content: ContentId, strike: Strike) -> None:
        if self._port.strike(trio.current_time(), content, strike):
            self._engine_reports.ended(strike.runner)

    def _take_report(self, instance: InstanceId, report: InstanceReport) -> None:
        now_s = trio.current_time()
        try:
            strikes = [strike_from_row(row, now_s) for row in report.strikes]
            clears = [clear_from_row(row) for row in report.clears]
        except MessageError as error:
            log(Event.PEER_REFUSED, sender=instance, error=str(error))
            return
        for content, strike in strikes:
            self._strike(content, strike)
        for content, cleared_round in clears:
            self._port.take_clear(now_s, content, cleared_round)
