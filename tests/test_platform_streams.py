"""Streams through whole entries on the platform's stand-ins: moved, lost, silent, abandoned."""

import trio

from egretstack.ids import RegionName
from egretstack.services.directory_port import DirectoryPort
from egretstack.services.fleet_port import FleetPort
from egretstack.services.store_reading import StoreReading
from standins.platform import GENERATION, HOST, EngineFault, route, runner_spec
from tests.platform_site import platform_site
from tests.stream_reader import Reader, read
from tests.support import check, on_real_clock, tests_of

load_tests = tests_of(globals())

DRAINING = "draining"


def engine_of(site, attempt):
    """Give the engine where an attempt began."""
    return next(one for one in site.engines if one.runs_by_attempt[attempt])


def check_whole(reader, events=30):
    """Check that a client saw each event once and in order, and the proper end."""
    check.assertEqual((reader.status, reader.broken), (200, False))
    check.assertEqual(reader.ids, list(range(1, events + 1)))


@on_real_clock
async def test_a_stream_goes_through_whole():
    async with platform_site(plain=0, engines=2) as site:
        reader = await read(site, "s-1", 1)
        await reader.ended.wait()
        check_whole(reader)


@on_real_clock
async def test_a_runner_that_leaves_hands_its_stream_to_the_backup():
    # The reader notices nothing: the runner is told to leave in the middle of the stream, which
    # goes on from the backup copy of its memory after the last event that was passed on.
    async with platform_site(plain=0, engines=2) as site:
        for one in site.engines:
            one.events = 80
        reader = await read(site, "s-1", 5)
        source = engine_of(site, "s-1")
        site.register(source.runner_id, "llm", source.address, DRAINING)
        await reader.ended.wait()
        check_whole(reader, 80)
        other = next(one for one in site.engines if one is not source)
        check.assertEqual(len(other.continued), 1)
        check.assertEqual(sum(one.runs_by_attempt["s-1"] for one in site.engines), 1)


@on_real_clock
async def test_a_copy_that_is_not_there_is_made_anew():
    # The runner leaves, and the engine that was to have the copy has none: its part was still on
    # its way. Asked to go on it rejects. The stream stays where it is and is copied elsewhere.
    async with platform_site(plain=0, engines=3) as site:
        for one in site.engines:
            one.events = 200
        reader = await read(site, "s-1", 5)
        for one in site.engines:
            one.copies.clear()
        source = engine_of(site, "s-1")
        site.register(source.runner_id, "llm", source.address, DRAINING)
        await reader.ended.wait()
        check_whole(reader, 200)
        check.assertEqual(sum(len(one.continued) for one in site.engines), 1)


@on_real_clock
async def test_a_runner_that_dies_loses_nothing_that_has_a_copy():
    async with platform_site(plain=0, engines=2) as site:
        reader = await read(site, "s-1", 5)
        engine_of(site, "s-1").stop()
        await reader.ended.wait()
        check_whole(reader)


@on_real_clock
async def test_a_runner_that_falls_silent_is_left():
    # The reader would wait for ever: the runner's connection stays open and says nothing more.
    async with platform_site(plain=0, engines=2) as site:
        reader = await read(site, "s-1", 5)
        engine_of(site, "s-1").fault = EngineFault.SILENT
        await reader.ended.wait()
        check_whole(reader)


@on_real_clock
async def test_a_continued_run_that_repeats_its_last_event():
    async with platform_site(plain=0, engines=2) as site:
        reader = await read(site, "s-1", 5)
        source = engine_of(site, "s-1")
        next(one for one in site.engines if one is not source).fault = EngineFault.REPEATS
        source.stop()
        await reader.ended.wait()
        check_whole(reader)


@on_real_clock
async def test_a_continued_run_with_a_gap_is_broken_off():
    # The reader would miss a piece and not know: what goes on leaves an event out. The stream is
    # broken off, which cannot be taken for its end.
    async with platform_site(plain=0, engines=2) as site:
        reader = await read(site, "s-1", 5)
        source = engine_of(site, "s-1")
        next(one for one in site.engines if one is not source).fault = EngineFault.SKIPS
        source.stop()
        await reader.ended.wait()
        check.assertTrue(reader.broken)
        check.assertEqual(reader.ids, list(range(1, len(reader.ids) + 1)))


@on_real_clock
async def test_a_runner_without_a_copy_is_emptied_by_a_move():
    # The backup's runner had no room, so that nothing stands elsewhere when the runner is told to
    # leave: the memory is copied while the stream runs, then the rest, and it goes on there.
    async with platform_site(plain=0, engines=2) as site:
        for one in site.engines:
            one.fault = EngineFault.NO_ROOM
            one.events = 150
        reader = await read(site, "s-1", 5)
        source = engine_of(site, "s-1")
        for one in site.engines:
            one.fault = EngineFault.NONE
        site.register(source.runner_id, "llm", source.address, DRAINING)
        await reader.ended.wait()
        check_whole(reader, 150)
        check.assertIn(("s-1", True), source.moves)


@on_real_clock
async def test_a_lost_stream_does_not_look_complete():
    async with platform_site(plain=0, engines=1) as site:
        reader = await read(site, "s-1", 5)
        site.engines[0].stop()
        await reader.ended.wait()
        check.assertTrue(reader.broken)
        check.assertLess(len(reader.ids), 30)


@on_real_clock
async def test_a_client_that_leaves_stops_the_run():
    async with platform_site(plain=0, engines=2) as site:
        for one in site.engines:
            one.events = 1_000
        reader = await read(site, "s-1", 5)
        source = engine_of(site, "s-1")
        reader.scope.cancel()
        await site.until(lambda: source._report()["running"] == 0)


@on_real_clock
async def test_full_engines_refuse_with_a_time_to_come_back():
    async with platform_site(plain=0, engines=2) as site:
        for one in site.engines:
            one.fault = EngineFault.FULL
        head, _ = await site.call("/plans/1", "s-1", method=b"POST", headers=GENERATION)
        check.assertEqual(head.status, 503)
        check.assertEqual(sum(one.runs_by_attempt["s-1"] for one in site.engines), 0)


@on_real_clock
async def test_a_caller_with_time_waits_for_room():
    # The only place is taken for 2 s, longer than a first token may take to be in time. The caller
    # has 39 s: refused after one it would come back, late, and be refused for good.
    async with platform_site(plain=0, engines=1) as site:
        engine = site.engines[0]
        engine.gap_s = 0.07
        spec = runner_spec("llm", engine.address) | {"slots": 1}
        site.store.put("servers", engine.runner_id, spec)
        site.routes = [route("plans", "streaming", "llm", **{"timeout-ms": 39_000})]
        version = site.configure()
        reading = site.kernels[0].get(StoreReading)
        await site.until(lambda: reading.gate.version == version)
        table = site.kernels[0].get(FleetPort).runners
        await site.until(lambda: table.by_id[engine.runner_id].slots == 1)
        first = await read(site, "s-1", 1)
        second = await read(site, "s-2", 1, deadline_ms=39_000)
        check.assertTrue(first.ended.is_set())
        await second.ended.wait()
        check_whole(second)


@on_real_clock
async def test_an_engine_that_does_not_connect_is_passed_over():
    async with platform_site(plain=0, engines=2) as site:
        site.engines[0].stop()
        for number in range(4):
            reader = await read(site, f"s-{number}", 1)
            await reader.ended.wait()
            check_whole(reader)


@on_real_clock
async def test_placing_goes_on_when_the_home_is_gone():
    # Streams start a little later for a moment, and none is refused: the home was killed, and its
    # silence is noticed by the first question.
    async with platform_site(entries=3, plain=0, engines=2) as site:
        home = _home(site)
        for kernel in site.kernels:
            if kernel.settings.instance == home:
                await _kill(site, kernel)
        entry = next(n for n, one in enumerate(site.kernels) if one.settings.instance != home)
        reader = Reader(site, "s-1", entry)
        site.nursery.start_soon(reader.run)
        await reader.ended.wait()
        check_whole(reader)


def _home(site):
    return site.kernels[0].get(FleetPort).fleet.home(trio.current_time())


async def _kill(site, kernel):
    site.scope_by_instance[kernel.settings.instance].cancel()
    await trio.sleep(0.05)


@on_real_clock
async def test_entries_find_each_other_and_tell_clients_who_is_ready():
    async with platform_site(entries=3) as site:
        directory = site.settings(0).directory_address
        expected = {one.settings.front_address for one in site.kernels}
        await site.until(lambda: _ready(site, 0) == expected)
        site.kernels[2].begin_drain()
        left = expected - {site.settings(2).front_address}
        await site.until(lambda: _ready(site, 0) == left)
        check.assertEqual(set(await site.resolve(directory)), left)


def _ready(site, number):
    return set(site.kernels[number].get(DirectoryPort).ready_addresses(RegionName("bajio"), HOST))
