"""What runners say of themselves in the soak: limits, rests, and that they leave."""

import random
from collections.abc import Callable, Mapping

import trio

from standins.platform import EngineStandIn, PlainStandIn

Server = PlainStandIn | EngineStandIn

LIMIT_PER_S = 2.0
OVERAGE = 1.5
SLACK = 5
WINDOW_S = 4.0
KNOWN_S = 3.0
"""Time from a first word until it has to be kept."""
REST_S = 2.0
REST_GRACE_S = 0.5
MOST_IN_REST = 2
LEFT_S = 2.0
"""Time from the word that a runner leaves until nothing more may reach it."""
WATCHED_S = 2.0


def limit_allows(per_s: float) -> float:
    """Give the most requests that a limited runner may get in one window."""
    return OVERAGE * per_s * WINDOW_S + SLACK


def most_in_a_window(runner: Server, begin_s: float) -> int:
    """Give the most requests that reached a runner in one window from a time on."""
    times = [at for at in runner.arrived_s if at >= begin_s]
    return max((sum(0 <= at - one < WINDOW_S for at in times) for one in times), default=0)


def most_in_a_rest(runner: Server, begin_s: float, entry_by_attempt: Mapping[str, str]) -> int:
    """Give the most requests that reached a runner in a rest from the entry that it had asked."""
    most = 0
    for asked_s, turned_away in runner.backoffs:
        if asked_s < begin_s:
            continue
        asked = entry_by_attempt.get(turned_away)
        times = [at for at, one in runner.arrivals if entry_by_attempt.get(one) == asked]
        most = max(most, sum(REST_GRACE_S < at - asked_s < REST_S for at in times))
    return most


async def check_limits(runners: list[Server], broken: list[str]) -> None:
    """Let runners name limits in calm, and see whether they are kept."""
    for one in runners:
        one.limit_per_s = LIMIT_PER_S
    await trio.sleep(KNOWN_S)
    begin_s = trio.current_time()
    await trio.sleep(WINDOW_S + WATCHED_S)
    for one in runners:
        got = most_in_a_window(one, begin_s)
        if got > limit_allows(LIMIT_PER_S):
            broken.append(f"{one.runner_id} got {got} in {WINDOW_S} s; it takes {LIMIT_PER_S} a s")
        if not got:
            broken.append(f"{one.runner_id} takes {LIMIT_PER_S} a second, and got nothing")
        one.limit_per_s = None


async def check_rests(
    runners: list[Server], entry_by_attempt: Callable[[], Mapping[str, str]], broken: list[str]
) -> None:
    """Let runners ask for rest in calm, and see whether they get it."""
    begin_s = trio.current_time()
    for one in runners:
        one.backoff_s = REST_S
    await trio.sleep(2 * REST_S)
    for one in runners:
        one.backoff_s = None
        got = most_in_a_rest(one, begin_s, entry_by_attempt())
        if got > MOST_IN_REST:
            broken.append(f"{one.runner_id} got {got} requests in a rest from one entry")


async def check_leaving(runners: list[Server], broken: list[str]) -> None:
    """Let runners say in calm that they leave, and see whether they are left alone."""
    for one in runners:
        one.said_leaving_s.clear()
        one.says_leaving = True
    await trio.sleep(KNOWN_S + LEFT_S)
    begin_s = trio.current_time()
    await trio.sleep(WATCHED_S)
    for one in runners:
        got = sum(at >= begin_s for at in one.arrived_s)
        if one.said_leaving_s and got:
            broken.append(f"{one.runner_id} said that it leaves, and got {got} requests")


async def say_for_a_while(runner: Server, rng: random.Random, length_s: float) -> None:
    """Let a runner name a limit or ask for rest while faults come."""
    if rng.random() < 0.5:
        runner.limit_per_s = rng.choice((0.0, 0.5, LIMIT_PER_S, 10.0))
    else:
        runner.backoff_s = rng.uniform(0.2, REST_S)
    await trio.sleep(length_s)
    runner.limit_per_s = runner.backoff_s = None
