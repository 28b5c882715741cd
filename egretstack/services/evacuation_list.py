"""Reads which availability zones the operator has evacuated, as the home for all.

Changes are sent as urgent updates. An instance that gets none from a home reads for itself, so that
one that is cut off from its peers alone keeps the bound too.
"""

import trio

from egretstack.events import Event, log
from egretstack.fleet import StoreReachability
from egretstack.kernel import Kernel
from egretstack.platform import Change, EvacuationEntries, ObjectKind
from egretstack.services.relay_metrics import RelayMetrics
from egretstack.services.store_following import MAX_NAME_LOGGED, StoreFollower

WATCH_SHARE = 0.25
"""Share of the time in which an evacuation has to be known everywhere that one watch may last: a
connection that stopped answering hides an evacuation for this time and the watch's timeout
margin."""
MAX_WATCH_S = 2.0
OWN_READING_SHARE = 0.5
"""Share of the same time after which an instance without updates from the home reads for itself;
its call times out after 1 s, and a second one is answered within the bound."""
MAX_BAD_LOGGED = 8


class EvacuationList(StoreFollower):
    """Keeps the evacuated zones up to date."""

    name = "evacuation_list"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._entries = EvacuationEntries()
        gauge = kernel.get(RelayMetrics).gauge(
            "egret_relay_evacuated_zones", "Availability zones whose runners get nothing more."
        )
        gauge.set_function(lambda: len(self._port.evacuations.zones))

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Read until cancelled, on a platform whose operators evacuate zones."""
        task_status.started()
        if self.kernel.settings.bounds.evacuate_s is None:
            await trio.sleep_forever()
        await self._follow()

    def _is_current(self) -> bool:
        max_age_s = self.kernel.settings.bounds.evacuate_s * OWN_READING_SHARE
        return self._port.evacuations.age_s(trio.current_time()) < max_age_s

    def _may_read(self) -> bool:
        """Return whether the store is reachable; the list of runners finds out when it is back.

        An instance that is not the home tries only while it reads that list itself. If all tried,
        each of those that the store answers first would become the home for a moment.
        """
        reachability = self._port.fleet.own.store
        return reachability is StoreReachability.REACHABLE or (
            self._port.is_home() and reachability is StoreReachability.UNKNOWN
        )

    async def _read(self) -> None:
        store = self._store_reading.store
        if self._revision is None:
            listing = await store.list(ObjectKind.EVACUATION)
            self._entries.clear()
            changes, revision = [Change(one, False) for one in listing.objects], listing.revision
        else:
            watch_s = self.kernel.settings.bounds.evacuate_s * WATCH_SHARE
            watched = await store.watch(
                ObjectKind.EVACUATION, self._revision, min(MAX_WATCH_S, watch_s)
            )
            changes, revision = watched.changes, watched.revision
        invalid = self._apply_each(changes, lambda change: self._entries.apply([change]))
        for bad in invalid[:MAX_BAD_LOGGED]:
            log(Event.EVACUATION_UNREADABLE, zone=bad.name[:MAX_NAME_LOGGED], error=bad.error)
        self._revision = revision
        self._port.apply_evacuations(self._entries.zones(), revision, trio.current_time())
