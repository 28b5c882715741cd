#!/usr/bin/env python3
"""Measures the calibration of the length model; prints one JSON line a figure.

On each trace the model learns from the sessions in the order in which they end, and before each
begins, and when it has passed a length, the quantile is asked for and later compared.
"""

import json
import random

from make_trace import DAY_S, SITES, draw

from egretstack.ids import AccountId, ModelName, ServiceName
from egretstack.lengths import LengthKey, LengthModel

SEEDS = (11, 12, 13)
SHARES = (0.5, 0.9, 0.99)
PASSED = (0, 128, 1024)
STEP_S = 0.025


def main() -> None:
    """Print the share of sessions that each quantile held."""
    for site, spec in SITES.items():
        for drift in ("before noon", "after noon"):
            asked = [row for seed in SEEDS for row in _asked(spec, seed, drift)]
            for share in SHARES:
                for passed in PASSED:
                    held = [one for s, p, one in asked if s == share and p == passed]
                    line = {
                        "figure": "length_quantile_holds",
                        "site": site,
                        "sessions": drift,
                        "quantile": share,
                        "generated": passed,
                        "count": len(held),
                        "held": round(sum(held) / len(held), 3),
                    }
                    print(json.dumps(line))


def _asked(spec, seed: int, drift: str) -> list[tuple[float, int, bool]]:
    lines = draw(spec, 1.0, DAY_S, random.Random(f"lengths-{seed}"))
    model = LengthModel()
    events = []
    for number, line in enumerate(lines):
        length = line["output_tokens"]
        for passed in PASSED:
            if length > passed:
                events.append((line["at_s"] + passed * STEP_S, 0, number, passed))
        events.append((line["at_s"] + length * STEP_S, 1, number, length))
    seen = dict.fromkeys(range(len(lines)), 0)
    rows = []
    for _, ended, number, tokens in sorted(events):
        line = lines[number]
        key = LengthKey(
            ServiceName(line["service"]),
            ModelName(line["model"]),
            AccountId(line["account"]),
            line["prefix"],
        )
        if ended:
            model.record_finished(key, seen[number], tokens)
            continue
        model.record_progress(key, seen[number], tokens)
        seen[number] = tokens
        if (line["at_s"] >= DAY_S / 2) == (drift == "after noon"):
            curve = model.curve(key)
            for share in SHARES:
                held = line["output_tokens"] <= curve.quantile(share, tokens)
                rows.append((share, tokens, held))
    return rows


if __name__ == "__main__":
    main()
