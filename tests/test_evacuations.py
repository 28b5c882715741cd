"""Evacuated zones: where requests go, what happens to streams there, and what clients get."""

import json
from unittest.mock import patch

import trio

from egretstack.fleet import Evacuations, RunnerTable
from egretstack.http1 import first_value
from egretstack.ids import ZoneName
from egretstack.platform import Change, EvacuationEntries, StoredObject
from egretstack.platform._evacuations import MAX_ZONES
from egretstack.relay._execution_status import NO_ELIGIBLE_RUNNER_RETRY_S
from egretstack.services.directory_port import DirectoryPort
from egretstack.services.fleet_port import FleetPort
from egretstack.services.runner_links import RunnerLinks
from standins.platform import GENERATION, StoreFault, runner_spec
from tests.fleet_fixtures import ENGINES, runner
from tests.platform_site import platform_site
from tests.stream_reader import start_reader
from tests.support import check, on_real_clock, tests_of
from tests.test_platform_streams import check_whole, engine_of

load_tests = tests_of(globals())

LEON_A, LEON_B = ZoneName("leon-a"), ZoneName("leon-b")


def evacuation_change(name, deleted=False):
    return Change(StoredObject(name, 5, {}), deleted)


def evacuated_everywhere(site, *zones):
    """Return whether every entry knows exactly these zones as evacuated."""
    ports = [kernel.get(FleetPort) for kernel in site.kernels]
    return all(port.runners.evacuated == frozenset(zones) for port in ports)


def table_of(*zones):
    table = RunnerTable()
    rows = [runner(f"r-{number}", zone=zone) for number, zone in enumerate(zones)]
    table.apply_reading(0.0, rows, 1, 0.0)
    return table


async def call_statuses(site, count, entry=0, **more):
    """Make calls; return the set of their statuses."""
    made = [await site.call("/notes/1", f"r-{n}", entry=entry, **more) for n in range(count)]
    return {head.status for head, _ in made}


def test_an_earlier_reading_does_not_replace_a_later_one():
    # An instance has read an evacuation itself, and then gets an older reading from the home.
    evacuations = Evacuations()
    check.assertFalse(evacuations.is_known)
    check.assertEqual(evacuations.apply_reading([LEON_A], 7, 1.0).begun, {LEON_A})
    check.assertIsNone(evacuations.apply_reading([], 6, 2.0))
    check.assertEqual(evacuations.zones, {LEON_A})
    check.assertEqual(evacuations.apply_reading([LEON_B], 8, 3.0).ended, {LEON_A})
    check.assertEqual(evacuations.age_s(5.0), 2.0)


def test_updates_of_a_home_without_a_reading_are_ignored():
    evacuations = Evacuations()
    check.assertIsNone(evacuations.apply_reading([], 0, 1.0))
    check.assertFalse(evacuations.is_known)


def test_invalid_entries_are_skipped_and_valid_ones_still_apply():
    entries = EvacuationEntries()
    names = ["leon-a", "", "x" * 500, "leon\nb", "nowhere"]
    bad = entries.apply([evacuation_change(name) for name in names])
    check.assertEqual([one.name for one in bad], names[1:4])
    check.assertEqual(entries.zones(), {"leon-a", "nowhere"})
    bad = entries.apply([evacuation_change(f"z-{number}") for number in range(MAX_ZONES)])
    check.assertEqual(len(entries.zones()), MAX_ZONES)
    check.assertEqual(len(bad), 2)
    entries.apply(
        [evacuation_change("leon-a", deleted=True), evacuation_change("leon-b", deleted=True)]
    )
    check.assertNotIn("leon-a", entries.zones())


def test_runners_of_an_evacuated_zone_get_no_requests():
    table = table_of("leon-a", "leon-b")
    table.set_evacuated(1.0, frozenset({LEON_A}))
    check.assertEqual([one.zone for one in table.ready(ENGINES)], [LEON_B])
    check.assertFalse(table.has_only_evacuated(ENGINES, None))
    check.assertTrue(table.has_only_evacuated(ENGINES, {LEON_A}))
    table.set_evacuated(2.0, frozenset({LEON_A, LEON_B}))
    check.assertTrue(table.has_only_evacuated(ENGINES, None))
    check.assertFalse(table_of().has_only_evacuated(ENGINES, None))


def test_runners_of_a_restored_zone_count_as_cold_at_first():
    # Their entries show that they are cold only at the next heartbeat; before that, all queued
    # requests would be sent to them and crash them.
    table = table_of("leon-a", "leon-b")
    cold, warm = (one.id for one in table.by_id.values())
    table.set_evacuated(1.0, frozenset({LEON_A}))
    table.set_evacuated(2.0, frozenset())
    check.assertTrue(table.is_cold(2.9, cold, 1.0))
    check.assertFalse(table.is_cold(3.1, cold, 1.0))
    check.assertFalse(table.is_cold(2.1, warm, 1.0))


@on_real_clock
async def test_no_calls_reach_an_evacuated_zone_until_it_is_restored():
    # Calls go to the other zone once the operator has evacuated one, both from the instance that
    # read the evacuation and from the one that got it as an update; they return after the
    # evacuation.
    async with platform_site(entries=2, plain=2) as site:
        site.assign_zones("leon-a", "leon-b")
        site.evacuate("leon-a")
        await site.until(lambda: evacuated_everywhere(site, "leon-a"))
        before = sum(site.plain[0].runs_by_attempt.values())
        for number in range(2):
            check.assertEqual(await call_statuses(site, 10, entry=number), {200})
        check.assertEqual(sum(site.plain[0].runs_by_attempt.values()), before)
        site.store.remove("evacuations", "leon-a")
        await site.until(lambda: evacuated_everywhere(site))
        await call_statuses(site, 10)
        check.assertGreater(sum(site.plain[0].runs_by_attempt.values()), before)


@on_real_clock
async def test_a_stream_in_an_evacuated_zone_continues_in_another_zone():
    # The reader sees no gap: the run is copied to an engine of another zone and continues there,
    # although the engine it leaves is still working.
    async with platform_site(engines=2) as site:
        for engine in site.engines:
            engine.events = 150
        site.assign_zones("leon-a", "leon-b")
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
async def test_a_stream_without_another_zone_finishes_on_its_engine():
    async with platform_site(engines=2) as site:
        site.assign_zones("leon-a", "leon-b")
        reader = await start_reader(site, "s-1", 5)
        site.evacuate("leon-a", "leon-b")
        await site.until(lambda: evacuated_everywhere(site, "leon-a", "leon-b"))
        await site.until(lambda: reader.ended.is_set())
        check_whole(reader, site.engines[0].events)
        check.assertEqual(sum(len(one.continued) for one in site.engines), 0)


@on_real_clock
async def test_with_all_zones_evacuated_requests_are_refused_at_once():
    # Requests are refused with a retry time, and nothing ran. Keeping them queued until their
    # deadline would be of no use to the clients.
    async with platform_site(plain=1, engines=1) as site:
        site.evacuate("leon-a")
        await site.until(lambda: evacuated_everywhere(site, "leon-a"))
        for path, method in (("/notes/1", b"GET"), ("/holds/1", b"POST"), ("/plans/1", b"POST")):
            began_s = trio.current_time()
            head, body = await site.call(path, f"a{path}", method=method)
            check.assertLess(trio.current_time() - began_s, 2.0)
            check.assertEqual(head.status, 503)
            retry_after_s = float(first_value(head.headers, b"retry-after"))
            check.assertEqual(retry_after_s, NO_ELIGIBLE_RUNNER_RETRY_S)
            check.assertIn("no zone", json.loads(body)["detail"])
        check.assertEqual(sum(site.plain[0].runs_by_attempt.values()), 0)
        check.assertEqual(sum(site.engines[0].runs_by_attempt.values()), 0)


@on_real_clock
async def test_an_evacuation_persists_through_a_store_outage_and_an_instance_start():
    # The store stops answering after an evacuation, and forgets its history. What is known stays in
    # force. An instance that starts meanwhile serves once it has the updates of the others, and
    # sends nothing to the evacuated zone.
    async with platform_site(entries=2, plain=2) as site:
        site.assign_zones("leon-a", "leon-b")
        site.evacuate("leon-a")
        await site.until(lambda: evacuated_everywhere(site, "leon-a"))
        before = sum(site.plain[0].runs_by_attempt.values())
        site.store.fault = StoreFault.SILENT
        site.store.forget_history()
        kernel = await site.start_entry(2)
        await site.until(lambda: kernel.get(DirectoryPort).is_ready())
        for number in range(3):
            check.assertEqual(await call_statuses(site, 5, entry=number), {200})
        check.assertTrue(evacuated_everywhere(site, "leon-a"))
        check.assertEqual(sum(site.plain[0].runs_by_attempt.values()), before)
        site.store.remove("evacuations", "leon-a")
        site.store.fault = StoreFault.NONE
        await site.until(lambda: evacuated_everywhere(site))


@on_real_clock
async def test_an_instance_without_updates_of_a_home_reads_evacuations_itself():
    # The datagrams between two instances are lost; both of them still reach the store.
    async with platform_site(entries=2, plain=2) as site:
        site.assign_zones("leon-a", "leon-b")
        for kernel in site.kernels:
            kernel.get(FleetPort).send_encoded = lambda address, data: None
        site.evacuate("leon-b")
        await site.until(lambda: evacuated_everywhere(site, "leon-b"))


@on_real_clock
async def test_nothing_is_sent_to_a_zone_that_is_evacuated_during_the_connecting():
    # Guards against requests that are sent after the evacuation is known to their instance.
    async with platform_site(plain=2, engines=2) as site:
        site.assign_zones("leon-a", "leon-b")
        port = site.kernels[0].get(FleetPort)
        await site.until(lambda: len({one.zone for one in port.runners.by_id.values()}) > 1)
        runners = [*site.plain, *site.engines]
        links = site.kernels[0].get(RunnerLinks)
        connect = links.connect

        async def connect_and_evacuate(address, timeout_s):
            connection = await connect(address, timeout_s)
            zone = next(one.zone for one in port.runners.by_id.values() if one.address == address)
            if not port.runners.evacuated:
                port.runners.set_evacuated(trio.current_time(), frozenset({zone}))
                evacuated.extend(
                    one.runner_id
                    for one in runners
                    if port.runners.by_id[one.runner_id].zone == zone
                )
            return connection

        for path in ("/holds/1", "/plans/1"):
            evacuated = []
            with patch.object(links, "connect", connect_and_evacuate):
                head, _ = await site.call(path, path, method=b"POST", headers=GENERATION)
            check.assertEqual(head.status, 200)
            check.assertEqual(len(evacuated), 2)
            ran = [one.runner_id for one in runners if one.runs_by_attempt[path]]
            check.assertEqual(set(ran) & set(evacuated), set())
            port.runners.set_evacuated(trio.current_time(), frozenset())


@on_real_clock
async def test_a_store_that_answers_late_does_not_hide_an_evacuation():
    # Guards against reads that are all given up shortly before their answer, on a busy machine.
    async with platform_site(entries=2, plain=2) as site:
        site.assign_zones("leon-a", "leon-b")
        site.store.answer_delay_s = 1.8
        calls = len(site.store.calls)
        await site.until(lambda: len(site.store.calls) > calls + 8)
        site.evacuate("leon-b")
        await site.until(lambda: evacuated_everywhere(site, "leon-b"))


@on_real_clock
async def test_an_entry_that_names_no_zone_is_ignored():
    async with platform_site(plain=1) as site:
        site.store.put("evacuations", "x" * 500, {"zone": -1})
        site.store.put("evacuations", "leon-b", ["no object"])
        await site.until(lambda: evacuated_everywhere(site, "leon-b"))
        site.store.put("servers", "i-desk-9", runner_spec("desk", "127.0.0.1:1"))
        check.assertEqual(await call_statuses(site, 3), {200})
