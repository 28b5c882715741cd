"""Decides how a client's request is served, and holds the context that all relays share."""

import random

import trio

from egretstack.errors import ErrorKind
from egretstack.events import Event, log
from egretstack.http1 import AnswerMemory, ConnectionPool
from egretstack.ids import ZoneName
from egretstack.kernel import Kernel, Service
from egretstack.placing import PlainBalancer
from egretstack.platform import NodeSettings
from egretstack.relay import (
    LimitChange,
    RelayContext,
    RelayTask,
    RequestFailed,
    RetryBudget,
    instance_leaves,
    no_eligible_runner,
)
from egretstack.routing import (
    ClientAccount,
    Route,
    RoutingTable,
    ServiceConfig,
    common_regions,
)
from egretstack.services.crash_guard import CrashGuardService
from egretstack.services.engine_placing import EnginePlacingService
from egretstack.services.fleet_port import FleetPort
from egretstack.services.placing_home import PlacingHome
from egretstack.services.relay_metrics import RelayMetrics
from egretstack.services.runner_links import RunnerLinks
from egretstack.services.runner_words import RunnerSignalsService
from egretstack.services.store_reading import StoreReading
from egretstack.traffic import ClientRequest

INSTANCES_CHECK_INTERVAL_S = 0.5
STARTING_RETRY_S = 0.5
ANSWER_MEMORY_SHARE = 0.2
"""Share of the process's memory that answers of runners may take. Request bodies take up to 48 MB,
and the process needs some 25 MB by itself, of 128 MB on the smallest instances."""


class Relaying(Service):
    """Creates the relay task of each request."""

    name = "relaying"
    requires = (
        "crash_guard",
        "engine_placing",
        "fleet_port",
        "placing_home",
        "relay_metrics",
        "runner_links",
        "runner_words",
        "store_reading",
    )

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        node: NodeSettings = kernel.settings
        self._port = kernel.get(FleetPort)
        self._store = kernel.get(StoreReading)
        self._split = kernel.get(PlacingHome).split
        links = kernel.get(RunnerLinks)
        self.context = RelayContext(
            runners=self._port.runners,
            balancer=PlainBalancer(node.zone, kernel.rng),
            placing=kernel.get(EnginePlacingService),
            budget=RetryBudget(node.bounds),
            dialer=links,
            pool=ConnectionPool(dialer=links),
            send_bounds=kernel.get(PlacingHome).send_bounds,
            backoffs=kernel.get(PlacingHome).backoffs,
            crash_guard=kernel.get(CrashGuardService),
            signals=kernel.get(RunnerSignalsService),
            unforeseen=kernel.unforeseen,
            answer_memory=AnswerMemory(int(ANSWER_MEMORY_SHARE * node.memory_bytes)),
        )
        links.on_change(self._on_links_changed)
        kernel.get(PlacingHome).brittle_allocation.calls_at = self.context.balancer.in_flight
        stream_limits = self.context.stream_limits
        stream_limits.on_change = _log_limit_change
        gauge = kernel.get(RelayMetrics).gauge(
            "egret_relay_limited_services",
            "Services whose streams are limited, since most of them were late.",
        )
        gauge.set_function(stream_limits.limited_count)
        gauge = kernel.get(RelayMetrics).gauge(
            "egret_relay_answer_bytes", "Bytes of runners' answers that are held."
        )
        gauge.set_function(lambda: self.context.answer_memory.held_bytes)

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Keep the shared context up to date."""
        # A connection to a process that ended behind a network partition looks intact: a request
        # sent on it would wait in vain.
        self._port.on_runner_ended(lambda runner: self.context.pool.close_idle(runner.address))
        task_status.started()
        try:
            while True:
                now_s = trio.current_time()
                self._update_instance_count(now_s)
                await trio.sleep_until(now_s + INSTANCES_CHECK_INTERVAL_S)
        finally:
            self.context.pool.close()

    def _update_instance_count(self, now_s: float) -> None:
        """Update the number of instances among which the limits of the fleet are split."""
        others = self._port.fleet.known_instances()
        self.context.budget.instances = len(others) + 1
        self._split.others = tuple(one.id for one in others)
        self._split.reachable = len(self._port.fleet.live(now_s)) - 1

    def _on_links_changed(self) -> None:
        """Use no connection that takes the former way, and blame no runner for the links."""
        self.context.pool.close()
        self.context.balancer.withdraw_failures()

    def begin_leaving(self) -> None:
        """Accept no more requests than surely end before the process has to."""
        node: NodeSettings = self.kernel.settings
        self.context.departure.begin(trio.current_time(), node.bounds.grace_s)

    def task(self, request: ClientRequest, began_s: float) -> RelayTask:
        """Return a request's task, with its route, account and service. Raises RequestFailed."""
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
        if self._port.runners.has_only_evacuated(service.name, zones):
            raise no_eligible_runner()
        task = RelayTask(request, route, service, account, began_s, began_s + limit_s, zones)
        self._refuse_while_leaving(task)
        self._refuse_over_limit(task)
        self.context.budget.record_request(trio.current_time(), service.name)
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
        account = table.account(request.api_key)
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
        """Return the availability zones whose runners may run a request; None if all may."""
        allowed = common_regions(route, account)
        if allowed is None:
            return None
        node: NodeSettings = self.kernel.settings
        regions = node.region_by_zone.items()
        return frozenset(zone for zone, region in regions if region in allowed)

    def _refuse_while_leaving(self, task: RelayTask) -> None:
        if trio.current_time() > self.context.latest_send_s(task):
            raise instance_leaves()

    def _refuse_over_limit(self, task: RelayTask) -> None:
        """Refuse a stream for which the engines are too slow beside those in progress."""
        if not task.is_engine_stream:
            return
        if self.context.crash_guard.is_refused(task.fingerprint):
            return  # It is refused for good, whatever the engines have room for.
        now_s, service = trio.current_time(), task.service.name
        retry_s = self.context.stream_limits.refuse(now_s, service, task.rank)
        if retry_s is not None:
            raise RequestFailed(
                ErrorKind.ENGINES_FULL, "the engines are slow", retry_after_s=retry_s
            )


def _log_limit_change(change: LimitChange) -> None:
    log(
        Event.STREAMS_UNLIMITED if change.limit is None else Event.STREAMS_LIMITED,
        service=change.service,
        limit=None if change.limit is None else round(change.limit, 1),
        in_progress=change.in_progress,
        late=change.late,
        of=change.of,
    )
