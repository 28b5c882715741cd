"""Runners of every service: clients by id, and the load reports of engines."""

from collections.abc import Callable

import trio

from egretstack.contracts import ServiceKind, ServiceSpec
from egretstack.events import Event, log
from egretstack.ids import RunnerId, ServiceName, ZoneName
from egretstack.kernel import Kernel, Service
from egretstack.platform import Member, MemberState
from egretstack.policy import PolicyEvent, RunnerInfo, RunnerLeft, RunnerReported, RunnerSeen
from egretstack.services.configuration import Configuration
from egretstack.services.instances import Instances
from egretstack.services.platform_access import PlatformAccess
from egretstack.upstreams import EngineClient, EngineError, PlainService


class Runners(Service):
    """Follows list and configuration; tells the policy of engines that come, report and leave."""

    name = "runners"
    requires = ("platform_access", "instances", "configuration")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._engine_by_id: dict[RunnerId, EngineClient] = {}
        self._info_by_id: dict[RunnerId, RunnerInfo] = {}
        self._listeners: list[Callable[[PolicyEvent], None]] = []
        self._nursery: trio.Nursery
        self._scope_by_id: dict[RunnerId, trio.CancelScope] = {}

    def on_event(self, listener: Callable[[PolicyEvent], None]) -> None:
        """Tell `listener` of every runner that comes, reports or leaves.

        It is told of those already known first: a runner seen before the listener came would
        otherwise never get work, and its callers would be refused as if there were no runner.
        """
        self._listeners.append(listener)
        for info in self._info_by_id.values():
            listener(RunnerSeen(info))

    def engine(self, runner_id: RunnerId) -> EngineClient | None:
        """Give the client of an engine, also of a leaving one."""
        return self._engine_by_id.get(runner_id)

    def plain(self, service: ServiceName) -> list[PlainService]:
        """Give the live runners of a plain service."""
        members = self.kernel.get(Instances).members(service, MemberState.LIVE)
        access = self.kernel.get(PlatformAccess)
        return [access.plain(member) for member in members]

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Follow the instance list and the configuration."""
        self.kernel.get(Instances).on_change(self._refresh)
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._refresh()
            task_status.started()
            while True:
                await self.kernel.get(Configuration).wait_for_change()
                self._refresh()

    def _refresh(self) -> None:
        found = self._found()
        for runner_id in self._info_by_id.keys() - found.keys():
            self._leave(runner_id)
        for info, member in found.values():
            self._join(info, member)

    def _found(self) -> dict[RunnerId, tuple[RunnerInfo, Member]]:
        services = self.kernel.get(Configuration).state.service_by_name
        found = {}
        for member in self.kernel.get(Instances).all_members():
            spec = services.get(member.service)
            if spec is None or spec.kind is not ServiceKind.ENGINE:
                continue
            if member.state is MemberState.LIVE:
                info = _info(member, spec)
                found[info.id] = (info, member)
        return found

    def _join(self, info: RunnerInfo, member: Member) -> None:
        if self._info_by_id.get(info.id) == info:
            return
        self._info_by_id[info.id] = info
        self._engine_by_id[info.id] = self.kernel.get(PlatformAccess).engine(member)
        log(Event.RUNNER_JOINED, runner=info.id, service=info.service)
        self._tell(RunnerSeen(info))
        if info.id not in self._scope_by_id:
            self._nursery.start_soon(self._report, info.id)

    def _leave(self, runner_id: RunnerId) -> None:
        del self._info_by_id[runner_id]
        log(Event.RUNNER_LEFT, runner=runner_id)
        self._tell(RunnerLeft(runner_id))
        scope = self._scope_by_id.pop(runner_id, None)
        if scope is not None:
            scope.cancel()

    async def _report(self, runner_id: RunnerId) -> None:
        period_s = self.kernel.settings.number("engines", "report_period_s")
        with trio.CancelScope() as scope:
            self._scope_by_id[runner_id] = scope
            while True:
                await self._read_report(runner_id)
                await trio.sleep(period_s)

    async def _read_report(self, runner_id: RunnerId) -> None:
        try:
            report = await self._engine_by_id[runner_id].load()
        except EngineError:
            return
        self._tell(
            RunnerReported(
                runner_id=runner_id,
                taken_s=trio.current_time() - report.age_s,
                running=report.running,
                waiting=report.waiting,
                kv_used_tokens=report.kv_used_tokens,
                kv_capacity_tokens=report.kv_capacity_tokens,
                preemptions=report.preemptions,
            )
        )

    def _tell(self, event: PolicyEvent) -> None:
        for listener in self._listeners:
            listener(event)


def _info(member: Member, spec: ServiceSpec) -> RunnerInfo:
    return RunnerInfo(
        id=RunnerId(member.id),
        service=spec.name,
        zone=ZoneName(member.zone),
        models=spec.models,
        kv_capacity_tokens=spec.kv_capacity_tokens,
        max_batch=spec.max_batch,
    )
