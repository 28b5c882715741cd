"""A store that comes back from an older copy, with complete entries."""

import trio

from egretstack.fleet import (
    Evacuations,
    RunnerState,
    RunnerTable,
    era_of,
    number_of,
    store_revision,
)
from egretstack.ids import ZoneName
from egretstack.platform import HistoryGone, ObjectKind, Store, StoreAway
from egretstack.services.fleet_port import FleetPort
from standins.platform import StoreFault, StoreStandIn
from tests.fleet_fixtures import runner
from tests.partition_site import first_tries, served, until_one_home
from tests.platform_site import BOUNDS, free_loopback_net, platform_site
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


@on_real_clock
async def test_a_runner_whose_entry_the_copy_lacks_serves_until_it_is_written_again():
    # Guards against a service without runners for two seconds, and against one that has ended.
    async with platform_site(entries=2, plain=1) as site:
        await until_one_home(site)
        copy = site.store.copy()
        for number in (7, 8):
            site.register(f"i-desk-{number}", "desk", f"127.1.2.{number}:8080")
        await site.until(lambda: all(len(one.ready("desk")) == 3 for one in tables(site)))
        site.store.return_from(copy)
        site.configure()
        await trio.sleep(1.0)
        for table in tables(site):
            check.assertEqual(len(table.ready("desk")), 3)
        site.register("i-desk-7", "desk", "127.1.2.7:8080")
        await site.until(lambda: all(len(one.ready("desk")) == 2 for one in tables(site)))
        for table in tables(site):
            check.assertIs(table.by_id["i-desk-8"].state, RunnerState.MISSING)
            check.assertTrue(table.is_ready("i-desk-7"))


@on_real_clock
async def test_the_store_may_come_back_twice_in_a_row():
    async with platform_site(entries=3, plain=2) as site:
        await until_one_home(site)
        await return_from_copy(site)
        site.store.fault = StoreFault.SILENT
        await trio.sleep(0.5)
        copy = site.store.copy()
        write(site, LOST_CHANGES)
        site.store.return_from(copy)
        site.store.fault = StoreFault.NONE
        left = site.plain[0]
        await check_gets_nothing_after_its_notice(
            site, left, lambda: site.register(left.runner_id, "desk", left.address, "draining")
        )


@on_real_clock
async def test_an_instance_that_the_store_has_lost_is_registered_again():
    async with platform_site(entries=1, plain=1) as site:
        name = site.settings(0).instance
        copy = site.store.copy()
        await site.until(lambda: site.store.spec("egret-instances", name))
        site.store.return_from(copy)
        await site.until(lambda: site.store.spec("egret-instances", name))


@on_real_clock
async def test_no_answer_of_another_era_is_taken_for_one_of_the_known_era():
    # Guards against a watch that goes on in a history that is gone, and a late answer of that one.
    stand_in = StoreStandIn(f"127.{free_loopback_net()}.0.11:8742")
    async with trio.open_nursery() as nursery:
        await nursery.start(stand_in.run)
        store = Store(stand_in.address)
        stand_in.put("servers", "a", {})
        before = (await store.list(ObjectKind.RUNNER)).revision
        copy = stand_in.copy()
        stand_in.return_from(copy)
        with check.assertRaises(HistoryGone):
            await store.watch(ObjectKind.RUNNER, before, 0.05)
        after = (await store.list(ObjectKind.RUNNER)).revision
        check.assertEqual((era_of(after), number_of(after)), (1, number_of(before)))
        check.assertGreater(after, before)
        stand_in.era = 0
        with check.assertRaises(StoreAway):
            await store.list(ObjectKind.RUNNER)
        with check.assertRaises(HistoryGone):
            await store.watch(ObjectKind.RUNNER, after, 0.05)
        store.close()
        nursery.cancel_scope.cancel()


def test_a_reading_of_the_former_history_does_not_replace_one_of_the_new():
    # Guards against a late reading, or a peer that was cut off, which brings a runner back.
    table = RunnerTable()
    old, new = store_revision(1, 900), store_revision(2, 3)
    table.apply_reading(0.0, [runner("a"), runner("b")], old, 0.0)
    table.apply_reading(1.0, [runner("a", state=RunnerState.LEAVING), runner("b")], new, 1.0)
    check.assertFalse(table.is_ready("a"))
    table.apply_reading(1.1, [runner("a"), runner("b")], old + 5, 1.1)
    check.assertEqual((table.revision, table.is_ready("a")), (new, False))


def test_an_evacuation_that_the_copy_lacks_holds_until_it_had_time_to_be_written_again():
    zone, other = ZoneName("a"), ZoneName("b")
    evacuations = Evacuations()
    evacuations.apply_reading({zone}, store_revision(1, 900), 0.0)
    evacuations.apply_reading(set(), store_revision(2, 3), 10.0)
    check.assertEqual(evacuations.zones, {zone})
    evacuations.apply_reading({other}, store_revision(2, 4), 11.0)
    check.assertEqual(evacuations.zones, {zone, other})
    evacuations.apply_reading({other}, store_revision(2, 4), 13.0)
    check.assertEqual(evacuations.zones, {other})
