"""Asks a runner for its health."""

import trio

from egretstack.events import Event, log
from egretstack.fleet import Runner
from egretstack.http1 import UpstreamBroken, UpstreamConnection, connect_upstream, exchange
from egretstack.platform import health_request, runner_health
from egretstack.traffic import RunnerHealth

MOST_ANSWER_BYTES = 65_536


async def ask_health(
    runner: Runner, path: str, connect_s: float, answer_s: float
) -> RunnerHealth | None:
    """Give what a healthy runner at a runner's address says; None if none answers in time.

    Raises ConnectFailed.
    """
    connection = await connect_upstream(runner.address, connect_s)
    try:
        return await _answer(connection, runner, path, answer_s)
    finally:
        connection.close()


async def _answer(
    connection: UpstreamConnection, runner: Runner, path: str, answer_s: float
) -> RunnerHealth | None:
    question = health_request(runner.address, path)
    try:
        with trio.move_on_after(answer_s):
            head, _ = await exchange(connection, question, b"", MOST_ANSWER_BYTES)
            return runner_health(head)
    except UpstreamBroken as error:
        log(Event.UPSTREAM_BROKEN, request="", runner=runner.id, error=repr(error))
    return None
