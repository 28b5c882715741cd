"""Each safeguard taken out: the cells that it keeps green have to turn red at their point.

A cell that stays green without its safeguard would prove nothing about it.
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


def _turns_red(point: Point, *names: str) -> None:
    for name in names:
        result = run_cell(CELLS[name])
        points = {one.point for one in result.broken}
        check.assertIn(point, points, f"{name} stays green: {result.broken} {result.other}")


@contextmanager
def _without(*patches) -> Iterator[None]:
    with ExitStack() as stack:
        for one in patches:
            stack.enter_context(one)
        yield


def _replace(owner: object, name: str, value: object):
    return mock.patch.object(owner, name, value)


def test_without_the_check_for_duplicates_tokens_come_twice():
    # The engine's resumed stream begins some events early, as from a chunk's start. A reader
    # would see a few words twice.
    offer = Cursor.offer

    def lax(self, generation, sequence):
        verdict = offer(self, generation, sequence)
        return Verdict.DELIVER if verdict is Verdict.DROP else verdict

    with _without(_replace(Cursor, "offer", lax)):
        _turns_red(Point.TOKENS_ONCE, "test_session_mid_stream__connection_silent")


def test_without_the_check_for_gaps_tokens_are_missing():
    # A resumed stream leaves an event out. A reader would miss a word and not know.
    offer = Cursor.offer

    def lax(self, generation, sequence):
        if generation == self.generation and sequence > self.last + 1:
            self.last = sequence
            return Verdict.DELIVER
        return offer(self, generation, sequence)

    with _without(_replace(Cursor, "offer", lax)):
        _turns_red(Point.TOKENS_ONCE, "test_session_mid_stream__connection_silent")


def test_without_the_bound_generation_two_are_spliced():
    # The engine dies in the middle of a stream, and the session is run again elsewhere though
    # half of it was read. A reader would see the second answer's rest after the first's start.
    def restart(self):
        self.cursor = Cursor()

    def rerun(self, now_s, standing):
        return Step.RERUN

    with _without(_replace(Recovery, "_give_up", rerun), _replace(Session, "restart", restart)):
        _turns_red(Point.TOKENS_ONCE, "test_session_mid_stream__engine_dies")


def test_without_the_session_token_nobody_picks_a_session_up():
    # The entry is killed in the middle of a stream, and the others do not know the session.
    def refuse(self, text):
        raise InvalidSessionId("not ours")

    with _without(_replace(SessionIdCipher, "open", refuse)):
        _turns_red(Point.OWN_WHOLE_ANSWER, "test_session_mid_stream__entry_killed")


def test_without_asking_over_a_new_connection_a_live_generation_is_called_lost():
    # The stream goes silent while the engine goes on. Taken for a dead engine, the session
    # would end with a loss that is none.
    def give_up(self, now_s, failure, standing):
        return self._give_up(now_s, standing)

    with _without(_replace(Recovery, "decide", give_up)):
        _turns_red(Point.OWN_WHOLE_ANSWER, "test_session_mid_stream__connection_silent")


async def _no_intent(self, ask):
    await trio.lowlevel.checkpoint()
    row = self._new_row(ask)
    self._attempts.begin(row.attempt)
    return Intent(ask.key, row, trio.current_time())


def test_without_the_intent_a_call_runs_twice():
    # The entry is killed after the call ran and before its answer. The caller repeats the call
    # at another entry, which knows nothing of the first.
    with _without(_replace(LedgerStore, "begin", _no_intent)):
        _turns_red(
            Point.AT_MOST_ONCE, "test_call_answer__entry_killed", "test_call_repeat__operators_race"
        )


def test_with_a_retry_after_may_have_run_a_call_runs_twice():
    # The runner dies after it ran the call and before it answered; the entry tries the next.
    send = AtMostOnceCall._send

    async def lax(self, runner, intent):
        try:
            return await send(self, runner, intent)
        except OutcomeUnknown as error:
            raise Unsent(NotRunProof("assumed")) from error

    with _without(_replace(AtMostOnceCall, "_send", lax)):
        _turns_red(Point.AT_MOST_ONCE, "test_call_answer__engine_dies")


def test_without_the_memory_of_may_have_run_a_caller_is_told_an_untruth():
    # The runner dies after it ran the call; the entry takes no answer for no run.
    def forget(self, cause):
        self.record_unsent(NotRunProof("assumed"))

    with _without(_replace(SendHistory, "record_unknown", forget)):
        _turns_red(Point.NOT_RUN_IS_TRUE, "test_call_answer__engine_dies")


def test_with_not_run_told_before_the_ledger_is_read_a_caller_is_told_an_untruth():
    # The call ran; its repeat meets a store that is away, and is told that it did not run.
    def lax(kind, *, keyed):
        return ANSWERS[kind].run

    with _without(_replace(_table, "run_state", lax)):
        _turns_red(Point.NOT_RUN_IS_TRUE, "test_call_repeat__store_down")


def test_without_asking_the_owner_a_call_is_in_progress_for_ever():
    # The entry is killed between intent and answer. The repeats meet the intent of an attempt
    # that nobody carries on; each is told to wait.
    def wait(stage, row, epoch_s, has_lookup):
        return NextAction.WAIT

    with _without(_replace(_once, "next_action", wait)):
        _turns_red(Point.OWN_WHOLE_ANSWER, "test_call_dispatch__entry_killed")


def test_with_any_open_intent_taken_over_a_call_runs_twice():
    # The entry is frozen between its last check and the first byte, and a repeat takes its key
    # over at an upstream that does not check fencing numbers. It thaws and sends.
    def replace_it(stage, row, epoch_s, has_lookup):
        return NextAction.REPLACE

    with _without(_replace(_once, "next_action", replace_it)):
        _turns_red(Point.AT_MOST_ONCE, "test_call_dispatch__lease_lapsed")


def test_without_the_notice_a_leaving_upstream_gets_work():
    # The list says that a runner is leaving; it is given work as before.
    members = Instances.members

    def all_members(self, service, state=None):
        return members(self, service, state if service == ENTRY_SERVICE else None)

    usable = property(lambda self: True)
    with _without(
        _replace(Instances, "members", all_members),
        _replace(_runner_watch._Runner, "usable", usable),
    ):
        _turns_red(Point.LEAVING_GETS_NO_WORK, "test_session_placing__operators_race")


async def _at_once(self):
    await trio.lowlevel.checkpoint()


def test_without_waiting_for_sessions_a_stop_cuts_them():
    # The entry stops while a stream runs that outlives the answers callers keep.
    with _without(_replace(SessionHost, "drain", _at_once), _replace(CallerApi, "drain", _at_once)):
        _turns_red(Point.STOP_CUTS_NOTHING, "test_drain_in_progress__operators_race")


def test_without_the_expected_version_an_operators_change_is_overwritten():
    # Two operators start from one version; the second overwrites the first unseen.
    async def accept_all(self, change, current):
        await trio.lowlevel.checkpoint()

    with _without(_replace(ConfigurationStore, "_check_expected", accept_all)):
        _turns_red(Point.CONFIGURATION_HOLDS, "test_change_head_update__operators_race")


def test_without_a_second_question_silent_links_make_a_change_late():
    # Every kept link went silent for good. Each peer asked over one costs its whole timeout.
    async def ask_once(self, member, port, message):
        peers = self.kernel.get(PeerPort)
        number = member.ports[port]
        return await peers.request(InstanceId(member.id), member.host, number, message)

    with _without(_replace(Configuration, "_query", ask_once)):
        _turns_red(Point.CONFIGURATION_HOLDS, "test_change_fan_out__connection_silent")


def test_without_fencing_an_order_of_a_former_holder_is_carried_out():
    # The holder of the engines' duty is paused with an order in its hands; the next holder gives
    # its own; the first goes on. Without the engine's check the old order comes last.
    def take(self, order):
        self.models = order.models
        self.orders.append(order)

    with _without(_replace(LiveEngine, "order", take)):
        result = run_cell(CELLS["test_order_holder_change__operators_race"])
    check.assertTrue(any("old number" in line for line in result.other), result.other)
