"""Finds an engine that runs a request for a stream, up to the head of its answer."""

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
from egretstack.ids import RunnerId
from egretstack.placing import GenerationRequest, Placement, Run, longest_wait_s
from egretstack.platform import runner_answer
from egretstack.relay._engine_calls import ask_engine
from egretstack.relay._knowledge import RequestFailed, crashes_runners
from egretstack.relay._pace import StreamPace
from egretstack.relay._tools import CONNECT_TIMEOUT_S, RelayTools, Task

REFUSED_RETRY_S = 0.4
MAX_PLACES = 3
"""Engines that are tried for a connection, and that may reject a request; a dead one is known to
all within a second or so."""


class EngineOpening:
    """One request's way to an engine; `run` and `source` are set once it has one."""

    def __init__(self, tools: RelayTools, task: Task, pace: StreamPace) -> None:
        self._tools = tools
        self._task = task
        self._pace = pace
        self.run: Run | None = None
        self.source: UpstreamConnection | None = None
        self.sent_s = 0.0
        """When the request was last sent."""

    async def head(self) -> ResponseHead:
        """Send the request to an engine, and read the head of its answer; to another if it rejects.

        A rejected request surely did not run. Refused to the client, it would come back later and
        find the same engine, though others are free: an address that another runner has taken over
        rejects every request until the list tells of it. Raises RequestFailed.
        """
        excluded: tuple[RunnerId, ...] = ()
        while True:
            await self._connect(excluded)
            self._check_refused()
            head = await self._ask()
            self._tools.heard(self._task, self.run.runner, runner_answer(head), self.sent_s)
            if not self._is_rejected(head):
                return head
            excluded = (*excluded, self.run.runner)
            log(Event.ENGINE_REJECTED, request=self._attempt, runner=self.run.runner)
            self.close()
            if not self._may_place_again(len(excluded)):
                raise RequestFailed(
                    ErrorKind.ENGINES_FULL, "rejected by the engine", retry_after_s=REFUSED_RETRY_S
                )
            self._tools.budget.repeated(trio.current_time(), self._task.service.name)

    def close(self) -> None:
        """Leave the engine, if there is one."""
        if self.run is not None:
            self._tools.placing.end(self.run)
        if self.source is not None:
            self.source.close()
        self.run = self.source = None

    @property
    def _attempt(self) -> str:
        return self._task.request.attempt_id

    def _work(self, excluded: tuple[RunnerId, ...]) -> GenerationRequest:
        wants, account = self._task.request.generation, self._task.account
        waited_s = trio.current_time() - self._task.began_s
        target_s = self._task.route.target_latency_s
        return GenerationRequest(
            attempt=self._attempt,
            service=self._task.service.name,
            prompt_tokens=wants.prompt_tokens if wants else 0,
            max_output_tokens=wants.max_output_tokens if wants else 0,
            length_hint=wants.length_hint if wants else None,
            rank=self._task.rank,
            first_token_budget_s=max(0.0, target_s - waited_s),
            max_wait_s=longest_wait_s(target_s, waited_s, self._task.time_left_s()),
            prompt_id=wants.prompt_id(account.name if account else "") if wants else "",
            excluded=excluded,
            account=account.name if account else "",
            zones=self._task.zones,
        )

    async def _connect(self, excluded: tuple[RunnerId, ...]) -> None:
        """Connect to the engine that the request is placed at; to another if it is gone."""
        for _ in range(MAX_PLACES):
            work = self._work(excluded)
            placement = await self._place(work)
            runner = self._tools.runners.by_id.get(placement.runner)
            try:
                if runner is not None and self._may_run_at(runner):
                    self.source = await connect_upstream(runner.address, CONNECT_TIMEOUT_S)
                    self.run = Run(work, placement.runner, placement.backup)
                    self._tools.placing.begin(self.run)
                    return
            except ConnectFailed as error:
                log(Event.CONNECT_FAILED, request=work.attempt, error=str(error))
                self._tools.note_engine(placement.runner, broke=True)
            excluded = (*excluded, placement.runner)
        raise RequestFailed(
            ErrorKind.NO_RUNNER, "engines do not answer", retry_after_s=REFUSED_RETRY_S
        )

    def _may_run_at(self, runner: Runner) -> bool:
        """Tell whether a runner that the home chose may be used, as far as is known here."""
        runners = self._tools.runners
        if runners.is_evacuated(runner.id) or runners.is_leaving(runner.id):
            return False
        return runner.id not in self._tools.rests.in_backoff(trio.current_time())

    async def _place(self, work: GenerationRequest) -> Placement:
        """Wait for a place, or for the request to be refused. Raises RequestFailed."""
        self._check_refused()
        with (
            trio.CancelScope() as scope,
            self._tools.crashes.told_when_refused(self._task.content, scope.cancel),
        ):
            return await self._tools.placing.place(work, self._task.service.engine)
        raise crashes_runners()

    def _check_refused(self) -> None:
        """Raise RequestFailed if no runner may get the request, which has not run."""
        if self._tools.crashes.refuses(self._task.content):
            raise crashes_runners()

    async def _ask(self) -> ResponseHead:
        self._pace.sent()
        self.sent_s = trio.current_time()
        try:
            with trio.fail_after(max(0.0, self._task.time_left_s())):
                return await ask_engine(self._tools, self._task, self.run, self.source)
        except UpstreamBroken as error:
            self._tools.note_engine(self.run.runner, broke=True)
            self._tools.crashes.broke(
                self._attempt, self._task.content, self.run.runner, self.sent_s
            )
            raise answer_spoilt(self._task, self.run, str(error)) from error
        except trio.TooSlowError as error:
            raise RequestFailed(ErrorKind.OUT_OF_TIME, "no answer in time") from error

    def _is_rejected(self, head: ResponseHead) -> bool:
        answer = runner_answer(head)
        return answer.rejected and answer.attempt_id in ("", self._attempt)

    def _may_place_again(self, rejections: int) -> bool:
        if rejections >= MAX_PLACES or self._task.time_left_s() <= 0:
            return False
        return self._tools.budget.allows(trio.current_time(), self._task.service.name)


def answer_spoilt(task: Task, run: Run, detail: str) -> RequestFailed:
    """Log what is wrong with an engine's answer, and give the failure; the request may have run."""
    log(Event.ANSWER_SPOILT, request=task.request.attempt_id, runner=run.runner, detail=detail)
    return RequestFailed(ErrorKind.OUTCOME_UNKNOWN, detail)
