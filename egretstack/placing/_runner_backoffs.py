"""Backoffs that runners request from this instance when they reject a request. Does no I/O."""

from egretstack.fleet import Runner, RunnerTable
from egretstack.ids import RunnerId
from egretstack.placing._send_bounds import SendBound, SendOrigin


class RunnerBackoffs(SendBound):
    """Sends no requests of this instance to a runner during the backoff that it requested.

    Another instance may send to the same runner. A request that the home places for another
    instance is not one of its own; the instance that sends it observes its own backoffs.
    """

    def __init__(self, runners: RunnerTable) -> None:
        self._runners = runners
        self._until_s_by_id: dict[RunnerId, float] = {}

    def record_requested(self, now_s: float, runner_id: RunnerId, backoff_s: float) -> None:
        """Record that a runner requests a backoff; the latest end applies."""
        until_s = self._until_s_by_id.get(runner_id, now_s)
        self._until_s_by_id[runner_id] = max(until_s, now_s + backoff_s)

    def in_backoff(self, now_s: float) -> set[RunnerId]:
        """Return the runners that are in backoff now."""
        return {one for one, until_s in self._until_s_by_id.items() if until_s > now_s}

    def allows(self, now_s: float, runner: Runner, origin: SendOrigin) -> bool:
        """Return whether a runner may get one more request."""
        return self.time_until_allowed_s(now_s, runner, origin) <= 0.0

    def time_until_allowed_s(
        self, now_s: float, runner: Runner, origin: SendOrigin, ahead: int = 0
    ) -> float:
        """Return the time until a runner may get a request; 0 if now."""
        if origin is SendOrigin.HOME:
            return 0.0
        return max(0.0, self._until_s_by_id.get(runner.id, now_s) - now_s)

    def record_sent(self, now_s: float, runner_id: RunnerId, origin: SendOrigin) -> None:
        """Do nothing: requests that are sent do not change a backoff."""

    def forget_removed(self) -> None:
        """Forget runners that are no longer known."""
        for removed in self._until_s_by_id.keys() - self._runners.by_id.keys():
            del self._until_s_by_id[removed]
