"""Follows a session's generation on its engine until it ends, through failures."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from math import inf

import trio

from egretstack import clock
from egretstack.delivery import (
    EngineWord,
    Failure,
    Recovery,
    RecoveryBudget,
    SessionRef,
    Standing,
    Step,
    Verdict,
)
from egretstack.errors import EgretError, ErrorKind
from egretstack.events import Event, log
from egretstack.ids import GenerationId, InstanceId, SessionId
from egretstack.policy import EndReason, SchedulingRequest
from egretstack.sessions._engine_query import StreamFailed, ask_engine
from egretstack.sessions._errors import cancelled, generation_lost, given_up, placement_refused
from egretstack.sessions._outcome import FinishedAnswer
from egretstack.sessions._placer import Placement, Placer
from egretstack.sessions._session import ReaderStalled, Session
from egretstack.upstreams import EngineClient, EngineError, EngineEvent, EngineEventKind

REPORT_EVERY_TOKENS = 32
CANCEL_TIMEOUT_S = 5.0
PROOF_TIMEOUT_S = 5.0
"""Longest wait for the event at a caller's place, which the engine had before."""
MAX_EXTRA_EVENTS = 64
"""Events allowed above the number of tokens that were asked for."""
Spawn = Callable[..., None]
"""Starts an asynchronous function with its arguments, apart from the caller of it."""


@dataclass(frozen=True)
class PumpDependencies:
    """What a pump uses: the placer, how to make session ids, this instance's name, and tasks."""

    placer: Placer
    seal: Callable[[SessionRef], SessionId]
    instance: InstanceId
    spawn: Spawn


class Pump:
    """Runs one session to its outcome; `run` sets the outcome, but for a released session.

    A session that was picked up from another entry comes with its placement. Its prompt is not
    known here, so it is never run again.
    """

    def __init__(
        self,
        session: Session,
        work: SchedulingRequest,
        links: PumpDependencies,
        budget: RecoveryBudget,
        placement: Placement | None = None,
    ) -> None:
        self._session = session
        self._work = work
        self._links = links
        self._recovery = Recovery(budget, clock.now(), work.deadline_s)
        self._placement = placement
        self._can_rerun = placement is None
        self._unproven = placement is not None and session.cursor.last >= 0
        self._unproven_failures = 0
        self._scope = trio.CancelScope()
        self._cancelled = False
        self._released = False
        session.is_withheld = self._is_withheld

    def cancel(self) -> None:
        """End the session; its engine is told to stop."""
        self._cancelled = True
        self._scope.cancel()

    def release(self) -> None:
        """Stop following the generation and leave it to its engine: another entry serves it."""
        self._released = True
        self._scope.cancel()

    async def run(self) -> None:
        """Follow the generation until the outcome is known, and set it on the session."""
        reason = EndReason.FINISHED
        with self._scope:
            reason = await self._followed()
        if self._released:
            # Readers end without an end event, and the engine is not told to stop: both would
            # cut the caller's newer connection off from a generation that goes on.
            self._session.supersede()
            self._links.placer.report_ended(self._work, self._session.tokens, EndReason.CANCELLED)
            return
        if self._cancelled:
            reason = EndReason.CANCELLED
            self._session.end(cancelled(self._session))
        self._links.placer.report_ended(self._work, self._session.tokens, reason)
        # A process that is stopped from outside comes no further than the scope above: its
        # generations go on at their engines, so that another entry can pick them up.
        if reason is not EndReason.FINISHED:
            self._cancel_at_engine()

    async def _followed(self) -> EndReason:
        try:
            await self._follow()
        except EgretError as error:
            self._session.end(error)
        except ReaderStalled:
            log(Event.SESSION_ABANDONED, work=self._work.id)
            self._session.end(cancelled(self._session))
        except Exception as error:
            log(Event.REQUEST_BUG, error=repr(error), work=self._work.id)
            self._session.end(EgretError(ErrorKind.INTERNAL, "a bug; see the log"))
        else:
            return EndReason.FINISHED
        return EndReason.FAILED

    async def _follow(self) -> None:
        while True:
            try:
                if await self._attempt():
                    return
            except StreamFailed as failed:
                await self._recover(failed)

    async def _attempt(self) -> bool:
        """Follow one stream to its end; False when the policy took the work away."""
        placement = await self._placed()
        with placement.new_scope() as scope:
            if self._unproven:
                scope.deadline = clock.now() + PROOF_TIMEOUT_S
            async with self._stream(placement) as events:
                async for event in events:
                    scope.deadline = inf
                    if await self._take_in(placement, event):
                        return True
        if self._session.outcome is not None:
            # The last event came in the same instant as the eviction: the answer is whole.
            return True
        if scope.cancelled_caught and not placement.evicted:
            raise StreamFailed(Failure.SILENT, "no event at the caller's place")
        if scope.cancelled_caught:
            await self._place_again(placement)
            return False
        raise StreamFailed(Failure.BROKEN, "the stream ended early")

    async def _placed(self) -> Placement:
        if self._placement is None:
            try:
                self._placement = await self._links.placer.place(self._work, self._may_evict)
            except EgretError as error:
                raise placement_refused(error, self._recovery) from error
        return self._placement

    async def _place_again(self, placement: Placement) -> None:
        self._recovery.may_have_run = True
        self._cancel_at_engine()
        self._session.restart()
        try:
            self._placement = await self._links.placer.place_again(placement)
        except EgretError as error:
            raise placement_refused(error, self._recovery) from error

    def _may_evict(self) -> bool:
        return self._session.last_read < 0 and self._session.outcome is None

    def _is_withheld(self) -> bool:
        # Between the eviction and the task that acts on it a reader could take an event, and
        # the caller would then hold a part of a generation that is run again.
        evicted = self._placement is not None and self._placement.evicted
        return evicted and self._session.outcome is None

    @asynccontextmanager
    async def _stream(self, placement: Placement) -> AsyncIterator[AsyncIterator[EngineEvent]]:
        cursor = self._session.cursor
        engine = placement.engine
        if cursor.generation is None:
            request = replace(self._session.request.generation, priority=placement.priority)
            opened = engine.generate(request)
        else:
            # One event back shows that the caller's place exists; the event itself is dropped.
            after = cursor.last - 1 if self._unproven else cursor.last
            opened = engine.resume(cursor.generation, after)
            log(Event.SESSION_RESUMED, work=self._work.id, after=cursor.last)
        try:
            async with opened as events:
                yield events
        except EngineError as error:
            raise StreamFailed.of(error) from error

    async def _take_in(self, placement: Placement, event: EngineEvent) -> bool:
        """Judge an event and pass it on; True at the last one of a finished generation."""
        cursor = self._session.cursor
        verdict = cursor.offer(event.generation, event.sequence)
        if verdict is Verdict.DROP:
            self._unproven = False
            if event.kind in (EngineEventKind.TOKEN, EngineEventKind.CREATED):
                return False
            return await self._pass_on(event)
        if verdict is not Verdict.DELIVER:
            failure = Failure.GAP if verdict is Verdict.GAP else Failure.FOREIGN
            raise StreamFailed(failure, f"event {event.sequence} after {cursor.last}")
        if self._session.id is None:
            self._bind(placement)
        self._recovery.progressed(clock.now())
        return await self._pass_on(event)

    async def _pass_on(self, event: EngineEvent) -> bool:
        session = self._session
        if event.kind is EngineEventKind.FAILED:
            raise StreamFailed(Failure.FAILED, "the engine failed the generation")
        if event.kind is EngineEventKind.CANCELLED:
            raise cancelled(session)
        if event.kind is EngineEventKind.COMPLETED:
            text = "" if session.request.streamed else session.text()
            session.end(FinishedAnswer(text, max(0, event.sequence - 1)))
            return True
        if event.sequence > session.request.generation.max_output_tokens + MAX_EXTRA_EVENTS:
            raise StreamFailed(Failure.FAILED, "the engine sent more than was asked for")
        await session.add(event)
        if event.sequence % REPORT_EVERY_TOKENS == 1:
            self._links.placer.report_progress(self._work, session.tokens, session.delivered)
        return False

    def _bind(self, placement: Placement) -> None:
        session = self._session
        ref = SessionRef(
            session.request.account,
            self._links.instance,
            session.request.service,
            placement.runner_id,
            session.cursor.generation,
        )
        session.id = self._links.seal(ref)
        session.runner = placement.runner_id
        self._links.placer.report_started(self._work)

    async def _recover(self, failed: StreamFailed) -> None:
        step = self._recovery.decide(clock.now(), failed.failure, self._standing())
        if step is Step.ASK or self._unproven:
            word = await ask_engine(self._placement.engine, self._session.cursor.generation)
            log(Event.SESSION_SILENT, work=self._work.id, answer=word.value)
            self._check_place(word)
            step = self._recovery.told(clock.now(), word, self._standing())
        if step is Step.LOST:
            log(Event.SESSION_LOST, work=self._work.id, cause=str(failed))
            raise generation_lost(self._session)
        if step is Step.REFUSE:
            raise given_up(self._recovery, str(failed), failed.retry_after_s)
        if step is Step.RERUN:
            self._rerun(failed)
        await trio.sleep(self._recovery.delay_s())

    def _standing(self) -> Standing:
        bound = self._session.cursor.generation is not None
        return Standing(bound, self._session.last_read + 1, self._can_rerun)

    def _check_place(self, word: EngineWord) -> None:
        """Refuse a place in the generation that the engine has not come to."""
        if not self._unproven or word is not EngineWord.HAS_IT:
            return
        self._unproven_failures += 1
        if self._unproven_failures > 1:
            last = self._session.cursor.last
            raise EgretError(ErrorKind.BAD_REQUEST, f"the generation has no event {last}")

    def _rerun(self, failed: StreamFailed) -> None:
        log(Event.SESSION_RERUN, work=self._work.id, cause=str(failed))
        self._cancel_at_engine()
        placement = self._placement
        self._links.placer.report_ended(self._work, self._session.tokens, EndReason.FAILED)
        self._session.restart()
        self._placement = None
        if placement is not None:
            excluded = self._work.excluded | {placement.runner_id}
            self._work = replace(self._work, excluded=excluded)

    def _cancel_at_engine(self) -> None:
        # Apart from the session: an engine that does not answer would hold the answer back.
        generation = self._session.cursor.generation
        if self._placement is not None and generation is not None:
            self._links.spawn(_cancel, self._placement.engine, generation)


async def _cancel(engine: EngineClient, generation: GenerationId) -> None:
    with trio.move_on_after(CANCEL_TIMEOUT_S, shield=True):
        try:
            await engine.cancel(generation)
        except EngineError:
            # The engine is gone or out of reach; it ends the generation by its own limits.
            return
