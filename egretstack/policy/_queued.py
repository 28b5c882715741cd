"""The part that every policy with a queue and per-runner counts shares."""

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
FULL_RETRY_S = 2.0


class QueuedPolicy(Policy):
    """Keeps runners, their running work and a bounded queue; a subclass picks the runner."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._runner_by_id: dict[RunnerId, RunnerInfo] = {}
        self._report_by_id: dict[RunnerId, RunnerReported] = {}
        self._running_by_id: dict[RunnerId, dict[RequestId, SchedulingRequest]] = {}
        self._runner_id_by_work: dict[RequestId, RunnerId] = {}
        self._queue: dict[RequestId, SchedulingRequest] = {}
        self._instances = 1

    def handle(self, now_s: float, event: PolicyEvent) -> list[Action]:
        """Take note of an event and answer with actions, in the order to carry them out."""
        refused = self._note(event)
        if isinstance(event, Progressed | Started | CacheChanged) or not self._queue:
            return refused
        return refused + self._expire(now_s) + self._dispatch_ready(now_s)

    def next_wake_s(self) -> float | None:
        """Give the time at which to send a Tick, or None."""
        return min((work.deadline_s for work in self._queue.values()), default=None)

    @abstractmethod
    def _pick(
        self, now_s: float, work: SchedulingRequest, runners: list[RunnerInfo]
    ) -> RunnerInfo | None:
        """Choose a runner for the work among those that may take it, or None to wait."""

    @singledispatchmethod
    def _note(self, event: PolicyEvent) -> list[Action]:
        raise TypeError(f"unknown event {event!r}")

    @_note.register
    def _(self, event: Arrived) -> list[Action]:
        work = event.request
        if len(self._queue) >= MAX_QUEUE:
            return [Refuse(work.id, ErrorKind.ENGINES_FULL, FULL_RETRY_S)]
        if not self._candidates(work):
            return [Refuse(work.id, ErrorKind.NO_RUNNER, FULL_RETRY_S)]
        self._queue[work.id] = work
        return []

    @_note.register
    def _(self, event: Ended) -> list[Action]:
        self._queue.pop(event.request_id, None)
        runner_id = self._runner_id_by_work.pop(event.request_id, None)
        if runner_id is not None:
            self._running_by_id[runner_id].pop(event.request_id, None)
        return []

    @_note.register
    def _(self, event: RunnerSeen) -> list[Action]:
        self._runner_by_id[event.runner.id] = event.runner
        self._running_by_id.setdefault(event.runner.id, {})
        return []

    @_note.register
    def _(self, event: RunnerLeft) -> list[Action]:
        self._runner_by_id.pop(event.runner_id, None)
        self._report_by_id.pop(event.runner_id, None)
        return []

    @_note.register
    def _(self, event: RunnerReported) -> list[Action]:
        self._report_by_id[event.runner_id] = event
        return []

    @_note.register
    def _(self, event: InstancesSeen) -> list[Action]:
        self._instances = event.count
        return []

    @_note.register(Started | Progressed | CacheChanged | Evicted | LengthsLearned | Tick)
    def _(self, event: PolicyEvent) -> list[Action]:
        return []

    def _candidates(self, work: SchedulingRequest) -> list[RunnerInfo]:
        return [
            runner
            for runner in self._runner_by_id.values()
            if work.model in runner.models and runner.id not in work.excluded
        ]

    def _expire(self, now_s: float) -> list[Action]:
        late = [work for work in self._queue.values() if work.deadline_s <= now_s]
        for work in late:
            del self._queue[work.id]
        return [Refuse(work.id, ErrorKind.DEADLINE_TOO_SHORT, FULL_RETRY_S) for work in late]

    def _dispatch_ready(self, now_s: float) -> list[Action]:
        actions: list[Action] = []
        full: set[tuple[ModelName, frozenset[RunnerId]]] = set()
        for work in self._ordered():
            # Work that finds no room blocks what follows it and could go to the same runners.
            group = (work.model, work.excluded)
            if group in full:
                continue
            runner = self._pick(now_s, work, self._candidates(work))
            if runner is None:
                full.add(group)
                continue
            del self._queue[work.id]
            self._running_by_id[runner.id][work.id] = work
            self._runner_id_by_work[work.id] = runner.id
            actions.append(Dispatch(work.id, runner.id, work.value))
        return actions

    def _ordered(self) -> list[SchedulingRequest]:
        return sorted(self._queue.values(), key=lambda work: -work.value)

    def _load(self, runner: RunnerInfo) -> int:
        """Give the sequences on a runner, by report and own sends."""
        own = len(self._running_by_id[runner.id])
        report = self._report_by_id.get(runner.id)
        return own if report is None else max(own, report.running + report.waiting)
