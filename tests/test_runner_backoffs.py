"""Runners that reject a request and ask the instance to back off: it sends them nothing more."""

import trio

from egretstack.fleet import RunnerTable
from egretstack.http1 import first_value
from egretstack.placing import RunnerBackoffs, SendOrigin
from standins.platform import GENERATION, StoreFault
from tests.fleet_fixtures import runner
from tests.limited_site import send_steadily
from tests.platform_site import platform_site
from tests.stream_reader import start_reader
from tests.support import check, on_real_clock, tests_of
from tests.test_runner_limits import SMALL_GENERATION

load_tests = tests_of(globals())

BACKOFF_S = 2.0
LONG_GENERATION = (
    (b"model", b"m"),
    (b"token-count", b"60,8000"),
    (b"prompt-prefix", b"5c1e07a2:60"),
    (b"length-hint", b"6000"),
)
GRACE_S = 0.3
"""Time after a runner asked for backoff in which requests in flight still reach it."""


def sender(attempt, entries):
    """Return the index of the instance that an attempt of `send_steadily` was sent to."""
    return int(attempt.rpartition("-")[2]) % entries


def max_in_backoff(runner, entries=1):
    """Return the most requests of one instance that reached a runner during its backoff."""
    maximum = 0
    for requested_s, rejected in runner.backoffs:
        begin_s, end_s, instance = (
            requested_s + GRACE_S,
            requested_s + BACKOFF_S,
            sender(rejected, entries),
        )
        arrived = [at for at, attempt in runner.arrivals if sender(attempt, entries) == instance]
        maximum = max(maximum, sum(begin_s < at < end_s for at in arrived))
    return maximum


@on_real_clock
async def test_no_calls_go_to_a_runner_in_backoff():
    # Guards against first and second sends to a runner that wants none from this instance.
    async with platform_site(entries=2, plain=2) as site:
        backing_off, other = site.plain
        backing_off.backoff_s = BACKOFF_S
        answers = await send_steadily(site, "/notes/1", 100, 0.05, method=b"POST")
        check.assertEqual(max_in_backoff(backing_off, len(site.kernels)), 0)
        check.assertEqual({answer.status for answer in answers}, {200})
        check.assertGreater(len(other.arrived_s), 60)


@on_real_clock
async def test_no_second_sends_go_to_a_runner_in_backoff():
    # Guards against rejected calls that are sent on to a runner that asked for backoff.
    async with platform_site(entries=2, plain=2) as site:
        for plain in site.plain:
            plain.backoff_s = BACKOFF_S
        await send_steadily(site, "/notes/1", 100, 0.05, method=b"POST")
        for plain in site.plain:
            check.assertGreater(len(plain.backoffs), 1)
            check.assertEqual(max_in_backoff(plain, len(site.kernels)), 0)


@on_real_clock
async def test_requests_with_only_runners_in_backoff_are_refused_at_once_with_a_retry_time():
    # Guards against a wait until the deadline, and against a retry time within the backoff.
    async with platform_site(entries=1, plain=2, engines=2) as site:
        for runner in (*site.plain, *site.engines):
            runner.backoff_s = BACKOFF_S
        for path, more in (("/holds/1", {}), ("/plans/1", {"headers": GENERATION})):
            await send_steadily(site, path, 3, 0.05, tag=f"a{path}", method=b"POST", **more)
            began_s = trio.current_time()
            answers = await send_steadily(
                site, path, 1, 0.0, tag=f"b{path}", method=b"POST", **more
            )
            check.assertLess(trio.current_time() - began_s, 1.0)
            check.assertEqual(answers[0].status, 503)
            retry_after_s = float(first_value(answers[0].headers, b"retry-after"))
            check.assertGreater(retry_after_s, 0.5)
            check.assertLessEqual(retry_after_s, BACKOFF_S)


@on_real_clock
async def test_a_runner_gets_its_share_again_after_a_backoff():
    # Guards against a backoff that lasts longer than requested.
    async with platform_site(entries=1, plain=2) as site:
        backing_off = site.plain[0]
        for plain in site.plain:
            plain.delay_s = 0.02
        backing_off.backoff_s = 0.5
        await send_steadily(site, "/holds/1", 10, 0.02, method=b"POST")
        backing_off.backoff_s = None
        await trio.sleep(0.6)
        before = len(backing_off.arrived_s)
        await send_steadily(site, "/holds/1", 60, 0.02, tag="u", method=b"POST")
        check.assertGreater(len(backing_off.arrived_s) - before, 15)


@on_real_clock
async def test_no_generations_go_to_an_engine_in_backoff():
    # Guards against a home that places an instance's generation on an engine that asked this
    # instance for backoff.
    async with platform_site(entries=2, plain=0, engines=2) as site:
        backing_off, other = site.engines
        for engine in site.engines:
            engine.events = 2
        backing_off.backoff_s = BACKOFF_S
        site.store.fault = StoreFault.SILENT
        more = {"method": b"POST", "headers": SMALL_GENERATION}
        answers = await send_steadily(site, "/plans/1", 100, 0.05, **more)
        check.assertEqual(max_in_backoff(backing_off, len(site.kernels)), 0)
        check.assertEqual({answer.status for answer in answers}, {200})
        check.assertGreater(len(other.arrived_s), 60)


@on_real_clock
async def test_streams_do_not_continue_on_an_engine_in_backoff():
    # Guards against continuations and moves to an engine in backoff.
    async with platform_site(entries=1, plain=0, engines=2) as site:
        backing_off, other = site.engines
        for engine in site.engines:
            engine.events = 500
        for number in range(20):
            await start_reader(site, f"s-{number}", 1, deadline_ms=60_000, headers=SMALL_GENERATION)
        backing_off.backoff_s = BACKOFF_S
        number = 0
        while not backing_off.backoffs:
            number += 1
            reader = await start_reader(site, f"t-{number}", 1, headers=SMALL_GENERATION)
            reader.scope.cancel()
        await trio.sleep(GRACE_S)
        other.crash()
        await trio.sleep(BACKOFF_S)
        check.assertEqual(max_in_backoff(backing_off, len(site.kernels)), 0)


@on_real_clock
async def test_a_copy_on_an_engine_in_backoff_is_not_made_again_elsewhere():
    # Guards against copying a run's memory again for each backoff of a few seconds.
    async with platform_site(entries=1, plain=0, engines=3) as site:
        for engine in site.engines:
            engine.events = 400
        reader = await start_reader(site, "s-1", 1, deadline_ms=60_000, headers=LONG_GENERATION)
        backing_off = next(one for one in site.engines if "s-1" in one.copies)
        backing_off.backoff_s = BACKOFF_S
        number = 0
        while not backing_off.backoffs:
            number += 1
            other = await start_reader(site, f"t-{number}", 1, headers=SMALL_GENERATION)
            other.scope.cancel()
        seen = len(reader.ids)
        await site.until(lambda: len(reader.ids) > seen + 40)
        check.assertEqual([one.moves for one in site.engines], [[], [], []])


def test_a_backoff_applies_to_its_own_instance_and_ends_in_time():
    # Guards against a backoff that the home observes for other instances, or that a shorter one
    # cuts short.
    table = RunnerTable()
    target = runner("a")
    table.apply_reading(0.0, [target], 1, 0.0)
    backoffs = RunnerBackoffs(table)
    backoffs.record_requested(1.0, target.id, 3.0)
    backoffs.record_requested(1.5, target.id, 1.0)
    for origin in (SendOrigin.PLAIN, SendOrigin.ALONE, SendOrigin.CONTINUED):
        check.assertFalse(backoffs.allows(3.9, target, origin))
        check.assertEqual(backoffs.time_until_allowed_s(3.0, target, origin), 1.0)
        check.assertTrue(backoffs.allows(4.0, target, origin))
    check.assertTrue(backoffs.allows(2.0, target, SendOrigin.HOME))
    check.assertEqual(backoffs.in_backoff(2.0), {target.id})
    check.assertEqual(backoffs.in_backoff(4.0), set())
