"""Streams through complete entries on the platform's stand-ins: moved, lost, stalled, abandoned."""

import trio

from egretstack.ids import RegionName
from egretstack.services.directory_port import DirectoryPort
from egretstack.services.fleet_port import FleetPort
from egretstack.services.store_reading import StoreReading
from standins.platform import GENERATION, HOST, EngineFault, route, runner_spec
from tests.platform_site import platform_site
from tests.stream_reader import StreamReader, start_reader
from tests.support import check, on_real_clock, tests_of

load_tests = tests_of(globals())

DRAINING = "draining"


def engine_of(site, attempt):
    """Return the engine on which an attempt started."""
    return next(engine for engine in site.engines if engine.runs_by_attempt[attempt])


def check_whole(reader, events=30):
    """Check that a client received each event once and in order, and a normal end."""
    check.assertEqual((reader.status, reader.broken), (200, False))
    check.assertEqual(reader.ids, list(range(1, events + 1)))


@on_real_clock
async def test_a_stream_is_relayed_completely():
    async with platform_site(plain=0, engines=2) as site:
        reader = await start_reader(site, "s-1", 1)
        await reader.ended.wait()
        check_whole(reader)


@on_real_clock
async def test_a_stream_on_a_leaving_runner_continues_on_the_backup():
    # The runner is told to leave in the middle of a stream. The stream continues from the backup
    # copy of the run's KV cache, after the last forwarded event; the reader notices nothing.
    async with platform_site(plain=0, engines=2) as site:
        for engine in site.engines:
            engine.events = 80
        reader = await start_reader(site, "s-1", 5)
        source = engine_of(site, "s-1")
        site.register(source.runner_id, "llm", source.address, DRAINING)
        await reader.ended.wait()
        check_whole(reader, 80)
        other = next(engine for engine in site.engines if engine is not source)
        check.assertEqual(len(other.continued), 1)
        check.assertEqual(sum(engine.runs_by_attempt["s-1"] for engine in site.engines), 1)


@on_real_clock
async def test_a_missing_copy_is_made_again():
    # The runner leaves, and the engine that should have the copy has none because the transfer was
    # not finished. It rejects the request to continue. The stream stays where it is and the run is
    # copied elsewhere.
    async with platform_site(plain=0, engines=3) as site:
        for engine in site.engines:
            engine.events = 200
        reader = await start_reader(site, "s-1", 5)
        for engine in site.engines:
            engine.copies.clear()
        source = engine_of(site, "s-1")
        site.register(source.runner_id, "llm", source.address, DRAINING)
        await reader.ended.wait()
        check_whole(reader, 200)
        check.assertEqual(sum(len(engine.continued) for engine in site.engines), 1)


@on_real_clock
async def test_a_run_with_a_copy_survives_the_death_of_its_runner():
    async with platform_site(plain=0, engines=2) as site:
        reader = await start_reader(site, "s-1", 5)
        engine_of(site, "s-1").stop()
        await reader.ended.wait()
        check_whole(reader)


@on_real_clock
async def test_a_stream_leaves_an_unresponsive_runner():
    # The reader would wait forever: the runner's connection stays open without any more data.
    async with platform_site(plain=0, engines=2) as site:
        reader = await start_reader(site, "s-1", 5)
        engine_of(site, "s-1").fault = EngineFault.SILENT
        await reader.ended.wait()
        check_whole(reader)


@on_real_clock
async def test_a_continued_run_that_repeats_its_last_event():
    async with platform_site(plain=0, engines=2) as site:
        reader = await start_reader(site, "s-1", 5)
        source = engine_of(site, "s-1")
        next(engine for engine in site.engines if engine is not source).fault = EngineFault.REPEATS
        source.stop()
        await reader.ended.wait()
        check_whole(reader)


@on_real_clock
async def test_a_continued_run_with_a_gap_is_aborted():
    # The continued run skips an event, and text would be missing without the reader noticing. The
    # stream is aborted, which cannot be taken for its end.
    async with platform_site(plain=0, engines=2) as site:
        reader = await start_reader(site, "s-1", 5)
        source = engine_of(site, "s-1")
        next(engine for engine in site.engines if engine is not source).fault = EngineFault.SKIPS
        source.stop()
        await reader.ended.wait()
        check.assertTrue(reader.broken)
        check.assertEqual(reader.ids, list(range(1, len(reader.ids) + 1)))


@on_real_clock
async def test_a_run_without_a_copy_is_moved_off_a_leaving_runner():
    # The backup engine had no free memory, so there is no copy when the runner is told to leave.
    # The KV cache is copied while the stream runs, then the remainder, and the run continues there.
    async with platform_site(plain=0, engines=2) as site:
        for engine in site.engines:
            engine.fault = EngineFault.NO_ROOM
            engine.events = 150
        reader = await start_reader(site, "s-1", 5)
        source = engine_of(site, "s-1")
        for engine in site.engines:
            engine.fault = EngineFault.NONE
        site.register(source.runner_id, "llm", source.address, DRAINING)
        await reader.ended.wait()
        check_whole(reader, 150)
        check.assertIn(("s-1", True), source.moves)


@on_real_clock
async def test_a_lost_stream_does_not_look_complete():
    async with platform_site(plain=0, engines=1) as site:
        reader = await start_reader(site, "s-1", 5)
        site.engines[0].stop()
        await reader.ended.wait()
        check.assertTrue(reader.broken)
        check.assertLess(len(reader.ids), 30)


@on_real_clock
async def test_a_client_that_disconnects_stops_the_run():
    async with platform_site(plain=0, engines=2) as site:
        for engine in site.engines:
            engine.events = 1_000
        reader = await start_reader(site, "s-1", 5)
        source = engine_of(site, "s-1")
        reader.scope.cancel()
        await site.until(lambda: source._report()["running"] == 0)


@on_real_clock
async def test_full_engines_refuse_with_a_retry_time():
    async with platform_site(plain=0, engines=2) as site:
        for engine in site.engines:
            engine.fault = EngineFault.FULL
        head, _ = await site.call("/plans/1", "s-1", method=b"POST", headers=GENERATION)
        check.assertEqual(head.status, 503)
        check.assertEqual(sum(engine.runs_by_attempt["s-1"] for engine in site.engines), 0)


@on_real_clock
async def test_a_caller_with_time_waits_for_a_free_slot():
    # The only slot is in use for 2 s, longer than the target time to the first token. The caller
    # has 39 s. If it were refused after one second, it would come back late and be refused for
    # good.
    async with platform_site(plain=0, engines=1) as site:
        engine = site.engines[0]
        engine.gap_s = 0.07
        spec = runner_spec("llm", engine.address) | {"slots": 1}
        site.store.put("servers", engine.runner_id, spec)
        site.routes = [route("plans", "streaming", "llm", **{"timeout-ms": 39_000})]
        version = site.configure()
        store = site.kernels[0].get(StoreReading)
        await site.until(lambda: store.gate.version == version)
        table = site.kernels[0].get(FleetPort).runners
        await site.until(lambda: table.by_id[engine.runner_id].slots == 1)
        first = await start_reader(site, "s-1", 1)
        second = await start_reader(site, "s-2", 1, deadline_ms=39_000)
        check.assertTrue(first.ended.is_set())
        await second.ended.wait()
        check_whole(second)


@on_real_clock
async def test_an_engine_that_refuses_connections_is_skipped():
    async with platform_site(plain=0, engines=2) as site:
        site.engines[0].stop()
        for number in range(4):
            reader = await start_reader(site, f"s-{number}", 1)
            await reader.ended.wait()
            check_whole(reader)


@on_real_clock
async def test_placing_continues_after_the_home_was_killed():
    # The home was killed, which the first unanswered request reveals. Streams start slightly later
    # for a moment, and none is refused.
    async with platform_site(entries=3, plain=0, engines=2) as site:
        home = _home(site)
        for kernel in site.kernels:
            if kernel.settings.instance == home:
                await _kill(site, kernel)
        entry = next(n for n, kernel in enumerate(site.kernels) if kernel.settings.instance != home)
        reader = StreamReader(site, "s-1", entry)
        site.nursery.start_soon(reader.run)
        await reader.ended.wait()
        check_whole(reader)


def _home(site):
    return site.kernels[0].get(FleetPort).fleet.home(trio.current_time())


async def _kill(site, kernel):
    site.scope_by_instance[kernel.settings.instance].cancel()
    await trio.sleep(0.05)


@on_real_clock
async def test_entries_discover_each_other_and_list_the_ready_ones():
    async with platform_site(entries=3) as site:
        directory = site.settings(0).directory_address
        expected = {kernel.settings.front_address for kernel in site.kernels}
        await site.until(lambda: _ready(site, 0) == expected)
        site.kernels[2].begin_drain()
        remaining = expected - {site.settings(2).front_address}
        await site.until(lambda: _ready(site, 0) == remaining)
        check.assertEqual(set(await site.resolve(directory)), remaining)


def _ready(site, number):
    return set(site.kernels[number].get(DirectoryPort).ready_addresses(RegionName("bajio"), HOST))
