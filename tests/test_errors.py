"""Tests of the closed list of error kinds and the answer for each kind."""

from egretstack.errors import ANSWERS, EgretError, ErrorKind, NotRunProof, RunState, run_state
from tests.support import check, tests_of

load_tests = tests_of(globals())


def test_every_kind_has_an_answer():
    check.assertEqual(set(ANSWERS), set(ErrorKind))


def test_an_answer_that_advises_a_retry_says_when():
    for kind, answer in ANSWERS.items():
        proof = NotRunProof("test") if kind is ErrorKind.NOT_RUN else None
        error = EgretError(kind, "x", proof=proof)
        check.assertEqual(error.retry_after_s is not None, answer.retry, kind)


def test_not_run_needs_a_proof():
    with check.assertRaises(ValueError):
        EgretError(ErrorKind.NOT_RUN, "x")


def test_kinds_after_dispatch_never_say_not_run():
    for kind in (ErrorKind.OUTCOME_UNKNOWN, ErrorKind.IN_PROGRESS, ErrorKind.UPSTREAM_FAILED):
        check.assertIsNot(ANSWERS[kind].run, RunState.NOT_RUN)


def test_a_refusal_before_the_ledger_was_read_covers_only_its_own_attempt():
    # A call that holds a seat ran and its answer was lost; the caller repeats it while the store
    # is unavailable. Told "not run", the caller would hold the seat again with a new key.
    check.assertIs(run_state(ErrorKind.PLATFORM_AWAY, keyed=True), RunState.ATTEMPT_NOT_RUN)
    check.assertIs(run_state(ErrorKind.DRAINING, keyed=True), RunState.ATTEMPT_NOT_RUN)
    check.assertIs(run_state(ErrorKind.NOT_RUN, keyed=True), RunState.NOT_RUN)
    check.assertIs(run_state(ErrorKind.PLATFORM_AWAY, keyed=False), RunState.NOT_RUN)
    check.assertIs(run_state(ErrorKind.OUTCOME_UNKNOWN, keyed=True), RunState.MAY_HAVE_RUN)
