#!/usr/bin/env python3
"""Measures the policies on generated traces and prints one JSON line per figure.

Each figure is the mean over the seeds, for one site and load, with the ratio to the best baseline
for that figure, to the baseline that finishes most value, and to the oracle. `--ablations` instead
disables each feature of the default policy in turn and prints the figures without it.
"""

import json
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Annotated

from cyclopts import App, Parameter
from make_trace import SITES, make

from egretstack.policy import DEFAULT_POLICY, ORACLE, POLICIES, Feature
from egretstack.replay import read_deployment, read_trace, replay

HELD_OUT_SEEDS = (11, 12, 13)
"""Seeds that were not used to tune any constant."""
LOADS = (1.0, 1.4)
SECONDS = 300.0
ENTRIES = 6
FIGURES = {
    "value_share": max,
    "token_share": max,
    "stall_total_s": min,
    "stall_p95_s": min,
    "stall_worst_s": min,
    "preemptions": min,
    "evictions": min,
    "gap_p50_s": min,
    "gap_p95_s": min,
    "gap_p99_s": min,
    "first_token_p95_s": min,
    "finished": max,
    "refused": min,
    "given_up": min,
    "lost": min,
}
"""Figures, each with the function that selects the better of two values."""

app = App(help="Measure the policies against baselines and an oracle.")


@dataclass(frozen=True)
class Job:
    """One replay."""

    folder: Path
    site: str
    load: float
    seed: int
    policy: str
    disabled_features: tuple[Feature, ...] = ()
    seconds: float = SECONDS

    def run(self) -> dict[str, float]:
        """Replay the trace and return the figures."""
        suffix = f"-{self.seconds:g}s"
        deployment = read_deployment(self.folder / f"{self.site}{suffix}.ini")
        name = f"{self.site}-{self.load:g}-{self.seed}{suffix}.jsonl"
        lines = read_trace(self.folder / name, deployment)
        figures = replay(
            lines,
            deployment,
            self.policy,
            entries=ENTRIES,
            seed=self.seed,
            disabled_features=self.disabled_features,
        )
        return asdict(figures)


@app.default
def measure(
    *,
    ablations: bool = False,
    seeds: tuple[int, ...] = HELD_OUT_SEEDS,
    loads: tuple[float, ...] = LOADS,
    seconds: float = SECONDS,
    workers: Annotated[int, Parameter(name="--workers")] = 2,
) -> None:
    """Make the traces, replay them and print the figures.

    Parameters
    ----------
    ablations
        Take each part of the default policy out instead of comparing policies.
    seeds
        Seeds of the traces.
    loads
        Offered tokens as parts of what the engines can generate.
    seconds
        Length of a compressed day.
    workers
        Replays at a time, each in a process of its own.
    """
    with TemporaryDirectory() as name:
        folder = Path(name)
        for site in SITES:
            for load in loads:
                for seed in seeds:
                    make(site, load, seed, seconds=seconds, folder=folder)
        variants = _ablation_variants() if ablations else [(one, ()) for one in (*POLICIES, ORACLE)]
        groups = [(site, load) for site in SITES for load in loads]
        jobs = [
            Job(folder, site, load, seed, policy, left_out, seconds)
            for site, load in groups
            for policy, left_out in variants
            for seed in seeds
        ]
        with ProcessPoolExecutor(workers) as pool:
            results = dict(zip(jobs, pool.map(Job.run, jobs), strict=True))
    for site, load in groups:
        means = {
            (policy, left_out): _mean(
                [results[Job(folder, site, load, s, policy, left_out, seconds)] for s in seeds]
            )
            for policy, left_out in variants
        }
        _print_ablations(site, load, means) if ablations else _print_comparison(site, load, means)


def _ablation_variants() -> list[tuple[str, tuple[Feature, ...]]]:
    return [(DEFAULT_POLICY, ())] + [(DEFAULT_POLICY, (part,)) for part in Feature]


def _mean(rows: list[dict[str, float]]) -> dict[str, float]:
    return {name: sum(row[name] for row in rows) / len(rows) for name in FIGURES}


def _print_comparison(site: str, load: float, means: dict) -> None:
    baselines = {
        policy: figures
        for (policy, _), figures in means.items()
        if policy not in (DEFAULT_POLICY, ORACLE)
    }
    best_by_value = max(baselines, key=lambda policy: baselines[policy]["value_share"])
    own = means[DEFAULT_POLICY, ()]
    oracle = means[ORACLE, ()]
    for name, better in FIGURES.items():
        best = better(figures[name] for figures in baselines.values())
        line = {
            "figure": name,
            "site": site,
            "load": load,
            "by_policy": {
                policy: round(figures[name], 4) for (policy, _), figures in means.items()
            },
            "to_best_baseline": _ratio(own[name], best),
            "to_richest_baseline": _ratio(own[name], baselines[best_by_value][name]),
            "richest_baseline": best_by_value,
            "to_oracle": _ratio(own[name], oracle[name]),
        }
        print(json.dumps(line), flush=True)


def _print_ablations(site: str, load: float, means: dict) -> None:
    for (_, disabled_features), figures in means.items():
        line = {
            "site": site,
            "load": load,
            "without": [part.value for part in disabled_features],
            **{name: round(value, 4) for name, value in figures.items()},
        }
        print(json.dumps(line), flush=True)


def _ratio(own: float, other: float) -> float | None:
    return round(own / other, 3) if other else None


if __name__ == "__main__":
    print(f"seeds held apart: {HELD_OUT_SEEDS}", file=sys.stderr)
    app()
