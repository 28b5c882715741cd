"""Replays of the committed traces stay within the outcomes stated in expected/."""

import json
from pathlib import Path

from egretstack.replay import read_deployment, read_trace, replay
from tests.support import check, tests_of

load_tests = tests_of(globals())

ROOT = Path(__file__).parent.parent
EXPECTED = sorted((ROOT / "expected").glob("*.json"))


def replayed(stated, policy):
    site = read_deployment(ROOT / "traces" / stated["engines"])
    lines = read_trace(ROOT / "traces" / stated["trace"], site)
    return replay(lines, site, policy, entries=stated["entries"], seed=stated["seed"])


def outside(where, bounds, value_of):
    """Give the figures that lie outside their bounds, in words."""
    return [
        f"{where} {name}: {value_of(name)} is not within {low} to {high}"
        for name, (low, high) in bounds.items()
        if not low <= value_of(name) <= high
    ]


def test_traces_end_as_stated():
    check.assertGreaterEqual(len(EXPECTED), 2)
    faults = []
    for path in EXPECTED:
        stated = json.loads(path.read_text())
        own = replayed(stated, "default")
        faults += outside(path.name, stated["default"], lambda name, own=own: getattr(own, name))
        for policy in ("least-loaded", "oracle"):
            other = replayed(stated, policy)

            def ratio(name, own=own, other=other):
                return getattr(own, name) / max(1e-9, getattr(other, name))

            bounds = stated["to_" + policy.replace("-", "_")]
            faults += outside(f"{path.name} to {policy}", bounds, ratio)
    check.assertEqual(faults, [])
