"""Replay: reproducible output, validation of the input files, and outcomes of sessions."""

import json
from contextlib import contextmanager, redirect_stderr, redirect_stdout
from io import StringIO
from pathlib import Path
from tempfile import TemporaryDirectory

from egretstack.errors import UserError
from egretstack.programs.ctl import app
from egretstack.replay import read_deployment, read_trace, replay
from tests.support import check, tests_of

load_tests = tests_of(globals())

ENGINE = """[engine.one]
service = llm
models = story
zone = a
kv_capacity_tokens = 8000
"""
VALID_LINE = {
    "at_s": 1.0,
    "account": "acme",
    "service": "llm",
    "model": "story",
    "prompt_tokens": 100,
    "output_tokens": 50,
    "prefix": "p",
    "value": 10,
    "stream": True,
}


@contextmanager
def files(lines, engines=ENGINE):
    """Write a trace and an engines file to a temporary directory; yield their paths."""
    with TemporaryDirectory() as folder:
        trace = Path(folder) / "trace.jsonl"
        engines_file = Path(folder) / "engines.ini"
        rows = [line if isinstance(line, str) else json.dumps(line) for line in lines]
        trace.write_text("\n".join(rows) + "\n")
        engines_file.write_text(engines)
        yield trace, engines_file


def make_trace(count, **changed):
    return [VALID_LINE | {"at_s": number / 10} | changed for number in range(count)]


def replay_figures(lines, policy, engines=ENGINE, entries=2):
    with files(lines, engines) as (trace, path):
        deployment = read_deployment(path)
        return replay(read_trace(trace, deployment), deployment, policy, entries=entries, seed=1)


def run_replay_command(trace, engines_file, *options):
    out = StringIO()
    with redirect_stdout(out):
        app(
            [*("replay", str(trace), "--engines", str(engines_file)), *options],
            result_action="return_none",
        )
    return out.getvalue()


def test_the_same_seed_gives_the_same_output():
    with files(make_trace(60, output_tokens=200)) as (trace, engines_file):
        for options in ((), ("--json",)):
            first = run_replay_command(trace, engines_file, "--seed", "7", *options)
            check.assertEqual(
                first, run_replay_command(trace, engines_file, "--seed", "7", *options)
            )
            check.assertIn("oracle", first.splitlines()[0 if not options else -1])


def test_errors_name_line_and_field():
    invalid_values = {
        "at_s": (-1, "soon", True, float("nan"), None),
        "account": ("Not A Name", 3, None),
        "model": ("other", None),
        "prompt_tokens": (0, 1.5, 10**9, True, None),
        "output_tokens": (0, 40_000, None),
        "prefix": ("x" * 300, 1, None),
        "value": (0, 1001, None),
        "stream": ("yes", 1, None),
    }
    for field, values in invalid_values.items():
        for value in values:
            invalid = {
                name: v for name, v in (VALID_LINE | {field: value}).items() if v is not None
            }
            with (
                files([VALID_LINE, invalid]) as (trace, path),
                check.assertRaises(UserError) as caught,
            ):
                read_trace(trace, read_deployment(path))
            check.assertIn(f"{trace}:2: {field}", str(caught.exception))


def test_lines_that_are_not_requests_are_rejected():
    long = json.dumps(VALID_LINE) + " " * 20_000
    for text in ("[]", "{", long, json.dumps(VALID_LINE | {"extra": 1}), "[" * 10_000):
        with files([VALID_LINE, text]) as (trace, path), check.assertRaises(UserError) as caught:
            read_trace(trace, read_deployment(path))
        check.assertIn(f"{trace}:2: ", str(caught.exception))
    with files([VALID_LINE, VALID_LINE | {"at_s": 0.5}]) as (trace, path):
        check.assertRaisesRegex(UserError, ":2: at_s", read_trace, trace, read_deployment(path))


def test_engines_file_errors_name_section_and_key():
    for engines in (
        "[engine.one]\nservice = llm\n",
        ENGINE + "max_batch = 0\n",
        ENGINE + "colour = red\n",
        ENGINE + "reclaimed_at_s = 5\nback_at_s = 4\n",
        "[runner.one]\n",
        "",
    ):
        with files([VALID_LINE], engines) as (_, path), check.assertRaises(UserError) as caught:
            read_deployment(path)
        check.assertIn(str(path), str(caught.exception))


def test_an_unknown_policy_exits_with_an_error_message():
    with files([VALID_LINE]) as (trace, engines_file), redirect_stderr(StringIO()) as stderr:
        with check.assertRaises(SystemExit) as caught:
            run_replay_command(trace, engines_file, "--policy", "magic")
        check.assertEqual(caught.exception.code, 2)
    check.assertIn("no policy named magic", stderr.getvalue())


def test_every_policy_finishes_an_easy_trace():
    for policy in ("round-robin", "least-loaded", "reserve-max", "default", "oracle"):
        # The reserve-max baseline reserves memory for the longest answer; several have to fit.
        engines = ENGINE + "[service.llm]\nmax_output_tokens = 500\n"
        result = replay_figures(make_trace(40), policy, engines)
        check.assertEqual((result.finished, result.value_share), (40, 1.0), policy)
        check.assertEqual(result.preemptions, 0, policy)


def test_each_session_has_one_outcome():
    lines = make_trace(300, output_tokens=900, prompt_tokens=700)
    for policy in ("round-robin", "least-loaded", "reserve-max", "default", "oracle"):
        result = replay_figures(lines, policy)
        check.assertEqual(
            result.finished + result.refused + result.given_up + result.lost, result.sessions
        )


def test_a_reclaimed_engine_loses_delivered_streams_and_reruns_the_rest():
    # One of two engines is reclaimed while it decodes. A stream that was being read is counted as
    # lost; an answer of which nothing had been delivered is run again elsewhere and finishes.
    engines = ENGINE + "reclaimed_at_s = 3\nnotice_s = 1\n" + ENGINE.replace(".one", ".two")
    for policy in ("least-loaded", "default"):
        streamed = replay_figures(make_trace(20, output_tokens=300), policy, engines)
        check.assertGreater(streamed.lost, 0, policy)
    undelivered = replay_figures(
        make_trace(20, output_tokens=150, stream=False), "default", engines
    )
    check.assertEqual((undelivered.lost, undelivered.finished), (0, 20))
