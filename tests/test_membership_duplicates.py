"""Two processes that use one instance's id."""

import random
from dataclasses import replace

from egretstack.ids import InstanceId
from egretstack.membership import Heartbeat, InstanceState, MembershipState
from egretstack.membership._duplicates import MAX_REFUTATIONS
from egretstack.membership._rows import InstanceRow, pack_row
from tests.membership_fleet import EPOCH_S, instance
from tests.support import check, tests_of

load_tests = tests_of(globals())


def run_duplicates(seconds):
    """Let two processes of one id exchange their rows; return both and the rows sent."""
    own = [instance(0), replace(instance(0), host="10.9.9.9")]
    both = [
        MembershipState(one, 0.0, EPOCH_S + number, random.Random(1))
        for number, one in enumerate(own)
    ]
    sent_rows = {}
    for step in range(seconds * 5):
        now_s = step / 5
        for state, other in (both, reversed(both)):
            state.tick(now_s)
            row = other._table.get(InstanceRow.key_of("entry-0"))
            sent_rows[row.incarnation, row.member.host] = row
            message = Heartbeat(1, 0, 0, 0, step, 0, 0, [pack_row(row)])
            state.on_heartbeat(now_s, InstanceId("entry-1"), message)
    return both, sent_rows


def test_two_processes_of_one_id_raise_an_alarm_and_stop_refuting():
    # An operator started two instances with one id. Each finds its row overruled by the other and
    # goes above it, once a second without end; every change is sent to all instances, and callers
    # are sent to one or the other in turn. This has to raise an alarm and to stop.
    (one, other), sent_rows = run_duplicates(200)
    check.assertGreaterEqual(max(one.duplicate_alarms, other.duplicate_alarms), 1)
    check.assertLessEqual(len(sent_rows), 2 * MAX_REFUTATIONS + 2)
    row = one._table.get(InstanceRow.key_of("entry-0"))
    check.assertEqual(row, other._table.get(InstanceRow.key_of("entry-0")))


def test_a_duplicate_that_ended_leaves_the_other_live():
    # One of two processes with the same id ends and reports it. The other had stopped refuting; its
    # row must exceed that one, or it would stay gone for callers although it is live.
    (one, other), _ = run_duplicates(60)
    other.stop()
    sent_rows = replace(other._row, incarnation=one._table.get(other._row.key).incarnation)
    message = Heartbeat(1, 0, 0, 0, 9999, 0, 0, [pack_row(sent_rows)])
    one.on_heartbeat(60.0, InstanceId("entry-1"), message)
    one.tick(62.0)
    check.assertIs(one.views()[InstanceId("entry-0")].state, InstanceState.LIVE)
    check.assertEqual(one.views()[InstanceId("entry-0")].member.host, instance(0).host)
