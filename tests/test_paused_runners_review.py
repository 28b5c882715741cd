"""Findings of a review: runs whose runners are paused, as real processes are."""

import trio

from egretstack.ids import RunnerId
from egretstack.relay._active_runners import ActiveRunners
from egretstack.relay._patience import place_wait_s
from standins.platform import EngineFault
from tests.platform_site import platform_site
from tests.support import check, on_real_clock, tests_of
from tests.test_paused_runners import check_one_at_work, pause
from tests.test_platform_streams import DRAINING, check_whole
from tests.test_run_places import EVENTS, others, read_past

load_tests = tests_of(globals())


def test_a_silence_between_two_looks_counts_in_full():
    # Guards against a runner that is waited for longer than any sound one is silent.
    active, runner = ActiveRunners(), RunnerId("a")
    active.record_sent(0.0, runner)
    active.record_sign(0.0, runner)
    now_s = 1.25
    while now_s < place_wait_s() + 0.2:
        doubtful = active.doubtful(now_s)
        now_s += 0.1
    check.assertEqual(doubtful, [])


@on_real_clock
async def test_a_run_that_went_back_to_its_runner_does_not_go_on_beside_it():
    # Guards against a runner that is forgotten as it continues the run that it has stopped.
    async with platform_site(plain=0, engines=2) as site:

        async def disturb(source):
            [other] = others(site, source)
            copy_run = source._copy_run

            async def without_room_for_the_rest(connection, request):
                other.stores_copies = not request["last"]
                await copy_run(connection, request)
                other.stores_copies, source.fault = True, EngineFault.NONE

            source._copy_run = without_room_for_the_rest
            source.fault = EngineFault.SILENT
            await site.until(lambda: source.continued)
            await trio.sleep(0.5)
            await pause([source], 1.9)

        check_whole(await read_past(site, "s-1", 5, disturb), EVENTS)
        check_one_at_work(site)


@on_real_clock
async def test_a_stream_that_hangs_at_a_runner_that_copies_nothing_goes_on_at_its_backup():
    # Guards against a stream that waits for an order to stop which its runner does not answer.
    async with platform_site(plain=0, engines=2) as site:

        async def never(*_):
            await trio.sleep_forever()

        async def disturb(source):
            source._copy_run = never
            source.fault = EngineFault.SILENT

        check_whole(await read_past(site, "s-1", 5, disturb), EVENTS)


@on_real_clock
async def test_a_destination_that_goes_on_after_its_pause_keeps_the_stopped_run():
    # Guards against a destination that is left as it shows life, when it has used up the copy.
    async with platform_site(plain=0, engines=2) as site:
        for engine in site.engines:
            engine.stores_copies = False

        async def disturb(source):
            for engine in site.engines:
                engine.stores_copies = True
            [other] = others(site, source)
            other.continue_delay_s = 0.6
            site.register(source.runner_id, "llm", source.address, DRAINING)
            await site.until(lambda: any(stop for _, stop in source.moves))
            await pause([other], 1.9)

        check_whole(await read_past(site, "s-1", 2, disturb), EVENTS)
        check_one_at_work(site)
