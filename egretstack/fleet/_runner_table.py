"""Which runners there are and which may get requests; pure, with the time passed in.

Views are ordered by the store's revision: the later reading wins, whether this instance or a peer
read it. Of several starts of one runner the one with the latest start time counts, whoever reports
it.
"""

from collections.abc import Container, Iterable
from dataclasses import replace

from egretstack.fleet._runner import Incarnation, Runner, RunnerState
from egretstack.fleet._store_revision import era_of
from egretstack.ids import RunnerId, RunnerName, ServiceName, ZoneName

STORE_UNAVAILABLE_AFTER_S = 1.5
"""Time without a reading after which the store counts as unavailable: entries may have lapsed
meanwhile.

A little over one heartbeat interval of the runners; an entry lapses after three.
"""
RETURN_GRACE_S = 2.2
"""How long after the store's return a runner with a missing entry still counts as live.

Live runners are back in the store within 2 s of its return; dropping all of them at once would
leave no runner at all for that time.
"""
HOME_TRUST_DELAY_S = RETURN_GRACE_S + 0.8
"""How long an instance keeps to its own reading of a missing entry when the home says otherwise."""
REMOVED_RETENTION_S = 40.0
"""How long a removed runner is kept, for streams that still run there."""


class RunnerTable:
    """The runners by id; each start of a runner has its own."""

    def __init__(self) -> None:
        self.by_id: dict[RunnerId, Runner] = {}
        self.revision = 0
        self.read_s = float("-inf")
        """When the store was last read, by any instance, on this process's clock."""
        self.unresponsive: frozenset[RunnerId] = frozenset()
        """Runners that do not answer the home; they get no new requests until they do."""
        self.suspects: frozenset[RunnerId] = frozenset()
        """Runners that break the requests they get; they only get requests that may be repeated."""
        self.evacuated: frozenset[ZoneName] = frozenset()
        """Zones whose runners get no more requests until the operator ends the evacuation."""
        self._latest_by_name: dict[RunnerName, Incarnation] = {}
        """The latest known start of each runner."""
        self._missing_revision_by_id: dict[RunnerId, int] = {}
        """Revision of the first reading that did not list a runner."""
        self._stopped_since_s_by_id: dict[RunnerId, float] = {}
        """Since when each runner that is leaving or missing is known to be so."""
        self._relisted: set[RunnerId] = set()
        """Missing runners that are listed as ready again."""
        self._grace_until_s = float("-inf")
        self._removed_s_by_id: dict[RunnerId, float] = {}
        self._cold_until_s_by_id: dict[RunnerId, float] = {}
        """As the runner itself stated it."""
        self._evacuation_ended_s_by_zone: dict[ZoneName, float] = {}
        """When the evacuation of a zone was ended."""

    def apply_reading(
        self,
        now_s: float,
        runners: Iterable[Runner],
        revision: int,
        read_s: float,
        *,
        from_home: bool = False,
    ) -> list[Runner]:
        """Apply a reading of the whole list; return the runners that may get no more requests.

        Readings older than the current one are ignored. `from_home` is for the list as the home
        sent it: the home has noticed all missing runners and has sent health requests to them.
        """
        if revision < self.revision:
            return []
        was_unavailable = read_s - self.read_s > STORE_UNAVAILABLE_AFTER_S
        if self.by_id and (was_unavailable or era_of(revision) > era_of(self.revision)):
            self._grace_until_s = read_s + RETURN_GRACE_S
        self.revision = revision
        self.read_s = max(self.read_s, read_s)
        runners = list(runners)
        self._record_cold_times(now_s, runners)
        stopped = [
            gone for runner in runners if (gone := self._supersede_former_start(runner)) is not None
        ]
        listed = self._listed_by_id(runners)
        if from_home:
            self._readmit_per_home(now_s, listed.values())
        stopped += self._update_known(now_s, listed)
        self._drop_reused_addresses(listed)
        return stopped

    def record_unchanged(self, revision: int, read_s: float) -> None:
        """Record that the store, read at this revision, lists the same runners as before."""
        if revision >= self.revision:
            self.revision = revision
            self.read_s = max(self.read_s, read_s)

    def register(self, runner: Runner) -> bool:
        """Add an unknown runner that the home chose; return whether it was added."""
        if runner.id in self.by_id or runner.incarnation.name in self._latest_by_name:
            return False
        self._latest_by_name[runner.incarnation.name] = runner.incarnation
        self.by_id[runner.id] = runner
        return True

    def record_start(self, runner_id: RunnerId, started_ms: int) -> Runner | None:
        """Record a start time that a runner stated; return the former start if it ended by that.

        The store's entry may lag: until it is updated, the new start takes the place of the former
        one. A runner whose entry has no start time is not distinguished by it.
        """
        known = self.by_id.get(runner_id)
        if known is None or known.incarnation.started_ms is None:
            return None
        later = Incarnation(known.incarnation.name, started_ms)
        if not self._latest_by_name[later.name].is_before(later):
            return None
        return self._supersede_former_start(
            replace(known, incarnation=later, state=RunnerState.READY)
        )

    def record_leaving(self, now_s: float, runner_id: RunnerId) -> bool:
        """Record that a runner itself said that it is leaving; return whether that was unknown."""
        runner = self.by_id.get(runner_id)
        if runner is None or runner.state in (RunnerState.LEAVING, RunnerState.GONE):
            return False
        self._relisted.discard(runner_id)
        self._stopped_since_s_by_id.setdefault(runner_id, now_s)
        self.by_id[runner_id] = replace(runner, state=RunnerState.LEAVING)
        return True

    def stopped_since_s(self, runner_id: RunnerId) -> float | None:
        """Return since when a runner may get no requests; None if it may or is unresponsive."""
        return self._stopped_since_s_by_id.get(runner_id)

    def is_leaving(self, runner_id: RunnerId) -> bool:
        """Return whether a runner is leaving or has ended; other sources that still list it lag."""
        runner = self.by_id.get(runner_id)
        return runner is not None and runner.state in (RunnerState.LEAVING, RunnerState.GONE)

    def leaving(self) -> list[RunnerId]:
        """Return the leaving runners, in the order in which that became known."""
        return [
            runner_id
            for runner_id in self._stopped_since_s_by_id
            if self.by_id[runner_id].state is RunnerState.LEAVING
        ]

    def relisted(self) -> list[Runner]:
        """Return the missing runners that are listed again; `confirm_alive` one that answers."""
        return [self.by_id[one] for one in self._relisted]

    def has_missing(self) -> bool:
        """Return whether runners are missing that the home may readmit."""
        return bool(self._missing_revision_by_id)

    def confirm_alive(self, runner_id: RunnerId) -> bool:
        """Record that a relisted runner answered itself; return whether that was unknown."""
        if runner_id not in self._relisted:
            return False
        self._readmit(replace(self.by_id[runner_id], confirmed_at_revision=self.revision + 1))
        return True

    def ready(self, service: ServiceName) -> list[Runner]:
        """Return the runners of a service that may get requests."""
        return [
            runner
            for runner in self.by_id.values()
            if runner.service == service and self.is_ready(runner.id)
        ]

    def is_ready(self, runner_id: RunnerId) -> bool:
        """Return whether a runner may get new requests."""
        runner = self.by_id.get(runner_id)
        if runner is None or runner_id in self.unresponsive or runner.zone in self.evacuated:
            return False
        return runner.state is RunnerState.READY

    def is_evacuated(self, runner_id: RunnerId) -> bool:
        """Return whether nothing more may be sent to a runner, not even for its current runs."""
        runner = self.by_id.get(runner_id)
        return runner is not None and runner.zone in self.evacuated

    def has_only_evacuated(self, service: ServiceName, zones: Container[ZoneName] | None) -> bool:
        """Return whether a service has ready runners, but none in a zone where a request may run.

        `zones` are those in which it may run; None if in any. It may not run in evacuated ones.
        """
        ready = [
            runner.zone
            for runner in self.by_id.values()
            if runner.service == service and runner.state is RunnerState.READY
        ]
        allowed = [zone for zone in ready if zones is None or zone in zones]
        return bool(ready) and all(zone in self.evacuated for zone in allowed)

    def set_evacuated(self, now_s: float, zones: frozenset[ZoneName]) -> None:
        """Set the evacuated zones: these and no others."""
        for zone in self.evacuated - zones:
            self._evacuation_ended_s_by_zone[zone] = now_s
        self.evacuated = zones

    def is_cold(self, now_s: float, runner_id: RunnerId, start_s: float) -> bool:
        """Return whether a runner is cold; `start_s` is how long a cold start of its service takes.

        Runners of a zone whose evacuation has ended may have become cold a moment before. Their
        entries show it at their next heartbeat; until then they count as cold.
        """
        runner = self.by_id.get(runner_id)
        if runner is None:
            return False
        until_s = self._cold_until_s_by_id.get(runner_id, now_s)
        evacuation_ended_s = self._evacuation_ended_s_by_zone.get(runner.zone, float("-inf"))
        return now_s < max(until_s, evacuation_ended_s + start_s)

    def record_cold(self, now_s: float, runner_id: RunnerId, cold_s: float) -> None:
        """Record how much longer a runner is cold, as it stated itself."""
        runner = self.by_id.get(runner_id)
        if runner is not None and cold_s > 0:
            self.by_id[runner_id] = replace(runner, cold_s=cold_s)
            self._cold_until_s_by_id[runner_id] = now_s + cold_s

    def is_gone(self, runner_id: RunnerId) -> bool:
        """Return whether a runner has certainly ended, because a later start uses its name."""
        runner = self.by_id.get(runner_id)
        return runner is not None and runner.state is RunnerState.GONE

    def age_s(self, now_s: float) -> float:
        """Return the age of the last reading."""
        return now_s - self.read_s

    def _record_cold_times(self, now_s: float, runners: Iterable[Runner]) -> None:
        """Record how long runners stay cold, if their entries state a new time."""
        for runner in runners:
            known = self.by_id.get(runner.id)
            if runner.cold_s > 0 and (known is None or known.cold_s != runner.cold_s):
                self._cold_until_s_by_id[runner.id] = now_s + runner.cold_s

    def _supersede_former_start(self, runner: Runner) -> Runner | None:
        """Make the latest start of a runner the current one; return the start that ended by it."""
        name = runner.incarnation.name
        former = self._latest_by_name.get(name)
        if former is not None and not former.is_before(runner.incarnation):
            return None
        self._latest_by_name[name] = runner.incarnation
        if former is None or former.id not in self.by_id:
            return None
        self.by_id[runner.id] = runner
        self._relisted.discard(former.id)
        ended = replace(self.by_id[former.id], state=RunnerState.GONE)
        self.by_id[former.id] = ended
        return ended

    def _listed_by_id(self, runners: list[Runner]) -> dict[RunnerId, Runner]:
        """Return the runners by id, with later known starts in place of former ones on the list.

        Entries of starts that are listed as ended stay as they are.
        """
        listed: dict[RunnerId, Runner] = {}
        for runner in runners:
            latest_id = self._latest_by_name[runner.incarnation.name].id
            if runner.id == latest_id or runner.state is RunnerState.GONE:
                listed[runner.id] = runner
            elif latest_id in self.by_id:
                listed.setdefault(latest_id, self.by_id[latest_id])
        return listed

    def _readmit_per_home(self, now_s: float, listed: Iterable[Runner]) -> None:
        """Readmit the missing runners that the home, by a later reading, lists as ready.

        An instance that reads the store itself may see an entry lapse that the home never missed.
        Nobody would readmit the runner here, and callers of this instance would never reach it
        again. For a while after the store's return the home counts a missing entry as a live
        runner; what this instance has read itself takes precedence, so it waits until that time is
        over.
        """
        for runner in listed:
            missing_revision = self._missing_revision_by_id.get(runner.id, self.revision)
            missing_s = now_s - self._stopped_since_s_by_id.get(runner.id, now_s)
            ready = runner.state is RunnerState.READY
            if ready and missing_revision < self.revision and missing_s > HOME_TRUST_DELAY_S:
                self._readmit(runner)

    def _update_known(self, now_s: float, listed: dict[RunnerId, Runner]) -> list[Runner]:
        stopped = []
        for known in list(self.by_id.values()):
            updated = listed.get(known.id)
            if updated is None and self._keep_or_forget(now_s, known):
                continue
            updated = self._merge_listed(known, updated)
            if known.state is RunnerState.READY and updated.state is not RunnerState.READY:
                stopped.append(updated)
                self._stopped_since_s_by_id.setdefault(known.id, now_s)
            self.by_id[known.id] = updated
        for runner in listed.values():
            self._removed_s_by_id.pop(runner.id, None)
            if runner.id not in self.by_id and runner.state is RunnerState.LEAVING:
                self._stopped_since_s_by_id[runner.id] = now_s
            self.by_id.setdefault(runner.id, runner)
        return stopped

    def _merge_listed(self, known: Runner, listed: Runner | None) -> Runner:
        """Return a known runner merged with its entry, or with the lack of one."""
        if listed is None:
            if known.state is not RunnerState.READY:
                return known
            self._missing_revision_by_id[known.id] = self.revision
            return replace(known, state=RunnerState.MISSING)
        confirmed_at = max(known.confirmed_at_revision, listed.confirmed_at_revision)
        listed = replace(listed, confirmed_at_revision=confirmed_at)
        if known.state in (RunnerState.LEAVING, RunnerState.GONE):
            # A notice is final: one that came from the runner itself may be newer than this
            # reading, and no runner withdraws a notice.
            final = RunnerState.GONE if listed.state is RunnerState.GONE else known.state
            return replace(listed, state=final)
        if known.state is RunnerState.READY:
            if listed.state is RunnerState.MISSING:
                self._missing_revision_by_id[known.id] = self.revision
            return listed
        return self._merge_relisted(listed)

    def _merge_relisted(self, listed: Runner) -> Runner:
        """Return a missing runner merged with the entry that lists it again.

        Only an answer of the runner itself shows that it is live: an entry is also restored by a
        heartbeat that was in flight for long, from a runner that has ended by then.
        """
        if listed.state is not RunnerState.READY:
            self._relisted.discard(listed.id)
            return listed
        if listed.confirmed_at_revision > self._missing_revision_by_id.get(listed.id, 0):
            return self._readmit(listed)
        self._relisted.add(listed.id)
        return replace(listed, state=RunnerState.MISSING)

    def _readmit(self, runner: Runner) -> Runner:
        self._relisted.discard(runner.id)
        self._missing_revision_by_id.pop(runner.id, None)
        self._stopped_since_s_by_id.pop(runner.id, None)
        self.by_id[runner.id] = replace(runner, state=RunnerState.READY)
        return self.by_id[runner.id]

    def _keep_or_forget(self, now_s: float, runner: Runner) -> bool:
        """Return whether an unlisted runner needs no change; one removed long ago is dropped."""
        if now_s < self._grace_until_s and runner.state is not RunnerState.GONE:
            return True
        self._relisted.discard(runner.id)
        removed_s = self._removed_s_by_id.setdefault(runner.id, now_s)
        if now_s - removed_s > REMOVED_RETENTION_S:
            self._forget(runner)
            return True
        return False

    def _drop_reused_addresses(self, listed: dict[RunnerId, Runner]) -> None:
        """Send no health requests to a relisted runner whose address another listed runner uses."""
        used_addresses = {
            runner.address
            for runner in listed.values()
            if runner.state in (RunnerState.READY, RunnerState.LEAVING)
            and runner.id not in self._relisted
        }
        self._relisted = {
            runner_id
            for runner_id in self._relisted
            if self.by_id[runner_id].address not in used_addresses
        }

    def _forget(self, runner: Runner) -> None:
        del self.by_id[runner.id]
        del self._removed_s_by_id[runner.id]
        self._missing_revision_by_id.pop(runner.id, None)
        self._stopped_since_s_by_id.pop(runner.id, None)
        self._cold_until_s_by_id.pop(runner.id, None)
        if self._latest_by_name.get(runner.incarnation.name) == runner.incarnation:
            del self._latest_by_name[runner.incarnation.name]
