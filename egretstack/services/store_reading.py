"""Reads the configuration, and determines whether the platform's store is reachable.

The home and the next in line watch the configuration; the others learn of a newer version within a
period and fetch it from a peer. Any instance reads for itself while the home does not answer. So
the number of calls does not grow with the fleet.
"""

import json
from functools import partial

import trio

from egretstack.events import Event, log
from egretstack.fleet import Instance, StoreReachability, StoreWatch, fetch_text, pack_text
from egretstack.ids import ServiceName
from egretstack.kernel import Kernel, Service, WorkKind
from egretstack.platform import (
    CONFIGURATION_NAME,
    BadBody,
    HistoryGone,
    NodeSettings,
    ObjectKind,
    Store,
    StoreAway,
    StoredObject,
    decode_configuration,
    parse_object,
)
from egretstack.routing import EngineConfig, ServiceConfig, VersionGate
from egretstack.services.fleet_port import IDLE_POLL_INTERVAL_S, FleetPort
from egretstack.services.relay_metrics import RelayMetrics

CONFIG_WATCH_S = 1.2
"""Length of one watch of the configuration, by the home and the next in line. A connection that
stopped answering hides a change for this time and the timeout margin of the watch, which is within
the time in which the change has to be in force."""
PEER_CHECK_INTERVAL_S = 0.2
"""How often an instance checks whether a peer has a newer configuration."""
UNAVAILABLE_PAUSE_S = 0.4
"""Pause after a call that the store did not answer."""
START_WAIT_S = 0.05
"""How long an instance that has just started waits for a home before it reads the store itself: a
seed answers in some 3 ms and the home sends everything 10 ms later. Requests are refused meanwhile,
by all instances if all restart together."""
FIRST_START_WAIT_S = 1.0
"""The same at the first start of the whole fleet, for instances that are not seeds: with no home
yet, each would read and watch all lists. No client waits."""
START_POLL_INTERVAL_S = 0.02
START_WITH_HOME_S = 1.5
"""How long an instance that has just started and gets reports of a home waits before it reads the
store itself: the home's updates may be lost, and the configuration has to be fetched."""
READ_SPREAD_S = 0.4
"""Instances whose home does not answer spread their readings of the configuration over this time;
most of them follow the next home meanwhile."""


class StoreReading(Service):
    """Keeps the configuration up to date."""

    name = "store_reading"
    requires = ("fleet_port", "relay_metrics")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        node: NodeSettings = kernel.settings
        self.gate = VersionGate()
        self._spec: dict[str, object] = {}
        """The configuration in force, as the store returned it, for peers that cannot reach the
        store."""
        self._packed: bytes | None = None
        self._node = node
        self.store = Store(node.store_address)
        self.store.on_return = lambda: log(Event.STORE_RETURNED, era=self.store.era)
        self._port = kernel.get(FleetPort)
        self._watch = StoreWatch()
        self._add_gauges(kernel.get(RelayMetrics))
        self._started_s = trio.current_time()
        is_seed = any(seed.rpartition(":")[0] == node.ip for seed in node.seeds)
        waits_longer = node.first_start and not is_seed
        self._home_wait_s = FIRST_START_WAIT_S if waits_longer else START_WAIT_S

    def _add_gauges(self, metrics: RelayMetrics) -> None:
        version = metrics.gauge("egret_relay_config_version", "Configuration in force here.")
        version.set_function(lambda: self.gate.version)
        live = metrics.gauge("egret_relay_instances", "Instances that live, as seen here.")
        live.set_function(lambda: len(self._port.fleet.live(trio.current_time())))
        calls = metrics.gauge(
            "egret_relay_store_calls", "Calls to the store since the start, by kind.", "kind"
        )
        for kind in ObjectKind:
            calls.labels(kind.name.lower()).set_function(partial(self._calls, kind))

    def _calls(self, kind: ObjectKind) -> int:
        return self.store.calls_by_kind[kind]

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Read until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_configuration)
            nursery.start_soon(self._follow_peers)
            task_status.started()

    def is_informed(self) -> bool:
        """Return whether there is a configuration and a list of runners to work with.

        The evacuated zones have to be known too: an instance that starts during an evacuation would
        otherwise send requests there.
        """
        if self._node.bounds.evacuate_s is not None and not self._port.evacuations.is_known:
            return False
        return self.gate.table is not None and bool(self._port.runners.by_id)

    def service(self, service: ServiceName) -> ServiceConfig | None:
        """Return the plan of a service; None if the configuration has no service of that name."""
        return None if self.gate.table is None else self.gate.table.service(service)

    def engine(self, service: ServiceName) -> EngineConfig | None:
        """Return what is common to the engines of a service; None if it has none."""
        plan = self.service(service)
        return None if plan is None else plan.engine

    def packed_configuration(self) -> bytes:
        """Return the configuration in force, packed for peers once on the first request."""
        if self._packed is None:
            self._packed = pack_text(json.dumps(self._spec).encode())
        return self._packed

    def apply_configuration(self, spec: dict[str, object], source: str) -> None:
        """Put a configuration in force if it is newer."""
        with self.kernel.unforeseen.confined(WorkKind.ROW, configuration_of=source):
            self._apply_configuration(spec, source)

    def _apply_configuration(self, spec: dict[str, object], source: str) -> None:
        try:
            configuration = decode_configuration(spec)
        except BadBody as error:
            log(Event.CONFIG_BAD, source=source, error=str(error))
            return
        if not self.gate.offer(configuration):
            return
        self._spec, self._packed = spec, None
        self._port.update_own(config_version=configuration.version)
        log(Event.CONFIG_IN_FORCE, version=configuration.version, source=source)

    async def _follow_configuration(self) -> None:
        """Read until cancelled; a reading that fails unforeseen counts as not answered."""
        while True:
            with self.kernel.unforeseen.confined(WorkKind.ROUND, loop="configuration") as reading:
                await self._follow_until_error()
            if reading.failed:
                self.record_unavailable(StoreAway("its answer cannot be applied"))
                await trio.sleep(UNAVAILABLE_PAUSE_S)

    async def _follow_until_error(self) -> None:
        revision: int | None = None
        while True:
            try:
                if self.is_starting():
                    await trio.sleep(START_POLL_INTERVAL_S)
                elif self._receives_configuration():
                    await trio.sleep(IDLE_POLL_INTERVAL_S)
                elif await self._wait_for_next_home():
                    continue
                elif revision is None:
                    revision = await self._read_configuration()
                else:
                    revision = await self._watch_configuration(revision)
            except HistoryGone:
                revision = None
            except StoreAway as error:
                self.record_unavailable(error)
                revision = None
                await trio.sleep(UNAVAILABLE_PAUSE_S)

    def _receives_configuration(self) -> bool:
        """Return whether this instance gets the configuration from peers."""
        receives = not self._port.fleet.is_watcher(trio.current_time())
        return receives and self.gate.table is not None

    def is_starting(self) -> bool:
        """Return whether this instance has just started, and may still receive what it lacks."""
        if not self._port.has_seeds():
            return False
        now_s = trio.current_time()
        wait_s = START_WITH_HOME_S if self._port.fleet.has_live_home(now_s) else self._home_wait_s
        return now_s - self._started_s < wait_s and not self.is_informed()

    async def _wait_for_next_home(self) -> bool:
        """Wait for the next home if this instance has lost its own; return whether there is one."""
        if self.gate.table is None or self._port.is_home():
            return False
        await trio.sleep(self.kernel.rng.uniform(0, READ_SPREAD_S))
        return self._receives_configuration()

    async def _read_configuration(self) -> int:
        listing = await self.store.list(ObjectKind.CONFIGURATION)
        self.record_answer()
        for stored in listing.objects:
            self._apply_stored(stored)
        return listing.revision

    async def _watch_configuration(self, revision: int) -> int:
        changes = await self.store.watch(ObjectKind.CONFIGURATION, revision, CONFIG_WATCH_S)
        self.record_answer()
        for change in changes.changes:
            if not change.deleted:
                self._apply_stored(change.object)
        return changes.revision

    def _apply_stored(self, stored: StoredObject) -> None:
        if stored.name == CONFIGURATION_NAME:
            self.apply_configuration(stored.spec, "store")

    async def _follow_peers(self) -> None:
        """Fetch a newer configuration from a peer that has it."""
        rounds = self.kernel.unforeseen.repeated(WorkKind.ROUND, loop="configuration of peers")
        while True:
            await trio.sleep(PEER_CHECK_INTERVAL_S)
            with rounds.attempt():
                self._watch.expire(trio.current_time())
                self._publish_reachability("")
                holders = self._port.fleet.newer_config_holders(trio.current_time())
                if holders:
                    await self._fetch_from(self.kernel.rng.choice(holders).instance)

    async def _fetch_from(self, instance: Instance) -> None:
        try:
            spec = parse_object(await fetch_text(instance.peer_address))
        except (OSError, BadBody) as error:
            log(Event.CONFIG_NOT_FETCHED, peer=instance.id, error=str(error))
            await trio.sleep(UNAVAILABLE_PAUSE_S)
            return
        self.apply_configuration(spec, instance.id)

    def record_answer(self) -> None:
        """Record that the store answered a call."""
        self._watch.record_answer(trio.current_time())
        self._publish_reachability("")

    def record_unavailable(self, error: StoreAway) -> None:
        """Record that the store did not answer a call."""
        self._watch.record_failure(trio.current_time())
        self._publish_reachability(str(error))

    def record_late(self) -> None:
        """Record that this home's list of runners is older than a runner's notice allows."""
        self._watch.record_delay()
        self._publish_reachability("the list of runners is old")

    def _publish_reachability(self, error: str) -> None:
        """Report to the fleet if this instance no longer reaches the store, or reaches it again."""
        before, current = self._port.fleet.own.store, self._watch.reachability
        if current is before:
            return
        if current is StoreReachability.UNREACHABLE:
            log(Event.STORE_AWAY, error=error)
        elif before is StoreReachability.UNREACHABLE and current is StoreReachability.REACHABLE:
            log(Event.STORE_BACK)
        self._port.update_own(store=current)
        self._port.report_soon()
