"""The judgement whether an instance reaches the runners at all."""

from egretstack.detour import LinkState, RunnerReach
from tests.support import check, tests_of

load_tests = tests_of(globals())


def test_a_runner_that_ends_alone_does_not_make_the_links_doubtful():
    # One runner ended; every request tries it first, and others answer in between or not at all.
    reach = RunnerReach()
    for now_s in (0.0, 0.1, 0.2, 0.3):
        reach.record_failed(now_s, "a", 3)
    check.assertIs(reach.state, LinkState.SOUND)


def test_two_runners_that_end_at_once_do_not_make_proven_links_doubtful():
    # Each failure follows a connection to a third runner.
    reach = RunnerReach()
    for now_s, address in enumerate("abab"):
        reach.record_connected(now_s)
        reach.record_failed(now_s + 0.01, address, 3)
        check.assertTrue(reach.is_proven(now_s + 0.01))
    check.assertIs(reach.state, LinkState.SOUND)


def test_runners_that_fail_in_a_row_make_the_links_doubtful_until_one_accepts():
    reach = RunnerReach()
    reach.record_connected(0.0)
    reach.record_failed(0.1, "a", 3)
    reach.record_failed(0.2, "b", 3)
    check.assertIs(reach.state, LinkState.DOUBTED)
    check.assertFalse(reach.is_proven(0.2))
    reach.record_cut()
    check.assertIs(reach.state, LinkState.CUT)
    reach.record_connected(0.5)
    check.assertIs(reach.state, LinkState.SOUND)


def test_failures_of_long_ago_do_not_add_up():
    # With little traffic, two runners that ended minutes apart would look like a cut.
    reach = RunnerReach()
    reach.record_failed(0.0, "a", 3)
    reach.record_failed(60.0, "b", 3)
    check.assertIs(reach.state, LinkState.SOUND)


def test_the_only_runner_that_fails_makes_the_links_doubtful():
    reach = RunnerReach()
    reach.record_failed(0.0, "a", 1)
    check.assertIs(reach.state, LinkState.DOUBTED)
