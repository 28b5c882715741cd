"""Helpers for tests in which runners state rate limits."""

import trio

from egretstack.services.fleet_port import FleetPort
from tests.platform_site import WAIT_S

WINDOW_S = 4.0
OVERAGE = 1.5
SLACK = 5
"""Requests that a runner may get in a window beyond `OVERAGE` times its limit."""
LIMIT_EFFECTIVE_S = 1.0
"""Time from the first answer that states a limit until the limit has to be observed."""


def set_limit(runners, per_s):
    """Set the limit that runners state; None withdraws it."""
    for runner in runners:
        runner.limit_per_s = per_s


def max_allowed(per_s):
    """Return the maximum number of requests that a runner may get in one window."""
    return int(OVERAGE * per_s * WINDOW_S + SLACK)


def max_in_a_window(runner, after_s=0.0):
    """Return the maximum number of requests to a runner in any window that begins after a time."""
    times = [at for at in runner.arrived_s if at >= after_s]
    return max((sum(0 <= at - begin < WINDOW_S for at in times) for begin in times), default=0)


def knows_limit(site, runner, entry=0):
    """Return whether an instance knows a runner's current limit."""
    limits = site.kernels[entry].get(FleetPort).limits
    return limits.per_s(runner.runner_id) == runner.limit_per_s


async def send_steadily(site, path, times, gap_s, tag="q", entries=None, **more):
    """Send requests to the instances in turn, each without waiting for the one before.

    Returns the head of each answer, in the order in which they came.
    """
    entries = range(len(site.kernels)) if entries is None else entries
    answers = []

    async def send(number):
        entry = entries[number % len(entries)]
        head, _ = await site.call(path, f"{tag}-{number}", entry=entry, **more)
        answers.append(head)

    with trio.fail_after(WAIT_S):
        async with trio.open_nursery() as nursery:
            for number in range(times):
                nursery.start_soon(send, number)
                await trio.sleep(gap_s)
    return answers
