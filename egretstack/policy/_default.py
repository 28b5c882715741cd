"""The product's own policy: admission, order, routing and relief by forecast."""

import random
from dataclasses import replace

from egretstack.errors import ErrorKind
from egretstack.ids import ModelName, RequestId, ServiceName
from egretstack.lengths import LengthSummary
from egretstack.policy._base import Policy
from egretstack.policy._book import Book, RunnerBook, Sent
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
from egretstack.policy._parts import Feature
from egretstack.policy._routing import Router
from egretstack.policy._wait_queue import MAX_QUEUE, WaitQueue
from egretstack.policy._waits import MIN_RETRY_S, WaitForecast

READER_PRIORITY = 1001
"""Added to a stream's priority: above every contract value."""
RERUN_ALLOWED_S = 10.0
"""Time that work has to start again after it lost its runner."""
LATE_SHARE = 0.98
"""Part of the time allowed that a forecast wait may take."""
LOOKED_AT = 30
"""Waiting works of a group that are tried for room before the rest have to wait."""
RECONSIDER_S = 0.5

Group = tuple[ServiceName, ModelName]


class DefaultPolicy(Policy):
    """Sends work to a runner while the forecast peak of its memory fits; else it waits.

    What waits goes by value, with ageing and a floor for every account. What is forecast to
    miss its deadline is refused at once.
    """

    name = "default"

    def __init__(
        self,
        rng: random.Random,
        left_out: frozenset[Feature] = frozenset(),
        fitter: Fitter | None = None,
    ) -> None:
        self._rng = rng
        self._left_out = left_out
        self._book = Book()
        self._fitter = fitter or Fitter(rng, left_out)
        self._router = Router(rng, left_out)
        self._queue = WaitQueue(
            ageing=Feature.AGEING not in left_out, floor=Feature.ACCOUNT_FLOOR not in left_out
        )
        self._waits_by_group: dict[Group, WaitForecast] = {}
        self._reconsidered_s = 0.0
        self._take_by_kind = {
            Arrived: self._arrived,
            Progressed: self._progressed,
            Ended: self._ended,
            Evicted: self._evicted,
            RunnerSeen: self._runner_seen,
            RunnerLeft: self._runner_left,
            RunnerReported: self._runner_reported,
            CacheChanged: self._cache_changed,
            InstancesSeen: self._instances_seen,
            LengthsLearned: self._lengths_learned,
            Started: self._started,
            Tick: self._tick,
        }

    def handle(self, now_s: float, event: PolicyEvent) -> list[Action]:
        """Take note of an event and answer with actions, in the order to carry them out."""
        return self._take_by_kind[type(event)](event, now_s)

    def next_wake_s(self) -> float | None:
        """Give the time at which to send a Tick, or None."""
        return min((work.deadline_s for work in self._queue.works()), default=None)

    def length_summary(self) -> LengthSummary:
        """Give what other instances may learn from this one."""
        return self._fitter.lengths.summary()

    def _arrived(self, event: Arrived, now_s: float) -> list[Action]:
        work = event.request
        if work.excluded:
            # Work that lost its runner was accepted: its first start met the deadline.
            allowed_s = max(work.deadline_s, now_s + RERUN_ALLOWED_S)
            work = replace(work, deadline_s=allowed_s)
        if not self._book.candidates(work):
            return [Refuse(work.id, ErrorKind.NO_RUNNER, MIN_RETRY_S)]
        actions = self._make_place(now_s, work)
        if actions and actions[0].request_id == work.id:
            return actions
        self._queue.add(now_s, work)
        return actions + self._dispatch_ready(now_s) + self._refuse_late(now_s, work)

    def _progressed(self, event: Progressed, now_s: float) -> list[Action]:
        book = self._book.runner_of(event.request_id)
        if book is None:
            return []
        sent = book.sent[event.request_id]
        self._fitter.lengths.progressed(sent.key, sent.tokens, event.tokens)
        book.progressed(now_s, sent, event.tokens, event.delivered)
        return []

    def _ended(self, event: Ended, now_s: float) -> list[Action]:
        self._queue.remove(event.request_id, now_s)
        sent = self._remove(now_s, event.request_id)
        if sent is not None and event.reason is EndReason.FINISHED and event.tokens:
            self._fitter.lengths.finished(sent.key, sent.tokens, event.tokens)
        return self._dispatch_ready(now_s)

    def _evicted(self, event: Evicted, now_s: float) -> list[Action]:
        sent = self._remove(now_s, event.request_id)
        if sent is None:
            return []
        work = replace(sent.work, deadline_s=max(sent.work.deadline_s, now_s + RERUN_ALLOWED_S))
        self._queue.add(now_s, work)
        return self._dispatch_ready(now_s)

    def _runner_seen(self, event: RunnerSeen, now_s: float) -> list[Action]:
        self._book.seen(event.runner)
        return self._dispatch_ready(now_s)

    def _runner_left(self, event: RunnerLeft, now_s: float) -> list[Action]:
        self._book.left(event.runner_id)
        self._fitter.reported(event.runner_id)
        self._router.affinity.forget_runner(event.runner_id)
        return self._refuse_stranded(now_s)

    def _runner_reported(self, event: RunnerReported, now_s: float) -> list[Action]:
        book = self._book.by_id.get(event.runner_id)
        if book is None or not book.usable:
            return []
        book.reported(event)
        self._fitter.reported(event.runner_id)
        actions = self._relieve(now_s, book)
        return actions + self._dispatch_ready(now_s) + self._reconsider(now_s)

    def _cache_changed(self, event: CacheChanged, now_s: float) -> list[Action]:
        if event.stored:
            self._router.affinity.stored(event.prefix, event.runner_id)
        else:
            self._router.affinity.dropped(event.prefix, event.runner_id)
        return []

    def _instances_seen(self, event: InstancesSeen, now_s: float) -> list[Action]:
        self._fitter.instances = max(1, event.count)
        return []

    def _lengths_learned(self, event: LengthsLearned, now_s: float) -> list[Action]:
        self._fitter.lengths.learn(event.source, event.summary)
        return []

    def _started(self, event: Started, now_s: float) -> list[Action]:
        return []

    def _tick(self, event: Tick, now_s: float) -> list[Action]:
        actions = self._dispatch_ready(now_s)
        return actions + self._reconsider(now_s, force=True)

    def _remove(self, now_s: float, work_id: RequestId) -> Sent | None:
        book = self._book.runner_of(work_id)
        if book is None:
            return None
        self._fitter.left(now_s, book, book.sent[work_id])
        return self._book.remove(now_s, work_id)

    def _waits(self, work: SchedulingRequest) -> WaitForecast:
        group = (work.service, work.model)
        return self._waits_by_group.setdefault(group, WaitForecast())

    def _make_place(self, now_s: float, work: SchedulingRequest) -> list[Action]:
        """Keep the queue bounded: of the newcomer and the last in order, one is refused."""
        if len(self._queue) < MAX_QUEUE:
            return []
        last = self._queue.ordered(now_s)[-1]
        loser = last if last.value < work.value else work
        return [self._refuse(now_s, loser, ErrorKind.ENGINES_FULL, len(self._queue))]

    def _dispatch_ready(self, now_s: float) -> list[Action]:
        if not len(self._queue):
            return []
        actions: list[Action] = []
        tries_by_group: dict[Group, int] = {}
        for work in self._queue.ordered(now_s):
            group = (work.service, work.model)
            tries = tries_by_group.get(group, 0)
            if tries >= LOOKED_AT:
                continue
            dispatch = self._dispatch(now_s, work)
            if dispatch is None:
                tries_by_group[group] = tries + 1
            else:
                actions.append(dispatch)
        return actions

    def _dispatch(self, now_s: float, work: SchedulingRequest) -> Dispatch | None:
        demand = self._fitter.demand(work)
        tried = self._router.sample(work, self._book.candidates(work))
        found = [self._fitter.fit(now_s, book, work, demand) for book in tried]
        fits = [fit for fit in found if fit is not None]
        if not fits:
            return None
        book = self._router.choose(work, fits).book
        waited_s = self._queue.remove(work.id, now_s)
        self._queue.use.add(now_s, work.account, demand.mean[0] + demand.mean[1])
        self._fitter.sent(book, demand)
        self._router.sent(work, book.info.id)
        self._book.send(now_s, work, book.info.id, self._fitter.key(work))
        self._waits(work).sent(now_s, work.value, waited_s)
        return Dispatch(work.id, book.info.id, self._priority(work))

    def _priority(self, work: SchedulingRequest) -> int:
        """Give the engine's priority; it preempts the lowest first.

        A preempted stream stops in front of its reader, other work only ends later. So streams
        are kept before everything else, and by value among themselves.
        """
        if work.streamed and Feature.STREAM_PRIORITY not in self._left_out:
            return work.value + READER_PRIORITY
        return work.value

    def _refuse_late(self, now_s: float, work: SchedulingRequest) -> list[Action]:
        """Refuse a newcomer that has to wait longer than it may."""
        waiting = self._queue.ordered(now_s)
        self._note_waiting(now_s, waiting)
        if work not in waiting:
            return []
        return self._late(now_s, waiting, only=work)

    def _reconsider(self, now_s: float, *, force: bool = False) -> list[Action]:
        """Refuse waiting work whose forecast has come to pass its deadline."""
        if not force and now_s - self._reconsidered_s < RECONSIDER_S:
            return []
        self._reconsidered_s = now_s
        waiting = self._queue.ordered(now_s)
        self._note_waiting(now_s, waiting)
        return self._late(now_s, waiting)

    def _note_waiting(self, now_s: float, waiting: list[SchedulingRequest]) -> None:
        groups = {(work.service, work.model) for work in waiting}
        for group, waits in self._waits_by_group.items():
            waits.waiting(now_s, group in groups)

    def _late(
        self, now_s: float, waiting: list[SchedulingRequest], only: SchedulingRequest | None = None
    ) -> list[Action]:
        actions: list[Action] = []
        ahead_by_group: dict[Group, int] = {}
        for work in waiting:
            group = (work.service, work.model)
            ahead = ahead_by_group.get(group, 0)
            ahead_by_group[group] = ahead + 1
            if (only is None or work is only) and self._is_late(now_s, work, ahead):
                ahead_by_group[group] = ahead
                actions.append(self._refuse(now_s, work, ErrorKind.DEADLINE_TOO_SHORT, ahead))
        return actions

    def _is_late(self, now_s: float, work: SchedulingRequest, ahead: int) -> bool:
        if work.deadline_s <= now_s:
            return True
        if Feature.DEADLINE_FORECAST in self._left_out or work.excluded:
            return False
        allowed_s = work.deadline_s - now_s + self._queue.waited_s(work.id, now_s)
        return self._waits(work).wait_s(now_s, ahead, work.value) >= LATE_SHARE * allowed_s

    def _refuse(self, now_s: float, work: SchedulingRequest, kind: ErrorKind, ahead: int) -> Refuse:
        waited_s = self._queue.remove(work.id, now_s)
        waits = self._waits(work)
        if work.deadline_s <= now_s:
            waits.missed(now_s, work.value, waited_s)
        allowed_s = work.deadline_s - now_s + waited_s
        wait_s = waits.wait_s(now_s, ahead, work.value)
        return Refuse(work.id, kind, waits.retry_after_s(wait_s, allowed_s))

    def _refuse_stranded(self, now_s: float) -> list[Action]:
        """Refuse what no runner serves any more; it would wait in vain."""
        stranded = [work for work in self._queue.works() if not self._book.candidates(work)]
        for work in stranded:
            self._queue.remove(work.id, now_s)
        return [Refuse(work.id, ErrorKind.NO_RUNNER, MIN_RETRY_S) for work in stranded]

    def _relieve(self, now_s: float, book: RunnerBook) -> list[Action]:
        """Take undelivered work off a runner that is about to fill, if it fits elsewhere."""
        if Feature.EVICTION in self._left_out:
            return []
        if not self._fitter.near_overflow(now_s, book):
            return []
        # What nobody has seen anything of can start again unnoticed. A stream that is read
        # cannot: its reader would see it stop for good.
        movable = [
            sent
            for sent in book.sent.values()
            if not sent.leaving and not sent.delivered and not (sent.work.streamed and sent.tokens)
        ]
        for sent in sorted(movable, key=lambda one: (one.work.value, one.tokens)):
            if self._fits_elsewhere(now_s, book, sent.work):
                sent.leaving = True
                return [Evict(sent.work.id)]
        return []

    def _fits_elsewhere(self, now_s: float, book: RunnerBook, work: SchedulingRequest) -> bool:
        demand = self._fitter.demand(work)
        others = [one for one in self._book.candidates(work) if one is not book]
        return any(self._fitter.fit(now_s, one, work, demand) for one in others)
