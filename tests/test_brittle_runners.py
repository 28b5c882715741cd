"""Runners that fall over if they have to reject more than a few requests in a second."""

from unittest.mock import patch

import trio

from egretstack.services.brittle_runners import BrittleRunners
from egretstack.services.fleet_port import FleetPort
from tests.limited_site import send_steadily
from tests.partition_site import until_one_home
from tests.platform_site import platform_site
from tests.support import check, on_real_clock, tests_of

load_tests = tests_of(globals())

RUNNERS = 4
SLOTS = 3
WORK_S = 0.2
BRITTLE = 2
FALLEN_S = 4.0
STATED_S = 3.0
"""Time from the first statement that they are brittle until fewer requests may wait."""
OBSERVED_S = 6.0
CAPACITY_PER_S = RUNNERS * SLOTS / WORK_S


async def run_with_falls(runner):
    """Run a runner that was stopped; each time it falls over, it is back after some seconds."""
    while True:
        await runner.run()
        await trio.sleep(FALLEN_S)


async def play_brittle(share, path):
    """Offer a share of what all runners bear.

    Returns the runners, the share of their slots that was in use, and that of the calls served.
    """
    async with platform_site(entries=4, plain=RUNNERS) as site:
        for runner in site.plain:
            runner.slots, runner.max_waiting, runner.delay_s = SLOTS, 6, WORK_S
            runner.stop()
            site.nursery.start_soon(run_with_falls, runner)
        await trio.sleep(0.2)
        for runner in site.plain:
            site.register(runner.runner_id, "desk", runner.address, slots=SLOTS)
            runner.brittle = BRITTLE
        gap_s = 1 / (share * CAPACITY_PER_S)
        await send_steadily(site, path, round(STATED_S / gap_s), gap_s, tag="a", method=b"POST")
        for runner in site.plain:
            runner.max_waiting = 1
        before_s = sum(one.busy_s for one in site.plain)
        count = round(OBSERVED_S / gap_s)
        began_s = trio.current_time()
        answers = await send_steadily(site, path, count, gap_s, tag="b", method=b"POST")
        busy_s = sum(one.busy_s for one in site.plain) - before_s
        served = sum(one.status == 200 for one in answers) / count
        took_s = trio.current_time() - began_s
        return site.plain, busy_s / (RUNNERS * SLOTS * took_s), served


def falls(runners):
    """Return how often runners fell over."""
    return sum(len(one.falls_s) for one in runners)


@on_real_clock
async def test_brittle_runners_do_not_fall_over_under_more_calls_than_they_bear():
    runners, used, _ = await play_brittle(1.5, "/holds/1")
    check.assertLessEqual(falls(runners), 2 + RUNNERS / 10)
    check.assertGreater(used, 0.6)


@on_real_clock
async def test_second_sends_do_not_make_brittle_runners_fall_over():
    runners, used, _ = await play_brittle(1.5, "/notes/1")
    check.assertLessEqual(falls(runners), 2 + RUNNERS / 10)
    check.assertGreater(used, 0.6)


@on_real_clock
async def test_an_instance_that_starts_slowly_knows_brittle_runners():
    # Guards against rows in updates that come while the instance is still starting its services.
    run = BrittleRunners.run

    async def run_late(service, task_status):
        port = service.kernel.get(FleetPort)
        while not port.held_updates().version:
            await trio.sleep(0.01)
        await run(service, task_status)

    async with platform_site(entries=4, plain=1) as site:
        await until_one_home(site)
        site.plain[0].brittle = BRITTLE
        await site.call("/notes/1", "first")
        await site.until(lambda: all(knows_brittle(one, site.plain[0]) for one in site.kernels))
        with patch.object(BrittleRunners, "run", run_late):
            late = await site.start_entry(4)
        await site.until(lambda: knows_brittle(late, site.plain[0]))


def knows_brittle(kernel, runner):
    """Return whether an instance knows a runner as brittle."""
    return kernel.get(FleetPort).brittle.per_s(runner.runner_id) == runner.brittle


@on_real_clock
async def test_calls_are_served_by_brittle_runners_with_room():
    # Guards against refusals while the runners have room.
    _, _, served = await play_brittle(0.4, "/holds/1")
    check.assertGreater(served, 0.95)
