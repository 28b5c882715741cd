"""The burn report: windows, restarts, several entries, and files that it rejects."""

import json
import re

from egretstack.errors import UserError
from egretstack.ids import AccountId
from egretstack.metrics import Objective
from egretstack.reports import (
    Alert,
    Window,
    compute_burns,
    json_report,
    read_snapshots,
    text_report,
)
from egretstack.reports._page import html_report
from tests.burn_fixtures import Entry, saved_files
from tests.support import check, tests_of

load_tests = tests_of(globals())

START_S = 1_000_000.0
DAY_S = 86_400.0


def burn_of(files, objective=Objective.GAP):
    [burn] = [b for b in compute_burns(read_snapshots(files)) if b.objective is objective]
    return burn


def test_a_burn_rate_is_the_share_of_bad_events_over_the_share_allowed():
    with saved_files() as directory:
        entry = Entry(directory, started_s=START_S)
        entry.levels().record_gaps(0.05, 90)
        entry.levels().record_gaps(0.2, 10)
        burn = burn_of([entry.save(START_S + 60)])
    check.assertAlmostEqual(burn.burn_by_window[Window.HOUR].rate, 0.1 / 0.05)
    check.assertAlmostEqual(burn.budget_left, -1.0)


def test_a_target_between_two_histogram_buckets_is_evaluated_exactly():
    # 0.06 s lies between the bucket bounds 0.054 and 0.072: from the buckets alone, a report could
    # not tell whether the gaps of 0.055 to 0.06 s met the target.
    with saved_files() as directory:
        entry = Entry(directory)
        levels = entry.levels()
        levels.targets = type(levels.targets)(0.63, 0.06, 0.95)
        levels.record_gaps(0.0599)
        levels.record_gaps(0.0601)
        [tally] = [levels.tally_by_objective[Objective.GAP]]
    check.assertEqual((tally.total, tally.good), (2, 1))


def test_a_window_starts_from_the_snapshot_before_it():
    with saved_files() as directory:
        entry = Entry(directory, started_s=START_S)
        entry.levels().record_gaps(0.2, 100)
        files = [entry.save(START_S + DAY_S)]
        entry.levels().record_gaps(0.01, 100)
        files.append(entry.save(START_S + DAY_S + 300))
        burn = burn_of(files)
    short, long = burn.burn_by_window[Window.FIVE_MINUTES], burn.burn_by_window[Window.THREE_DAYS]
    check.assertEqual((short.total, short.bad), (100, 0))
    check.assertEqual((long.total, long.bad), (200, 100))


def test_a_partly_covered_window_is_marked():
    with saved_files() as directory:
        entry = Entry(directory, started_s=START_S - 10 * DAY_S)
        entry.levels().record_gaps(0.2, 100)
        files = [entry.save(START_S)]
        entry.levels().record_gaps(0.01, 10)
        files.append(entry.save(START_S + 60))
        burn = burn_of(files)
        text = text_report([burn])
    hour = burn.burn_by_window[Window.HOUR]
    check.assertEqual((hour.total, hour.covered_s), (10, 60))
    check.assertIn("covered by the snapshots in part: 5m 1.0 min", text)


def test_a_restarted_entry_counts_from_zero_again():
    # If a restart is missed, the report shows a burn that is too low, or negative: the counters of
    # the new process start at 0, so they seem to shrink since the last snapshot. Each snapshot
    # has the start time of its process, which shows the restart even when the new process has
    # already counted more than the old one.
    with saved_files() as directory:
        old = Entry(directory, started_s=START_S)
        old.levels().record_gaps(0.2, 10)
        files = [old.save(START_S + 100)]
        new = Entry(directory, started_s=START_S + 150)
        new.levels().record_gaps(0.2, 50)
        files.append(new.save(START_S + 200))
        burn = burn_of(files)
    check.assertEqual(burn.burn_by_window[Window.HOUR].bad, 60)


def test_entries_are_added_up_and_a_file_given_twice_counts_once():
    with saved_files() as directory:
        files = []
        for name in ("entry-a", "entry-b"):
            entry = Entry(directory, name, START_S)
            entry.levels().record_gaps(0.2, 5)
            files.append(entry.save(START_S + 60))
        burn = burn_of([*files, files[0]])
    check.assertEqual(burn.burn_by_window[Window.HOUR].total, 10)


def test_alerts_need_both_windows():
    with saved_files() as directory:
        entry = Entry(directory, started_s=START_S)
        files = [entry.save(START_S + 2700)]
        entry.levels().record_gaps(0.2, 900)
        entry.levels().record_gaps(0.01, 100)
        files.append(entry.save(START_S + 3000))
        check.assertIs(burn_of(files).alert, Alert.PAGE_FAST)
        entry.levels().record_gaps(0.01, 1000)
        files.append(entry.save(START_S + 3300))
        recovered = burn_of(files)
    check.assertLess(recovered.burn_by_window[Window.FIVE_MINUTES].rate, Alert.PAGE_FAST.rate)
    check.assertIsNot(recovered.alert, Alert.PAGE_FAST)


def test_the_report_as_json_and_as_an_html_page():
    with saved_files() as directory:
        entry = Entry(directory, started_s=START_S)
        entry.levels().record_first_token(0.2)
        entry.levels().record_ended(success=False)
        entry.levels(AccountId("zeta")).record_gaps(0.2, 3)
        burns = compute_burns(read_snapshots([entry.save(START_S + 60)]))
        rows = json.loads(json_report(burns))
        page = html_report(burns, "now")
    check.assertEqual(len(rows), 6)
    check.assertEqual(rows[2]["windows"]["1h"]["bad"], 1)
    check.assertIn("<svg", page)
    check.assertNotRegex(page, re.compile(r"(src|href)=.https?:"))
    check.assertEqual(page, html_report(burns, "now"))


def test_files_that_are_not_snapshots_are_rejected_by_name():
    valid = 'egret_snapshot_seconds{instance_id="a"} 5\negret_start_seconds{instance_id="a"} 1\n'
    labels = '{account="acme",objective="gap"}'
    error_by_text = {
        "": "0 samples of egret_snapshot_seconds",
        "{": "is not Prometheus text",
        valid.replace('"a"', '"../a"'): "names no instance",
        valid + valid.replace('"a"', '"b"'): "2 samples",
        valid.replace(" 5", " NaN"): "is nan",
        valid + f"egret_level_events_total{labels} 3\n": "no share between 0 and 1",
        valid + f"egret_level_events_total{labels} -1\n": "is -1",
        valid
        + 'egret_level_events_total{account="acme"} 1\n': "without an account and an objective",
        valid
        + f"egret_level_events_total{labels} 1\negret_level_good_total{labels} 2\n": "more good",
    }
    with saved_files() as directory:
        path = directory / "x.prom"
        for text, error in error_by_text.items():
            path.write_text(text)
            with check.assertRaises(UserError) as caught:
                read_snapshots([path])
            check.assertIn(error, str(caught.exception))
            check.assertIn(str(path), str(caught.exception))
    with check.assertRaises(UserError):
        read_snapshots([])
