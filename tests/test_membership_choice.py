"""Choices by rendezvous hash, and the schedules in which instances read the list and reports."""

import itertools
import random

from hypothesis import given
from hypothesis import strategies as st

from egretstack.ids import AccountId, InstanceId, ModelName, RunnerId, ServiceName, ZoneName
from egretstack.membership import (
    ENTRIES_PER_ANSWER,
    MAX_REPORTS,
    NearbyReports,
    ReadingPlan,
    ReportSchedule,
    entries_for,
)
from egretstack.membership._report_schedule import JITTER, MAX_AHEAD
from egretstack.policy import RunnerInfo
from tests.membership_fleet import instance
from tests.support import check, tests_of

load_tests = tests_of(globals())


def engine(number, zone="a", service="llm"):
    return RunnerInfo(
        RunnerId(f"{service}-{number}"),
        ServiceName(service),
        ZoneName(zone),
        (ModelName("m"),),
        1000,
        8,
    )


def chosen(account, live, own, leaves=False):
    found = entries_for(AccountId(account), ZoneName("a"), live, own, leaves)
    return [member.id for member in found]


def test_accounts_are_spread_over_entries_and_move_only_with_their_own():
    live = [instance(number) for number in range(20)]
    firsts = {f"account-{n}": chosen(f"account-{n}", live, live[0])[0] for n in range(200)}
    check.assertGreater(len(set(firsts.values())), 15)
    without = [member for member in live if member.id != "entry-7"]
    for account, first in firsts.items():
        if first != "entry-7":
            check.assertEqual(chosen(account, without, live[0])[0], first)


@given(st.integers(0, 12), st.integers(0, 12), st.booleans())
def test_an_answer_is_bounded_and_never_empty(near, far, leaves):
    own = instance(99)
    live = [instance(n) for n in range(near)] + [instance(50 + n, "b") for n in range(far)]
    found = chosen("acme", live, own, leaves)
    check.assertTrue(1 <= len(found) <= ENTRIES_PER_ANSWER)
    check.assertEqual(len(set(found)), len(found))
    if far and near:
        check.assertTrue(any(int(name.removeprefix("entry-")) in range(50, 62) for name in found))
    if leaves and live:
        check.assertNotIn(own.id, found)


def test_reports_of_every_service_are_read_own_zone_first():
    runners = [engine(n, "ab"[n % 2]) for n in range(100)]
    runners += [engine(n, "b", "small") for n in range(3)]
    found = NearbyReports(InstanceId("entry-0"), ZoneName("a")).choose(runners)
    check.assertEqual(len(found), MAX_REPORTS)
    check.assertEqual(sum(name.startswith("small") for name in found), 3)
    large = [one for one in runners if one.id in found and one.service == "llm"]
    check.assertEqual({one.zone for one in large}, {"a"})


def test_the_runners_read_by_all_instances_cover_all_runners():
    runners = [engine(n) for n in range(200)]
    covered = set()
    for number in range(60):
        covered |= NearbyReports(InstanceId(f"entry-{number}"), ZoneName("a")).choose(runners)
    check.assertEqual(len(covered), 200)


def test_reads_of_the_list_are_bounded_for_an_instance_and_for_the_fleet():
    today = ReadingPlan.make(1.0, 25, 0, 7)
    check.assertEqual(today.period_s, 5.0)
    target = ReadingPlan.make(1.0, 2120, 0, 420)
    check.assertLessEqual(2120 * 200 / target.period_s, 1000)
    check.assertLessEqual(420 / target.period_s, 1.0)


@given(st.integers(1, 100), st.floats(0, 1e6))
def test_list_readings_are_spread_evenly_and_never_doubled(readers, now_s):
    plans = [ReadingPlan.make(1.0, 500, rank, readers) for rank in range(readers)]
    offsets = [plan.offset_s for plan in plans]
    gaps = [after - before for before, after in zip(offsets, offsets[1:], strict=False)]
    for gap in gaps:
        check.assertAlmostEqual(gap, plans[0].period_s / readers)
    for plan in plans:
        wait_s = plan.wait_s(now_s)
        check.assertGreaterEqual(wait_s, plan.period_s / 2)
        check.assertLessEqual(wait_s, plan.period_s * 1.5)


def readings(schedule, seconds, answers, rate_check_s=0.01):
    """Let time pass in small steps; return (time, runner) of each reading."""
    found = []
    for step in range(int(seconds / rate_check_s)):
        now_s = step * rate_check_s
        runner = schedule.pop_due(now_s, set())
        if runner is not None:
            found.append((now_s, runner))
            (
                schedule.record_success(runner)
                if answers(runner)
                else schedule.record_failure(now_s, runner)
            )
    return found


@given(st.integers(1, 40), st.integers(0, 40), st.integers(0, 5))
def test_readings_stay_below_their_rate_also_when_many_runners_fail(runners, failing, seed):
    schedule = ReportSchedule(2.0, 0.5, random.Random(seed))
    schedule.set_runners(RunnerId(f"r-{number}") for number in range(runners))
    dead = {f"r-{number}" for number in range(failing)}
    found = readings(schedule, 30, lambda runner: runner not in dead)
    check.assertLessEqual(len(found), 30 * 2 * (1 + JITTER) + MAX_AHEAD + 2)


def test_two_runners_are_read_evenly_once_a_second():
    schedule = ReportSchedule(2.0, 0.5, random.Random(1))
    schedule.set_runners([RunnerId("a"), RunnerId("b")])
    found = readings(schedule, 20, lambda runner: True)
    times = [at_s for at_s, runner in found if runner == "a"]
    for gap_s in (after - before for before, after in itertools.pairwise(times)):
        check.assertTrue(0.85 <= gap_s <= 1.15, gap_s)


def test_an_urgent_runner_is_read_at_once_and_the_others_wait():
    # A caller's stream to a runner broke. Its report would show whether the runner is down, but it
    # is due only in 20 s; until then new requests would go there.
    schedule = ReportSchedule(2.0, 0.5, random.Random(1))
    schedule.set_runners(RunnerId(f"r-{number}") for number in range(40))
    found = readings(schedule, 30, lambda runner: True)
    last_s, first = found[0][0], found[0][1]
    check.assertEqual(last_s, 0.0)
    schedule.set_runners(RunnerId(f"r-{number}") for number in range(40))
    read_last = found[-1][1]
    schedule.prioritize(read_last)
    check.assertEqual(schedule.pop_due(30.6, set()), read_last)
    check.assertIsNone(schedule.pop_due(30.6, {first}))
    schedule.prioritize(read_last)
    check.assertNotEqual(schedule.pop_due(30.7, set()), read_last)
