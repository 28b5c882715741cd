"""Runners that restart under the same name or are listed again, with complete entries."""

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
"""Headers of a generation that is expected to be long, and so gets a backup."""


async def register_first_starts(site):
    """Let every engine report its start time; return the table once the entries know it."""
    for engine in site.engines:
        engine.events = EVENTS
        register_start(site, engine, FIRST_MS)
    table = site.kernels[0].get(FleetPort).runners
    await site.until(
        lambda: all(table.is_ready(incarnation_id(one, FIRST_MS)) for one in site.engines)
        and not any(table.is_ready(RunnerId(one.runner_id)) for one in site.engines)
    )
    return table


def register_start(site, engine, started_ms, state="ready"):
    """Write an engine's entry with its start time, and let the engine report the same time."""
    engine.started_ms = started_ms
    spec = runner_spec("llm", engine.address, state, started_ms)
    site.store.put("servers", engine.runner_id, spec)


def incarnation_id(engine, started_ms):
    """Return the id of one incarnation of an engine."""
    return RunnerId(f"{engine.runner_id}@{started_ms}")


def other_engines(site, source):
    """Return all engines except one."""
    return [one for one in site.engines if one is not source]


async def read_through_restart(site, condition, *, cut=False):
    """Read a stream whose engine restarts once `condition` holds; return reader and source."""
    await register_first_starts(site)
    reader = await start_reader(site, "s-1", 5)
    source = engine_of(site, "s-1")
    await site.until(lambda: condition(source))
    if cut:
        source.fault = EngineFault.SILENT
        source.copies.clear()
    else:
        source.restart(SECOND_MS)
    register_start(site, source, SECOND_MS)
    await reader.ended.wait()
    return reader, source


@on_real_clock
async def test_a_stream_continues_elsewhere_when_its_engine_restarts():
    # The reader notices nothing. The engine crashes in the middle of the stream and is back under
    # its name at once; the run continues at the engine that holds its copy.
    async with platform_site(plain=0, engines=2) as site:
        reader, source = await read_through_restart(site, lambda engine: True)
        check_whole(reader, EVENTS)
        check.assertEqual(len(other_engines(site, source)[0].continued), 1)


@on_real_clock
async def test_a_partitioned_stream_does_not_wait_for_its_restarted_engine():
    # The engine crashed behind a network partition, so its connection stays open without data. Its
    # name is listed with a later start time, and the stream continues at its copy before it is
    # late.
    async with platform_site(plain=0, engines=2) as site:
        reader, source = await read_through_restart(site, lambda engine: True, cut=True)
        check_whole(reader, EVENTS)
        check.assertEqual(len(other_engines(site, source)[0].continued), 1)


@on_real_clock
async def test_a_restarted_engine_gets_requests_at_once():
    # The only engine had announced that it leaves, crashed before it did, and is back. If it still
    # counted as leaving it would be idle, and every request would be refused.
    async with platform_site(plain=0, engines=1) as site:
        table = await register_first_starts(site)
        engine = site.engines[0]
        engine.events = 5
        register_start(site, engine, FIRST_MS, "draining")
        await site.until(lambda: not table.is_ready(incarnation_id(engine, FIRST_MS)))
        engine.restart(SECOND_MS)
        register_start(site, engine, SECOND_MS)
        await site.until(lambda: table.is_ready(incarnation_id(engine, SECOND_MS)))
        reader = await start_reader(site, "s-1", 1)
        await reader.ended.wait()
        check_whole(reader, 5)


@on_real_clock
async def test_a_run_whose_backup_engine_restarted_gets_another_backup():
    # The engine with the copy restarts and has lost it. Then the run's own engine leaves: without
    # another copy the stream would be lost.
    async with platform_site(plain=0, engines=3) as site:
        await register_first_starts(site)
        for engine in site.engines:
            engine.events = 150
        reader = await start_reader(site, "s-1", 5, headers=LONG)
        source = engine_of(site, "s-1")
        holder = next(one for one in other_engines(site, source) if one.copies)
        holder.restart(SECOND_MS)
        register_start(site, holder, SECOND_MS)
        await site.until(lambda: any("h-s-1" in one.copies for one in other_engines(site, source)))
        register_start(site, source, FIRST_MS, "draining")
        await reader.ended.wait()
        check_whole(reader, 150)


@on_real_clock
async def test_an_engine_restart_between_any_two_steps_of_a_move():
    # A run without a copy is moved off a leaving engine, which restarts while the first part is
    # copied, while the rest is copied, or once the run continues elsewhere. The reader gets each
    # event once, or the stream is broken off: it must never look complete when it is not.
    steps = {
        "first part": lambda source: ("s-1", False) in source.moves,
        "last part": lambda source: ("s-1", True) in source.moves,
        "continued": lambda source: not source._report()["running"],
    }
    for name, when in steps.items():
        async with platform_site(plain=0, engines=2) as site:
            await register_first_starts(site)
            for engine in site.engines:
                engine.fault = EngineFault.NO_ROOM
            reader = await start_reader(site, "s-1", 5)
            source = engine_of(site, "s-1")
            for engine in site.engines:
                engine.fault = EngineFault.NONE
            register_start(site, source, FIRST_MS, "draining")
            await site.until(lambda when=when, source=source: when(source))
            source.restart(SECOND_MS)
            register_start(site, source, SECOND_MS)
            await reader.ended.wait()
            check.assertEqual(reader.ids, list(range(1, len(reader.ids) + 1)), name)
            check.assertEqual(reader.broken, len(reader.ids) < EVENTS, name)
            check.assertEqual(sum(one.runs_by_attempt["s-1"] for one in site.engines), 1, name)


@on_real_clock
async def test_a_report_shows_a_restart_before_the_store_does():
    async with platform_site(plain=0, engines=1) as site:
        table = await register_first_starts(site)
        site.engines[0].restart(SECOND_MS)
        await site.until(lambda: table.is_ready(incarnation_id(site.engines[0], SECOND_MS)))
        check.assertTrue(table.is_gone(incarnation_id(site.engines[0], FIRST_MS)))


@on_real_clock
async def test_a_runner_that_was_cut_off_from_the_store_gets_requests_again():
    # Its entry expires, and comes back after a network partition. If it were excluded for good, a
    # third of a small service would be missing; if its entry alone were enough, requests would go
    # to a runner that has ended.
    async with platform_site(plain=2) as site:
        table = site.kernels[0].get(FleetPort).runners
        cut_off, ended = site.plain
        ended.healthy = False
        for runner in (cut_off, ended):
            site.store.remove("servers", runner.runner_id)
            await site.until(lambda runner=runner: not table.is_ready(RunnerId(runner.runner_id)))
            site.register(runner.runner_id, "desk", runner.address)
        await site.until(lambda: table.is_ready(RunnerId(cut_off.runner_id)))
        head, _ = await site.call("/notes/1", "a-1")
        check.assertEqual(head.status, 200)
        await trio.sleep(1.2)
        check.assertFalse(table.is_ready(RunnerId(ended.runner_id)))


@on_real_clock
async def test_a_generation_that_an_engine_rejects_runs_at_another():
    # The engine's address now belongs to another runner, which answers that it is not the addressed
    # one. The request certainly did not run, so it runs at the other engine, and the reader gets
    # all.
    async with platform_site(plain=0, engines=2) as site:
        listed_id = site.engines[0].runner_id
        site.engines[0].runner_id = "i-another"
        for number in range(4):
            reader = await start_reader(site, f"s-{number}", 1)
            await reader.ended.wait()
            check_whole(reader)
        check.assertEqual(sum(site.engines[0].runs_by_attempt.values()), 0)
        site.engines[0].runner_id = listed_id


@on_real_clock
async def test_a_generation_that_all_engines_reject_is_refused():
    async with platform_site(plain=0, engines=2) as site:
        for engine in site.engines:
            engine.fault = EngineFault.FULL
        head, _ = await site.call("/plans/1", "s-1", method=b"POST", headers=GENERATION)
        check.assertEqual(head.status, 503)
