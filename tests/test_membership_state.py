"""Membership of a whole fleet as objects: leavings, deaths, cuts, freezes, lists that lag."""

import itertools
import random
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from egretstack.ids import InstanceId, RunnerId
from egretstack.membership import Heartbeat, InstanceState, MembershipState, RowError
from egretstack.membership._detector import MAX_MISSES
from egretstack.membership._exchange import Exchange
from egretstack.membership._listing import STEP_ROWS
from egretstack.membership._rings import RINGS, Rings
from egretstack.membership._rows import InstanceRow, ListedRow, RunnerNotice, pack_row, unpack_row
from egretstack.membership._table import Table
from egretstack.membership._twin import ANSWERS
from egretstack.membership._views import Views
from egretstack.objectapi import MemberState
from egretstack.peers import encode
from tests.membership_fleet import EPOCH_S, fleet_of, instance, runner
from tests.support import check, tests_of

load_tests = tests_of(globals())

LEAVING_KNOWN_S = 3.0
QUIETLY_KNOWN_S = 1.0
"""With no message lost; below the period of heartbeats times the steps between two instances."""
GONE_KNOWN_S = 12.0


def state_of(fleet, observer, subject):
    view = fleet.of(observer).views().get(InstanceId(f"entry-{subject}"))
    return None if view is None else view.state


def states(fleet, subject, observers):
    return {state_of(fleet, one, subject) for one in observers}


def transitions(fleet, observer, subject, seconds):
    """Let time pass; give the states that the observer held of the subject, in order."""
    seen = []
    for _ in range(int(seconds * 10)):
        fleet.run(0.1)
        state = state_of(fleet, observer, subject)
        if not seen or seen[-1] is not state:
            seen.append(state)
    return seen


def incarnation_of(fleet, number):
    """Tell how often an instance has answered suspicions, from an arbitrary start."""
    return fleet.of(number)._row.incarnation


def digests(fleet, observers):
    return {fleet.of(one).digest for one in observers}


def test_a_leaving_instance_is_known_to_all_within_seconds():
    fleet, _ = fleet_of(60)
    fleet.run(5)
    fleet.of(7).leave()
    fleet.run(QUIETLY_KNOWN_S)
    check.assertEqual(states(fleet, 7, range(60)), {InstanceState.LEAVING})
    for observer in range(60):
        live = {member.id for member in fleet.of(observer).live(fleet.now_s)}
        check.assertNotIn("entry-7", live)


def test_leaving_is_known_to_all_while_a_fifth_of_the_messages_is_lost():
    # Callers would be sent to a leaving instance by those who missed the news. The message that
    # carries it is lost again and again; it is sent until the neighbour confirms it.
    fleet, _ = fleet_of(40)
    fleet.lost = 0.2
    fleet.run(5)
    fleet.of(3).leave()
    fleet.run(2 * LEAVING_KNOWN_S)
    check.assertLessEqual(
        states(fleet, 3, range(40)), {InstanceState.LEAVING, InstanceState.SUSPECT}
    )
    fleet.lost = 0.0
    fleet.run(10)
    check.assertEqual(states(fleet, 3, range(40)), {InstanceState.LEAVING})
    check.assertEqual(len(digests(fleet, range(40))), 1)


def test_a_dead_instance_is_gone_for_all_and_nobody_else_is():
    fleet, _ = fleet_of(30)
    fleet.run(5)
    fleet.node(4).down = True
    fleet.run(GONE_KNOWN_S)
    others = set(range(30)) - {4}
    check.assertEqual(states(fleet, 4, others), {InstanceState.GONE})
    for subject in others:
        check.assertEqual(states(fleet, subject, others), {InstanceState.LIVE})


def test_an_instance_that_says_it_stops_is_gone_at_once():
    fleet, _ = fleet_of(30)
    fleet.run(5)
    fleet.of(4).stop()
    fleet.run(LEAVING_KNOWN_S)
    check.assertEqual(states(fleet, 4, range(30)), {InstanceState.GONE})


def test_a_cut_between_two_instances_makes_neither_gone():
    # Only the way between two instances is cut, in one direction. The one that watches the other
    # gets no answer and suspects it; the other hears that through third ones and answers the
    # suspicion, so callers are sent to both all the time. Nor is it suspected every few seconds.
    fleet, _ = fleet_of(12)
    fleet.run(5)
    watched = int(sorted(fleet.of(0).neighbours())[0].removeprefix("entry-"))
    fleet.cut({watched}, {0})
    fleet.cut({0}, {watched})
    before = incarnation_of(fleet, watched)
    seen = transitions(fleet, 5 if watched != 5 else 6, watched, 300)
    check.assertNotIn(InstanceState.GONE, seen)
    check.assertLessEqual(incarnation_of(fleet, watched) - before, 16)
    check.assertEqual(states(fleet, watched, range(12)), {InstanceState.LIVE})


def test_an_instance_that_nobody_can_reach_is_gone_although_it_can_send():
    # All ways to one instance are cut, none from it. Its heartbeats still arrive, but callers
    # and peers cannot reach it, and it never hears that it is suspected.
    fleet, _ = fleet_of(12)
    fleet.run(5)
    fleet.cut(set(range(12)) - {2}, {2})
    fleet.run(GONE_KNOWN_S)
    check.assertEqual(states(fleet, 2, set(range(12)) - {2}), {InstanceState.GONE})
    # It accuses nobody: what it sees is its own fault.
    check.assertEqual({state_of(fleet, 2, one) for one in range(12)}, {InstanceState.LIVE})
    fleet.cuts.clear()
    fleet.run(GONE_KNOWN_S)
    check.assertEqual(states(fleet, 2, range(12)), {InstanceState.LIVE})


def test_a_frozen_instance_comes_back_and_accuses_nobody():
    # An instance is frozen for a minute and thaws. In between the others take it for gone. When
    # it thaws, every answer it waited for is long overdue; it must not suspect them for that.
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


def test_a_thawed_instance_counts_no_misses_of_the_time_it_was_frozen():
    # Two heartbeats to a neighbour got no answer, then this process is frozen. The third answer
    # is overdue when it thaws; taken as the third miss, it would accuse a neighbour that is well.
    state = MembershipState(instance(0), 0.0, EPOCH_S, random.Random(1))
    state.listed(0.0, [instance(0), instance(1)])
    for now_s in (1.0, 2.0):
        state.tick(now_s)
        state.missed(now_s + 0.1, InstanceId("entry-1"))
    state.tick(3.0)
    state.listed(60.0, [instance(0), instance(1)])
    state.tick(60.0)
    state.missed(60.0, InstanceId("entry-1"))
    check.assertIs(state.views()[InstanceId("entry-1")].state, InstanceState.LIVE)


def test_a_suspicion_from_before_a_freeze_is_given_time():
    # An instance holds another for suspect when it is frozen; meanwhile the other answers the
    # suspicion. Thawed, the time it had is long over here, but its answer has not come yet.
    fleet, _ = fleet_of(6)
    fleet.run(5)
    state = fleet.of(0)
    state._set_state(fleet.now_s, InstanceId("entry-1"), InstanceState.SUSPECT)
    fleet.node(0).down = True
    fleet.run(3)
    fleet.run(3)
    fleet.node(0).down = False
    seen = transitions(fleet, 0, 1, 10)
    check.assertNotIn(InstanceState.GONE, seen)
    check.assertEqual(seen[-1], InstanceState.LIVE)


def test_a_flapping_instance_is_held_back():
    # An instance goes and comes back again and again. Each turn would move the homes of its
    # accounts and the addresses that callers get; after the third it has to stay for a while.
    fleet, _ = fleet_of(12)
    fleet.run(5)
    for _ in range(3):
        fleet.node(3).down = True
        fleet.run(GONE_KNOWN_S + 3)
        fleet.node(3).down = False
        fleet.run(6)
    check.assertEqual(state_of(fleet, 0, 3), InstanceState.LIVE)
    live = {member.id for member in fleet.of(0).live(fleet.now_s)}
    check.assertNotIn("entry-3", live)
    fleet.run(31)
    check.assertIn("entry-3", {member.id for member in fleet.of(0).live(fleet.now_s)})


def test_an_instance_restarted_under_the_same_id_is_live_again():
    fleet, listed = fleet_of(12)
    fleet.run(5)
    fleet.node(3).down = True
    fleet.run(GONE_KNOWN_S)
    fleet.start(instance(3), listed)
    fleet.run(LEAVING_KNOWN_S)
    check.assertEqual(states(fleet, 3, range(12)), {InstanceState.LIVE})
    check.assertEqual(len(digests(fleet, range(12))), 1)


def test_an_instance_restarted_on_a_machine_whose_clock_is_behind_is_live_again():
    # The restarted process starts with a lower incarnation than its former run. Everyone holds a
    # newer row that says it is gone, so its own word would not count until it goes above that.
    fleet, listed = fleet_of(12)
    fleet.run(50)
    fleet.of(3).stop()
    fleet.run(3)
    behind = MembershipState(instance(3), fleet.now_s, EPOCH_S - 3600, random.Random(1))
    behind.listed(fleet.now_s, listed)
    fleet.node(3).state = behind
    fleet.run(LEAVING_KNOWN_S + 5)
    check.assertEqual(states(fleet, 3, range(12)), {InstanceState.LIVE})


def test_a_new_instance_that_is_not_listed_yet_is_known_to_all():
    fleet, listed = fleet_of(20)
    fleet.run(5)
    fleet.start(instance(99), listed)
    fleet.run(LEAVING_KNOWN_S)
    check.assertEqual(states(fleet, 99, range(20)), {InstanceState.LIVE})


def test_a_dead_instance_that_is_listed_still_stays_gone():
    fleet, listed = fleet_of(12)
    fleet.run(5)
    fleet.node(3).down = True
    fleet.run(GONE_KNOWN_S)
    for number in range(3):
        fleet.read_list(number, listed)
    fleet.run(5)
    check.assertEqual(states(fleet, 3, set(range(12)) - {3}), {InstanceState.GONE})


def test_a_list_that_says_leaving_of_an_earlier_run_is_not_believed():
    fleet, listed = fleet_of(8)
    fleet.run(5)
    leaving = [replace(one, state=MemberState.LEAVING) if one.id == "entry-3" else one
               for one in listed]  # fmt: skip
    fleet.read_list(0, leaving)
    fleet.run(LEAVING_KNOWN_S)
    check.assertEqual(states(fleet, 3, range(8)), {InstanceState.LEAVING})
    fleet.start(instance(3), leaving)
    fleet.run(LEAVING_KNOWN_S)
    check.assertEqual(states(fleet, 3, range(8)), {InstanceState.LIVE})


def test_during_an_outage_of_the_list_heartbeats_go_on():
    # Nobody reads the list after the start. A death, a leaving and a start still reach everyone.
    fleet, listed = fleet_of(12)
    fleet.run(120)
    fleet.node(1).down = True
    fleet.of(2).leave()
    fleet.start(instance(50), listed)
    fleet.run(GONE_KNOWN_S)
    observers = set(range(12)) - {1}
    check.assertEqual(states(fleet, 1, observers), {InstanceState.GONE})
    check.assertEqual(states(fleet, 2, observers), {InstanceState.LEAVING})
    check.assertEqual(states(fleet, 50, observers), {InstanceState.LIVE})


def test_both_halves_of_a_partition_go_on_and_find_each_other_again():
    # Regions lose each other. Each half takes the other for gone and serves on; when
    # the cut ends, the halves have no heartbeats between them any more, and must still meet.
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
    fleet.run(LEAVING_KNOWN_S)
    for number in range(20):
        names = {member.id for member in fleet.of(number).members()}
        check.assertNotIn("runner-4", names)
        check.assertIn("runner-77", names)


def test_a_first_reading_that_was_old_is_corrected():
    # One instance started with an old reading: a runner that the others know to be leaving is
    # live there, and nobody sends what was in a first reading. It must not go on like that.
    fleet, listed = fleet_of(8, runners=3)
    leaving = [replace(one, state=MemberState.LEAVING) if one.id == "runner-1" else one
               for one in listed]  # fmt: skip
    for number in range(8):
        if number != 5:
            fleet.start(instance(number), leaving)
    fleet.start(instance(5), listed)
    fleet.run(5)
    check.assertFalse(fleet.of(5).wants_list(fleet.now_s))
    fleet.run(70)
    check.assertTrue(fleet.of(5).wants_list(fleet.now_s))
    check.assertEqual([fleet.of(n).wants_list(fleet.now_s) for n in range(5)], [False] * 5)
    fleet.read_list(5, leaving)
    fleet.run(LEAVING_KNOWN_S)
    check.assertEqual(len(digests(fleet, range(8))), 1)


def test_a_notice_of_a_leaving_runner_reaches_all_and_ends():
    fleet, _ = fleet_of(12, runners=3)
    fleet.run(5)

    def runner_states():
        found = [m for n in range(12) for m in fleet.of(n).members() if m.id == "runner-2"]
        return {member.state for member in found}

    fleet.of(0).notice(fleet.now_s, RunnerId("runner-2"), True, for_good=True)
    fleet.run(LEAVING_KNOWN_S)
    check.assertEqual(runner_states(), {MemberState.LEAVING})
    fleet.run(240)
    check.assertEqual(runner_states(), {MemberState.LEAVING})
    fleet.of(7).notice(fleet.now_s, RunnerId("runner-2"), False, for_good=True)
    fleet.run(LEAVING_KNOWN_S)
    check.assertEqual(runner_states(), {MemberState.LIVE})
    fleet.of(3).notice(fleet.now_s, RunnerId("runner-2"), True, for_good=False)
    fleet.run(LEAVING_KNOWN_S)
    check.assertEqual(runner_states(), {MemberState.LEAVING})
    fleet.run(240)
    check.assertEqual(runner_states(), {MemberState.LIVE})


def test_messages_for_each_instance_do_not_grow_with_the_fleet():
    rates = {}
    for size in (10, 80):
        fleet, _ = fleet_of(size)
        fleet.run(10)
        before = [(node.messages, node.sent_bytes) for node in fleet.node_by_id.values()]
        fleet.run(20)
        after = [(node.messages, node.sent_bytes) for node in fleet.node_by_id.values()]
        pairs = list(zip(before, after, strict=True))
        rates[size] = (
            max(new[0] - old[0] for old, new in pairs) / 20,
            max(new[1] - old[1] for old, new in pairs) / 20,
        )
    check.assertLessEqual(rates[80][0], 2 * RINGS + 1)
    check.assertAlmostEqual(rates[10][0], rates[80][0], delta=1.0)
    check.assertAlmostEqual(rates[10][1], rates[80][1], delta=50.0)


@given(st.integers(2, 60))
def test_each_instance_is_watched_by_as_many_as_there_are_rings(size):
    names = {InstanceId(f"entry-{number}") for number in range(size)}
    watchers = dict.fromkeys(names, 0)
    for name in names:
        rings = Rings(name)
        rings.update(names)
        watched = rings.watched()
        check.assertNotIn(name, watched)
        check.assertEqual(len(watched), min(RINGS, size - 1))
        for one in watched:
            watchers[one] += 1
    check.assertTrue(all(1 <= count <= 2 * RINGS for count in watchers.values()))


def test_what_a_former_run_had_confirmed_leaves_no_hole():
    # A neighbour counts on rows that the former run of this process had confirmed and sends only
    # what came after. Taken as a whole, the rows before would be missing here for ever, and
    # callers would be sent to an instance that everyone else knows to be gone.
    sender = Exchange(1000, Table())
    for number in range(3):
        sender.table.put(InstanceRow(instance(number), 1000, InstanceState.GONE))
    peer, own = InstanceId("peer"), InstanceId("own")
    former = Exchange(2000, Table())
    former.take(own, sender.message(peer))
    sender.take(peer, former.message(own))
    sender.table.put(InstanceRow(instance(9), 1000, InstanceState.LIVE))
    restarted = Exchange(3000, Table())
    restarted.take(own, sender.message(peer))
    for _ in range(2):
        sender.take(peer, restarted.message(own))
        restarted.take(own, sender.message(peer))
    check.assertEqual(restarted.table.digest, sender.table.digest)


def test_patience_has_an_end():
    fleet, _ = fleet_of(3)
    detector = fleet.of(0)._detector
    peer = InstanceId("entry-1")
    for _ in range(20):
        detector.wronged(0.0, peer)
    detector.heard(0.0, InstanceId("entry-2"))
    answers = [detector.missed(0.0, peer) for _ in range(MAX_MISSES)]
    check.assertEqual(answers, [False] * (MAX_MISSES - 1) + [True])


def test_a_change_in_a_large_fleet_works_on_its_own_rows():
    # A neighbour tells of one runner that leaves. Were every view worked out again, each such
    # message would hold up the tokens that pass through the same loop, the more the larger the
    # fleet is.
    state = MembershipState(instance(0), 0.0, EPOCH_S, random.Random(1))
    state.listed(0.0, [instance(n) for n in range(100)] + [runner(n) for n in range(400)])
    before = {member.id: member for member in state.members()}
    views = dict(state.views())
    state.notice(1.0, RunnerId("runner-7"), True, for_good=True)
    changed = [member.id for member in state.members() if member is not before[member.id]]
    check.assertEqual(changed, ["runner-7"])
    check.assertTrue(all(view is views[name] for name, view in state.views().items()))


def test_a_reading_is_compared_in_bounded_steps():
    # A first reading brings everything, the next one loses everything; neither may hold the loop.
    state = MembershipState(instance(0), 0.0, EPOCH_S, random.Random(1))
    members = [runner(number) for number in range(500)]
    for reading in (members, [], members):
        sizes = [len(state.members())]
        for _ in state.listing(1.0, reading):
            sizes.append(len(state.members()))
        steps = [abs(after - old) for old, after in itertools.pairwise(sizes)]
        check.assertLessEqual(max(steps), STEP_ROWS)
        check.assertEqual(len(state.members()), len(reading))


def test_news_that_comes_between_the_steps_of_a_reading_stands():
    # A reading is compared while a neighbour tells what it read later: one runner leaves, another
    # one is new. The reading names the first as live and the second not at all; taken so, callers
    # would be sent to the one that leaves.
    state = MembershipState(instance(0), 0.0, EPOCH_S, random.Random(1))
    members = [runner(number) for number in range(200)]
    state.listed(0.0, members)
    steps = state.listing(10.0, members)
    next(steps)
    table = state._table
    table.put(ListedRow(members[-1], MemberState.LEAVING, 20_000), "peer")
    table.put(ListedRow(runner(999), MemberState.LIVE, 20_000), "peer")
    for _ in steps:
        pass
    state.notice(11.0, RunnerId("runner-0"), True, for_good=True)
    state_by_id = {member.id: member.state for member in state.members()}
    check.assertIs(state_by_id[members[-1].id], MemberState.LEAVING)
    check.assertIs(state_by_id["runner-999"], MemberState.LIVE)


@given(st.lists(st.tuples(st.integers(0, 4), st.integers(0, 3), st.integers(0, 9)), max_size=60))
def test_views_changed_row_by_row_equal_those_made_at_once(changes):
    table = Table()
    views = Views(table)
    for number, kind, stamp in changes:
        member = instance(number) if kind != 1 else replace(runner(number), id=f"entry-{number}")
        if kind == 0:
            table.put(InstanceRow(member, stamp, list(InstanceState)[stamp % 4]))
        elif kind == 3:
            table.put(RunnerNotice(RunnerId(member.id), stamp % 2 == 0, stamp, 0))
        elif stamp == 9 and table.get(ListedRow.key_of(member)) is not None:
            table.remove(ListedRow.key_of(member))
        else:
            state = (MemberState.LIVE, MemberState.LEAVING, None)[stamp % 3]
            table.put(ListedRow(member, state, stamp))
        views.follow()
    whole = Table()
    at_once = Views(whole)
    for row in table.rows():
        whole.put(row)
    at_once.follow()
    check.assertEqual(views.by_id, at_once.by_id)
    check.assertEqual(views.members(), at_once.members())
    check.assertEqual(set(views.listed_ids), {member.id for member in views.members()})


def twins(seconds):
    """Let two processes of one id hear of each other's rows; give both and the rows told."""
    own = [instance(0), replace(instance(0), host="10.9.9.9")]
    both = [
        MembershipState(one, 0.0, EPOCH_S + number, random.Random(1))
        for number, one in enumerate(own)
    ]
    told = {}
    for step in range(seconds * 5):
        now_s = step / 5
        for state, other in (both, reversed(both)):
            state.tick(now_s)
            row = other._table.get(InstanceRow.key_of("entry-0"))
            told[row.incarnation, row.member.host] = row
            message = Heartbeat(1, 0, 0, 0, step, 0, 0, [pack_row(row)])
            state.asked(now_s, InstanceId("entry-1"), message)
    return both, told


def test_two_processes_of_one_id_raise_an_alarm_and_stop_answering():
    # An operator started two instances with one id. Each finds its row overruled by the other
    # and goes above it, once a second for ever, and all instances hear of every change; callers
    # are sent to one or the other in turn. It has to be told, and to come to rest.
    (one, other), told = twins(200)
    check.assertGreaterEqual(max(one.twin_alarms, other.twin_alarms), 1)
    check.assertLessEqual(len(told), 2 * ANSWERS + 2)
    row = one._table.get(InstanceRow.key_of("entry-0"))
    check.assertEqual(row, other._table.get(InstanceRow.key_of("entry-0")))


def test_a_twin_that_ended_leaves_the_other_live():
    # Of two processes with one id one ends, and says so. The other had given up answering; it
    # must go above that row, or it would stay gone for callers though it lives.
    (one, other), _ = twins(60)
    other.stop()
    told = replace(other._row, incarnation=one._table.get(other._row.key).incarnation)
    message = Heartbeat(1, 0, 0, 0, 9999, 0, 0, [pack_row(told)])
    one.asked(60.0, InstanceId("entry-1"), message)
    one.tick(62.0)
    check.assertIs(one.views()[InstanceId("entry-0")].state, InstanceState.LIVE)
    check.assertEqual(one.views()[InstanceId("entry-0")].member.host, instance(0).host)


def test_rows_from_a_peer_are_checked():
    good = pack_row(ListedRow(runner(1), MemberState.LIVE, 5))
    check.assertEqual(unpack_row(good), ListedRow(runner(1), MemberState.LIVE, 5))
    for place, value in (
        (0, 9),
        (1, -1),
        (1, 2**60),
        (1, "5"),
        (2, "asleep"),
        (3, "Not A Name"),
        (3, "x" * 99),
        (6, "h" * 60),
        (7, {f"p{n}": n for n in range(40)}),
        (7, {"http": "80"}),
        (7, "ports"),
    ):
        bad = list(good)
        bad[place] = value
        with check.assertRaises(RowError, msg=f"{place} {value}"):
            unpack_row(bad)
    for bad in (None, 5, [], good[:-1], [*good, 1], "row"):
        with check.assertRaises(RowError):
            unpack_row(bad)


def test_a_heartbeat_without_news_is_small():
    state = MembershipState(instance(0), 0.0, EPOCH_S, random.Random(1))
    state.listed(0.0, [instance(0), instance(1)])
    ask = next(iter(state.tick(1.0)))
    check.assertIsInstance(ask.message, Heartbeat)
    check.assertLessEqual(len(encode(replace(ask.message, rows=[]))), 60)
