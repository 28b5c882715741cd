"""Waits for answers in time for which this process runs.

After a pause of the whole process every deadline has passed, though what runners sent meanwhile is
still to be read. A time that counts only while the process runs does not take its own pause for
a runner's silence.
"""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio

from egretstack.http1 import UpstreamBroken

POLLS = 8
"""Number of waits of equal length into which a time limit is divided."""
MAX_POLL_INTERVAL_S = 0.25
"""Longest of them, after which it is noticed that a runner has ended."""
MAX_POLL_FACTOR = 2.0
"""Multiple of an interval up to which a late wake-up counts; the rest is a pause of the process."""

T = TypeVar("T")


class RunningTime:
    """Time that has passed while this process was running, from waits of a known length."""

    def __init__(self) -> None:
        self.total_s = 0.0

    def record(self, planned_s: float, took_s: float) -> bool:
        """Count a wait that was planned to be short; return whether the process ran meanwhile."""
        limit_s = MAX_POLL_FACTOR * planned_s
        self.total_s += min(took_s, limit_s)
        return took_s <= limit_s

    def reset(self) -> None:
        """Start to count again."""
        self.total_s = 0.0


async def wait_for_answer(
    call: Callable[[], Awaitable[T]],
    limit_s: float,
    has_ended: Callable[[], bool] = lambda: False,
) -> T | None:
    """Return the result of a call to a runner; None if it took too long or the runner has ended.

    Raises UpstreamBroken if the call does.
    """
    answer: T | None = None
    failure: UpstreamBroken | None = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_after, nursery.cancel_scope, limit_s, has_ended)
        try:
            answer = await call()
        except UpstreamBroken as error:
            failure = error
        nursery.cancel_scope.cancel()
    if failure is not None:
        try:
            raise failure
        finally:
            failure = None  # A cycle with its traceback would keep what was read.
    return answer


async def _cancel_after(
    scope: trio.CancelScope, limit_s: float, has_ended: Callable[[], bool]
) -> None:
    interval_s = min(MAX_POLL_INTERVAL_S, limit_s / POLLS)
    waited = RunningTime()
    while waited.total_s < limit_s and not has_ended():
        began_s = trio.current_time()
        await trio.sleep(interval_s)
        if not waited.record(interval_s, trio.current_time() - began_s):
            # What arrived during a pause is read first.
            await trio.sleep(interval_s)
    scope.cancel()
