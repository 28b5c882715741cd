"""Replay: the same output for the same seed, checked input, and what a trace run does."""

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
GOOD = {
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
    """Give the paths of a trace and an engines file."""
    with TemporaryDirectory() as folder:
        trace = Path(folder) / "trace.jsonl"
        site = Path(folder) / "engines.ini"
        rows = [line if isinstance(line, str) else json.dumps(line) for line in lines]
        trace.write_text("\n".join(rows) + "\n")
        site.write_text(engines)
        yield trace, site


def trace_of(count, **changed):
    return [GOOD | {"at_s": number / 10} | changed for number in range(count)]


def figures(lines, policy, engines=ENGINE, entries=2):
    with files(lines, engines) as (trace, path):
        site = read_deployment(path)
        return replay(read_trace(trace, site), site, policy, entries=entries, seed=1)


def printed(trace, site, *options):
    out = StringIO()
    with redirect_stdout(out):
        app(
            [*("replay", str(trace), "--engines", str(site)), *options], result_action="return_none"
        )
    return out.getvalue()


def test_the_same_seed_gives_the_same_output():
    with files(trace_of(60, output_tokens=200)) as (trace, site):
        for form in ((), ("--json",)):
            first = printed(trace, site, "--seed", "7", *form)
            check.assertEqual(first, printed(trace, site, "--seed", "7", *form))
            check.assertIn("oracle", first.splitlines()[0 if not form else -1])


def test_faults_name_line_and_field():
    faults = {
        "at_s": (-1, "soon", True, float("nan"), None),
        "account": ("Not A Name", 3, None),
        "model": ("other", None),
        "prompt_tokens": (0, 1.5, 10**9, True, None),
        "output_tokens": (0, 40_000, None),
        "prefix": ("x" * 300, 1, None),
        "value": (0, 1001, None),
        "stream": ("yes", 1, None),
    }
    for field, values in faults.items():
        for value in values:
            bad = {name: one for name, one in (GOOD | {field: value}).items() if one is not None}
            with files([GOOD, bad]) as (trace, path), check.assertRaises(UserError) as caught:
                read_trace(trace, read_deployment(path))
            check.assertIn(f"{trace}:2: {field}", str(caught.exception))


def test_lines_that_are_no_request_are_refused():
    long = json.dumps(GOOD) + " " * 20_000
    for text in ("[]", "{", long, json.dumps(GOOD | {"extra": 1}), "[" * 10_000):
        with files([GOOD, text]) as (trace, path), check.assertRaises(UserError) as caught:
            read_trace(trace, read_deployment(path))
        check.assertIn(f"{trace}:2: ", str(caught.exception))
    with files([GOOD, GOOD | {"at_s": 0.5}]) as (trace, path):
        check.assertRaisesRegex(UserError, ":2: at_s", read_trace, trace, read_deployment(path))


def test_engine_faults_name_section_and_key():
    for engines in (
        "[engine.one]\nservice = llm\n",
        ENGINE + "max_batch = 0\n",
        ENGINE + "colour = red\n",
        ENGINE + "reclaimed_at_s = 5\nback_at_s = 4\n",
        "[runner.one]\n",
        "",
    ):
        with files([GOOD], engines) as (_, path), check.assertRaises(UserError) as caught:
            read_deployment(path)
        check.assertIn(str(path), str(caught.exception))


def test_a_wrong_policy_ends_with_words():
    with files([GOOD]) as (trace, site), redirect_stderr(StringIO()) as said:
        with check.assertRaises(SystemExit) as caught:
            printed(trace, site, "--policy", "magic")
        check.assertEqual(caught.exception.code, 2)
    check.assertIn("no policy named magic", said.getvalue())


def test_every_policy_finishes_an_easy_trace():
    for policy in ("round-robin", "least-loaded", "reserve-max", "default", "oracle"):
        # The longest answer has to fit beside others for the baseline that reserves it.
        engines = ENGINE + "[service.llm]\nmax_output_tokens = 500\n"
        result = figures(trace_of(40), policy, engines)
        check.assertEqual((result.finished, result.value_share), (40, 1.0), policy)
        check.assertEqual(result.preemptions, 0, policy)


def test_each_session_has_one_outcome():
    crowded = trace_of(300, output_tokens=900, prompt_tokens=700)
    for policy in ("round-robin", "least-loaded", "reserve-max", "default", "oracle"):
        one = figures(crowded, policy)
        check.assertEqual(one.finished + one.refused + one.given_up + one.lost, one.sessions)


def test_a_reclaimed_engine_loses_read_streams_and_reruns_the_rest():
    # One of two engines is taken away while it decodes. A stream that was being read is lost and
    # counted so; an answer that nobody had seen is run again and finishes.
    engines = ENGINE + "reclaimed_at_s = 3\nnotice_s = 1\n" + ENGINE.replace(".one", ".two")
    for policy in ("least-loaded", "default"):
        read = figures(trace_of(20, output_tokens=300), policy, engines)
        check.assertGreater(read.lost, 0, policy)
    unseen = figures(trace_of(20, output_tokens=150, stream=False), "default", engines)
    check.assertEqual((unseen.lost, unseen.finished), (0, 20))
