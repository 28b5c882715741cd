"""Which failure may be reported for a request, and how often a request may be sent."""

from egretstack.errors import ErrorKind
from egretstack.ids import ServiceName
from egretstack.platform import Bounds
from egretstack.relay import ExecutionStatus, RequestFailed, RetryBudget
from tests.support import check, tests_of

load_tests = tests_of(globals())

BOUNDS = Bounds(
    runner_drain_s=2,
    grace_s=8,
    directory_ttl_s=5,
    retry_ratio=0.2,
    retry_window_s=10,
    retry_slack=50,
)
SERVICE = ServiceName("desk-app")


def test_not_run_is_reported_while_it_is_true():
    failure = ExecutionStatus().failure(ErrorKind.ENGINES_FULL, "full", retry_after_s=0.25)
    check.assertEqual((failure.status, failure.retry_after_s), (503, 0.25))


def test_a_rejection_after_a_send_without_an_answer():
    # A booking would be made twice: the first runner ran the request and its response was lost, the
    # second runner rejected it, and the client, told "not run", would send it again.
    status = ExecutionStatus()
    status.mark_unknown()
    failure = status.failure(ErrorKind.ENGINES_FULL, "full", retry_after_s=0.25)
    check.assertEqual((failure.status, failure.retry_after_s), (502, None))


def test_no_kind_promises_not_run_by_its_status_after_an_unknown_send():
    status = ExecutionStatus()
    status.mark_unknown()
    for kind in ErrorKind:
        check.assertNotIn(status.failure(kind, "x").status, (408, 421, 429, 503), kind)


def test_a_failure_without_retry_has_no_retry_time():
    check.assertIsNone(RequestFailed(ErrorKind.NOT_FOUND, "x", retry_after_s=1).retry_after_s)


def test_the_budget_is_split_between_instances():
    budget = RetryBudget(BOUNDS)
    budget.instances = 10
    spent = 0
    while budget.allows(0.0, SERVICE):
        budget.record_retry(0.0, SERVICE)
        spent += 1
    check.assertEqual(spent, 4)


def test_the_budget_grows_with_requests_in_a_sliding_window():
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
