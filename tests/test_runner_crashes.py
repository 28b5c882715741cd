"""Requests under which runners end: no way leads them to further runners, and no others suffer."""

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
    begun,
    check_refused,
    content_of,
    crashes,
    end_under_it,
    is_known,
    refused_everywhere,
    replace_ended,
    send_again_and_again,
    send_ending,
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
"""Time for a stream that a slow machine must not bring to its deadline."""


@on_real_clock
async def test_a_generation_that_ends_its_engines_is_refused_by_every_instance():
    # Guards against a request that ends one engine after another.
    async with platform_site(entries=2, plain=0, engines=3) as site:
        end_under_it(site)
        answers = await send_again_and_again(site, "/plans/1", 8, headers=GENERATION)
        check.assertLessEqual(begun(site), ALLOWED_ENDS)
        for answer in answers[-3:]:
            check_refused(answer)


@on_real_clock
async def test_a_call_that_ends_its_runners_is_refused_by_every_instance():
    # Guards against retries that carry such a call from runner to runner.
    async with platform_site(entries=2, plain=3) as site:
        end_under_it(site)
        answers = await send_again_and_again(site, "/notes/1", 8)
        check.assertLessEqual(begun(site), ALLOWED_ENDS)
        for answer in answers[-3:]:
            check_refused(answer)


@on_real_clock
async def test_a_call_that_may_run_once_and_ends_its_runners_is_refused():
    # Guards against attempts of a caller that tries again and again.
    async with platform_site(entries=2, plain=2) as site:
        end_under_it(site)
        answers = await send_again_and_again(site, "/holds/1", 6)
        check.assertLessEqual(begun(site), ALLOWED_ENDS)
        check.assertEqual(answers[0][0], 502)
        check_refused(answers[-1])


@on_real_clock
async def test_a_second_send_that_is_refused_is_not_called_not_run():
    # Guards against "not run" for an attempt whose first send ended its runner.
    async with platform_site(plain=4) as site:
        end_under_it(site)
        answers = await send_again_and_again(site, "/notes/1", 2)
        check.assertEqual(begun(site), 3)
        check.assertEqual(answers[1][0], 502)
        check.assertTrue(json.loads(answers[1][1])["type"].endswith("outcome-unknown"))


@on_real_clock
async def test_a_stream_that_ends_its_engines_does_not_go_on_at_copy_after_copy():
    # Guards against continuations that carry a request from engine to engine.
    async with platform_site(plain=0, engines=6) as site:
        end_under_it(site, after=3)
        for number in range(2):
            await send_ending(site, "/plans/1", f"e-{number}", headers=GENERATION)
        check.assertEqual(begun(site), 3)
        check_refused(await send_ending(site, "/plans/1", "e-9", headers=GENERATION))


@on_real_clock
async def test_a_refused_stream_is_not_moved():
    # Guards against a copy of a run's memory as another way to an engine.
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
async def test_whoever_waits_for_an_engine_is_refused_as_soon_as_that_is_known():
    # Guards against a wait until the deadline for what can't be served any more.
    async with platform_site(plain=0, engines=1) as site:
        site.store.remove("servers", site.engines[0].runner_id)
        await site.until(lambda: not is_ready(site))
        answers = []

        async def ask():
            answers.append(await send_ending(site, "/plans/1", "e-1", headers=GENERATION))

        with trio.fail_after(1.0):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await trio.sleep(0.05)
                check.assertEqual(answers, [])
                refuse(site, content_of("/plans/1"))
        check_refused(answers[0])


@on_real_clock
async def test_other_requests_of_the_caller_and_the_path_are_served():
    # Guards against refusals of anything but the request itself.
    async with platform_site(entries=2, plain=3, engines=3) as site:
        end_under_it(site)
        await send_again_and_again(site, "/notes/1", 5)
        await send_again_and_again(site, "/plans/1", 5, tag="s", headers=GENERATION)
        check.assertTrue(refused_everywhere(site, "/notes/1"))
        for entry in range(2):
            for path, body in (("/notes/1", b"another"), ("/notes/2", ENDING + b".")):
                head, _ = await site.call(path, "o", entry=entry, method=b"POST", body=body)
                check.assertEqual(head.status, 200)
            reader = await start_reader(site, f"s-{entry}", entry=entry)
            await reader.ended.wait()
            check_whole(reader)


@on_real_clock
async def test_streams_beside_a_request_that_ends_engines_go_on_and_are_not_refused():
    # Guards against blame for what was in progress at an engine that another request ended.
    async with platform_site(entries=2, plain=0, engines=4) as site:
        for one in site.engines:
            one.events = 150
        beside = [
            await start_reader(site, f"b-{number}", 1, entry=number % 2) for number in range(4)
        ]
        end_under_it(site)
        for number in range(3):
            await send_ending(site, "/plans/2", f"e-{number}", number % 2, headers=GENERATION)
            await replace_ended(site, f"e{number}")
        for reader in beside:
            await reader.ended.wait()
            check.assertFalse(crashes(site).is_refused(reader.content_id()))
        check.assertTrue(any(not reader.broken for reader in beside))


@on_real_clock
async def test_a_stream_that_survives_engine_after_engine_is_not_refused():
    # Guards against blame for ends that a long stream only lived through.
    async with platform_site(plain=0, engines=5) as site:
        for one in site.engines:
            one.events, one.gap_s = 400, 0.05
        site.routes[2]["timeout-ms"] = LONG_MS
        version = site.configure()
        await site.until(lambda: site.kernels[0].get(StoreReading).gate.version == version)
        reader = await start_reader(site, "s-1", 64, deadline_ms=LONG_MS)
        for number in range(3):
            await site.until(lambda n=number: sum(len(e.continued) for e in site.engines) == n)
            await trio.sleep(0.5)
            next(one for one in site.engines if one.is_running("s-1")).stop()
        await site.until(lambda: sum(len(e.continued) for e in site.engines) == 3)
        check.assertEqual(crashes(site).record(reader.content_id()).weight, 3 * LATE_WEIGHT)
        check.assertFalse(reader.broken)
        reader.scope.cancel()


@on_real_clock
async def test_runners_that_break_requests_and_live_are_no_reason_to_refuse_them():
    # Guards against refusals of what faulty runners reset.
    async with platform_site(plain=3) as site:
        for number in range(6):
            for one in site.plain:
                one.faults = [PlainFault.BREAKS] * 2
            status, _ = await send_ending(site, "/notes/1", f"e-{number}")
            check.assertEqual(status, 502)
        for one in site.plain:
            one.faults = []
        check.assertEqual((await send_ending(site, "/notes/1", "e-9"))[0], 200)


@on_real_clock
async def test_a_runner_that_starts_again_at_once_has_ended_all_the_same():
    # Guards against ends that no refused connection shows.
    async with platform_site(plain=3) as site:
        end_under_it(site)
        for one in site.plain:
            one.restarts_immediately = True
        for number in range(3):
            await send_ending(site, "/notes/1", f"e-{number}")
            for one in site.plain:
                site.register(one.runner_id, "desk", one.address)
            await site.until(lambda: all(is_known(site, one.runner_id) for one in site.plain))
        check.assertLessEqual(begun(site), ALLOWED_ENDS)
        check.assertTrue(refused_everywhere(site, "/notes/1"))


@on_real_clock
async def test_a_runner_behind_a_proxy_has_ended_if_its_entry_goes_too():
    # Guards against ends behind something that accepts connections for a runner that is gone.
    async with platform_site(plain=1) as site:
        end_under_it(site)
        [runner] = site.plain
        proxy = Proxy(runner.address.replace(".2.", ".4."), runner.address, Random(1))
        await site.nursery.start(proxy.run)
        site.register("i-behind", "desk", proxy.address)
        site.store.remove("servers", runner.runner_id)
        runner.runner_id = "i-behind"
        await site.until(lambda: is_known(site, "i-behind"))
        await send_ending(site, "/holds/1", "e-1")
        check.assertFalse(crashes(site).is_suspected(content_of("/holds/1")))
        site.store.remove("servers", "i-behind")
        await site.until(lambda: crashes(site).is_suspected(content_of("/holds/1")))


@on_real_clock
async def test_an_answer_clears_a_request_at_every_instance():
    # Guards against ends of runners that add up over hours for a request that is sound.
    async with platform_site(entries=2, plain=4) as site:
        end_under_it(site)
        await send_again_and_again(site, "/notes/1", 1)
        content = content_of("/notes/1")
        await site.until(lambda: all(crashes(site, n).is_suspected(content) for n in range(2)))
        for one in site.plain:
            one.fatal_body = None
        check.assertEqual((await send_ending(site, "/notes/1", "e-9", 1))[0], 200)
        await site.until(lambda: not any(crashes(site, n).is_suspected(content) for n in range(2)))


def refuse(site, content):
    """Let every instance refuse a content, as after three ends."""
    record = CrashRecord(0, {"a": 2, "b": 2, "c": 2}, True)
    for one in site.kernels:
        one.get(FleetPort).apply_crash_record(trio.current_time(), content, record)


def is_ready(site):
    """Tell whether any instance has an engine for work."""
    return any(one.get(FleetPort).runners.ready("llm") for one in site.kernels)
