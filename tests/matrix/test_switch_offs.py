"""Each safeguard taken out: the cells that it keeps green have to turn red at their point.

A cell that stays green without its safeguard would prove nothing about it.
"""

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from unittest import mock

import trio

from egretstack.configuration import ConfigurationStore
from egretstack.delivery import Cursor, Recovery, Step, TokenBox, TokenRefused, Verdict
from egretstack.errors import EgretError, ErrorKind, NotRunProof
from egretstack.ledger import LedgerEntry, PerCallLedger
from egretstack.platform import MemberState
from egretstack.services import calls, configuration, runners
from egretstack.services.caller_api import CallerApi
from egretstack.services.calls import Calls
from egretstack.services.session_host import SessionHost
from egretstack.sessions import Session
from egretstack.upstreams import OutcomeUnknown, Unsent
from standins.object_store import ObjectStore
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
    decide = Recovery.decide

    def rerun(self, failure, *, bound, delivered):
        step = decide(self, failure, bound=bound, delivered=delivered)
        return Step.RERUN if step is Step.LOST else step

    def restart(self):
        self.cursor = Cursor()

    with _without(_replace(Recovery, "decide", rerun), _replace(Session, "restart", restart)):
        _turns_red(Point.TOKENS_ONCE, "test_session_mid_stream__engine_dies")


def test_without_the_session_token_nobody_picks_a_session_up():
    # The entry is killed in the middle of a stream, and the others do not know the session.
    def refuse(self, text):
        raise TokenRefused("not ours")

    with _without(_replace(TokenBox, "open", refuse)):
        _turns_red(Point.OWN_WHOLE_ANSWER, "test_session_mid_stream__entry_killed")


def test_without_asking_over_a_new_connection_a_live_generation_is_called_lost():
    # The stream goes silent while the engine goes on. Taken for a dead engine, the session
    # would end with a loss that is none.
    decide = Recovery.decide

    def give_up(self, failure, *, bound, delivered):
        return Step.LOST if delivered else decide(self, failure, bound=bound, delivered=delivered)

    with _without(_replace(Recovery, "decide", give_up)):
        _turns_red(Point.OWN_WHOLE_ANSWER, "test_session_mid_stream__connection_silent")


async def _no_ledger(self, account, service, key, attempt, fingerprint):
    await trio.lowlevel.checkpoint()
    return LedgerEntry(attempt, fingerprint, calls.CallState.INTENT)


def test_without_the_intent_a_call_runs_twice():
    # The entry is killed after the call ran and before its answer. The caller repeats the call
    # at another entry, which knows nothing of the first.
    with _without(_replace(PerCallLedger, "begin", _no_ledger)):
        _turns_red(
            Point.AT_MOST_ONCE, "test_call_answer__entry_killed", "test_call_repeat__operators_race"
        )


def test_without_the_condition_on_the_write_a_call_runs_twice():
    # Two entries write the intent of one key; the store lets the second overwrite the first.
    put = ObjectStore.put

    def blind(self, kind, name, spec, version):
        found = self.by_place.get((kind, name))
        return put(self, kind, name, spec, found.version if found else None)

    with _without(_replace(ObjectStore, "put", blind)):
        _turns_red(Point.AT_MOST_ONCE, "test_call_answer__entry_killed")


def test_with_a_retry_after_may_have_run_a_call_runs_twice():
    # The runner dies after it ran the call and before it answered; the entry tries the next.
    send = Calls._send

    async def lax(self, runner, entry, request):
        try:
            return await runner.call(request)
        except OutcomeUnknown as error:
            raise Unsent(NotRunProof("assumed")) from error

    check.assertTrue(send)
    with _without(_replace(Calls, "_send", lax)):
        _turns_red(Point.AT_MOST_ONCE, "test_call_answer__engine_dies")


def test_with_not_run_told_after_dispatch_a_caller_is_told_an_untruth():
    # The runner dies after it ran the call; the entry takes no answer for no run.
    async def lax(self, runner, entry, request):
        try:
            return await runner.call(request)
        except OutcomeUnknown as error:
            proof = NotRunProof("assumed")
            raise EgretError(ErrorKind.NOT_RUN, "no answer", proof=proof) from error

    with _without(_replace(Calls, "_send", lax)):
        _turns_red(Point.NOT_RUN_IS_TRUE, "test_call_answer__engine_dies")


def test_without_settling_a_lost_answer_a_call_is_in_progress_for_ever():
    # The intent was written and the answer to the write was lost. The caller is refused, and
    # its repeats meet the intent of an attempt that nobody carries on.
    async def give_up(self, name, entry):
        raise EgretError(ErrorKind.PLATFORM_AWAY, "no answer")

    with _without(_replace(PerCallLedger, "_settle", give_up)):
        _turns_red(Point.OWN_WHOLE_ANSWER, "test_call_intent_written__answer_lost")


def test_without_the_notice_a_leaving_upstream_gets_work():
    # The list says that a runner is leaving; it is given work as before.
    with _without(_replace(runners, "MemberState", mock.Mock(LIVE=MemberState.LEAVING))):
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

    with _without(_replace(ConfigurationStore, "_refuse_stale", accept_all)):
        _turns_red(Point.CONFIGURATION_HOLDS, "test_change_head_update__operators_race")


def test_without_pulling_often_a_change_comes_late():
    # A change is accepted, and instances look for it only once a minute.
    with _without(_replace(configuration, "PULL_PERIOD_S", 60.0)):
        _turns_red(Point.CONFIGURATION_HOLDS, "test_change_fan_out__operators_race")
