"""Continues a run on an engine that has a copy of its KV cache."""

from collections import deque
from dataclasses import dataclass, replace
from math import inf

import trio

from egretstack.events import Event, log
from egretstack.fleet import Runner
from egretstack.http1 import UpstreamConnection
from egretstack.ids import RunnerId
from egretstack.placing import Run, SendOrigin
from egretstack.relay._context import RelayContext, RelayTask
from egretstack.relay._engine_calls import ContinueOutcome, continue_on
from egretstack.relay._handover import Handover
from egretstack.relay._mover import SavedCopy
from egretstack.relay._patience import (
    ASK_AGAIN_S,
    CONTINUE_WAIT_SHARE,
    LATE_ANSWER_S,
    OVERLAP_S,
    place_wait_s,
    reader_patience_s,
)
from egretstack.relay._runner_probes import RunnerSign
from egretstack.traffic import ContinueFrom

POLL_INTERVAL_S = 0.1

_MAY_BE_ASKED_AGAIN = frozenset({ContinueOutcome.NOT_SENT, ContinueOutcome.UNANSWERED})


def places_of(copy: SavedCopy) -> deque[SavedCopy]:
    """Return where a run that is at work nowhere may continue, the likeliest place first."""
    places = deque([copy])
    if copy.kept_at is not None:
        places.append(replace(copy, runner=copy.kept_at, is_reserved=False, kept_at=None))
    return places


@dataclass(frozen=True, slots=True)
class ContinuedRun:
    """The connection on which a run continues."""

    connection: UpstreamConnection
    sent_s: float
    """When it was sent there."""
    left: RunnerId
    """The runner that had it before."""


class _PlaceWait:
    """The wait for one place of a stopped run, which uses up its copy once it reads the request."""

    def __init__(self, handover: Handover, runner: RunnerId, limit_s: float) -> None:
        self._handover = handover
        self._runner = runner
        self._limit_s = limit_s
        self._waited_s = 0.0
        self._answering_s = 0.0
        """Time for which it has answered questions, but not the request."""

    async def may_leave(self) -> bool:
        """Return whether the place may be left; called each `ASK_AGAIN_S`."""
        self._waited_s += ASK_AGAIN_S
        if await self._handover.ask(self._runner) is RunnerSign.ANSWERS:
            self._answering_s += ASK_AGAIN_S
        if self._waited_s < self._limit_s:
            return False
        return self._handover.is_lost(self._runner) or self._answering_s >= LATE_ANSWER_S


class CopyContinuation:
    """Continues one request's run from copies."""

    def __init__(self, context: RelayContext, task: RelayTask, handover: Handover) -> None:
        self._context = context
        self._task = task
        self._handover = handover

    def has_copy(self, copy: SavedCopy | None) -> bool:
        """Return whether the engine of a copy is ready, as far as is known."""
        return self._is_ready(copy) and not copy.is_doubtful

    def can_continue(self, copy: SavedCopy | None) -> bool:
        """Return whether the run can continue from its copy now: its engine may accept no more."""
        if not self._is_ready(copy):
            return False
        return self._may_continue_on(self._context.runners.by_id[copy.runner], copy)

    def _is_ready(self, copy: SavedCopy | None) -> bool:
        return copy is not None and self._context.runners.is_ready(copy.runner)

    async def ask_beside(
        self, run: Run, copy: SavedCopy, last_event_id: str
    ) -> ContinuedRun | ContinueOutcome:
        """Ask the engine of a copy to continue a run whose runner may be left.

        Unless the engine continues it soon, it is taken off it again, and the run goes on where it
        is. An engine that is paused is not asked: it would read the request later.
        """
        runner = await self._wait_for_engine(copy)
        if runner is None or await self._context.probes.ask(runner) is not RunnerSign.ANSWERS:
            return ContinueOutcome.NOT_SENT
        if not await self._handover.is_allowed():
            return ContinueOutcome.NOT_SENT
        return await self._continue_run(run, copy, runner, last_event_id, OVERLAP_S)

    async def ask_places(
        self, run: Run, places: deque[SavedCopy], last_event_id: str, since_s: float, limit_s: float
    ) -> ContinuedRun | None:
        """Continue a run that is at work nowhere, at one of the places that may have its memory.

        A place that refuses or has ended is removed. One that does not answer makes way for the
        next one after the longest silence of a sound runner, and the only one is waited for, up to
        `limit_s`. `since_s`: time since which the reader has waited.
        """
        until_s = trio.current_time() + limit_s
        while places and trio.current_time() < until_s:
            place = places.popleft()
            runner = await self._wait_for_engine(place)
            if runner is None:
                continue
            if not await self._handover.until_allowed(until_s - trio.current_time()):
                places.appendleft(place)
                break
            left_s = until_s - trio.current_time()
            wait_s = min(left_s, place_wait_s()) if places else left_s
            wait = None if wait_s == inf else _PlaceWait(self._handover, runner.id, wait_s)
            result = await self._continue_run(run, place, runner, last_event_id, wait_s, wait)
            if isinstance(result, ContinuedRun):
                return result
            if result in _MAY_BE_ASKED_AGAIN and self._has_patience(since_s):
                places.append(replace(place, is_reserved=False))
            if result is ContinueOutcome.NOT_SENT:
                await trio.sleep(ASK_AGAIN_S)
        return None

    def _has_patience(self, since_s: float) -> bool:
        return trio.current_time() - since_s < reader_patience_s(self._task.route)

    async def _wait_for_engine(self, copy: SavedCopy) -> Runner | None:
        """Wait until the engine of a copy accepts the run; None if it does not in time."""
        runner = self._context.runners.by_id.get(copy.runner)
        if runner is None or self._context.runners.is_gone(runner.id):
            return None
        if self._context.runners.is_evacuated(runner.id) or self._was_leaving_at_arrival(runner):
            # Nothing may be sent to that runner any more; the run may continue where it is.
            return None
        return runner if await self._wait_to_continue_on(runner, copy) else None

    async def _continue_run(
        self,
        run: Run,
        copy: SavedCopy,
        runner: Runner,
        last_event_id: str,
        limit_s: float,
        wait: _PlaceWait | None = None,
    ) -> ContinuedRun | ContinueOutcome:
        """Continue a run from its copy; unless that succeeds, the run is recorded where it was."""
        origin = ContinueFrom(copy.origin_address, copy.copy_id, last_event_id)
        previous = run.runner
        run.runner = runner.id
        run.backup = await self._context.placing.choose_backup(
            run, self._task.service.engine, previous
        )
        sent_s = trio.current_time()
        self._handover.record_sent(runner.id)
        result = await continue_on(
            self._context,
            self._task,
            run,
            runner,
            origin,
            is_reserved=copy.is_reserved,
            limit_s=limit_s,
            may_leave=None if wait is None else wait.may_leave,
        )
        self._record(runner.id, result.outcome, limit_s)
        log(
            Event.STREAM_CONTINUED if result.connection else Event.STREAM_NOT_CONTINUED,
            request=self._task.request.attempt_id,
            source=previous,
            runner=runner.id,
            after=origin.last_event_id,
            took_ms=round((trio.current_time() - sent_s) * 1000),
            outcome=result.outcome.value,
        )
        if result.connection is None:
            run.runner, run.backup = previous, None
            return result.outcome
        return ContinuedRun(result.connection, sent_s, previous)

    def _record(self, runner: RunnerId, outcome: ContinueOutcome, limit_s: float) -> None:
        if outcome is ContinueOutcome.CONTINUED:
            self._handover.record_sign(runner)
        elif outcome is ContinueOutcome.UNANSWERED:
            self._handover.record_silence(runner, limit_s)
            self._handover.record_left(runner)
        else:
            self._handover.record_ended(runner)

    def _was_leaving_at_arrival(self, runner: Runner) -> bool:
        """Return whether a runner was known to be leaving when the request arrived."""
        stopped_s = self._context.runners.stopped_since_s(runner.id)
        is_leaving = self._context.runners.is_leaving(runner.id)
        return is_leaving and stopped_s is not None and stopped_s < self._task.received_s

    def _may_continue_on(self, runner: Runner, copy: SavedCopy) -> bool:
        now_s = trio.current_time()
        if copy.is_reserved:
            return runner.id not in self._context.backoffs.in_backoff(now_s)
        return self._context.send_bounds.allows(now_s, runner, SendOrigin.CONTINUED)

    def _continue_wait_s(self) -> float:
        """Return a time for which both the reader and the copy safely wait."""
        patience_s = reader_patience_s(self._task.route)
        return CONTINUE_WAIT_SHARE * min(patience_s, self._task.service.engine.copy_ttl_s)

    async def _wait_to_continue_on(self, runner: Runner, copy: SavedCopy) -> bool:
        """Wait for a runner with a request limit; return whether the run may be sent to it."""
        with trio.move_on_after(self._continue_wait_s()):
            while not self._may_continue_on(runner, copy):
                await trio.sleep(POLL_INTERVAL_S)
        return self._may_continue_on(runner, copy)
