"""What membership costs an instance, and the rows and views it keeps."""

import itertools
import random
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from egretstack.ids import InstanceId, RunnerId
from egretstack.membership import Heartbeat, InstanceState, MembershipState, RowError
from egretstack.membership._exchange import Exchange
from egretstack.membership._failure_detector import MAX_SUSPECT_MISSES
from egretstack.membership._listing import STEP_ROWS
from egretstack.membership._rings import RINGS, Rings
from egretstack.membership._rows import InstanceRow, ListedRow, RunnerNotice, pack_row, unpack_row
from egretstack.membership._table import Table
from egretstack.membership._views import Views
from egretstack.objectapi import MemberState
from egretstack.peers import encode
from tests.membership_fleet import EPOCH_S, fleet_of, instance, runner
from tests.support import check, tests_of

load_tests = tests_of(globals())


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
        for neighbour in watched:
            watchers[neighbour] += 1
    check.assertTrue(all(1 <= count <= 2 * RINGS for count in watchers.values()))


def test_rows_confirmed_by_an_earlier_run_leave_no_gap():
    # A neighbour relies on rows that the earlier run of this process had confirmed, and sends only
    # later ones. If that counted as complete, the earlier rows would stay missing here, and callers
    # would be sent to an instance that all others know to be gone.
    sender = Exchange(1000, Table())
    for number in range(3):
        sender.table.put(InstanceRow(instance(number), 1000, InstanceState.GONE))
    peer, own = InstanceId("peer"), InstanceId("own")
    former = Exchange(2000, Table())
    former.apply(own, sender.message(peer))
    sender.apply(peer, former.message(own))
    sender.table.put(InstanceRow(instance(9), 1000, InstanceState.LIVE))
    restarted = Exchange(3000, Table())
    restarted.apply(own, sender.message(peer))
    for _ in range(2):
        sender.apply(peer, restarted.message(own))
        restarted.apply(own, sender.message(peer))
    check.assertEqual(restarted.table.digest, sender.table.digest)


def test_the_limit_of_misses_is_bounded():
    fleet, _ = fleet_of(3)
    detector = fleet.state_of(0)._detector
    peer = InstanceId("entry-1")
    for _ in range(20):
        detector.record_false_suspicion(0.0, peer)
    detector.record_message(0.0, InstanceId("entry-2"))
    answers = [detector.record_miss(0.0, peer) for _ in range(MAX_SUSPECT_MISSES)]
    check.assertEqual(answers, [False] * (MAX_SUSPECT_MISSES - 1) + [True])


def test_a_change_in_a_large_fleet_updates_only_its_own_rows():
    # A neighbour sends that one runner is leaving. If every view were computed anew, each such
    # message would delay the tokens that pass through the same event loop, the more the larger the
    # fleet is.
    state = MembershipState(instance(0), 0.0, EPOCH_S, random.Random(1))
    state.apply_list(0.0, [instance(n) for n in range(100)] + [runner(n) for n in range(400)])
    before = {member.id: member for member in state.members()}
    views = dict(state.views())
    state.announce_runner(1.0, RunnerId("runner-7"), True, for_good=True)
    changed = [member.id for member in state.members() if member is not before[member.id]]
    check.assertEqual(changed, ["runner-7"])
    check.assertTrue(all(view is views[name] for name, view in state.views().items()))


def test_a_reading_is_merged_in_bounded_steps():
    # A first reading adds everything, the next one removes everything; neither may block the loop.
    state = MembershipState(instance(0), 0.0, EPOCH_S, random.Random(1))
    members = [runner(number) for number in range(500)]
    for reading in (members, [], members):
        sizes = [len(state.members())]
        for _ in state.apply_list_steps(1.0, reading):
            sizes.append(len(state.members()))
        steps = [abs(after - old) for old, after in itertools.pairwise(sizes)]
        check.assertLessEqual(max(steps), STEP_ROWS)
        check.assertEqual(len(state.members()), len(reading))


def test_an_update_between_the_steps_of_a_reading_is_kept():
    # While a reading is merged a neighbour sends what it read later: one runner is leaving, another
    # one is new. The reading has the first as live and the second not at all; if that replaced the
    # update, callers would be sent to the one that is leaving.
    state = MembershipState(instance(0), 0.0, EPOCH_S, random.Random(1))
    members = [runner(number) for number in range(200)]
    state.apply_list(0.0, members)
    steps = state.apply_list_steps(10.0, members)
    next(steps)
    table = state._table
    table.put(ListedRow(members[-1], MemberState.LEAVING, 20_000), "peer")
    table.put(ListedRow(runner(999), MemberState.LIVE, 20_000), "peer")
    for _ in steps:
        pass
    state.announce_runner(11.0, RunnerId("runner-0"), True, for_good=True)
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


def test_a_heartbeat_without_updates_is_small():
    state = MembershipState(instance(0), 0.0, EPOCH_S, random.Random(1))
    state.apply_list(0.0, [instance(0), instance(1)])
    request = next(iter(state.tick(1.0)))
    check.assertIsInstance(request.message, Heartbeat)
    check.assertLessEqual(len(encode(replace(request.message, rows=[]))), 60)
