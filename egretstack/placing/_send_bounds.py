"""Limits on how many requests a runner gets. Does no I/O; the time is passed in."""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from enum import Enum

from egretstack.fleet import Runner
from egretstack.ids import RunnerId


class SendOrigin(Enum):
    """Who decides to send a request; determines which allocation of a limit it uses."""

    HOME = "home"
    """The home places it, for any instance."""
    ALONE = "alone"
    """An instance places it on an engine itself because the home does not answer."""
    CONTINUED = "continued"
    """An instance continues a stream on the engine that holds its copy."""
    PLAIN = "plain"
    """An instance sends it to a plain runner; such calls are not placed by the home."""


class SendBound(ABC):
    """A limit on what runners get."""

    @abstractmethod
    def allows(self, now_s: float, runner: Runner, origin: SendOrigin) -> bool:
        """Return whether a runner may get one more request."""

    @abstractmethod
    def time_until_allowed_s(
        self, now_s: float, runner: Runner, origin: SendOrigin, ahead: int = 0
    ) -> float:
        """Return the time until a runner may get a request after `ahead` others; 0 if now."""

    @abstractmethod
    def record_sent(self, now_s: float, runner_id: RunnerId, origin: SendOrigin) -> None:
        """Record a request that is sent to a runner."""

    @abstractmethod
    def forget_removed(self) -> None:
        """Forget runners that are no longer known."""

    def is_rate_limited(self, runner: Runner) -> bool:
        """Return whether a runner accepts too few requests to continue broken streams on it."""
        return False


class CombinedSendBounds(SendBound):
    """Several limits that apply together."""

    def __init__(self, bounds: Iterable[SendBound]) -> None:
        self._bounds = tuple(bounds)

    def allows(self, now_s: float, runner: Runner, origin: SendOrigin) -> bool:
        """Return whether a runner may get one more request."""
        return all(bound.allows(now_s, runner, origin) for bound in self._bounds)

    def time_until_allowed_s(
        self, now_s: float, runner: Runner, origin: SendOrigin, ahead: int = 0
    ) -> float:
        """Return the time until a runner may get a request after `ahead` others; 0 if now."""
        times = (bound.time_until_allowed_s(now_s, runner, origin, ahead) for bound in self._bounds)
        return max(times, default=0.0)

    def record_sent(self, now_s: float, runner_id: RunnerId, origin: SendOrigin) -> None:
        """Record a request that is sent to a runner."""
        for bound in self._bounds:
            bound.record_sent(now_s, runner_id, origin)

    def forget_removed(self) -> None:
        """Forget runners that are no longer known."""
        for bound in self._bounds:
            bound.forget_removed()

    def is_rate_limited(self, runner: Runner) -> bool:
        """Return whether a runner accepts too few requests to continue broken streams on it."""
        return any(bound.is_rate_limited(runner) for bound in self._bounds)
