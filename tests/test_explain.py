"""Explaining the outcome of a request from saved logs."""

import json
import re
from pathlib import Path

from egretstack.reports import explain, read_log
from tests.support import check, tests_of

load_tests = tests_of(globals())

ID = "9c41d07be2a35f68"
ROOT = Path(__file__).parent.parent


def log_line(second, instance, name, **fields):
    row = {"time": f"2026-04-25T06:03:{second:06.3f}+00:00", "name": name, "instance": instance}
    return json.dumps(row | fields)


def explain_lines(*lines):
    return explain(ID, read_log(lines))


def test_a_refused_request_names_the_wait_and_the_retry_time():
    explanation = explain_lines(
        log_line(1, "e-1", "place_refused", request=ID, waited_ms=1080, retry_s=0.4),
        log_line(1.1, "e-1", "request_failed", request=ID, kind="engines-full", detail="full"),
        log_line(2, "e-1", "request_answered", request="another", status=200),
    )
    check.assertIn("engines-full", explanation.cause)
    check.assertIn("1080 ms", explanation.cause)
    check.assertEqual(len(explanation.lines), 2)


def test_a_lost_stream_names_its_runner_the_notice_and_the_copies():
    explanation = explain_lines(
        log_line(1, "e-1", "placed", request=ID, runner="i-7", backup="i-8"),
        log_line(3, "e-1", "runner_leaves", runner="i-8"),
        log_line(4, "e-1", "runner_leaves", runner="i-7"),
        log_line(4, "e-2", "runner_leaves", runner="i-7"),
        log_line(5, "e-1", "move_ended", request=ID, source="i-7", stop=False, outcome="no-room"),
        log_line(6, "e-1", "stream_halted", request=ID, runner="i-7", why="broken"),
        log_line(6, "e-1", "stream_lost", request=ID, runner="i-7", events=52),
        log_line(6.1, "e-1", "client_left", request=ID),
    )
    for part in ("i-7", "broken", "52 events", "after its notice", "no-room"):
        check.assertIn(part, explanation.cause)
    check.assertIn("runner_leaves", [line.name for line in explanation.lines])
    check.assertEqual({line.instance for line in explanation.lines}, {"e-1"})


def test_a_call_whose_answer_was_corrupt():
    explanation = explain_lines(
        log_line(1, "e-1", "answer_spoilt", request=ID, runner="i-3", sealed=False, status=200),
        log_line(1, "e-1", "send_ended", request=ID, runner="i-3", result="unknown"),
        log_line(1, "e-1", "request_failed", request=ID, kind="outcome-unknown", detail="unknown"),
    )
    check.assertIn("outcome-unknown", explanation.cause)
    check.assertIn("answer_spoilt", explanation.cause)
    check.assertIn("may have run", explanation.cause)


def test_a_runner_found_to_have_ended_later_does_not_hide_the_outcome():
    # A `run_broken` line after the end of the request must not hide the outcome behind a cause
    # that only names the last line of the logs.
    explanation = explain_lines(
        log_line(1, "e-1", "send_ended", request=ID, runner="i-1", result="unknown"),
        log_line(1.1, "e-1", "request_answered", request=ID, status=200),
        log_line(1.2, "e-1", "run_broken", request=ID, runner="i-1", content="c", ended=True),
    )
    check.assertIn("status 200", explanation.cause)
    check.assertIn("ended while they ran it: i-1", explanation.cause)


def test_signals_of_a_runner_of_the_request_are_included():
    # Without these lines, an explanation shows no reason why a runner got no further requests.
    explanation = explain_lines(
        log_line(1, "e-1", "runner_limited", runner="i-7", per_s=2.4),
        log_line(2, "e-1", "send_ended", request=ID, runner="i-7", result="rejected", send=1),
        log_line(3, "e-1", "runner_word", runner="i-7", leaving=False, rest_s=3.0),
        log_line(4, "e-1", "runner_word", runner="i-8", leaving=True, rest_s=None),
    )
    names = [line.name for line in explanation.lines]
    check.assertEqual(names, ["runner_limited", "send_ended", "runner_word"])


def test_a_process_that_ended_during_a_request():
    explanation = explain_lines(
        log_line(1, "e-1", "placed", request=ID, runner="i-7"),
        log_line(9, "e-1", "relay_started", zone="leon-a"),
    )
    check.assertIn("the process of e-1 ended", explanation.cause)


def test_an_id_that_no_log_names():
    check.assertIn("no line names", explain_lines(log_line(1, "e-1", "stopped")).cause)


def test_text_that_is_not_a_log_line_is_skipped():
    text = [
        "",
        "garbage",
        "12.3 e-1 {broken",
        '["a"]',
        '  1.5 e-1 {"time": "t", "name": "stopped"}',
    ]
    check.assertEqual([line.name for line in read_log(text)], ["stopped"])


def test_the_operators_page_shows_what_the_command_prints():
    # Engineers compare a cause with the page word by word; a page with other text leads them to a
    # different fault.
    page = (ROOT / "docs" / "OPERATIONS.md").read_text()
    shown = re.findall(r"egretctl explain (\w+) (\S+)\n```\n(.*?)\n    cause: (.*?)\n", page, re.S)
    check.assertEqual(len(shown), 3)
    for request, file, lines, cause in shown:
        explanation = explain(request, read_log((ROOT / file).read_text().splitlines()))
        check.assertEqual(explanation.cause, cause)
        names = [line.split()[2] for line in lines.splitlines() if line.strip()]
        check.assertEqual([line.name for line in explanation.lines], names)
