"""Replays of the committed traces stay within the bounds stated in expected/."""

import json
from pathlib import Path

from egretstack.replay import read_deployment, read_trace, replay
from tests.support import check, tests_of

load_tests = tests_of(globals())

ROOT = Path(__file__).parent.parent
EXPECTED = sorted((ROOT / "expected").glob("*.json"))


def replay_trace(spec, policy):
    deployment = read_deployment(ROOT / "traces" / spec["engines"])
    lines = read_trace(ROOT / "traces" / spec["trace"], deployment)
    return replay(lines, deployment, policy, entries=spec["entries"], seed=spec["seed"])


def find_violations(where, bounds, value_of):
    """Return a message for each figure that lies outside its bounds."""
    return [
        f"{where} {name}: {value_of(name)} is not within {low} to {high}"
        for name, (low, high) in bounds.items()
        if not low <= value_of(name) <= high
    ]


def test_traces_end_as_stated():
    check.assertGreaterEqual(len(EXPECTED), 2)
    violations = []
    for path in EXPECTED:
        spec = json.loads(path.read_text())
        figures = replay_trace(spec, "default")
        violations += find_violations(
            path.name, spec["default"], lambda name, figures=figures: getattr(figures, name)
        )
        for policy in ("least-loaded", "oracle"):
            other_figures = replay_trace(spec, policy)

            def ratio(name, figures=figures, other_figures=other_figures):
                return getattr(figures, name) / max(1e-9, getattr(other_figures, name))

            bounds = spec["to_" + policy.replace("-", "_")]
            violations += find_violations(f"{path.name} to {policy}", bounds, ratio)
    check.assertEqual(violations, [])
