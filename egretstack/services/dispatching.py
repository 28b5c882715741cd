"""Drives the policy: passes it events and carries out what it decides."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from egretstack.errors import EgretError, ErrorKind
from egretstack.ids import RequestId, RunnerId
from egretstack.kernel import Kernel, Service
from egretstack.lengths import LengthSummary
from egretstack.objectapi import ENTRY_SERVICE, MemberState
from egretstack.policy import (
    DEFAULT_POLICY,
    Action,
    Arrived,
    Dispatch,
    Ended,
    EndReason,
    Evict,
    Evicted,
    InstancesSeen,
    LengthsLearned,
    PolicyEvent,
    Progressed,
    Refuse,
    SchedulingRequest,
    Started,
    Tick,
    make_policy,
)
from egretstack.services.instances import Instances
from egretstack.services.runners import Runners
from egretstack.sessions import Placement, Placer
from egretstack.upstreams import EngineClient


@dataclass
class _Waiting:
    request: SchedulingRequest
    may_evict: Callable[[], bool]
    decided: trio.Event = field(default_factory=trio.Event)
    action: Dispatch | Refuse | None = None
    placement: Placement | None = None


class Dispatching(Service, Placer):
    """The only place in this process where the policy runs."""

    name = "dispatching"
    requires = ("instances", "runners")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._policy = make_policy(DEFAULT_POLICY, random.Random())
        self._waiting_by_id: dict[RequestId, _Waiting] = {}
        self._wake = trio.Event()

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Send the policy the ticks it requests."""
        self.kernel.get(Instances).on_change(self._report_instance_count)
        self._report_instance_count()
        self.kernel.get(Runners).on_event(self._handle_event)
        task_status.started()
        while True:
            self._wake = trio.Event()
            at_s = self._policy.next_wake_s()
            with trio.CancelScope(deadline=float("inf") if at_s is None else at_s) as scope:
                await self._wake.wait()
            if scope.cancelled_caught:
                self._handle_event(Tick())

    async def place(self, request: SchedulingRequest, may_evict: Callable[[], bool]) -> Placement:
        """Wait for a runner. Raises EgretError if the policy refuses the request."""
        waiting = _Waiting(request, may_evict)
        self._waiting_by_id[request.id] = waiting
        self._handle_event(Arrived(request))
        return await self._decision(waiting)

    async def place_again(self, placement: Placement) -> Placement:
        """Wait for a runner after the policy evicted the request."""
        waiting = self._waiting_by_id[placement.request.id]
        self._handle_event(Evicted(placement.request.id))
        return await self._decision(waiting)

    def engine(self, runner_id: RunnerId) -> EngineClient | None:
        """Return the client of a runner, also of a leaving one; None for an unknown runner."""
        return self.kernel.get(Runners).engine(runner_id)

    def report_started(self, request: SchedulingRequest) -> None:
        """Report to the policy that the engine accepted the request."""
        self._handle_event(Started(request.id))

    def report_progress(self, request: SchedulingRequest, tokens: int, delivered: int) -> None:
        """Report to the policy how far the request has come."""
        self._handle_event(Progressed(request.id, tokens, delivered))

    def report_ended(self, request: SchedulingRequest, tokens: int, reason: EndReason) -> None:
        """Report to the policy that the request left its engine, or the queue."""
        waiting = self._waiting_by_id.pop(request.id, None)
        if reason is EndReason.FAILED and waiting is not None and waiting.placement is not None:
            self.kernel.get(Runners).check_soon(waiting.placement.runner_id)
        self._handle_event(Ended(request.id, tokens, reason))

    def lengths(self) -> LengthSummary:
        """Return what this entry learned of output lengths."""
        return self._policy.length_summary()

    def add_lengths(self, event: LengthsLearned) -> None:
        """Pass to the policy what another entry learned of output lengths."""
        self._handle_event(event)

    async def _decision(self, waiting: _Waiting) -> Placement:
        await waiting.decided.wait()
        action = waiting.action
        waiting.decided = trio.Event()
        waiting.action = None
        if isinstance(action, Refuse):
            del self._waiting_by_id[waiting.request.id]
            raise EgretError(
                action.kind, "refused by the policy", retry_after_s=action.retry_after_s
            )
        engine = self.engine(action.runner_id)
        if engine is None:
            raise EgretError(ErrorKind.NO_RUNNER, f"runner {action.runner_id} is gone")
        waiting.placement = Placement(waiting.request, action.runner_id, engine, action.priority)
        return waiting.placement

    def _report_instance_count(self) -> None:
        live = self.kernel.get(Instances).members(ENTRY_SERVICE, MemberState.LIVE)
        self._handle_event(InstancesSeen(max(1, len(live))))

    def _handle_event(self, event: PolicyEvent) -> None:
        for action in self._policy.handle(trio.current_time(), event):
            self._carry_out(action)
        self._wake.set()

    def _carry_out(self, action: Action) -> None:
        waiting = self._waiting_by_id.get(action.request_id)
        if waiting is None:
            return
        if isinstance(action, Evict):
            self._evict(waiting)
            return
        waiting.action = action
        waiting.decided.set()

    @staticmethod
    def _evict(waiting: _Waiting) -> None:
        if waiting.placement is not None and waiting.may_evict():
            waiting.placement.evict()
