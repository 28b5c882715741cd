#!/usr/bin/env python3
"""Measures the calibration of the length model; prints one JSON line per figure.

On each trace the model learns from the sessions in the order in which they end. Before each session
begins, and whenever it passes one of a few lengths, the model's quantiles are recorded; they are
compared with the actual length of the session.
"""

import json
import random

from make_trace import DAY_S, SITES, draw_requests

from egretstack.ids import AccountId, ModelName, ServiceName
from egretstack.lengths import LengthKey, LengthModel

SEEDS = (11, 12, 13)
QUANTILES = (0.5, 0.9, 0.99)
GENERATED_TOKENS = (0, 128, 1024)
STEP_S = 0.025


def main() -> None:
    """Print the share of sessions whose length was within each quantile."""
    for site, spec in SITES.items():
        for period in ("before noon", "after noon"):
            rows = [row for seed in SEEDS for row in _replay_quantiles(spec, seed, period)]
            for share in QUANTILES:
                for passed in GENERATED_TOKENS:
                    held = [one for s, p, one in rows if s == share and p == passed]
                    line = {
                        "figure": "length_quantile_holds",
                        "site": site,
                        "sessions": period,
                        "quantile": share,
                        "generated": passed,
                        "count": len(held),
                        "held": round(sum(held) / len(held), 3),
                    }
                    print(json.dumps(line))


def _replay_quantiles(spec, seed: int, period: str) -> list[tuple[float, int, bool]]:
    lines = draw_requests(spec, 1.0, DAY_S, random.Random(f"lengths-{seed}"))
    model = LengthModel()
    events = []
    for number, line in enumerate(lines):
        length = line["output_tokens"]
        for passed in GENERATED_TOKENS:
            if length > passed:
                events.append((line["at_s"] + passed * STEP_S, 0, number, passed))
        events.append((line["at_s"] + length * STEP_S, 1, number, length))
    recorded_tokens = dict.fromkeys(range(len(lines)), 0)
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
            model.record_finished(key, recorded_tokens[number], tokens)
            continue
        model.record_progress(key, recorded_tokens[number], tokens)
        recorded_tokens[number] = tokens
        if (line["at_s"] >= DAY_S / 2) == (period == "after noon"):
            curve = model.curve(key)
            for share in QUANTILES:
                held = line["output_tokens"] <= curve.quantile(share, tokens)
                rows.append((share, tokens, held))
    return rows


if __name__ == "__main__":
    main()
