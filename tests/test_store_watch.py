"""Whether an instance reaches the store, as it reports to the fleet."""

from egretstack.fleet import StoreReachability, StoreWatch
from tests.support import check, tests_of

load_tests = tests_of(globals())


def test_one_lost_answer_does_not_move_the_home():
    watch = StoreWatch()
    watch.record_answer(0.0)
    watch.record_failure(0.5)
    check.assertIs(watch.reachability, StoreReachability.REACHABLE)
    watch.record_failure(0.9)
    check.assertIs(watch.reachability, StoreReachability.UNREACHABLE)
    watch.record_answer(1.0)
    check.assertIs(watch.reachability, StoreReachability.REACHABLE)


def test_an_instance_whose_first_call_fails_reports_it_at_once():
    watch = StoreWatch()
    watch.record_failure(0.0)
    check.assertIs(watch.reachability, StoreReachability.UNREACHABLE)


def test_an_old_result_is_not_reported():
    # Without expiry nobody would try the store after an outage, and an instance that read it once
    # would count as one that reaches it.
    watch = StoreWatch()
    watch.record_answer(0.0)
    watch.expire(2.0)
    check.assertIs(watch.reachability, StoreReachability.REACHABLE)
    watch.expire(3.0)
    check.assertIs(watch.reachability, StoreReachability.UNKNOWN)
    watch.record_failure(10.0)
    watch.expire(14.0)
    check.assertIs(watch.reachability, StoreReachability.UNREACHABLE)
    watch.expire(15.5)
    check.assertIs(watch.reachability, StoreReachability.UNKNOWN)


def test_a_home_whose_calls_are_late_reports_the_store_as_unreachable():
    watch = StoreWatch()
    watch.record_delay()
    check.assertIs(watch.reachability, StoreReachability.UNKNOWN)
    watch.record_answer(0.0)
    watch.record_delay()
    check.assertIs(watch.reachability, StoreReachability.UNREACHABLE)
