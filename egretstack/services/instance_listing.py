"""Registers this instance in the platform's store, and reads which others are listed there.

Only an instance that receives no reports of another home does so, which includes the home itself.
An instance that starts where no seed is left finds the home in the list, and the home finds there
the instances that follow no home or another one.
"""

from collections.abc import Iterable

import trio

from egretstack.events import Event, log
from egretstack.fleet import Instance, InstanceState, KnownInstance, StoreReachability
from egretstack.http1 import is_address, is_header_text
from egretstack.ids import InstanceId, ZoneName
from egretstack.kernel import Kernel, Service, WorkKind
from egretstack.platform import ObjectKind, RevisionConflict, StoreAway, StoredObject
from egretstack.services.fleet_port import FleetPort
from egretstack.services.store_reading import UNAVAILABLE_PAUSE_S, StoreReading

UNAVAILABLE_LONG_PAUSE_S = 4.0
"""Pause after a call that the store did not answer, where nothing waits for the answer."""
CHECK_INTERVAL_S = 0.5
HOME_WAIT_S = 1.5
"""How long an instance waits without a report of another home before it registers and lists. The
seeds point a starting instance to the home, and the next in line follows a home that died; if all
instances registered in that second, the store would get two useless calls from each. They serve
meanwhile."""
FIRST_LISTING_S = 1.0
LAST_LISTING_S = 16.0
"""Pauses of a home between two listings, doubled each time: instances that start together see only
some of each other in the list, and may follow several homes until one finds the rest. An instance
that gets reports of a home lists nothing: its calls would grow with the fleet and find nothing
new."""


class InstanceListing(Service):
    """Makes this instance known to others, and others to it."""

    name = "instance_listing"
    requires = ("fleet_port", "store_reading")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._port = kernel.get(FleetPort)
        self._store_reading = kernel.get(StoreReading)

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Register and list until cancelled."""
        task_status.started()
        rounds = self.kernel.unforeseen.repeated(WorkKind.ROUND, loop=self.name)
        while True:
            with rounds.attempt():
                await self._list_until_error()
            await trio.sleep(UNAVAILABLE_LONG_PAUSE_S)

    async def _list_until_error(self) -> None:
        registered_era: int | None = None
        pause_s = FIRST_LISTING_S
        while True:
            try:
                await self._wait_without_home()
                store = self._store_reading.store
                if registered_era != store.era:
                    # A store that came back from a copy may have lost the entry.
                    await self._register()
                    registered_era = store.era
                listing = await store.list(ObjectKind.INSTANCE, allow_stale=True)
                listed = self._parse_listed(listing.objects)
                if len(listed) < len(listing.objects):
                    log(Event.INSTANCE_UNREADABLE, count=len(listing.objects) - len(listed))
                self._port.fleet.add_listed(trio.current_time(), listed)
                if self._port.is_home():
                    self._port.announce_to_all()
                else:
                    self._port.announce_to_some()
                await trio.sleep(pause_s)
                pause_s = min(2 * pause_s, LAST_LISTING_S)
            except StoreAway as error:
                self._store_reading.record_unavailable(error)
                await trio.sleep(self._unavailable_pause_s())

    def _parse_listed(self, objects: Iterable[StoredObject]) -> list[KnownInstance]:
        """Return the instances among the objects; the others are left out."""
        listed = []
        for stored in objects:
            with self.kernel.unforeseen.confined(WorkKind.ROW, list=self.name):
                known = _parse_listed(stored)
                if known is not None:
                    listed.append(known)
        return listed

    async def _wait_without_home(self) -> None:
        """Wait until no report of another home has arrived for a while."""
        if not self._port.has_seeds() and not self._port.fleet.known_instances():
            return  # The first instance of a fleet has no home to wait for.
        without_home_since_s = trio.current_time()
        while trio.current_time() - without_home_since_s < HOME_WAIT_S:
            await trio.sleep(CHECK_INTERVAL_S)
            if self._port.fleet.has_live_home(trio.current_time()):
                without_home_since_s = trio.current_time()

    def _unavailable_pause_s(self) -> float:
        """Return the pause after a failed listing.

        Once other instances report, the list contains nothing new, and each instance that goes on
        trying makes 2.5 calls a second for as long as the store rejects them.
        """
        alone = len(self._port.fleet.live(trio.current_time())) == 1
        return UNAVAILABLE_PAUSE_S if alone else UNAVAILABLE_LONG_PAUSE_S

    async def _register(self) -> None:
        """Write the addresses of this instance.

        A write without an answer is repeated, which does no harm.
        """
        own = self._port.fleet.own.instance
        spec = {
            "zone": own.zone,
            "front": own.front_address,
            "peer": own.peer_address,
            "strength": own.strength,
        }
        if not await self._store_reading.store.replace(ObjectKind.INSTANCE, own.id, spec):
            try:
                await self._store_reading.store.create(ObjectKind.INSTANCE, own.id, spec)
            except RevisionConflict:
                log(Event.INSTANCE_REGISTERED, already=True)
                return
        log(Event.INSTANCE_REGISTERED, already=False)


def _parse_listed(stored: StoredObject) -> KnownInstance | None:
    """Parse an instance that the store lists; None if the entry does not belong to this system."""
    spec = stored.spec
    zone, front, peer = (spec.get(name) for name in ("zone", "front", "peer"))
    strength = spec.get("strength")
    if not all(isinstance(one, str) and is_header_text(one) for one in (zone, front, peer)):
        return None
    if not is_address(front) or not is_address(peer):
        return None
    instance = Instance(
        InstanceId(stored.name),
        ZoneName(zone),
        front,
        peer,
        strength if isinstance(strength, int) else 0,
    )
    return KnownInstance(instance, 0, InstanceState.STARTING, StoreReachability.UNKNOWN, 0)
