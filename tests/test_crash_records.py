"""Crash records of requests: merging, refusing, clearing, limits, invalid rows."""

from hypothesis import given
from hypothesis import strategies as st

from egretstack.crashes import (
    CrashRecord,
    CrashReports,
    CrashTable,
    Strike,
    clear_from_row,
    record_from_row,
    record_row,
    strike_from_row,
    strike_row,
    strike_weight,
)
from egretstack.crashes._record import EARLY_S, EARLY_WEIGHT, LATE_WEIGHT, MAX_RUNNERS
from egretstack.crashes._reports import REPEAT_PERIOD_S
from egretstack.crashes._table import MAX_RECORDS, RECORD_TTL_S, SINGLE_STRIKE_TTL_S
from egretstack.fleet import UnansweredQueries
from egretstack.messages import MessageError
from tests.support import check, tests_of

load_tests = tests_of(globals())

records = st.builds(
    CrashRecord,
    st.integers(0, 3),
    st.dictionaries(st.sampled_from("abcde"), st.sampled_from([1, 2]), max_size=5),
    st.booleans(),
)


def make_strike(runner, sent_s, ended_s, weight=EARLY_WEIGHT, round_number=0):
    return Strike(runner, sent_s, ended_s, weight, round_number)


def table_with(*strikes):
    table = CrashTable()
    for strike in strikes:
        table.record_strike(strike.ended_s, "c", strike)
    return table


@given(records, records, records)
def test_records_merge_to_the_same_in_any_order_and_any_number_of_times(a, b, c):
    check.assertEqual(a.merged(b), b.merged(a))
    check.assertEqual(a.merged(b).merged(c), a.merged(b.merged(c)))
    check.assertEqual(a.merged(b).merged(b), a.merged(b))


@given(records)
def test_a_record_survives_a_round_trip_through_its_row(record):
    check.assertEqual(record_from_row(record_row(record)), record)


def test_a_request_is_refused_once_three_runners_have_ended_on_it():
    table = table_with(make_strike("a", 0, 1), make_strike("b", 2, 3))
    check.assertFalse(table.is_refused("c"))
    check.assertTrue(table.record_strike(5, "c", make_strike("c", 4, 5)))
    check.assertTrue(table.is_refused("c"))
    check.assertFalse(table.is_refused("other"))


def test_a_strike_that_is_reported_repeatedly_counts_once():
    table = table_with(*[make_strike("a", 0, 1)] * 5)
    check.assertEqual(table.record("c").weight, EARLY_WEIGHT)


def test_equal_requests_on_runners_that_end_together_are_not_the_cause():
    table = table_with(
        make_strike("a", 0, 5),
        make_strike("b", 1, 5.1),
        make_strike("c", 2, 5.2),
        make_strike("d", 3, 5.3),
    )
    check.assertFalse(table.is_refused("c"))
    table.record_strike(7, "c", make_strike("e", 6, 7))
    check.assertTrue(table.is_refused("c"))


def test_strikes_that_are_reported_out_of_order_still_recur():
    check.assertTrue(
        table_with(
            make_strike("c", 6, 7), make_strike("b", 3, 4), make_strike("a", 0, 1)
        ).is_refused("c")
    )


def test_a_long_stream_that_continues_on_copies_is_a_less_likely_cause():
    check.assertEqual(strike_weight(None, 9.0), EARLY_WEIGHT)
    check.assertEqual(strike_weight(1.0, 1.0 + EARLY_S), EARLY_WEIGHT)
    check.assertEqual(strike_weight(1.0, 1.1 + EARLY_S), LATE_WEIGHT)
    late = [make_strike(f"r-{n}", 2 * n, 2 * n + 1, LATE_WEIGHT) for n in range(6)]
    check.assertFalse(table_with(*late[:5]).is_refused("c"))
    check.assertTrue(table_with(*late).is_refused("c"))


def test_an_answer_clears_a_request_and_outdates_earlier_strikes():
    table = table_with(make_strike("a", 0, 1), make_strike("b", 2, 3))
    check.assertEqual(table.clear(4, "c"), 1)
    check.assertIsNone(table.clear(4, "c"))
    check.assertFalse(table.record_strike(4, "c", make_strike("b", 2, 3)))
    check.assertFalse(table.is_suspected("c"))
    table.record_strike(6, "c", make_strike("d", 5, 6, round_number=1))
    check.assertTrue(table.is_suspected("c"))
    check.assertFalse(table.is_refused("c"))


def test_another_instances_answer_clears_only_known_requests():
    table = table_with(make_strike("a", 0, 1))
    check.assertTrue(table.merge_clear(2, "c", 1))
    check.assertFalse(table.merge_clear(2, "c", 1))
    check.assertFalse(table.merge_clear(2, "unknown", 1))
    check.assertEqual(len(table), 1)


def test_a_strike_after_a_restart_recurs():
    table = CrashTable()
    table.merge_record(0, "c", CrashRecord(0, {"a": 2, "b": 2}, False))
    check.assertFalse(table.is_refused("c"))
    table.record_strike(3, "c", make_strike("d", 2, 3))
    check.assertTrue(table.is_refused("c"))


def test_a_waiting_request_is_notified_of_its_refusal():
    table = table_with(make_strike("a", 0, 1), make_strike("b", 2, 3))
    calls = []
    with table.notify_when_refused("c", lambda: calls.append(True)):
        table.record_strike(5, "c", make_strike("d", 4, 5))
    check.assertEqual(calls, [True])
    table.record_strike(7, "c", make_strike("e", 6, 7))
    check.assertEqual(calls, [True])


def test_old_records_expire_and_the_most_suspected_are_kept():
    table = table_with(make_strike("a", 0, 1), make_strike("b", 2, 3), make_strike("d", 4, 5))
    for number in range(MAX_RECORDS + 10):
        table.record_strike(10, f"x-{number}", make_strike("z", 0, 10))
    check.assertEqual(len(table), MAX_RECORDS)
    check.assertTrue(table.is_refused("c"))
    table.forget_expired(10 + SINGLE_STRIKE_TTL_S + 1)
    check.assertEqual(len(table), 1)
    table.forget_expired(6 + RECORD_TTL_S)
    check.assertFalse(table.is_refused("c"))


def test_only_records_with_several_runners_are_stored():
    table = table_with(make_strike("a", 0, 1))
    check.assertEqual(table.durable_records(), {})
    table.record_strike(3, "c", make_strike("b", 2, 3))
    check.assertEqual(set(table.durable_records()), {"c"})


def test_a_report_repeats_findings_for_a_while():
    reports = CrashReports()
    reports.record_strike("c", make_strike("a", 0.0, 1.0, round_number=2))
    reports.record_clear(2.0, "d", 3)
    [row] = reports.strike_rows(1.5)
    content, strike = strike_from_row(row, 101.5)
    check.assertEqual((content, strike.runner, strike.round), ("c", "a", 2))
    check.assertAlmostEqual(strike.ended_s, 101.0)
    check.assertEqual([clear_from_row(clear) for clear in reports.clear_rows(2.0)], [("d", 3)])
    check.assertEqual(reports.strike_rows(1.1 + REPEAT_PERIOD_S), [])
    check.assertEqual(reports.clear_rows(2.1 + REPEAT_PERIOD_S), [])


def test_an_engine_that_has_ended_is_unresponsive_until_it_answers():
    unanswered = UnansweredQueries()
    unanswered.record_ended("a")
    queried = {"a", "b", "c"}
    check.assertEqual(unanswered.unresponsive(queried), {"a"})
    unanswered.record_miss("a")
    check.assertEqual(unanswered.unresponsive(queried), {"a"})
    unanswered.record_answer("a")
    check.assertEqual(unanswered.unresponsive(queried), frozenset())


def test_invalid_rows_are_rejected():
    good = [0, {"a": 2}, True]
    bad_records = [
        None,
        [],
        [0, {"a": 2}],
        [-1, {}, True],
        [0.5, {}, True],
        [True, {}, True],
        [2**40, {}, True],
        [0, {"a": 3}, True],
        [0, {"a": -1}, True],
        [0, {"a": "2"}, True],
        [0, {"": 2}, True],
        [0, {"x" * 500: 2}, True],
        [0, {5: 2}, True],
        [0, [["a", 2]], True],
        [0, {"a": 2}, 1],
        [0, {f"r-{n}": 2 for n in range(MAX_RUNNERS + 1)}, True],
    ]
    check.assertEqual(record_from_row(good).weight, 2)
    for row in bad_records:
        with check.assertRaises(MessageError, msg=row):
            record_from_row(row)
    strike = strike_row("c", make_strike("a", 0, 1), 2.0)
    bad_strikes = [
        None,
        strike[:-1],
        *[[*strike[:n], bad, *strike[n + 1 :]] for n, bad in INVALID_FIELDS],
    ]
    for row in bad_strikes:
        with check.assertRaises(MessageError, msg=row):
            strike_from_row(row, 2.0)
    for row in (None, ["c"], ["c", 0], ["c", -1], ["c", "1"], [1, 1], ["c", 2**40]):
        with check.assertRaises(MessageError, msg=row):
            clear_from_row(row)


INVALID_FIELDS = [
    (0, 5),
    (0, ""),
    (1, None),
    (2, "x"),
    (3, 1.5),
    (4, 9),
    (4, "2"),
    (5, -1),
    (5, None),
]
