"""What may be said of a request that failed, and how often one may be sent."""

from egretstack.errors import ErrorKind
from egretstack.ids import ServiceName
from egretstack.platform import Bounds
from egretstack.relay import ExecutionStatus, RequestFailed, RetryBudget
from tests.support import check, tests_of

load_tests = tests_of(globals())

BOUNDS = Bounds(
    runner_drain_s=2,
    grace_s=8,
    directory_life_s=5,
    retry_ratio=0.2,
    retry_window_s=10,
    retry_slack=50,
)
SERVICE = ServiceName("desk-app")


def test_not_run_is_said_while_it_is_true():
    failure = ExecutionStatus().failure(ErrorKind.ENGINES_FULL, "full", retry_after_s=0.25)
    check.assertEqual((failure.status, failure.retry_after_s), (503, 0.25))


def test_a_rejection_after_a_send_without_an_answer():
    # A booking would be made twice: the first runner ran it and its answer was lost, the second
    # rejected it, and the client, told "not run", sends it again.
    knowledge = ExecutionStatus()
    knowledge.mark_unknown()
    failure = knowledge.failure(ErrorKind.ENGINES_FULL, "full", retry_after_s=0.25)
    check.assertEqual((failure.status, failure.retry_after_s), (502, None))


def test_every_kind_that_promises_nothing_has_no_promising_status():
    knowledge = ExecutionStatus()
    knowledge.mark_unknown()
    for kind in ErrorKind:
        check.assertNotIn(knowledge.failure(kind, "x").status, (408, 421, 429, 503), kind)


def test_a_failure_without_advice_has_no_time():
    check.assertIsNone(RequestFailed(ErrorKind.NOT_FOUND, "x", retry_after_s=1).retry_after_s)


def test_the_budget_is_split_between_instances():
    budget = RetryBudget(BOUNDS)
    budget.instances = 10
    spent = 0
    while budget.allows(0.0, SERVICE):
        budget.record_retry(0.0, SERVICE)
        spent += 1
    check.assertEqual(spent, 4)


def test_the_budget_grows_with_requests_and_slides():
    budget = RetryBudget(BOUNDS)
    budget.instances = 50
    for _ in range(100):
        budget.record_request(0.0, SERVICE)
    spent = 0
    while budget.allows(1.0, SERVICE):
        budget.record_retry(1.0, SERVICE)
        spent += 1
    check.assertEqual(spent, 16)
    check.assertFalse(budget.allows(9.9, SERVICE))
    budget.record_request(11.5, SERVICE)
    for _ in range(9):
        budget.record_request(11.5, SERVICE)
    check.assertTrue(budget.allows(11.5, SERVICE))
