"""The closed list of error kinds and its table."""

from egretstack.errors import ANSWERS, EgretError, ErrorKind, NotRunProof, RunState
from tests.support import check, tests_of

load_tests = tests_of(globals())


def test_every_kind_has_an_answer():
    check.assertEqual(set(ANSWERS), set(ErrorKind))


def test_an_answer_that_says_retry_says_when():
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
