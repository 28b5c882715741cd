"""Reads a session's generation from its engine until it ends, and recovers from failures."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from math import inf

import trio

from egretstack import clock
from egretstack.delivery import (
    EngineReply,
    Failure,
    Recovery,
    RecoveryBudget,
    SessionProgress,
    SessionRef,
    Step,
    Verdict,
)
from egretstack.errors import EgretError, ErrorKind
from egretstack.events import Event, log
from egretstack.ids import GenerationId, InstanceId, SessionId
from egretstack.policy import EndReason, SchedulingRequest
from egretstack.sessions._engine_query import StreamFailed, query_engine
from egretstack.sessions._errors import (
    cancelled,
    generation_lost,
    placement_refused,
    recovery_failed,
)
from egretstack.sessions._outcome import FinishedAnswer
from egretstack.sessions._placer import Placement, Placer
from egretstack.sessions._session import ReaderStalled, Session
from egretstack.upstreams import EngineClient, EngineError, EngineEvent, EngineEventKind

REPORT_EVERY_TOKENS = 32
CANCEL_TIMEOUT_S = 5.0
PROOF_TIMEOUT_S = 5.0
"""Longest wait for the caller's last event, which the engine must already have sent before."""
MAX_EXTRA_EVENTS = 64
"""Number of events allowed beyond the number of requested tokens."""
Spawn = Callable[..., None]
"""Starts an async function with its arguments in a background task."""


@dataclass(frozen=True)
class PumpDependencies:
    """Dependencies of a pump: placer, session id sealing, this instance's id, task spawning."""

    placer: Placer
    seal: Callable[[SessionRef], SessionId]
    instance: InstanceId
    spawn: Spawn


class Pump:
    """Runs one session to its outcome; `run` sets the outcome unless the session is released.

    A session that was taken over from another entry is created with its placement. Its prompt is
    not known here, so its generation is never restarted.
    """

    def __init__(
        self,
        session: Session,
        request: SchedulingRequest,
        dependencies: PumpDependencies,
        budget: RecoveryBudget,
        placement: Placement | None = None,
    ) -> None:
        self._session = session
        self._request = request
        self._dependencies = dependencies
        self._recovery = Recovery(budget, clock.now(), request.deadline_s)
        self._placement = placement
        self._can_restart = placement is None
        self._position_unproven = placement is not None and session.cursor.last >= 0
        self._position_failures = 0
        self._scope = trio.CancelScope()
        self._cancelled = False
        self._released = False
        session.is_withheld = self._is_withheld

    def cancel(self) -> None:
        """Cancel the session and its generation on the engine."""
        self._cancelled = True
        self._scope.cancel()

    def release(self) -> None:
        """Stop reading the generation without cancelling it: another entry serves the session."""
        self._released = True
        self._scope.cancel()

    async def run(self) -> None:
        """Read the generation until its outcome is known, and set it on the session."""
        reason = EndReason.FINISHED
        with self._scope:
            reason = await self._run_to_end()
        if self._released:
            # Readers end without an end event and the generation is not cancelled: either would
            # end the stream on the caller's newer connection.
            self._session.supersede()
            self._dependencies.placer.report_ended(
                self._request, self._session.tokens, EndReason.CANCELLED
            )
            return
        if self._cancelled:
            reason = EndReason.CANCELLED
            self._session.end(cancelled(self._session))
        self._dependencies.placer.report_ended(self._request, self._session.tokens, reason)
        # If the process is cancelled from outside, this is not reached: its generations continue
        # on their engines, so that another entry can take the sessions over.
        if reason is not EndReason.FINISHED:
            self._cancel_at_engine()

    async def _run_to_end(self) -> EndReason:
        try:
            await self._stream_until_done()
        except EgretError as error:
            self._session.end(error)
        except ReaderStalled:
            log(Event.SESSION_ABANDONED, work=self._request.id)
            self._session.end(cancelled(self._session))
        except Exception as error:
            log(Event.REQUEST_BUG, error=repr(error), work=self._request.id)
            self._session.end(EgretError(ErrorKind.INTERNAL, "a bug; see the log"))
        else:
            return EndReason.FINISHED
        return EndReason.FAILED

    async def _stream_until_done(self) -> None:
        while True:
            try:
                if await self._attempt():
                    return
            except StreamFailed as failed:
                await self._recover(failed)

    async def _attempt(self) -> bool:
        """Read one stream to its end; return False if the policy evicted the request."""
        placement = await self._ensure_placed()
        with placement.new_scope() as scope:
            if self._position_unproven:
                scope.deadline = clock.now() + PROOF_TIMEOUT_S
            async with self._open_stream(placement) as events:
                async for event in events:
                    scope.deadline = inf
                    if await self._handle_event(placement, event):
                        return True
        if self._session.outcome is not None:
            # The last event arrived together with the eviction: the answer is complete.
            return True
        if scope.cancelled_caught and not placement.evicted:
            raise StreamFailed(Failure.UNRESPONSIVE, "no event at the caller's place")
        if scope.cancelled_caught:
            await self._place_again(placement)
            return False
        raise StreamFailed(Failure.BROKEN, "the stream ended early")

    async def _ensure_placed(self) -> Placement:
        if self._placement is None:
            try:
                self._placement = await self._dependencies.placer.place(
                    self._request, self._may_evict
                )
            except EgretError as error:
                raise placement_refused(error, self._recovery) from error
        return self._placement

    async def _place_again(self, placement: Placement) -> None:
        self._recovery.may_have_run = True
        self._cancel_at_engine()
        self._session.restart()
        try:
            self._placement = await self._dependencies.placer.place_again(placement)
        except EgretError as error:
            raise placement_refused(error, self._recovery) from error

    def _may_evict(self) -> bool:
        return self._session.last_read < 0 and self._session.outcome is None

    def _is_withheld(self) -> bool:
        # Between the eviction and the restart a reader could read an event; the caller would then
        # have a part of a generation that is about to be restarted from the beginning.
        evicted = self._placement is not None and self._placement.evicted
        return evicted and self._session.outcome is None

    @asynccontextmanager
    async def _open_stream(self, placement: Placement) -> AsyncIterator[AsyncIterator[EngineEvent]]:
        cursor = self._session.cursor
        engine = placement.engine
        if cursor.generation is None:
            request = replace(self._session.request.generation, priority=placement.priority)
            opened = engine.generate(request)
        else:
            # Resuming one event earlier proves that the caller's position exists; that event itself
            # is dropped.
            after = cursor.last - 1 if self._position_unproven else cursor.last
            opened = engine.resume(cursor.generation, after)
            log(Event.SESSION_RESUMED, work=self._request.id, after=cursor.last)
        try:
            async with opened as events:
                yield events
        except EngineError as error:
            raise StreamFailed.of(error) from error

    async def _handle_event(self, placement: Placement, event: EngineEvent) -> bool:
        """Check an event and deliver it; return True for the last one of a finished generation."""
        cursor = self._session.cursor
        verdict = cursor.offer(event.generation, event.sequence)
        if verdict is Verdict.DROP:
            self._position_unproven = False
            if event.kind in (EngineEventKind.TOKEN, EngineEventKind.CREATED):
                return False
            return await self._deliver(event)
        if verdict is not Verdict.DELIVER:
            failure = Failure.GAP if verdict is Verdict.GAP else Failure.OTHER_GENERATION
            raise StreamFailed(failure, f"event {event.sequence} after {cursor.last}")
        if self._session.id is None:
            self._bind_to_engine(placement)
        self._recovery.record_event(clock.now())
        return await self._deliver(event)

    async def _deliver(self, event: EngineEvent) -> bool:
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
            self._dependencies.placer.report_progress(
                self._request, session.tokens, session.delivered
            )
        return False

    def _bind_to_engine(self, placement: Placement) -> None:
        session = self._session
        ref = SessionRef(
            session.request.account,
            self._dependencies.instance,
            session.request.service,
            placement.runner_id,
            session.cursor.generation,
        )
        session.id = self._dependencies.seal(ref)
        session.runner = placement.runner_id
        self._dependencies.placer.report_started(self._request)

    async def _recover(self, failed: StreamFailed) -> None:
        step = self._recovery.decide(clock.now(), failed.failure, self._state())
        if step is Step.QUERY or self._position_unproven:
            answer = await query_engine(self._placement.engine, self._session.cursor.generation)
            log(Event.SESSION_SILENT, work=self._request.id, answer=answer.value)
            self._check_position(answer)
            step = self._recovery.on_engine_reply(clock.now(), answer, self._state())
        if step is Step.LOST:
            log(Event.SESSION_LOST, work=self._request.id, cause=str(failed))
            raise generation_lost(self._session)
        if step is Step.REFUSE:
            raise recovery_failed(self._recovery, str(failed), failed.retry_after_s)
        if step is Step.RERUN:
            self._restart(failed)
        await trio.sleep(self._recovery.delay_s())

    def _state(self) -> SessionProgress:
        bound = self._session.cursor.generation is not None
        return SessionProgress(bound, self._session.last_read + 1, self._can_restart)

    def _check_position(self, answer: EngineReply) -> None:
        """Reject a position in the generation that the engine has not reached."""
        if not self._position_unproven or answer is not EngineReply.HAS_IT:
            return
        self._position_failures += 1
        if self._position_failures > 1:
            last = self._session.cursor.last
            raise EgretError(ErrorKind.BAD_REQUEST, f"the generation has no event {last}")

    def _restart(self, failed: StreamFailed) -> None:
        log(Event.SESSION_RERUN, work=self._request.id, cause=str(failed))
        self._cancel_at_engine()
        placement = self._placement
        self._dependencies.placer.report_ended(
            self._request, self._session.tokens, EndReason.FAILED
        )
        self._session.restart()
        self._placement = None
        if placement is not None:
            excluded = self._request.excluded | {placement.runner_id}
            self._request = replace(self._request, excluded=excluded)

    def _cancel_at_engine(self) -> None:
        # In the background: an engine that does not answer would delay the caller's answer.
        generation = self._session.cursor.generation
        if self._placement is not None and generation is not None:
            self._dependencies.spawn(_cancel, self._placement.engine, generation)


async def _cancel(engine: EngineClient, generation: GenerationId) -> None:
    with trio.move_on_after(CANCEL_TIMEOUT_S, shield=True):
        try:
            await engine.cancel(generation)
        except EngineError:
            # The engine has ended or is unreachable; its own limits end the generation.
            return
