"""What bounds how many requests a runner gets; pure, with the time passed in."""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from enum import Enum

from egretstack.fleet import Runner
from egretstack.ids import RunnerId


class SendOrigin(Enum):
    """Who decides on a request, and so which part of a bound it draws on."""

    HOME = "home"
    """The home places it, for any instance."""
    ALONE = "alone"
    """An instance places it at an engine because the home is silent."""
    CONTINUED = "continued"
    """An instance lets a stream go on where its copy is."""
    PLAIN = "plain"
    """An instance sends it to a plain runner, for which nobody places."""


class SendBound(ABC):
    """Bounds what runners get, for one reason."""

    @abstractmethod
    def allows(self, now_s: float, runner: Runner, part: SendOrigin) -> bool:
        """Tell whether one more request may go to a runner."""

    @abstractmethod
    def time_until_allowed_s(
        self, now_s: float, runner: Runner, part: SendOrigin, ahead: int = 0
    ) -> float:
        """Give when a request may go to a runner, `ahead` others before it; 0 if at once."""

    @abstractmethod
    def record_sent(self, now_s: float, runner_id: RunnerId, part: SendOrigin) -> None:
        """Note a request that goes to a runner."""

    @abstractmethod
    def forget_removed(self) -> None:
        """Forget runners that are no longer known."""

    def is_rate_limited(self, runner: Runner) -> bool:
        """Tell whether a runner takes too little to go on there with streams that broke off."""
        return False


class CombinedSendBounds(SendBound):
    """Several bounds, all of which hold."""

    def __init__(self, bounds: Iterable[SendBound]) -> None:
        self._bounds = tuple(bounds)

    def allows(self, now_s: float, runner: Runner, part: SendOrigin) -> bool:
        """Tell whether one more request may go to a runner."""
        return all(one.allows(now_s, runner, part) for one in self._bounds)

    def time_until_allowed_s(
        self, now_s: float, runner: Runner, part: SendOrigin, ahead: int = 0
    ) -> float:
        """Give when a request may go to a runner, `ahead` others before it; 0 if at once."""
        times = (one.time_until_allowed_s(now_s, runner, part, ahead) for one in self._bounds)
        return max(times, default=0.0)

    def record_sent(self, now_s: float, runner_id: RunnerId, part: SendOrigin) -> None:
        """Note a request that goes to a runner."""
        for one in self._bounds:
            one.record_sent(now_s, runner_id, part)

    def forget_removed(self) -> None:
        """Forget runners that are no longer known."""
        for one in self._bounds:
            one.forget_removed()

    def is_rate_limited(self, runner: Runner) -> bool:
        """Tell whether a runner takes too little to go on there with streams that broke off."""
        return any(one.is_rate_limited(runner) for one in self._bounds)
