"""How much later than a new home an old one, or an entry, learns that the home has changed.

Limits assume at most MAX_VIEW_LAG_S. Here the views come from membership itself, not from a test.
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
    """Return after what time each other running instance learns that one is live, or is not."""
    began_s = fleet.now_s
    learned_s_by_id: dict[InstanceId, float] = {}
    others = {
        name: node for name, node in fleet.node_by_id.items() if name != subject and not node.down
    }
    while len(learned_s_by_id) < len(others) and fleet.now_s - began_s < LONGEST_S:
        fleet.run(STEP_S)
        for name, node in others.items():
            seen = subject in {member.id for member in node.state.live(fleet.now_s)}
            if seen is live:
                learned_s_by_id.setdefault(name, fleet.now_s - began_s)
    check.assertEqual(len(learned_s_by_id), len(others))
    return sorted(learned_s_by_id.values())


def settled(size: int, seed: int) -> tuple[Fleet, list]:
    fleet, listed = fleet_of(size, seed=seed)
    fleet.run(SETTLE_S)
    return fleet, listed


def each_fleet():
    """Yield settled fleets of several sizes and seeds as subtests."""
    for size in SIZES:
        for seed in range(SEEDS):
            fleet, listed = settled(size, seed)
            with check.subTest(size=size, seed=seed):
                yield fleet, listed, size


def test_all_learn_of_a_killed_instance_at_nearly_the_same_time():
    # An instance is killed. The others learn of it seconds later; one of them is the new home and
    # grants 6 s after that. An entry that learned of it later than that would not have reported its
    # open requests.
    for fleet, _, size in each_fleet():
        fleet.node(size - 1).down = True
        times = learning_times(fleet, InstanceId(f"entry-{size - 1}"), live=False)
        check.assertLessEqual(times[-1] - times[0], MAX_VIEW_LAG_S)


def test_all_learn_of_a_leaving_home_soon():
    # A leaving home stops granting at once; the others, including the new home, learn of it.
    for fleet, _, size in each_fleet():
        fleet.state_of(size - 1).leave()
        times = learning_times(fleet, InstanceId(f"entry-{size - 1}"), live=False)
        check.assertLessEqual(times[-1], MAX_VIEW_LAG_S)


def test_an_old_home_learns_soon_of_a_new_instance():
    # A new instance is the home in its own view from its start. The old home grants until it
    # learns of it; the new one waits for that and until the last slice has expired.
    for fleet, listed, size in each_fleet():
        own = instance(size)
        fleet.start(own, [*listed, own])
        times = learning_times(fleet, InstanceId(own.id), live=True)
        check.assertLessEqual(times[-1], MAX_VIEW_LAG_S)
