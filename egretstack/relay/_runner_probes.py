"""Asks runners whether they answer at all, whatever they do for a run."""

from enum import Enum

import trio

from egretstack.fleet import Runner
from egretstack.http1 import ConnectFailed, Dialer, UpstreamBroken, UpstreamConnection
from egretstack.ids import RunnerId
from egretstack.platform import report_request

CONNECT_TIMEOUT_S = 0.15
CONNECT_ATTEMPTS = 2
"""A single SYN may be lost; the kernel of a process that is paused accepts connections."""
RETRY_S = 0.1
ANSWER_TIMEOUT_S = 0.25
"""Time for the head of a report; most take some 5 ms and need no slot."""


class RunnerSign(Enum):
    """What a runner did when it was asked."""

    ANSWERS = "answers"
    SILENT = "silent"
    """It accepted the connection and did not answer, so that it may go on later."""
    UNREACHABLE = "unreachable"
    """It accepted no connection."""


class RunnerProbes:
    """Asks runners; what is asked of one runner at the same time is asked once."""

    def __init__(self, dialer: Dialer) -> None:
        self._dialer = dialer
        self._answered_by_runner: dict[RunnerId, trio.Event] = {}
        self._sign_by_runner: dict[RunnerId, RunnerSign] = {}

    async def ask(self, runner: Runner) -> RunnerSign:
        """Return the sign of a runner, asked now."""
        while (answered := self._answered_by_runner.get(runner.id)) is not None:
            await answered.wait()
            if runner.id in self._sign_by_runner:
                return self._sign_by_runner[runner.id]
        answered = self._answered_by_runner[runner.id] = trio.Event()
        self._sign_by_runner.pop(runner.id, None)
        try:
            sign = await self._ask(runner)
            self._sign_by_runner[runner.id] = sign
            return sign
        finally:
            del self._answered_by_runner[runner.id]
            answered.set()

    async def _ask(self, runner: Runner) -> RunnerSign:
        connection = await self._connect(runner.address)
        if connection is None:
            return RunnerSign.UNREACHABLE
        try:
            with trio.move_on_after(ANSWER_TIMEOUT_S):
                await connection.send(report_request(runner.address), b"")
                await connection.read_head()
                return RunnerSign.ANSWERS
        except UpstreamBroken:
            return RunnerSign.SILENT
        finally:
            connection.close()
        return RunnerSign.SILENT

    async def _connect(self, address: str) -> UpstreamConnection | None:
        for attempt in range(CONNECT_ATTEMPTS):
            if attempt:
                await trio.sleep(RETRY_S)
            try:
                return await self._dialer.connect(address, CONNECT_TIMEOUT_S)
            except ConnectFailed:
                continue
        return None
