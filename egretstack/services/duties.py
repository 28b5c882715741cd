"""Duties of this steward: one for each engine service, held by one steward of the fleet at a time.

The holder brings the service's engines to the models that the service's description names.
"""

import random
import secrets

import trio

from egretstack.configuration import watchers
from egretstack.contracts import ServiceKind, ServiceSpec
from egretstack.duties import (
    LEASE_LIFE_S,
    ORDER_TIMEOUT_S,
    RENEWALS_IN_LIFE,
    Lease,
    LeaseRecord,
    LeaseUnreadable,
    LeaseWrite,
    OrderPlan,
)
from egretstack.events import Event, log
from egretstack.ids import DutyName, RunnerId, ServiceName
from egretstack.kernel import Kernel, Service
from egretstack.platform import (
    ENTRY_SERVICE,
    Conflict,
    Member,
    MemberState,
    ObjectKind,
    PlatformError,
)
from egretstack.services.configuration import STEWARD_PORT, Configuration
from egretstack.services.instances import Instances
from egretstack.services.platform_access import PlatformAccess
from egretstack.upstreams import EngineError, OrderRefused

CANDIDATES = 3
"""Stewards that look at one lease; the reads they cost do not grow with the fleet."""

LOOK_PERIOD_S = LEASE_LIFE_S / RENEWALS_IN_LIFE
CONVERGE_PERIOD_S = 10.0
TICK_S = 1.0
READ_TIMEOUT_S = 2.0
INCARNATION_BYTES = 4


class Duties(Service):
    """Runs the duties for which this steward is a candidate."""

    name = "duties"
    requires = ("platform_access", "instances", "configuration")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._duty_by_service: dict[ServiceName, _Duty] = {}

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Take up and lay down duties as configuration and instance list change."""
        async with trio.open_nursery() as nursery:
            task_status.started()
            while not self.kernel.draining.is_set():
                wanted = self._wanted()
                for service in wanted - self._duty_by_service.keys():
                    duty = _Duty(self.kernel, service)
                    self._duty_by_service[service] = duty
                    nursery.start_soon(duty.run)
                for service in self._duty_by_service.keys() - wanted:
                    nursery.start_soon(self._duty_by_service.pop(service).lay_down)
                await trio.sleep(TICK_S)
            await trio.sleep_forever()

    async def drain(self) -> None:
        """Free the leases, so that the next holders need not wait for their end."""
        async with trio.open_nursery() as nursery:
            for duty in self._duty_by_service.values():
                nursery.start_soon(duty.lay_down)

    def held(self) -> set[ServiceName]:
        """Give the services whose duty this steward holds."""
        return {name for name, duty in self._duty_by_service.items() if duty.holds()}

    def _wanted(self) -> set[ServiceName]:
        services = self.kernel.get(Configuration).state.service_by_name.values()
        return {
            one.name
            for one in services
            if one.kind is ServiceKind.ENGINE and self._is_candidate(one.name)
        }

    def _is_candidate(self, service: ServiceName) -> bool:
        members = self.kernel.get(Instances).members(ENTRY_SERVICE)
        stewards = [one for one in members if STEWARD_PORT in one.ports]
        return self.kernel.get(Configuration).own in watchers(stewards, CANDIDATES, service)


class _Duty:
    """The orders of one service: keeps the lease, or waits for it, and converges the engines."""

    def __init__(self, kernel: Kernel, service: ServiceName) -> None:
        self._kernel = kernel
        self._service = service
        self._name = DutyName(f"orders.{service}")
        own = kernel.get(Configuration).own
        self._rng = random.Random(f"{own}/{service}")
        # A process started anew is another holder: it cannot know what the one before it sent.
        self._lease = Lease(f"{own}.{secrets.token_hex(INCARNATION_BYTES)}")
        self._plan: OrderPlan | None = None
        self._held_fencing = 0
        self._scope = trio.CancelScope()
        self._stopped = trio.Event()

    def holds(self) -> bool:
        """Tell whether this steward holds the duty."""
        return self._lease.holds(trio.current_time())

    async def run(self) -> None:
        """Keep the lease and converge until laid down."""
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._keep)
                    nursery.start_soon(self._converge)
        finally:
            self._stopped.set()

    async def lay_down(self) -> None:
        """Stop acting, then free the lease."""
        self._scope.cancel()
        await self._stopped.wait()
        write = self._lease.release()
        if write is not None:
            await self._write(write)

    async def _keep(self) -> None:
        while True:
            if not self.holds() or self._lease.is_renewal_due(trio.current_time()):
                await self._step()
            self._follow_lease()
            # A holder looks often, so that a failed renewal is tried again well within the life.
            period_s = TICK_S if self.holds() else LOOK_PERIOD_S
            await trio.sleep(period_s * (0.8 + 0.4 * self._rng.random()))

    def _follow_lease(self) -> None:
        held = self.holds()
        fencing = self._lease.fencing
        if self._plan is not None and (not held or fencing != self._held_fencing):
            self._plan = None
            log(Event.DUTY_LOST, duty=self._name, fencing=self._held_fencing)
        spec = self._spec()
        if held and self._plan is None and spec is not None:
            self._plan = OrderPlan(self._service, spec.fencing, trio.current_time())
            self._held_fencing = fencing
            log(Event.DUTY_TAKEN, duty=self._name, fencing=fencing)

    async def _step(self) -> None:
        if (not self.holds() or self._lease.is_unsettled()) and not await self._look():
            return
        write = self._lease.next_write(trio.current_time())
        if write is not None:
            await self._write(write)

    async def _look(self) -> bool:
        api = self._kernel.get(PlatformAccess).object_api
        try:
            stored = await api.get(ObjectKind.LEASE, self._name)
            record = None if stored is None else LeaseRecord.read(stored.spec)
        except PlatformError:
            return False
        except LeaseUnreadable as error:
            log(Event.DUTY_UNREADABLE, duty=self._name, error=str(error))
            return False
        version = None if stored is None else stored.version
        self._lease.saw(trio.current_time(), record, version)
        return True

    async def _write(self, write: LeaseWrite) -> None:
        api = self._kernel.get(PlatformAccess).object_api
        self._lease.sending(trio.current_time(), write)
        spec = write.record.spec()
        try:
            if write.version is None:
                stored = await api.create(ObjectKind.LEASE, self._name, spec)
            else:
                stored = await api.replace(ObjectKind.LEASE, self._name, spec, write.version)
        except Conflict:
            self._lease.give_up()
            return
        except PlatformError:
            return
        self._lease.won(stored.version)

    def _spec(self) -> ServiceSpec | None:
        return self._kernel.get(Configuration).state.service_by_name.get(self._service)

    async def _converge(self) -> None:
        while True:
            if self._plan is not None and self.holds():
                for member in self._engines():
                    await self._bring(member)
            configuration = self._kernel.get(Configuration)
            with trio.move_on_after(CONVERGE_PERIOD_S if self._plan else TICK_S):
                await configuration.wait_for_change()

    def _engines(self) -> list[Member]:
        return self._kernel.get(Instances).members(self._service, MemberState.LIVE)

    async def _bring(self, member: Member) -> None:
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
            # The engine has seen a newer holder: this one may be the last to learn it.
            self._lease.give_up()
            log(Event.ORDER_REFUSED, runner=member.id, fencing=self._lease.fencing)
        except EngineError as error:
            log(Event.ORDER_FAILED, runner=member.id, error=repr(error))
