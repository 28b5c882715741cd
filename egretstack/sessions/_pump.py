"""Follows a session's generation on its engine until it ends, through failures."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace

import trio

from egretstack.delivery import Failure, Recovery, RecoveryBudget, SessionRef, Step, Verdict
from egretstack.errors import EgretError, ErrorKind, NotRunProof
from egretstack.events import Event, log
from egretstack.ids import InstanceId, SessionId
from egretstack.policy import EndReason, Work
from egretstack.sessions._outcome import FinishedAnswer
from egretstack.sessions._placing import Placement, Placer
from egretstack.sessions._session import Session
from egretstack.upstreams import (
    EngineBroken,
    EngineError,
    EngineEvent,
    EngineEventKind,
    EngineRefused,
    EngineSilent,
    EngineUnreachable,
    GenerationGone,
)

REPORT_EVERY_TOKENS = 32
CANCEL_TIMEOUT_S = 5.0
_FAILURE_BY_ERROR: dict[type[EngineError], Failure] = {
    EngineUnreachable: Failure.UNREACHABLE,
    EngineRefused: Failure.REFUSED,
    EngineBroken: Failure.BROKEN,
    EngineSilent: Failure.SILENT,
    GenerationGone: Failure.GONE,
}


class _Failed(Exception):
    """An attempt failed."""

    def __init__(self, failure: Failure, detail: str, retry_after_s: float | None = None) -> None:
        super().__init__(detail)
        self.failure = failure
        self.retry_after_s = retry_after_s


@dataclass(frozen=True)
class PumpLinks:
    """What a pump uses: the placer, how to make session ids, and this instance's name."""

    placer: Placer
    seal: Callable[[SessionRef], SessionId]
    instance: InstanceId


class Pump:
    """Runs one session to its outcome; `run` sets the outcome always."""

    def __init__(
        self,
        session: Session,
        work: Work,
        links: PumpLinks,
        budget: RecoveryBudget,
        placement: Placement | None = None,
    ) -> None:
        self._session = session
        self._work = work
        self._links = links
        self._recovery = Recovery(budget)
        self._placement = placement
        self._scope = trio.CancelScope()
        self._cancelled = False

    def cancel(self) -> None:
        """End the session; its engine is told to stop."""
        self._cancelled = True
        self._scope.cancel()

    async def run(self) -> None:
        """Follow the generation until the outcome is known, and set it on the session."""
        reason = EndReason.FINISHED
        with self._scope:
            reason = await self._followed()
        if self._cancelled:
            reason = EndReason.CANCELLED
            self._session.end(EgretError(ErrorKind.GENERATION_CANCELLED, "cancelled by its caller"))
        self._links.placer.ended(self._work, self._session.tokens, reason)
        # A process that is stopped from outside comes no further than the scope above: its
        # generations go on at their engines, so that another entry can pick them up.
        if reason is not EndReason.FINISHED:
            await self._cancel_at_engine()

    async def _followed(self) -> EndReason:
        try:
            await self._follow()
        except EgretError as error:
            self._session.end(error)
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
            except _Failed as failed:
                await self._recover(failed)

    async def _attempt(self) -> bool:
        """Follow one stream to its end; False when the policy took the work away."""
        placement = await self._placed()
        with placement.new_scope() as scope:
            async with self._stream(placement) as events:
                async for event in events:
                    if await self._take_in(placement, event):
                        return True
        if scope.cancelled_caught:
            await self._cancel_at_engine()
            self._session.restart()
            self._placement = await self._links.placer.place_again(placement)
            return False
        raise _Failed(Failure.BROKEN, "the stream ended early")

    async def _placed(self) -> Placement:
        if self._placement is None:
            self._placement = await self._links.placer.place(self._work, self._may_evict)
        return self._placement

    def _may_evict(self) -> bool:
        return self._session.taken < 0 and self._session.outcome is None

    @asynccontextmanager
    async def _stream(self, placement: Placement) -> AsyncIterator[AsyncIterator[EngineEvent]]:
        cursor = self._session.cursor
        engine = placement.engine
        if cursor.generation is None:
            request = replace(self._session.request.generation, priority=placement.priority)
            opened = engine.generate(request)
        else:
            opened = engine.resume(cursor.generation, cursor.last)
            log(Event.SESSION_RESUMED, work=self._work.id, after=cursor.last)
        try:
            async with opened as events:
                yield events
        except EngineError as error:
            failure = _FAILURE_BY_ERROR.get(type(error), Failure.FAILED)
            retry_after_s = getattr(error, "retry_after_s", None)
            raise _Failed(failure, str(error), retry_after_s) from error

    async def _take_in(self, placement: Placement, event: EngineEvent) -> bool:
        """Judge an event and pass it on; True at the last one of a finished generation."""
        cursor = self._session.cursor
        was_bound = cursor.generation is not None
        verdict = cursor.offer(event.generation, event.sequence)
        if verdict is Verdict.DROP:
            return False
        if verdict is not Verdict.DELIVER:
            failure = Failure.GAP if verdict is Verdict.GAP else Failure.FOREIGN
            raise _Failed(failure, f"event {event.sequence} after {cursor.last}")
        if not was_bound:
            self._bind(placement)
        self._recovery.progressed()
        return await self._pass_on(event)

    async def _pass_on(self, event: EngineEvent) -> bool:
        session = self._session
        if event.kind is EngineEventKind.FAILED:
            raise _Failed(Failure.FAILED, "the engine failed the generation")
        if event.kind is EngineEventKind.CANCELLED:
            raise EgretError(
                ErrorKind.GENERATION_CANCELLED,
                f"cancelled after {session.delivered} tokens",
                delivered=session.delivered,
            )
        if event.kind is EngineEventKind.COMPLETED:
            text = "" if session.request.streamed else session.text()
            session.end(FinishedAnswer(text, max(0, event.sequence - 1)))
            return True
        await session.add(event)
        if event.sequence % REPORT_EVERY_TOKENS == 1:
            self._links.placer.progressed(self._work, session.tokens, session.delivered)
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
        self._links.placer.started(self._work)

    async def _recover(self, failed: _Failed) -> None:
        session = self._session
        bound = session.cursor.generation is not None
        step = self._recovery.decide(failed.failure, bound=bound, delivered=session.taken + 1)
        if step is Step.LOST:
            log(Event.SESSION_LOST, work=self._work.id, cause=str(failed))
            raise EgretError(
                ErrorKind.GENERATION_LOST,
                f"the engine lost the generation after {session.delivered} tokens",
                delivered=session.delivered,
            )
        if step is Step.REFUSE:
            proof = NotRunProof("no engine brought the generation to an end; nothing was delivered")
            raise EgretError(
                (
                    ErrorKind.ENGINES_FULL
                    if failed.failure is Failure.REFUSED
                    else ErrorKind.NO_RUNNER
                ),
                str(failed),
                retry_after_s=failed.retry_after_s,
                proof=proof,
            )
        if step is Step.RERUN:
            await self._rerun(failed)
        await trio.sleep(self._recovery.delay_s())

    async def _rerun(self, failed: _Failed) -> None:
        log(Event.SESSION_RERUN, work=self._work.id, cause=str(failed))
        await self._cancel_at_engine()
        placement = self._placement
        self._links.placer.ended(self._work, self._session.tokens, EndReason.FAILED)
        self._session.restart()
        self._placement = None
        if placement is not None:
            excluded = self._work.excluded | {placement.runner_id}
            self._work = replace(self._work, excluded=excluded)

    async def _cancel_at_engine(self) -> None:
        generation = self._session.cursor.generation
        if self._placement is None or generation is None:
            return
        with trio.move_on_after(CANCEL_TIMEOUT_S, shield=True):
            try:
                await self._placement.engine.cancel(generation)
            except EngineError:
                # The engine is gone or out of reach; it ends the generation by its own limits.
                return
