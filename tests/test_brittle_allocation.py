"""How the slots of brittle runners are split among instances."""

from hypothesis import given
from hypothesis import strategies as st

from egretstack.fleet import RunnerLimits, RunnerTable
from egretstack.ids import InstanceId
from egretstack.placing import BrittleAllocation, FleetSplit, SendOrigin
from tests.fleet_fixtures import runner
from tests.support import check, tests_of

load_tests = tests_of(globals())


def allocations(instances, target, brittle=2.0):
    """Return the allocation of each instance of a fleet that knows a runner as brittle."""
    ids = [InstanceId(f"entry-{number}") for number in range(instances)]
    made = []
    for own in ids:
        table, stated = RunnerTable(), RunnerLimits()
        table.apply_reading(0.0, [target], 1, 0.0)
        if brittle is not None:
            stated.record_answer(0.0, target.id, brittle, 0.0)
        split = FleetSplit(own)
        split.others = tuple(one for one in ids if one != own)
        made.append(BrittleAllocation(split, table, stated))
    return made


def fill(allocation, target, origin):
    """Return how many requests an instance sends while none of them ends."""
    sent = 0
    allocation.calls_at = allocation.own_runs_at = allocation.fleet_runs_at = lambda runner: sent
    while sent < 1_000 and allocation.allows(0.0, target, origin):
        sent += 1
    return sent


@given(st.integers(1, 40), st.integers(1, 60))
def test_calls_of_all_instances_take_all_slots_and_no_more(instances, slots):
    target = runner("a", slots=slots)
    sent = [fill(one, target, SendOrigin.PLAIN) for one in allocations(instances, target)]
    check.assertEqual(sum(sent), slots)


@given(st.integers(1, 40), st.integers(2, 60))
def test_generations_of_the_home_and_without_it_take_no_more_than_all_slots(instances, slots):
    target = runner("a", slots=slots)
    made = allocations(instances, target)
    alone = sum(fill(one, target, SendOrigin.ALONE) for one in made)
    home = fill(made[0], target, SendOrigin.HOME)
    check.assertLessEqual(alone + home, slots)
    check.assertGreaterEqual(home, 1)


def test_a_runner_that_is_not_brittle_gets_any_number():
    target = runner("a", slots=1)
    allocation = allocations(3, target, brittle=None)[0]
    check.assertEqual(fill(allocation, target, SendOrigin.PLAIN), 1_000)


def test_rejections_of_all_instances_stay_within_what_the_runner_bears():
    # Guards against rejections that add up where fewer requests may wait than there are slots.
    target = runner("a", slots=24)
    rejected = 0
    for allocation in allocations(6, target):
        for step in range(1_000):
            now_s = step / 100
            if allocation.allows(now_s, target, SendOrigin.PLAIN):
                allocation.record_rejected(now_s, target.id)
                rejected += 1
    check.assertLessEqual(rejected, 2 * 10 + 6)
