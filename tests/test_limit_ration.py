"""How the limit of a runner is split among instances, and how its word spreads."""

from hypothesis import given, settings
from hypothesis import strategies as st

from egretstack.fleet import RunnerLimits, RunnerTable, limit_of
from egretstack.ids import InstanceId, RunnerId
from egretstack.messages import MessageError
from egretstack.placing import FleetSplit, LimitAllocation, SendOrigin
from tests.fleet_fixtures import runner
from tests.limited_site import OVERAGE, SLACK, WINDOW_S
from tests.support import check, tests_of

load_tests = tests_of(globals())

A = RunnerId("a")
STEP_S = 0.05
STEPS = 240


def ration_of(number=0, instances=1, *, heard=None, per_s=2.4):
    """Give one instance's ration of a runner that all know to be limited."""
    split = FleetSplit(InstanceId(f"entry-{number}"))
    split.others = tuple(InstanceId(f"entry-{one}") for one in range(instances) if one != number)
    split.reachable = instances - 1 if heard is None else heard
    table = RunnerTable()
    one = runner("a")
    table.take(0.0, [one], 1, 0.0)
    limits = RunnerLimits()
    limits.heard(0.0, A, per_s, 0.0)
    return LimitAllocation(split, table, limits), one


def sent_at(ration, one, *parts):
    """Send as fast as it is allowed for some seconds; give when."""
    times = []
    for step in range(STEPS):
        now_s = step * STEP_S
        for part in parts:
            while ration.allows(now_s, one, part):
                ration.record_sent(now_s, one.id, part)
                times.append(now_s)
    return times


def most_in_a_window(times):
    return max((sum(0 <= at - begin < WINDOW_S for at in times) for begin in times), default=0)


@settings(deadline=None, derandomize=True, max_examples=40)
@given(
    instances=st.integers(1, 60),
    per_s=st.floats(0.0, 60.0),
    cut=st.floats(0.0, 1.0),
    plain=st.booleans(),
)
def test_the_parts_of_a_split_fleet_keep_what_a_limited_runner_bears(instances, per_s, cut, plain):
    # Guards against sums over homes, lone instances and continuations beyond the limit's bound.
    near = max(1, round(cut * instances))
    heard_by_home = {0: near - 1}
    if near < instances:
        heard_by_home[instances - 1] = instances - near - 1
    times = []
    for number in range(instances):
        heard = heard_by_home.get(number)
        ration, one = ration_of(number, instances, heard=heard, per_s=per_s)
        if plain:
            times += sent_at(ration, one, SendOrigin.PLAIN)
        elif heard is None:
            times += sent_at(ration, one, SendOrigin.CONTINUED)
        else:
            times += sent_at(ration, one, SendOrigin.HOME, SendOrigin.CONTINUED)
    check.assertLessEqual(most_in_a_window(times), OVERAGE * per_s * WINDOW_S + SLACK)


@settings(deadline=None, derandomize=True, max_examples=40)
@given(instances=st.integers(1, 420), per_s=st.floats(0.5, 60.0), plain=st.booleans())
def test_a_limited_runner_gets_most_of_what_it_takes(instances, per_s, plain):
    # Guards against parts that leave a limited runner idle, however large the fleet.
    if plain:
        parts = [ration_of(number, instances, per_s=per_s) for number in range(instances)]
        rates = [one[0]._allowance(A, SendOrigin.PLAIN).per_s for one in parts]
    else:
        rates = [ration_of(0, instances, per_s=per_s)[0]._allowance(A, SendOrigin.HOME).per_s]
    check.assertGreater(sum(rates), 0.85 * per_s)
    check.assertLessEqual(sum(rates), per_s)


def test_a_runner_that_takes_many_gets_several_at_once():
    # Guards against callers that are refused one by one where a runner takes hundreds a second.
    for part in (SendOrigin.HOME, SendOrigin.PLAIN):
        ration, one = ration_of(instances=6, per_s=100.0)
        ration.allows(0.0, one, part)
        sent = 0
        while ration.allows(1.0, one, part):
            ration.record_sent(1.0, A, part)
            sent += 1
        check.assertGreater(sent, 10)


def test_a_runner_that_takes_nothing_is_asked_now_and_then():
    # Guards against a limit of nothing that nobody ever hears taken back.
    ration, one = ration_of(per_s=0.0)
    check.assertGreaterEqual(len(sent_at(ration, one, SendOrigin.PLAIN)), 2)


def test_the_time_until_a_limited_runner_takes_one_more_is_told():
    ration, one = ration_of(per_s=2.0)
    check.assertEqual(ration.time_until_allowed_s(0.0, one, SendOrigin.PLAIN), 0.0)
    ration.record_sent(0.0, A, SendOrigin.PLAIN)
    check.assertAlmostEqual(ration.time_until_allowed_s(0.0, one, SendOrigin.PLAIN), 1 / 1.8)
    check.assertAlmostEqual(ration.time_until_allowed_s(0.0, one, SendOrigin.PLAIN, 2), 3 / 1.8)


def test_a_limit_named_again_gives_no_second_start():
    # Guards against a runner that takes its limit back and names it again, over and over.
    ration, one = ration_of(per_s=1.0)
    limits = ration._limits
    times = []
    for step in range(STEPS):
        now_s = step * STEP_S
        limits.heard(now_s, A, None if step % 4 == 3 else 1.0, now_s)
        if step % 4 != 3 and ration.allows(now_s, one, SendOrigin.PLAIN):
            ration.record_sent(now_s, A, SendOrigin.PLAIN)
            times.append(now_s)
    check.assertLessEqual(most_in_a_window(times), OVERAGE * WINDOW_S + SLACK)


def test_an_answer_that_was_under_way_takes_no_limit_back():
    # Guards against a limit that is lost to an answer made before it was named.
    limits = RunnerLimits()
    check.assertTrue(limits.heard(1.0, A, 2.0, 0.9))
    check.assertFalse(limits.heard(1.1, A, None, 0.95))
    check.assertEqual(limits.per_s(A), 2.0)
    check.assertTrue(limits.heard(1.3, A, None, 1.2))
    check.assertIsNone(limits.per_s(A))


def test_the_latest_word_counts_whoever_heard_it():
    limits = RunnerLimits()
    limits.heard(5.0, A, 2.0, 4.9)
    check.assertFalse(limits.told(5.1, A, None, 4.8))
    check.assertTrue(limits.told(5.2, A, None, 5.1))
    check.assertFalse(limits.told(5.3, A, 2.0, 5.0))
    check.assertIsNone(limits.per_s(A))


def test_what_the_home_tells_counts_once_its_own_word_is_old():
    # Guards against an instance that keeps a limit which others heard taken back.
    limits = RunnerLimits()
    limits.heard(5.0, A, 2.0, 4.9)
    check.assertEqual(limits.told_all(5.5, {}), set())
    check.assertEqual(limits.told_all(6.1, {}), {A})
    check.assertIsNone(limits.per_s(A))


def test_what_the_home_tells_again_and_again_grows_no_younger():
    # Guards against a next home that believes its former one rather than who asked the runner.
    limits = RunnerLimits()
    limits.told_all(5.0, {A: 2.0})
    for step in range(20):
        limits.told_all(5.0 + step, {A: 3.0})
    check.assertEqual(limits.per_s(A), 3.0)
    check.assertTrue(limits.told(26.0, A, None, 5.5))


def test_whoever_becomes_home_hears_every_limit():
    # Guards against a home that started a moment ago and knows of no limit.
    old, new = RunnerLimits(), RunnerLimits()
    old.told_all(5.0, {A: 2.0})
    for runner_id, per_s, age_s in map(limit_of, old.rows(60.0)):
        new.told(60.0, runner_id, per_s, 60.0 - age_s)
    check.assertEqual(new.limited(), {A: 2.0})


def test_a_limit_that_was_taken_back_is_reported_for_a_while():
    limits = RunnerLimits()
    limits.heard(5.0, A, 2.0, 4.9)
    limits.heard(6.0, A, None, 5.9)
    check.assertEqual(limits.rows(6.5), [[A, None, 500]])
    check.assertEqual(limits.rows(9.0), [])


def test_rows_that_are_no_limits_are_refused():
    for row in (None, [], ["a"], [1, 2.0, 3], ["a", "x", 3], ["a", -1.0, 3], ["a", 1.0, -3]):
        with check.assertRaises(MessageError):
            limit_of(row)
    check.assertEqual(limit_of(["a", 2, 500]), (A, 2.0, 0.5))
