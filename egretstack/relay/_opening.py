"""Finds an engine that accepts a streaming request, up to its response head."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial

import trio

from egretstack.errors import ErrorKind
from egretstack.events import Event, log
from egretstack.fleet import Runner
from egretstack.http1 import (
    ConnectFailed,
    NotReached,
    ResponseHead,
    UpstreamBroken,
    UpstreamConnection,
)
from egretstack.ids import RunnerId
from egretstack.placing import GenerationRequest, Placement, Run, longest_wait_s
from egretstack.platform import runner_answer
from egretstack.relay._context import CONNECT_TIMEOUT_S, RelayContext, RelayTask
from egretstack.relay._engine_calls import is_valid_answer, send_to_engine
from egretstack.relay._execution_status import (
    ExecutionStatus,
    RequestFailed,
    crashes_runners,
    instance_leaves,
)
from egretstack.relay._handover import Handover
from egretstack.relay._patience import ASK_AGAIN_S, GO_ON_S
from egretstack.relay._runner_probes import RunnerSign
from egretstack.relay._send_limits import SendLimits
from egretstack.relay._timing import StreamTiming
from egretstack.relay._waiting import wait_for_answer

REFUSED_RETRY_S = 0.4
MAX_ENGINES = 3
"""Engines that are tried for a connection, and engines that may reject a request. A dead engine is
known to the whole fleet within a second or so."""


@dataclass(frozen=True, slots=True)
class _LateSend:
    """A run whose runner has not answered in time, and the connection to it, which is open."""

    run: Run
    connection: UpstreamConnection


class EngineOpening:
    """Opens one request's stream on an engine; `run` and `source` are set once it is connected."""

    def __init__(
        self,
        context: RelayContext,
        task: RelayTask,
        timing: StreamTiming,
        limits: SendLimits,
        handover: Handover,
    ) -> None:
        self._context = context
        self._task = task
        self._timing = timing
        self._limits = limits
        self._handover = handover
        self._execution = ExecutionStatus()
        self._excluded: tuple[RunnerId, ...] = ()
        """Runners that the request is not placed on any more."""
        self._probed: trio.Event | None = None
        """Set once it is known whether the latest send's runner has ended; None if that is not
        being found out."""
        self._is_late = False
        """Whether the latest send has no answer yet, but has not broken off."""
        self._late: _LateSend | None = None
        self.run: Run | None = None
        self.source: UpstreamConnection | None = None
        self.has_proven = False
        """Whether some runner has shown that the prompt crashes none."""
        self.sent_s = 0.0
        """When the request was last sent."""
        self.first_event_until_s = 0.0
        """When the first event of the latest send is due, so that another runner can follow."""

    async def head(self) -> ResponseHead:
        """Send the request to an engine and read the response head; retry elsewhere if rejected.

        A rejected request certainly did not run. If the rejection were passed on, the client would
        come back later and meet the same engine although others are free: an address that another
        runner has taken over rejects every request until the runner list shows the change. A send
        that failed is repeated elsewhere only on resumable routes. Raises RequestFailed.
        """
        try:
            return await self._open()
        except RequestFailed as error:
            raise self._execution.failure(
                error.kind, error.detail, retry_after_s=error.retry_after_s
            ) from error

    async def _open(self) -> ResponseHead:
        rejections = 0
        while True:
            late, self._late = self._late, None
            try:
                if not await self._connect_beside(late):
                    return await self._return_to(late)
            finally:
                if late is not None and late.connection is not self.source:
                    # A previous runner must not keep running beside the next one.
                    late.connection.close()
                    self._handover.record_left(late.run.runner)
            head, failure = await self._try_send()
            if head is not None and self._is_rejected(head):
                rejections += 1
                log(Event.ENGINE_REJECTED, request=self._attempt, runner=self.run.runner)
                self._leave_engine()
                if not self._may_place_again(rejections):
                    raise RequestFailed(
                        ErrorKind.ENGINES_FULL,
                        "rejected by the engine",
                        retry_after_s=REFUSED_RETRY_S,
                    )
                self._record_retry()
            elif head is not None and not self._has_failed(head):
                return head
            elif not self._may_repeat():
                if failure is not None:
                    raise failure
                return head
            else:
                await self._leave_failed_send()

    async def _connect_beside(self, late: _LateSend | None) -> bool:
        """Connect to an engine; return whether a late runner lets it have the request.

        Raises RequestFailed if there is neither.
        """
        try:
            await self.connect()
        except RequestFailed:
            if late is None:
                raise
            return False
        if late is None:
            return True
        return await self.has_answering_runner() and await self._handover.is_allowed()

    async def has_answering_runner(self) -> bool:
        """Return whether the runner of the current connection answers questions."""
        runner = self._context.runners.by_id.get(self.run.runner)
        return runner is not None and await self._context.probes.ask(runner) is RunnerSign.ANSWERS

    async def _try_send(self) -> tuple[ResponseHead | None, RequestFailed | None]:
        try:
            return await self.send(self._task.last_event_id), None
        except RequestFailed as error:
            return None, error

    def release_source(self) -> None:
        """Leave the connection to the caller, which keeps the run there until it goes on."""
        self.source = None

    def restore(self, run: Run) -> None:
        """Record again that a run is in progress where it was, as no other runner took it."""
        self.close()
        self.run = run
        self._context.placing.add_run(run)

    def exclude_current(self) -> None:
        """Close the connection and place the run elsewhere from now on: its stream broke off."""
        self._execution.mark_unknown()
        self._excluded = (*self._excluded, self.run.runner)
        if self.source is not None:
            self._close_source()
            self.source = None

    def _close_source(self) -> None:
        self.source.close()
        self._handover.record_left(self.run.runner)

    def _leave_engine(self) -> None:
        self._excluded = (*self._excluded, self.run.runner)
        self.close()

    async def _return_to(self, late: "_LateSend") -> ResponseHead:
        """Wait for the answer of a late runner, which keeps the request. Raises RequestFailed."""
        self.restore(late.run)
        self.source = late.connection
        return await self._read_answer(late.connection.read_head, self._task.time_left_s())

    async def _leave_failed_send(self) -> None:
        """Leave a send whose outcome is unknown, and wait until its runner was probed.

        A runner that is only late keeps its run until there is a place at another one.
        """
        log(Event.STREAM_SENT_AGAIN, request=self._attempt, source=self.run.runner)
        self._execution.mark_unknown()
        late = None
        if self._is_late and self.source.has_sent:
            late, self.source = _LateSend(self.run, self.source), None
        self._leave_engine()
        self._late = late
        # Recorded before the wait: other streams of the runner check the budget in the meantime.
        self._record_retry()
        await self.wait_until_probed()

    def _record_retry(self) -> None:
        self._context.budget.record_retry(trio.current_time(), self._task.service.name)

    async def wait_until_probed(self) -> None:
        """Wait until it is known whether the runner of a failed send has ended."""
        if self._probed is not None:
            await self._probed.wait()

    def _may_repeat(self) -> bool:
        """Return whether a request that may have run may be sent to one more runner."""
        return self._limits.allows(trio.current_time(), self._timing.waiting_since_s)

    def _has_failed(self, head: ResponseHead) -> bool:
        return head.status >= 500 or not is_valid_answer(self._task, runner_answer(head))

    def close(self) -> None:
        """Close the connection and remove the run, if there is one."""
        if self.run is not None:
            self._context.placing.remove_run(self.run)
        if self._late is not None:
            self._late.connection.close()
        if self.source is not None:
            self._close_source()
        self.run = self.source = self._late = None

    @property
    def _attempt(self) -> str:
        return self._task.request.attempt_id

    def resumed_tokens(self) -> int:
        """Return how much of the output the client has from earlier attempts, in tokens."""
        return self._context.resumed_tokens(self._task)

    def _generated_tokens(self) -> int:
        """Return the output that the next run continues after, in tokens."""
        return self.resumed_tokens() if self.run is None else self.run.generated_tokens

    def _times_to_wait_s(self) -> tuple[float, float]:
        """Return the time until the first token is late, and the time to wait for a place."""
        now_s = trio.current_time()
        if self._execution.may_have_run:
            since_s = self._timing.waiting_since_s
            patience_s = self._limits.patience_left_s(now_s, since_s)
            return patience_s, self._limits.place_wait_s(now_s, since_s)
        waited_s = now_s - self._task.received_s
        target_s = self._task.route.target_latency_s
        wait_s = longest_wait_s(target_s, waited_s, self._task.time_left_s())
        return max(0.0, target_s - waited_s), wait_s

    def _generation_request(self) -> GenerationRequest:
        generation, account = self._task.request.generation, self._task.account
        first_token_budget_s, max_wait_s = self._times_to_wait_s()
        return GenerationRequest(
            attempt=self._attempt,
            service=self._task.service.name,
            prompt_tokens=generation.prompt_tokens if generation else 0,
            max_output_tokens=generation.max_output_tokens if generation else 0,
            length_hint=generation.length_hint if generation else None,
            rank=self._task.rank,
            first_token_budget_s=first_token_budget_s,
            max_wait_s=max_wait_s,
            prompt_id=generation.prompt_id(account.name if account else "") if generation else "",
            excluded=self._excluded,
            account=account.name if account else "",
            zones=self._task.zones,
            gap_target_s=self._task.route.gap_target_s,
            time_left_s=self._task.time_left_s(),
            generated_tokens=self._generated_tokens(),
        )

    async def connect(self) -> None:
        """Connect to the engine that the request is placed on, or to another if that fails.

        Raises RequestFailed.
        """
        for _ in range(MAX_ENGINES):
            request = self._generation_request()
            placement = await self._place(request)
            runner = self._context.runners.by_id.get(placement.runner)
            try:
                if runner is not None and await self._connect_to(runner):
                    self.run = Run(
                        request, placement.runner, placement.backup, request.generated_tokens
                    )
                    self._context.placing.add_run(self.run)
                    self._check_refused()
                    return
            except ConnectFailed as error:
                log(Event.CONNECT_FAILED, request=request.attempt, error=str(error))
                if not isinstance(error, NotReached):
                    self._context.record_engine_result(placement.runner, broke=True)
            self._excluded = (*self._excluded, placement.runner)
        raise RequestFailed(
            ErrorKind.NO_RUNNER, "engines do not answer", retry_after_s=REFUSED_RETRY_S
        )

    async def _connect_to(self, runner: Runner) -> bool:
        """Connect to a runner; return whether it may get the request. Raises ConnectFailed."""
        if not self._may_run_at(runner):
            return False
        source = await self._context.dialer.connect(runner.address, CONNECT_TIMEOUT_S)
        if not self._may_run_at(runner):
            source.close()
            return False
        self.source = source
        return True

    def _may_run_at(self, runner: Runner) -> bool:
        """Return whether nothing known to this instance rules out a runner that the home chose."""
        runners = self._context.runners
        if runners.is_evacuated(runner.id) or runners.is_leaving(runner.id):
            return False
        return runner.id not in self._context.backoffs.in_backoff(trio.current_time())

    async def _place(self, request: GenerationRequest) -> Placement:
        """Wait for a placement, or for the request to be refused. Raises RequestFailed.

        On a leaving instance a request that has not run waits only as long as it could still end.
        """
        if self._execution.may_have_run or self._timing.events:
            return await self._wait_for_place(request)
        latest_send_s = partial(self._context.latest_send_s, self._task)
        with self._context.departure.waiting(latest_send_s):
            return await self._wait_for_place(request)
        raise instance_leaves()

    async def _wait_for_place(self, request: GenerationRequest) -> Placement:
        guard, fingerprint = self._context.crash_guard, self._task.fingerprint
        while True:
            self._check_refused()
            with (
                trio.CancelScope() as scope,
                guard.notify_when_refused(fingerprint, scope.cancel),
            ):
                return await self._context.placing.place(request, self._task.service.engine)

    def _check_refused(self) -> None:
        """Raise RequestFailed if the request, which has not run yet, may be sent to no runner."""
        refusal = self._context.crash_guard.refusal(self._task.fingerprint)
        if refusal is not None:
            raise crashes_runners(refusal)

    async def send(self, last_event_id: str) -> ResponseHead:
        """Send the request, to start after an event if one is given; raises RequestFailed."""
        self._timing.record_send()
        self._limits.record_send()
        self._probed = None
        self.sent_s = trio.current_time()
        self._handover.record_sent(self.run.runner)
        timeout_s = self._limits.first_event_timeout_s(self.sent_s, self._timing.waiting_since_s)
        self.first_event_until_s = self.sent_s + timeout_s
        call = partial(
            send_to_engine,
            self._context,
            self._task,
            self.run,
            self.source,
            last_event_id=last_event_id,
        )
        return await self._read_answer(call, timeout_s)

    async def _read_answer(
        self, read: Callable[[], Awaitable[ResponseHead]], timeout_s: float
    ) -> ResponseHead:
        """Return the answer's head; raises RequestFailed."""
        self._is_late = False
        try:
            head = await wait_for_answer(read, timeout_s)
            if head is None and self.source.has_sent:
                self._handover.record_silence(self.run.runner, timeout_s)
                head = await self._read_late_answer()
        except UpstreamBroken as error:
            self._context.record_engine_result(self.run.runner, broke=True)
            self._handover.record_ended(self.run.runner)
            self._record_broken()
            raise invalid_answer(self._task, self.run, str(error)) from error
        if head is None:
            self._is_late = True
            if self._task.time_left_s() > 0:
                self._record_broken()
            raise RequestFailed(ErrorKind.OUT_OF_TIME, "no answer in time")
        self._context.on_answer(self._task, self.run.runner, runner_answer(head), self.sent_s)
        if self._is_rejected(head):
            self._handover.record_ended(self.run.runner)
        else:
            self._handover.record_sign(self.run.runner)
        return head

    async def _read_late_answer(self) -> ResponseHead | None:
        """Read the head of an answer that is late, until its runner may be left.

        Raises UpstreamBroken.
        """
        read = self.source.read_head
        while self._may_repeat():
            may_be_left = await self._handover.is_allowed()
            head = await wait_for_answer(read, GO_ON_S if may_be_left else ASK_AGAIN_S)
            if head is not None:
                return head
            if may_be_left and self._may_repeat():
                return None
        return await wait_for_answer(read, max(0.0, self._task.time_left_s()))

    def _record_broken(self) -> None:
        self._probed = self._context.crash_guard.record_broken_run(
            self._attempt,
            self._task.fingerprint,
            self.run.runner,
            self.sent_s,
            has_proven=self.has_proven,
        )

    def _is_rejected(self, head: ResponseHead) -> bool:
        answer = runner_answer(head)
        return answer.rejected and answer.attempt_id in ("", self._attempt)

    def _may_place_again(self, rejections: int) -> bool:
        if rejections >= MAX_ENGINES or self._task.time_left_s() <= 0:
            return False
        if self._execution.may_have_run:
            return self._may_repeat()
        return self._context.budget.allows(trio.current_time(), self._task.service.name)


def invalid_answer(task: RelayTask, run: Run, detail: str) -> RequestFailed:
    """Log why an engine's response is invalid and return the failure; the request may have run."""
    log(Event.ANSWER_SPOILT, request=task.request.attempt_id, runner=run.runner, detail=detail)
    return RequestFailed(ErrorKind.OUTCOME_UNKNOWN, detail)
