"""Whether an instance reaches the store, as it tells the fleet."""

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


def test_an_instance_that_tries_in_vain_says_so_at_once():
    watch = StoreWatch()
    watch.record_failure(0.0)
    check.assertIs(watch.reachability, StoreReachability.UNREACHABLE)


def test_what_was_seen_long_ago_is_not_told():
    # After an outage nobody would try the store, and an instance that read it once would be taken
    # for one that reaches it.
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


def test_a_home_that_hears_too_late_says_that_it_does_not_reach_the_store():
    watch = StoreWatch()
    watch.record_delay()
    check.assertIs(watch.reachability, StoreReachability.UNKNOWN)
    watch.record_answer(0.0)
    watch.record_delay()
    check.assertIs(watch.reachability, StoreReachability.UNREACHABLE)
