"""Finds out whether the runner of a broken run has ended, and reports it with its requests.

The home learns it from reports, and sends it to all instances in its updates. What is refused is
decided here from both records, of whole requests and of the parts of their prompts.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from enum import Enum

import trio

from egretstack.crashes import (
    CrashReports,
    PartStrike,
    Strike,
    clear_from_row,
    strike_from_row,
    strike_weight,
)
from egretstack.errors import ErrorKind
from egretstack.events import Event, log
from egretstack.fleet import InstanceReport, Runner
from egretstack.http1 import ConnectFailed, NotReached
from egretstack.ids import AttemptId, ContentId, InstanceId, RunnerId
from egretstack.kernel import Kernel, Service, WorkKind
from egretstack.messages import MessageError
from egretstack.relay import CrashGuard, Refusal
from egretstack.services._runner_health import NoHealthAnswer, fetch_health
from egretstack.services.engine_reports import EngineReports
from egretstack.services.fleet_port import FleetPort
from egretstack.services.part_records import PartRecords
from egretstack.services.relay_metrics import RelayMetrics
from egretstack.services.runner_links import RunnerLinks
from egretstack.services.store_reading import StoreReading
from egretstack.traffic import Fingerprint

CONNECT_TIMEOUT_S = 0.15
HEALTH_TIMEOUT_S = 1.0
"""Time for a health answer. Most take some 5 ms; on a busy machine the process that follows a
runner at its address, whose answer shows that the runner has ended, may take much longer."""
MAX_PROBES = 4
PROBE_RETRY_S = 0.5
"""Pause after a probe without a result: the runner's replacement may not be up yet."""
PLANNED_END_NOTICE_S = 0.5
"""A runner that was known to leave for longer than this has ended as planned."""
FORGET_PERIOD_S = 30.0
MAX_PARTS_LOGGED = 16


class _ProbeResult(Enum):
    """The result of a probe."""

    LIVES = "lives"
    ENDED = "ended"
    UNKNOWN = "unknown"


@dataclass
class _BrokenRun:
    attempt: str
    request: Fingerprint
    sent_s: float
    first_event_s: float | None
    broke_s: float
    has_proven: bool
    decided: trio.Event = field(default_factory=trio.Event)

    @property
    def wrote_ms(self) -> int | None:
        """The time from its stream's first event to its break; None if there was no event."""
        if self.first_event_s is None:
            return None
        return round((self.broke_s - self.first_event_s) * 1000)


class CrashGuardService(Service, CrashGuard):
    """Probes runners whose runs broke, and shares the results."""

    name = "crash_guard"
    requires = (
        "engine_reports",
        "fleet_port",
        "part_records",
        "relay_metrics",
        "runner_links",
        "store_reading",
    )

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._port = kernel.get(FleetPort)
        self._store = kernel.get(StoreReading)
        self._links = kernel.get(RunnerLinks)
        self._engine_reports = kernel.get(EngineReports)
        self._parts = kernel.get(PartRecords)
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
        """Probe and share results until cancelled."""
        self._port.strike_rows = lambda: self._reports.strike_rows(trio.current_time())
        self._port.clear_rows = lambda: self._reports.clear_rows(trio.current_time())
        self._port.on_report_received(self._on_report)
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            while True:
                await trio.sleep(FORGET_PERIOD_S)
                self._port.crashes.forget_expired(trio.current_time())

    def refusal(self, request: Fingerprint) -> Refusal | None:
        """Return why no runner may get a request now; None if it may be sent."""
        if self._is_content_refused(request):
            return Refusal(ErrorKind.CRASHES_RUNNERS)
        part = self._parts.refused_part(request)
        return None if part is None else Refusal(ErrorKind.PART_CRASHES_RUNNERS, part)

    def _is_content_refused(self, request: Fingerprint) -> bool:
        """Return whether ends that no part of another request explains refuse a request."""
        if not self._port.crashes.is_refused(request.content):
            return False
        record = self._port.crashes.record(request.content)
        explained = self._parts.runners_ended_by_others(request)
        return record.without(explained).is_refused

    @contextmanager
    def notify_when_refused(self, request: Fingerprint, wake: Callable[[], None]) -> Iterator[None]:
        """Call `wake` if a request is refused while the context lasts."""
        with (
            self._port.crashes.notify_when_refused(request.content, wake),
            self._parts.notify_when_refused(request, wake),
        ):
            yield

    def record_answered(self, request: Fingerprint) -> None:
        """Record that a runner completed a request and is alive."""
        now_s = trio.current_time()
        cleared_round = self._port.record_clear(now_s, request.content)
        if cleared_round is not None:
            self._reports.record_clear(now_s, request.content, cleared_round)
            self._port.report_soon()

    def record_writing(self, request: Fingerprint, began_s: float) -> None:
        """Record that a runner has not crashed as it began to answer at a time."""
        self._parts.record_proof(request, began_s)

    def record_broken_run(
        self,
        attempt: str,
        request: Fingerprint,
        runner: RunnerId,
        sent_s: float,
        first_event_s: float | None = None,
        *,
        has_proven: bool = False,
    ) -> trio.Event:
        """Record that a run broke off at a runner; find out whether that runner has ended.

        Returns an event that is set after the next probe of the runner, or at once if no record
        of strikes exists for the request or its parts.
        """
        broken = _BrokenRun(
            attempt, request, sent_s, first_event_s, trio.current_time(), has_proven
        )
        known = self._port.runners.by_id.get(runner)
        if known is None or self._nursery is None or self._is_leaving(runner):
            broken.decided.set()
        elif runner in self._broken_by_runner:
            self._broken_by_runner[runner].append(broken)
        else:
            self._broken_by_runner[runner] = [broken]
            self._nursery.start_soon(self._probe, known)
        crashes = self._port.crashes
        if crashes.is_suspected(request.content) or self._parts.is_suspected(request):
            return broken.decided
        unsuspected = trio.Event()
        unsuspected.set()
        return unsuspected

    def _is_leaving(self, runner: RunnerId) -> bool:
        stopped_s = self._port.runners.stopped_since_s(runner)
        return stopped_s is not None and trio.current_time() - stopped_s > PLANNED_END_NOTICE_S

    async def _probe(self, runner: Runner) -> None:
        """Probe a runner, and let those that wait for the result go on in any case."""
        with self.kernel.unforeseen.confined(WorkKind.EXCHANGE, runner=runner.id):
            await self._probe_until_known(runner)
        for broken in self._broken_by_runner.pop(runner.id, ()):
            broken.decided.set()

    async def _probe_until_known(self, runner: Runner) -> None:
        """Probe a runner until it is known whether it has ended, a few times at most."""
        began_s = trio.current_time()
        probes = 1
        result = await self._probe_once(runner)
        while result is _ProbeResult.UNKNOWN and probes < MAX_PROBES:
            for broken in self._broken_by_runner[runner.id]:
                broken.decided.set()
            await trio.sleep(PROBE_RETRY_S)
            result = await self._probe_once(runner)
            probes += 1
        log(
            Event.RUNNER_PROBED,
            runner=runner.id,
            result=result.value,
            probes=probes,
            took_ms=round((trio.current_time() - began_s) * 1000),
        )
        if (
            result is _ProbeResult.UNKNOWN
            and self._port.runners.stopped_since_s(runner.id) is not None
        ):
            result = _ProbeResult.ENDED  # Its entry is missing too.
        for broken in self._broken_by_runner.pop(runner.id):
            self._record_outcome(runner.id, broken, ended=result is _ProbeResult.ENDED)
            broken.decided.set()
        if result is _ProbeResult.ENDED:
            self._port.report_soon()

    async def _probe_once(self, runner: Runner) -> _ProbeResult:
        """Find out whether a runner accepts no connection, or another one answers in its place.

        A busy runner answers late or rejects the request, and has not ended.
        """
        plan = self._store.service(runner.service)
        path = "/" if plan is None else plan.health_path
        try:
            health = await fetch_health(
                self._links, runner, path, CONNECT_TIMEOUT_S, HEALTH_TIMEOUT_S
            )
        except NotReached:
            return _ProbeResult.UNKNOWN
        except ConnectFailed:
            return _ProbeResult.ENDED
        except NoHealthAnswer:
            return (
                _ProbeResult.ENDED
                if self._port.runners.is_gone(runner.id)
                else _ProbeResult.UNKNOWN
            )
        other = health is not None and health.name != runner.incarnation.name
        return (
            _ProbeResult.ENDED
            if other or self._port.runners.is_gone(runner.id)
            else _ProbeResult.LIVES
        )

    def _record_outcome(self, runner: RunnerId, broken: _BrokenRun, *, ended: bool) -> None:
        log(
            Event.RUN_BROKEN,
            request=broken.attempt,
            content=broken.request.content,
            parts=",".join(broken.request.parts[:MAX_PARTS_LOGGED]),
            runner=runner,
            ran_ms=round((broken.broke_s - broken.sent_s) * 1000),
            wrote_ms=broken.wrote_ms,
            ended=ended,
        )
        if not ended:
            return
        strike = Strike(
            runner,
            broken.sent_s,
            broken.broke_s,
            strike_weight(broken.first_event_s, broken.broke_s),
            self._port.crashes.round(broken.request.content),
        )
        self._record_strike(broken.request.content, strike)
        self._reports.record_strike(broken.request.content, strike)
        if not broken.has_proven:
            attempt = AttemptId(broken.attempt)
            self._parts.record_strike(
                broken.request, PartStrike(runner, broken.sent_s, broken.broke_s, attempt)
            )

    def _record_strike(self, content: ContentId, strike: Strike) -> None:
        if self._port.record_strike(trio.current_time(), content, strike):
            self._engine_reports.record_ended(strike.runner)

    def _on_report(self, instance: InstanceId, report: InstanceReport) -> None:
        now_s = trio.current_time()
        try:
            strikes = [strike_from_row(row, now_s) for row in report.strikes]
            clears = [clear_from_row(row) for row in report.clears]
        except MessageError as error:
            log(Event.PEER_REFUSED, sender=instance, error=str(error))
            return
        for content, strike in strikes:
            self._record_strike(content, strike)
        for content, cleared_round in clears:
            self._port.apply_clear(now_s, content, cleared_round)
