"""Keeps a copy of one run's memory at another engine, and stops the run when its runner leaves.

A run whose backup copy is gone is copied anew while it goes on, and the copy is renewed, so that
a runner that dies without notice does not take the run with it. When its runner leaves, what the
copy lacks is sent after it and the run stops there, to go on at the copy.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import trio

from egretstack.events import Event, log
from egretstack.fleet import Runner
from egretstack.http1 import ConnectFailed, UpstreamBroken, connect_upstream, exchange
from egretstack.ids import RunnerId
from egretstack.placing import Run, SendOrigin, copy_time_s
from egretstack.platform import BadBody, free_copy_request, move_answer, move_request
from egretstack.relay._tools import CONNECT_TIMEOUT_S, RelayTools, Task
from egretstack.traffic import MoveAnswer, MoveOutcome

COPY_TIMEOUT_S = 4.0
"""Time for one copy: some 0.2 s in a zone and twice that across, for a long prompt, behind others.

A copy that is given up goes on all the same, and its memory stays taken for seconds."""
STOP_TIMEOUT_S = 1.5
"""Time for the last part of a copy, while the stream stands still."""
FREE_TIMEOUT_S = 0.3
MOST_ANSWER_BYTES = 65_536
RENEW_SHARE = 0.6
"""Part of a copy's life after which it is renewed."""
LOOK_S = 0.05
WAITED_TIMES = 1.3
WAITED_LEAST_S = 0.05
"""A copy that takes longer than so many times its own time, and so much more, has waited for others
on the links."""
MOST_CATCH_UPS = 3
HURRY_AFTER_S = 1.2
"""Time after a notice from which the last part is not put off: engines are gone after some 1.5 s,
and a late stream is better than a lost one."""
MOST_REFUSED = 3
"""Engines that are passed over after they had no room; one that has some again is tried anew once
others have refused."""
RETRY_S = 0.2
"""Pause after a copy that failed, for the engines' loads to become known."""


@dataclass(frozen=True, slots=True)
class SavedCopy:
    """Where a run can go on."""

    runner: RunnerId
    origin_address: str
    """The engine that the copy is named by."""
    copy_id: str
    is_reserved: bool = False
    """Whether the run's part of what its runner takes is set aside already."""


class Mover:
    """Copies one run off one runner; works beside the run's stream until cancelled."""

    def __init__(
        self, tools: RelayTools, task: Task, run: Run, saved: Callable[[SavedCopy], None]
    ) -> None:
        self._tools = tools
        self._task = task
        self._run = run
        self._saved = saved
        self._copy_at: Runner | None = None
        self._handle = ""
        self._stopping = False
        self._copied_tokens = 0
        self._copy_waited = False
        """Whether the latest copy waited for the links of its engines."""
        self._leaving_since_s: float | None = None
        self._refused: deque[RunnerId] = deque(maxlen=MOST_REFUSED)
        """Engines that had no room for the copy, the latest ones."""
        self._over = trio.Event()
        self.scope = trio.CancelScope()

    @property
    def is_stopping(self) -> bool:
        """Whether the last part of the copy is under way, for which the run has stopped."""
        return self._stopping

    async def wait_if_stopping(self) -> None:
        """Wait for the last part of the copy, if it is under way."""
        if self._stopping:
            with trio.move_on_after(STOP_TIMEOUT_S):
                await self._over.wait()

    async def run(self) -> None:
        """Copy, renew the copy, and stop the run once its runner leaves."""
        source = self._tools.runners.by_id.get(self._run.runner)
        if source is None:
            return
        with self.scope:
            try:
                while not await self._keep_copied(source):
                    await trio.sleep(RETRY_S)
            finally:
                self._over.set()
                self._done(source)

    async def free(self) -> None:
        """Free the copy, which nobody will continue."""
        source = self._tools.runners.by_id.get(self._run.runner)
        if source is None or not self._handle:
            return
        head = free_copy_request(source.address, self._handle)
        try:
            connection = await connect_upstream(source.address, FREE_TIMEOUT_S)
        except ConnectFailed:
            return  # Copies that nobody frees end by themselves after a few seconds.
        try:
            with trio.move_on_after(FREE_TIMEOUT_S):
                await exchange(connection, head, b"", MOST_ANSWER_BYTES)
        except UpstreamBroken as error:
            log(Event.UPSTREAM_BROKEN, request=self._attempt, error=repr(error))
        finally:
            connection.close()

    @property
    def _attempt(self) -> str:
        return self._task.request.attempt_id

    async def _keep_copied(self, source: Runner) -> bool:
        """Copy and renew until the run has stopped here; False if the copy was lost."""
        engine = self._task.service.engine
        destination = await self._turn()
        if not await self._copied(source, destination):
            self._done(source)
            return False
        while not self._is_leaving(source):
            self._done(source)
            if not await self._wait(source, destination, engine.copy_ttl_s * RENEW_SHARE):
                return False
            if self._is_leaving(source):
                await self._turn()
            elif not await self._copied(source, destination):
                return False
        if not await self._catch_up(source, destination) or not self._may_go_on_at(destination):
            self._done(source)
            return False
        return await self._stop(source, destination)

    async def _catch_up(self, source: Runner, destination: Runner) -> bool:
        """Copy what is new until that does not wait for the links; False if the copy was lost.

        The stream stands still during the last part alone, which waits like any other for the links
        of both engines: behind a copy of another run it takes longer than a reader's longest pause.
        What is copied while the stream goes on waits there in its place. Where the copy before did
        not wait there is none of it: the runs behind this one need the time.
        """
        for _ in range(MOST_CATCH_UPS):
            if not self._copy_waited or self._has_to_hurry(source):
                return True
            if not await self._copied(source, destination):
                return False
        return True

    def _may_go_on_at(self, destination: Runner) -> bool:
        now_s = trio.current_time()
        return self._tools.bounds.allows(now_s, destination, SendOrigin.CONTINUED)

    def _has_to_hurry(self, source: Runner) -> bool:
        if self._tools.runners.is_evacuated(source.id):
            return False  # It works on for as long as the run needs to get off it.
        since_s = self._leaving_since_s
        return since_s is not None and trio.current_time() - since_s > HURRY_AFTER_S

    async def _turn(self) -> Runner:
        while True:
            refused = {*self._refused, *self._tools.rests.in_backoff(trio.current_time())}
            destination_id = await self._tools.placing.move_turn(self._run, refused)
            destination = self._tools.runners.by_id.get(destination_id)
            if destination is not None and not self._tools.runners.is_leaving(destination_id):
                return destination
            self._refused.append(destination_id)
            self._tools.placing.move_done(self._attempt, self._run.runner)
            await trio.sleep(RETRY_S)

    async def _wait(self, source: Runner, destination: Runner, longest_s: float) -> bool:
        """Wait until the copy has to be renewed or stopped; False if its engine is gone."""
        until_s = trio.current_time() + longest_s
        while trio.current_time() < until_s and not self._is_leaving(source):
            if not self._tools.runners.is_ready(destination.id):
                self._handle = ""
                return False
            await trio.sleep(LOOK_S)
        return True

    def _is_leaving(self, source: Runner) -> bool:
        leaving = not self._tools.runners.is_ready(source.id)
        if leaving and self._leaving_since_s is None:
            stopped_s = self._tools.runners.stopped_s(source.id)
            self._leaving_since_s = trio.current_time() if stopped_s is None else stopped_s
        return leaving

    def _done(self, source: Runner) -> None:
        self._tools.placing.move_done(self._attempt, source.id)

    async def _copied(self, source: Runner, destination: Runner) -> bool:
        began_s = trio.current_time()
        # Told with the next report: the memory is taken from the first call on, and work placed
        # there meanwhile would be preempted.
        self._run.backup = destination.id
        tokens = self._run.request.prompt_tokens + self._run.generated_tokens - self._copied_tokens
        answer = await self._order(source, destination, stop=False)
        self._told(source, destination, answer, began_s, stop=False)
        if answer.outcome is not MoveOutcome.COPIED or not answer.handle:
            self._handle, self._run.backup = "", None
            self._copied_tokens = 0
            if answer.outcome is MoveOutcome.NO_ROOM:
                self._refused.append(destination.id)
            return False
        near = source.zone == destination.zone
        own_s = copy_time_s(self._task.service.engine, tokens, near=near)
        took_s = trio.current_time() - began_s
        self._copy_waited = took_s > WAITED_TIMES * own_s + WAITED_LEAST_S
        self._copied_tokens += tokens
        self._keep(source, destination, answer.handle)
        return True

    async def _stop(self, source: Runner, destination: Runner) -> bool:
        self._stopping = True
        # Runs that stop side by side would all count on the same part of what the engine takes.
        self._tools.bounds.record_sent(trio.current_time(), destination.id, SendOrigin.CONTINUED)
        began_s = trio.current_time()
        answer = await self._order(source, destination, stop=True)
        self._told(source, destination, answer, began_s, stop=True)
        if answer.handle:
            # Without room for the last part the source keeps the memory, and the run goes on there.
            where = destination if answer.outcome is MoveOutcome.COPIED else source
            self._keep(source, where, answer.handle, is_reserved=where is destination)
        return True

    def _keep(
        self, source: Runner, where: Runner, handle: str, *, is_reserved: bool = False
    ) -> None:
        self._handle = handle
        self._saved(SavedCopy(where.id, source.address, handle, is_reserved))

    def _told(
        self, source: Runner, destination: Runner, answer: MoveAnswer, began_s: float, *, stop: bool
    ) -> None:
        log(
            Event.MOVE_ENDED,
            request=self._attempt,
            source=source.id,
            destination=destination.id,
            stop=stop,
            outcome=answer.outcome.value,
            took_ms=round((trio.current_time() - began_s) * 1000),
        )

    async def _order(self, source: Runner, destination: Runner, *, stop: bool) -> MoveAnswer:
        head, body = move_request(source.address, self._attempt, destination.address, stop=stop)
        try:
            connection = await connect_upstream(source.address, CONNECT_TIMEOUT_S)
        except ConnectFailed:
            return MoveAnswer(MoveOutcome.FAILED, "", 0)
        try:
            with trio.fail_after(STOP_TIMEOUT_S if stop else COPY_TIMEOUT_S):
                answer, data = await exchange(connection, head, body, MOST_ANSWER_BYTES)
            return move_answer(answer.status, data)
        except (UpstreamBroken, trio.TooSlowError, BadBody) as error:
            log(Event.UPSTREAM_BROKEN, request=self._attempt, error=repr(error))
            return MoveAnswer(MoveOutcome.FAILED, "", 0)
        finally:
            connection.close()
