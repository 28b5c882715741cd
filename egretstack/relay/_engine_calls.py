"""Sends a stream's request to an engine, for the first time or to go on from a copy."""

import trio

from egretstack.events import Event, log
from egretstack.fleet import Runner
from egretstack.http1 import (
    ConnectFailed,
    ResponseHead,
    UpstreamBroken,
    UpstreamConnection,
    connect_upstream,
)
from egretstack.placing import Run, SendOrigin
from egretstack.platform import runner_answer, runner_request
from egretstack.relay._tools import CONNECT_TIMEOUT_S, RelayTools, Task
from egretstack.traffic import ContinueFrom, RunnerAnswer

RESUME_TIMEOUT_S = 1.0
"""Time for the first sign of a continued run: what its copy lacks has to be read again."""


async def ask_engine(
    tools: RelayTools,
    task: Task,
    run: Run,
    connection: UpstreamConnection,
    origin: ContinueFrom | None = None,
) -> ResponseHead:
    """Send the request to the run's engine and read the head of the answer.

    Raises UpstreamBroken.
    """
    backup = tools.runners.by_id.get(run.backup) if run.backup else None
    terms = task.terms(
        tools.runners.by_id[run.runner],
        priority=task.priority,
        backup_address=None if backup is None else backup.address,
        continue_from=origin,
    )
    await connection.send(runner_request(task.request, terms), task.request.body)
    return await connection.read_head()


async def continue_at(
    tools: RelayTools,
    task: Task,
    run: Run,
    runner: Runner,
    origin: ContinueFrom,
    *,
    is_reserved: bool,
) -> UpstreamConnection | None:
    """Let a run go on at an engine that has its copy; None if it does not.

    `is_reserved`: what bounds the engine's requests has counted this one already.
    """
    try:
        connection = await connect_upstream(runner.address, CONNECT_TIMEOUT_S)
    except ConnectFailed as error:
        log(Event.CONNECT_FAILED, request=task.request.attempt_id, error=str(error))
        return None
    if not is_reserved:
        if not tools.bounds.allows(trio.current_time(), runner, SendOrigin.CONTINUED):
            connection.close()
            return None
        tools.bounds.record_sent(trio.current_time(), runner.id, SendOrigin.CONTINUED)
    answer = None
    sent_s = trio.current_time()
    try:
        with trio.move_on_after(RESUME_TIMEOUT_S):
            answer = runner_answer(await ask_engine(tools, task, run, connection, origin))
    except UpstreamBroken as error:
        log(Event.UPSTREAM_BROKEN, request=task.request.attempt_id, error=str(error))
    except BaseException:
        connection.close()
        raise
    if answer is not None:
        tools.heard(task, runner.id, answer, sent_s)
    else:
        tools.crashes.broke(task.request.attempt_id, task.content, runner.id, sent_s)
    if answer is None or not _goes_on(task, answer):
        connection.close()
        return None
    return connection


def _goes_on(task: Task, answer: RunnerAnswer) -> bool:
    own = answer.attempt_id == task.request.attempt_id
    return own and answer.head.status == 200 and not answer.rejected
