"""Runs that are handed over, or not, between runners that are paused, late or hang."""

from dataclasses import replace

import trio

from egretstack.http1 import first_value
from egretstack.services.relaying import Relaying
from standins.platform import EngineFault
from standins.platform._http import send
from tests.platform_site import platform_site
from tests.stream_reader import start_reader
from tests.support import check, on_real_clock, tests_of
from tests.test_paused_runners import check_one_at_work, pause
from tests.test_platform_streams import DRAINING, check_whole
from tests.test_run_places import EVENTS, others, read_past
from tests.test_stream_resuming import resumable_site

load_tests = tests_of(globals())


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


@on_real_clock
async def test_a_stream_is_not_begun_anew_at_a_paused_runner_beside_its_own():
    # Guards against a request that a paused runner reads after it was taken back.
    async with resumable_site(engines=2, **{"timeout-ms": 20_000}) as site:

        async def disturb(source):
            source.gap_s = 2.4
            await trio.sleep(1.2)
            source.gap_s = 0.02
            await pause(others(site, source), 1.9)

        check_whole(await read_past(site, "s-1", 5, disturb), EVENTS)
        check_one_at_work(site)


@on_real_clock
async def test_a_late_runner_that_rejects_the_request_has_not_run_it():
    # Guards against a rejection that is taken for a lost answer as no other runner had a place.
    async with resumable_site(engines=1, **{"target-latency-ms": 300}) as site:
        [late] = site.engines

        async def reject_late(connection, head, _):
            await trio.sleep(2.2)
            await late.reject(connection, first_value(head.headers, b"attempt-id").decode())

        late._generate = reject_late
        reader = await start_reader(site, "s-1", -1)
        await reader.ended.wait()
        check.assertEqual((reader.status, reader.problem), (503, "engines-full"))


@on_real_clock
async def test_late_streams_keep_their_runner_as_it_goes_on_if_the_budget_is_used_up():
    # Guards against streams that fail as their runner goes on since others have used the budget.
    more = {"target-latency-ms": 300, "timeout-ms": 20_000}
    async with resumable_site(engines=2, max_sends=4, **more) as site:
        budget = site.kernels[0].get(Relaying).context.budget
        late, other = site.engines
        generate = late._generate

        async def generate_late(*request):
            await trio.sleep(0.4)
            await generate(*request)

        late._generate = generate_late
        other.fault = EngineFault.FULL
        readers = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(pause, [late], 1.7)
            for number in range(5):
                readers.append(await start_reader(site, f"s-{number}", -1))
            await trio.sleep(0.3)
            other.fault = EngineFault.NONE
            used = len(budget._retry_times_by_service["llm"])
            budget.bounds = replace(budget.bounds, retry_ratio=0.0, retry_slack=(used + 2.5) / 0.8)
            for reader in readers:
                await reader.ended.wait()
        check.assertEqual([reader.status for reader in readers], [200] * 5)


@on_real_clock
async def test_a_stream_that_hangs_goes_on_after_its_order_to_stop_failed():
    # Guards against a stream that waits for an order to stop which was given and failed.
    async with platform_site(plain=0, engines=2) as site:

        async def disturb(source):
            copy_run = source._copy_run

            async def fail_to_stop(connection, request):
                if request["last"]:
                    await send(connection, 500, b"{}")
                else:
                    await copy_run(connection, request)

            source._copy_run = fail_to_stop
            source.fault = EngineFault.SILENT

        check_whole(await read_past(site, "s-1", 5, disturb), EVENTS)


@on_real_clock
async def test_a_resumable_stream_that_hangs_at_a_runner_that_copies_nothing_is_resumed():
    # Guards against a resumable stream that waits for an order which its runner does not answer.
    async with resumable_site(engines=2, **{"timeout-ms": 20_000}) as site:

        async def never(*_):
            await trio.sleep_forever()

        async def disturb(source):
            source._copy_run = never
            source.fault = EngineFault.SILENT

        check_whole(await read_past(site, "s-1", 5, disturb), EVENTS)
