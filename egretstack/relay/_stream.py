"""Relays a stream of events and continues it on another engine if its runner leaves or dies.

Each event reaches the client once and in order. Another engine continues from a copy of the run's
KV cache, after the last event that the client has; on resumable routes, a new run may do so too.
"""

from collections import deque
from contextlib import ExitStack
from dataclasses import replace
from enum import Enum
from math import inf

import trio

from egretstack.events import Event, log
from egretstack.http1 import (
    AnswerMemoryFull,
    AnswerReservation,
    AnswerTooLarge,
    ResponseHead,
    UpstreamBroken,
    UpstreamConnection,
    read_whole_body,
)
from egretstack.ids import RunnerId
from egretstack.kernel import WorkKind
from egretstack.placing import Run
from egretstack.platform import client_head, runner_answer
from egretstack.relay._client_stream import ClientStream
from egretstack.relay._context import RelayContext, RelayTask
from egretstack.relay._continuing import ContinuedRun, CopyContinuation, places_of
from egretstack.relay._cursor import EventCursor, EventGap
from egretstack.relay._engine_calls import ContinueOutcome
from egretstack.relay._events import EventSplitter, EventTooLarge, StreamEvent
from egretstack.relay._handover import Handover
from egretstack.relay._mover import Mover, SavedCopy
from egretstack.relay._opening import EngineOpening, invalid_answer
from egretstack.relay._patience import (
    ASK_AGAIN_S,
    GO_ON_S,
    SWITCH_DELAY_S,
    UNRESPONSIVE_S,
)
from egretstack.relay._plain import MAX_RESPONSE_BYTES, BufferedResponse, implies_not_run
from egretstack.relay._resuming import StreamResumer
from egretstack.relay._send_limits import SendLimits
from egretstack.relay._source import StreamSource
from egretstack.relay._stream_limits import StreamProgress
from egretstack.relay._timing import StreamTiming
from egretstack.relay._waiting import RunningTime
from egretstack.relay._writing_proof import WritingProof

POLL_INTERVAL_S = 0.1
"""How often a stream without events checks whether its runner is leaving."""
MIN_COPY_TOKENS = 120
"""Expected remaining output, about one second, from which a run that lost its copy is copied
again."""


class _ReadEnd(Enum):
    """Why reading from a runner stopped."""

    WHOLE = "whole"
    BROKEN = "broken"
    SILENT = "silent"
    LEAVING = "leaving"


class StreamRelay:
    """Relays one request for a stream."""

    def __init__(
        self,
        context: RelayContext,
        task: RelayTask,
        client: ClientStream,
        memory: AnswerReservation,
    ) -> None:
        self._context = context
        self._task = task
        self._client = client
        self._memory = memory
        self._run: Run | None = None
        self._source: StreamSource | None = None
        self._silence = RunningTime()
        """Time without an event of the current runner."""
        self._has_reported_silence = False
        """Whether that silence was reported as a broken run, so that the runner is probed."""
        self._ask_again_s = 0.0
        """Until when no other place is asked for the run after one did not take it."""
        self._splitter = EventSplitter()
        steps = context.event_steps
        self._cursor = EventCursor(task.last_event_id, steps.known(task.service.name))
        self._timing = StreamTiming(task.received_s)
        self._copy: SavedCopy | None = None
        """Copy from which the run can continue if its runner leaves or dies."""
        self._backup: SavedCopy | None = None
        """Copy that the runner keeps up to date at its backup engine, beside a later one."""
        limits = SendLimits(task.route, task.service.name, task.deadline_s, context.budget)
        self._handover = Handover(context, task.request.attempt_id)
        self._opening = EngineOpening(context, task, self._timing, limits, self._handover)
        self._resumer = StreamResumer(
            context, task, self._opening, limits, self._timing, self._cursor, self._handover
        )
        self._continuation = CopyContinuation(context, task, self._handover)
        self._resumed_tokens = self._opening.resumed_tokens()
        self._awaits_first_event = True
        """Whether the current runner, to which a new run was sent, has sent nothing yet."""
        self._sent_s = 0.0
        """When the run was sent to its current runner."""
        self._proof = WritingProof(context, task, self._opening)
        self._ended = False
        """Whether the run has ended, with or without success."""
        self._progress: StreamProgress | None = None
        self._leaving_since_s: float | None = None
        self._mover: Mover | None = None
        self._may_move = True
        """Whether the run may be copied; no longer after that failed unforeseen."""
        self._nursery: trio.Nursery | None = None

    async def serve(self) -> BufferedResponse | None:
        """Relay the stream until it ends; return a complete response if the runner sent no stream.

        Raises RequestFailed if nothing was sent to the client yet.
        """
        if self._task.last_event_id:
            log(Event.STREAM_RETURNED, request=self._attempt, after=self._task.last_event_id)
        task, stream_limits = self._task, self._context.stream_limits
        self._progress = stream_limits.begin(
            trio.current_time(),
            task.service.name,
            task.rank,
            task.deadline_s,
            is_resumed=bool(task.last_event_id),
        )
        try:
            head = await self._opening.head()
            self._sent_s = self._opening.sent_s
            self._run, self._source = self._opening.run, StreamSource(self._opening.source)
            self._use_backup_as_copy()
            return await self._relay(head)
        finally:
            # Each of these is done whatever becomes of those before it.
            with ExitStack() as held:
                held.callback(self._close_source)
                held.callback(self._opening.close)
                held.callback(self._record_cancelled)
                held.callback(lambda: stream_limits.end(trio.current_time(), self._progress))

    def _close_source(self) -> None:
        if self._source is not None:
            self._source.close()

    async def _relay(self, head: ResponseHead) -> BufferedResponse | None:
        answer = runner_answer(head)
        if answer.attempt_id != self._task.request.attempt_id:
            raise invalid_answer(self._task, self._run, "another request's answer")
        if not answer.sealed or answer.encoded or implies_not_run(head.status):
            raise invalid_answer(self._task, self._run, "not an answer of the runner")
        if head.status != 200:
            body = await self._read_whole_body()
            self._end()
            return BufferedResponse(client_head(answer), body)
        await self._client.start(client_head(answer))
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await self._relay_events()
            nursery.cancel_scope.cancel()
        return None

    def _record_cancelled(self) -> None:
        """Record a run whose client disconnected before it was known that the runner ended."""
        run = self._run or self._opening.run
        if self._ended or run is None or self._context.runners.is_ready(run.runner):
            return
        self._record_broken(run.runner)

    def _record_broken(self, runner: RunnerId) -> trio.Event:
        sent_s = self._sent_s or self._opening.sent_s
        return self._context.crash_guard.record_broken_run(
            self._attempt,
            self._task.fingerprint,
            runner,
            sent_s,
            self._proof.first_event_s,
            has_proven=self._proof.has_proven,
        )

    def _use_backup_as_copy(self) -> None:
        backup = self._context.runners.by_id.get(self._run.backup) if self._run.backup else None
        self._copy = None
        if backup is not None:
            self._copy = SavedCopy(backup.id, backup.address, self._attempt)
        self._backup = self._copy

    def _end(self) -> None:
        """Record that the runner finished the request."""
        self._ended = True
        self._context.crash_guard.record_answered(self._task.fingerprint)

    async def _read_whole_body(self) -> bytes:
        try:
            return await read_whole_body(self._source.read, MAX_RESPONSE_BYTES, self._memory)
        except (AnswerTooLarge, AnswerMemoryFull) as error:
            raise invalid_answer(self._task, self._run, str(error)) from error
        except UpstreamBroken as error:
            self._record_broken(self._run.runner)
            raise invalid_answer(self._task, self._run, str(error)) from error

    async def _relay_events(self) -> None:
        """Forward events until the stream ends, from several engines in turn if necessary."""
        while True:
            end = await self._read_events()
            if end in (_ReadEnd.WHOLE, _ReadEnd.BROKEN):
                self._context.record_engine_result(self._run.runner, broke=end is _ReadEnd.BROKEN)
            if end is _ReadEnd.WHOLE:
                self._end()
                if not self._source.is_unframed:
                    # The end of an unframed one may be that of its runner.
                    self._proof.record_end(self._sent_s)
                self._context.event_steps.record(self._task.service.name, self._cursor.step)
                await self._client.finish()
                self._progress.is_whole = True
                self._log_ended()
                if self._mover is not None:
                    await self._free_copy(self._mover)
                return
            await self._report_break(end)
            if end is not _ReadEnd.BROKEN and not await self._may_hand_over(end):
                self._ask_again_s = trio.current_time() + ASK_AGAIN_S
                continue
            log(
                Event.STREAM_HALTED,
                request=self._attempt,
                runner=self._run.runner,
                copy=self._copy.runner if self._copy else None,
                events=self._timing.events,
                why=end.value,
            )
            if self._mover is not None:
                await self._mover.wait_if_stopping()
            if not await self._find_source(end):
                log(
                    Event.STREAM_LOST,
                    request=self._attempt,
                    runner=self._run.runner,
                    events=self._timing.events,
                )
                self._ended = True
                self._client.abort()
                return

    async def _free_copy(self, mover: Mover) -> None:
        with self._context.unforeseen.confined(WorkKind.EXCHANGE, request=self._attempt):
            await mover.free()

    async def _report_break(self, end: _ReadEnd) -> None:
        """Have the runner of a run that broke off or fell silent probed, once a silence."""
        if end is _ReadEnd.LEAVING or (end is _ReadEnd.SILENT and self._has_reported_silence):
            return
        self._has_reported_silence = end is _ReadEnd.SILENT
        await self._record_broken(self._run.runner).wait()

    async def _may_hand_over(self, end: _ReadEnd) -> bool:
        """Return whether the run may leave its runner, which stays silent if it was."""
        if end is _ReadEnd.LEAVING:
            return await self._handover.is_allowed()
        is_allowed = False
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_once_source_speaks, nursery.cancel_scope)
            if await self._handover.is_allowed():
                await trio.sleep(GO_ON_S)
                is_allowed = True
            nursery.cancel_scope.cancel()
        return is_allowed

    async def _find_source(self, end: _ReadEnd) -> bool:
        """Return whether the stream goes on: from its copy, with a new run, or where it is."""
        if end is _ReadEnd.BROKEN or (self._mover is not None and self._mover.has_stopped):
            self._source.close()
            self._handover.record_ended(self._run.runner)
            return await self._find_place()
        may_stop = end is _ReadEnd.LEAVING or not self._resumer.may_resume()
        if may_stop and self._stop_for_copy():
            self._ask_again_s = trio.current_time() + ASK_AGAIN_S
            return True
        found = await self._ask_copy()
        if not found and end is _ReadEnd.SILENT:
            found = await self._resume_beside_source()
        if not found:
            self._ask_again_s = trio.current_time() + ASK_AGAIN_S
        return True

    def _log_ended(self) -> None:
        log(
            Event.STREAM_ENDED,
            request=self._attempt,
            events=self._timing.events,
            first_ms=round(self._timing.first_s * 1000),
            read_ms=round(self._timing.read_s * 1000),
            longest_gap_ms=round(self._timing.longest_gap_s * 1000),
        )

    @property
    def _attempt(self) -> str:
        return self._task.request.attempt_id

    async def _read_events(self) -> _ReadEnd:
        was_paused = False
        while True:
            began_s = trio.current_time()
            with trio.move_on_after(POLL_INTERVAL_S) as poll:
                try:
                    data = await self._source.read()
                except UpstreamBroken:
                    return _ReadEnd.BROKEN
            ran = self._silence.record(POLL_INTERVAL_S, trio.current_time() - began_s)
            if poll.cancelled_caught:
                self._handover.look()
                if not ran and not was_paused:
                    # What arrived during a pause of this process is read first.
                    was_paused = True
                    continue
            elif data is None:
                return _ReadEnd.WHOLE if await self._is_whole() else _ReadEnd.BROKEN
            else:
                self._handover.record_sign(self._run.runner)
                if not await self._forward(data):
                    return _ReadEnd.BROKEN
            was_paused = False
            if self._may_switch():
                return _ReadEnd.SILENT
            if self._context.runners.is_gone(self._run.runner):
                # Behind a network partition the connection may stay open without any more data.
                return _ReadEnd.BROKEN
            if self._timing.events and not self._awaits_first_event and self._should_switch():
                return _ReadEnd.LEAVING

    async def _is_whole(self) -> bool:
        """Return whether a stream that ended without an error was not broken off."""
        if self._splitter.pending_bytes:
            return False
        if self._source.is_unframed and not self._splitter.has_event:
            return False  # The end of its runner right after the head looks the same.
        mover = self._mover
        if not self._source.is_unframed or mover is None or not mover.is_stopping:
            return True
        # A run that is stopped for its move ends its connection as a complete one does.
        await mover.wait_if_stopping()
        return mover.found_no_run

    async def _forward(self, data: bytes) -> bool:
        """Forward the events in received data; return False if they are invalid for this stream."""
        try:
            events = self._splitter.feed(data)
            self._memory.resize(self._splitter.pending_bytes)
            if any(not event.is_comment for event in events):
                self._awaits_first_event = False
                self._silence.reset()
                self._has_reported_silence = False
            await self._forward_events(self._cursor.accept(events))
        except (EventTooLarge, EventGap, AnswerMemoryFull) as error:
            log(
                Event.ANSWER_SPOILT,
                request=self._attempt,
                runner=self._run.runner,
                detail=str(error),
            )
            return False
        return True

    def _may_switch(self) -> bool:
        if trio.current_time() < self._ask_again_s:
            return False
        if self._awaits_first_event:
            return self._resumer.is_first_event_late()
        if self._silence.total_s <= UNRESPONSIVE_S or not self._timing.events:
            return False
        return self._continuation.can_continue(self._copy) or self._resumer.may_resume()

    def _should_switch(self) -> bool:
        """Start a copy if one is needed; return whether to continue from the copy now."""
        if self._is_refused():
            self._drop_mover()
            return False
        now_s = trio.current_time()
        leaving = not self._context.runners.is_ready(self._run.runner)
        if not leaving:
            self._leaving_since_s = None
        elif self._leaving_since_s is None:
            # The first token may come late in the notice period. Counted from that token, the run
            # switched to its copy with 0.3 s left; the copy was incomplete, and there was no time
            # for another one.
            stopped_s = self._context.runners.stopped_since_s(self._run.runner)
            self._leaving_since_s = now_s if stopped_s is None else stopped_s
        if self._mover is not None:
            return False
        has_copy = self._continuation.has_copy(self._copy)
        if leaving and not self._continuation.can_continue(self._copy):
            has_copy = False
        if not has_copy:
            if leaving or self._is_long():
                self._start_mover()
            return False
        if not leaving or now_s < self._ask_again_s:
            return False
        if now_s - self._leaving_since_s < SWITCH_DELAY_S:
            return False
        return not self._stop_for_copy()

    def _stop_for_copy(self) -> bool:
        """Have a runner that answers stop the run, to go on at a copy; False if that was tried."""
        if not self._can_move() or not self._may_continue():
            return False
        if not self._handover.is_responsive(self._run.runner):
            return False
        if self._mover is None:
            self._start_mover()
        elif self._mover.must_stop:
            return False
        self._mover.must_stop = True
        return True

    def _can_move(self) -> bool:
        return self._task.service.engine.moves and self._may_move

    def _is_refused(self) -> bool:
        return self._context.crash_guard.is_refused(self._task.fingerprint)

    def _is_long(self) -> bool:
        return self._context.placing.tokens_left(self._run) >= MIN_COPY_TOKENS

    async def _forward_events(self, events: list[StreamEvent]) -> None:
        count = sum(not event.is_comment for event in events)
        if count:
            self._record_events(count)
        if events:
            await self._client.send(b"".join(event.data for event in events))

    def _record_events(self, count: int) -> None:
        if self._timing.record_events(count):
            self._context.placing.record_first_token(
                self._run, self._timing.read_s, self._timing.first_s
            )
        elif self._timing.last_gap_s is not None:
            self._context.placing.record_gap(self._run, self._timing.last_gap_s, count)
        now_s = trio.current_time()
        self._proof.record_event(now_s)
        self._context.stream_limits.record_events(now_s, self._progress, count)
        self._run.started = True
        new_tokens = self._timing.events * self._task.service.engine.tokens_per_event
        self._run.generated_tokens = self._resumed_tokens + new_tokens

    def _start_mover(self) -> None:
        if not self._can_move():
            return
        self._mover = Mover(self._context, self._task, self._run, self._set_copy, self._handover)
        self._nursery.start_soon(self._move, self._mover)

    async def _move(self, mover: Mover) -> None:
        """Copy the run; the stream goes on without a copy if that fails unforeseen."""
        with self._context.unforeseen.confined(WorkKind.EXCHANGE, request=self._attempt) as work:
            await mover.run()
        if work.failed:
            self._may_move = False
            if self._mover is mover and not mover.is_stopping:
                self._mover = None

    def _drop_mover(self) -> None:
        """Stop copying the run, unless the run has already stopped to continue from the copy."""
        if self._mover is not None and not self._mover.is_stopping:
            self._mover.scope.cancel()
            self._mover = None

    def _set_copy(self, copy: SavedCopy) -> None:
        self._copy = copy
        if copy.runner != self._run.runner:
            self._run.backup = copy.runner

    async def _ask_copy(self) -> bool:
        """Continue from the copy while the current runner may still be at work."""
        if not self._may_continue():
            return False
        copy, self._run.has_proven = self._copy, self._proof.has_proven
        result = await self._continuation.ask_beside(self._run, copy, self._cursor.last_id)
        if isinstance(result, ContinuedRun):
            self._continue(result)
            return True
        if result in (ContinueOutcome.NOT_SENT, ContinueOutcome.UNANSWERED):
            self._copy = replace(copy, is_doubtful=True, is_reserved=False)
        else:
            self._copy = self._backup = None
        return False

    async def _find_place(self) -> bool:
        """Continue the run, which is at work nowhere, from its copy or with a new run."""
        places = places_of(self._copy) if self._may_continue() else deque()
        if places and self._backup is not None and self._backup.copy_id != places[0].copy_id:
            places.append(self._backup)
        self._copy = self._backup = None
        if await self._ask_places(places, self._resumer.copy_wait_s()):
            return True
        return await self._resume() or await self._ask_places(places, inf)

    def _may_continue(self) -> bool:
        return self._copy is not None and self._timing.events > 0 and not self._is_refused()

    async def _ask_places(self, places: deque[SavedCopy], limit_s: float) -> bool:
        self._run.has_proven = self._proof.has_proven
        continued = await self._continuation.ask_places(
            self._run, places, self._cursor.last_id, self._timing.waiting_since_s, limit_s
        )
        if continued is not None:
            self._continue(continued)
        return continued is not None

    def _continue(self, continued: ContinuedRun) -> None:
        if continued.left == self._run.runner:
            self._source.close()  # It goes on where it was, on the new connection.
        else:
            self._leave_source(continued.left)
        self._follow(continued.connection, continued.sent_s)

    def _leave_source(self, runner: RunnerId) -> None:
        self._source.close()
        self._handover.record_left(runner)

    async def _resume(self) -> bool:
        """Continue with a new run at another runner, after the last event that the client has."""
        if not self._resumer.may_resume():
            return False
        self._drop_mover()
        try:
            resumed = await self._resumer.resume(is_beside=False)
        finally:
            self._run, self._sent_s = self._opening.run, self._opening.sent_s
        if resumed:
            self._follow_new_run()
        return resumed

    async def _resume_beside_source(self) -> bool:
        """Continue with a new run, unless the silent runner goes on before another one begins."""
        if not self._resumer.may_resume():
            return False
        run, sent_s, resumed = self._run, self._sent_s, False
        self._opening.release_source()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._cancel_once_source_speaks, nursery.cancel_scope)
                resumed = await self._resumer.resume(is_beside=True)
                nursery.cancel_scope.cancel()
        finally:
            self._run, self._sent_s = self._opening.run, self._opening.sent_s
        if resumed:
            self._leave_source(run.runner)
            self._follow_new_run()
        else:
            self._opening.restore(run)
            self._run, self._sent_s = run, sent_s
        return resumed

    async def _cancel_once_source_speaks(self, scope: trio.CancelScope) -> None:
        if await self._source.wait_for_next():
            scope.cancel()

    def _follow_new_run(self) -> None:
        self._follow(self._opening.source, self._opening.sent_s)
        self._awaits_first_event = True

    def _follow(self, connection: UpstreamConnection, sent_s: float) -> None:
        """Relay the events of another connection from now on, with its backup for a copy."""
        self._source = StreamSource(connection)
        self._silence.reset()
        self._has_reported_silence = False
        self._ask_again_s = 0.0
        self._sent_s = sent_s
        self._timing.record_switch()
        self._splitter = EventSplitter()
        self._memory.resize(0)
        self._proof.begin_run()
        self._awaits_first_event = False
        self._leaving_since_s = None
        if self._mover is not None:
            self._mover.scope.cancel()
            self._mover = None
        self._use_backup_as_copy()
