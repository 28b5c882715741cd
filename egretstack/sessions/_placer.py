"""What a session needs of the one that places work on runners."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from egretstack.ids import RunnerId
from egretstack.policy import EndReason, SchedulingRequest
from egretstack.upstreams import EngineClient


@dataclass
class Placement:
    """Work that was given a runner, until the policy takes it away again with `evict`."""

    work: SchedulingRequest
    runner_id: RunnerId
    engine: EngineClient
    priority: int
    evicted: bool = False
    _scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    def evict(self) -> None:
        """Take the work away: the stream that is followed, or the next one, ends at once."""
        self.evicted = True
        self._scope.cancel()

    def new_scope(self) -> trio.CancelScope:
        """Give the scope to follow one stream in; each reconnection needs a new one."""
        self._scope = trio.CancelScope()
        if self.evicted:
            self._scope.cancel()
        return self._scope


class Placer(ABC):
    """Places work by the policy."""

    @abstractmethod
    async def place(self, work: SchedulingRequest, may_evict: Callable[[], bool]) -> Placement:
        """Wait for a runner; raise EgretError with the policy's refusal."""

    @abstractmethod
    async def place_again(self, placement: Placement) -> Placement:
        """Wait for a runner after the policy took the work away."""

    @abstractmethod
    def engine(self, runner_id: RunnerId) -> EngineClient | None:
        """Give the client of a runner, also of a leaving one; None if it is not known."""

    @abstractmethod
    def report_started(self, work: SchedulingRequest) -> None:
        """Tell the policy that the engine accepted the work."""

    @abstractmethod
    def report_progress(self, work: SchedulingRequest, tokens: int, delivered: int) -> None:
        """Tell the policy how far the work has come."""

    @abstractmethod
    def report_ended(self, work: SchedulingRequest, tokens: int, reason: EndReason) -> None:
        """Tell the policy that the work left its engine, or the queue."""
