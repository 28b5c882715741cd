"""What cold runners get in a second, over instances that may be cut off from each other."""

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
from tests.fleet_fixtures import ENGINE, PLAIN, runner, work
from tests.platform_site import BOUNDS, platform_site
from tests.support import check, on_real_clock, tests_of

load_tests = tests_of(globals())

START_S = 4.0


def table_of(*runners):
    table = RunnerTable()
    table.take(0.0, runners, 1, 0.0)
    return table


def ration_of(table, number=0, instances=1, *, heard=None, per_s=27.0, bounds=BOUNDS):
    """Give the ration of one of some instances, which all know each other."""
    names = [InstanceId(f"entry-{one}") for one in range(instances)]
    split = FleetSplit(names[number])
    split.others = tuple(name for name in names if name != names[number])
    split.reachable = len(split.others) if heard is None else heard
    ration = ColdAllocation(split, table, bounds)
    ration.config_for = lambda service: ColdStartConfig(START_S, per_s)
    return ration


def sent_in_a_second(ration, one, part):
    """Send as fast as it is allowed; give the most in any second of three."""
    times = []
    for step in range(300):
        now_s = step * 0.01
        while ration.allows(now_s, one, part):
            ration.record_sent(now_s, one.id, part)
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
def test_the_parts_of_a_split_fleet_add_up_to_no_more_than_the_bound(
    instances, per_s, overage, slack, cut
):
    # A fleet is cut in two, and each half has a home. Both place as fast as they may, and every
    # instance sends besides by itself. The runner gets no more than the bound in any second.
    bounds = replace(BOUNDS, cold_overage=overage, cold_slack=slack)
    one = runner("a", cold_s=60.0)
    table = table_of(one)
    near = max(1, round(cut * instances))
    most = 0
    for number, heard in ((0, near - 1), (instances - 1, instances - near - 1)):
        if heard >= 0:
            ration = ration_of(table, number, instances, heard=heard, per_s=per_s, bounds=bounds)
            most += sent_in_a_second(ration, one, SendOrigin.HOME)
    whole = per_s * overage + slack
    for part, before in ((SendOrigin.ALONE, most), (SendOrigin.PLAIN, 0)):
        total = before
        for number in range(instances):
            ration = ration_of(table, number, instances, per_s=per_s, bounds=bounds)
            while ration.allows(0.0, one, part):
                ration.record_sent(0.0, one.id, part)
                total += 1
        check.assertLessEqual(total, whole)


def test_the_home_of_a_whole_fleet_gives_a_cold_runner_what_it_bears():
    one = runner("a", cold_s=60.0)
    ration = ration_of(table_of(one), instances=74)
    check.assertEqual(sent_in_a_second(ration, one, SendOrigin.HOME), 27)


def test_a_runner_that_is_warm_or_not_bound_gets_what_is_sent():
    warm, cold = runner("a"), runner("b", cold_s=60.0)
    table = table_of(warm, cold)
    for ration, one in (
        (ration_of(table), warm),
        (ration_of(table, per_s=0.0), cold),
        (ration_of(table, bounds=replace(BOUNDS, cold_overage=None)), cold),
    ):
        for _ in range(500):
            ration.record_sent(0.0, one.id, SendOrigin.PLAIN)
        check.assertTrue(ration.allows(0.0, one, SendOrigin.PLAIN))


def test_a_runner_is_cold_for_as_long_as_its_entry_said():
    # Its next entry is lost, with the store: it may not stay cold for good.
    one = runner("a", cold_s=3.0)
    table = table_of(one)
    check.assertTrue(table.is_cold(2.9, one.id, START_S))
    check.assertFalse(table.is_cold(3.1, one.id, START_S))
    table.take(5.0, [replace(one, cold_s=2.0)], 2, 5.0)
    check.assertTrue(table.is_cold(6.9, one.id, START_S))
    check.assertFalse(table.is_cold(7.1, one.id, START_S))


def test_a_runner_that_came_back_tells_itself_how_long_it_is_cold():
    one = runner("a")
    table = table_of(one)
    table.became_cold(1.0, one.id, 5.0)
    check.assertTrue(table.is_cold(5.9, one.id, START_S))
    table.became_cold(1.0, RunnerId("unknown"), 5.0)
    check.assertFalse(table.is_cold(1.0, RunnerId("unknown"), START_S))


def test_generations_go_to_warm_engines_once_a_cold_one_has_its_share():
    # A zone comes back cold and empty, and looks best for all that waits. It gets three in a
    # second; the rest go to the engine that is warm, and none waits.
    cold, warm = runner("a", cold_s=60.0), runner("b")
    table = table_of(cold, warm)
    placer = Placer(table, random.Random(1), ration_of(table, per_s=3.0))
    placed = [
        placer.place(0.0, work(f"w-{n}", prompt=200, hint=20), ENGINE, fleet_wide=True)
        for n in range(20)
    ]
    check.assertTrue(all(isinstance(one, Placement) for one in placed))
    check.assertLessEqual(sum(one.runner == cold.id for one in placed), 3)


def test_what_a_second_ago_went_to_a_cold_engine_makes_room_again():
    cold = runner("a", cold_s=60.0)
    table = table_of(cold)
    placer = Placer(table, random.Random(1), ration_of(table, per_s=2.0))
    got = []
    for step in range(30):
        attempt = work(f"w-{step}", prompt=100, hint=20)
        decided = placer.place(step * 0.1, attempt, ENGINE, fleet_wide=True)
        got.append(isinstance(decided, Placement))
    check.assertEqual(sum(got[:10]), 2)
    check.assertGreaterEqual(sum(got), 5)


def test_some_of_many_instances_may_send_each_cold_runner_one():
    one, other = runner("a", PLAIN, cold_s=60.0), runner("b", PLAIN, cold_s=60.0)
    table = table_of(one, other)
    allowed = [
        [ration_of(table, n, 74).allows(0.0, it, SendOrigin.PLAIN) for n in range(74)]
        for it in (one, other)
    ]
    for row in allowed:
        check.assertEqual(sum(row), int(0.9 * (27 * 1.5 + 5)))
    check.assertNotEqual(*allowed)


@on_real_clock
async def test_calls_for_cold_runners_alone_are_told_when_to_come_back():
    # Both runners of a service have just started, and each bears two calls in a second. Callers
    # beyond that are told at once that their call has not run and when to come back.
    async with platform_site(plain=2) as site:
        site.cold_per_s = 2.0
        version = site.configure()
        for one in site.plain:
            site.register(one.runner_id, "desk", one.address, cold_ms=60_000)
        kernel = site.kernels[0]
        await site.until(lambda: kernel.get(StoreReading).gate.version == version)
        table = kernel.get(FleetPort).runners
        await site.until(lambda: all(one.cold_s for one in table.by_id.values()))
        statuses = [(await site.call("/holds/1", f"h-{n}", method=b"POST"))[0] for n in range(40)]
        ran = sum(sum(one.runs_by_attempt.values()) for one in site.plain)
        refused = [head for head in statuses if head.status == 503]
        check.assertEqual(ran + len(refused), 40)
        check.assertGreater(len(refused), 0)
        check.assertTrue(all(dict(head.headers).get(b"retry-after") for head in refused))
