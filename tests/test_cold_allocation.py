"""The rate limit of cold runners, over instances that may be partitioned from each other."""

import random
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from egretstack.fleet import RunnerTable
from egretstack.ids import InstanceId, RunnerId
from egretstack.placing import ColdAllocation, FleetSplit, Placement, Placer, SendOrigin
from egretstack.routing import ColdStartConfig
from egretstack.services.fleet_port import FleetPort
from egretstack.services.store_reading import StoreReading
from tests.fleet_fixtures import ENGINE, PLAIN, generation_request, runner
from tests.platform_site import BOUNDS, platform_site
from tests.support import check, on_real_clock, tests_of

load_tests = tests_of(globals())

START_S = 4.0


def table_of(*runners):
    table = RunnerTable()
    table.apply_reading(0.0, runners, 1, 0.0)
    return table


def make_allocation(table, number=0, instances=1, *, reachable=None, per_s=27.0, bounds=BOUNDS):
    """Return the allocation of one of `instances` instances, which all know each other."""
    names = [InstanceId(f"entry-{index}") for index in range(instances)]
    split = FleetSplit(names[number])
    split.others = tuple(name for name in names if name != names[number])
    split.reachable = len(split.others) if reachable is None else reachable
    allocation = ColdAllocation(split, table, bounds)
    allocation.config_for = lambda service: ColdStartConfig(START_S, per_s)
    return allocation


def max_sent_in_a_second(allocation, target, origin):
    """Send as fast as allowed for three seconds; return the maximum in any one second."""
    times = []
    for step in range(300):
        now_s = step * 0.01
        while allocation.allows(now_s, target, origin):
            allocation.record_sent(now_s, target.id, origin)
            times.append(now_s)
    return max(
        (sum(begin <= at < begin + 1.0 for at in times) for begin in times),
        default=0,
    )


@settings(deadline=None, derandomize=True, max_examples=60)
@given(
    instances=st.integers(1, 420),
    per_s=st.floats(1.0, 200.0),
    overage=st.floats(1.0, 2.0),
    slack=st.floats(0.0, 10.0),
    cut=st.floats(0.0, 1.0),
)
def test_the_allocations_of_a_partitioned_fleet_stay_within_the_limit(
    instances, per_s, overage, slack, cut
):
    # A fleet is partitioned in two, and each half has a home. Both homes place as fast as they
    # may, and every instance also sends without a home. The runner must not get more than the
    # limit in any second.
    bounds = replace(BOUNDS, cold_overage=overage, cold_slack=slack)
    target = runner("a", cold_s=60.0)
    table = table_of(target)
    reached = max(1, round(cut * instances))
    total_by_homes = 0
    for number, reachable in ((0, reached - 1), (instances - 1, instances - reached - 1)):
        if reachable >= 0:
            allocation = make_allocation(
                table, number, instances, reachable=reachable, per_s=per_s, bounds=bounds
            )
            total_by_homes += max_sent_in_a_second(allocation, target, SendOrigin.HOME)
    limit = per_s * overage + slack
    for origin, before in ((SendOrigin.ALONE, total_by_homes), (SendOrigin.PLAIN, 0)):
        total = before
        for number in range(instances):
            allocation = make_allocation(table, number, instances, per_s=per_s, bounds=bounds)
            while allocation.allows(0.0, target, origin):
                allocation.record_sent(0.0, target.id, origin)
                total += 1
        check.assertLessEqual(total, limit)


def test_the_home_of_an_unpartitioned_fleet_sends_a_cold_runner_its_full_rate():
    target = runner("a", cold_s=60.0)
    allocation = make_allocation(table_of(target), instances=74)
    check.assertEqual(max_sent_in_a_second(allocation, target, SendOrigin.HOME), 27)


def test_a_runner_that_is_warm_or_has_no_limit_gets_every_request():
    warm, cold = runner("a"), runner("b", cold_s=60.0)
    table = table_of(warm, cold)
    for allocation, target in (
        (make_allocation(table), warm),
        (make_allocation(table, per_s=0.0), cold),
        (make_allocation(table, bounds=replace(BOUNDS, cold_overage=None)), cold),
    ):
        for _ in range(500):
            allocation.record_sent(0.0, target.id, SendOrigin.PLAIN)
        check.assertTrue(allocation.allows(0.0, target, SendOrigin.PLAIN))


def test_a_runner_is_cold_for_as_long_as_its_entry_says():
    # If its next entry is lost because the store is unavailable, the runner must not stay cold for
    # good.
    target = runner("a", cold_s=3.0)
    table = table_of(target)
    check.assertTrue(table.is_cold(2.9, target.id, START_S))
    check.assertFalse(table.is_cold(3.1, target.id, START_S))
    table.apply_reading(5.0, [replace(target, cold_s=2.0)], 2, 5.0)
    check.assertTrue(table.is_cold(6.9, target.id, START_S))
    check.assertFalse(table.is_cold(7.1, target.id, START_S))


def test_a_runner_that_came_back_reports_how_long_it_is_cold():
    target = runner("a")
    table = table_of(target)
    table.record_cold(1.0, target.id, 5.0)
    check.assertTrue(table.is_cold(5.9, target.id, START_S))
    table.record_cold(1.0, RunnerId("unknown"), 5.0)
    check.assertFalse(table.is_cold(1.0, RunnerId("unknown"), START_S))


def test_generations_go_to_warm_engines_once_a_cold_one_has_its_share():
    # The engines of a zone that comes back are cold and empty, and look best for all queued
    # requests. A cold one gets three requests in a second; the others go to the warm engine
    # without a wait.
    cold, warm = runner("a", cold_s=60.0), runner("b")
    table = table_of(cold, warm)
    placer = Placer(table, random.Random(1), make_allocation(table, per_s=3.0))
    placed = [
        placer.place(
            0.0, generation_request(f"w-{n}", prompt=200, hint=20), ENGINE, fleet_wide=True
        )
        for n in range(20)
    ]
    check.assertTrue(all(isinstance(placement, Placement) for placement in placed))
    check.assertLessEqual(sum(placement.runner == cold.id for placement in placed), 3)


def test_a_cold_engine_gets_more_requests_after_a_second():
    cold = runner("a", cold_s=60.0)
    table = table_of(cold)
    placer = Placer(table, random.Random(1), make_allocation(table, per_s=2.0))
    got = []
    for step in range(30):
        request = generation_request(f"w-{step}", prompt=100, hint=20)
        decided = placer.place(step * 0.1, request, ENGINE, fleet_wide=True)
        got.append(isinstance(decided, Placement))
    check.assertEqual(sum(got[:10]), 2)
    check.assertGreaterEqual(sum(got), 5)


def test_some_of_many_instances_may_send_one_request_to_each_cold_runner():
    target, other = runner("a", PLAIN, cold_s=60.0), runner("b", PLAIN, cold_s=60.0)
    table = table_of(target, other)
    allowed = [
        [make_allocation(table, n, 74).allows(0.0, it, SendOrigin.PLAIN) for n in range(74)]
        for it in (target, other)
    ]
    for row in allowed:
        check.assertEqual(sum(row), int(0.9 * (27 * 1.5 + 5)))
    check.assertNotEqual(*allowed)


@on_real_clock
async def test_calls_beyond_the_rate_of_cold_runners_are_refused_with_a_retry_time():
    # Both runners of a service have just started and can handle two calls a second each. Callers
    # of further calls learn at once that their call has not run and when to retry.
    async with platform_site(plain=2) as site:
        site.cold_per_s = 2.0
        version = site.configure()
        for plain in site.plain:
            site.register(plain.runner_id, "desk", plain.address, cold_ms=60_000)
        kernel = site.kernels[0]
        await site.until(lambda: kernel.get(StoreReading).gate.version == version)
        table = kernel.get(FleetPort).runners
        await site.until(lambda: all(row.cold_s for row in table.by_id.values()))
        statuses = [(await site.call("/holds/1", f"h-{n}", method=b"POST"))[0] for n in range(40)]
        ran = sum(sum(plain.runs_by_attempt.values()) for plain in site.plain)
        refused = [head for head in statuses if head.status == 503]
        check.assertEqual(ran + len(refused), 40)
        check.assertGreater(len(refused), 0)
        check.assertTrue(all(dict(head.headers).get(b"retry-after") for head in refused))
