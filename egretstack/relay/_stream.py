"""Relays a stream of events, and goes on at another engine where its runner leaves or dies.

Each event reaches the client once and in order, all from one run: another engine only ever
continues from a copy of that run's memory, after the last event that the client has.
"""

from enum import Enum

import trio

from egretstack.events import Event, log
from egretstack.fleet import Runner
from egretstack.http1 import (
    ResponseHead,
    UpstreamBroken,
    UpstreamConnection,
)
from egretstack.ids import RunnerId
from egretstack.placing import Run, SendOrigin
from egretstack.platform import client_head, runner_answer
from egretstack.relay._client_stream import ClientStream
from egretstack.relay._cursor import EventCursor, EventGap
from egretstack.relay._engine_calls import continue_at
from egretstack.relay._events import EventSplitter, EventTooLarge, StreamEvent
from egretstack.relay._mover import Mover, SavedCopy
from egretstack.relay._opening import EngineOpening, answer_spoilt
from egretstack.relay._pace import StreamPace
from egretstack.relay._plain import MAX_ANSWER_BYTES, WholeAnswer, promises_not_run
from egretstack.relay._tools import RelayTools, Task
from egretstack.traffic import ContinueFrom

LOOK_S = 0.1
"""How often a stream without events looks whether its runner leaves."""
SILENT_S = 0.7
"""Silence after which a run with a copy elsewhere goes on there.

Events come some 40 to 70 ms apart; a reader's limit is some 0.2 s, so the stream is late by then,
and a runner that stopped gives no other sign.
"""
SWITCH_DELAY_S = 0.7
"""How long a run with a copy stays at a runner that leaves, whose notice is some 1.5 to 2 s.

Where it goes on it is copied anew, whole. Those copies would share the links with the runs that
have none yet, which have to be off their runner before it ends.
"""
READER_LEAST_S = 2.0
READER_TARGETS = 4.0
READER_GAPS = 8.0
"""Readers give a stream up after the longest of these: two seconds, so many times the target of its
first event, so many times its longest pause that is in time."""
GO_ON_WAIT_SHARE = 0.6
"""Part of that, and of a copy's life, that a stream waits for a runner which takes nothing now."""
COPY_LEAST_TOKENS = 120
"""Output still expected from which a run that lost its copy gets another: about a second's."""


class _End(Enum):
    """Why reading from a runner stopped."""

    WHOLE = "whole"
    BROKEN = "broken"
    SILENT = "silent"
    LEAVING = "leaving"


class StreamRelay:
    """Relays one request for a stream."""

    def __init__(self, tools: RelayTools, task: Task, client: ClientStream) -> None:
        self._tools = tools
        self._task = task
        self._client = client
        self._run: Run | None = None
        self._source: UpstreamConnection | None = None
        self._splitter = EventSplitter()
        self._cursor = EventCursor()
        self._pace = StreamPace(task.began_s)
        self._saved: SavedCopy | None = None
        """Where the run can go on if its runner leaves or dies."""
        self._opening = EngineOpening(tools, task, self._pace)
        self._sent_s = 0.0
        """When the run was sent to the runner where it is."""
        self._first_event_s: float | None = None
        """When the stream's first event came, from whichever runner."""
        self._over = False
        """Whether the run has ended, however it did."""
        self._leaving_since_s: float | None = None
        self._mover: Mover | None = None
        self._nursery: trio.Nursery | None = None

    async def serve(self) -> WholeAnswer | None:
        """Relay; give a runner's whole answer if it was no stream, else None once it is over.

        Raises RequestFailed while the client has seen nothing.
        """
        try:
            head = await self._opening.head()
            self._sent_s = self._opening.sent_s
            self._run, self._source = self._opening.run, self._opening.source
            self._note_backup()
            return await self._relay(head)
        finally:
            self._note_cancelled()
            self._opening.close()
            if self._source is not None:
                self._source.close()

    async def _relay(self, head: ResponseHead) -> WholeAnswer | None:
        answer = runner_answer(head)
        if answer.attempt_id != self._task.request.attempt_id:
            raise answer_spoilt(self._task, self._run, "another request's answer")
        if not answer.sealed or answer.encoded or promises_not_run(head.status):
            raise answer_spoilt(self._task, self._run, "not an answer of the runner")
        if head.status != 200:
            body = await self._whole_body()
            self._end()
            return WholeAnswer(client_head(answer), body)
        await self._client.start(client_head(answer))
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await self._relay_events()
            nursery.cancel_scope.cancel()
        return None

    def _note_cancelled(self) -> None:
        """Take note of a run whose client left before the end of its runner showed."""
        run = self._run or self._opening.run
        if self._over or run is None or self._tools.runners.is_ready(run.runner):
            return
        self._note_broken(run.runner)

    def _note_broken(self, runner: RunnerId) -> trio.Event:
        sent_s = self._sent_s or self._opening.sent_s
        return self._tools.crashes.broke(
            self._attempt, self._task.content, runner, sent_s, self._first_event_s
        )

    def _note_backup(self) -> None:
        backup = self._tools.runners.by_id.get(self._run.backup) if self._run.backup else None
        self._saved = None
        if backup is not None:
            attempt = self._task.request.attempt_id
            self._saved = SavedCopy(backup.id, backup.address, attempt)

    def _end(self) -> None:
        """Take note that the runner ran the request to its end."""
        self._over = True
        self._tools.crashes.answered(self._task.content)

    async def _whole_body(self) -> bytes:
        body = bytearray()
        try:
            while (data := await self._source.read_body()) is not None:
                body += data
                if len(body) > MAX_ANSWER_BYTES:
                    raise answer_spoilt(self._task, self._run, "an answer too large")
        except UpstreamBroken as error:
            self._note_broken(self._run.runner)
            raise answer_spoilt(self._task, self._run, str(error)) from error
        return bytes(body)

    async def _relay_events(self) -> None:
        """Pass events on to the end, from one engine after another if need be."""
        while True:
            end = await self._read_events()
            if end in (_End.WHOLE, _End.BROKEN):
                self._tools.note_engine(self._run.runner, broke=end is _End.BROKEN)
            if end is _End.WHOLE:
                self._end()
                await self._client.finish()
                self._log_ended()
                if self._mover is not None:
                    await self._mover.free()
                return
            if end is not _End.LEAVING:
                await self._note_broken(self._run.runner).wait()
            log(
                Event.STREAM_HALTED,
                request=self._attempt,
                runner=self._run.runner,
                copy=self._saved.runner if self._saved else None,
                events=self._pace.events,
                why=end.value,
            )
            if self._mover is not None:
                await self._mover.wait_if_stopping()
            if await self._go_on_at_copy():
                continue
            if end is not _End.LEAVING:
                log(
                    Event.STREAM_LOST,
                    request=self._attempt,
                    runner=self._run.runner,
                    events=self._pace.events,
                )
                self._over = True
                self._client.abort()
                return

    def _log_ended(self) -> None:
        log(
            Event.STREAM_ENDED,
            request=self._attempt,
            events=self._pace.events,
            first_ms=round(self._pace.first_s * 1000),
            read_ms=round(self._pace.read_s * 1000),
            longest_gap_ms=round(self._pace.longest_gap_s * 1000),
        )

    @property
    def _attempt(self) -> str:
        return self._task.request.attempt_id

    async def _read_events(self) -> _End:
        silent_since_s = trio.current_time()
        while True:
            with trio.move_on_after(LOOK_S) as look:
                try:
                    data = await self._source.read_body()
                except UpstreamBroken:
                    return _End.BROKEN
            if look.cancelled_caught:
                if self._may_switch(silent_since_s):
                    return _End.SILENT
            elif data is None:
                return _End.WHOLE if not self._splitter.rest else _End.BROKEN
            else:
                silent_since_s = trio.current_time()
                if not await self._take(data):
                    return _End.BROKEN
            if self._tools.runners.is_gone(self._run.runner):
                # The connection may stay open behind a cut, and say nothing more.
                return _End.BROKEN
            if self._pace.events and self._has_to_leave():
                return _End.LEAVING

    async def _take(self, data: bytes) -> bool:
        """Pass on the events in some bytes; False if they are no part of this stream."""
        try:
            await self._pass_on(self._cursor.accept(self._splitter.feed(data)))
        except (EventTooLarge, EventGap) as error:
            log(
                Event.ANSWER_SPOILT,
                request=self._attempt,
                runner=self._run.runner,
                detail=str(error),
            )
            return False
        return True

    def _may_switch(self, silent_since_s: float) -> bool:
        silent_s = trio.current_time() - silent_since_s
        return silent_s > SILENT_S and self._pace.events > 0 and self._can_go_on()

    def _has_copy(self) -> bool:
        return self._saved is not None and self._tools.runners.is_ready(self._saved.runner)

    def _can_go_on(self) -> bool:
        """Tell whether the run can go on at its copy now: the engine there may take no more."""
        if not self._has_copy():
            return False
        return self._may_go_on_at(self._tools.runners.by_id[self._saved.runner])

    def _left_before(self, runner: Runner) -> bool:
        """Tell whether a runner was known to leave when the request came."""
        stopped_s = self._tools.runners.stopped_s(runner.id)
        is_leaving = self._tools.runners.is_leaving(runner.id)
        return is_leaving and stopped_s is not None and stopped_s < self._task.began_s

    def _may_go_on_at(self, runner: Runner) -> bool:
        now_s = trio.current_time()
        if self._saved is not None and self._saved.is_reserved:
            return runner.id not in self._tools.rests.in_backoff(now_s)
        return self._tools.bounds.allows(now_s, runner, SendOrigin.CONTINUED)

    def _go_on_wait_s(self) -> float:
        """Give how long the reader and the copy surely wait."""
        route = self._task.route
        by_target_s = READER_TARGETS * route.target_latency_s
        by_gap_s = READER_GAPS * (route.gap_target_s or 0.0)
        patience_s = max(READER_LEAST_S, by_target_s, by_gap_s)
        return GO_ON_WAIT_SHARE * min(patience_s, self._task.service.engine.copy_ttl_s)

    async def _wait_to_go_on_at(self, runner: Runner) -> bool:
        """Wait a moment for a runner that takes few requests; tell whether it takes this one."""
        with trio.move_on_after(self._go_on_wait_s()):
            while not self._may_go_on_at(runner):
                await trio.sleep(LOOK_S)
        return self._may_go_on_at(runner)

    def _has_to_leave(self) -> bool:
        """See to a copy where one is needed; tell whether to go on at it now."""
        if self._is_refused():
            self._drop_mover()
            return False
        now_s = trio.current_time()
        leaving = not self._tools.runners.is_ready(self._run.runner)
        if not leaving:
            self._leaving_since_s = None
        elif self._leaving_since_s is None:
            # A first token may come late in the notice. Counted from there the copy was tried when
            # 0.3 s were left, it was not whole yet, and there was no time for another.
            stopped_s = self._tools.runners.stopped_s(self._run.runner)
            self._leaving_since_s = now_s if stopped_s is None else stopped_s
        if self._mover is not None:
            return False
        has_copy = self._can_go_on() if leaving else self._has_copy()
        if not has_copy:
            if leaving or self._is_long():
                self._start_mover()
            return False
        return leaving and now_s - self._leaving_since_s >= SWITCH_DELAY_S

    def _is_refused(self) -> bool:
        return self._tools.crashes.refuses(self._task.content)

    def _is_long(self) -> bool:
        return self._tools.placing.tokens_left(self._run) >= COPY_LEAST_TOKENS

    async def _pass_on(self, events: list[StreamEvent]) -> None:
        if not events:
            return
        if self._first_event_s is None:
            self._first_event_s = trio.current_time()
        if self._pace.passed(len(events)):
            self._tools.placing.first_token(self._run, self._pace.read_s, self._pace.first_s)
        self._run.started = True
        self._run.generated_tokens = self._pace.events * self._task.service.engine.tokens_per_event
        await self._client.send(b"".join(event.data for event in events))

    def _start_mover(self) -> None:
        if not self._task.service.engine.moves:
            return
        self._mover = Mover(self._tools, self._task, self._run, self._take_copy)
        self._nursery.start_soon(self._mover.run)

    def _drop_mover(self) -> None:
        """Copy the run no further, unless it has stopped already to go on at the copy."""
        if self._mover is not None and not self._mover.is_stopping:
            self._mover.scope.cancel()
            self._mover = None

    def _take_copy(self, saved: SavedCopy) -> None:
        self._saved = saved
        if saved.runner != self._run.runner:
            self._run.backup = saved.runner

    async def _go_on_at_copy(self) -> bool:
        """Continue the run where its copy is; on failure the present source is left as it is."""
        saved = self._saved
        runner = self._tools.runners.by_id.get(saved.runner) if saved else None
        if runner is None or not self._pace.events or self._is_refused():
            return False
        if self._tools.runners.is_evacuated(runner.id) or self._left_before(runner):
            # Nothing more may be sent there; where the run is, it may go on.
            return False
        if not await self._wait_to_go_on_at(runner):
            return False
        origin = ContinueFrom(saved.origin_address, saved.copy_id, self._cursor.last_id)
        before = self._run.runner
        self._run.runner = runner.id
        self._run.backup = await self._tools.placing.backup_for(
            self._run, self._task.service.engine, before
        )
        began_s = trio.current_time()
        connection = await continue_at(
            self._tools, self._task, self._run, runner, origin, is_reserved=saved.is_reserved
        )
        log(
            Event.STREAM_CONTINUED if connection else Event.STREAM_NOT_CONTINUED,
            request=self._attempt,
            source=before,
            runner=runner.id,
            after=origin.last_event_id,
            took_ms=round((trio.current_time() - began_s) * 1000),
        )
        if connection is None:
            self._run.runner, self._run.backup, self._saved = before, None, None
            return False
        # The runner before may not work on beside the new one.
        self._source.close()
        self._source = connection
        self._sent_s = began_s
        self._splitter = EventSplitter()
        self._leaving_since_s = None
        if self._mover is not None:
            self._mover.scope.cancel()
            self._mover = None
        self._note_backup()
        return True
