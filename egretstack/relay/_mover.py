"""Copies one run's memory off its runner while the run goes on, then stops it there."""

from dataclasses import dataclass
from enum import Enum

import trio

from egretstack.events import Event, log
from egretstack.fleet import Runner
from egretstack.http1 import ConnectFailed, UpstreamBroken, connect_upstream, exchange
from egretstack.ids import RunnerId
from egretstack.placing import Run
from egretstack.platform import BadBody, move_answer, move_request
from egretstack.relay._tools import CONNECT_TIMEOUT_S, RelayTools, Task
from egretstack.traffic import MoveAnswer, MoveOutcome

COPY_TIMEOUT_S = 1.5
"""Time for one copy: some 0.2 s in a zone and twice that across, for a long prompt."""
MOST_ANSWER_BYTES = 65_536
MAX_TRIES = 3


class MoverState(Enum):
    """How far a move is."""

    WAITING = "waiting"
    COPYING = "copying"
    DONE = "done"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Moved:
    """A copy that is whole; the run has stopped at its source."""

    source_address: str
    handle: str
    destination: RunnerId


class Mover:
    """Moves one run; `run` works beside the stream, which ends without its end when it stops."""

    def __init__(self, tools: RelayTools, task: Task, run: Run) -> None:
        self.state = MoverState.WAITING
        self._tools = tools
        self._task = task
        self._run = run
        self._moved: Moved | None = None
        self._over = trio.Event()

    async def result(self) -> Moved | None:
        """Wait for the end of the move, if it has begun; None if there is no copy."""
        if self.state is MoverState.WAITING:
            return None
        with trio.move_on_after(COPY_TIMEOUT_S):
            await self._over.wait()
        return self._moved

    async def run(self) -> None:
        """Wait for this run's turn, copy, and stop it at its source."""
        source = self._tools.runners.by_id.get(self._run.runner)
        if source is None:
            return
        try:
            for _ in range(MAX_TRIES):
                destination_id = await self._tools.placing.move_turn(
                    self._run, self._task.service.engine
                )
                destination = self._tools.runners.by_id.get(destination_id)
                if destination is not None and await self._move(source, destination):
                    return
            self.state = MoverState.FAILED
        finally:
            self._over.set()
            self._tools.placing.move_done(self._task.request.attempt_id, source.id)

    async def _move(self, source: Runner, destination: Runner) -> bool:
        self.state = MoverState.COPYING
        began_s = trio.current_time()
        copied = await self._copy(source, destination, stop=False)
        stopped = None
        if copied.outcome is MoveOutcome.COPIED:
            copied_s = trio.current_time()
            stopped = await self._copy(source, destination, stop=True)
        log(
            Event.MOVE_ENDED,
            request=self._task.request.attempt_id,
            source=source.id,
            destination=destination.id,
            outcome=(stopped or copied).outcome.value,
            copy_ms=round(((copied_s if stopped else trio.current_time()) - began_s) * 1000),
            stop_ms=round((trio.current_time() - copied_s) * 1000) if stopped else None,
        )
        if stopped is None or not stopped.handle:
            return copied.outcome is MoveOutcome.NO_SUCH_RUN
        # Without room for the last part the source keeps the memory, and the run goes on there.
        where = destination if stopped.outcome is MoveOutcome.COPIED else source
        self._moved = Moved(source.address, stopped.handle, where.id)
        self.state = MoverState.DONE
        return True

    async def _copy(self, source: Runner, destination: Runner, *, stop: bool) -> MoveAnswer:
        head, body = move_request(
            source.address, self._task.request.attempt_id, destination.address, stop=stop
        )
        try:
            connection = await connect_upstream(source.address, CONNECT_TIMEOUT_S)
        except ConnectFailed:
            return MoveAnswer(MoveOutcome.FAILED, "", 0)
        try:
            with trio.fail_after(COPY_TIMEOUT_S):
                answer, data = await exchange(connection, head, body, MOST_ANSWER_BYTES)
            return move_answer(answer.status, data)
        except (UpstreamBroken, trio.TooSlowError, BadBody) as error:
            log(Event.UPSTREAM_BROKEN, request=self._task.request.attempt_id, error=repr(error))
            return MoveAnswer(MoveOutcome.FAILED, "", 0)
        finally:
            connection.close()
