"""Reads the configuration, and knows whether the platform's store is reached.

The home and the next in line watch the configuration; the others hear of a newer version within a
period and fetch it from a peer. Any instance reads for itself while the home is silent. So calls do
not grow with the fleet.
"""

import json
from functools import partial

import trio

from egretstack.events import Event, log
from egretstack.fleet import Instance, StoreSight, StoreWatch, fetch_text, pack_text
from egretstack.ids import ServiceName
from egretstack.kernel import Kernel, Service
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
from egretstack.services.fleet_port import IDLE_LOOK_S, FleetPort
from egretstack.services.relay_metrics import RelayMetrics

CONFIG_WATCH_S = 1.2
"""Length of one watch of the configuration, by the home and the next in line: a silent connection
hides a change for no longer, and the leash, within the time in which it has to be in force."""
LOOK_S = 0.2
"""How often an instance looks for a newer configuration at a peer."""
AWAY_PAUSE_S = 0.4
"""Pause after a call that the store did not answer."""
START_WAIT_S = 0.05
"""How long an instance that has just started waits for a home before it reads the store itself: a
seed answers in some 3 ms and the home tells everything 10 ms later. Callers are refused meanwhile,
by all instances if all restart together."""
FIRST_START_WAIT_S = 1.0
"""The same when the whole fleet starts for the first time, unless it is a seed: with nobody to lead
yet each would read and watch all lists. No caller waits."""
START_LOOK_S = 0.02
START_LED_S = 1.5
"""The same once it hears a home: its news may be lost, and its configuration has to be fetched."""
READ_SPREAD_S = 0.4
"""Instances that find the home silent read the configuration within so long of each other; most of
them hear the next home meanwhile."""


class StoreReading(Service):
    """Keeps the configuration up to date."""

    name = "store_reading"
    requires = ("fleet_port", "relay_metrics")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        node: NodeSettings = kernel.settings
        self.gate = VersionGate()
        self._spec: dict[str, object] = {}
        """The configuration in force, as the store gave it, for peers that cannot reach it."""
        self._packed: bytes | None = None
        self._node = node
        self.store = Store(node.store_address)
        self._port = kernel.get(FleetPort)
        self._watch = StoreWatch()
        self._add_gauges(kernel.get(RelayMetrics))
        self._started_s = trio.current_time()
        is_seed = any(seed.rpartition(":")[0] == node.ip for seed in node.seeds)
        first = node.first_start and not is_seed
        self._unled_wait_s = FIRST_START_WAIT_S if first else START_WAIT_S

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
        """Tell whether there is a configuration and a list of runners to work by.

        And which zones are evacuated: an instance that starts meanwhile would send requests there.
        """
        if self._node.bounds.evacuate_s is not None and not self._port.evacuations.is_known:
            return False
        return self.gate.table is not None and bool(self._port.runners.by_id)

    def service(self, service: ServiceName) -> ServiceConfig | None:
        """Give the plan of a service; None if the configuration has none of that name."""
        return None if self.gate.table is None else self.gate.table.service(service)

    def engine(self, service: ServiceName) -> EngineConfig | None:
        """Give what is common to the engines of a service; None if it has none."""
        plan = self.service(service)
        return None if plan is None else plan.engine

    def packed_configuration(self) -> bytes:
        """Give the configuration in force as peers get it; packed once, if any asks."""
        if self._packed is None:
            self._packed = pack_text(json.dumps(self._spec).encode())
        return self._packed

    def take_configuration(self, spec: dict[str, object], source: str) -> None:
        """Put a configuration in force if it is newer."""
        try:
            configuration = decode_configuration(spec)
        except BadBody as error:
            log(Event.CONFIG_BAD, source=source, error=str(error))
            return
        if not self.gate.offer(configuration):
            return
        self._spec, self._packed = spec, None
        self._port.describe(config_version=configuration.version)
        log(Event.CONFIG_IN_FORCE, version=configuration.version, source=source)

    async def _follow_configuration(self) -> None:
        revision: int | None = None
        while True:
            try:
                if self.is_starting():
                    await trio.sleep(START_LOOK_S)
                elif self._is_told_configuration():
                    await trio.sleep(IDLE_LOOK_S)
                elif await self._may_be_told_soon():
                    continue
                elif revision is None:
                    revision = await self._read_configuration()
                else:
                    revision = await self._watch_configuration(revision)
            except HistoryGone:
                revision = None
            except StoreAway as error:
                self.away(error)
                revision = None
                await trio.sleep(AWAY_PAUSE_S)

    def _is_told_configuration(self) -> bool:
        """Tell whether peers see to it that this instance has the configuration."""
        told = not self._port.fleet.is_watcher(trio.current_time())
        return told and self.gate.table is not None

    def is_starting(self) -> bool:
        """Tell whether this instance has just started, and may yet be told what it lacks."""
        if not self._port.has_seeds():
            return False
        now_s = trio.current_time()
        wait_s = START_LED_S if self._port.fleet.is_led(now_s) else self._unled_wait_s
        return now_s - self._started_s < wait_s and not self.is_informed()

    async def _may_be_told_soon(self) -> bool:
        """Let an instance that has lost its home wait for the next; tell whether there is one."""
        if self.gate.table is None or self._port.is_home():
            return False
        await trio.sleep(self.kernel.rng.uniform(0, READ_SPREAD_S))
        return self._is_told_configuration()

    async def _read_configuration(self) -> int:
        listing = await self.store.list(ObjectKind.CONFIGURATION)
        self.answered()
        for one in listing.objects:
            self._take_stored(one)
        return listing.revision

    async def _watch_configuration(self, revision: int) -> int:
        changes = await self.store.watch(ObjectKind.CONFIGURATION, revision, CONFIG_WATCH_S)
        self.answered()
        for change in changes.changes:
            if not change.deleted:
                self._take_stored(change.object)
        return changes.revision

    def _take_stored(self, stored: StoredObject) -> None:
        if stored.name == CONFIGURATION_NAME:
            self.take_configuration(stored.spec, "store")

    async def _follow_peers(self) -> None:
        """Fetch a newer configuration from a peer that has it."""
        while True:
            await trio.sleep(LOOK_S)
            self._watch.pass_time(trio.current_time())
            self._tell_sight("")
            holders = self._port.fleet.newest_config(trio.current_time())
            if holders:
                await self._fetch_from(self.kernel.rng.choice(holders).instance)

    async def _fetch_from(self, instance: Instance) -> None:
        try:
            spec = parse_object(await fetch_text(instance.peer_address))
        except (OSError, BadBody) as error:
            log(Event.CONFIG_NOT_FETCHED, peer=instance.id, error=str(error))
            await trio.sleep(AWAY_PAUSE_S)
            return
        self.take_configuration(spec, instance.id)

    def answered(self) -> None:
        """Note that the store answered a call."""
        self._watch.answered(trio.current_time())
        self._tell_sight("")

    def away(self, error: StoreAway) -> None:
        """Note that the store did not answer a call."""
        self._watch.failed(trio.current_time())
        self._tell_sight(str(error))

    def late(self) -> None:
        """Note that this home's list of runners is older than a runner's notice allows."""
        self._watch.late()
        self._tell_sight("the list of runners is old")

    def _tell_sight(self, error: str) -> None:
        """Tell the fleet if this instance reaches the store no more, or again."""
        before, sight = self._port.fleet.own.store, self._watch.sight
        if sight is before:
            return
        if sight is StoreSight.AWAY:
            log(Event.STORE_AWAY, error=error)
        elif before is StoreSight.AWAY and sight is StoreSight.READS:
            log(Event.STORE_BACK)
        self._port.describe(store=sight)
        self._port.tell_soon()
