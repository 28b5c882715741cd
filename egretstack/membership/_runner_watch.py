"""Which runners get new requests: by list, by notice, and by their own load reports."""

from dataclasses import dataclass

from egretstack.ids import RunnerId
from egretstack.policy import RunnerInfo, RunnerLeft, RunnerSeen

UNRESPONSIVE_AFTER_S = 2.0
"""Time without a readable load report after which a runner gets no new requests from here."""


@dataclass
class _Runner:
    info: RunnerInfo
    listed_live: bool
    failed_since_s: float | None = None
    unresponsive: bool = False
    says_leaving: bool = False

    @property
    def usable(self) -> bool:
        return self.listed_live and not self.unresponsive and not self.says_leaving


WatchEvent = RunnerSeen | RunnerLeft


class RunnerWatch:
    """Tracks runners; the first source that reports one as leaving is believed.

    Times are seconds on the runtime's clock. Each call returns the events for the policy.
    """

    def __init__(self) -> None:
        self._runner_by_id: dict[RunnerId, _Runner] = {}

    def usable(self) -> list[RunnerInfo]:
        """Return the runners that get new requests."""
        return [runner.info for runner in self._runner_by_id.values() if runner.usable]

    def known(self) -> list[RunnerInfo]:
        """Return all listed runners, including leaving ones."""
        return [runner.info for runner in self._runner_by_id.values()]

    def is_unresponsive(self, runner_id: RunnerId) -> bool:
        """Return whether the runner's reports cannot be read."""
        runner = self._runner_by_id.get(runner_id)
        return runner is not None and runner.unresponsive

    def on_list(self, live_by_info: dict[RunnerInfo, bool]) -> list[WatchEvent]:
        """Apply the list with notices: runners, and whether each is live there."""
        events: list[WatchEvent] = []
        found = {info.id for info in live_by_info}
        for runner_id in self._runner_by_id.keys() - found:
            if self._runner_by_id.pop(runner_id).usable:
                events.append(RunnerLeft(runner_id))
        for info, live in live_by_info.items():
            events.extend(self._update_listed(info, live))
        return events

    def on_report(self, runner_id: RunnerId, leaving: bool) -> list[WatchEvent]:
        """Apply a load report that was read."""
        runner = self._runner_by_id.get(runner_id)
        if runner is None:
            return []
        before = runner.usable
        runner.failed_since_s = None
        runner.unresponsive = False
        runner.says_leaving = leaving
        return _transition(runner, before)

    def on_report_failed(self, now_s: float, runner_id: RunnerId) -> list[WatchEvent]:
        """Record that a load report could not be read."""
        runner = self._runner_by_id.get(runner_id)
        if runner is None:
            return []
        before = runner.usable
        if runner.failed_since_s is None:
            runner.failed_since_s = now_s
        runner.unresponsive = now_s - runner.failed_since_s >= UNRESPONSIVE_AFTER_S
        return _transition(runner, before)

    def _update_listed(self, info: RunnerInfo, live: bool) -> list[WatchEvent]:
        runner = self._runner_by_id.get(info.id)
        if runner is None:
            runner = self._runner_by_id[info.id] = _Runner(info, live)
            return _transition(runner, False)
        before = runner.usable
        changed = runner.info != info
        runner.info = info
        runner.listed_live = live
        if changed and before and runner.usable:
            return [RunnerSeen(info)]
        return _transition(runner, before)


def _transition(runner: _Runner, before: bool) -> list[WatchEvent]:
    if runner.usable == before:
        return []
    return [RunnerSeen(runner.info)] if runner.usable else [RunnerLeft(runner.info.id)]
