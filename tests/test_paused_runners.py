"""Sound runners that are paused for a second, whose runs must not go on elsewhere meanwhile."""

import trio

from egretstack.services.engine_reports import EngineReports
from egretstack.services.fleet_port import FleetPort
from standins.platform import EngineFault, route
from tests.platform_site import platform_site
from tests.stream_reader import start_reader
from tests.support import check, on_real_clock, tests_of
from tests.test_platform_streams import DRAINING, check_whole
from tests.test_run_places import BOTH_S, EVENTS, longest_overlap_s, others, read_past
from tests.test_stream_resuming import configure, resumable_site, runs

load_tests = tests_of(globals())

PAUSES_S = (1.3, 1.9)
"""Pauses of sound runners: a second or so, and nearly two."""
SLOW_ANSWER_S = 0.5
"""Time that an engine takes to begin its answer with a batch of work left from its pause."""


async def pause(engines, length_s):
    """Pause engines for some time."""
    for engine in engines:
        engine.pause()
    await trio.sleep(length_s)
    for engine in engines:
        engine.end_pause()


def check_one_at_work(site, attempt="s-1"):
    """Check that no runner began a run that the one before worked on 0.4 s later."""
    check.assertLess(longest_overlap_s(site, attempt), BOTH_S)


@on_real_clock
async def test_a_run_does_not_go_on_beside_its_paused_runner():
    # Guards against a copy that is used while the paused runner still has the run.
    for pause_s in PAUSES_S:
        async with platform_site(plain=0, engines=2) as site:
            reader = await read_past(site, "s-1", 5, lambda one, s=pause_s: pause([one], s))
            check_whole(reader, EVENTS)
            check_one_at_work(site)


@on_real_clock
async def test_a_run_does_not_go_on_beside_its_runner_after_a_pause_of_all():
    # Guards against a copy that is used since its engine and the runner go on at the same moment.
    for pause_s in PAUSES_S:
        async with platform_site(plain=0, engines=2) as site:
            for engine in site.engines:
                engine.continue_delay_s = SLOW_ANSWER_S
            reader = await read_past(
                site, "s-1", 5, lambda _, site=site, s=pause_s: pause(site.engines, s)
            )
            check_whole(reader, EVENTS)
            check_one_at_work(site)


@on_real_clock
async def test_a_leaving_runners_run_is_not_sent_to_a_paused_runner():
    # Guards against a request to continue that a paused runner reads after it was taken back.
    async with platform_site(plain=0, engines=2) as site:

        async def disturb(source):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(pause, others(site, source), 1.9)
                site.register(source.runner_id, "llm", source.address, DRAINING)

        check_whole(await read_past(site, "s-1", 5, disturb), EVENTS)
        check_one_at_work(site)


@on_real_clock
async def test_a_leaving_runner_that_is_paused_keeps_its_run():
    # Guards against a copy that is used since the runner was told to leave before its pause.
    async with platform_site(plain=0, engines=2) as site:

        async def disturb(source):
            site.register(source.runner_id, "llm", source.address, DRAINING)
            await pause([source], 1.9)

        check_whole(await read_past(site, "s-1", 5, disturb), EVENTS)
        check_one_at_work(site)


@on_real_clock
async def test_an_order_to_stop_that_a_paused_runner_has_not_read_stops_nothing():
    # Guards against an earlier copy that is used while the order to stop is not answered.
    async with platform_site(plain=0, engines=3) as site:
        more = {"target-latency-ms": 300, "timeout-ms": 20_000}
        await configure(site, [route("plans", "streaming", "llm", **more)])
        for engine in site.engines:
            engine.stores_copies = False

        async def disturb(source):
            for engine in site.engines:
                engine.stores_copies = True
            source.pause_before_stop_s = 1.8
            site.register(source.runner_id, "llm", source.address, DRAINING)

        check_whole(await read_past(site, "s-1", 2, disturb), EVENTS)
        check_one_at_work(site)


@on_real_clock
async def test_a_resumable_stream_is_not_begun_anew_beside_its_paused_runner():
    # Guards against a new run that begins while the paused runner still has the first one.
    for pause_s in PAUSES_S:
        async with resumable_site(engines=2) as site:
            reader = await read_past(site, "s-1", 5, lambda one, s=pause_s: pause([one], s))
            check_whole(reader, EVENTS)
            check_one_at_work(site)
            check.assertEqual(runs(site), 1)


@on_real_clock
async def test_a_request_is_not_sent_again_while_its_runner_is_paused_before_the_first_event():
    # Guards against a request that runs twice since a paused runner reads it after it was left.
    async with resumable_site(engines=2, **{"target-latency-ms": 300}) as site:
        for engine in site.engines:
            engine.events = EVENTS
        paused, other = site.engines
        other.fault = EngineFault.FULL
        async with trio.open_nursery() as nursery:
            nursery.start_soon(pause, [paused], 1.7)
            reader = await start_reader(site, "s-1", -1)
            await trio.sleep(0.3)
            other.fault = EngineFault.NONE
            await reader.ended.wait()
        check_whole(reader, EVENTS)
        check_one_at_work(site)
        check.assertEqual(runs(site), 1)


@on_real_clock
async def test_an_impatient_readers_run_stays_at_its_paused_destination():
    # Guards against a destination that is left before it has read the request, which uses up the
    # copy as it goes on.
    async with resumable_site(engines=2, **{"target-latency-ms": 300}) as site:

        async def disturb(source):
            for engine in site.engines:
                engine.stores_copies = True
            site.register(source.runner_id, "llm", source.address, DRAINING)
            await site.until(lambda: any(stop for _, stop in source.moves))
            await pause(others(site, source), 1.6)

        check_whole(await read_past(site, "s-1", 2, disturb), EVENTS)
        check_one_at_work(site)
        check.assertEqual(runs(site), 1)


@on_real_clock
async def test_a_paused_runner_that_misses_its_reports_keeps_its_run():
    # Guards against a paused runner that is taken for one that leaves.
    async with platform_site(plain=0, engines=2) as site:

        async def disturb(source):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(pause, [source], 1.9)
                await trio.sleep(0.2)
                mark_unresponsive(site, source)

        check_whole(await read_past(site, "s-1", 5, disturb), EVENTS)
        check_one_at_work(site)


def mark_unresponsive(site, engine):
    """Mark a runner as the home does once its reports are missing."""
    known = site.kernels[0].get(FleetPort).runners.by_id.values()
    [runner] = [one.id for one in known if one.address == engine.address]
    site.kernels[0].get(EngineReports).record_ended(runner)
