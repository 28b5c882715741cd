"""Decides what becomes of a client's request, and holds the tools that all relays share."""

import random

import trio

from egretstack.errors import ErrorKind
from egretstack.http1 import ConnectionPool
from egretstack.ids import ZoneName
from egretstack.kernel import Kernel, Service
from egretstack.placing import PlainBalancer
from egretstack.platform import NodeSettings
from egretstack.relay import RelayTools, RequestFailed, RetryBudget, Task, barred
from egretstack.routing import (
    ClientAccount,
    Route,
    RouteKind,
    RoutingTable,
    ServiceConfig,
    common_regions,
)
from egretstack.services.crash_guard import CrashGuardService
from egretstack.services.engine_placing import EnginePlacingService
from egretstack.services.fleet_port import FleetPort
from egretstack.services.placing_home import PlacingHome
from egretstack.services.runner_words import RunnerWordsService
from egretstack.services.store_reading import StoreReading
from egretstack.traffic import ClientRequest

INSTANCES_LOOK_S = 0.5
STARTING_RETRY_S = 0.5
LEAVING_RETRY_S = 0.05
"""A leaving instance sends clients to another one, which can take them at once."""
TOKEN_S = 0.012
"""Time for one output token of a stream on a busy engine, by which a leaving instance judges
whether a stream would end before the process has to."""
STREAM_START_S = 1.0
LAST_CALL_S = 0.6
"""Time before the last moments of a leaving instance from which it takes no more calls: clients
use their connections until it is gone, and a call that was passed on has to be answered."""
STOP_MARGIN_S = 1.0
"""Kept of the grace for the last bytes to leave."""


class Relaying(Service):
    """Makes tasks of requests."""

    name = "relaying"
    requires = (
        "crash_guard",
        "engine_placing",
        "fleet_port",
        "placing_home",
        "runner_words",
        "store_reading",
    )

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        node: NodeSettings = kernel.settings
        self._node = node
        self._port = kernel.get(FleetPort)
        self._store = kernel.get(StoreReading)
        self._split = kernel.get(PlacingHome).split
        self._leaving_since_s: float | None = None
        self.tools = RelayTools(
            runners=self._port.runners,
            balancer=PlainBalancer(node.zone, kernel.rng),
            placing=kernel.get(EnginePlacingService),
            budget=RetryBudget(node.bounds),
            pool=ConnectionPool(),
            bounds=kernel.get(PlacingHome).bounds,
            rests=kernel.get(PlacingHome).rests,
            crashes=kernel.get(CrashGuardService),
            words=kernel.get(RunnerWordsService),
        )

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Keep the shared tools up to date."""
        # A connection to a process that ended behind a cut looks whole: a request sent on it would
        # wait for nothing.
        self._port.on_gone(lambda runner: self.tools.pool.forget(runner.address))
        task_status.started()
        try:
            while True:
                now_s = trio.current_time()
                self._count_instances(now_s)
                await trio.sleep_until(now_s + INSTANCES_LOOK_S)
        finally:
            self.tools.pool.close()

    def _count_instances(self, now_s: float) -> None:
        """Bring up to date among how many instances what the fleet may do is split."""
        others = self._port.fleet.known()
        self.tools.budget.instances = len(others) + 1
        self._split.others = tuple(one.id for one in others)
        self._split.reachable = len(self._port.fleet.live(now_s)) - 1

    def leave(self) -> None:
        """Take no new work that could not end before the process has to."""
        self._leaving_since_s = trio.current_time()

    def task(self, request: ClientRequest, began_s: float) -> Task:
        """Give what is decided about a request by its head. Raises RequestFailed."""
        table = self._table()
        route = table.route(request.host, request.path)
        if route is None:
            raise RequestFailed(ErrorKind.NOT_FOUND, "no route")
        account = self._account(table, route, request)
        service = self._service(table, route)
        limit_s = route.timeout_s
        if request.time_left_s is not None:
            limit_s = min(limit_s, request.time_left_s)
        zones = self._zones(route, account)
        if self._port.runners.is_barred(service.name, zones):
            raise barred()
        task = Task(request, route, service, account, began_s, began_s + limit_s, zones)
        self._refuse_while_leaving(task)
        self.tools.budget.requested(trio.current_time(), service.name)
        return task

    def _table(self) -> RoutingTable:
        table = self._store.gate.table
        if table is None:
            raise RequestFailed(
                ErrorKind.CONFIGURATION_MISSING, "starting", retry_after_s=STARTING_RETRY_S
            )
        return table

    @staticmethod
    def _account(table: RoutingTable, route: Route, request: ClientRequest) -> ClientAccount | None:
        account = table.account(request.key)
        if account is None and table.configuration.has_accounts and not route.anonymous:
            raise RequestFailed(ErrorKind.UNAUTHENTICATED, "no account has this key")
        return account

    def _service(self, table: RoutingTable, route: Route) -> ServiceConfig:
        weights = [target.weight for target in route.targets]
        rng: random.Random = self.kernel.rng
        target = rng.choices(route.targets, weights)[0] if sum(weights) > 0 else route.targets[0]
        service = table.service(target.service)
        if service is None:
            raise RequestFailed(
                ErrorKind.NO_RUNNER, "no such service", retry_after_s=STARTING_RETRY_S
            )
        return service

    def _zones(self, route: Route, account: ClientAccount | None) -> frozenset[ZoneName] | None:
        """Give the availability zones whose runners alone may run a request; None if all may."""
        homes = common_regions(route, account)
        if homes is None:
            return None
        regions = self._node.region_by_zone.items()
        return frozenset(zone for zone, region in regions if region in homes)

    def _refuse_while_leaving(self, task: Task) -> None:
        if self._leaving_since_s is None:
            return
        passed_s = trio.current_time() - self._leaving_since_s
        left_s = self._node.bounds.grace_s - STOP_MARGIN_S - passed_s
        if self._needs_s(task, left_s) >= left_s:
            raise RequestFailed(
                ErrorKind.DRAINING, "this instance leaves", retry_after_s=LEAVING_RETRY_S
            )

    @staticmethod
    def _needs_s(task: Task, left_s: float) -> float:
        if task.route.kind is not RouteKind.STREAM:
            return LAST_CALL_S
        wants = task.request.generation
        return STREAM_START_S + (wants.max_output_tokens * TOKEN_S if wants else left_s)
