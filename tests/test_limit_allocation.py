"""How a runner's rate limit is split among instances, and how updates of it spread."""

from hypothesis import given, settings
from hypothesis import strategies as st

from egretstack.fleet import RunnerLimits, RunnerTable, limit_from_row
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


def make_allocation(number=0, instances=1, *, reachable=None, per_s=2.4):
    """Return one instance's allocation for a runner with a limit, and the runner."""
    split = FleetSplit(InstanceId(f"entry-{number}"))
    split.others = tuple(
        InstanceId(f"entry-{index}") for index in range(instances) if index != number
    )
    split.reachable = instances - 1 if reachable is None else reachable
    table = RunnerTable()
    target = runner("a")
    table.apply_reading(0.0, [target], 1, 0.0)
    limits = RunnerLimits()
    limits.record_answer(0.0, A, per_s, 0.0)
    return LimitAllocation(split, table, limits), target


def sent_at(allocation, target, *origins):
    """Send as fast as allowed for some seconds; return the times."""
    times = []
    for step in range(STEPS):
        now_s = step * STEP_S
        for origin in origins:
            while allocation.allows(now_s, target, origin):
                allocation.record_sent(now_s, target.id, origin)
                times.append(now_s)
    return times


def max_in_a_window(times):
    return max((sum(0 <= at - begin < WINDOW_S for at in times) for begin in times), default=0)


@settings(deadline=None, derandomize=True, max_examples=40)
@given(
    instances=st.integers(1, 60),
    per_s=st.floats(0.0, 60.0),
    cut=st.floats(0.0, 1.0),
    plain=st.booleans(),
)
def test_the_allocations_of_a_partitioned_fleet_stay_within_a_runners_limit(
    instances, per_s, cut, plain
):
    # Guards against homes, lone instances and continuations that together exceed the limit.
    reached = max(1, round(cut * instances))
    reachable_by_home = {0: reached - 1}
    if reached < instances:
        reachable_by_home[instances - 1] = instances - reached - 1
    times = []
    for number in range(instances):
        reachable = reachable_by_home.get(number)
        allocation, target = make_allocation(number, instances, reachable=reachable, per_s=per_s)
        if plain:
            times += sent_at(allocation, target, SendOrigin.PLAIN)
        elif reachable is None:
            times += sent_at(allocation, target, SendOrigin.CONTINUED)
        else:
            times += sent_at(allocation, target, SendOrigin.HOME, SendOrigin.CONTINUED)
    check.assertLessEqual(max_in_a_window(times), OVERAGE * per_s * WINDOW_S + SLACK)


@settings(deadline=None, derandomize=True, max_examples=40)
@given(instances=st.integers(1, 420), per_s=st.floats(0.5, 60.0), plain=st.booleans())
def test_a_limited_runner_gets_most_of_what_it_takes(instances, per_s, plain):
    # Guards against allocations that leave a limited runner idle, however large the fleet.
    if plain:
        allocations = [
            make_allocation(number, instances, per_s=per_s) for number in range(instances)
        ]
        rates = [it[0]._allowance(A, SendOrigin.PLAIN).per_s for it in allocations]
    else:
        rates = [make_allocation(0, instances, per_s=per_s)[0]._allowance(A, SendOrigin.HOME).per_s]
    check.assertGreater(sum(rates), 0.85 * per_s)
    check.assertLessEqual(sum(rates), per_s)


def test_a_runner_with_a_high_limit_gets_several_requests_at_once():
    # Guards against callers that are refused one by one where a runner accepts hundreds a second.
    for origin in (SendOrigin.HOME, SendOrigin.PLAIN):
        allocation, target = make_allocation(instances=6, per_s=100.0)
        allocation.allows(0.0, target, origin)
        sent = 0
        while allocation.allows(1.0, target, origin):
            allocation.record_sent(1.0, A, origin)
            sent += 1
        check.assertGreater(sent, 10)


def test_a_runner_with_a_limit_of_zero_gets_a_request_now_and_then():
    # Guards against a limit of zero whose withdrawal no instance ever learns of.
    allocation, target = make_allocation(per_s=0.0)
    check.assertGreaterEqual(len(sent_at(allocation, target, SendOrigin.PLAIN)), 2)


def test_the_time_until_a_limited_runner_may_get_one_more_request():
    allocation, target = make_allocation(per_s=2.0)
    check.assertEqual(allocation.time_until_allowed_s(0.0, target, SendOrigin.PLAIN), 0.0)
    allocation.record_sent(0.0, A, SendOrigin.PLAIN)
    check.assertAlmostEqual(allocation.time_until_allowed_s(0.0, target, SendOrigin.PLAIN), 1 / 1.8)
    check.assertAlmostEqual(
        allocation.time_until_allowed_s(0.0, target, SendOrigin.PLAIN, 2), 3 / 1.8
    )


def test_a_limit_that_is_stated_again_does_not_refill_the_bucket():
    # Guards against a runner that repeatedly withdraws its limit and states it again.
    allocation, target = make_allocation(per_s=1.0)
    limits = allocation._limits
    times = []
    for step in range(STEPS):
        now_s = step * STEP_S
        limits.record_answer(now_s, A, None if step % 4 == 3 else 1.0, now_s)
        if step % 4 != 3 and allocation.allows(now_s, target, SendOrigin.PLAIN):
            allocation.record_sent(now_s, A, SendOrigin.PLAIN)
            times.append(now_s)
    check.assertLessEqual(max_in_a_window(times), OVERAGE * WINDOW_S + SLACK)


def test_an_answer_to_an_older_request_does_not_remove_a_limit():
    # Guards against a limit that is removed by an answer made before it was stated.
    limits = RunnerLimits()
    check.assertTrue(limits.record_answer(1.0, A, 2.0, 0.9))
    check.assertFalse(limits.record_answer(1.1, A, None, 0.95))
    check.assertEqual(limits.per_s(A), 2.0)
    check.assertTrue(limits.record_answer(1.3, A, None, 1.2))
    check.assertIsNone(limits.per_s(A))


def test_the_latest_answer_counts_whichever_instance_received_it():
    limits = RunnerLimits()
    limits.record_answer(5.0, A, 2.0, 4.9)
    check.assertFalse(limits.record_reported(5.1, A, None, 4.8))
    check.assertTrue(limits.record_reported(5.2, A, None, 5.1))
    check.assertFalse(limits.record_reported(5.3, A, 2.0, 5.0))
    check.assertIsNone(limits.per_s(A))


def test_the_homes_limits_apply_once_the_own_answer_is_old():
    # Guards against an instance that keeps a limit which others know to be withdrawn.
    limits = RunnerLimits()
    limits.record_answer(5.0, A, 2.0, 4.9)
    check.assertEqual(limits.apply_home_limits(5.5, {}), set())
    check.assertEqual(limits.apply_home_limits(6.1, {}), {A})
    check.assertIsNone(limits.per_s(A))


def test_limits_that_the_home_repeats_do_not_become_more_recent():
    # Guards against a new home that believes the former one rather than whoever got an answer from
    # the runner.
    limits = RunnerLimits()
    limits.apply_home_limits(5.0, {A: 2.0})
    for step in range(20):
        limits.apply_home_limits(5.0 + step, {A: 3.0})
    check.assertEqual(limits.per_s(A), 3.0)
    check.assertTrue(limits.record_reported(26.0, A, None, 5.5))


def test_a_new_home_learns_every_limit():
    # Guards against a home that has just started and knows no limit.
    old, new = RunnerLimits(), RunnerLimits()
    old.apply_home_limits(5.0, {A: 2.0})
    for runner_id, per_s, age_s in map(limit_from_row, old.rows(60.0)):
        new.record_reported(60.0, runner_id, per_s, 60.0 - age_s)
    check.assertEqual(new.limited(), {A: 2.0})


def test_the_withdrawal_of_a_limit_is_reported_for_a_while():
    limits = RunnerLimits()
    limits.record_answer(5.0, A, 2.0, 4.9)
    limits.record_answer(6.0, A, None, 5.9)
    check.assertEqual(limits.rows(6.5), [[A, None, 500]])
    check.assertEqual(limits.rows(9.0), [])


def test_invalid_limit_rows_are_rejected():
    for row in (None, [], ["a"], [1, 2.0, 3], ["a", "x", 3], ["a", -1.0, 3], ["a", 1.0, -3]):
        with check.assertRaises(MessageError):
            limit_from_row(row)
    check.assertEqual(limit_from_row(["a", 2, 500]), (A, 2.0, 0.5))
