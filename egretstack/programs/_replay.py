"""`egretctl replay`: replays a recorded trace under each policy and prints the figures."""

import json
from dataclasses import asdict, fields
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter

from egretstack.errors import UserError
from egretstack.programs._running import run_or_exit
from egretstack.replay import (
    ALL_POLICIES,
    Figures,
    read_deployment,
    read_trace,
    replay,
    resolve_policy_names,
)

MAX_ENTRIES = 1000
DEFAULT_ENTRIES = 6


def add_replay_command(app: App) -> None:
    """Add the command to `egretctl`."""
    app.command(_replay, name="replay")


def _replay(
    trace: Path,
    *,
    engines: Path,
    entries: int = DEFAULT_ENTRIES,
    policy: str = ALL_POLICIES,
    seed: int = 1,
    json_output: Annotated[bool, Parameter(name="--json")] = False,
) -> None:
    """Replay a trace through the policies; the same seed gives the same output.

    Parameters
    ----------
    trace
        One JSON object a line: at_s, account, service, model, prompt_tokens, output_tokens,
        prefix, value, stream.
    engines
        INI file of the engines and of what contracts promise.
    entries
        Entry instances; each decides from its own sends and from late reports.
    policy
        Name of a policy, or all; the oracle, which knows each length, comes last.
    seed
        Seed of every random choice.
    json_output
        Print one JSON object a policy.
    """
    run_or_exit(lambda: _print_replays(trace, engines, entries, policy, seed, json_output))


def _print_replays(
    trace: Path, engines: Path, entries: int, policy: str, seed: int, as_json: bool
) -> None:
    if not 1 <= entries <= MAX_ENTRIES:
        raise UserError(f"--entries {entries}: allowed: 1 to {MAX_ENTRIES}")
    deployment = read_deployment(engines)
    lines = read_trace(trace, deployment)
    all_figures = []
    for name in resolve_policy_names(policy):
        all_figures.append(replay(lines, deployment, name, entries=entries, seed=seed))
        if as_json:
            print(json.dumps(asdict(all_figures[-1])))
    if not as_json:
        print(_format_table(all_figures))


def _format_table(all_figures: list[Figures]) -> str:
    """Format the figures as a table with a row for each figure and a column for each policy."""
    rows = []
    for field in fields(Figures):
        cells = [str(getattr(figures, field.name)) for figures in all_figures]
        rows.append(f"{field.name:20}" + "".join(f"{cell:>14}" for cell in cells))
    return "\n".join(rows)
