"""Which runners may be at work on one run. Does no I/O; the time is passed in.

A runner that was sent a run may be at work on it until its end is known. Closing its connection
ends its work only once it notices, which a runner that is paused does not.
"""

from dataclasses import dataclass

from egretstack.ids import RunnerId
from egretstack.relay._patience import place_wait_s

RESPONSIVE_S = 0.25
"""Age of the latest sign of a runner up to which it counts as going: it notices at once that its
connection is closed. Events of one stream are 0.03 to 0.18 s apart."""
MAX_STEP_S = 0.5
"""Longest time between two looks that counts as silence; the rest is a pause of this process."""


@dataclass
class _ActiveRunner:
    silent_s: float = 0.0
    """Time since its latest sign, or since it was sent the run, while this process ran."""
    has_signed: bool = False
    """Whether it has sent anything since it was sent the run."""
    is_unreachable: bool = False
    is_left: bool = False
    """Whether its connection was closed, without a sign that it has noticed."""

    def may_be_left(self) -> bool:
        """Return whether it ends its work as its connection is closed, or can't be waited for."""
        return self.is_lost or (self.is_responsive and not self.is_left)

    @property
    def is_lost(self) -> bool:
        """Whether it accepts no connection, or is silent for longer than a sound runner."""
        return self.is_unreachable or self.silent_s > place_wait_s()

    @property
    def is_responsive(self) -> bool:
        """Whether it has sent something a moment ago."""
        return self.has_signed and self.silent_s <= RESPONSIVE_S


class ActiveRunners:
    """The runners that may be at work on one run."""

    def __init__(self) -> None:
        self._by_id: dict[RunnerId, _ActiveRunner] = {}
        self._looked_s = float("-inf")

    def record_sent(self, now_s: float, runner: RunnerId) -> None:
        """Record that a runner is sent a request to start the run or to continue it."""
        self.look(now_s)
        self._by_id[runner] = _ActiveRunner()

    def record_sign(self, now_s: float, runner: RunnerId) -> None:
        """Record that a runner sent something, on the connection of the run or on another one."""
        self.look(now_s)
        active = self._by_id.get(runner)
        if active is None:
            return
        if active.is_left:
            del self._by_id[runner]
            return
        active.silent_s, active.has_signed, active.is_unreachable = 0.0, True, False

    def record_unreachable(self, runner: RunnerId) -> None:
        """Record that a runner accepts no connection."""
        if runner in self._by_id:
            self._by_id[runner].is_unreachable = True

    def record_silence(self, runner: RunnerId, waited_s: float) -> None:
        """Record that a runner was waited for without a sign, while this process ran."""
        active = self._by_id.get(runner)
        if active is not None:
            active.silent_s = max(active.silent_s, waited_s)

    def record_left(self, now_s: float, runner: RunnerId) -> None:
        """Record that the connection of the run at a runner is closed now."""
        self.look(now_s)
        active = self._by_id.get(runner)
        if active is None:
            return
        if active.may_be_left():
            del self._by_id[runner]
        else:
            active.is_left = True

    def record_ended(self, runner: RunnerId) -> None:
        """Record that a runner certainly does not work on the run, or not any more."""
        self._by_id.pop(runner, None)

    def doubtful(self, now_s: float) -> list[RunnerId]:
        """Return the runners that would go on beside another one, unless they show otherwise."""
        self.look(now_s)
        return [runner for runner, active in self._by_id.items() if not active.may_be_left()]

    def is_responsive(self, now_s: float, runner: RunnerId) -> bool:
        """Return whether a runner has sent something a moment ago."""
        self.look(now_s)
        return runner in self._by_id and self._by_id[runner].is_responsive

    def is_lost(self, now_s: float, runner: RunnerId) -> bool:
        """Return whether a runner accepts no connection, or is silent for too long."""
        self.look(now_s)
        return runner not in self._by_id or self._by_id[runner].is_lost

    def look(self, now_s: float) -> None:
        """Count the time until now as silence of every runner."""
        step_s = min(MAX_STEP_S, max(0.0, now_s - self._looked_s))
        self._looked_s = max(self._looked_s, now_s)
        for active in self._by_id.values():
            active.silent_s += step_s
