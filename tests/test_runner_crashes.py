"""Requests that end their runners reach no further runners, and other requests are not affected."""

import json
from random import Random

import trio

from egretstack.crashes import CrashRecord
from egretstack.crashes._record import LATE_WEIGHT
from egretstack.services.fleet_port import FleetPort
from egretstack.services.store_reading import StoreReading
from standins.platform import GENERATION, PlainFault
from tests.crash_site import (
    ENDING,
    check_refused,
    content_of,
    crash_table,
    end_runners_on_request,
    is_known,
    refused_everywhere,
    replace_ended_runners,
    send_ending_request,
    send_repeatedly,
    started_runs,
)
from tests.platform_site import platform_site
from tests.soak.proxy import Proxy
from tests.stream_reader import start_reader
from tests.support import check, on_real_clock, tests_of
from tests.test_platform_streams import check_whole

load_tests = tests_of(globals())

ALLOWED_ENDS = 4
"""Three ends, and one by a run that was sent before the third was known."""

LONG_MS = 60_000
"""Deadline of a stream that must not expire on a slow machine."""


@on_real_clock
async def test_a_generation_that_ends_its_engines_is_refused_by_every_instance():
    # Guards against a request that ends one engine after another.
    async with platform_site(entries=2, plain=0, engines=3) as site:
        end_runners_on_request(site)
        answers = await send_repeatedly(site, "/plans/1", 8, headers=GENERATION)
        check.assertLessEqual(started_runs(site), ALLOWED_ENDS)
        for answer in answers[-3:]:
            check_refused(answer)


@on_real_clock
async def test_a_call_that_ends_its_runners_is_refused_by_every_instance():
    # Guards against retries that send such a call from runner to runner.
    async with platform_site(entries=2, plain=3) as site:
        end_runners_on_request(site)
        answers = await send_repeatedly(site, "/notes/1", 8)
        check.assertLessEqual(started_runs(site), ALLOWED_ENDS)
        for answer in answers[-3:]:
            check_refused(answer)


@on_real_clock
async def test_a_call_that_may_run_once_and_ends_its_runners_is_refused():
    # Guards against repeated attempts of the same caller.
    async with platform_site(entries=2, plain=2) as site:
        end_runners_on_request(site)
        answers = await send_repeatedly(site, "/holds/1", 6)
        check.assertLessEqual(started_runs(site), ALLOWED_ENDS)
        check.assertEqual(answers[0][0], 502)
        check_refused(answers[-1])


@on_real_clock
async def test_a_refused_second_send_is_not_reported_as_not_run():
    # Guards against "not run" for an attempt whose first send ended its runner.
    async with platform_site(plain=4) as site:
        end_runners_on_request(site)
        answers = await send_repeatedly(site, "/notes/1", 2)
        check.assertEqual(started_runs(site), 3)
        check.assertEqual(answers[1][0], 502)
        check.assertTrue(json.loads(answers[1][1])["type"].endswith("outcome-unknown"))


@on_real_clock
async def test_a_stream_that_ends_its_engines_does_not_continue_on_copy_after_copy():
    # Guards against continuations that carry a request from engine to engine.
    async with platform_site(plain=0, engines=6) as site:
        end_runners_on_request(site, after=3)
        for number in range(2):
            await send_ending_request(site, "/plans/1", f"e-{number}", headers=GENERATION)
        check.assertEqual(started_runs(site), 3)
        check_refused(await send_ending_request(site, "/plans/1", "e-9", headers=GENERATION))


@on_real_clock
async def test_a_refused_stream_is_not_moved():
    # Guards against a refused request that reaches another engine by a copy of its run's memory.
    async with platform_site(plain=0, engines=2) as site:
        first, second = site.engines
        first.events = 60
        site.store.remove("servers", second.runner_id)
        await site.until(lambda: not is_known(site, second.runner_id))
        reader = await start_reader(site, "s-1", 5)
        refuse(site, reader.content_id())
        await site.until(lambda: len(reader.ids) > 6)
        second.runner_id += "-again"
        site.register(second.runner_id, "llm", second.address)
        await site.until(lambda: is_known(site, second.runner_id))
        site.register(first.runner_id, "llm", first.address, "draining")
        await reader.ended.wait()
        check.assertEqual(first.moves, [])
        check_whole(reader, 60)


@on_real_clock
async def test_a_request_that_waits_for_an_engine_is_refused_at_once():
    # Guards against a wait until the deadline for a request that will not be served any more.
    async with platform_site(plain=0, engines=1) as site:
        site.store.remove("servers", site.engines[0].runner_id)
        await site.until(lambda: not is_ready(site))
        answers = []

        async def send():
            answers.append(await send_ending_request(site, "/plans/1", "e-1", headers=GENERATION))

        with trio.fail_after(1.0):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send)
                await trio.sleep(0.05)
                check.assertEqual(answers, [])
                refuse(site, content_of("/plans/1"))
        check_refused(answers[0])


@on_real_clock
async def test_other_requests_of_the_caller_and_the_path_are_served():
    # Guards against refusals of anything but the request itself.
    async with platform_site(entries=2, plain=3, engines=3) as site:
        end_runners_on_request(site)
        await send_repeatedly(site, "/notes/1", 5)
        await send_repeatedly(site, "/plans/1", 5, tag="s", headers=GENERATION)
        check.assertTrue(refused_everywhere(site, "/notes/1"))
        for entry in range(2):
            for path, body in (("/notes/1", b"another"), ("/notes/2", ENDING + b".")):
                head, _ = await site.call(path, "o", entry=entry, method=b"POST", body=body)
                check.assertEqual(head.status, 200)
            reader = await start_reader(site, f"s-{entry}", entry=entry)
            await reader.ended.wait()
            check_whole(reader)


@on_real_clock
async def test_streams_beside_a_request_that_ends_engines_continue_and_are_not_refused():
    # Guards against strikes for streams that were in progress on an engine that another request
    # ended.
    async with platform_site(entries=2, plain=0, engines=4) as site:
        for engine in site.engines:
            engine.events = 150
        beside = [
            await start_reader(site, f"b-{number}", 1, entry=number % 2) for number in range(4)
        ]
        end_runners_on_request(site)
        for number in range(3):
            await send_ending_request(
                site, "/plans/2", f"e-{number}", number % 2, headers=GENERATION
            )
            await replace_ended_runners(site, f"e{number}")
        for reader in beside:
            await reader.ended.wait()
            check.assertFalse(crash_table(site).is_refused(reader.content_id()))
        check.assertTrue(any(not reader.broken for reader in beside))


@on_real_clock
async def test_a_stream_that_survives_engine_after_engine_is_not_refused():
    # Guards against the refusal of a long stream for ends that it did not cause.
    async with platform_site(plain=0, engines=5) as site:
        for engine in site.engines:
            engine.events, engine.gap_s = 400, 0.05
        site.routes[2]["timeout-ms"] = LONG_MS
        version = site.configure()
        await site.until(lambda: site.kernels[0].get(StoreReading).gate.version == version)
        reader = await start_reader(site, "s-1", 64, deadline_ms=LONG_MS)
        for number in range(3):
            await site.until(lambda n=number: sum(len(e.continued) for e in site.engines) == n)
            await trio.sleep(0.5)
            next(engine for engine in site.engines if engine.is_running("s-1")).stop()
        await site.until(lambda: sum(len(e.continued) for e in site.engines) == 3)
        check.assertEqual(crash_table(site).record(reader.content_id()).weight, 3 * LATE_WEIGHT)
        check.assertFalse(reader.broken)
        reader.scope.cancel()


@on_real_clock
async def test_requests_that_faulty_runners_reset_are_not_refused():
    # Guards against refusals of requests that faulty runners reset without ending.
    async with platform_site(plain=3) as site:
        for number in range(6):
            for plain in site.plain:
                plain.faults = [PlainFault.BREAKS] * 2
            status, _ = await send_ending_request(site, "/notes/1", f"e-{number}")
            check.assertEqual(status, 502)
        for plain in site.plain:
            plain.faults = []
        check.assertEqual((await send_ending_request(site, "/notes/1", "e-9"))[0], 200)


@on_real_clock
async def test_a_runner_that_restarts_at_once_counts_as_ended():
    # Guards against ends that no refused connection shows.
    async with platform_site(plain=3) as site:
        end_runners_on_request(site)
        for plain in site.plain:
            plain.restarts_immediately = True
        for number in range(3):
            await send_ending_request(site, "/notes/1", f"e-{number}")
            for plain in site.plain:
                site.register(plain.runner_id, "desk", plain.address)
            await site.until(lambda: all(is_known(site, plain.runner_id) for plain in site.plain))
        check.assertLessEqual(started_runs(site), ALLOWED_ENDS)
        check.assertTrue(refused_everywhere(site, "/notes/1"))


@on_real_clock
async def test_a_runner_whose_successor_answers_late_counts_as_ended():
    # Guards against ends that are not seen on a busy machine, so that a request ends more runners.
    async with platform_site(plain=1) as site:
        end_runners_on_request(site)
        [runner] = site.plain
        runner.restarts_immediately = True
        runner.health_delay_s = 0.6
        await send_ending_request(site, "/holds/1", "e-1")
        await site.until(lambda: crash_table(site).is_suspected(content_of("/holds/1")))


@on_real_clock
async def test_a_runner_behind_a_proxy_counts_as_ended_once_its_entry_is_removed():
    # Guards against ends hidden by a proxy that still accepts connections for the ended runner.
    async with platform_site(plain=1) as site:
        end_runners_on_request(site)
        [runner] = site.plain
        proxy = Proxy(runner.address.replace(".2.", ".4."), runner.address, Random(1))
        await site.nursery.start(proxy.run)
        site.register("i-behind", "desk", proxy.address)
        site.store.remove("servers", runner.runner_id)
        runner.runner_id = "i-behind"
        await site.until(lambda: is_known(site, "i-behind"))
        await send_ending_request(site, "/holds/1", "e-1")
        check.assertFalse(crash_table(site).is_suspected(content_of("/holds/1")))
        site.store.remove("servers", "i-behind")
        await site.until(lambda: crash_table(site).is_suspected(content_of("/holds/1")))


@on_real_clock
async def test_an_answer_clears_a_request_at_every_instance():
    # Guards against strikes that add up over hours for a request that is harmless.
    async with platform_site(entries=2, plain=4) as site:
        end_runners_on_request(site)
        await send_repeatedly(site, "/notes/1", 1)
        content = content_of("/notes/1")
        await site.until(lambda: all(crash_table(site, n).is_suspected(content) for n in range(2)))
        for plain in site.plain:
            plain.fatal_body = None
        check.assertEqual((await send_ending_request(site, "/notes/1", "e-9", 1))[0], 200)
        await site.until(
            lambda: not any(crash_table(site, n).is_suspected(content) for n in range(2))
        )


def refuse(site, content):
    """Make every instance refuse a content id, as after three ends."""
    record = CrashRecord(0, {"a": 2, "b": 2, "c": 2}, True)
    for kernel in site.kernels:
        kernel.get(FleetPort).apply_crash_record(trio.current_time(), content, record)


def is_ready(site):
    """Return whether any instance has a ready engine."""
    return any(kernel.get(FleetPort).runners.ready("llm") for kernel in site.kernels)
