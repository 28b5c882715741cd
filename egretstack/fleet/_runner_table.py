"""Which runners there are and which may get work; pure, with the time passed in.

The store's revision orders all views: whoever read later knows better, whether this instance or
a peer did.
"""

from collections.abc import Iterable
from dataclasses import replace

from egretstack.fleet._runner import Runner, RunnerState
from egretstack.ids import RunnerId, ServiceName

AWAY_AFTER_S = 1.5
"""Without a reading for so long the store counts as away: entries may have lapsed meanwhile.

A little over one heartbeat of the runners; an entry lapses after three.
"""
RETURN_GRACE_S = 2.2
"""How long after the store's return a missing entry is still taken for a living runner.

Living runners are back in the store within 2 s of its return; dropping all of them at once would
leave no runner at all for that time.
"""
FORGET_S = 40.0
"""How long a removed runner is remembered, for streams that still run there."""


class RunnerTable:
    """The runners, by id."""

    def __init__(self) -> None:
        self.by_id: dict[RunnerId, Runner] = {}
        self.revision = 0
        self.read_s = float("-inf")
        """When the store was last read, by whomever, on this process's clock."""
        self.silent: frozenset[RunnerId] = frozenset()
        """Runners that do not answer the home; they get no new work until they do."""
        self._grace_until_s = float("-inf")
        self._removed_s_by_id: dict[RunnerId, float] = {}

    def take(
        self, now_s: float, runners: Iterable[Runner], revision: int, read_s: float
    ) -> list[Runner]:
        """Take a reading of the whole list; give the runners that may get no work from now on.

        Older readings than the one known are left alone.
        """
        if revision < self.revision:
            return []
        away_s = read_s - self.read_s
        if away_s > AWAY_AFTER_S and self.by_id:
            self._grace_until_s = read_s + RETURN_GRACE_S
        self.revision = revision
        self.read_s = max(self.read_s, read_s)
        return self._replace(now_s, {runner.id: runner for runner in runners})

    def still_holds(self, revision: int, read_s: float) -> None:
        """Note that the reading of a revision was found unchanged."""
        if revision == self.revision:
            self.read_s = max(self.read_s, read_s)

    def notice(self, now_s: float, runner_id: RunnerId) -> bool:
        """Note that a runner itself said that it leaves; tell whether that is news."""
        runner = self.by_id.get(runner_id)
        if runner is None or runner.state is RunnerState.LEAVING:
            return False
        self.by_id[runner_id] = replace(runner, state=RunnerState.LEAVING)
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
        if runner is None or runner_id in self.silent:
            return False
        return runner.state is RunnerState.READY

    def age_s(self, now_s: float) -> float:
        """Give how old the last reading is."""
        return now_s - self.read_s

    def _replace(self, now_s: float, listed: dict[RunnerId, Runner]) -> list[Runner]:
        stopped = []
        for runner in list(self.by_id.values()):
            now = listed.get(runner.id)
            if now is None:
                if self._keep_missing(now_s, runner):
                    continue
                now = replace(runner, state=RunnerState.LEAVING)
            elif runner.state is RunnerState.LEAVING:
                # A notice is final: one that came from the runner itself may be newer than this
                # reading, and no runner takes a notice back.
                now = replace(now, state=RunnerState.LEAVING)
            if now.state is not runner.state:
                stopped.append(now)
            self.by_id[runner.id] = now
        for runner in listed.values():
            self._removed_s_by_id.pop(runner.id, None)
            self.by_id.setdefault(runner.id, runner)
        return stopped

    def _keep_missing(self, now_s: float, runner: Runner) -> bool:
        if now_s < self._grace_until_s:
            return True
        removed_s = self._removed_s_by_id.setdefault(runner.id, now_s)
        if now_s - removed_s > FORGET_S:
            del self._removed_s_by_id[runner.id]
            del self.by_id[runner.id]
            return True
        return False
