"""Zones that an operator evacuates: what is sent there, what goes on there, what callers get."""

import json

import trio

from egretstack.fleet import Evacuations, RunnerTable
from egretstack.http1 import first_value
from egretstack.ids import ZoneName
from egretstack.platform import Change, EvacuationEntries, StoredObject
from egretstack.platform._evacuations import MAX_ZONES
from egretstack.relay._execution_status import NO_ELIGIBLE_RUNNER_RETRY_S
from egretstack.services.directory_port import DirectoryPort
from egretstack.services.fleet_port import FleetPort
from standins.platform import StoreFault, runner_spec
from tests.fleet_fixtures import ENGINES, runner
from tests.platform_site import platform_site
from tests.stream_reader import start_reader
from tests.support import check, on_real_clock, tests_of
from tests.test_platform_streams import check_whole, engine_of

load_tests = tests_of(globals())

LEON_A, LEON_B = ZoneName("leon-a"), ZoneName("leon-b")


def entry(name, deleted=False):
    return Change(StoredObject(name, 5, {}), deleted)


def knows(site, *zones):
    """Tell whether every entry takes just these zones for evacuated."""
    ports = [kernel.get(FleetPort) for kernel in site.kernels]
    return all(port.runners.evacuated == frozenset(zones) for port in ports)


def table_of(*zones):
    table = RunnerTable()
    rows = [runner(f"r-{number}", zone=zone) for number, zone in enumerate(zones)]
    table.apply_reading(0.0, rows, 1, 0.0)
    return table


async def calls(site, count, entry=0, **more):
    """Make calls; give their statuses."""
    made = [await site.call("/notes/1", f"r-{n}", entry=entry, **more) for n in range(count)]
    return {head.status for head, _ in made}


def test_a_later_reading_goes_before_an_earlier_one():
    # An instance has read an evacuation itself; the home, which reads later, tells it without.
    known = Evacuations()
    check.assertFalse(known.is_known)
    check.assertEqual(known.apply_reading([LEON_A], 7, 1.0).begun, {LEON_A})
    check.assertIsNone(known.apply_reading([], 6, 2.0))
    check.assertEqual(known.zones, {LEON_A})
    check.assertEqual(known.apply_reading([LEON_B], 8, 3.0).ended, {LEON_A})
    check.assertEqual(known.age_s(5.0), 2.0)


def test_news_of_a_home_that_has_read_nothing_tell_nothing():
    known = Evacuations()
    check.assertIsNone(known.apply_reading([], 0, 1.0))
    check.assertFalse(known.is_known)


def test_entries_that_no_operator_writes_evacuate_nothing_and_spoil_no_others():
    entries = EvacuationEntries()
    names = ["leon-a", "", "x" * 500, "leon\nb", "nowhere"]
    bad = entries.take([entry(name) for name in names])
    check.assertEqual([one.name for one in bad], names[1:4])
    check.assertEqual(entries.zones(), {"leon-a", "nowhere"})
    bad = entries.take([entry(f"z-{number}") for number in range(MAX_ZONES)])
    check.assertEqual(len(entries.zones()), MAX_ZONES)
    check.assertEqual(len(bad), 2)
    entries.take([entry("leon-a", deleted=True), entry("leon-b", deleted=True)])
    check.assertNotIn("leon-a", entries.zones())


def test_runners_of_an_evacuated_zone_get_no_work_and_are_barred_if_there_are_no_others():
    table = table_of("leon-a", "leon-b")
    table.set_evacuated(1.0, frozenset({LEON_A}))
    check.assertEqual([one.zone for one in table.ready(ENGINES)], [LEON_B])
    check.assertFalse(table.has_only_evacuated(ENGINES, None))
    check.assertTrue(table.has_only_evacuated(ENGINES, {LEON_A}))
    table.set_evacuated(2.0, frozenset({LEON_A, LEON_B}))
    check.assertTrue(table.has_only_evacuated(ENGINES, None))
    check.assertFalse(table_of().has_only_evacuated(ENGINES, None))


def test_runners_of_a_zone_that_is_back_are_taken_to_be_cold_for_a_start():
    # Their entries tell that they are cold at the next heartbeat only; all work that waits would
    # go to them before, and they crash.
    table = table_of("leon-a", "leon-b")
    cold, warm = (one.id for one in table.by_id.values())
    table.set_evacuated(1.0, frozenset({LEON_A}))
    table.set_evacuated(2.0, frozenset())
    check.assertTrue(table.is_cold(2.9, cold, 1.0))
    check.assertFalse(table.is_cold(3.1, cold, 1.0))
    check.assertFalse(table.is_cold(2.1, warm, 1.0))


@on_real_clock
async def test_nothing_more_is_sent_to_an_evacuated_zone_until_it_is_taken_back():
    # The operator evacuates a zone. Calls go to the other one from then on, from the instance that
    # read it as from the one that was told; they come back when it is taken back.
    async with platform_site(entries=2, plain=2) as site:
        site.spread("leon-a", "leon-b")
        site.evacuate("leon-a")
        await site.until(lambda: knows(site, "leon-a"))
        before = sum(site.plain[0].runs_by_attempt.values())
        for number in range(2):
            check.assertEqual(await calls(site, 10, entry=number), {200})
        check.assertEqual(sum(site.plain[0].runs_by_attempt.values()), before)
        site.store.remove("evacuations", "leon-a")
        await site.until(lambda: knows(site))
        await calls(site, 10)
        check.assertGreater(sum(site.plain[0].runs_by_attempt.values()), before)


@on_real_clock
async def test_a_stream_in_an_evacuated_zone_goes_on_in_another_one():
    # The reader sees no gap: the run is copied to an engine of another zone and goes on there,
    # though the one it leaves works on.
    async with platform_site(engines=2) as site:
        for engine in site.engines:
            engine.events = 150
        site.spread("leon-a", "leon-b")
        table = site.kernels[0].get(FleetPort).runners
        await site.until(lambda: len({one.zone for one in table.by_id.values()}) > 1)
        reader = await start_reader(site, "s-1", 5)
        source = engine_of(site, "s-1")
        site.evacuate(table.by_id[source.runner_id].zone)
        await site.until(lambda: reader.ended.is_set())
        check_whole(reader, 150)
        (other,) = [one for one in site.engines if one is not source]
        check.assertEqual([attempt for attempt, _ in other.continued], ["s-1"])


@on_real_clock
async def test_a_stream_that_has_nowhere_to_go_ends_where_it_is():
    async with platform_site(engines=2) as site:
        site.spread("leon-a", "leon-b")
        reader = await start_reader(site, "s-1", 5)
        site.evacuate("leon-a", "leon-b")
        await site.until(lambda: knows(site, "leon-a", "leon-b"))
        await site.until(lambda: reader.ended.is_set())
        check_whole(reader, site.engines[0].events)
        check.assertEqual(sum(len(one.continued) for one in site.engines), 0)


@on_real_clock
async def test_with_all_zones_evacuated_callers_are_told_so_at_once():
    # Callers are refused with the time to come back, and nothing ran: waiting for room until their
    # time is up would tell them nothing more.
    async with platform_site(plain=1, engines=1) as site:
        site.evacuate("leon-a")
        await site.until(lambda: knows(site, "leon-a"))
        for path, method in (("/notes/1", b"GET"), ("/holds/1", b"POST"), ("/plans/1", b"POST")):
            began_s = trio.current_time()
            head, body = await site.call(path, f"a{path}", method=method)
            check.assertLess(trio.current_time() - began_s, 2.0)
            check.assertEqual(head.status, 503)
            told_s = float(first_value(head.headers, b"retry-after"))
            check.assertEqual(told_s, NO_ELIGIBLE_RUNNER_RETRY_S)
            check.assertIn("no zone", json.loads(body)["detail"])
        check.assertEqual(sum(site.plain[0].runs_by_attempt.values()), 0)
        check.assertEqual(sum(site.engines[0].runs_by_attempt.values()), 0)


@on_real_clock
async def test_an_evacuation_holds_while_the_store_is_down_and_over_a_restart():
    # The store falls silent after an evacuation, and forgets its history. What is known holds; an
    # instance that starts meanwhile serves once the others have told it, and sends nothing there.
    async with platform_site(entries=2, plain=2) as site:
        site.spread("leon-a", "leon-b")
        site.evacuate("leon-a")
        await site.until(lambda: knows(site, "leon-a"))
        before = sum(site.plain[0].runs_by_attempt.values())
        site.store.fault = StoreFault.SILENT
        site.store.forget_history()
        kernel = await site.start_entry(2)
        await site.until(lambda: kernel.get(DirectoryPort).is_ready())
        for number in range(3):
            check.assertEqual(await calls(site, 5, entry=number), {200})
        check.assertTrue(knows(site, "leon-a"))
        check.assertEqual(sum(site.plain[0].runs_by_attempt.values()), before)
        site.store.remove("evacuations", "leon-a")
        site.store.fault = StoreFault.NONE
        await site.until(lambda: knows(site))


@on_real_clock
async def test_an_instance_that_hears_no_home_reads_evacuations_itself():
    # Two instances; the second one is cut off from the first for datagrams, and not from the store.
    async with platform_site(entries=2, plain=2) as site:
        site.spread("leon-a", "leon-b")
        for kernel in site.kernels:
            kernel.get(FleetPort).send_encoded = lambda address, data: None
        site.evacuate("leon-b")
        await site.until(lambda: knows(site, "leon-b"))


@on_real_clock
async def test_an_entry_that_names_no_zone_harms_nothing():
    async with platform_site(plain=1) as site:
        site.store.put("evacuations", "x" * 500, {"zone": -1})
        site.store.put("evacuations", "leon-b", ["no object"])
        await site.until(lambda: knows(site, "leon-b"))
        site.store.put("servers", "i-desk-9", runner_spec("desk", "127.0.0.1:1"))
        check.assertEqual(await calls(site, 3), {200})
