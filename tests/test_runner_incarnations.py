"""A runner that starts again under its name: state of the former start is not applied to it."""

from hypothesis import given, settings
from hypothesis import strategies as st

from egretstack.fleet import RunnerState, RunnerTable, runner_from_row, runner_row
from egretstack.ids import RunnerId
from tests.fleet_fixtures import ENGINES, runner
from tests.support import check, tests_of

load_tests = tests_of(globals())

EXAMPLES = settings(deadline=None, max_examples=200)
NAMES = ("a", "b")


def ready_starts(table):
    """Return name and start time of each runner that may get requests."""
    return {
        (one.incarnation.name, one.incarnation.started_ms)
        for one in table.by_id.values()
        if table.is_ready(one.id)
    }


def test_a_restarted_runner_gets_requests_at_once():
    # The runner had announced its end, and a notice is final, but for that start only. Otherwise
    # the engine would be idle for as long as its name is kept.
    table = RunnerTable()
    table.apply_reading(0.0, [runner("a", started_ms=100)], 10, 0.0)
    table.record_leaving(0.1, RunnerId("a@100"))
    stopped = table.apply_reading(0.2, [runner("a", started_ms=200)], 11, 0.2)
    check.assertEqual([one.state for one in stopped], [RunnerState.GONE])
    check.assertEqual(ready_starts(table), {("a", 200)})
    check.assertTrue(table.is_gone(RunnerId("a@100")))


def test_a_runner_reports_its_start_before_the_store_lists_it():
    # Its report comes from the new process while the store still lists the former one. A later
    # reading of the old entry must not undo the update.
    table = RunnerTable()
    table.apply_reading(0.0, [runner("a", started_ms=100)], 10, 0.0)
    check.assertEqual(table.record_start(RunnerId("a@100"), 200).id, "a@100")
    check.assertIsNone(table.record_start(RunnerId("a@100"), 200))
    table.apply_reading(0.2, [runner("a", started_ms=100)], 11, 0.2)
    check.assertEqual(ready_starts(table), {("a", 200)})
    table.apply_reading(0.3, [runner("a", started_ms=100, state=RunnerState.LEAVING)], 12, 0.3)
    check.assertEqual(ready_starts(table), {("a", 200)})


def test_an_unresponsive_former_start_does_not_count_for_the_new_one():
    table = RunnerTable()
    table.apply_reading(0.0, [runner("a", started_ms=100)], 10, 0.0)
    table.unresponsive = frozenset({RunnerId("a@100")})
    check.assertEqual(table.ready(ENGINES), [])
    table.apply_reading(0.2, [runner("a", started_ms=200)], 11, 0.2)
    check.assertEqual(ready_starts(table), {("a", 200)})


def test_two_entries_of_one_name():
    table = RunnerTable()
    table.apply_reading(0.0, [runner("a", started_ms=200), runner("a", started_ms=100)], 10, 0.0)
    check.assertEqual(ready_starts(table), {("a", 200)})
    table.apply_reading(0.1, [runner("a", started_ms=100), runner("a", started_ms=300)], 11, 0.1)
    check.assertEqual(ready_starts(table), {("a", 300)})


def test_peers_receive_both_starts():
    home, peer, new_instance = RunnerTable(), RunnerTable(), RunnerTable()
    home.apply_reading(0.0, [runner("a", started_ms=100)], 10, 0.0)
    peer.apply_reading(0.0, [runner("a", started_ms=100)], 10, 0.0)
    home.record_start(RunnerId("a@100"), 200)
    rows = [runner_from_row(runner_row(one)) for one in home.by_id.values()]
    for table in (peer, new_instance):
        table.apply_reading(0.1, rows, 10, 0.1)
        check.assertEqual(ready_starts(table), {("a", 200)})
        check.assertFalse(table.is_ready(RunnerId("a@100")))


def test_a_runner_without_start_times_is_identified_by_its_name_only():
    table = RunnerTable()
    table.apply_reading(0.0, [runner("a")], 10, 0.0)
    check.assertIsNone(table.record_start(RunnerId("a"), 200))
    check.assertEqual([one.id for one in table.ready(ENGINES)], ["a"])


def test_a_missing_runner_that_is_back_gets_requests_once_it_answers():
    # The runner was cut off from the store for some seconds, its entry expired, and it continued to
    # serve. Without readmission a third of a service would be lost permanently. Its entry alone
    # does not readmit it.
    home, peer = RunnerTable(), RunnerTable()
    for table in (home, peer):
        table.apply_reading(0.0, [runner("a"), runner("b")], 10, 0.0)
        table.apply_reading(0.5, [runner("b")], 11, 0.5)
        check.assertEqual([one.id for one in table.ready(ENGINES)], ["b"])
    home.apply_reading(1.0, [runner("a"), runner("b")], 12, 1.0)
    check.assertEqual([one.id for one in home.ready(ENGINES)], ["b"])
    check.assertEqual([one.id for one in home.relisted()], ["a"])
    check.assertTrue(home.confirm_alive(RunnerId("a")))
    check.assertFalse(home.confirm_alive(RunnerId("a")))
    rows = [runner_from_row(runner_row(one)) for one in home.by_id.values()]
    peer.apply_reading(1.2, rows, 12, 1.2)
    home.apply_reading(1.3, [runner("a"), runner("b")], 13, 1.3)
    for table in (home, peer):
        check.assertEqual({one.id for one in table.ready(ENGINES)}, {"a", "b"})
    peer.apply_reading(1.4, [runner("b")], 14, 1.4)
    check.assertEqual([one.id for one in peer.ready(ENGINES)], ["b"])


def test_a_late_heartbeat_of_a_runner_that_was_replaced():
    # Because of a delayed heartbeat the store lists a runner again that has ended, and another one
    # has its address. That one must not get health requests addressed to the former runner.
    table = RunnerTable()
    table.apply_reading(0.0, [runner("a", address="10.2.0.9:80")], 10, 0.0)
    table.apply_reading(1.0, [], 11, 1.0)
    new = runner("b", address="10.2.0.9:80")
    table.apply_reading(2.0, [runner("a", address="10.2.0.9:80"), new], 12, 2.0)
    check.assertEqual(table.relisted(), [])
    check.assertEqual([one.id for one in table.ready(ENGINES)], ["b"])


def test_a_runner_that_gave_notice_gets_no_health_requests():
    table = RunnerTable()
    table.apply_reading(0.0, [runner("a", state=RunnerState.LEAVING)], 10, 0.0)
    table.apply_reading(0.5, [], 11, 0.5)
    table.apply_reading(1.0, [runner("a")], 12, 1.0)
    check.assertEqual(table.relisted(), [])
    check.assertEqual(table.ready(ENGINES), [])


def test_a_relisted_runner_that_then_leaves_is_not_readmitted():
    # The home's health request is in flight when the entry shows that the runner is leaving; an
    # answer that comes after that is older.
    table = RunnerTable()
    table.apply_reading(0.0, [runner("a")], 10, 0.0)
    table.apply_reading(0.5, [], 11, 0.5)
    table.apply_reading(1.0, [runner("a")], 12, 1.0)
    check.assertEqual([one.id for one in table.relisted()], ["a"])
    table.apply_reading(1.1, [runner("a", state=RunnerState.LEAVING)], 13, 1.1)
    check.assertFalse(table.confirm_alive(RunnerId("a")))
    check.assertEqual(table.ready(ENGINES), [])


_entry = st.tuples(st.sampled_from(NAMES), st.integers(1, 4), st.booleans())
_step = st.one_of(
    st.tuples(st.just("reading"), st.integers(1, 9), st.lists(_entry, max_size=4)),
    st.tuples(st.just("start"), st.sampled_from(NAMES), st.integers(1, 4)),
    st.tuples(st.just("notice"), st.sampled_from(NAMES), st.integers(1, 4)),
    st.tuples(st.just("unresponsive"), st.sampled_from(NAMES), st.integers(1, 4)),
)


@EXAMPLES
@given(st.lists(_step, max_size=25))
def test_older_information_never_undoes_a_later_start(steps):
    # In whatever order start times, notices, lapses and outdated readings come in, the latest known
    # start stands. Otherwise requests would go to an engine as if it held the memory of an earlier
    # start.
    table = RunnerTable()
    newest, noticed = {}, set()
    for second, (kind, *rest) in enumerate(steps):
        if kind == "reading":
            revision, entries = rest
            if revision >= table.revision:
                for name, started, _ in entries:
                    newest[name] = max(newest.get(name, 0), started)
            state = {True: RunnerState.LEAVING, False: RunnerState.READY}
            listed = [runner(name, started_ms=b, state=state[left]) for name, b, left in entries]
            table.apply_reading(float(second), listed, revision, float(second))
        elif kind == "start" and rest[0] in newest:
            name, started = rest
            table.record_start(RunnerId(f"{name}@{newest[name]}"), started)
            newest[name] = max(newest[name], started)
        elif kind == "notice":
            name, started = rest
            if RunnerId(f"{name}@{started}") in table.by_id:
                table.record_leaving(float(second), RunnerId(f"{name}@{started}"))
                noticed.add((name, started))
        elif kind == "unresponsive":
            table.unresponsive = frozenset({RunnerId(f"{rest[0]}@{rest[1]}")})
        ready = ready_starts(table)
        check.assertTrue(all(newest[name] == started for name, started in ready), ready)
        check.assertFalse(ready & noticed)


@EXAMPLES
@given(st.lists(_step, max_size=15), st.integers(5, 9))
def test_a_new_start_gets_requests_whatever_was_known_before(steps, started):
    table = RunnerTable()
    for second, (kind, *rest) in enumerate(steps):
        if kind == "reading":
            listed = [runner(name, started_ms=b) for name, b, _ in rest[1]]
            table.apply_reading(float(second), listed, rest[0], float(second))
        elif kind == "notice":
            table.record_leaving(float(second), RunnerId(f"{rest[0]}@{rest[1]}"))
    table.apply_reading(99.0, [runner("a", started_ms=started)], 99, 99.0)
    check.assertIn(("a", started), ready_starts(table))
