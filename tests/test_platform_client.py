"""The client of the object API: rate limits, circuit breaker, timeouts, retries and watches."""

from contextlib import asynccontextmanager
from random import Random

import trio

from egretstack.metrics import Metrics
from egretstack.objectapi import (
    Breaker,
    BreakerState,
    BudgetedObjectApi,
    CallBudget,
    CallClass,
    ObjectKind,
    PlatformAway,
    PlatformOutcomeUnknown,
    WatchKind,
    WatchLost,
)
from egretstack.objectapi._breaker import FAILURES_TO_OPEN, MAX_OPEN_S
from egretstack.objectapi._budget import FLEET_RATE_BY_CLASS, SHARE_HEADROOM
from egretstack.objectapi._budgeted import WATCH_GRACE_S
from standins.object_store import InProcessObjectApi, ObjectStore
from tests.support import check, tests_of

load_tests = tests_of(globals())

TIMEOUT_S = 2.0
HEAD = ObjectKind.CONFIG_HEAD


def client_of(store):
    """Return a client of a store, and its metrics."""
    metrics = Metrics()
    inner = InProcessObjectApi(store)
    return BudgetedObjectApi(inner, TIMEOUT_S, metrics, Random(1), trio.current_time()), metrics


@asynccontextmanager
async def failing(store):
    """Make the store unavailable for a block."""
    store.faults.down = True
    yield
    store.faults.down = False


async def fail_until_open(client, kind=HEAD):
    while client.breaker.state is BreakerState.CLOSED:
        try:
            await client.get(kind, "x")
        except PlatformAway:
            continue


def test_a_class_that_used_up_its_share_does_not_affect_another():
    budget = CallBudget(0.0)
    budget.set_fleet_size(420, 0.0)
    while budget.wait_s(CallClass.CONFIGURATION, 0.0) == 0:
        budget.spend(CallClass.CONFIGURATION, 0.0)
    check.assertGreater(budget.wait_s(CallClass.CONFIGURATION, 0.0), 0)
    check.assertEqual(budget.wait_s(CallClass.LEDGER, 0.0), 0)


def test_the_share_of_a_process_shrinks_as_the_fleet_grows():
    for instances in (5, 20, 80, 320):
        budget = CallBudget(0.0)
        budget.set_fleet_size(instances, 0.0)
        calls, now_s = 0, 0.0
        while now_s < 100.0:
            wait_s = budget.wait_s(CallClass.LEDGER, now_s)
            now_s += wait_s + 1e-9
            budget.spend(CallClass.LEDGER, now_s)
            calls += 1
        # The initial burst comes on top of the steady rate.
        allowed = FLEET_RATE_BY_CLASS[CallClass.LEDGER] * SHARE_HEADROOM / instances
        check.assertLess(calls, allowed * 105 + 25)


def test_an_open_breaker_allows_one_probe_at_a_time():
    breaker = Breaker(Random(1))
    for _ in range(FAILURES_TO_OPEN):
        breaker.record_call(0.0)
        breaker.record_failure(0.0)
    check.assertIs(breaker.state, BreakerState.OPEN)
    check.assertGreater(breaker.wait_s(0.0), 0)
    now_s = breaker.wait_s(0.0)
    breaker.record_call(now_s)
    check.assertIs(breaker.state, BreakerState.HALF_OPEN)
    check.assertGreater(breaker.wait_s(now_s), 0)
    breaker.record_success()
    check.assertEqual(breaker.wait_s(now_s), 0)


def test_another_probe_is_allowed_after_a_cancelled_one():
    # The call that is the probe is cancelled before its answer. If the probe still counted as in
    # progress, no call of this process would ever reach the platform again.
    breaker = Breaker(Random(1))
    for _ in range(FAILURES_TO_OPEN):
        breaker.record_failure(0.0)
    breaker.record_call(10.0)
    breaker.record_cancelled()
    check.assertEqual(breaker.wait_s(10.0), 0)


async def test_calls_fail_fast_with_a_retry_time_while_the_platform_is_unavailable():
    # The platform stops answering. After a few failures a call fails immediately instead of after a
    # timeout, and no call is sent before the retry time of the error.
    store = ObjectStore()
    client, _ = client_of(store)
    async with failing(store):
        await fail_until_open(client)
        sent = store.calls.total()
        start_s = trio.current_time()
        with check.assertRaises(PlatformAway) as caught:
            await client.get(HEAD, "x")
        check.assertEqual(trio.current_time(), start_s)
        check.assertEqual(store.calls.total(), sent)
        check.assertLessEqual(caught.exception.retry_after_s, MAX_OPEN_S * 1.5)
    await trio.sleep(MAX_OPEN_S * 1.5)
    check.assertIsNone(await client.get(HEAD, "x"))
    check.assertIs(client.breaker.state, BreakerState.CLOSED)


async def test_a_read_is_retried():
    store = ObjectStore()
    client, metrics = client_of(store)
    store.faults.down = True
    async with trio.open_nursery() as nursery:
        nursery.start_soon(client.get, HEAD, "x")
        await trio.sleep(0.01)
        store.faults.down = False
    check.assertEqual(store.calls["get", HEAD], 2)
    sample = metrics.registry.get_sample_value(
        "egret_platform_calls_total",
        {"class": "configuration", "verb": "get", "outcome": "answered"},
    )
    check.assertEqual(sample, 1)


async def test_a_write_without_an_answer_is_sent_once_and_its_outcome_is_unknown():
    # The store applies a write and its answer is lost. A client that repeated the write could
    # execute it twice; only its caller can find out the outcome, by reading.
    store = ObjectStore()
    client, _ = client_of(store)
    store.faults.lose_answers = 1
    with check.assertRaises(PlatformOutcomeUnknown):
        await client.create(HEAD, "x", {"a": 1})
    check.assertEqual(store.calls["create", HEAD], 1)
    check.assertEqual((await client.get(HEAD, "x")).spec, {"a": 1})


async def test_a_slow_platform_times_out_a_read_and_leaves_a_write_unknown():
    store = ObjectStore()
    client, _ = client_of(store)
    store.faults.delay_s = 60.0
    with check.assertRaises(PlatformOutcomeUnknown):
        await client.create(HEAD, "x", {})
    start_s = trio.current_time()
    with check.assertRaises(PlatformAway):
        await client.get(HEAD, "x")
    check.assertLess(trio.current_time() - start_s, 4 * TIMEOUT_S)


async def test_an_unresponsive_watch_is_lost_soon_after_its_bookmark_was_due():
    # A device on the path drops the state of a watch's connection, which stays open without any
    # event or bookmark. A reader without a deadline would never see a change again.
    store = ObjectStore()
    client, _ = client_of(store)
    store.faults.silent_watches = True
    start_s = trio.current_time()
    with trio.fail_after(60):
        with check.assertRaises(WatchLost):
            async with client.watch(HEAD, None, 2.0) as changes:
                await InProcessObjectApi(store).create(HEAD, "x", {})
                async for _ in changes:
                    check.fail("an unresponsive watch yielded an event")
    check.assertAlmostEqual(trio.current_time() - start_s, 2.0 + WATCH_GRACE_S, 3)


async def test_a_watch_ends_with_a_bookmark_and_counts_as_one_call():
    store = ObjectStore()
    client, metrics = client_of(store)
    async with client.watch(HEAD, None, 2.0) as changes:
        gauge = ("egret_platform_watches", {"class": "configuration"})
        check.assertEqual(metrics.registry.get_sample_value(*gauge), 1)
        kinds = [change.kind async for change in changes]
    check.assertEqual(kinds, [WatchKind.BOOKMARK])
    check.assertEqual(store.calls["watch", HEAD], 1)
    check.assertEqual(metrics.registry.get_sample_value(*gauge), 0)
