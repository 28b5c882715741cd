"""Duties of this steward: one for each engine service, and some for the whole fleet.

One steward of the fleet holds a duty at a time. The holder of an engine service's duty brings its
engines to the models that the service's description names.
"""

from collections.abc import Callable
from functools import partial

import trio

from egretstack.configuration import choose_stewards
from egretstack.contracts import ServiceKind, ServiceSpec
from egretstack.duties import (
    ORDER_TIMEOUT_S,
    TICK_INTERVAL_S,
    FleetDuty,
    FleetTask,
    LeasedDuty,
    OrderPlan,
)
from egretstack.events import Event, log
from egretstack.ids import DutyName, RunnerId, ServiceName
from egretstack.kernel import Kernel, Service
from egretstack.objectapi import ENTRY_SERVICE, Member, MemberState
from egretstack.services.configuration import STEWARD_PORT, Configuration
from egretstack.services.instances import Instances
from egretstack.services.ledger_pruning import LedgerPruning
from egretstack.services.platform_access import PlatformAccess
from egretstack.upstreams import EngineError, OrderRefused

CANDIDATES = 3
"""Number of stewards that compete for one lease; so the reads of a lease do not grow with the
fleet."""

CONVERGE_PERIOD_S = 10.0
READ_TIMEOUT_S = 2.0

FLEET_WORK_TYPES = (LedgerPruning,)


def orders_of(service: ServiceName) -> DutyName:
    """Return the name of the duty that sends orders to a service's engines."""
    return DutyName(f"orders.{service}")


class Duties(Service):
    """Runs the duties for which this steward is a candidate."""

    name = "duties"
    requires = ("platform_access", "instances", "configuration", "ledger_pruning")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._duty_by_name: dict[DutyName, LeasedDuty] = {}

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Start and stop duties as the configuration and the instance list change."""
        async with trio.open_nursery() as nursery:
            task_status.started()
            while not self.kernel.draining.is_set():
                wanted = self._duties_to_run()
                for name in wanted.keys() - self._duty_by_name.keys():
                    duty = self._duty_by_name[name] = wanted[name]()
                    nursery.start_soon(duty.run)
                for name in self._duty_by_name.keys() - wanted.keys():
                    nursery.start_soon(self._duty_by_name.pop(name).stop)
                await trio.sleep(TICK_INTERVAL_S)
            await trio.sleep_forever()

    async def drain(self) -> None:
        """Release the leases, so that the next holders need not wait until they expire."""
        async with trio.open_nursery() as nursery:
            for duty in self._duty_by_name.values():
                nursery.start_soon(duty.stop)

    def held(self) -> set[DutyName]:
        """Return the duties that this steward holds."""
        return {name for name, duty in self._duty_by_name.items() if duty.holds()}

    def _duties_to_run(self) -> dict[DutyName, Callable[[], LeasedDuty]]:
        services = self.kernel.get(Configuration).state.service_by_name.values()
        wanted = {
            orders_of(spec.name): partial(_Orders, self.kernel, spec.name)
            for spec in services
            if spec.kind is ServiceKind.ENGINE and self._is_candidate(spec.name)
        }
        for kind in FLEET_WORK_TYPES:
            if self._is_candidate(kind.duty):
                wanted[kind.duty] = partial(self._fleet_duty, kind)
        return wanted

    def _fleet_duty(self, kind: type[FleetTask]) -> FleetDuty:
        api = self.kernel.get(PlatformAccess).object_api
        return FleetDuty(api, self.kernel.get(Configuration).own, self.kernel.get(kind))

    def _is_candidate(self, hashed: str) -> bool:
        members = self.kernel.get(Instances).members(ENTRY_SERVICE)
        stewards = [one for one in members if STEWARD_PORT in one.ports]
        return self.kernel.get(Configuration).own in choose_stewards(stewards, CANDIDATES, hashed)


class _Orders(LeasedDuty):
    """The orders of one service: converges its engines while this steward holds the lease."""

    def __init__(self, kernel: Kernel, service: ServiceName) -> None:
        api = kernel.get(PlatformAccess).object_api
        super().__init__(api, kernel.get(Configuration).own, orders_of(service))
        self._kernel = kernel
        self._service = service
        self._plan: OrderPlan | None = None

    def begin(self) -> bool:
        """Start with an empty order plan, if the service is described; return whether it is."""
        spec = self._spec()
        if spec is None:
            return False
        self._plan = OrderPlan(self._service, spec.fencing, trio.current_time())
        return True

    def end(self) -> None:
        """Drop the plan."""
        self._plan = None

    def _spec(self) -> ServiceSpec | None:
        return self._kernel.get(Configuration).state.service_by_name.get(self._service)

    async def work(self) -> None:
        """Converge the engines to the description, at each change and periodically."""
        while True:
            if self._plan is not None and self.holds():
                for member in self._engines():
                    await self._converge(member)
            configuration = self._kernel.get(Configuration)
            with trio.move_on_after(CONVERGE_PERIOD_S if self._plan else TICK_INTERVAL_S):
                await configuration.wait_for_change()

    def _engines(self) -> list[Member]:
        return self._kernel.get(Instances).members(self._service, MemberState.LIVE)

    async def _converge(self, member: Member) -> None:
        engine = self._kernel.get(PlatformAccess).engine(member)
        try:
            with trio.move_on_after(READ_TIMEOUT_S) as reading:
                present = await engine.models()
            plan, spec = self._plan, self._spec()
            if reading.cancelled_caught or plan is None or spec is None:
                return
            runner = RunnerId(member.id)
            now_s = trio.current_time()
            order = plan.next_order(now_s, self._lease, runner, spec.models, present)
            if order is None:
                return
            with trio.move_on_after(ORDER_TIMEOUT_S):
                await engine.order(order)
            log(Event.ORDER_SENT, runner=member.id, order=order.id, fencing=order.fencing)
        except OrderRefused:
            # The engine has seen a newer holder, and this steward may be the last to learn of it.
            self._lease.give_up()
            log(Event.ORDER_REFUSED, runner=member.id, fencing=self._lease.fencing)
        except EngineError as error:
            log(Event.ORDER_FAILED, runner=member.id, error=repr(error))
