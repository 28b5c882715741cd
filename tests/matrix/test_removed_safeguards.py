"""Tests that cells fail at the expected point when the safeguard that they cover is removed.

A cell that passes without its safeguard would prove nothing about it.
"""

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from unittest import mock

import trio

from egretstack.configuration import ConfigurationStore
from egretstack.delivery import Cursor, InvalidSessionId, Recovery, SessionIdCipher, Step, Verdict
from egretstack.errors import ANSWERS, NotRunProof, _table
from egretstack.ids import InstanceId
from egretstack.ledger import AtMostOnceCall, Intent, NextAction, SendHistory, _once
from egretstack.membership import _runner_watch
from egretstack.objectapi import ENTRY_SERVICE
from egretstack.services.caller_api import CallerApi
from egretstack.services.configuration import Configuration
from egretstack.services.instances import Instances
from egretstack.services.ledger_store import LedgerStore
from egretstack.services.peer_port import PeerPort
from egretstack.services.session_host import SessionHost
from egretstack.sessions import Session
from egretstack.upstreams import OutcomeUnknown, Unsent
from standins.live_engine import LiveEngine
from tests.matrix.cells import run_cell
from tests.matrix.points import Point
from tests.matrix.table import CELLS
from tests.support import check, tests_of

load_tests = tests_of(globals())


def _assert_breaks(point: Point, *names: str) -> None:
    for name in names:
        result = run_cell(CELLS[name])
        points = {one.point for one in result.broken}
        check.assertIn(point, points, f"{name} stays green: {result.broken} {result.other}")


@contextmanager
def _patched(*patches) -> Iterator[None]:
    with ExitStack() as stack:
        for patch in patches:
            stack.enter_context(patch)
        yield


def _patch(owner: object, name: str, value: object):
    return mock.patch.object(owner, name, value)


def test_without_the_check_for_duplicates_tokens_come_twice():
    # The engine's resumed stream starts some events too early, as at the start of a chunk. The
    # reader would see a few words twice.
    offer = Cursor.offer

    def lax(self, generation, sequence):
        verdict = offer(self, generation, sequence)
        return Verdict.DELIVER if verdict is Verdict.DROP else verdict

    with _patched(_patch(Cursor, "offer", lax)):
        _assert_breaks(Point.TOKENS_ONCE, "test_session_mid_stream__connection_silent")


def test_without_the_check_for_gaps_tokens_are_missing():
    # A resumed stream omits an event. The reader would miss a word without noticing.
    offer = Cursor.offer

    def lax(self, generation, sequence):
        if generation == self.generation and sequence > self.last + 1:
            self.last = sequence
            return Verdict.DELIVER
        return offer(self, generation, sequence)

    with _patched(_patch(Cursor, "offer", lax)):
        _assert_breaks(Point.TOKENS_ONCE, "test_session_mid_stream__connection_silent")


def test_without_the_bound_generation_two_are_spliced():
    # The engine dies in the middle of a stream, and the session is rerun elsewhere although half of
    # it was read. The reader would see the end of the second answer after the start of the first.
    def restart(self):
        self.cursor = Cursor()

    def rerun(self, now_s, standing):
        return Step.RERUN

    with _patched(_patch(Recovery, "_give_up", rerun), _patch(Session, "restart", restart)):
        _assert_breaks(Point.TOKENS_ONCE, "test_session_mid_stream__engine_dies")


def test_without_the_session_token_no_entry_resumes_a_session():
    # The entry is killed in the middle of a stream, and no other entry can resume the session.
    def read_refusal(self, text):
        raise InvalidSessionId("not ours")

    with _patched(_patch(SessionIdCipher, "open", read_refusal)):
        _assert_breaks(Point.OWN_WHOLE_ANSWER, "test_session_mid_stream__entry_killed")


def test_without_a_query_over_a_new_connection_a_live_generation_is_reported_lost():
    # The stream's connection carries nothing more while the engine continues. If the engine were
    # considered dead, the session would be reported lost although it is not.
    def give_up(self, now_s, failure, standing):
        return self._give_up(now_s, standing)

    with _patched(_patch(Recovery, "decide", give_up)):
        _assert_breaks(Point.OWN_WHOLE_ANSWER, "test_session_mid_stream__connection_silent")


async def _no_intent(self, ask):
    await trio.lowlevel.checkpoint()
    row = self._new_row(ask)
    self._attempts.begin(row.attempt)
    return Intent(ask.key, row, trio.current_time())


def test_without_the_intent_a_call_runs_twice():
    # The entry is killed after the call ran and before its answer. The caller repeats the call at
    # another entry, which knows nothing of the first attempt.
    with _patched(_patch(LedgerStore, "begin", _no_intent)):
        _assert_breaks(
            Point.AT_MOST_ONCE, "test_call_answer__entry_killed", "test_call_repeat__operators_race"
        )


def test_with_a_retry_after_may_have_run_a_call_runs_twice():
    # The runner dies after it ran the call and before it answered; the entry tries the next runner.
    send = AtMostOnceCall._send

    async def lax(self, runner, intent):
        try:
            return await send(self, runner, intent)
        except OutcomeUnknown as error:
            raise Unsent(NotRunProof("assumed")) from error

    with _patched(_patch(AtMostOnceCall, "_send", lax)):
        _assert_breaks(Point.AT_MOST_ONCE, "test_call_answer__engine_dies")


def test_without_the_record_of_may_have_run_a_caller_is_told_not_run():
    # The runner dies after it ran the call; the entry takes the missing answer for "not run".
    def forget(self, cause):
        self.record_unsent(NotRunProof("assumed"))

    with _patched(_patch(SendHistory, "record_unknown", forget)):
        _assert_breaks(Point.NOT_RUN_IS_TRUE, "test_call_answer__engine_dies")


def test_with_the_default_run_state_a_call_that_ran_is_reported_as_not_run():
    # The call ran. Its repeat finds the store unavailable, and is told that the call did not run.
    def lax(kind, *, keyed):
        return ANSWERS[kind].run

    with _patched(_patch(_table, "run_state", lax)):
        _assert_breaks(Point.NOT_RUN_IS_TRUE, "test_call_repeat__store_down")


def test_without_a_query_to_the_owner_a_call_stays_in_progress():
    # The entry is killed between intent and answer. The repeats find the intent of an attempt that
    # no process continues; each is told to wait.
    def wait(stage, row, epoch_s, has_lookup):
        return NextAction.WAIT

    with _patched(_patch(_once, "next_action", wait)):
        _assert_breaks(Point.OWN_WHOLE_ANSWER, "test_call_dispatch__entry_killed")


def test_with_every_open_intent_taken_over_a_call_runs_twice():
    # The entry is paused between its last check and the first byte, and a repeat takes over its key
    # at an upstream that does not check fencing numbers. The entry resumes and sends.
    def replace_intent(stage, row, epoch_s, has_lookup):
        return NextAction.REPLACE

    with _patched(_patch(_once, "next_action", replace_intent)):
        _assert_breaks(Point.AT_MOST_ONCE, "test_call_dispatch__lease_lapsed")


def test_without_the_leaving_state_a_leaving_upstream_gets_requests():
    # A runner is listed as leaving, and still gets requests.
    members = Instances.members

    def all_members(self, service, state=None):
        return members(self, service, state if service == ENTRY_SERVICE else None)

    usable = property(lambda self: True)
    with _patched(
        _patch(Instances, "members", all_members),
        _patch(_runner_watch._Runner, "usable", usable),
    ):
        _assert_breaks(Point.LEAVING_GETS_NO_WORK, "test_session_placing__operators_race")


async def _return_at_once(self):
    await trio.lowlevel.checkpoint()


def test_without_waiting_for_sessions_a_stop_cuts_them():
    # The entry stops during a stream that outlasts the entry lists that callers hold.
    with _patched(
        _patch(SessionHost, "drain", _return_at_once), _patch(CallerApi, "drain", _return_at_once)
    ):
        _assert_breaks(Point.STOP_CUTS_NOTHING, "test_drain_in_progress__operators_race")


def test_without_the_expected_version_an_operators_change_is_overwritten():
    # Two operators start from the same version; the second overwrites the change of the first,
    # which it has not seen.
    async def accept_all(self, change, current):
        await trio.lowlevel.checkpoint()

    with _patched(_patch(ConfigurationStore, "_check_expected", accept_all)):
        _assert_breaks(Point.CONFIGURATION_HOLDS, "test_change_head_update__operators_race")


def test_without_a_second_query_unresponsive_links_delay_a_change():
    # No open link carries data any more. Each query to a peer over one takes its whole timeout.
    async def query_once(self, member, port, message):
        peers = self.kernel.get(PeerPort)
        number = member.ports[port]
        return await peers.request(InstanceId(member.id), member.host, number, message)

    with _patched(_patch(Configuration, "_query", query_once)):
        _assert_breaks(Point.CONFIGURATION_HOLDS, "test_change_fan_out__connection_silent")


def test_without_fencing_an_order_of_a_former_holder_is_carried_out():
    # The holder of the engines' duty is paused just before it sends an order; the next holder sends
    # its own; the first resumes. Without the engine's check the old order would be applied last.
    def accept(self, order):
        self.models = order.models
        self.orders.append(order)

    with _patched(_patch(LiveEngine, "order", accept)):
        result = run_cell(CELLS["test_order_holder_change__operators_race"])
    check.assertTrue(any("old number" in line for line in result.other), result.other)
