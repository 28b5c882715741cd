"""Base class of the baseline policies: a queue and the running requests of each runner."""

import random
from abc import abstractmethod
from functools import singledispatchmethod

from egretstack.errors import ErrorKind
from egretstack.ids import ModelName, RequestId, RunnerId
from egretstack.policy._base import Policy
from egretstack.policy._messages import (
    Action,
    Arrived,
    CacheChanged,
    Dispatch,
    Ended,
    Evicted,
    InstancesSeen,
    LengthsLearned,
    PolicyEvent,
    Progressed,
    Refuse,
    RunnerInfo,
    RunnerLeft,
    RunnerReported,
    RunnerSeen,
    SchedulingRequest,
    Started,
    Tick,
)

MAX_QUEUE = 10_000
"""Waiting requests of one instance."""
RETRY_AFTER_S = 2.0
"""Retry delay that every refusal suggests."""


class QueuedPolicy(Policy):
    """Tracks the runners, their running requests and a bounded queue; subclasses pick runners."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._runner_by_id: dict[RunnerId, RunnerInfo] = {}
        self._report_by_id: dict[RunnerId, RunnerReported] = {}
        self._running_by_id: dict[RunnerId, dict[RequestId, SchedulingRequest]] = {}
        self._runner_id_by_request: dict[RequestId, RunnerId] = {}
        self._queue: dict[RequestId, SchedulingRequest] = {}
        self._instance_count = 1

    def handle(self, now_s: float, event: PolicyEvent) -> list[Action]:
        """Process an event and return the resulting actions, in the order of execution."""
        refused = self._apply(event)
        if isinstance(event, Progressed | Started | CacheChanged) or not self._queue:
            return refused
        return refused + self._refuse_expired(now_s) + self._dispatch_ready(now_s)

    def next_wake_s(self) -> float | None:
        """Return the time at which to send a Tick, or None."""
        return min((request.deadline_s for request in self._queue.values()), default=None)

    @abstractmethod
    def _pick(
        self, now_s: float, request: SchedulingRequest, runners: list[RunnerInfo]
    ) -> RunnerInfo | None:
        """Return one of the eligible runners for the request, or None to let it wait."""

    @singledispatchmethod
    def _apply(self, event: PolicyEvent) -> list[Action]:
        raise TypeError(f"unknown event {event!r}")

    @_apply.register
    def _(self, event: Arrived) -> list[Action]:
        request = event.request
        if len(self._queue) >= MAX_QUEUE:
            return [Refuse(request.id, ErrorKind.ENGINES_FULL, RETRY_AFTER_S)]
        if not self._candidates(request):
            return [Refuse(request.id, ErrorKind.NO_RUNNER, RETRY_AFTER_S)]
        self._queue[request.id] = request
        return []

    @_apply.register
    def _(self, event: Ended) -> list[Action]:
        self._queue.pop(event.request_id, None)
        runner_id = self._runner_id_by_request.pop(event.request_id, None)
        if runner_id is not None:
            self._running_by_id[runner_id].pop(event.request_id, None)
        return []

    @_apply.register
    def _(self, event: RunnerSeen) -> list[Action]:
        self._runner_by_id[event.runner.id] = event.runner
        self._running_by_id.setdefault(event.runner.id, {})
        return []

    @_apply.register
    def _(self, event: RunnerLeft) -> list[Action]:
        self._runner_by_id.pop(event.runner_id, None)
        self._report_by_id.pop(event.runner_id, None)
        return []

    @_apply.register
    def _(self, event: RunnerReported) -> list[Action]:
        self._report_by_id[event.runner_id] = event
        return []

    @_apply.register
    def _(self, event: InstancesSeen) -> list[Action]:
        self._instance_count = event.count
        return []

    @_apply.register(Started | Progressed | CacheChanged | Evicted | LengthsLearned | Tick)
    def _(self, event: PolicyEvent) -> list[Action]:
        return []

    def _candidates(self, request: SchedulingRequest) -> list[RunnerInfo]:
        return [
            runner
            for runner in self._runner_by_id.values()
            if request.model in runner.models and runner.id not in request.excluded
        ]

    def _refuse_expired(self, now_s: float) -> list[Action]:
        late = [request for request in self._queue.values() if request.deadline_s <= now_s]
        for request in late:
            del self._queue[request.id]
        return [Refuse(request.id, ErrorKind.DEADLINE_TOO_SHORT, RETRY_AFTER_S) for request in late]

    def _dispatch_ready(self, now_s: float) -> list[Action]:
        actions: list[Action] = []
        full: set[tuple[ModelName, frozenset[RunnerId]]] = set()
        for request in self._ordered():
            # A request that does not fit blocks later ones that could go to the same runners.
            group = (request.model, request.excluded)
            if group in full:
                continue
            runner = self._pick(now_s, request, self._candidates(request))
            if runner is None:
                full.add(group)
                continue
            del self._queue[request.id]
            self._running_by_id[runner.id][request.id] = request
            self._runner_id_by_request[request.id] = runner.id
            actions.append(Dispatch(request.id, runner.id, request.value))
        return actions

    def _ordered(self) -> list[SchedulingRequest]:
        return sorted(self._queue.values(), key=lambda request: -request.value)

    def _load(self, runner: RunnerInfo) -> int:
        """Return the number of sequences on a runner, by its report and own sends."""
        own = len(self._running_by_id[runner.id])
        report = self._report_by_id.get(runner.id)
        return own if report is None else max(own, report.running + report.waiting)
