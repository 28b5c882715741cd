"""Signals that runners send in the soak test: limits, backoff, and leaving."""

import random
from collections.abc import Callable, Mapping

import trio

from standins.platform import EngineStandIn, PlainStandIn

Server = PlainStandIn | EngineStandIn

LIMIT_PER_S = 2.0
OVERAGE = 1.5
SLACK = 5
WINDOW_S = 4.0
PROPAGATION_S = 3.0
"""Time from a runner's first signal until the entries have to respect it."""
BACKOFF_S = 2.0
BRITTLE = 2
"""Rejections a second that a brittle runner says it bears."""
BACKOFF_GRACE_S = 0.5
MAX_IN_BACKOFF = 2
LEAVING_TIMEOUT_S = 2.0
"""Time from the signal that a runner leaves until no more requests may reach it."""
OBSERVED_S = 2.0


def max_allowed(per_s: float) -> float:
    """Return the maximum number of requests that a limited runner may get in one window."""
    return OVERAGE * per_s * WINDOW_S + SLACK


def max_in_a_window(runner: Server, begin_s: float) -> int:
    """Return the maximum number of requests in any one window that starts at `begin_s` or later."""
    times = [at for at in runner.arrived_s if at >= begin_s]
    return max((sum(0 <= at - start < WINDOW_S for at in times) for start in times), default=0)


def max_in_a_backoff(runner: Server, begin_s: float, entry_by_attempt: Mapping[str, str]) -> int:
    """Return the maximum number of requests that a runner got during a backoff from the entry that
    it had asked to back off."""
    max_count = 0
    for announced_s, rejected_attempt in runner.backoffs:
        if announced_s < begin_s:
            continue
        backoff_entry = entry_by_attempt.get(rejected_attempt)
        times = [
            at for at, attempt in runner.arrivals if entry_by_attempt.get(attempt) == backoff_entry
        ]
        max_count = max(
            max_count, sum(BACKOFF_GRACE_S < at - announced_s < BACKOFF_S for at in times)
        )
    return max_count


async def check_limits(runners: list[Server], broken: list[str]) -> None:
    """Let runners signal limits while there are no faults, and check that they are respected."""
    for runner in runners:
        runner.limit_per_s = LIMIT_PER_S
    await trio.sleep(PROPAGATION_S)
    begin_s = trio.current_time()
    await trio.sleep(WINDOW_S + OBSERVED_S)
    for runner in runners:
        got = max_in_a_window(runner, begin_s)
        if got > max_allowed(LIMIT_PER_S):
            broken.append(
                f"{runner.runner_id} got {got} in {WINDOW_S} s; it takes {LIMIT_PER_S} a s"
            )
        if not got:
            broken.append(f"{runner.runner_id} takes {LIMIT_PER_S} a second, and got nothing")
        runner.limit_per_s = None


async def check_backoffs(
    runners: list[Server], entry_by_attempt: Callable[[], Mapping[str, str]], broken: list[str]
) -> None:
    """Let runners signal backoff while there are no faults, and check that it is respected."""
    begin_s = trio.current_time()
    for runner in runners:
        runner.backoff_s = BACKOFF_S
    await trio.sleep(2 * BACKOFF_S)
    for runner in runners:
        runner.backoff_s = None
        got = max_in_a_backoff(runner, begin_s, entry_by_attempt())
        if got > MAX_IN_BACKOFF:
            broken.append(f"{runner.runner_id} got {got} requests in a rest from one entry")


async def check_leaving(runners: list[Server], broken: list[str]) -> None:
    """Let runners signal that they leave while there are no faults, and check that they get no more
    requests."""
    for runner in runners:
        runner.said_leaving_s.clear()
        runner.says_leaving = True
    await trio.sleep(PROPAGATION_S + LEAVING_TIMEOUT_S)
    begin_s = trio.current_time()
    await trio.sleep(OBSERVED_S)
    for runner in runners:
        got = sum(at >= begin_s for at in runner.arrived_s)
        if runner.said_leaving_s and got:
            broken.append(f"{runner.runner_id} said that it leaves, and got {got} requests")


async def signal_temporarily(runner: Server, rng: random.Random, length_s: float) -> None:
    """Let a runner signal a limit, a backoff or that it is brittle for some time."""
    if rng.random() < 0.3:
        runner.brittle = BRITTLE
    elif rng.random() < 0.5:
        runner.limit_per_s = rng.choice((0.0, 0.5, LIMIT_PER_S, 10.0))
    else:
        runner.backoff_s = rng.uniform(0.2, BACKOFF_S)
    await trio.sleep(length_s)
    runner.limit_per_s = runner.backoff_s = runner.brittle = None
