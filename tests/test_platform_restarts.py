"""Runners that start again under their name, or come back, before whole entries on stand-ins."""

import trio

from egretstack.ids import RunnerId
from egretstack.services.fleet_port import FleetPort
from standins.platform import GENERATION, EngineFault, runner_spec
from tests.platform_site import platform_site
from tests.stream_reader import start_reader
from tests.support import check, on_real_clock, tests_of
from tests.test_platform_streams import check_whole, engine_of

load_tests = tests_of(globals())

FIRST_MS, SECOND_MS = 1_700_000_000_000, 1_700_000_009_000
EVENTS = 100
LONG = tuple({**dict(GENERATION), b"token-count": b"1460,4000", b"length-hint": b"2000"}.items())
"""Headers of a generation that is expected to be long: it is worth a copy in case."""


async def born(site):
    """Let every engine tell its birth, and wait until the entries know it."""
    for engine in site.engines:
        engine.events = EVENTS
        write(site, engine, FIRST_MS)
    table = site.kernels[0].get(FleetPort).runners
    await site.until(
        lambda: all(table.is_ready(key(one, FIRST_MS)) for one in site.engines)
        and not any(table.is_ready(RunnerId(one.runner_id)) for one in site.engines)
    )
    return table


def write(site, engine, born_ms, state="ready"):
    """Let an engine write its entry, and tell the same of itself."""
    engine.born_ms = born_ms
    spec = runner_spec("llm", engine.address, state, born_ms)
    site.store.put("servers", engine.runner_id, spec)


def key(engine, born_ms):
    """Give the id of one start of an engine."""
    return RunnerId(f"{engine.runner_id}@{born_ms}")


def others(site, source):
    """Give the engines but one."""
    return [one for one in site.engines if one is not source]


async def started_again_in_midst(site, when, *, cut=False):
    """Read a stream whose engine starts again once `when` holds; give reader and source."""
    await born(site)
    reader = await start_reader(site, "s-1", 5)
    source = engine_of(site, "s-1")
    await site.until(lambda: when(source))
    if cut:
        source.fault = EngineFault.SILENT
        source.copies.clear()
    else:
        source.start_again(SECOND_MS)
    write(site, source, SECOND_MS)
    await reader.ended.wait()
    return reader, source


@on_real_clock
async def test_a_stream_goes_on_elsewhere_when_its_engine_starts_again():
    # The reader notices nothing. The engine crashes in the middle of the stream and is back under
    # its name at once; the copy of the run lies at another engine, where it goes on.
    async with platform_site(plain=0, engines=2) as site:
        reader, source = await started_again_in_midst(site, lambda engine: True)
        check_whole(reader, EVENTS)
        check.assertEqual(len(others(site, source)[0].continued), 1)


@on_real_clock
async def test_a_stream_behind_a_cut_does_not_wait_for_its_former_engine():
    # The connection stays open and says nothing: the engine crashed behind a cut. That a later
    # start goes by its name tells, and the stream goes on at its copy before it is late.
    async with platform_site(plain=0, engines=2) as site:
        reader, source = await started_again_in_midst(site, lambda engine: True, cut=True)
        check_whole(reader, EVENTS)
        check.assertEqual(len(others(site, source)[0].continued), 1)


@on_real_clock
async def test_the_new_start_gets_work_at_once():
    # The only engine had announced its end, crashed before it, and is back: it would stand idle,
    # and every request be refused.
    async with platform_site(plain=0, engines=1) as site:
        table = await born(site)
        engine = site.engines[0]
        engine.events = 5
        write(site, engine, FIRST_MS, "draining")
        await site.until(lambda: not table.is_ready(key(engine, FIRST_MS)))
        engine.start_again(SECOND_MS)
        write(site, engine, SECOND_MS)
        await site.until(lambda: table.is_ready(key(engine, SECOND_MS)))
        reader = await start_reader(site, "s-1", 1)
        await reader.ended.wait()
        check_whole(reader, 5)


@on_real_clock
async def test_a_run_whose_copy_was_lost_with_a_start_gets_another():
    # The engine that holds the copy starts again and knows nothing of it. Then the run's own engine
    # leaves: without another copy the stream would be lost.
    async with platform_site(plain=0, engines=3) as site:
        await born(site)
        for engine in site.engines:
            engine.events = 150
        reader = await start_reader(site, "s-1", 5, headers=LONG)
        source = engine_of(site, "s-1")
        holder = next(one for one in others(site, source) if one.copies)
        holder.start_again(SECOND_MS)
        write(site, holder, SECOND_MS)
        await site.until(lambda: any("h-s-1" in one.copies for one in others(site, source)))
        write(site, source, FIRST_MS, "draining")
        await reader.ended.wait()
        check_whole(reader, 150)


@on_real_clock
async def test_a_start_between_any_two_steps_of_a_move():
    # A run without a copy is moved off an engine that leaves; the engine starts again while the
    # first part is copied, while the rest is, and once the run goes on elsewhere. The reader gets
    # each event once, or the stream is broken off: it never looks whole when it is not.
    steps = {
        "first part": lambda source: ("s-1", False) in source.moves,
        "last part": lambda source: ("s-1", True) in source.moves,
        "gone on": lambda source: not source._report()["running"],
    }
    for name, when in steps.items():
        async with platform_site(plain=0, engines=2) as site:
            await born(site)
            for engine in site.engines:
                engine.fault = EngineFault.NO_ROOM
            reader = await start_reader(site, "s-1", 5)
            source = engine_of(site, "s-1")
            for engine in site.engines:
                engine.fault = EngineFault.NONE
            write(site, source, FIRST_MS, "draining")
            await site.until(lambda when=when, source=source: when(source))
            source.start_again(SECOND_MS)
            write(site, source, SECOND_MS)
            await reader.ended.wait()
            check.assertEqual(reader.ids, list(range(1, len(reader.ids) + 1)), name)
            check.assertEqual(reader.broken, len(reader.ids) < EVENTS, name)
            check.assertEqual(sum(one.runs_by_attempt["s-1"] for one in site.engines), 1, name)


@on_real_clock
async def test_a_report_tells_of_a_new_start_before_the_store_does():
    async with platform_site(plain=0, engines=1) as site:
        table = await born(site)
        site.engines[0].start_again(SECOND_MS)
        await site.until(lambda: table.is_ready(key(site.engines[0], SECOND_MS)))
        check.assertTrue(table.is_gone(key(site.engines[0], FIRST_MS)))


@on_real_clock
async def test_a_runner_that_was_cut_off_from_the_store_gets_work_again():
    # Its entry lapses, and comes back when the cut heals. Left out for good, a third of a small
    # service would be missing; let back by its entry alone, work would go to one that is gone.
    async with platform_site(plain=2) as site:
        table = site.kernels[0].get(FleetPort).runners
        lapsed, gone = site.plain
        gone.healthy = False
        for one in (lapsed, gone):
            site.store.remove("servers", one.runner_id)
            await site.until(lambda one=one: not table.is_ready(RunnerId(one.runner_id)))
            site.register(one.runner_id, "desk", one.address)
        await site.until(lambda: table.is_ready(RunnerId(lapsed.runner_id)))
        head, _ = await site.call("/notes/1", "a-1")
        check.assertEqual(head.status, 200)
        await trio.sleep(1.2)
        check.assertFalse(table.is_ready(RunnerId(gone.runner_id)))


@on_real_clock
async def test_a_generation_that_an_engine_rejects_runs_at_another():
    # The engine's address belongs to another runner by now, which answers that it is not the one
    # asked for. The request surely did not run; the other engine is free, and the reader gets all.
    async with platform_site(plain=0, engines=2) as site:
        named = site.engines[0].runner_id
        site.engines[0].runner_id = "i-another"
        for number in range(4):
            reader = await start_reader(site, f"s-{number}", 1)
            await reader.ended.wait()
            check_whole(reader)
        check.assertEqual(sum(site.engines[0].runs_by_attempt.values()), 0)
        site.engines[0].runner_id = named


@on_real_clock
async def test_a_generation_that_all_engines_reject_is_refused():
    async with platform_site(plain=0, engines=2) as site:
        for engine in site.engines:
            engine.fault = EngineFault.FULL
        head, _ = await site.call("/plans/1", "s-1", method=b"POST", headers=GENERATION)
        check.assertEqual(head.status, 503)
