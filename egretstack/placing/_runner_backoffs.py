"""Rests that runners ask this instance for when they turn a request away; pure."""

from egretstack.fleet import Runner, RunnerTable
from egretstack.ids import RunnerId
from egretstack.placing._send_bounds import SendBound, SendOrigin


class RunnerBackoffs(SendBound):
    """Keeps this instance's requests off runners that want none of them for a while.

    Another instance may send to the same runner. What the home places for others is none of this
    one's requests; whoever sends it keeps to its own rests.
    """

    def __init__(self, runners: RunnerTable) -> None:
        self._runners = runners
        self._until_s_by_id: dict[RunnerId, float] = {}

    def record_requested(self, now_s: float, runner_id: RunnerId, rest_s: float) -> None:
        """Note that a runner wants nothing for a while; the longest rest counts."""
        until_s = self._until_s_by_id.get(runner_id, now_s)
        self._until_s_by_id[runner_id] = max(until_s, now_s + rest_s)

    def in_backoff(self, now_s: float) -> set[RunnerId]:
        """Give the runners that rest now."""
        return {one for one, until_s in self._until_s_by_id.items() if until_s > now_s}

    def allows(self, now_s: float, runner: Runner, part: SendOrigin) -> bool:
        """Tell whether one more request may go to a runner."""
        return self.time_until_allowed_s(now_s, runner, part) <= 0.0

    def time_until_allowed_s(
        self, now_s: float, runner: Runner, part: SendOrigin, ahead: int = 0
    ) -> float:
        """Give when a request may go to a runner; 0 if at once."""
        if part is SendOrigin.HOME:
            return 0.0
        return max(0.0, self._until_s_by_id.get(runner.id, now_s) - now_s)

    def record_sent(self, now_s: float, runner_id: RunnerId, part: SendOrigin) -> None:
        """Note a request that goes to a runner; it changes no rest."""

    def forget_removed(self) -> None:
        """Forget runners that are no longer known."""
        for gone in self._until_s_by_id.keys() - self._runners.by_id.keys():
            del self._until_s_by_id[gone]
