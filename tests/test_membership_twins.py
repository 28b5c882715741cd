"""Two processes that go by one instance's id."""

import random
from dataclasses import replace

from egretstack.ids import InstanceId
from egretstack.membership import Heartbeat, InstanceState, MembershipState
from egretstack.membership._duplicates import MAX_REFUTATIONS
from egretstack.membership._rows import InstanceRow, pack_row
from tests.membership_fleet import EPOCH_S, instance
from tests.support import check, tests_of

load_tests = tests_of(globals())


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
            state.on_heartbeat(now_s, InstanceId("entry-1"), message)
    return both, told


def test_two_processes_of_one_id_raise_an_alarm_and_stop_answering():
    # An operator started two instances with one id. Each finds its row overruled by the other
    # and goes above it, once a second for ever, and all instances hear of every change; callers
    # are sent to one or the other in turn. It has to be told, and to come to rest.
    (one, other), told = twins(200)
    check.assertGreaterEqual(max(one.duplicate_alarms, other.duplicate_alarms), 1)
    check.assertLessEqual(len(told), 2 * MAX_REFUTATIONS + 2)
    row = one._table.get(InstanceRow.key_of("entry-0"))
    check.assertEqual(row, other._table.get(InstanceRow.key_of("entry-0")))


def test_a_twin_that_ended_leaves_the_other_live():
    # Of two processes with one id one ends, and says so. The other had given up answering; it
    # must go above that row, or it would stay gone for callers though it lives.
    (one, other), _ = twins(60)
    other.stop()
    told = replace(other._row, incarnation=one._table.get(other._row.key).incarnation)
    message = Heartbeat(1, 0, 0, 0, 9999, 0, 0, [pack_row(told)])
    one.on_heartbeat(60.0, InstanceId("entry-1"), message)
    one.tick(62.0)
    check.assertIs(one.views()[InstanceId("entry-0")].state, InstanceState.LIVE)
    check.assertEqual(one.views()[InstanceId("entry-0")].member.host, instance(0).host)
