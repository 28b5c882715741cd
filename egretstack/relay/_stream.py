"""Relays a stream of events, and goes on at another engine where its runner leaves or dies.

Each event reaches the client once and in order, all from one run: another engine only ever
continues from a copy of that run's memory, after the last event that the client has.
"""

from abc import ABC, abstractmethod
from enum import Enum

import trio

from egretstack.errors import ErrorKind
from egretstack.events import Event, log
from egretstack.fleet import Runner
from egretstack.http1 import (
    ConnectFailed,
    ResponseHead,
    UpstreamBroken,
    UpstreamConnection,
    connect_upstream,
)
from egretstack.placing import Run, Work
from egretstack.platform import client_head, runner_answer, runner_request
from egretstack.relay._cursor import EventCursor, EventGap
from egretstack.relay._events import EventSplitter, EventTooLarge, StreamEvent
from egretstack.relay._knowledge import RequestFailed, RunKnowledge
from egretstack.relay._mover import Mover
from egretstack.relay._plain import MAX_ANSWER_BYTES, WholeAnswer, promises_not_run
from egretstack.relay._tools import CONNECT_TIMEOUT_S, RelayTools, Task
from egretstack.traffic import ContinueFrom

LOOK_S = 0.1
"""How often a stream without events looks whether its runner leaves."""
SILENT_S = 0.7
"""Silence after which a run with a copy elsewhere goes on there.

Events come some 40 to 70 ms apart; a reader's limit is some 0.2 s, so the stream is late by then,
and a runner that stopped gives no other sign.
"""
RESUME_TIMEOUT_S = 1.0
"""Time for the first sign of a continued run: what its copy lacks has to be read again."""
FIRST_TOKEN_PATIENCE = 4.0
"""Times the target latency that a client waits for the first event before it gives up."""
REFUSED_RETRY_S = 0.4


class ClientStream(ABC):
    """The client's side of a stream."""

    @abstractmethod
    async def start(self, head: ResponseHead) -> None:
        """Send the head."""

    @abstractmethod
    async def send(self, data: bytes) -> None:
        """Send whole events."""

    @abstractmethod
    async def finish(self) -> None:
        """Send the proper end."""

    @abstractmethod
    def abort(self) -> None:
        """Break the answer off so that it cannot look complete."""


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
        self._knowledge = RunKnowledge()
        self._run: Run | None = None
        self._source: UpstreamConnection | None = None
        self._splitter = EventSplitter()
        self._cursor = EventCursor()
        self._events = 0
        self._mover: Mover | None = None

    async def serve(self) -> WholeAnswer | None:
        """Relay; give a runner's whole answer if it was no stream, else None once it is over.

        Raises RequestFailed while the client has seen nothing.
        """
        placement = await self._tools.placing.place(self._work(), self._task.service.engine)
        self._run = Run(self._work(), placement.runner, placement.backup)
        self._tools.placing.begin(self._run)
        try:
            return await self._serve_placed()
        finally:
            self._tools.placing.end(self._run)
            if self._source is not None:
                self._source.close()

    def _work(self) -> Work:
        wants = self._task.request.generation
        waited_s = trio.current_time() - self._task.began_s
        patience_s = FIRST_TOKEN_PATIENCE * self._task.route.target_latency_s
        return Work(
            attempt=self._task.request.attempt_id,
            service=self._task.service.name,
            prompt_tokens=wants.prompt_tokens if wants else 0,
            max_output_tokens=wants.max_output_tokens if wants else 0,
            length_hint=wants.length_hint if wants else None,
            rank=self._task.rank,
            patience_s=max(0.0, min(patience_s, self._task.time_left_s()) - waited_s),
        )

    async def _serve_placed(self) -> WholeAnswer | None:
        head = await self._first_head()
        answer = runner_answer(head)
        if answer.attempt_id != self._task.request.attempt_id and not answer.rejected:
            raise self._spoilt("another request's answer")
        if answer.rejected:
            raise RequestFailed(
                ErrorKind.ENGINES_FULL, "rejected by the engine", retry_after_s=REFUSED_RETRY_S
            )
        if not answer.sealed or answer.encoded or promises_not_run(head.status):
            raise self._spoilt("not an answer of the runner")
        if head.status != 200:
            self._knowledge.unknown()
            return WholeAnswer(client_head(answer), await self._whole_body())
        await self._client.start(client_head(answer))
        async with trio.open_nursery() as nursery:
            await self._relay_events(nursery)
            nursery.cancel_scope.cancel()
        return None

    async def _first_head(self) -> ResponseHead:
        runner = self._tools.runners.by_id.get(self._run.runner)
        if runner is None:
            raise RequestFailed(ErrorKind.NO_RUNNER, "the runner is gone", retry_after_s=0.1)
        try:
            self._source = await connect_upstream(runner.address, CONNECT_TIMEOUT_S)
        except ConnectFailed as error:
            log(Event.CONNECT_FAILED, request=self._task.request.attempt_id, error=str(error))
            raise RequestFailed(
                ErrorKind.NO_RUNNER, "the runner does not answer", retry_after_s=0.1
            ) from error
        try:
            with trio.fail_after(max(0.0, self._task.time_left_s())):
                return await self._ask(self._source, runner, None)
        except UpstreamBroken as error:
            raise self._spoilt(str(error)) from error
        except trio.TooSlowError as error:
            raise RequestFailed(ErrorKind.OUT_OF_TIME, "no answer in time") from error

    async def _ask(
        self, connection: UpstreamConnection, runner: Runner, origin: ContinueFrom | None
    ) -> ResponseHead:
        backup = self._tools.runners.by_id.get(self._run.backup) if self._run.backup else None
        terms = self._task.terms(
            runner,
            priority=self._task.rank,
            backup_address=None if backup is None else backup.address,
            continue_from=origin,
        )
        await connection.send(runner_request(self._task.request, terms), self._task.request.body)
        return await connection.read_head()

    async def _whole_body(self) -> bytes:
        body = bytearray()
        try:
            while (data := await self._source.read_body()) is not None:
                body += data
                if len(body) > MAX_ANSWER_BYTES:
                    raise self._spoilt("an answer too large")
        except UpstreamBroken as error:
            raise self._spoilt(str(error)) from error
        return bytes(body)

    def _spoilt(self, detail: str) -> RequestFailed:
        self._knowledge.unknown()
        log(
            Event.ANSWER_SPOILT,
            request=self._task.request.attempt_id,
            runner=self._run.runner,
            detail=detail,
        )
        return RequestFailed(ErrorKind.OUTCOME_UNKNOWN, detail)

    async def _relay_events(self, nursery: trio.Nursery) -> None:
        """Pass events on to the end, from one engine after another if need be."""
        while True:
            end = await self._read_events()
            if end is _End.WHOLE:
                await self._client.finish()
                return
            log(
                Event.STREAM_HALTED,
                request=self._task.request.attempt_id,
                runner=self._run.runner,
                backup=self._run.backup,
                events=self._events,
                why=end.value,
            )
            if end is _End.LEAVING:
                if not await self._go_on_at_backup():
                    self._start_mover(nursery)
            elif not await self._go_on_elsewhere(end):
                log(
                    Event.STREAM_LOST,
                    request=self._task.request.attempt_id,
                    runner=self._run.runner,
                    events=self._events,
                )
                self._client.abort()
                return

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
                try:
                    await self._pass_on(self._cursor.accept(self._splitter.feed(data)))
                except (EventTooLarge, EventGap) as error:
                    log(
                        Event.ANSWER_SPOILT,
                        request=self._task.request.attempt_id,
                        runner=self._run.runner,
                        detail=str(error),
                    )
                    return _End.BROKEN
            if self._mover is None and not self._tools.runners.is_ready(self._run.runner):
                return _End.LEAVING

    def _may_switch(self, silent_since_s: float) -> bool:
        silent_s = trio.current_time() - silent_since_s
        return silent_s > SILENT_S and self._events > 0 and self._backup() is not None

    async def _pass_on(self, events: list[StreamEvent]) -> None:
        if not events:
            return
        if not self._events:
            waited_s = trio.current_time() - self._task.began_s
            self._tools.placing.first_token(self._run.work.prompt_tokens, waited_s)
        self._events += len(events)
        self._run.started = True
        self._run.made_tokens = self._events * self._task.service.engine.tokens_per_event
        await self._client.send(b"".join(event.data for event in events))

    def _backup(self) -> Runner | None:
        backup = self._run.backup
        if backup is None or not self._tools.runners.is_ready(backup):
            return None
        return self._tools.runners.by_id[backup]

    async def _go_on_at_backup(self) -> bool:
        backup = self._backup()
        if backup is None or not self._events:
            return False
        origin = ContinueFrom(backup.address, self._task.request.attempt_id, self._cursor.last_id)
        return await self._go_on_at(backup, origin)

    async def _go_on_elsewhere(self, end: _End) -> bool:
        """Go on where a copy is; the runner before is lost, or stopped for the copy."""
        if self._mover is not None:
            moved = await self._mover.result()
            self._mover = None
            if moved is not None:
                destination = self._tools.runners.by_id.get(moved.destination)
                origin = ContinueFrom(moved.source_address, moved.handle, self._cursor.last_id)
                if destination is not None and await self._go_on_at(destination, origin):
                    return True
        return await self._go_on_at_backup()

    async def _go_on_at(self, runner: Runner, origin: ContinueFrom) -> bool:
        """Continue the run at another engine; on failure the present source is left as it is."""
        before = self._run.runner, self._run.backup
        self._run.runner = runner.id
        self._run.backup = self._tools.placing.backup_for(self._run, self._task.service.engine)
        began_s = trio.current_time()
        connection = await self._continued(runner, origin)
        log(
            Event.STREAM_CONTINUED if connection else Event.STREAM_NOT_CONTINUED,
            request=self._task.request.attempt_id,
            source=before[0],
            runner=runner.id,
            after=self._cursor.last_id,
            took_ms=round((trio.current_time() - began_s) * 1000),
        )
        if connection is None:
            self._run.runner, self._run.backup = before
            if self._run.backup == runner.id:
                self._run.backup = None
            return False
        # The runner before may not work on beside the new one.
        self._source.close()
        self._source = connection
        self._splitter = EventSplitter()
        return True

    async def _continued(self, runner: Runner, origin: ContinueFrom) -> UpstreamConnection | None:
        try:
            connection = await connect_upstream(runner.address, CONNECT_TIMEOUT_S)
        except ConnectFailed:
            return None
        head = None
        try:
            with trio.move_on_after(RESUME_TIMEOUT_S):
                head = await self._ask(connection, runner, origin)
        except UpstreamBroken:
            pass  # Told by the caller, as a run that could not be continued.
        except BaseException:
            connection.close()
            raise
        answer = None if head is None else runner_answer(head)
        sound = (
            answer is not None
            and answer.head.status == 200
            and answer.attempt_id == self._task.request.attempt_id
            and not answer.rejected
        )
        if not sound:
            connection.close()
            return None
        return connection

    def _start_mover(self, nursery: trio.Nursery) -> None:
        self._mover = Mover(self._tools, self._task, self._run)
        nursery.start_soon(self._mover.run)
