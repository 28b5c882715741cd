"""Reads the list of runners, as the home for all instances.

An instance reads it itself while the list it gets from the home is not recent enough to keep
leaving runners from getting requests.
"""

from collections.abc import Iterable

import trio

from egretstack.events import Event, log
from egretstack.kernel import Kernel
from egretstack.platform import Change, ObjectKind, RunnerEntries
from egretstack.services.fleet_port import IDLE_POLL_INTERVAL_S
from egretstack.services.relay_metrics import RelayMetrics
from egretstack.services.store_following import MAX_NAME_LOGGED, StoreFollower

RUNNER_WATCH_S = 0.6
OWN_READING_SHARE = 0.6
"""Share of the time in which a runner's notice has to be known everywhere after which an instance
without updates from the home reads for itself; one reading takes some 10 ms."""
NEW_HOME_SETTLE_S = 0.5
"""Time for a new home to read the list for the first time; the former home may have left it old."""
MAX_BAD_LOGGED = 8
"""Limit on the log lines about bad entries of one reading; anyone may write entries, and a log line
costs some 50 us."""


class RunnerList(StoreFollower):
    """Keeps the list of runners up to date."""

    name = "runner_list"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._entries = RunnerEntries()
        metrics = kernel.get(RelayMetrics)
        age = metrics.gauge("egret_relay_runners_age_seconds", "Age of the list of runners.")
        age.set_function(lambda: self._port.runners.age_s(trio.current_time()))
        bad = metrics.gauge("egret_relay_bad_entries", "Runners' entries that name no runner.")
        bad.set_function(lambda: len(self._entries.bad()))

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Read until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow)
            nursery.start_soon(self._watch_age)
            task_status.started()

    async def _watch_age(self) -> None:
        """Record when this home gets the list of runners too late: its calls may hang for long."""
        home_since_s = None
        while True:
            await trio.sleep(IDLE_POLL_INTERVAL_S)
            if not self._port.is_home():
                home_since_s = None
                continue
            now_s = trio.current_time()
            home_since_s = now_s if home_since_s is None else home_since_s
            settled = now_s - home_since_s > NEW_HOME_SETTLE_S
            if settled and self._port.runners.by_id and not self._is_current():
                self._store_reading.record_late()

    def _is_current(self) -> bool:
        max_age_s = self.kernel.settings.bounds.runner_drain_s * OWN_READING_SHARE
        return self._port.runners.age_s(trio.current_time()) < max_age_s

    async def _read(self) -> None:
        if self._revision is None:
            listing = await self._store_reading.store.list(ObjectKind.RUNNER)
            self._entries.clear()
            self._apply_entries([Change(one, False) for one in listing.objects], listing.unnamed)
            self._revision = listing.revision
        else:
            changes = await self._store_reading.store.watch(
                ObjectKind.RUNNER, self._revision, RUNNER_WATCH_S
            )
            self._apply_entries(changes.changes, changes.unnamed)
            self._revision = changes.revision
        self._port.apply_runner_list(self._entries.runners(), self._revision, trio.current_time())

    def _apply_entries(self, changes: Iterable[Change], unnamed: int) -> None:
        bad = self._apply_each(changes, lambda change: self._entries.apply([change]))
        for entry in bad[:MAX_BAD_LOGGED]:
            log(Event.RUNNER_UNREADABLE, runner=entry.name[:MAX_NAME_LOGGED], error=entry.error)
        if unnamed or len(bad) > MAX_BAD_LOGGED:
            more = max(0, len(bad) - MAX_BAD_LOGGED)
            log(Event.RUNNER_UNREADABLE, runner="", more=more, without_name=unnamed)
