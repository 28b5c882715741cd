"""Which runners there are and which may get work; pure, with the time passed in.

The store's revision orders all views: whoever read later knows better, whether this instance or
a peer did. Among the starts of one runner the latest birth counts, whoever tells of it.
"""

from collections.abc import Container, Iterable
from dataclasses import replace

from egretstack.fleet._runner import Incarnation, Runner, RunnerState
from egretstack.ids import RunnerId, RunnerName, ServiceName, ZoneName

STORE_UNAVAILABLE_AFTER_S = 1.5
"""Without a reading for so long the store counts as away: entries may have lapsed meanwhile.

A little over one heartbeat of the runners; an entry lapses after three.
"""
RETURN_GRACE_S = 2.2
"""How long after the store's return a missing entry is still taken for a living runner.

Living runners are back in the store within 2 s of its return; dropping all of them at once would
leave no runner at all for that time.
"""
HOME_TRUST_DELAY_S = RETURN_GRACE_S + 0.8
"""How long an instance keeps to its own reading of a missing entry against the home's word."""
REMOVED_RETENTION_S = 40.0
"""How long a removed runner is remembered, for streams that still run there."""


class RunnerTable:
    """The runners, by id; each start of a runner has its own."""

    def __init__(self) -> None:
        self.by_id: dict[RunnerId, Runner] = {}
        self.revision = 0
        self.read_s = float("-inf")
        """When the store was last read, by whomever, on this process's clock."""
        self.unresponsive: frozenset[RunnerId] = frozenset()
        """Runners that do not answer the home; they get no new work until they do."""
        self.suspects: frozenset[RunnerId] = frozenset()
        """Runners that break what the fleet sends them; they get only what may be repeated."""
        self.evacuated: frozenset[ZoneName] = frozenset()
        """Availability zones whose runners get nothing more until the operator takes it back."""
        self._latest_by_name: dict[RunnerName, Incarnation] = {}
        """The latest start of each runner that any news told of."""
        self._missing_revision_by_id: dict[RunnerId, int] = {}
        """Revision of the first reading that did not list a runner."""
        self._stopped_since_s_by_id: dict[RunnerId, float] = {}
        """When each runner that leaves, or is gone, was first known to."""
        self._relisted: set[RunnerId] = set()
        """Missing runners that are listed as ready again."""
        self._grace_until_s = float("-inf")
        self._removed_s_by_id: dict[RunnerId, float] = {}
        self._cold_until_s_by_id: dict[RunnerId, float] = {}
        """By the runner's own word."""
        self._evacuation_ended_s_by_zone: dict[ZoneName, float] = {}
        """When the evacuation of a zone was taken back."""

    def apply_reading(
        self,
        now_s: float,
        runners: Iterable[Runner],
        revision: int,
        read_s: float,
        *,
        from_home: bool = False,
    ) -> list[Runner]:
        """Take a reading of the whole list; give the runners that may get no work from now on.

        Older readings than the one known are left alone. `by_home`: it is what the home makes of
        the list, which has seen and asked after all that was missing.
        """
        if revision < self.revision:
            return []
        unread_s = read_s - self.read_s
        if unread_s > STORE_UNAVAILABLE_AFTER_S and self.by_id:
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
        """Note that a reading of the store, at this revision, lists the same runners as before."""
        if revision >= self.revision:
            self.revision = revision
            self.read_s = max(self.read_s, read_s)

    def register(self, runner: Runner) -> bool:
        """Take a runner that the home chose and that is not known here; tell whether it is news."""
        if runner.id in self.by_id or runner.incarnation.name in self._latest_by_name:
            return False
        self._latest_by_name[runner.incarnation.name] = runner.incarnation
        self.by_id[runner.id] = runner
        return True

    def record_start(self, runner_id: RunnerId, started_ms: int) -> Runner | None:
        """Take a runner's own word of its start; give the former start if that has thereby ended.

        The store's entry may lag: until it tells more, the new start serves as the former did.
        A runner whose entry tells no time of birth is not told apart by it.
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
        """Note that a runner itself said that it leaves; tell whether that is news."""
        runner = self.by_id.get(runner_id)
        if runner is None or runner.state in (RunnerState.LEAVING, RunnerState.GONE):
            return False
        self._relisted.discard(runner_id)
        self._stopped_since_s_by_id.setdefault(runner_id, now_s)
        self.by_id[runner_id] = replace(runner, state=RunnerState.LEAVING)
        return True

    def stopped_since_s(self, runner_id: RunnerId) -> float | None:
        """Give since when a runner is known to get no more work; None if it may, or is silent."""
        return self._stopped_since_s_by_id.get(runner_id)

    def is_leaving(self, runner_id: RunnerId) -> bool:
        """Tell whether a runner leaves or has left; whoever says otherwise is late."""
        runner = self.by_id.get(runner_id)
        return runner is not None and runner.state in (RunnerState.LEAVING, RunnerState.GONE)

    def leaving(self) -> list[RunnerId]:
        """Give the runners that leave, in the order in which that was known."""
        return [
            one
            for one in self._stopped_since_s_by_id
            if self.by_id[one].state is RunnerState.LEAVING
        ]

    def relisted(self) -> list[Runner]:
        """Give the missing runners that are listed again; one that answers is to be confirmed."""
        return [self.by_id[one] for one in self._relisted]

    def has_missing(self) -> bool:
        """Tell whether runners are missing that the home's word may let back."""
        return bool(self._missing_revision_by_id)

    def confirm_alive(self, runner_id: RunnerId) -> bool:
        """Note that a returned runner answered for itself; tell whether that is news."""
        if runner_id not in self._relisted:
            return False
        self._readmit(replace(self.by_id[runner_id], confirmed_at_revision=self.revision + 1))
        return True

    def ready(self, service: ServiceName) -> list[Runner]:
        """Give the runners of a service that may get work."""
        return [
            runner
            for runner in self.by_id.values()
            if runner.service == service and self.is_ready(runner.id)
        ]

    def is_ready(self, runner_id: RunnerId) -> bool:
        """Tell whether a runner may get work."""
        runner = self.by_id.get(runner_id)
        if runner is None or runner_id in self.unresponsive or runner.zone in self.evacuated:
            return False
        return runner.state is RunnerState.READY

    def is_evacuated(self, runner_id: RunnerId) -> bool:
        """Tell whether nothing more may be sent to a runner, what goes on there included."""
        runner = self.by_id.get(runner_id)
        return runner is not None and runner.zone in self.evacuated

    def has_only_evacuated(self, service: ServiceName, zones: Container[ZoneName] | None) -> bool:
        """Tell whether a service has runners, but none where a request may run.

        `zones` are those in which it may run; None if anywhere. In evacuated ones it may not.
        """
        ready = [
            runner.zone
            for runner in self.by_id.values()
            if runner.service == service and runner.state is RunnerState.READY
        ]
        allowed = [zone for zone in ready if zones is None or zone in zones]
        return bool(ready) and all(zone in self.evacuated for zone in allowed)

    def set_evacuated(self, now_s: float, zones: frozenset[ZoneName]) -> None:
        """Take it that these zones are evacuated now, and no others."""
        for zone in self.evacuated - zones:
            self._evacuation_ended_s_by_zone[zone] = now_s
        self.evacuated = zones

    def is_cold(self, now_s: float, runner_id: RunnerId, start_s: float) -> bool:
        """Tell whether a runner is cold; `start_s` is how long its service's runners are.

        Those of a zone whose evacuation was taken back may have become cold a moment before. Their
        entries tell it at their next heartbeat; until then they are taken to be cold.
        """
        runner = self.by_id.get(runner_id)
        if runner is None:
            return False
        until_s = self._cold_until_s_by_id.get(runner_id, now_s)
        evacuation_ended_s = self._evacuation_ended_s_by_zone.get(runner.zone, float("-inf"))
        return now_s < max(until_s, evacuation_ended_s + start_s)

    def record_cold(self, now_s: float, runner_id: RunnerId, cold_s: float) -> None:
        """Take a runner's own word of how much longer it is cold."""
        runner = self.by_id.get(runner_id)
        if runner is not None and cold_s > 0:
            self.by_id[runner_id] = replace(runner, cold_s=cold_s)
            self._cold_until_s_by_id[runner_id] = now_s + cold_s

    def is_gone(self, runner_id: RunnerId) -> bool:
        """Tell whether a runner has surely ended, since a later start goes by its name."""
        runner = self.by_id.get(runner_id)
        return runner is not None and runner.state is RunnerState.GONE

    def age_s(self, now_s: float) -> float:
        """Give how old the last reading is."""
        return now_s - self.read_s

    def _record_cold_times(self, now_s: float, runners: Iterable[Runner]) -> None:
        """Note how long runners stay cold, when their entries say something new of it."""
        for runner in runners:
            known = self.by_id.get(runner.id)
            if runner.cold_s > 0 and (known is None or known.cold_s != runner.cold_s):
                self._cold_until_s_by_id[runner.id] = now_s + runner.cold_s

    def _supersede_former_start(self, runner: Runner) -> Runner | None:
        """Take the latest start of a runner for the only one; give the one that thereby ended."""
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
        """Give the runners by id; where an entry of an earlier start lags, the later one as known.

        What is told of a start that has ended stays as it is told.
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
        """Let back the missing runners that the home, by a later reading, takes for living.

        An instance that reads for itself may see an entry lapse that the home never missed. Nobody
        would let the runner back here, and callers of this instance never get to it again. After
        the store's return the home takes a missing entry for a living runner for a while; what this
        instance has read itself binds it, so that it waits until that is over.
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
        """Give what is known of a runner once the list, or its silence, is taken in."""
        if listed is None:
            if known.state is not RunnerState.READY:
                return known
            self._missing_revision_by_id[known.id] = self.revision
            return replace(known, state=RunnerState.MISSING)
        confirmed_at = max(known.confirmed_at_revision, listed.confirmed_at_revision)
        listed = replace(listed, confirmed_at_revision=confirmed_at)
        if known.state in (RunnerState.LEAVING, RunnerState.GONE):
            # A notice is final: one that came from the runner itself may be newer than this
            # reading, and no runner takes a notice back.
            final = RunnerState.GONE if listed.state is RunnerState.GONE else known.state
            return replace(listed, state=final)
        if known.state is RunnerState.READY:
            if listed.state is RunnerState.MISSING:
                self._missing_revision_by_id[known.id] = self.revision
            return listed
        return self._merge_relisted(listed)

    def _merge_relisted(self, listed: Runner) -> Runner:
        """Give what is known of a missing runner that is listed.

        Whether it lives has to be asked of itself: an entry also comes back by a heartbeat that
        was long on its way, from a runner that is gone by then.
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
        """Tell whether a runner that is not listed stays as it is known, or is forgotten."""
        if now_s < self._grace_until_s and runner.state is not RunnerState.GONE:
            return True
        self._relisted.discard(runner.id)
        removed_s = self._removed_s_by_id.setdefault(runner.id, now_s)
        if now_s - removed_s > REMOVED_RETENTION_S:
            self._forget(runner)
            return True
        return False

    def _drop_reused_addresses(self, listed: dict[RunnerId, Runner]) -> None:
        """Leave a returned runner alone while another one is listed at its address."""
        used_addresses = {
            runner.address
            for runner in listed.values()
            if runner.state in (RunnerState.READY, RunnerState.LEAVING)
            and runner.id not in self._relisted
        }
        self._relisted = {
            one for one in self._relisted if self.by_id[one].address not in used_addresses
        }

    def _forget(self, runner: Runner) -> None:
        del self.by_id[runner.id]
        del self._removed_s_by_id[runner.id]
        self._missing_revision_by_id.pop(runner.id, None)
        self._stopped_since_s_by_id.pop(runner.id, None)
        self._cold_until_s_by_id.pop(runner.id, None)
        if self._latest_by_name.get(runner.incarnation.name) == runner.incarnation:
            del self._latest_by_name[runner.incarnation.name]
