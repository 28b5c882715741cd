"""Runners of every service: clients by id, and the load reports of engines."""

import random
from collections.abc import Callable

import trio

from egretstack.contracts import ServiceKind, ServiceSpec
from egretstack.events import Event, log
from egretstack.ids import InstanceId, RunnerId, ServiceName, ZoneName
from egretstack.kernel import Kernel, Service
from egretstack.membership import (
    MAX_REPORTS,
    NearbyReports,
    ReportChooser,
    ReportSchedule,
    RunnerWatch,
)
from egretstack.objectapi import Member, MemberState
from egretstack.policy import PolicyEvent, RunnerInfo, RunnerLeft, RunnerReported, RunnerSeen
from egretstack.services.configuration import Configuration
from egretstack.services.instances import Instances
from egretstack.services.membership import Membership
from egretstack.services.platform_access import PlatformAccess
from egretstack.upstreams import EngineClient, EngineError, LoadReport, PlainService

REPORT_TIMEOUT_S = 2.0
NOTICE_RENEWAL_S = 60.0
"""How often a notice is repeated while a runner's own report says that it leaves."""
CLIENT_TTL_S = 3600.0
"""How long the client of a runner that is no longer listed is kept, for what still runs there."""


class Runners(Service):
    """Follows list, notices and reports; notifies the policy if engines join, report or leave."""

    name = "runners"
    requires = ("platform_access", "instances", "membership", "configuration")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        settings = kernel.settings
        self._zone = ZoneName(settings.text("instance", "zone"))
        own = InstanceId(settings.text("instance", "id"))
        self._chooser: ReportChooser = NearbyReports(own, self._zone)
        self._rng = random.Random()
        self._watch = RunnerWatch()
        self._engine_by_id: dict[RunnerId, EngineClient] = {}
        self._member_by_id: dict[RunnerId, Member] = {}
        self._unlisted_s: dict[RunnerId, float] = {}
        self._renewed_s: dict[RunnerId, float] = {}
        self._listeners: list[Callable[[PolicyEvent], None]] = []
        self._schedule = ReportSchedule(
            settings.number("engines", "report_readings_per_s"),
            settings.number("engines", "report_period_s"),
            self._rng,
        )
        self._busy: set[RunnerId] = set()
        self._schedule_changed = trio.Event()

    def on_event(self, listener: Callable[[PolicyEvent], None]) -> None:
        """Call `listener` with each event of a runner that joins, reports or leaves.

        It first gets the runners already known: a runner seen before the listener was added would
        otherwise never get requests, and its callers would be refused as if there were no runner.
        """
        self._listeners.append(listener)
        for info in self._watch.usable():
            listener(RunnerSeen(info))

    def choose_reports(self, chooser: ReportChooser) -> None:
        """Replace the chooser that selects the runners whose load reports this instance reads.

        At most `MAX_REPORTS` of its choice are read; call `reconsider` when its choice changes.
        """
        self._chooser = chooser
        self.reconsider()

    def reconsider(self) -> None:
        """Apply the chooser again."""
        known = self._watch.known()
        chosen = sorted(self._chooser.choose(known) & {info.id for info in known})[:MAX_REPORTS]
        self._schedule.set_runners(chosen)
        self._schedule_changed.set()

    def check_soon(self, runner_id: RunnerId) -> None:
        """Read a runner's report out of turn, after a refused connection or a broken stream."""
        self._schedule.prioritize(runner_id)
        self._schedule_changed.set()

    def engine(self, runner_id: RunnerId) -> EngineClient | None:
        """Return the client of an engine, also of a leaving one; None if it is unknown."""
        return self._engine_by_id.get(runner_id)

    def plain(self, service: ServiceName) -> list[PlainService]:
        """Return the live runners of a plain service, those of the own zone first."""
        members = self.kernel.get(Instances).members(service, MemberState.LIVE)
        self._rng.shuffle(members)
        members.sort(key=lambda member: member.zone != self._zone)
        access = self.kernel.get(PlatformAccess)
        return [access.plain(member) for member in members]

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Follow the instance list and the configuration."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read_in_turn)
            self.kernel.get(Instances).on_change(self._refresh)
            self._refresh()
            task_status.started()
            while True:
                await self.kernel.get(Configuration).wait_for_change()
                self._refresh()

    def _refresh(self) -> None:
        is_live_by_runner: dict[RunnerInfo, bool] = {}
        services = self.kernel.get(Configuration).state.service_by_name
        for member in self.kernel.get(Instances).all_members():
            spec = services.get(member.service)
            if spec is not None and spec.kind is ServiceKind.ENGINE:
                self._keep_client(member)
                is_live_by_runner[_runner_info(member, spec)] = member.state is MemberState.LIVE
        self._drop_clients({info.id for info in is_live_by_runner})
        self._publish_all(self._watch.on_list(is_live_by_runner))
        self.reconsider()

    def _keep_client(self, member: Member) -> None:
        """Keep a client for every listed engine: a leaving one still runs generations."""
        runner_id = RunnerId(member.id)
        known = self._member_by_id.get(runner_id)
        if known is None or (known.host, known.ports) != (member.host, member.ports):
            self._engine_by_id[runner_id] = self.kernel.get(PlatformAccess).engine(member)
        self._member_by_id[runner_id] = member

    def _drop_clients(self, listed: set[RunnerId]) -> None:
        now_s = trio.current_time()
        for runner_id in list(self._engine_by_id):
            if runner_id in listed:
                self._unlisted_s.pop(runner_id, None)
            elif now_s - self._unlisted_s.setdefault(runner_id, now_s) >= CLIENT_TTL_S:
                del self._engine_by_id[runner_id]
                del self._member_by_id[runner_id]
                del self._unlisted_s[runner_id]
                self._renewed_s.pop(runner_id, None)

    async def _read_in_turn(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                self._schedule_changed = trio.Event()
                now_s = trio.current_time()
                runner_id = self._schedule.pop_due(now_s, self._busy)
                if runner_id is not None:
                    self._busy.add(runner_id)
                    nursery.start_soon(self._read_report, runner_id)
                    continue
                with trio.move_on_after(self._schedule.wait_s(now_s, self._busy)):
                    await self._schedule_changed.wait()

    async def _read_report(self, runner_id: RunnerId) -> None:
        try:
            report = await self._load(runner_id)
        finally:
            self._busy.discard(runner_id)
            self._schedule_changed.set()
        if report is None:
            self._schedule.record_failure(trio.current_time(), runner_id)
            self._record_failure(runner_id)
            return
        self._schedule.record_success(runner_id)
        self._publish_all(self._watch.on_report(runner_id, report.leaving))
        self._spread_notice(runner_id, report.leaving)
        self._publish(_reported_event(runner_id, report))

    async def _load(self, runner_id: RunnerId) -> LoadReport | None:
        engine = self._engine_by_id.get(runner_id)
        if engine is None:
            return None
        with trio.move_on_after(REPORT_TIMEOUT_S):
            try:
                return await engine.load()
            except EngineError:
                return None
        return None

    def _record_failure(self, runner_id: RunnerId) -> None:
        was_unresponsive = self._watch.is_unresponsive(runner_id)
        self._publish_all(self._watch.on_report_failed(trio.current_time(), runner_id))
        if self._watch.is_unresponsive(runner_id) and not was_unresponsive:
            log(Event.RUNNER_SILENT, runner=runner_id)

    def _spread_notice(self, runner_id: RunnerId, leaving: bool) -> None:
        """Announce what a runner reports to the instances that do not read its reports."""
        now_s = trio.current_time()
        renewed_s = self._renewed_s.get(runner_id)
        if leaving and (renewed_s is None or now_s - renewed_s >= NOTICE_RENEWAL_S):
            self._renewed_s[runner_id] = now_s
            self.kernel.get(Membership).publish_runner_notice(runner_id, True, for_good=False)
        elif not leaving and renewed_s is not None:
            del self._renewed_s[runner_id]
            self.kernel.get(Membership).publish_runner_notice(runner_id, False, for_good=False)

    def _publish_all(self, events: list[PolicyEvent]) -> None:
        for event in events:
            if isinstance(event, RunnerSeen):
                log(Event.RUNNER_JOINED, runner=event.runner.id, service=event.runner.service)
            elif isinstance(event, RunnerLeft):
                log(Event.RUNNER_LEFT, runner=event.runner_id)
            self._publish(event)

    def _publish(self, event: PolicyEvent) -> None:
        for listener in self._listeners:
            listener(event)


def _reported_event(runner_id: RunnerId, report: LoadReport) -> RunnerReported:
    return RunnerReported(
        runner_id=runner_id,
        taken_s=trio.current_time() - report.age_s,
        running=report.running,
        waiting=report.waiting,
        kv_used_tokens=report.kv_used_tokens,
        kv_capacity_tokens=report.kv_capacity_tokens,
        preemptions=report.preemptions,
    )


def _runner_info(member: Member, spec: ServiceSpec) -> RunnerInfo:
    return RunnerInfo(
        id=RunnerId(member.id),
        service=spec.name,
        zone=ZoneName(member.zone),
        models=spec.models,
        kv_capacity_tokens=spec.kv_capacity_tokens,
        max_batch=spec.max_batch,
    )
