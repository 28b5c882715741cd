"""Sites whose runners name limits, for tests of what reaches them."""

import trio

from egretstack.services.fleet_port import FleetPort
from tests.platform_site import WAIT_S

WINDOW_S = 4.0
OVERAGE = 1.5
SLACK = 5
"""What a runner may get in a window beyond `OVERAGE` times its limit, in requests."""
TOLD_S = 1.0
"""Time from the first answer with a limit until it has to be kept."""


def limit(runners, per_s):
    """Let runners name a limit; None takes it back."""
    for one in runners:
        one.limit_per_s = per_s


def allowed(per_s):
    """Give the most requests that a runner may get in one window."""
    return int(OVERAGE * per_s * WINDOW_S + SLACK)


def most_in_a_window(runner, after_s=0.0):
    """Give the most requests that reached a runner in one window that begins after a time."""
    times = [at for at in runner.arrived_s if at >= after_s]
    return max((sum(0 <= at - begin < WINDOW_S for at in times) for begin in times), default=0)


def is_told(site, runner, entry=0):
    """Tell whether an instance knows of a runner's limit."""
    limits = site.kernels[entry].get(FleetPort).limits
    return limits.per_s(runner.runner_id) == runner.limit_per_s


async def ask_steadily(site, path, times, gap_s, tag="q", entries=None, **more):
    """Send requests to the instances in turn, each without waiting for the one before.

    Gives status and headers of each answer, in the order in which they came.
    """
    entries = range(len(site.kernels)) if entries is None else entries
    answers = []

    async def ask(number):
        entry = entries[number % len(entries)]
        head, _ = await site.call(path, f"{tag}-{number}", entry=entry, **more)
        answers.append(head)

    with trio.fail_after(WAIT_S):
        async with trio.open_nursery() as nursery:
            for number in range(times):
                nursery.start_soon(ask, number)
                await trio.sleep(gap_s)
    return answers
