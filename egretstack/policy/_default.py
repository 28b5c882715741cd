"""The default policy: admission, order, routing and eviction by forecasts."""

import random
from dataclasses import replace

from egretstack.errors import ErrorKind
from egretstack.ids import ModelName, RequestId, ServiceName
from egretstack.lengths import LengthSummary
from egretstack.policy._base import Policy
from egretstack.policy._engine_state import EngineRegistry, EngineState, SentRequest
from egretstack.policy._features import Feature
from egretstack.policy._fitting import Fitter
from egretstack.policy._messages import (
    Action,
    Arrived,
    CacheChanged,
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
    RunnerLeft,
    RunnerReported,
    RunnerSeen,
    SchedulingRequest,
    Started,
    Tick,
)
from egretstack.policy._routing import Router
from egretstack.policy._wait_forecast import MIN_RETRY_S, WaitForecast
from egretstack.policy._wait_queue import MAX_QUEUE, WaitQueue

STREAM_PRIORITY_BONUS = 1001
"""Added to the priority of a streamed request; greater than every contract value."""
RERUN_START_S = 10.0
"""Time in which a request has to start again after it lost its engine."""
MAX_WAIT_SHARE = 0.98
"""Share of the time from queueing to the deadline that the forecast wait may take."""
MAX_TRIES_PER_GROUP = 30
"""Waiting requests of a group that may fail to fit before the rest of the group is skipped."""
RECHECK_INTERVAL_S = 0.5
"""Minimum time between two checks of the waiting requests' deadlines."""

Group = tuple[ServiceName, ModelName]


class DefaultPolicy(Policy):
    """Sends a request to an engine if the forecast peak of its memory still fits; else queues it.

    The queue is ordered by contract value, with ageing and a minimum share for every account.
    A request that is forecast to miss its deadline is refused immediately.
    """

    name = "default"

    def __init__(
        self,
        rng: random.Random,
        disabled: frozenset[Feature] = frozenset(),
        fitter: Fitter | None = None,
    ) -> None:
        self._rng = rng
        self._disabled = disabled
        self._engines = EngineRegistry()
        self._fitter = fitter or Fitter(rng, disabled)
        self._router = Router(rng, disabled)
        self._queue = WaitQueue(
            ageing=Feature.AGEING not in disabled, floor=Feature.ACCOUNT_FLOOR not in disabled
        )
        self._wait_forecast_by_group: dict[Group, WaitForecast] = {}
        self._rechecked_s = 0.0
        self._handler_by_type = {
            Arrived: self._on_arrived,
            Progressed: self._on_progressed,
            Ended: self._on_ended,
            Evicted: self._on_evicted,
            RunnerSeen: self._on_runner_seen,
            RunnerLeft: self._on_runner_left,
            RunnerReported: self._on_runner_reported,
            CacheChanged: self._on_cache_changed,
            InstancesSeen: self._on_instances_seen,
            LengthsLearned: self._on_lengths_learned,
            Started: self._on_started,
            Tick: self._on_tick,
        }

    def handle(self, now_s: float, event: PolicyEvent) -> list[Action]:
        """Process an event and return the resulting actions, in the order of execution."""
        return self._handler_by_type[type(event)](event, now_s)

    def next_wake_s(self) -> float | None:
        """Return the time at which to send a Tick, or None."""
        return min((request.deadline_s for request in self._queue.requests()), default=None)

    def length_summary(self) -> LengthSummary:
        """Return the output lengths that this instance observed."""
        return self._fitter.lengths.summary()

    def _on_arrived(self, event: Arrived, now_s: float) -> list[Action]:
        request = event.request
        if request.excluded:
            # The request was accepted and lost its engine: its first start met the deadline.
            allowed_s = max(request.deadline_s, now_s + RERUN_START_S)
            request = replace(request, deadline_s=allowed_s)
        if not self._engines.candidates(request):
            return [Refuse(request.id, ErrorKind.NO_RUNNER, MIN_RETRY_S)]
        actions = self._bound_queue(now_s, request)
        if actions and actions[0].request_id == request.id:
            return actions
        self._queue.add(now_s, request)
        return actions + self._dispatch_ready(now_s) + self._refuse_if_late(now_s, request)

    def _on_progressed(self, event: Progressed, now_s: float) -> list[Action]:
        engine = self._engines.engine_of(event.request_id)
        if engine is None:
            return []
        sent = engine.sent[event.request_id]
        self._fitter.lengths.record_progress(sent.key, sent.tokens, event.tokens)
        engine.record_progress(now_s, sent, event.tokens, event.delivered)
        return []

    def _on_ended(self, event: Ended, now_s: float) -> list[Action]:
        self._queue.remove(event.request_id, now_s)
        sent = self._remove(now_s, event.request_id)
        if sent is not None and event.reason is EndReason.FINISHED and event.tokens:
            self._fitter.lengths.record_finished(sent.key, sent.tokens, event.tokens)
        return self._dispatch_ready(now_s)

    def _on_evicted(self, event: Evicted, now_s: float) -> list[Action]:
        sent = self._remove(now_s, event.request_id)
        if sent is None:
            return []
        request = replace(
            sent.request, deadline_s=max(sent.request.deadline_s, now_s + RERUN_START_S)
        )
        self._queue.add(now_s, request)
        return self._dispatch_ready(now_s)

    def _on_runner_seen(self, event: RunnerSeen, now_s: float) -> list[Action]:
        self._engines.update_runner(event.runner)
        return self._dispatch_ready(now_s)

    def _on_runner_left(self, event: RunnerLeft, now_s: float) -> list[Action]:
        self._engines.retire_runner(event.runner_id)
        self._fitter.forget_forecast(event.runner_id)
        self._router.affinity.forget_runner(event.runner_id)
        return self._refuse_unserved(now_s)

    def _on_runner_reported(self, event: RunnerReported, now_s: float) -> list[Action]:
        engine = self._engines.by_id.get(event.runner_id)
        if engine is None or not engine.accepts_requests:
            return []
        engine.record_report(event)
        self._fitter.forget_forecast(event.runner_id)
        actions = self._evict_before_overflow(now_s, engine)
        return actions + self._dispatch_ready(now_s) + self._recheck_deadlines(now_s)

    def _on_cache_changed(self, event: CacheChanged, now_s: float) -> list[Action]:
        if event.stored:
            self._router.affinity.record_stored(event.prefix, event.runner_id)
        else:
            self._router.affinity.record_dropped(event.prefix, event.runner_id)
        return []

    def _on_instances_seen(self, event: InstancesSeen, now_s: float) -> list[Action]:
        self._fitter.instance_count = max(1, event.count)
        return []

    def _on_lengths_learned(self, event: LengthsLearned, now_s: float) -> list[Action]:
        self._fitter.lengths.set_summary(event.source, event.summary)
        return []

    def _on_started(self, event: Started, now_s: float) -> list[Action]:
        return []

    def _on_tick(self, event: Tick, now_s: float) -> list[Action]:
        actions = self._dispatch_ready(now_s)
        return actions + self._recheck_deadlines(now_s, force=True)

    def _remove(self, now_s: float, request_id: RequestId) -> SentRequest | None:
        engine = self._engines.engine_of(request_id)
        if engine is None:
            return None
        self._fitter.record_left(now_s, engine, engine.sent[request_id])
        return self._engines.remove(now_s, request_id)

    def _wait_forecast(self, request: SchedulingRequest) -> WaitForecast:
        group = (request.service, request.model)
        return self._wait_forecast_by_group.setdefault(group, WaitForecast())

    def _bound_queue(self, now_s: float, request: SchedulingRequest) -> list[Action]:
        """Bound the queue: if it is full, refuse the new request or the last one in order."""
        if len(self._queue) < MAX_QUEUE:
            return []
        last = self._queue.ordered(now_s)[-1]
        refused = last if last.value < request.value else request
        return [self._refuse(now_s, refused, ErrorKind.ENGINES_FULL, len(self._queue))]

    def _dispatch_ready(self, now_s: float) -> list[Action]:
        if not len(self._queue):
            return []
        actions: list[Action] = []
        tries_by_group: dict[Group, int] = {}
        for request in self._queue.ordered(now_s):
            group = (request.service, request.model)
            tries = tries_by_group.get(group, 0)
            if tries >= MAX_TRIES_PER_GROUP:
                continue
            dispatch = self._dispatch(now_s, request)
            if dispatch is None:
                tries_by_group[group] = tries + 1
            else:
                actions.append(dispatch)
        return actions

    def _dispatch(self, now_s: float, request: SchedulingRequest) -> Dispatch | None:
        demand = self._fitter.demand(request)
        sampled = self._router.sample(request, self._engines.candidates(request))
        found = [self._fitter.fit(now_s, engine, request, demand) for engine in sampled]
        fits = [fit for fit in found if fit is not None]
        if not fits:
            return None
        engine = self._router.choose(request, fits).engine
        waited_s = self._queue.remove(request.id, now_s)
        self._queue.usage.add(now_s, request.account, demand.mean[0] + demand.mean[1])
        self._fitter.record_sent(engine, demand)
        self._router.record_sent(request, engine.info.id)
        self._engines.record_sent(now_s, request, engine.info.id, self._fitter.key(request))
        self._wait_forecast(request).record_sent(now_s, request.value, waited_s)
        return Dispatch(request.id, engine.info.id, self._priority(request))

    def _priority(self, request: SchedulingRequest) -> int:
        """Return the priority for the engine, which preempts the lowest first.

        A preempted stream stalls visibly for its reader; any other request only ends later. So
        streams rank above all other requests, and by value among themselves.
        """
        if request.streamed and Feature.STREAM_PRIORITY not in self._disabled:
            return request.value + STREAM_PRIORITY_BONUS
        return request.value

    def _refuse_if_late(self, now_s: float, request: SchedulingRequest) -> list[Action]:
        """Refuse a new request whose forecast wait exceeds its deadline."""
        waiting = self._queue.ordered(now_s)
        self._record_waiting(now_s, waiting)
        if request not in waiting:
            return []
        return self._refuse_late(now_s, waiting, only=request)

    def _recheck_deadlines(self, now_s: float, *, force: bool = False) -> list[Action]:
        """Refuse waiting requests that are now forecast to miss their deadline."""
        if not force and now_s - self._rechecked_s < RECHECK_INTERVAL_S:
            return []
        self._rechecked_s = now_s
        waiting = self._queue.ordered(now_s)
        self._record_waiting(now_s, waiting)
        return self._refuse_late(now_s, waiting)

    def _record_waiting(self, now_s: float, waiting: list[SchedulingRequest]) -> None:
        groups = {(request.service, request.model) for request in waiting}
        for group, forecast in self._wait_forecast_by_group.items():
            forecast.set_waiting(now_s, group in groups)

    def _refuse_late(
        self, now_s: float, waiting: list[SchedulingRequest], only: SchedulingRequest | None = None
    ) -> list[Action]:
        actions: list[Action] = []
        ahead_by_group: dict[Group, int] = {}
        for request in waiting:
            group = (request.service, request.model)
            ahead = ahead_by_group.get(group, 0)
            ahead_by_group[group] = ahead + 1
            if (only is None or request is only) and self._is_late(now_s, request, ahead):
                ahead_by_group[group] = ahead
                actions.append(self._refuse(now_s, request, ErrorKind.DEADLINE_TOO_SHORT, ahead))
        return actions

    def _is_late(self, now_s: float, request: SchedulingRequest, ahead: int) -> bool:
        if request.deadline_s <= now_s:
            return True
        if Feature.DEADLINE_FORECAST in self._disabled or request.excluded:
            return False
        allowed_s = request.deadline_s - now_s + self._queue.waited_s(request.id, now_s)
        return (
            self._wait_forecast(request).wait_s(now_s, ahead, request.value)
            >= MAX_WAIT_SHARE * allowed_s
        )

    def _refuse(
        self, now_s: float, request: SchedulingRequest, kind: ErrorKind, ahead: int
    ) -> Refuse:
        waited_s = self._queue.remove(request.id, now_s)
        forecast = self._wait_forecast(request)
        if request.deadline_s <= now_s:
            forecast.record_missed(now_s, request.value, waited_s)
        allowed_s = request.deadline_s - now_s + waited_s
        wait_s = forecast.wait_s(now_s, ahead, request.value)
        return Refuse(request.id, kind, forecast.retry_after_s(wait_s, allowed_s))

    def _refuse_unserved(self, now_s: float) -> list[Action]:
        """Refuse waiting requests that no runner serves any more."""
        unserved = [
            request for request in self._queue.requests() if not self._engines.candidates(request)
        ]
        for request in unserved:
            self._queue.remove(request.id, now_s)
        return [Refuse(request.id, ErrorKind.NO_RUNNER, MIN_RETRY_S) for request in unserved]

    def _evict_before_overflow(self, now_s: float, engine: EngineState) -> list[Action]:
        """Evict an undelivered request from an engine about to overflow if it fits elsewhere."""
        if Feature.EVICTION in self._disabled:
            return []
        if not self._fitter.near_overflow(now_s, engine):
            return []
        # A request of which nothing was delivered can be restarted unnoticed. A stream that has
        # begun cannot: its reader would see it stop for good.
        movable = [
            sent
            for sent in engine.sent.values()
            if not sent.evicting
            and not sent.delivered
            and not (sent.request.streamed and sent.tokens)
        ]
        for sent in sorted(movable, key=lambda sent: (sent.request.value, sent.tokens)):
            if self._fits_elsewhere(now_s, engine, sent.request):
                sent.evicting = True
                return [Evict(sent.request.id)]
        return []

    def _fits_elsewhere(
        self, now_s: float, engine: EngineState, request: SchedulingRequest
    ) -> bool:
        demand = self._fitter.demand(request)
        others = [other for other in self._engines.candidates(request) if other is not engine]
        return any(self._fitter.fit(now_s, other, request, demand) for other in others)
