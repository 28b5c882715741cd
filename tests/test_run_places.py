"""Streams whose run may be at several runners, some of which are silent, full, ended or unheard."""

import trio

from egretstack.relay._waiting import RunningTime, wait_for_answer
from standins.platform import EngineFault, route
from tests.platform_site import platform_site
from tests.stream_reader import start_reader
from tests.support import check, on_real_clock, tests_of
from tests.test_platform_streams import DRAINING, check_whole, engine_of
from tests.test_stream_resuming import configure, resumable_site, runs

load_tests = tests_of(globals())

EVENTS = 150
SILENCES_S = (1.4, 1.9)
"""Silences of sound runners: a second or so, and nearly two."""
BOTH_S = 0.4
"""Longest time for which two runners may work on one run."""


def others(site, engine):
    """Return the other engines."""
    return [one for one in site.engines if one is not engine]


async def silence(engine, length_s):
    """Let an engine be silent for some time."""
    engine.fall_silent()
    await trio.sleep(length_s)
    engine.end_silence()


async def read_past(site, attempt, events, disturb, **more):
    """Start a stream, disturb its run after some events, and return the reader at its end."""
    for engine in site.engines:
        engine.events = EVENTS
    reader = await start_reader(site, attempt, events, **more)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(disturb, engine_of(site, attempt))
        await reader.ended.wait()
    return reader


def longest_overlap_s(site, attempt):
    """Return the longest time for which two engines worked on an attempt."""
    works = sorted(
        (began_s, ended_s)
        for engine in site.engines
        for name, began_s, ended_s in engine.work_times
        if name == attempt
    )
    overlaps = [before[1] - after[0] for before, after in zip(works, works[1:], strict=False)]
    return max(overlaps, default=0.0)


async def move_off(site, source):
    """Let a runner leave, and return once it has stopped the run to move it elsewhere."""
    site.register(source.runner_id, "llm", source.address, DRAINING)
    await site.until(lambda: any(stop for _, stop in source.moves))
    return next(engine for engine in others(site, source) if engine.copies or engine.continued)


@on_real_clock
async def test_a_stream_stays_on_its_silent_runner_if_its_copy_was_never_made():
    # Guards against a stream that is reset since its backup runner refuses to continue the run,
    # though that runs on.
    for silence_s in SILENCES_S:
        async with platform_site(plain=0, engines=2) as site:
            for engine in site.engines:
                engine.stores_copies = False
            reader = await read_past(site, "s-1", 2, lambda source, s=silence_s: silence(source, s))
            check_whole(reader, EVENTS)
            check.assertEqual(sum(len(engine.continued) for engine in site.engines), 0)


@on_real_clock
async def test_a_stream_stays_on_a_runner_that_is_silent_twice():
    # Guards against a stream that gives up its runner in its second silence.
    async def disturb(source):
        for _ in range(2):
            await silence(source, 1.4)
            await trio.sleep(0.6)

    async with platform_site(plain=0, engines=2) as site:
        for engine in site.engines:
            engine.stores_copies = False
        check_whole(await read_past(site, "s-1", 2, disturb), EVENTS)


@on_real_clock
async def test_a_stream_outlasts_silences_of_its_runner_and_of_its_backup():
    # Guards against a stream that is lost between two silent runners, and against both working on
    # its run once they go on.
    async with platform_site(plain=0, engines=2) as site:

        async def disturb(source):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(silence, source, 1.9)
                await trio.sleep(0.3)
                nursery.start_soon(silence, others(site, source)[0], 1.9)

        check_whole(await read_past(site, "s-1", 5, disturb), EVENTS)
        check.assertLess(longest_overlap_s(site, "s-1"), BOTH_S)


@on_real_clock
async def test_a_stopped_run_waits_for_its_silent_destination():
    # Guards against a stream that gives up the runner to which its run was moved.
    for silence_s in SILENCES_S:
        async with platform_site(plain=0, engines=3) as site:
            for engine in site.engines:
                engine.stores_copies = False

            async def disturb(source, site=site, silence_s=silence_s):
                for engine in site.engines:
                    engine.stores_copies = True
                await silence(await move_off(site, source), silence_s)

            check_whole(await read_past(site, "s-1", 2, disturb), EVENTS)


@on_real_clock
async def test_a_stopped_run_waits_for_a_destination_that_accepts_no_connection_for_a_while():
    # Guards against a stream that is lost to one attempt to connect.
    async with platform_site(plain=0, engines=3) as site:
        for engine in site.engines:
            engine.stores_copies = False

        async def disturb(source):
            for engine in site.engines:
                engine.stores_copies = True
            address = (await move_off(site, source)).address
            site.links.silence(address)
            await trio.sleep(1.4)
            site.links.end_silence(address)

        check_whole(await read_past(site, "s-1", 2, disturb), EVENTS)


@on_real_clock
async def test_a_run_whose_silent_runner_is_told_to_stop_goes_on():
    # Guards against a copy that is given up before the runner has told where it is.
    for silence_s in SILENCES_S:
        async with platform_site(plain=0, engines=3) as site:
            for engine in site.engines:
                engine.stores_copies = False

            async def disturb(source, site=site, silence_s=silence_s):
                for engine in site.engines:
                    engine.stores_copies = True
                site.register(source.runner_id, "llm", source.address, DRAINING)
                await site.until(lambda: any(stop for _, stop in source.moves))
                await silence(source, silence_s)

            check_whole(await read_past(site, "s-1", 2, disturb), EVENTS)
            check.assertLess(longest_overlap_s(site, "s-1"), BOTH_S)


@on_real_clock
async def test_a_resumable_run_whose_silent_runner_is_told_to_stop_goes_on():
    # Guards against a connection that is closed while the order to stop is not answered.
    for silence_s in SILENCES_S:
        async with resumable_site(engines=3) as site:

            async def disturb(source, site=site, silence_s=silence_s):
                for engine in site.engines:
                    engine.stores_copies = True
                site.register(source.runner_id, "llm", source.address, DRAINING)
                await site.until(lambda: any(stop for _, stop in source.moves))
                for engine in others(site, source):
                    engine.fault = EngineFault.FULL
                await silence(source, silence_s)
                for engine in others(site, source):
                    engine.fault = EngineFault.NONE

            reader = await read_past(site, "s-1", 2, disturb)
            check_whole(reader, EVENTS)
            check.assertLess(longest_overlap_s(site, "s-1"), BOTH_S)


@on_real_clock
async def test_a_stopped_run_goes_back_to_its_runner_if_the_destination_has_ended():
    # Guards against a stream that is lost though its former runner keeps the run's memory.
    async with platform_site(plain=0, engines=2) as site:
        for engine in site.engines:
            engine.stores_copies = False

        async def disturb(source):
            destination = others(site, source)[0]
            destination.stores_copies = True
            site.register(source.runner_id, "llm", source.address, DRAINING)
            await site.until(lambda: any(stop for _, stop in source.moves))
            destination.fall_silent()
            await trio.sleep(0.3)
            destination.stop()

        reader = await read_past(site, "s-1", 2, disturb)
        check_whole(reader, EVENTS)
        check.assertEqual([len(one.continued) for one in site.engines if one.continued], [1])


@on_real_clock
async def test_a_resumable_stream_stays_on_its_silent_runner_if_no_other_has_room():
    # Guards against a stream that closes its connection before another runner has taken the run.
    for silence_s in SILENCES_S:
        async with resumable_site(engines=2) as site:

            async def disturb(source, site=site, silence_s=silence_s):
                for engine in others(site, source):
                    engine.fault = EngineFault.FULL
                await silence(source, silence_s)

            check_whole(await read_past(site, "s-1", 5, disturb), EVENTS)
            check.assertEqual(runs(site), 1)


@on_real_clock
async def test_a_silent_runner_that_goes_on_ends_the_search_for_another():
    # Guards against a second run that begins while the first one goes on.
    async with resumable_site(engines=2) as site:

        async def disturb(source):
            for engine in others(site, source):
                engine.delays_head = True
            await silence(source, 1.9)

        check_whole(await read_past(site, "s-1", 5, disturb), EVENTS)
        check.assertFalse(any(engine.is_running("s-1") for engine in site.engines))


@on_real_clock
async def test_a_late_runner_keeps_a_resumable_stream_if_there_is_no_other_place():
    # Guards against a stream that fails since its late runner is left before another is found.
    async with resumable_site(engines=1, **{"target-latency-ms": 300}) as site:
        site.engines[0].fall_silent()
        async with trio.open_nursery() as nursery:
            reader = await start_reader(site, "s-1", -1)
            nursery.start_soon(silence, site.engines[0], 1.9)
            await reader.ended.wait()
        check_whole(reader)
        check.assertEqual(runs(site), 1)


@on_real_clock
async def test_a_lost_answer_leaves_no_two_runners_at_work():
    # Guards against a run that goes on at two runners while the answer of one of them is awaited.
    async with platform_site(plain=0, engines=2) as site:
        for engine in site.engines:
            engine.loses_answers_of = frozenset({"s-1"})

        async def disturb(source):
            site.register(source.runner_id, "llm", source.address, DRAINING)

        check_whole(await read_past(site, "s-1", 5, disturb), EVENTS)
        check.assertGreater(len([one for engine in site.engines for one in engine.continued]), 0)
        check.assertLess(longest_overlap_s(site, "s-1"), BOTH_S)


@on_real_clock
async def test_a_silent_runner_and_a_lost_answer_leave_one_runner_at_work():
    # Guards against a stream that gives up its silent runner for one whose answer is lost.
    async with platform_site(plain=0, engines=2) as site:
        for engine in site.engines:
            engine.loses_answers_of = frozenset({"s-1"})
        reader = await read_past(site, "s-1", 5, lambda source: silence(source, 1.9))
        check_whole(reader, EVENTS)


@on_real_clock
async def test_a_stream_of_an_impatient_reader_stays_on_its_silent_runner():
    # Guards against times that are too long for the shortest patience of a reader.
    async with platform_site(plain=0, engines=2) as site:
        more = {"target-latency-ms": 300, "timeout-ms": 20_000}
        await configure(site, [route("plans", "streaming", "llm", **more)])
        for engine in site.engines:
            engine.stores_copies = False
        reader = await read_past(site, "s-1", 2, lambda source: silence(source, 1.4))
        check_whole(reader, EVENTS)


def test_a_pause_of_the_process_is_no_silence_of_its_runners():
    # Guards against a runner that is left for a pause of the instance itself.
    waited = RunningTime()
    check.assertTrue(waited.record(0.1, 0.12))
    check.assertFalse(waited.record(0.1, 8.0))
    check.assertAlmostEqual(waited.total_s, 0.32)


async def test_an_answer_that_came_during_a_pause_is_read():
    # Guards against an answer that is dropped since its time passed while the process was paused.
    clock = trio.lowlevel.current_clock()
    answered = trio.Event()

    async def call():
        await answered.wait()
        return "answer"

    async def pause():
        for _ in range(3):
            await trio.lowlevel.checkpoint()
        clock.jump(30.0)
        for _ in range(3):
            await trio.lowlevel.checkpoint()
        answered.set()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(pause)
        check.assertEqual(await wait_for_answer(call, 0.3), "answer")


async def test_a_runner_that_never_answers_is_waited_for_no_longer_than_allowed():
    # Guards against a stream that waits forever beside another place.
    began_s = trio.current_time()
    check.assertIsNone(await wait_for_answer(trio.sleep_forever, 0.3))
    check.assertAlmostEqual(trio.current_time() - began_s, 0.3, delta=0.1)
