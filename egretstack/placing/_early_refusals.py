"""Refuses generations for which no place becomes free in time, and says when to return.

Does no I/O; the time is passed in.
"""

from bisect import bisect_left
from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from math import exp, inf

from egretstack.fleet import RunnerTable
from egretstack.ids import ServiceName
from egretstack.placing._capacity_forecast import CapacityForecast
from egretstack.placing._capacity_sharing import CapacitySharing
from egretstack.placing._copies import FULL_SHARE, LATE_FULL_SHARE
from egretstack.placing._fair_order import QueuedRequest
from egretstack.placing._queue_ahead import QueueAhead
from egretstack.placing._refusal import Refusal, RefusalReason
from egretstack.placing._return_slots import (
    ReturnOutcome,
    ReturnSlot,
    ReturnSlots,
)
from egretstack.placing._run import GenerationRequest
from egretstack.placing._run_registry import RunRegistry
from egretstack.routing import EngineConfig

RETURN_SHARE = 1 / 3
"""Share of the time that a caller has left within which it returns if told to."""
ADMIT_SHARE = 1.25
"""Multiple of its longest useful wait within which a place for a newcomer has to be forecast, at
first and at most. The forecast is no more exact than a quarter, and a caller that is refused for
nothing returns too late for its target."""
MIN_ADMIT_SHARE = 0.75
OVERTAKEN_FACTOR = 1.25
"""The same for a request that waits already, as a multiple of the time that it has left."""
ADMIT_LOWER_STEP = 0.02
ADMIT_RAISE_STEP = 0.002
"""Changes of this share with each request that was refused after a wait, and each that got its
place after one. So about one in ten is refused after a wait, whatever the forecast misses: those
callers have lost the time."""
ADMIT_RECOVERY_S = 4.0
"""Time without such a change in which the share returns most of the way: about as long as the
requests stayed that were overtaken. The load that it learned from may be over."""
MAX_ADMIT_SHARES = 4096
MAX_KINDS = 64
"""Forecasts whose places without those of slots are kept."""
DEFAULT_RETURN_S = 2.0
"""Latest return of a caller whose deadline is not known."""
MIN_RETRY_S = 0.3

AdmitKey = tuple[ServiceName, int, str]


class EarlyRefusals:
    """Decides which queued requests are refused, for the fleet or for one instance alone."""

    def __init__(
        self,
        registry: RunRegistry,
        runners: RunnerTable,
        sharing: CapacitySharing,
        find: Callable[[str], QueuedRequest | None],
    ) -> None:
        """`sharing` knows the order of the queued requests; `find` returns one of them."""
        self.slots = ReturnSlots()
        self._forecast = CapacityForecast(registry, runners)
        self._registry = registry
        self._runners = runners
        self._sharing = sharing
        self._queue = QueueAhead(self._forecast, sharing, find)
        self._admit_share_by_key: OrderedDict[AdmitKey, tuple[float, float]] = OrderedDict()
        """Share, and when it changed, by service, rank and account: requests of an account that
        sends too much are overtaken by those of others, whose waits this says nothing about. The
        longest unchanged goes first."""
        self._left_by_kind: dict[tuple, tuple[Sequence[float], list[float]]] = {}
        """Places without those that slots take, with the forecast that they were taken from."""

    def is_on_time(self, request: GenerationRequest) -> bool:
        """Return whether a request was sent on time by a caller that was told when to return."""
        return self.slots.is_taken_by(request)

    def record_request(
        self, now_s: float, request: GenerationRequest, engine: EngineConfig
    ) -> Refusal | None:
        """Record a request before it is queued; return a refusal if its caller returned early.

        A stream that has begun is not the return of its caller. While there is room, nothing is
        refused: engines may have come back since the slot was given.
        """
        self.slots.drop_lapsed(now_s)
        if request.generated_tokens:
            return None
        self.slots.record_request(now_s, request)
        early_s = self.slots.early_s(now_s, request)
        if early_s <= 0.0 or self._has_room(now_s, request, engine):
            return None
        return Refusal(
            request.attempt,
            request.rank,
            request.context_tokens,
            RefusalReason.EARLY_RETURN,
            early_s,
            early_s,
            request.max_wait_s,
            0.0,
            self.slots.find(now_s, request),
        )

    def decide(
        self, now_s: float, request: GenerationRequest, engine: EngineConfig
    ) -> Refusal | None:
        """Return the refusal of a queued request that got no place; None if it may wait."""
        queued = self._queue.find(request.attempt)
        if queued is None or queued.on_time:
            return None
        waited_s = now_s - queued.waiting_since_s
        left_s = request.max_wait_s - waited_s
        late = queued.is_late(now_s, request.context_tokens / self._registry.prefill_per_s)
        full_share = LATE_FULL_SHARE if late else FULL_SHARE
        late = late or (
            self._forecast.earliest_prefilled_s(now_s, request) > queued.in_time_until_s
        )
        times_s = self._forecast.place_times_s(now_s, request, engine, full_share=full_share)
        if times_s is None:
            return None
        area_ahead = self._queue.area_ahead(now_s, queued)
        ahead = self._ahead(now_s, request, engine, area_ahead)
        area = self._forecast.room_needed(request).area
        wait_s = self._wait_s(now_s, request, area, times_s, ahead)
        if late:
            # Its caller is served late, which is better than not at all, if a place is forecast.
            may_wait = wait_s <= left_s
        elif waited_s > 0.0:
            may_wait = wait_s <= OVERTAKEN_FACTOR * left_s
        else:
            may_wait = wait_s <= self._longest_forecast_s(now_s, request)
        if may_wait:
            return None
        reason = RefusalReason.OVERTAKEN if waited_s > 0.0 else RefusalReason.NO_ROOM
        if reason is RefusalReason.OVERTAKEN:
            self._change_admit_share(now_s, request, -ADMIT_LOWER_STEP)
        return self._refuse(now_s, request, engine, reason, waited_s, wait_s, ahead)

    def refuse(
        self,
        now_s: float,
        request: GenerationRequest,
        engine: EngineConfig,
        reason: RefusalReason,
    ) -> Refusal:
        """Return the refusal of a request that cannot be queued."""
        area_ahead = self._queue.area_before_newcomers(now_s, request)
        ahead = self._ahead(now_s, request, engine, area_ahead)
        return self._refuse(now_s, request, engine, reason, 0.0, inf, ahead)

    def refuse_dropped(self, now_s: float, queued: QueuedRequest) -> Refusal:
        """Return the refusal of a request that was dropped from the queue, as it is too late."""
        request = queued.request
        waited_s = now_s - queued.waiting_since_s
        area_ahead = self._queue.area_before_newcomers(now_s, request)
        ahead = self._ahead(now_s, request, queued.engine, area_ahead)
        self._queue.forget(request.attempt)
        return self._refuse(
            now_s, request, queued.engine, RefusalReason.TOO_LATE, waited_s, inf, ahead
        )

    def _refuse(
        self,
        now_s: float,
        request: GenerationRequest,
        engine: EngineConfig,
        reason: RefusalReason,
        waited_s: float,
        wait_s: float,
        ahead: float,
    ) -> Refusal:
        """Return a refusal, with a slot for its caller's return if room comes in its time.

        There is none for a stream that has begun: its caller is told no time.
        """
        latest_s = now_s + latest_return_s(request, waited_s)
        slot = None
        if not request.generated_tokens:
            # A caller that returns on time may fill engines even if it is late.
            times_s = self._forecast.place_times_s(now_s, request, engine) or ()
            slot = self.slots.assign(
                now_s,
                request,
                self._forecast.room_needed(request).area,
                times_s,
                ahead + bisect_left(times_s, now_s),
                latest_s,
                accounts=self._sharing.shares.account_count(request.rank),
            )
        return Refusal(
            request.attempt,
            request.rank,
            request.context_tokens,
            reason,
            (latest_s if slot is None else slot.due_s) - now_s,
            wait_s,
            request.max_wait_s - waited_s,
            ahead,
            slot,
        )

    def decide_alone(
        self,
        now_s: float,
        request: GenerationRequest,
        engine: EngineConfig,
        left_s: float,
        instances: int,
    ) -> Refusal | None:
        """Return the refusal of a request that one of several instances places alone.

        It counts on an even part of the places only; the others take theirs at the same time.
        """
        times_s = self._forecast.place_times_s(now_s, request, engine, fleet_wide=False)
        if times_s is None:
            return None
        index = bisect_left(times_s, now_s) + instances - 1
        wait_s = times_s[index] - now_s if index < len(times_s) else inf
        if wait_s <= left_s:
            return None
        waited_s = max(0.0, request.max_wait_s - left_s)
        retry_after_s = latest_return_s(request, waited_s)
        if wait_s < retry_after_s:
            retry_after_s = max(MIN_RETRY_S, wait_s)
        return Refusal(
            request.attempt,
            request.rank,
            request.context_tokens,
            RefusalReason.NO_ROOM,
            retry_after_s,
            wait_s,
            left_s,
            instances - 1.0,
            None,
        )

    def retry_s(self, now_s: float, request: GenerationRequest, engine: EngineConfig) -> float:
        """Return when the caller of a request that waits may return if it is not placed."""
        latest_s = latest_return_s(request, 0.0)
        times_s = self._forecast.place_times_s(now_s, request, engine) or ()
        area = self._forecast.room_needed(request).area
        queued = self._queue.find(request.attempt)
        area_ahead = 0.0 if queued is None else self._queue.area_ahead(now_s, queued)
        ahead = self._ahead(now_s, request, engine, area_ahead)
        wait_s = self._wait_s(now_s, request, area, times_s, ahead)
        return min(latest_s, max(MIN_RETRY_S, wait_s))

    def record_placed_queued(self, now_s: float, placed: Iterable[QueuedRequest]) -> None:
        """Record queued requests that got a place."""
        for queued in placed:
            if now_s > queued.waiting_since_s:
                self._change_admit_share(now_s, queued.request, ADMIT_RAISE_STEP)
            self.record_placed(now_s, queued.request)

    def record_placed(self, now_s: float, request: GenerationRequest) -> None:
        """Record that a request got a place."""
        self._forecast.record_placed(now_s, request)
        self._queue.forget(request.attempt)
        self.slots.record_placed(request)

    def forget(self, attempt: str) -> None:
        """Record that no caller waits for an attempt any more."""
        self.slots.forget(attempt)
        self._queue.forget(attempt)

    def take_outcomes(self) -> list[tuple[ReturnOutcome, ReturnSlot]]:
        """Return what became of return slots since the last call."""
        return self.slots.take_outcomes()

    def _has_room(self, now_s: float, request: GenerationRequest, engine: EngineConfig) -> bool:
        """Return whether a place is free for a newcomer, and for all that wait before it."""
        times_s = self._forecast.place_times_s(now_s, request, engine)
        area_ahead = self._queue.area_before_newcomers(now_s, request)
        ahead = self._ahead(now_s, request, engine, area_ahead)
        area = self._forecast.room_needed(request).area
        return times_s is None or self._wait_s(now_s, request, area, times_s, ahead) <= 0.0

    def _ahead(
        self, now_s: float, request: GenerationRequest, engine: EngineConfig, area_ahead: float
    ) -> float:
        """Return how many places go to others, or stay free for more urgent ones."""
        needed = self._forecast.room_needed(request)
        runners = self._runners.ready(request.service)
        reserved = self._sharing.reserved_tokens(now_s, request, engine, runners)
        return area_ahead / needed.area + reserved / needed.tokens

    def _wait_s(
        self,
        now_s: float,
        request: GenerationRequest,
        area: float,
        times_s: Sequence[float],
        ahead: float,
    ) -> float:
        # Requests of one rank that differ in size have forecasts of their own.
        kind = (request.service, request.rank, id(times_s))
        taken_from_s, left_s = self._left_by_kind.get(kind, (None, []))
        if taken_from_s is not times_s:
            if len(self._left_by_kind) >= MAX_KINDS:
                self._left_by_kind.clear()
            left_s = self.slots.places_left_s(request, area, times_s)
            self._left_by_kind[kind] = (times_s, left_s)
        index = int(ahead + bisect_left(left_s, now_s))
        return left_s[index] - now_s if index < len(left_s) else inf

    def _longest_forecast_s(self, now_s: float, request: GenerationRequest) -> float:
        """Return the longest forecast wait with which a newcomer is queued."""
        return self._admit_share(now_s, request) * self._forecast.room_needed(request).useful_wait_s

    def _admit_share(self, now_s: float, request: GenerationRequest) -> float:
        share, changed_s = self._admit_share_by_key.get(_admit_key(request), (ADMIT_SHARE, now_s))
        return ADMIT_SHARE - (ADMIT_SHARE - share) * exp((changed_s - now_s) / ADMIT_RECOVERY_S)

    def _change_admit_share(self, now_s: float, request: GenerationRequest, step: float) -> None:
        share = min(ADMIT_SHARE, max(MIN_ADMIT_SHARE, self._admit_share(now_s, request) + step))
        key, known = _admit_key(request), self._admit_share_by_key
        known.pop(key, None)
        if share < ADMIT_SHARE:
            known[key] = share, now_s
        while len(known) > MAX_ADMIT_SHARES:
            known.popitem(last=False)


def _admit_key(request: GenerationRequest) -> AdmitKey:
    return request.service, request.rank, request.account


def latest_return_s(request: GenerationRequest, waited_s: float) -> float:
    """Return the longest time after which a caller is told to return.

    `waited_s` is how long ago the request stated the time that its caller has left.
    """
    if request.time_left_s is None:
        return DEFAULT_RETURN_S
    return max(0.0, RETURN_SHARE * (request.time_left_s - waited_s))
