"""What is sent to brittle runners, which fall over if they have to reject too much. Does no I/O.

A brittle runner states how many requests it can reject in a second. How many it lets wait is not
known and may shrink, so no more requests are at such a runner than it has slots: the home keeps to
that for the requests that it places, and for others each instance has an equal part of the slots.
After a rejection an instance pauses for so long that the rejections of all instances together stay
within what the runner can bear.
"""

from collections.abc import Callable

from egretstack.fleet import Runner, RunnerLimits, RunnerTable
from egretstack.ids import RunnerId
from egretstack.placing._send_bounds import SendBound, SendOrigin
from egretstack.placing._split import FleetSplit

HOME_SHARE = 0.9
"""Share of an engine's slots for requests that the home places; the rest is for requests that are
placed without it."""
SLOT_WAIT_S = 0.02
"""Time after which to look for a free slot again."""
MAX_PAUSE_S = 5.0
"""Longest pause after a rejection."""


class BrittleAllocation(SendBound):
    """Limits how many requests of this instance, or of the home, are at a brittle runner."""

    def __init__(self, split: FleetSplit, runners: RunnerTable, stated: RunnerLimits) -> None:
        self._split = split
        self._runners = runners
        self._stated = stated
        self.calls_at: Callable[[RunnerId], int] = lambda runner: 0
        """Returns how many calls of this instance are in progress at a plain runner."""
        self.own_runs_at: Callable[[RunnerId], int] = lambda runner: 0
        """Returns how many generations of this instance are in progress at an engine."""
        self.fleet_runs_at: Callable[[RunnerId], int] = lambda runner: 0
        """Returns how many generations of all instances are in progress at an engine."""
        self._paused_until_s_by_id: dict[RunnerId, float] = {}

    def allows(self, now_s: float, runner: Runner, origin: SendOrigin) -> bool:
        """Return whether a runner may get one more request; always true if it is not brittle."""
        return self.time_until_allowed_s(now_s, runner, origin) <= 0.0

    def time_until_allowed_s(
        self, now_s: float, runner: Runner, origin: SendOrigin, ahead: int = 0
    ) -> float:
        """Return the time until a runner may get a request after `ahead` others; 0 if now."""
        if self._stated.per_s(runner.id) is None or origin is SendOrigin.CONTINUED:
            return 0.0  # The copy that a run continues from has a slot already.
        pause_s = self._paused_until_s_by_id.get(runner.id, now_s) - now_s
        if pause_s > 0.0:
            return pause_s
        slots, taken = self._slots(runner, origin)
        if slots < 1:
            return float("inf")
        return 0.0 if taken + ahead < slots else SLOT_WAIT_S

    def record_sent(self, now_s: float, runner_id: RunnerId, origin: SendOrigin) -> None:
        """Do nothing: requests are counted where they are in progress."""

    def record_rejected(self, now_s: float, runner_id: RunnerId) -> None:
        """Record that a runner rejected a request of this instance for want of room."""
        per_s = self._stated.per_s(runner_id)
        if per_s is not None:
            pause_s = self._split.instance_count / max(1.0, per_s)
            self._paused_until_s_by_id[runner_id] = now_s + min(MAX_PAUSE_S, pause_s)

    def forget_removed(self) -> None:
        """Forget runners that are no longer known."""
        for removed in self._paused_until_s_by_id.keys() - self._runners.by_id.keys():
            del self._paused_until_s_by_id[removed]

    def _slots(self, runner: Runner, origin: SendOrigin) -> tuple[int, int]:
        """Return how many slots there are for an origin, and how many of them are taken."""
        if origin is SendOrigin.PLAIN:
            return self._own_part(runner.id, runner.slots), self.calls_at(runner.id)
        home_slots = max(1, int(HOME_SHARE * runner.slots))
        if origin is SendOrigin.HOME:
            return home_slots, self.fleet_runs_at(runner.id)
        return self._own_part(runner.id, runner.slots - home_slots), self.own_runs_at(runner.id)

    def _own_part(self, runner_id: RunnerId, slots: int) -> int:
        """Return this instance's part of a number of slots; a hash says who has one more."""
        each, rest = divmod(slots, self._split.instance_count)
        return each + int(self._split.is_sender(runner_id, rest))
