"""A store that comes back from an older copy, with complete entries."""

import trio

from egretstack.services.fleet_port import FleetPort
from tests.partition_site import first_tries, served, until_one_home
from tests.platform_site import BOUNDS, platform_site
from tests.support import check, on_real_clock, tests_of

load_tests = tests_of(globals())

WATCH_S = 1.0
"""Time in which the entries read the store's latest revision, also when no runner changed."""
LOST_CHANGES = 12
"""Changes that the store takes after the copy, and loses."""


def write(site, changes):
    """Write into the store, which raises its revision, and change no runner."""
    for _ in range(changes):
        site.store.put("others", "any", {})


async def return_from_copy(site, lost=LOST_CHANGES):
    """Let the store come back without its last changes, which all entries have seen."""
    copy = site.store.copy()
    write(site, lost)
    await trio.sleep(WATCH_S)
    site.store.return_from(copy)
    site.configure()


def tables(site):
    """Return the table of runners of each entry."""
    return [one.get(FleetPort).runners for one in site.kernels]


async def check_gets_nothing_after_its_notice(site, runner, notice):
    """Check that a runner gets no request later than allowed after a notice in the store."""
    notice()
    await trio.sleep(BOUNDS.runner_drain_s)
    before = len(runner.arrivals)
    for entry in range(len(site.kernels)):
        tries = await first_tries(site, "notes", entry=entry, seconds=0.5, tag="late")
        check.assertEqual(served(tries), len(tries))
    check.assertEqual(len(runner.arrivals) - before, 0)


@on_real_clock
async def test_a_runner_that_leaves_after_the_store_came_back_gets_no_more_requests():
    async with platform_site(entries=4, plain=3) as site:
        await until_one_home(site)
        await return_from_copy(site)
        await trio.sleep(0.3)
        left = site.plain[1]
        await check_gets_nothing_after_its_notice(
            site, left, lambda: site.register(left.runner_id, "desk", left.address, "draining")
        )


@on_real_clock
async def test_a_runner_that_is_removed_after_the_store_came_back_gets_no_more_requests():
    # Entries may lapse for about two seconds after a return, so the removal comes later.
    async with platform_site(entries=4, plain=3) as site:
        await until_one_home(site)
        await return_from_copy(site)
        await trio.sleep(2.5)
        left = site.plain[1]
        await check_gets_nothing_after_its_notice(
            site, left, lambda: site.store.remove("servers", left.runner_id)
        )


@on_real_clock
async def test_a_zone_that_is_evacuated_after_the_store_came_back_gets_no_more_requests():
    async with platform_site(entries=4, plain=3) as site:
        await until_one_home(site)
        site.assign_zones("leon-a", "leon-b", "leon-a")
        await site.until(lambda: all(_zones(one) == {"leon-a", "leon-b"} for one in tables(site)))
        await return_from_copy(site)
        await trio.sleep(0.3)
        site.evacuate("leon-b")
        await trio.sleep(BOUNDS.evacuate_s)
        for kernel in site.kernels:
            check.assertEqual(kernel.get(FleetPort).evacuations.zones, {"leon-b"})


def _zones(table):
    return {one.zone for one in table.by_id.values()}
