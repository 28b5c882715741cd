"""Sends a streaming request to an engine, to start a run or to continue one from a copy."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum
from functools import partial

import trio

from egretstack.events import Event, log
from egretstack.fleet import Runner
from egretstack.http1 import (
    ConnectFailed,
    ResponseHead,
    UpstreamBroken,
    UpstreamConnection,
)
from egretstack.placing import Run, SendOrigin
from egretstack.platform import runner_answer, runner_request
from egretstack.relay._context import CONNECT_TIMEOUT_S, RelayContext, RelayTask
from egretstack.relay._patience import ASK_AGAIN_S
from egretstack.relay._plain import implies_not_run
from egretstack.relay._waiting import wait_for_answer
from egretstack.traffic import ContinueFrom, RunnerAnswer


class ContinueOutcome(Enum):
    """What is known of a run after an engine was asked to continue it."""

    CONTINUED = "continued"
    REFUSED = "refused"
    """It does not run there, and never will from this copy."""
    NOT_SENT = "not-sent"
    """The engine was not asked, so the copy is as it was."""
    ENDED = "ended"
    """The connection or the engine ended, or the answer is none to this request: the copy may be
    used up, and the engine no longer works on the run."""
    UNANSWERED = "unanswered"
    """The connection was closed before the answer, which ends the engine's work on the run. The
    copy may be used up."""


@dataclass(frozen=True, slots=True)
class ContinueResult:
    """The result of asking an engine to continue a run."""

    outcome: ContinueOutcome
    connection: UpstreamConnection | None = None
    """Connection on which the run continues, if it does."""


async def send_to_engine(
    context: RelayContext,
    task: RelayTask,
    run: Run,
    connection: UpstreamConnection,
    origin: ContinueFrom | None = None,
    last_event_id: str = "",
) -> ResponseHead:
    """Send the request to the run's engine and read the response head.

    Without an `origin`, a new run starts, after the event `last_event_id` if that is given. Raises
    UpstreamBroken.
    """
    backup = context.runners.by_id.get(run.backup) if run.backup else None
    terms = task.send_options(
        context.runners.by_id[run.runner],
        priority=task.priority,
        backup_address=None if backup is None else backup.address,
        continue_from=origin,
        last_event_id=last_event_id or None,
    )
    await connection.send(runner_request(task.request, terms), task.request.body)
    return await connection.read_head()


async def continue_on(
    context: RelayContext,
    task: RelayTask,
    run: Run,
    runner: Runner,
    origin: ContinueFrom,
    *,
    is_reserved: bool,
    limit_s: float,
    may_leave: Callable[[], Awaitable[bool]] | None = None,
) -> ContinueResult:
    """Ask an engine that has a run's copy to continue it, and wait up to a limit for its answer.

    `is_reserved`: the engine's send bounds have counted this request already. `may_leave`: asked
    each `ASK_AGAIN_S`, whether the engine may be left; None to leave it at the limit.
    """
    try:
        connection = await context.dialer.connect(runner.address, CONNECT_TIMEOUT_S)
    except ConnectFailed as error:
        log(Event.CONNECT_FAILED, request=task.request.attempt_id, error=str(error))
        return ContinueResult(ContinueOutcome.NOT_SENT)
    if not _may_send(context, task, runner, is_reserved=is_reserved):
        connection.close()
        return ContinueResult(ContinueOutcome.NOT_SENT)
    if not is_reserved:
        context.send_bounds.record_sent(trio.current_time(), runner.id, SendOrigin.CONTINUED)
    outcome = ContinueOutcome.UNANSWERED
    try:
        outcome = await _ask(context, task, run, connection, origin, limit_s, may_leave)
    finally:
        if outcome is not ContinueOutcome.CONTINUED:
            connection.close()
    is_continued = outcome is ContinueOutcome.CONTINUED
    return ContinueResult(outcome, connection if is_continued else None)


def _may_send(context: RelayContext, task: RelayTask, runner: Runner, *, is_reserved: bool) -> bool:
    if context.runners.is_evacuated(runner.id) or context.crash_guard.is_refused(task.fingerprint):
        return False
    now_s = trio.current_time()
    return is_reserved or context.send_bounds.allows(now_s, runner, SendOrigin.CONTINUED)


async def _ask(
    context: RelayContext,
    task: RelayTask,
    run: Run,
    connection: UpstreamConnection,
    origin: ContinueFrom,
    limit_s: float,
    may_leave: Callable[[], Awaitable[bool]] | None,
) -> ContinueOutcome:
    sent_s = trio.current_time()
    send = partial(send_to_engine, context, task, run, connection, origin)
    has_ended = partial(context.runners.is_gone, run.runner)
    try:
        first_s = limit_s if may_leave is None else min(limit_s, ASK_AGAIN_S)
        head = await wait_for_answer(send, first_s, has_ended)
        while head is None and may_leave is not None and connection.has_sent:
            if has_ended() or await may_leave():
                break
            head = await wait_for_answer(connection.read_head, ASK_AGAIN_S, has_ended)
    except UpstreamBroken as error:
        log(Event.UPSTREAM_BROKEN, request=task.request.attempt_id, error=str(error))
        _record_broken(context, task, run, sent_s)
        return ContinueOutcome.ENDED
    if head is None:
        _record_broken(context, task, run, sent_s)
        return ContinueOutcome.ENDED if has_ended() else ContinueOutcome.UNANSWERED
    answer = runner_answer(head)
    context.on_answer(task, run.runner, answer, sent_s)
    return _outcome(task, answer)


def _record_broken(context: RelayContext, task: RelayTask, run: Run, sent_s: float) -> None:
    context.crash_guard.record_broken_run(
        task.request.attempt_id,
        task.fingerprint,
        run.runner,
        sent_s,
        has_proven=run.has_proven,
    )


def is_valid_answer(task: RelayTask, answer: RunnerAnswer) -> bool:
    """Return whether an answer is certainly the runner's own to this attempt, which it ran."""
    is_own = answer.attempt_id == task.request.attempt_id
    return (
        is_own and answer.sealed and not answer.encoded and not implies_not_run(answer.head.status)
    )


def _outcome(task: RelayTask, answer: RunnerAnswer) -> ContinueOutcome:
    attempt = task.request.attempt_id
    if answer.rejected and answer.attempt_id in ("", attempt):
        return ContinueOutcome.REFUSED
    is_own = answer.attempt_id == attempt and not answer.encoded
    if is_own and answer.head.status == 200 and not answer.rejected:
        return ContinueOutcome.CONTINUED
    return ContinueOutcome.ENDED
