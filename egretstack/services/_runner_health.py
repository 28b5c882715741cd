"""Requests the health of a runner."""

import trio

from egretstack.fleet import Runner
from egretstack.http1 import Dialer, ResponseHead, UpstreamBroken, exchange
from egretstack.platform import health_request, runner_health
from egretstack.traffic import RunnerHealth

MAX_ANSWER_BYTES = 65_536


class NoHealthAnswer(Exception):
    """Something accepted the connection and did not answer: a runner or a proxy in front of it."""


async def fetch_health(
    dialer: Dialer, runner: Runner, path: str, connect_s: float, answer_s: float
) -> RunnerHealth | None:
    """Return the health of a healthy runner at a runner's address; None if it is not healthy.

    Raises ConnectFailed, NoHealthAnswer.
    """
    return runner_health(await _answer(dialer, runner, path, connect_s, answer_s))


async def _answer(
    dialer: Dialer, runner: Runner, path: str, connect_s: float, answer_s: float
) -> ResponseHead:
    connection = await dialer.connect(runner.address, connect_s)
    request = health_request(runner.address, path)
    try:
        with trio.fail_after(answer_s):
            head, _ = await exchange(connection, request, b"", MAX_ANSWER_BYTES)
            return head
    except (UpstreamBroken, trio.TooSlowError) as error:
        raise NoHealthAnswer(repr(error)) from error
    finally:
        connection.close()
