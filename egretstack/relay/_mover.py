"""Keeps a copy of one run's KV cache on another engine, and stops the run when its runner leaves.

A run that has lost its backup copy is copied again while it continues, and the copy is renewed
periodically, so that the run survives a runner that dies without notice. When its runner leaves,
the part that the copy lacks is transferred and the run stops there, to continue from the copy.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import trio

from egretstack.events import Event, log
from egretstack.fleet import Runner
from egretstack.http1 import ConnectFailed, UpstreamBroken, exchange
from egretstack.ids import RunnerId
from egretstack.placing import Run, SendOrigin, copy_time_s
from egretstack.platform import BadBody, free_copy_request, move_answer, move_request
from egretstack.relay._context import CONNECT_TIMEOUT_S, RelayContext, RelayTask
from egretstack.relay._handover import Handover
from egretstack.relay._patience import (
    COPY_TIMEOUT_S,
    FREE_TIMEOUT_S,
    HURRY_AFTER_S,
    RENEW_SHARE,
    place_wait_s,
)
from egretstack.relay._waiting import wait_for_answer
from egretstack.traffic import MoveAnswer, MoveOutcome

MAX_RESPONSE_BYTES = 4_096
"""Limit of the answer to an order, which names a handle; many runs are copied at the same time."""
POLL_INTERVAL_S = 0.05
QUEUED_FACTOR = 1.3
QUEUED_MARGIN_S = 0.05
"""A copy that takes longer than its expected time multiplied by the factor, plus the margin, was
queued behind other copies on the links."""
MAX_CATCH_UPS = 3
MAX_REFUSED = 3
"""Number of engines that are skipped because they had no capacity. An engine that has capacity
again is tried once others have refused."""
RETRY_S = 0.2
"""Pause after a failed copy, until updated loads of the engines arrive."""

_NOT_STOPPED = frozenset({MoveOutcome.BUSY, MoveOutcome.NOT_SENT})
"""Answers to an order to stop after which the run goes on."""


@dataclass(frozen=True, slots=True)
class SavedCopy:
    """A copy from which a run can continue."""

    runner: RunnerId
    origin_address: str
    """Address of the engine in whose name the copy is stored."""
    copy_id: str
    is_reserved: bool = False
    """Whether the runner's send bounds have counted the continued run already."""
    kept_at: RunnerId | None = None
    """The engine that has stopped the run and keeps its memory too, under the same id."""
    is_doubtful: bool = False
    """Whether its engine did not answer when it was asked to continue the run."""


class Mover:
    """Copies one run off one runner; runs concurrently with the run's stream until cancelled."""

    def __init__(
        self,
        context: RelayContext,
        task: RelayTask,
        run: Run,
        on_saved: Callable[[SavedCopy], None],
        handover: Handover,
    ) -> None:
        self._context = context
        self._task = task
        self._run = run
        self._on_saved = on_saved
        self._handover = handover
        self.must_stop = False
        """Whether the run is stopped once its copy is complete, also if its runner stays."""
        self._copy_holder: Runner | None = None
        self._handle = ""
        self._stopping = False
        self._copied_tokens = 0
        self._copy_was_queued = False
        """Whether the latest copy was queued behind others on the links of its engines."""
        self._leaving_since_s: float | None = None
        self._refused: deque[RunnerId] = deque(maxlen=MAX_REFUSED)
        """The latest engines that had no capacity for the copy."""
        self.found_no_run = False
        """Whether the run had ended before it could be stopped."""
        self.has_stopped = False
        """Whether the runner has answered that the run stopped."""
        self._stop_ended = trio.Event()
        """Set once the latest order to stop was answered, or is no longer waited for."""
        self.scope = trio.CancelScope()

    @property
    def is_stopping(self) -> bool:
        """Whether the run was told to stop for the last part of its copy, and may have stopped."""
        return self._stopping

    async def wait_if_stopping(self) -> None:
        """Wait for the last part of the copy, if it is being transferred."""
        if self._stopping:
            await self._stop_ended.wait()

    async def run(self) -> None:
        """Copy, renew the copy, and stop the run once its runner leaves."""
        source = self._context.runners.by_id.get(self._run.runner)
        if source is None:
            return
        with self.scope:
            try:
                while not await self._keep_copied(source):
                    await trio.sleep(RETRY_S)
            finally:
                self._release_permit(source)

    async def free(self) -> None:
        """Free the copy, from which no run will continue."""
        source = self._context.runners.by_id.get(self._run.runner)
        if source is None or not self._handle:
            return
        head = free_copy_request(source.address, self._handle)
        try:
            connection = await self._context.dialer.connect(source.address, FREE_TIMEOUT_S)
        except ConnectFailed:
            return  # Copies that are not freed expire after a few seconds.
        try:
            with trio.move_on_after(FREE_TIMEOUT_S):
                await exchange(connection, head, b"", MAX_RESPONSE_BYTES)
        except UpstreamBroken as error:
            log(Event.UPSTREAM_BROKEN, request=self._attempt, error=repr(error))
        finally:
            connection.close()

    @property
    def _attempt(self) -> str:
        return self._task.request.attempt_id

    async def _keep_copied(self, source: Runner) -> bool:
        """Copy and renew until the run has stopped here; return False if the copy was lost."""
        engine = self._task.service.engine
        destination = await self._acquire_permit()
        if not await self._copy(source, destination):
            self._release_permit(source)
            return False
        while not self._is_leaving(source):
            self._release_permit(source)
            if not await self._wait(source, destination, engine.copy_ttl_s * RENEW_SHARE):
                return False
            if self._is_leaving(source):
                await self._acquire_permit()
            elif not await self._copy(source, destination):
                return False
        if not await self._catch_up(source, destination) or not self._may_continue_on(destination):
            self._release_permit(source)
            return False
        return await self._stop(source, destination)

    async def _catch_up(self, source: Runner, destination: Runner) -> bool:
        """Copy new tokens until a copy is not queued on the links; return False if it was lost.

        Only the last part of the copy pauses the stream. Like any copy it queues for the links of
        both engines, and behind a copy of another run it would take longer than the longest gap
        that a reader accepts. A catch-up copy waits in the queue instead, while the stream goes on.
        If the previous copy was not queued there is no catch-up: the runs that wait for the permit
        need the time.
        """
        for _ in range(MAX_CATCH_UPS):
            if not self._copy_was_queued or self._has_to_hurry(source):
                return True
            if not await self._copy(source, destination):
                return False
        return True

    def _may_continue_on(self, destination: Runner) -> bool:
        now_s = trio.current_time()
        return self._context.send_bounds.allows(now_s, destination, SendOrigin.CONTINUED)

    def _has_to_hurry(self, source: Runner) -> bool:
        if self._context.runners.is_evacuated(source.id):
            return False  # An evacuated runner keeps running until the run has moved off it.
        since_s = self._leaving_since_s
        return since_s is not None and trio.current_time() - since_s > HURRY_AFTER_S

    async def _acquire_permit(self) -> Runner:
        while True:
            refused = {*self._refused, *self._context.backoffs.in_backoff(trio.current_time())}
            destination_id = await self._context.placing.acquire_move_permit(self._run, refused)
            destination = self._context.runners.by_id.get(destination_id)
            if destination is not None and not self._context.runners.is_leaving(destination_id):
                return destination
            self._refused.append(destination_id)
            self._context.placing.release_move_permit(self._attempt, self._run.runner)
            await trio.sleep(RETRY_S)

    async def _wait(self, source: Runner, destination: Runner, max_wait_s: float) -> bool:
        """Wait until the copy must be renewed or the run stopped; False if its engine has ended."""
        until_s = trio.current_time() + max_wait_s
        while trio.current_time() < until_s and not self._is_leaving(source):
            if not self._context.runners.is_ready(destination.id):
                self._handle = ""
                return False
            await trio.sleep(POLL_INTERVAL_S)
        return True

    def _is_leaving(self, source: Runner) -> bool:
        leaving = self.must_stop or not self._context.runners.is_ready(source.id)
        if leaving and self._leaving_since_s is None:
            stopped_s = self._context.runners.stopped_since_s(source.id)
            self._leaving_since_s = trio.current_time() if stopped_s is None else stopped_s
        return leaving

    def _release_permit(self, source: Runner) -> None:
        self._context.placing.release_move_permit(self._attempt, source.id)

    async def _copy(self, source: Runner, destination: Runner) -> bool:
        started_s = trio.current_time()
        # Sent with the next report: the destination's memory is in use from the first call on, and
        # requests placed there meanwhile would be preempted.
        self._run.backup = destination.id
        tokens = self._run.request.prompt_tokens + self._run.generated_tokens - self._copied_tokens
        answer = await self._order_move(source, destination, stop=False)
        self._log_move(source, destination, answer, started_s, stop=False)
        if answer.outcome is not MoveOutcome.COPIED or not answer.handle:
            self._handle, self._run.backup = "", None
            self._copied_tokens = 0
            if answer.outcome is MoveOutcome.NO_CAPACITY:
                self._refused.append(destination.id)
            return False
        near = source.zone == destination.zone
        expected_s = copy_time_s(self._task.service.engine, tokens, near=near)
        took_s = trio.current_time() - started_s
        self._copy_was_queued = took_s > QUEUED_FACTOR * expected_s + QUEUED_MARGIN_S
        self._copied_tokens += tokens
        self._keep(source, destination, answer.handle)
        return True

    async def _stop(self, source: Runner, destination: Runner) -> bool:
        """Stop the run and copy its last part; return False if it goes on."""
        self._stopping = True
        self._stop_ended = trio.Event()
        try:
            outcome = await self._stop_run(source, destination)
            self._stopping = outcome not in _NOT_STOPPED
        finally:
            self._stop_ended.set()
        return self._stopping

    async def _stop_run(self, source: Runner, destination: Runner) -> MoveOutcome:
        # Reserved now: otherwise runs that stop concurrently would all count on the same capacity.
        self._context.send_bounds.record_sent(
            trio.current_time(), destination.id, SendOrigin.CONTINUED
        )
        started_s = trio.current_time()
        answer = await self._order_move(source, destination, stop=True)
        self._log_move(source, destination, answer, started_s, stop=True)
        self.found_no_run = answer.outcome is MoveOutcome.NO_SUCH_RUN
        self.has_stopped = bool(answer.handle)
        if self.has_stopped or self.found_no_run:
            self._handover.record_ended(source.id)
        if answer.outcome is MoveOutcome.COPIED and answer.handle:
            self._keep(source, destination, answer.handle, is_stopped=True)
        elif answer.handle:
            # If there was no capacity for the last part, the source keeps the run's memory and the
            # run continues there.
            self._keep(source, source, answer.handle)
        elif answer.outcome is MoveOutcome.FAILED:
            # The run may have stopped; the copy lacks its last part at most.
            self._keep(source, destination, self._handle, is_stopped=True)
        return answer.outcome

    def _keep(
        self, source: Runner, holder: Runner, handle: str, *, is_stopped: bool = False
    ) -> None:
        self._handle = handle
        kept_at = source.id if is_stopped else None
        self._on_saved(
            SavedCopy(holder.id, source.address, handle, is_reserved=is_stopped, kept_at=kept_at)
        )

    def _log_move(
        self,
        source: Runner,
        destination: Runner,
        answer: MoveAnswer,
        started_s: float,
        *,
        stop: bool,
    ) -> None:
        log(
            Event.MOVE_ENDED,
            request=self._attempt,
            source=source.id,
            destination=destination.id,
            stop=stop,
            outcome=answer.outcome.value,
            took_ms=round((trio.current_time() - started_s) * 1000),
        )

    async def _order_move(self, source: Runner, destination: Runner, *, stop: bool) -> MoveAnswer:
        head, body = move_request(source.address, self._attempt, destination.address, stop=stop)
        try:
            connection = await self._context.dialer.connect(source.address, CONNECT_TIMEOUT_S)
        except ConnectFailed as error:
            log(Event.CONNECT_FAILED, request=self._attempt, error=str(error))
            return MoveAnswer(MoveOutcome.NOT_SENT, "", 0)
        timeout_s = place_wait_s() if stop else COPY_TIMEOUT_S
        has_ended = partial(self._context.runners.is_gone, source.id)
        call = partial(exchange, connection, head, body, MAX_RESPONSE_BYTES)
        try:
            answer = await wait_for_answer(call, timeout_s, has_ended)
            if answer is not None:
                response, data = answer
                return move_answer(response.status, data)
            detail = "no answer in time"
        except (UpstreamBroken, BadBody) as error:
            detail = repr(error)
        finally:
            connection.close()
        log(Event.UPSTREAM_BROKEN, request=self._attempt, error=detail)
        return MoveAnswer(MoveOutcome.FAILED, "", 0)
