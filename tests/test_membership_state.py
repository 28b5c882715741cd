"""Membership of a whole fleet as objects: leaving, crashes, cuts, pauses, lists that lag."""

import random
from dataclasses import replace

from egretstack.ids import InstanceId, RunnerId
from egretstack.membership import InstanceState, MembershipState
from egretstack.objectapi import MemberState
from tests.membership_fleet import EPOCH_S, fleet_of, instance, runner
from tests.support import check, tests_of

load_tests = tests_of(globals())

LEAVING_PROPAGATION_S = 3.0
KNOWN_WITHOUT_LOSS_S = 1.0
"""Without message loss; below the period of heartbeats times the steps between two instances."""
GONE_DETECTION_S = 12.0


def state_of(fleet, observer, subject):
    view = fleet.state_of(observer).views().get(InstanceId(f"entry-{subject}"))
    return None if view is None else view.state


def states(fleet, subject, observers):
    return {state_of(fleet, one, subject) for one in observers}


def transitions(fleet, observer, subject, seconds):
    """Let time pass; return the states that the observer held of the subject, in order."""
    seen = []
    for _ in range(int(seconds * 10)):
        fleet.run(0.1)
        state = state_of(fleet, observer, subject)
        if not seen or seen[-1] is not state:
            seen.append(state)
    return seen


def incarnation_of(fleet, number):
    """Return a number that grows by one with each suspicion that an instance refuted."""
    return fleet.state_of(number)._row.incarnation


def digests(fleet, observers):
    return {fleet.state_of(one).digest for one in observers}


def test_a_leaving_instance_is_known_to_all_within_seconds():
    fleet, _ = fleet_of(60)
    fleet.run(5)
    fleet.state_of(7).leave()
    fleet.run(KNOWN_WITHOUT_LOSS_S)
    check.assertEqual(states(fleet, 7, range(60)), {InstanceState.LEAVING})
    for observer in range(60):
        live = {member.id for member in fleet.state_of(observer).live(fleet.now_s)}
        check.assertNotIn("entry-7", live)


def test_leaving_is_known_to_all_while_a_fifth_of_the_messages_is_lost():
    # The message that carries the update is lost again and again; it is sent until the neighbour
    # confirms it. Otherwise callers would be sent to a leaving instance by those that missed it.
    fleet, _ = fleet_of(40)
    fleet.loss_rate = 0.2
    fleet.run(5)
    fleet.state_of(3).leave()
    fleet.run(2 * LEAVING_PROPAGATION_S)
    check.assertLessEqual(
        states(fleet, 3, range(40)), {InstanceState.LEAVING, InstanceState.SUSPECT}
    )
    fleet.loss_rate = 0.0
    fleet.run(10)
    check.assertEqual(states(fleet, 3, range(40)), {InstanceState.LEAVING})
    check.assertEqual(len(digests(fleet, range(40))), 1)


def test_a_dead_instance_is_gone_for_all_and_nobody_else_is():
    fleet, _ = fleet_of(30)
    fleet.run(5)
    fleet.node(4).down = True
    fleet.run(GONE_DETECTION_S)
    others = set(range(30)) - {4}
    check.assertEqual(states(fleet, 4, others), {InstanceState.GONE})
    for subject in others:
        check.assertEqual(states(fleet, subject, others), {InstanceState.LIVE})


def test_an_instance_that_reports_its_stop_is_gone_at_once():
    fleet, _ = fleet_of(30)
    fleet.run(5)
    fleet.state_of(4).stop()
    fleet.run(LEAVING_PROPAGATION_S)
    check.assertEqual(states(fleet, 4, range(30)), {InstanceState.GONE})


def test_a_cut_between_two_instances_makes_neither_gone():
    # Only the path between two instances is cut. The one that watches the other gets no answer and
    # suspects it; the other receives that through third ones and refutes the suspicion, so callers
    # are sent to both all the time. Nor is it suspected every few seconds.
    fleet, _ = fleet_of(12)
    fleet.run(5)
    watched = int(sorted(fleet.state_of(0).neighbours())[0].removeprefix("entry-"))
    fleet.cut({watched}, {0})
    fleet.cut({0}, {watched})
    before = incarnation_of(fleet, watched)
    seen = transitions(fleet, 5 if watched != 5 else 6, watched, 300)
    check.assertNotIn(InstanceState.GONE, seen)
    check.assertLessEqual(incarnation_of(fleet, watched) - before, 16)
    check.assertEqual(states(fleet, watched, range(12)), {InstanceState.LIVE})


def test_an_instance_that_nobody_can_reach_is_gone_although_it_can_send():
    # All paths to one instance are cut, none from it. Its heartbeats still arrive, but callers and
    # peers cannot reach it, and it never receives that it is suspected.
    fleet, _ = fleet_of(12)
    fleet.run(5)
    fleet.cut(set(range(12)) - {2}, {2})
    fleet.run(GONE_DETECTION_S)
    check.assertEqual(states(fleet, 2, set(range(12)) - {2}), {InstanceState.GONE})
    # It suspects nobody: what it sees is its own fault.
    check.assertEqual({state_of(fleet, 2, one) for one in range(12)}, {InstanceState.LIVE})
    fleet.cuts.clear()
    fleet.run(GONE_DETECTION_S)
    check.assertEqual(states(fleet, 2, range(12)), {InstanceState.LIVE})


def test_a_paused_instance_comes_back_and_suspects_nobody():
    # An instance is paused for a minute. Meanwhile the others consider it gone. When it resumes,
    # every answer it waited for is long overdue; it must not suspect them for that.
    fleet, _ = fleet_of(20)
    fleet.run(5)
    fleet.node(6).down = True
    fleet.run(60)
    check.assertEqual(states(fleet, 6, set(range(20)) - {6}), {InstanceState.GONE})
    fleet.node(6).down = False
    watched = sorted(set(range(20)) - {6})
    for _ in range(100):
        fleet.run(0.1)
        for subject in watched:
            check.assertEqual(state_of(fleet, 0 if subject else 1, subject), InstanceState.LIVE)
    check.assertEqual(states(fleet, 6, range(20)), {InstanceState.LIVE})


def test_a_resumed_instance_counts_no_misses_of_its_pause():
    # Two heartbeats to a neighbour got no answer, then this process is paused. The third answer is
    # overdue when it resumes; counted as the third miss, it would make a healthy neighbour a
    # suspect.
    state = MembershipState(instance(0), 0.0, EPOCH_S, random.Random(1))
    state.apply_list(0.0, [instance(0), instance(1)])
    for now_s in (1.0, 2.0):
        state.tick(now_s)
        state.on_timeout(now_s + 0.1, InstanceId("entry-1"))
    state.tick(3.0)
    state.apply_list(60.0, [instance(0), instance(1)])
    state.tick(60.0)
    state.on_timeout(60.0, InstanceId("entry-1"))
    check.assertIs(state.views()[InstanceId("entry-1")].state, InstanceState.LIVE)


def test_a_suspicion_from_before_a_pause_is_given_time():
    # An instance holds another for suspect when it is paused; meanwhile the other refutes the
    # suspicion. After the pause that suspicion has long timed out here, but the refutation has not
    # arrived yet.
    fleet, _ = fleet_of(6)
    fleet.run(5)
    state = fleet.state_of(0)
    state._set_state(fleet.now_s, InstanceId("entry-1"), InstanceState.SUSPECT)
    fleet.node(0).down = True
    fleet.run(3)
    fleet.run(3)
    fleet.node(0).down = False
    seen = transitions(fleet, 0, 1, 10)
    check.assertNotIn(InstanceState.GONE, seen)
    check.assertEqual(seen[-1], InstanceState.LIVE)


def test_a_flapping_instance_is_held_down():
    # An instance goes and comes back repeatedly. Each time the homes of its accounts and the
    # addresses that callers get would move; after the third return it has to stay for a while
    # first.
    fleet, _ = fleet_of(12)
    fleet.run(5)
    for _ in range(3):
        fleet.node(3).down = True
        fleet.run(GONE_DETECTION_S + 3)
        fleet.node(3).down = False
        fleet.run(6)
    check.assertEqual(state_of(fleet, 0, 3), InstanceState.LIVE)
    live = {member.id for member in fleet.state_of(0).live(fleet.now_s)}
    check.assertNotIn("entry-3", live)
    fleet.run(31)
    check.assertIn("entry-3", {member.id for member in fleet.state_of(0).live(fleet.now_s)})


def test_an_instance_restarted_under_the_same_id_is_live_again():
    fleet, listed = fleet_of(12)
    fleet.run(5)
    fleet.node(3).down = True
    fleet.run(GONE_DETECTION_S)
    fleet.start(instance(3), listed)
    fleet.run(LEAVING_PROPAGATION_S)
    check.assertEqual(states(fleet, 3, range(12)), {InstanceState.LIVE})
    check.assertEqual(len(digests(fleet, range(12))), 1)


def test_an_instance_restarted_on_a_machine_whose_clock_is_behind_is_live_again():
    # The restarted process starts with a lower incarnation than its earlier run. Everyone holds a
    # newer row that says it is gone, so its own row would not count until it goes above that.
    fleet, listed = fleet_of(12)
    fleet.run(50)
    fleet.state_of(3).stop()
    fleet.run(3)
    behind = MembershipState(instance(3), fleet.now_s, EPOCH_S - 3600, random.Random(1))
    behind.apply_list(fleet.now_s, listed)
    fleet.node(3).state = behind
    fleet.run(LEAVING_PROPAGATION_S + 5)
    check.assertEqual(states(fleet, 3, range(12)), {InstanceState.LIVE})


def test_a_new_instance_that_is_not_listed_yet_is_known_to_all():
    fleet, listed = fleet_of(20)
    fleet.run(5)
    fleet.start(instance(99), listed)
    fleet.run(LEAVING_PROPAGATION_S)
    check.assertEqual(states(fleet, 99, range(20)), {InstanceState.LIVE})


def test_a_dead_instance_that_is_listed_still_stays_gone():
    fleet, listed = fleet_of(12)
    fleet.run(5)
    fleet.node(3).down = True
    fleet.run(GONE_DETECTION_S)
    for number in range(3):
        fleet.read_list(number, listed)
    fleet.run(5)
    check.assertEqual(states(fleet, 3, set(range(12)) - {3}), {InstanceState.GONE})


def test_a_listed_leaving_state_of_an_earlier_run_is_ignored():
    fleet, listed = fleet_of(8)
    fleet.run(5)
    leaving = [replace(one, state=MemberState.LEAVING) if one.id == "entry-3" else one
               for one in listed]  # fmt: skip
    fleet.read_list(0, leaving)
    fleet.run(LEAVING_PROPAGATION_S)
    check.assertEqual(states(fleet, 3, range(8)), {InstanceState.LEAVING})
    fleet.start(instance(3), leaving)
    fleet.run(LEAVING_PROPAGATION_S)
    check.assertEqual(states(fleet, 3, range(8)), {InstanceState.LIVE})


def test_during_an_outage_of_the_list_heartbeats_go_on():
    # Nobody reads the list after the start. A crash, a leaving and a start still reach everyone.
    fleet, listed = fleet_of(12)
    fleet.run(120)
    fleet.node(1).down = True
    fleet.state_of(2).leave()
    fleet.start(instance(50), listed)
    fleet.run(GONE_DETECTION_S)
    observers = set(range(12)) - {1}
    check.assertEqual(states(fleet, 1, observers), {InstanceState.GONE})
    check.assertEqual(states(fleet, 2, observers), {InstanceState.LEAVING})
    check.assertEqual(states(fleet, 50, observers), {InstanceState.LIVE})


def test_both_halves_of_a_partition_go_on_and_find_each_other_again():
    # Regions lose their connection. Each half considers the other gone and continues to serve. When
    # the cut ends, the halves exchange no heartbeats any more, and must still find each other.
    fleet, _ = fleet_of(16)
    fleet.run(5)
    one, other = set(range(8)), set(range(8, 16))
    fleet.cut(one, other)
    fleet.cut(other, one)
    fleet.run(400)
    for subject in other:
        check.assertEqual(states(fleet, subject, one), {InstanceState.GONE})
    for subject in one:
        check.assertEqual(states(fleet, subject, one), {InstanceState.LIVE})
        check.assertEqual(states(fleet, subject, other), {InstanceState.GONE})
    fleet.cuts.clear()
    fleet.run(30)
    for subject in range(16):
        check.assertEqual(states(fleet, subject, range(16)), {InstanceState.LIVE})
    check.assertEqual(len(digests(fleet, range(16))), 1)


def test_a_list_change_read_by_one_reaches_all():
    fleet, listed = fleet_of(20, runners=10)
    fleet.run(5)
    changed = [one for one in listed if one.id != "runner-4"] + [runner(77)]
    fleet.read_list(5, changed)
    fleet.run(LEAVING_PROPAGATION_S)
    for number in range(20):
        names = {member.id for member in fleet.state_of(number).members()}
        check.assertNotIn("runner-4", names)
        check.assertIn("runner-77", names)


def test_a_first_reading_that_was_old_is_corrected():
    # One instance started with an outdated reading: a runner that the others know to be leaving is
    # live there, and nobody sends what was in a first reading. It has to be corrected.
    fleet, listed = fleet_of(8, runners=3)
    leaving = [replace(one, state=MemberState.LEAVING) if one.id == "runner-1" else one
               for one in listed]  # fmt: skip
    for number in range(8):
        if number != 5:
            fleet.start(instance(number), leaving)
    fleet.start(instance(5), listed)
    fleet.run(5)
    check.assertFalse(fleet.state_of(5).wants_list(fleet.now_s))
    fleet.run(70)
    check.assertTrue(fleet.state_of(5).wants_list(fleet.now_s))
    check.assertEqual([fleet.state_of(n).wants_list(fleet.now_s) for n in range(5)], [False] * 5)
    fleet.read_list(5, leaving)
    fleet.run(LEAVING_PROPAGATION_S)
    check.assertEqual(len(digests(fleet, range(8))), 1)


def test_a_notice_of_a_leaving_runner_reaches_all_and_ends():
    fleet, _ = fleet_of(12, runners=3)
    fleet.run(5)

    def runner_states():
        found = [m for n in range(12) for m in fleet.state_of(n).members() if m.id == "runner-2"]
        return {member.state for member in found}

    fleet.state_of(0).announce_runner(fleet.now_s, RunnerId("runner-2"), True, for_good=True)
    fleet.run(LEAVING_PROPAGATION_S)
    check.assertEqual(runner_states(), {MemberState.LEAVING})
    fleet.run(240)
    check.assertEqual(runner_states(), {MemberState.LEAVING})
    fleet.state_of(7).announce_runner(fleet.now_s, RunnerId("runner-2"), False, for_good=True)
    fleet.run(LEAVING_PROPAGATION_S)
    check.assertEqual(runner_states(), {MemberState.LIVE})
    fleet.state_of(3).announce_runner(fleet.now_s, RunnerId("runner-2"), True, for_good=False)
    fleet.run(LEAVING_PROPAGATION_S)
    check.assertEqual(runner_states(), {MemberState.LEAVING})
    fleet.run(240)
    check.assertEqual(runner_states(), {MemberState.LIVE})
