"""Waits for the answers of runners."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio

from egretstack.http1 import UpstreamBroken

MAX_POLL_INTERVAL_S = 0.25
"""How often it is checked whether a runner has ended."""

T = TypeVar("T")


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
        raise failure
    return answer


async def _cancel_after(
    scope: trio.CancelScope, limit_s: float, has_ended: Callable[[], bool]
) -> None:
    until_s = trio.current_time() + limit_s
    while trio.current_time() < until_s and not has_ended():
        await trio.sleep(min(MAX_POLL_INTERVAL_S, until_s - trio.current_time()))
    scope.cancel()
