"""Command that runs many seeds and prints the broken promises."""

import random
from pathlib import Path

from cyclopts import App

from tests.soak.scenario import run_seed

app = App(help="Play seeds of the fault soak.")


@app.default
def soak(*, seeds: int = 50, first: int | None = None, seconds: float = 15.0, keep: Path) -> None:
    """Play seeds one after another; logs of each that breaks a promise go to a folder.

    Parameters
    ----------
    seeds
        How many.
    first
        The first seed; drawn if not given, and printed.
    seconds
        How long faults come in each.
    keep
        Folder for the logs, and for what each seed observed of its processes.
    """
    start = random.SystemRandom().randrange(10**6) if first is None else first
    failed_count = 0
    for seed in range(start, start + seeds):
        outcome = run_seed(seed, seconds)
        print(f"seed {seed}: {outcome.checked} requests, {len(outcome.broken)} broken", flush=True)
        keep.mkdir(parents=True, exist_ok=True)
        (keep / f"seed-{seed}.observed").write_text("\n".join(outcome.observed))
        if outcome.broken:
            failed_count += 1
            text = "\n".join((*outcome.broken, *outcome.logs))
            (keep / f"seed-{seed}.log").write_text(text)
            print("\n".join(outcome.broken[:5]), flush=True)
    print(f"{seeds - failed_count} passed, {failed_count} failed")


app()
