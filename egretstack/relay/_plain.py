"""Relays requests whose response is buffered completely before its first byte goes to the client.

A response that turns out to be invalid has not been seen by the client, so the request can be
retried or reported as failed.
"""

from dataclasses import dataclass, field
from enum import Enum

import trio

from egretstack.errors import ErrorKind
from egretstack.events import Event, log
from egretstack.fleet import Runner
from egretstack.http1 import (
    AnswerMemoryFull,
    AnswerReservation,
    ConnectFailed,
    NotReached,
    ResponseHead,
    UpstreamBroken,
    UpstreamConnection,
    exchange,
)
from egretstack.ids import RunnerId
from egretstack.placing import SendOrigin
from egretstack.platform import client_head, runner_answer, runner_request
from egretstack.relay._context import CONNECT_TIMEOUT_S, RelayContext, RelayTask
from egretstack.relay._crash_guard import Refusal
from egretstack.relay._execution_status import ExecutionStatus, RequestFailed, instance_leaves
from egretstack.traffic import RunnerAnswer

MAX_RESPONSE_BYTES = 16_777_216
RETRYABLE_SEND_SHARE = 0.45
"""Share of the remaining time that a send may take if the request can be retried.

Without it, a runner that hangs would use up the time that a second one needs.
"""
MIN_SEND_S = 0.02
"""With less time than this a request is not sent: no runner answers faster."""
MAX_CONNECT_ATTEMPTS = 3
BRIEF_WAIT_S = 0.03
"""A runner that may get a request within this time is waited for."""
WAIT_SHARE = 0.25
"""Share of the remaining time for which a call waits so."""
NO_RUNNER_RETRY_S = 0.5
REJECTED_RETRY_S = 0.2
MAX_RETRY_AFTER_S = 10.0
"""Longest Retry-After for callers that wait for runners at their request limit."""


@dataclass(frozen=True)
class BufferedResponse:
    """A runner's complete and valid response."""

    head: ResponseHead
    body: bytes


class _Result(Enum):
    ANSWERED = "answered"
    FAILED = "failed"
    """The runner ran the request and responded with an error of its own."""
    NOT_SENT = "not-sent"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


@dataclass
class _Progress:
    execution: ExecutionStatus = field(default_factory=ExecutionStatus)
    sends: int = 0
    connect_attempts: int = 0
    excluded: set[RunnerId] = field(default_factory=set)
    failure: BufferedResponse | None = None
    """A runner's own error response, forwarded if no other send succeeds."""
    has_answer: bool = False
    in_flight: bool = False
    """Whether the balancer counts a send as in progress."""


class PlainRelay:
    """Sends one request and retries it only where that is allowed."""

    def __init__(self, context: RelayContext, memory: AnswerReservation) -> None:
        self._context = context
        self._memory = memory

    async def serve(self, task: RelayTask) -> BufferedResponse:
        """Return a runner's response. Raises RequestFailed."""
        progress = _Progress()
        began_s = trio.current_time()
        try:
            return await self._serve(task, progress)
        finally:
            now_s = trio.current_time()
            if progress.has_answer or now_s >= task.deadline_s:
                self._context.call_durations.record(now_s, task.route.name, now_s - began_s)

    async def _serve(self, task: RelayTask, progress: _Progress) -> BufferedResponse:
        while True:
            if not progress.execution.may_have_run:
                self._check_time_left(task)
            refusal = self._context.crash_guard.refusal(task.fingerprint)
            if refusal is not None:
                return self._refuse(progress, refusal)
            runner = await self._choose_or_wait(task, progress)
            if runner is None or task.time_left_s() < MIN_SEND_S:
                return self._give_up(task, progress, "no runner to send to")
            result, response = await self._send(task, runner, progress)
            log(
                Event.SEND_ENDED,
                request=task.request.attempt_id,
                runner=runner.id,
                result=result.value,
                send=progress.sends,
            )
            if result is _Result.ANSWERED:
                progress.has_answer = True
                return response
            progress.excluded.add(runner.id)
            if result is _Result.FAILED:
                progress.failure = response
            if not self._may_send_again(task, progress, result):
                return self._give_up(task, progress, result.value)

    def _check_time_left(self, task: RelayTask) -> None:
        """Raise RequestFailed if this instance leaves before the task would surely end."""
        if trio.current_time() > self._context.latest_send_s(task):
            raise instance_leaves()

    async def _choose_or_wait(self, task: RelayTask, progress: _Progress) -> Runner | None:
        """Choose a runner; wait for one if that takes no longer than a refusal is worth."""
        until_s = trio.current_time() + WAIT_SHARE * task.time_left_s()
        while True:
            runner = self._choose(task, progress)
            if runner is not None or trio.current_time() >= until_s:
                return runner
            wait_s = self._time_until_allowed_s(task)
            if not 0.0 < wait_s <= BRIEF_WAIT_S:
                return None
            await trio.sleep(wait_s)
            if not progress.execution.may_have_run:
                self._check_time_left(task)

    def _choose(self, task: RelayTask, progress: _Progress) -> Runner | None:
        now_s = trio.current_time()
        candidates = [
            runner
            for runner in self._usable(task)
            if runner.id not in progress.excluded
            and self._context.send_bounds.allows(now_s, runner, SendOrigin.PLAIN)
        ]
        return self._context.balancer.choose(
            now_s,
            candidates,
            self._context.runners.suspects,
            repeatable=task.route.is_idempotent,
        )

    def _usable(self, task: RelayTask) -> list[Runner]:
        """Return the runners that may run a task, whatever their load."""
        ready = self._context.runners.ready(task.service.name)
        return [runner for runner in ready if task.zones is None or runner.zone in task.zones]

    def _time_until_allowed_s(self, task: RelayTask) -> float:
        """Return the time until a runner may get one more request; 0 if now or if there is none."""
        now_s, bounds = trio.current_time(), self._context.send_bounds
        times = (
            bounds.time_until_allowed_s(now_s, runner, SendOrigin.PLAIN)
            for runner in self._usable(task)
        )
        return min(MAX_RETRY_AFTER_S, min(times, default=0.0))

    def _may_send_again(self, task: RelayTask, progress: _Progress, result: _Result) -> bool:
        if result is _Result.NOT_SENT:
            return progress.connect_attempts < MAX_CONNECT_ATTEMPTS
        if progress.sends >= task.route.max_sends:
            return False
        if result is not _Result.REJECTED and not task.route.is_idempotent:
            return False
        return self._context.budget.allows(trio.current_time(), task.service.name)

    @staticmethod
    def _refuse(progress: _Progress, refusal: Refusal) -> BufferedResponse:
        if progress.failure is not None:
            return progress.failure
        raise progress.execution.failure(refusal.kind, refusal.detail)

    def _give_up(self, task: RelayTask, progress: _Progress, detail: str) -> BufferedResponse:
        if progress.failure is not None:
            return progress.failure
        if task.time_left_s() < MIN_SEND_S and progress.execution.may_have_run:
            raise RequestFailed(ErrorKind.OUT_OF_TIME, detail)
        retry_after_s = self._time_until_allowed_s(task)
        if progress.sends:
            raise progress.execution.failure(
                ErrorKind.ENGINES_FULL, detail, retry_after_s=max(REJECTED_RETRY_S, retry_after_s)
            )
        if retry_after_s:
            raise RequestFailed(ErrorKind.RUNNERS_LIMITED, detail, retry_after_s=retry_after_s)
        raise RequestFailed(ErrorKind.NO_RUNNER, detail, retry_after_s=NO_RUNNER_RETRY_S)

    async def _send(
        self, task: RelayTask, runner: Runner, progress: _Progress
    ) -> tuple[_Result, BufferedResponse | None]:
        try:
            connection = await self._connect(task, runner)
        except ConnectFailed as error:
            log(Event.CONNECT_FAILED, request=task.request.attempt_id, error=str(error))
            progress.connect_attempts += 1
            if not isinstance(error, NotReached):
                self._context.balancer.record_unreachable(trio.current_time(), runner.id)
                self._context.on_runner_failure()
            return _Result.NOT_SENT, None
        if self._context.crash_guard.is_refused(task.fingerprint):
            connection.close()
            return _Result.NOT_SENT, None
        may_send = self._context.runners.is_ready(runner.id) and self._context.send_bounds.allows(
            trio.current_time(), runner, SendOrigin.PLAIN
        )
        if not may_send:
            self._context.pool.release(connection)
            return _Result.NOT_SENT, None
        progress.sends += 1
        if progress.sends > 1:
            self._context.budget.record_retry(trio.current_time(), task.service.name)
        self._context.balancer.record_sent(runner.id)
        progress.in_flight = True
        self._context.send_bounds.record_sent(trio.current_time(), runner.id, SendOrigin.PLAIN)
        sent_s = trio.current_time()
        try:
            return await self._exchange(task, runner, connection, progress)
        except BaseException:
            # The client disconnected or the process is ending; closing cancels the runner's work.
            connection.close()
            self._ended(runner, progress, failed=False)
            if not self._context.runners.is_ready(runner.id):
                self._record_broken(task, runner, sent_s)
            raise

    async def _connect(self, task: RelayTask, runner: Runner) -> UpstreamConnection:
        timeout_s = min(CONNECT_TIMEOUT_S, max(MIN_SEND_S, task.time_left_s()))
        if task.route.is_idempotent:
            return await self._context.pool.acquire(runner.address, timeout_s)
        # A pooled connection may be dead without any sign. A request sent on it may have run, and
        # one that is not idempotent could then neither be retried nor be reported as not run.
        return await self._context.dialer.connect(runner.address, timeout_s)

    async def _exchange(
        self, task: RelayTask, runner: Runner, connection: UpstreamConnection, progress: _Progress
    ) -> tuple[_Result, BufferedResponse | None]:
        sent_s = trio.current_time()
        options = task.send_options(runner, last_event_id=task.last_event_id or None)
        head = runner_request(task.request, options)
        try:
            with trio.fail_after(self._send_timeout_s(task, progress)):
                response, body = await exchange(
                    connection, head, task.request.body, MAX_RESPONSE_BYTES, self._memory
                )
        except AnswerMemoryFull as error:
            connection.close()
            progress.execution.mark_unknown()
            self._ended(runner, progress, failed=False)
            log(Event.UPSTREAM_BROKEN, request=task.request.attempt_id, error=repr(error))
            return _Result.UNKNOWN, None
        except (UpstreamBroken, trio.TooSlowError) as error:
            connection.close()
            progress.execution.mark_unknown()
            self._record_failure(runner)
            self._ended(runner, progress, failed=True)
            await self._record_broken(task, runner, sent_s).wait()
            log(Event.UPSTREAM_BROKEN, request=task.request.attempt_id, error=repr(error))
            return _Result.UNKNOWN, None
        self._context.balancer.recent_answers.record(trio.current_time(), runner.id, broke=False)
        answer = runner_answer(response)
        self._context.on_answer(task, runner.id, answer, sent_s)
        result = _classify(task, answer)
        if result is _Result.UNKNOWN:
            connection.close()
            progress.execution.mark_unknown()
            log(
                Event.ANSWER_SPOILT,
                request=task.request.attempt_id,
                runner=runner.id,
                status=response.status,
                answered=answer.attempt_id,
                sealed=answer.sealed,
            )
        else:
            self._context.pool.release(connection)
        if result is _Result.FAILED:
            progress.execution.mark_unknown()
        if result in (_Result.ANSWERED, _Result.FAILED):
            self._context.crash_guard.record_answered(task.fingerprint)
        if result is _Result.ANSWERED:
            self._context.crash_guard.record_writing(task.fingerprint, sent_s)
        progress.in_flight = False
        if answer.backoff_s is not None:
            self._context.balancer.record_rejected(runner.id)
            return result, BufferedResponse(client_head(answer), body)
        if result is _Result.ANSWERED:
            self._context.balancer.record_call_time(
                trio.current_time(), runner, trio.current_time() - sent_s, answer.load
            )
        self._context.balancer.record_ended(
            trio.current_time(),
            runner.id,
            failed=result is not _Result.ANSWERED,
            latency_s=trio.current_time() - sent_s if result is _Result.ANSWERED else None,
            load=answer.load,
        )
        return result, BufferedResponse(client_head(answer), body)

    def _send_timeout_s(self, task: RelayTask, progress: _Progress) -> float:
        left_s = max(MIN_SEND_S, task.time_left_s())
        can_retry = task.route.is_idempotent and progress.sends < task.route.max_sends
        return left_s * RETRYABLE_SEND_SHARE if can_retry else left_s

    def _record_broken(self, task: RelayTask, runner: Runner, sent_s: float) -> trio.Event:
        attempt = task.request.attempt_id
        return self._context.crash_guard.record_broken_run(
            attempt, task.fingerprint, runner.id, sent_s
        )

    def _record_failure(self, runner: Runner) -> None:
        self._context.balancer.recent_answers.record(trio.current_time(), runner.id, broke=True)
        self._context.on_runner_failure()

    def _ended(self, runner: Runner, progress: _Progress, *, failed: bool) -> None:
        """Record the end of a send, unless it was recorded before."""
        if progress.in_flight:
            progress.in_flight = False
            self._context.balancer.record_ended(trio.current_time(), runner.id, failed=failed)


def _classify(task: RelayTask, answer: RunnerAnswer) -> _Result:
    """Classify a response; one that is not certainly the response to this request is UNKNOWN."""
    if answer.attempt_id != task.request.attempt_id and not answer.rejected:
        return _Result.UNKNOWN
    if answer.attempt_id and answer.attempt_id != task.request.attempt_id:
        return _Result.UNKNOWN
    if answer.rejected:
        return _Result.REJECTED
    if not answer.sealed or answer.encoded or implies_not_run(answer.head.status):
        return _Result.UNKNOWN
    return _Result.FAILED if answer.head.status >= 500 else _Result.ANSWERED


def implies_not_run(status: int) -> bool:
    """Return whether clients take a status to mean that the request did not run.

    A runner that sends such a status without marking the request as not executed has not promised
    that; forwarded to the client, the status would.
    """
    return status in (408, 421, 429, 503)
