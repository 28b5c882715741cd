"""Watches the configuration's head at the platform, on a few stewards of the fleet."""

import random

import trio

from egretstack.configuration import FanOut, OfferResult
from egretstack.events import Event, log
from egretstack.ids import InstanceId
from egretstack.kernel import Kernel, Service
from egretstack.objectapi import (
    ENTRY_SERVICE,
    ObjectKind,
    PlatformAway,
    StoredObject,
    WatchKind,
    WatchLost,
)
from egretstack.services.configuration import PULL_PERIOD_S, STEWARD_PORT, Configuration
from egretstack.services.instances import Instances
from egretstack.services.platform_access import PlatformAccess

WATCH_DURATION_S = 2.0
"""Duration of one watch: one that stopped answering is found, and the head read, well within five
seconds."""

RETRY_S = 0.3


class ConfigurationWatch(Service):
    """Watches if this steward is chosen to, and otherwise reads the head now and then."""

    name = "configuration_watch"
    requires = ("platform_access", "instances", "configuration")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        own = InstanceId(kernel.settings.text("instance", "id"))
        self.fan_out = FanOut(own)
        self._rng = random.Random(own)
        self._unavailable = False

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Watch until cancelled."""
        instances = self.kernel.get(Instances)
        instances.on_change(self._on_list_change)
        self._on_list_change()
        task_status.started()
        while True:
            if self.fan_out.is_watcher():
                await self._watch_until_lost()
            else:
                # All chosen watchers may be dead or cut off while the list still names them.
                await self.kernel.get(Configuration).sample_platform()
                await trio.sleep(PULL_PERIOD_S * (0.8 + 0.4 * self._rng.random()))

    def _on_list_change(self) -> None:
        members = self.kernel.get(Instances).members(ENTRY_SERVICE)
        self.fan_out.update([one for one in members if STEWARD_PORT in one.ports])

    async def _watch_until_lost(self) -> None:
        configuration = self.kernel.get(Configuration)
        try:
            since = await self._version()
            await configuration.read_platform()
            self._log_availability("")
            while self.fan_out.is_watcher():
                since = await self._watch(since)
        except PlatformAway as error:
            self._log_availability(str(error))
            await trio.sleep(error.retry_after_s or RETRY_S * (1 + self._rng.random()))
        except WatchLost:
            await trio.sleep(RETRY_S * self._rng.random())

    async def _version(self) -> str | None:
        # Read before the head, so that no change falls between the two.
        api = self.kernel.get(PlatformAccess).object_api
        stored = await api.get(ObjectKind.CONFIG_HEAD, "head")
        return None if stored is None else stored.version

    async def _watch(self, since: str | None) -> str | None:
        api = self.kernel.get(PlatformAccess).object_api
        async with api.watch(ObjectKind.CONFIG_HEAD, since, WATCH_DURATION_S) as changes:
            if since is None:
                await self.kernel.get(Configuration).read_platform()
            async for change in changes:
                since = change.object.version
                if change.kind is not WatchKind.BOOKMARK:
                    await self._apply(change.kind, change.object)
        return since

    async def _apply(self, kind: WatchKind, stored: StoredObject) -> None:
        configuration = self.kernel.get(Configuration)
        if kind is not WatchKind.DELETED:
            head = await configuration.store.parse_head(stored, configuration.state.snapshot)
            if configuration.state.compare(head) in (OfferResult.NEWER, OfferResult.SAME):
                await configuration.apply_head(head)
                return
        # A peer may have been faster than the watch: only a new read proves that the store is
        # older.
        await configuration.read_platform()

    def _log_availability(self, error: str) -> None:
        if error and not self._unavailable:
            log(Event.PLATFORM_AWAY, what="configuration", error=error)
        if self._unavailable and not error:
            log(Event.PLATFORM_BACK, what="configuration")
        self._unavailable = bool(error)
