"""Relays a request whose answer is read whole before the first byte goes to the client.

An answer that turns out spoilt has then not been seen by anyone, and can be asked for again or
truthfully failed.
"""

from dataclasses import dataclass, field
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
    exchange,
)
from egretstack.ids import RunnerId
from egretstack.placing import SendOrigin
from egretstack.platform import client_head, runner_answer, runner_request
from egretstack.relay._knowledge import CRASHES_DETAIL, RequestFailed, RunKnowledge
from egretstack.relay._tools import CONNECT_TIMEOUT_S, RelayTools, Task
from egretstack.routing import RouteKind
from egretstack.traffic import RunnerAnswer

MAX_ANSWER_BYTES = 16_777_216
FIRST_TRY_SHARE = 0.45
"""Part of the time left that a send may take when the request can be sent once more.

A runner that hangs would otherwise use up all the time that a second one needs.
"""
LEAST_SEND_S = 0.02
"""Less time than this is not worth a send: no runner answers sooner."""
MAX_CONNECT_TRIES = 3
NO_RUNNER_RETRY_S = 0.5
REJECTED_RETRY_S = 0.2
MOST_RETRY_S = 10.0
"""Longest time that a caller is told to wait for runners which take no more requests now."""


@dataclass(frozen=True)
class WholeAnswer:
    """A runner's answer, read whole and found sound."""

    head: ResponseHead
    body: bytes


class _Result(Enum):
    ANSWERED = "answered"
    FAILED = "failed"
    """The runner ran it and answered with a failure of its own."""
    NOT_SENT = "not-sent"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


@dataclass
class _Progress:
    knowledge: RunKnowledge = field(default_factory=RunKnowledge)
    sends: int = 0
    connect_tries: int = 0
    excluded: set[RunnerId] = field(default_factory=set)
    failure: WholeAnswer | None = None
    """A runner's own failure, passed on if nothing better comes."""


class PlainRelay:
    """Sends one request, more than once only where that is allowed."""

    def __init__(self, tools: RelayTools) -> None:
        self._tools = tools

    async def serve(self, task: Task) -> WholeAnswer:
        """Give a runner's answer. Raises RequestFailed."""
        progress = _Progress()
        while True:
            if self._tools.crashes.refuses(task.content):
                return self._refuse(progress)
            runner = self._choose(task, progress)
            if runner is None or task.time_left_s() < LEAST_SEND_S:
                return self._give_up(task, progress, "no runner to send to")
            result, answer = await self._send(task, runner, progress)
            log(
                Event.SEND_ENDED,
                request=task.request.attempt_id,
                runner=runner.id,
                result=result.value,
                send=progress.sends,
            )
            if result is _Result.ANSWERED:
                return answer
            progress.excluded.add(runner.id)
            if result is _Result.FAILED:
                progress.failure = answer
            if not self._may_send_again(task, progress, result):
                return self._give_up(task, progress, result.value)

    def _choose(self, task: Task, progress: _Progress) -> Runner | None:
        now_s = trio.current_time()
        fresh = [
            runner
            for runner in self._usable(task)
            if runner.id not in progress.excluded
            and self._tools.bounds.allows(now_s, runner, SendOrigin.PLAIN)
        ]
        return self._tools.balancer.choose(
            now_s,
            fresh,
            self._tools.runners.suspects,
            repeatable=task.route.kind is RouteKind.IDEMPOTENT,
        )

    def _usable(self, task: Task) -> list[Runner]:
        """Give the runners that may run a task, whatever else they have to do."""
        ready = self._tools.runners.ready(task.service.name)
        return [one for one in ready if task.zones is None or one.zone in task.zones]

    def _free_after_s(self, task: Task) -> float:
        """Give when some runner may get one more request; 0 if now, or if there is none."""
        now_s, bounds = trio.current_time(), self._tools.bounds
        times = (
            bounds.time_until_allowed_s(now_s, one, SendOrigin.PLAIN) for one in self._usable(task)
        )
        return min(MOST_RETRY_S, min(times, default=0.0))

    def _may_send_again(self, task: Task, progress: _Progress, result: _Result) -> bool:
        if result is _Result.NOT_SENT:
            return progress.connect_tries < MAX_CONNECT_TRIES
        if progress.sends >= task.route.max_sends:
            return False
        if result is not _Result.REJECTED and task.route.kind is not RouteKind.IDEMPOTENT:
            return False
        return self._tools.budget.allows(trio.current_time(), task.service.name)

    @staticmethod
    def _refuse(progress: _Progress) -> WholeAnswer:
        if progress.failure is not None:
            return progress.failure
        raise progress.knowledge.failure(ErrorKind.CRASHES_RUNNERS, CRASHES_DETAIL)

    def _give_up(self, task: Task, progress: _Progress, detail: str) -> WholeAnswer:
        if progress.failure is not None:
            return progress.failure
        if task.time_left_s() < LEAST_SEND_S and progress.knowledge.may_have_run:
            raise RequestFailed(ErrorKind.OUT_OF_TIME, detail)
        free_s = self._free_after_s(task)
        if progress.sends:
            raise progress.knowledge.failure(
                ErrorKind.ENGINES_FULL, detail, retry_after_s=max(REJECTED_RETRY_S, free_s)
            )
        if free_s:
            raise RequestFailed(ErrorKind.RUNNERS_LIMITED, detail, retry_after_s=free_s)
        raise RequestFailed(ErrorKind.NO_RUNNER, detail, retry_after_s=NO_RUNNER_RETRY_S)

    async def _send(
        self, task: Task, runner: Runner, progress: _Progress
    ) -> tuple[_Result, WholeAnswer | None]:
        try:
            connection = await self._connect(task, runner)
        except ConnectFailed as error:
            log(Event.CONNECT_FAILED, request=task.request.attempt_id, error=str(error))
            progress.connect_tries += 1
            self._tools.balancer.record_unreachable(trio.current_time(), runner.id)
            self._tools.on_break()
            return _Result.NOT_SENT, None
        if self._tools.crashes.refuses(task.content):
            connection.close()
            return _Result.NOT_SENT, None
        if not self._tools.bounds.allows(trio.current_time(), runner, SendOrigin.PLAIN):
            self._tools.pool.give_back(connection)
            return _Result.NOT_SENT, None
        progress.sends += 1
        if progress.sends > 1:
            self._tools.budget.repeated(trio.current_time(), task.service.name)
        self._tools.balancer.record_sent(runner.id)
        self._tools.bounds.record_sent(trio.current_time(), runner.id, SendOrigin.PLAIN)
        began_s = trio.current_time()
        try:
            return await self._exchange(task, runner, connection, progress)
        except BaseException:
            # The client left or the process ends; closing tells the runner to stop.
            connection.close()
            self._ended(runner, failed=False)
            if not self._tools.runners.is_ready(runner.id):
                self._note_broken(task, runner, began_s)
            raise

    async def _connect(self, task: Task, runner: Runner) -> UpstreamConnection:
        timeout_s = min(CONNECT_TIMEOUT_S, max(LEAST_SEND_S, task.time_left_s()))
        if task.route.kind is RouteKind.IDEMPOTENT:
            return await self._tools.pool.take(runner.address, timeout_s)
        # A kept connection may be dead without a sign. What was sent on it may have run, and such
        # a request could then neither be sent again nor be called not run.
        return await connect_upstream(runner.address, timeout_s)

    async def _exchange(
        self, task: Task, runner: Runner, connection: UpstreamConnection, progress: _Progress
    ) -> tuple[_Result, WholeAnswer | None]:
        began_s = trio.current_time()
        head = runner_request(task.request, task.terms(runner))
        try:
            with trio.fail_after(self._send_time_s(task, progress)):
                answer, body = await exchange(connection, head, task.request.body, MAX_ANSWER_BYTES)
        except (UpstreamBroken, trio.TooSlowError) as error:
            connection.close()
            progress.knowledge.unknown()
            self._broke(runner)
            self._ended(runner, failed=True)
            await self._note_broken(task, runner, began_s).wait()
            log(Event.UPSTREAM_BROKEN, request=task.request.attempt_id, error=repr(error))
            return _Result.UNKNOWN, None
        self._tools.balancer.recent_answers.record(trio.current_time(), runner.id, broke=False)
        judged = runner_answer(answer)
        self._tools.heard(task, runner.id, judged, began_s)
        result = _judge(task, judged)
        if result is _Result.UNKNOWN:
            connection.close()
            progress.knowledge.unknown()
            log(
                Event.ANSWER_SPOILT,
                request=task.request.attempt_id,
                runner=runner.id,
                status=answer.status,
                answered=judged.attempt_id,
                sealed=judged.sealed,
            )
        else:
            self._tools.pool.give_back(connection)
        if result is _Result.FAILED:
            progress.knowledge.unknown()
        if result in (_Result.ANSWERED, _Result.FAILED):
            self._tools.crashes.answered(task.content)
        if judged.rest_s is not None:
            self._tools.balancer.record_rejected(runner.id)
            return result, WholeAnswer(client_head(judged), body)
        self._tools.balancer.record_ended(
            trio.current_time(),
            runner.id,
            failed=result is not _Result.ANSWERED,
            latency_s=trio.current_time() - began_s if result is _Result.ANSWERED else None,
            load=judged.load,
        )
        return result, WholeAnswer(client_head(judged), body)

    def _send_time_s(self, task: Task, progress: _Progress) -> float:
        left_s = max(LEAST_SEND_S, task.time_left_s())
        again = task.route.kind is RouteKind.IDEMPOTENT and progress.sends < task.route.max_sends
        return left_s * FIRST_TRY_SHARE if again else left_s

    def _note_broken(self, task: Task, runner: Runner, sent_s: float) -> trio.Event:
        attempt = task.request.attempt_id
        return self._tools.crashes.broke(attempt, task.content, runner.id, sent_s)

    def _broke(self, runner: Runner) -> None:
        self._tools.balancer.recent_answers.record(trio.current_time(), runner.id, broke=True)
        self._tools.on_break()

    def _ended(self, runner: Runner, *, failed: bool) -> None:
        self._tools.balancer.record_ended(trio.current_time(), runner.id, failed=failed)


def _judge(task: Task, answer: RunnerAnswer) -> _Result:
    """Tell what an answer is worth; what is not surely this request's own answer is nothing."""
    if answer.attempt_id != task.request.attempt_id and not answer.rejected:
        return _Result.UNKNOWN
    if answer.attempt_id and answer.attempt_id != task.request.attempt_id:
        return _Result.UNKNOWN
    if answer.rejected:
        return _Result.REJECTED
    if not answer.sealed or answer.encoded or promises_not_run(answer.head.status):
        return _Result.UNKNOWN
    return _Result.FAILED if answer.head.status >= 500 else _Result.ANSWERED


def promises_not_run(status: int) -> bool:
    """Tell whether clients take a status for a promise that the request did not run.

    A runner that sends one without saying so has not made that promise; passed on, it would.
    """
    return status in (408, 421, 429, 503)
