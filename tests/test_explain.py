"""From a request's id to its cause, over saved logs."""

import json
import re
from pathlib import Path

from egretstack.reports import explain, read_log
from tests.support import check, tests_of

load_tests = tests_of(globals())

ID = "9c41d07be2a35f68"
ROOT = Path(__file__).parent.parent


def line(second, instance, name, **fields):
    row = {"time": f"2026-04-25T06:03:{second:06.3f}+00:00", "name": name, "instance": instance}
    return json.dumps(row | fields)


def story(*lines):
    return explain(ID, read_log(lines))


def test_a_refused_request_names_the_wait_and_the_advice():
    found = story(
        line(1, "e-1", "place_refused", request=ID, waited_ms=1080, retry_s=0.4),
        line(1.1, "e-1", "request_failed", request=ID, kind="engines-full", detail="full"),
        line(2, "e-1", "request_answered", request="another", status=200),
    )
    check.assertIn("engines-full", found.cause)
    check.assertIn("1080 ms", found.cause)
    check.assertEqual(len(found.lines), 2)


def test_a_lost_stream_names_its_runner_the_notice_and_the_copies():
    found = story(
        line(1, "e-1", "placed", request=ID, runner="i-7", backup="i-8"),
        line(3, "e-1", "runner_leaves", runner="i-8"),
        line(4, "e-1", "runner_leaves", runner="i-7"),
        line(4, "e-2", "runner_leaves", runner="i-7"),
        line(5, "e-1", "move_ended", request=ID, source="i-7", stop=False, outcome="no-room"),
        line(6, "e-1", "stream_halted", request=ID, runner="i-7", why="broken"),
        line(6, "e-1", "stream_lost", request=ID, runner="i-7", events=52),
        line(6.1, "e-1", "client_left", request=ID),
    )
    for part in ("i-7", "broken", "52 events", "after its notice", "no-room"):
        check.assertIn(part, found.cause)
    check.assertIn("runner_leaves", [one.name for one in found.lines])
    check.assertEqual({one.instance for one in found.lines}, {"e-1"})


def test_a_confirmation_whose_answer_was_spoilt():
    found = story(
        line(1, "e-1", "answer_spoilt", request=ID, runner="i-3", sealed=False, status=200),
        line(1, "e-1", "send_ended", request=ID, runner="i-3", result="unknown"),
        line(1, "e-1", "request_failed", request=ID, kind="outcome-unknown", detail="unknown"),
    )
    check.assertIn("outcome-unknown", found.cause)
    check.assertIn("answer_spoilt", found.cause)
    check.assertIn("may have run", found.cause)


def test_a_runner_found_to_have_ended_later_is_no_end_of_the_request():
    # Guards against a cause that only says with which line the logs end.
    found = story(
        line(1, "e-1", "send_ended", request=ID, runner="i-1", result="unknown"),
        line(1.1, "e-1", "request_answered", request=ID, status=200),
        line(1.2, "e-1", "run_broken", request=ID, runner="i-1", content="c", ended=True),
    )
    check.assertIn("status 200", found.cause)
    check.assertIn("ended while they ran it: i-1", found.cause)


def test_what_a_runner_of_the_request_said_of_itself_is_told():
    # Guards against a story in which a runner is left alone for no reason that shows.
    found = story(
        line(1, "e-1", "runner_limited", runner="i-7", per_s=2.4),
        line(2, "e-1", "send_ended", request=ID, runner="i-7", result="rejected", send=1),
        line(3, "e-1", "runner_word", runner="i-7", leaving=False, rest_s=3.0),
        line(4, "e-1", "runner_word", runner="i-8", leaving=True, rest_s=None),
    )
    names = [one.name for one in found.lines]
    check.assertEqual(names, ["runner_limited", "send_ended", "runner_word"])


def test_a_process_that_ended_within_a_request():
    found = story(
        line(1, "e-1", "placed", request=ID, runner="i-7"),
        line(9, "e-1", "relay_started", zone="leon-a"),
    )
    check.assertIn("the process of e-1 ended", found.cause)


def test_an_id_that_no_log_names():
    check.assertIn("no line names", story(line(1, "e-1", "stopped")).cause)


def test_what_is_no_log_line_is_left_out():
    text = [
        "",
        "garbage",
        "12.3 e-1 {broken",
        '["a"]',
        '  1.5 e-1 {"time": "t", "name": "stopped"}',
    ]
    check.assertEqual([one.name for one in read_log(text)], ["stopped"])


def test_the_operators_page_shows_what_the_command_prints():
    # An engineer compares a cause with the page word by word; a page that says something else sends
    # them after another fault.
    page = (ROOT / "docs" / "OPERATIONS.md").read_text()
    shown = re.findall(r"egretctl explain (\w+) (\S+)\n```\n(.*?)\n    cause: (.*?)\n", page, re.S)
    check.assertEqual(len(shown), 3)
    for request, file, lines, cause in shown:
        found = explain(request, read_log((ROOT / file).read_text().splitlines()))
        check.assertEqual(found.cause, cause)
        names = [line.split()[2] for line in lines.splitlines() if line.strip()]
        check.assertEqual([one.name for one in found.lines], names)
