"""Instances that lose their links to all runners, while clients and the others still reach them."""

import trio

from standins.platform import LinkCut
from tests.partition_site import cut, first_tries, home_number, served, until_one_home
from tests.platform_site import platform_site
from tests.support import check, on_real_clock, tests_of

load_tests = tests_of(globals())

DETECTION_S = 1.0
"""Time after the beginning of a cut from which on first tries have to be served."""
OBSERVED_S = 1.5


async def check_served_without_runners(how, path, *, plain=3, engines=0):
    """Cut two of four entries off, one of them the home, and check the first tries at both."""
    async with platform_site(entries=4, plain=plain, engines=engines) as site:
        await until_one_home(site)
        home = home_number(site)
        lost = (home, (home + 1) % 4)
        cut(site, how, *lost)
        async with trio.open_nursery() as nursery:
            for entry in lost:
                nursery.start_soon(check_first_tries, site, path, entry)


async def check_first_tries(site, path, entry):
    """Check that the first tries at an entry are served, and that calls run once."""
    await first_tries(site, path, entry=entry, seconds=DETECTION_S, tag="early")
    tries = await first_tries(site, path, entry=entry, seconds=OBSERVED_S, tag="late")
    check.assertEqual(served(tries), len(tries), tries)
    if path == "holds":
        runs = [sum(one.runs_by_attempt[it.attempt] for one in site.plain) for it in tries]
        check.assertEqual(runs, [1] * len(tries))


@on_real_clock
async def test_calls_are_served_at_an_instance_whose_links_to_runners_are_reset():
    await check_served_without_runners(LinkCut.RESET, "notes")


@on_real_clock
async def test_calls_are_served_at_an_instance_whose_packets_to_runners_are_dropped():
    await check_served_without_runners(LinkCut.DROPPED, "notes")


@on_real_clock
async def test_calls_that_run_once_are_served_at_an_instance_without_links_to_runners():
    await check_served_without_runners(LinkCut.DROPPED, "holds")


@on_real_clock
async def test_calls_that_run_once_are_served_while_only_open_links_to_runners_live_on():
    await check_served_without_runners(LinkCut.NEW_REFUSED, "holds")


@on_real_clock
async def test_streams_are_served_at_an_instance_whose_links_to_engines_are_reset():
    await check_served_without_runners(LinkCut.RESET, "plans", plain=0, engines=3)


@on_real_clock
async def test_streams_are_served_at_an_instance_whose_packets_to_engines_are_dropped():
    await check_served_without_runners(LinkCut.DROPPED, "plans", plain=0, engines=3)
