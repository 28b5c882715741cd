"""Streams on resumable routes, whose clients return or whose runners break off."""

from contextlib import asynccontextmanager
from dataclasses import replace
from unittest.mock import patch

import trio

from egretstack.ids import ServiceName
from egretstack.platform import decode_configuration
from egretstack.relay import RetryBudget
from egretstack.relay._send_limits import SendLimits
from egretstack.services.placing_home import PlacingHome
from egretstack.services.relaying import Relaying
from egretstack.services.store_reading import StoreReading
from standins.platform import (
    BEFORE_HEAD,
    GENERATION,
    EngineFault,
    PlainFault,
    configuration,
    route,
)
from tests.crash_site import end_runners_on_request, send_ending_request, started_runs
from tests.platform_site import BOUNDS, platform_site
from tests.stream_reader import start_reader
from tests.support import check, on_real_clock, tests_of
from tests.test_platform_streams import check_whole, engine_of

load_tests = tests_of(globals())

BOTH_S = 0.4
"""Longest time for which two runners may work on one run, after the platform's rule."""


async def configure(site, routes):
    """Replace the routes, and wait until the entry knows them."""
    site.routes = routes
    version = site.configure()
    gate = site.kernels[0].get(StoreReading).gate
    await site.until(lambda: gate.version == version)


@asynccontextmanager
async def resumable_site(engines, max_sends=2, cuts=(), **more):
    """Start a deployment with a resumable route and no copies; its next runs break off at cuts."""
    async with platform_site(plain=0, engines=engines) as site:
        resumable = {"can-resume": True, "max-attempts": max_sends} | more
        await configure(site, [route("plans", "streaming", "llm", **resumable)])
        shared = list(cuts)
        for engine in site.engines:
            engine.cuts, engine.stores_copies = shared, False
        yield site


async def read(site, attempt="s-1", **more):
    """Return the reader of a stream that has ended."""
    reader = await start_reader(site, attempt, **more)
    await reader.ended.wait()
    return reader


def check_aborted(reader, events):
    """Check that a client received the first events once, and no normal end."""
    check.assertTrue(reader.broken)
    check.assertEqual(reader.ids, list(range(1, events + 1)))


def runs(site, attempt="s-1"):
    """Return how many runs of an attempt started."""
    return sum(engine.runs_by_attempt[attempt] for engine in site.engines)


def resumed_runs(site):
    """Return attempt and last event of each run that was started after an event."""
    return [run for engine in site.engines for run in engine.resumed]


def after_event(event_id):
    """Return the headers of a client that returns after an event."""
    return (*GENERATION, (b"last-event-id", event_id.encode()))


@on_real_clock
async def test_a_client_that_returns_gets_only_the_events_after_its_last_one():
    # Guards against a returned client that gets events twice, also from a runner that counts the
    # client's last event inclusively.
    for fault in (EngineFault.NONE, EngineFault.REPEATS):
        async with resumable_site(engines=1) as site:
            site.engines[0].fault = fault
            reader = await read(site, headers=after_event("12"))
            check.assertEqual((reader.status, reader.broken), (200, False))
            check.assertEqual(reader.ids, list(range(13, 31)))
            check.assertEqual(resumed_runs(site), [("s-1", "12")])


@on_real_clock
async def test_other_routes_drop_the_last_event_id_and_run_a_stream_once():
    # Guards against a second run of a stream that may run at most once.
    async with resumable_site(engines=2, cuts=(8,), **{"can-resume": False}) as site:
        check_aborted(await read(site, headers=after_event("12")), 8)
        check.assertEqual((runs(site), resumed_runs(site)), (1, []))


@on_real_clock
async def test_a_stream_that_breaks_off_within_an_event_is_resumed():
    # Guards against an event assembled from two runs, and against a wrong memory forecast.
    async with resumable_site(engines=2, cuts=(8,)) as site:
        reader = await start_reader(site, "s-1", 10)
        [run] = site.kernels[0].get(PlacingHome).own_runs()
        check.assertEqual(run.request.generated_tokens, 8 * 4)
        await reader.ended.wait()
        check_whole(reader)
        check.assertEqual(resumed_runs(site), [("s-1", "8")])


@on_real_clock
async def test_a_resumed_run_that_repeats_or_skips_an_event():
    # Guards against a duplicate, and against a missing event that nobody notices, also if the only
    # event before the break does not show by how much ids differ.
    for cut in (1, 8):
        async with resumable_site(engines=3, max_sends=3, cuts=(cut,)) as site:
            for fault in (EngineFault.REPEATS, EngineFault.NONE):
                for engine in site.engines:
                    engine.fault = fault
                check_whole(await read(site, f"s-{fault.value}"))
            site.engines[0].cuts.append(cut)
            for engine in site.engines:
                engine.fault = EngineFault.SKIPS
            check_aborted(await read(site), cut)
            check.assertEqual(runs(site), 3)


@on_real_clock
async def test_a_stream_is_resumed_only_within_its_limits():
    # Guards against retries beyond the route's limit and the fleet's budget.
    async with resumable_site(engines=3, max_sends=2, cuts=(8, 12)) as site:
        check_aborted(await read(site), 12)
        check.assertEqual(runs(site), 2)
        budget = site.kernels[0].get(Relaying).context.budget
        budget.bounds = replace(budget.bounds, retry_ratio=0.0, retry_slack=0)
        site.engines[0].cuts.append(8)
        check_aborted(await read(site, "s-2"), 8)
        check.assertEqual(runs(site, "s-2"), 1)


@on_real_clock
async def test_streams_that_fail_together_share_the_retry_budget():
    # Guards against more retries than the budget allows, when streams of one runner fail at once
    # and all wait to learn whether it has ended.
    async with resumable_site(engines=2, cuts=(BEFORE_HEAD,) * 3) as site:
        context = site.kernels[0].get(Relaying).context
        context.budget.bounds = replace(context.budget.bounds, retry_ratio=0.0, retry_slack=1.3)
        context.budget.instances = 1
        probed = trio.Event()
        with patch.object(context.crash_guard, "record_broken_run", return_value=probed):
            async with trio.open_nursery() as nursery:
                for attempt in ("s-1", "s-2", "s-3"):
                    nursery.start_soon(read, site, attempt)
                await site.until(lambda: not site.engines[0].cuts)
                await trio.sleep(0.2)
                probed.set()
        check.assertEqual(sum(runs(site, attempt) for attempt in ("s-1", "s-2", "s-3")), 4)


@on_real_clock
async def test_a_slow_stream_that_cannot_be_resumed_after_all_goes_on():
    # Guards against a stream aborted while its runner still works, when other streams used up the
    # budget in the meantime.
    async with resumable_site(engines=2) as site:
        context = site.kernels[0].get(Relaying).context
        for engine in site.engines:
            engine.gap_s, engine.events = 1.2, 3

        def use_up_budget(*args):
            bounds = context.budget.bounds
            context.budget.bounds = replace(bounds, retry_ratio=0.0, retry_slack=0)
            return record_broken_run(*args)

        record_broken_run = context.crash_guard.record_broken_run
        with patch.object(context.crash_guard, "record_broken_run", use_up_budget):
            reader = await read(site)
        check.assertEqual((reader.broken, reader.ids, runs(site)), (False, [1, 2, 3], 1))


@on_real_clock
async def test_a_rejected_resume_is_placed_once_more():
    # Guards against a stream that is lost to one full engine, and against one that tries them all.
    for full, whole in ((1, True), (3, False)):
        async with resumable_site(engines=4, max_sends=4) as site:
            reader = await start_reader(site, "s-1", 3)
            source = engine_of(site, "s-1")
            others = [engine for engine in site.engines if engine is not source]
            for engine in others[:full]:
                engine.fault = EngineFault.FULL
            source.stop()
            await reader.ended.wait()
            check.assertEqual(reader.broken, not whole)
            check.assertEqual(reader.ids, list(range(1, len(reader.ids) + 1)))
            # The first run, a request to continue from the missing copy, and two resumes.
            check.assertLessEqual(sum(len(engine.arrivals) for engine in site.engines), 4)


@on_real_clock
async def test_a_client_and_the_system_resume_the_same_stream():
    # Guards against a system that resumes after the first event of its own response.
    async with resumable_site(engines=3, max_sends=3, cuts=(5, 12)) as site:
        reader = await read(site, headers=after_event("5"))
        check.assertEqual((reader.broken, reader.ids), (False, list(range(6, 31))))
        check.assertEqual(sorted(resumed_runs(site)), [("s-1", "12"), ("s-1", "5"), ("s-1", "5")])


@on_real_clock
async def test_a_silent_runner_is_left_once_another_one_sends_the_stream():
    # Guards against two runs of a stream beside each other, before and after its first event, and
    # against runs that outlive their client.
    for events in (0, 5):
        async with resumable_site(engines=2, **{"target-latency-ms": 300}) as site:
            for engine in site.engines:
                engine.fault = EngineFault.NONE if events else EngineFault.SILENT
            reader = await start_reader(site, "s-1", events)
            await site.until(lambda site=site: runs(site) == 1)
            source = engine_of(site, "s-1")
            other = next(engine for engine in site.engines if engine is not source)
            source.fault, other.fault = EngineFault.SILENT, EngineFault.NONE
            other.events = 1_000
            await site.until(lambda other=other: other.is_running("s-1"))
            began_s = trio.current_time()
            await site.until(lambda source=source: not source.is_running("s-1"))
            check.assertLess(trio.current_time() - began_s, BOTH_S)
            await site.until(lambda reader=reader, seen=events: len(reader.ids) > seen)
            check.assertEqual(reader.ids, list(range(1, len(reader.ids) + 1)))
            reader.scope.cancel()
            await site.until(lambda other=other: not other.is_running("s-1"))


@on_real_clock
async def test_a_stream_without_an_event_is_sent_again():
    # Guards against a failure that another runner would have spared the client.
    async with resumable_site(engines=3, max_sends=3, cuts=(BEFORE_HEAD, 0)) as site:
        check_whole(await read(site))
        check.assertEqual((runs(site), resumed_runs(site)), (3, []))


@on_real_clock
async def test_only_a_stream_that_has_not_run_is_refused_as_not_run():
    # Guards against a 503 for an attempt whose first send may have run.
    async with resumable_site(engines=2, cuts=(BEFORE_HEAD,)) as site:
        for engine in site.engines:
            engine.fault = EngineFault.FULL
        check.assertEqual((await read(site)).status, 503)
        check.assertEqual(runs(site), 0)
        site.engines[0].fault = EngineFault.NONE
        check.assertEqual((await read(site, "s-2")).status, 502)


@on_real_clock
async def test_a_stream_that_ends_its_engines_is_not_resumed_on_all_of_them():
    # Guards against resumes that carry a request from engine to engine and end them all.
    for after in (0, 3):
        async with resumable_site(engines=6, max_sends=6) as site:
            end_runners_on_request(site, after=after)
            await send_ending_request(site, "/plans/1", "e-1", headers=GENERATION)
            check.assertEqual(started_runs(site), 3)


@on_real_clock
async def test_a_resumable_route_to_a_plain_service_is_idempotent():
    # Guards against a failure for a request that may be sent again.
    async with platform_site(plain=2) as site:
        more = {"can-resume": True, "max-attempts": 2}
        await configure(site, [route("feed", "streaming", "desk", **more)])
        for plain in site.plain:
            plain.faults = [PlainFault.BREAKS]
        head, _ = await site.call("/feed/1", "f-1", headers=((b"last-event-id", b"7"),))
        check.assertEqual(head.status, 502)
        check.assertEqual(sum(plain.runs_by_attempt["f-1"] for plain in site.plain), 2)
        sent = [dict(head.headers) for plain in site.plain for head in plain.heads]
        check.assertEqual([headers[b"last-event-id"] for headers in sent], [b"7", b"7"])


def limits_after(sends, retries=0, **more):
    """Return limits with a deadline at 10 s after some sends; the budget allows four retries."""
    budget = RetryBudget(replace(BOUNDS, retry_slack=5, retry_ratio=0.0))
    spec = route("plans", "streaming", "llm", **{"can-resume": True, "max-attempts": 2} | more)
    [decoded] = decode_configuration(configuration(1, [spec], ())).routes
    limits = SendLimits(decoded, ServiceName("llm"), 10.0, budget)
    for _ in range(sends):
        limits.record_send()
    for _ in range(retries):
        budget.record_retry(1.0, ServiceName("llm"))
    return limits


def test_sends_are_limited_by_route_budget_patience_and_deadline():
    # Guards against sends that the route, the fleet, the reader or the client no longer allows.
    limits = limits_after(1)
    check.assertTrue(limits.allows(1.0, 0.0))
    check.assertAlmostEqual(limits.place_wait_s(1.0, 0.0), 0.6 * 5.0)
    check.assertAlmostEqual(limits.first_event_timeout_s(1.0, 0.0), 0.6 * 5.0)
    check.assertAlmostEqual(limits.patience_left_s(9.0, 8.0), 1.0)
    check.assertFalse(limits.allows(6.1, 0.0) or limits.allows(10.0, 9.0))
    check.assertAlmostEqual(limits_after(2).first_event_timeout_s(1.0, 0.0), 9.0)
    others = ({"can-resume": False}, {"route-type": "non_idempotent"}, {"retries": 4})
    # With little patience left, no other runner would send an event in time.
    check.assertAlmostEqual(limits_after(1).first_event_timeout_s(5.2, 0.0), 4.8)
    for refused in (limits_after(2), *(limits_after(1, **more) for more in others)):
        check.assertFalse(refused.allows(1.0, 0.0))
