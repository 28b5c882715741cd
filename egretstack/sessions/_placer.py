"""Interface through which sessions have their requests placed on runners."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from egretstack.ids import RunnerId
from egretstack.policy import EndReason, SchedulingRequest
from egretstack.upstreams import EngineClient


@dataclass
class Placement:
    """A request's assignment to a runner, until the policy revokes it with `evict`."""

    request: SchedulingRequest
    runner_id: RunnerId
    engine: EngineClient
    priority: int
    evicted: bool = False
    _scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    def evict(self) -> None:
        """Revoke the placement: the current stream, or the next one, is cancelled immediately."""
        self.evicted = True
        self._scope.cancel()

    def new_scope(self) -> trio.CancelScope:
        """Return a cancel scope for reading one stream; each reconnection needs a new one."""
        self._scope = trio.CancelScope()
        if self.evicted:
            self._scope.cancel()
        return self._scope


class Placer(ABC):
    """Places requests according to the policy."""

    @abstractmethod
    async def place(self, request: SchedulingRequest, may_evict: Callable[[], bool]) -> Placement:
        """Wait for a runner; raise EgretError if the policy refuses the request."""

    @abstractmethod
    async def place_again(self, placement: Placement) -> Placement:
        """Wait for another runner after the policy evicted the request."""

    @abstractmethod
    def engine(self, runner_id: RunnerId) -> EngineClient | None:
        """Return the client of a runner, even a leaving one; None if the runner is unknown."""

    @abstractmethod
    def report_started(self, request: SchedulingRequest) -> None:
        """Report to the policy that the engine accepted the request."""

    @abstractmethod
    def report_progress(self, request: SchedulingRequest, tokens: int, delivered: int) -> None:
        """Report to the policy how many tokens were generated and delivered."""

    @abstractmethod
    def report_ended(self, request: SchedulingRequest, tokens: int, reason: EndReason) -> None:
        """Report to the policy that the request left its engine, or the queue."""
