"""How much later than a new home an old one, or an entry, learns that the home has moved.

Limits take VIEW_LAG_S for it. Here the views come from membership itself, not from a test.
"""

from egretstack.ids import InstanceId
from egretstack.limits import MAX_VIEW_LAG_S
from tests.membership_fleet import Fleet, fleet_of, instance
from tests.support import check, tests_of

load_tests = tests_of(globals())

SIZES = (3, 20)
SEEDS = 3
SETTLE_S = 20.0
LONGEST_S = 30.0
STEP_S = 0.1


def learning_times(fleet: Fleet, subject: InstanceId, live: bool) -> list[float]:
    """Give when each other running instance learns that one is live, or is not any more."""
    began_s = fleet.now_s
    learnt_s_by_id: dict[InstanceId, float] = {}
    others = {
        name: node for name, node in fleet.node_by_id.items() if name != subject and not node.down
    }
    while len(learnt_s_by_id) < len(others) and fleet.now_s - began_s < LONGEST_S:
        fleet.run(STEP_S)
        for name, node in others.items():
            seen = subject in {member.id for member in node.state.live(fleet.now_s)}
            if seen is live:
                learnt_s_by_id.setdefault(name, fleet.now_s - began_s)
    check.assertEqual(len(learnt_s_by_id), len(others))
    return sorted(learnt_s_by_id.values())


def settled(size: int, seed: int) -> tuple[Fleet, list]:
    fleet, listed = fleet_of(size, seed=seed)
    fleet.run(SETTLE_S)
    return fleet, listed


def each_fleet():
    """Give settled fleets of several sizes and seeds, as the cases of one test."""
    for size in SIZES:
        for seed in range(SEEDS):
            fleet, listed = settled(size, seed)
            with check.subTest(size=size, seed=seed):
                yield fleet, listed, size


def test_all_learn_of_a_death_nearly_together():
    # An instance is killed. Each other learns it seconds later, one as the new home, which lends
    # 6 s after that. An entry that learnt it still later would not have told what is open.
    for fleet, _, size in each_fleet():
        fleet.node(size - 1).down = True
        times = learning_times(fleet, InstanceId(f"entry-{size - 1}"), live=False)
        check.assertLessEqual(times[-1] - times[0], MAX_VIEW_LAG_S)


def test_all_learn_of_a_leaving_home_soon():
    # A home that leaves stops to lend at once; the others, the new home among them, learn it.
    for fleet, _, size in each_fleet():
        fleet.state_of(size - 1).leave()
        times = learning_times(fleet, InstanceId(f"entry-{size - 1}"), live=False)
        check.assertLessEqual(times[-1], MAX_VIEW_LAG_S)


def test_an_old_home_learns_soon_of_a_new_instance():
    # A new instance is the home in its own view from its start. The old home lends until it
    # learns of it; the new one waits for that, and for the life of the last slice.
    for fleet, listed, size in each_fleet():
        own = instance(size)
        fleet.start(own, [*listed, own])
        times = learning_times(fleet, InstanceId(own.id), live=True)
        check.assertLessEqual(times[-1], MAX_VIEW_LAG_S)
