"""Plays days on several sites, keeps what broke, and compares two rounds.

    python scripts/hunt_days.py play OUT --player PROGRAM --site FILE... --day FILE_OR_NAME...
    python scripts/hunt_days.py compare OUT_BEFORE OUT_AFTER

`play` starts the player once for each site, day and seed, a few at a time, and reads only what it
prints. OUT gets each output, and `findings.jsonl` with one row a play. `compare` sets two such
folders side by side.
"""

import json
import re
import statistics
import subprocess
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass
from pathlib import Path

from cyclopts import App

app = App(help=__doc__)

_SUMMARY = re.compile(r"^(\S+)(?: --seed \d+)?\s+\d+/\d+\s+([\d.-]+)\s+([\d.-]+)\s+(.*)$")
_BROKEN = re.compile(r"BROKEN: (.*?)(?: \(else|$)")
FAULT_WORDS = ("FAULT", "fault:", "a fault", "took too long", "ended by itself")


@dataclass
class Finding:
    """The result of one play."""

    site: str
    day: str
    seed: int | None
    worth: float | None
    broken: str
    log: str


@app.command
def play(
    out: Path,
    *,
    player: Path,
    site: list[Path],
    day: list[str],
    seeds: int = 1,
    jobs: int = 4,
    why: str = "days of our own",
    log: bool = False,
) -> None:
    """Play every day on every site with so many seeds; the first is the day's own.

    Parameters
    ----------
    out
        Folder for the outputs.
    player
        Program that plays a day.
    site
        Site files.
    day
        Names of days, or files with a day of our own.
    seeds
        Plays of each day.
    jobs
        Plays at a time.
    why
        Line for the journal.
    log
        Keep what the processes write too.
    """
    out.mkdir(parents=True, exist_ok=True)
    tasks = [
        (one, which, None if number == 0 else 1_000_003 * number)
        for one in site
        for which in day
        for number in range(seeds)
    ]

    def run(task: tuple[Path, str, int | None]) -> Finding:
        return _run_player(out, player, *task, why=why, log=log)

    with ThreadPoolExecutor(jobs) as pool:
        findings = list(pool.map(run, tasks))
    rows = [json.dumps(asdict(finding)) for finding in findings]
    (out / "findings.jsonl").write_text("\n".join(rows) + "\n")
    _print_findings(findings)


@app.command
def compare(before: Path, after: Path) -> None:
    """Show worth and broken rules of two rounds side by side."""
    finding_by_play = {(one.site, one.day, one.seed): one for one in _read_findings(before)}
    gains = []
    for new in _read_findings(after):
        old = finding_by_play.get((new.site, new.day, new.seed))
        if old is None or old.worth is None or new.worth is None:
            continue
        gains.append(new.worth - old.worth)
        if old.broken or new.broken or abs(gains[-1]) >= 0.03:
            print(
                f"{new.site} {new.day} {new.seed}: {old.worth:.3f} -> {new.worth:.3f}",
                end="",
            )
            print(f"  broken: {old.broken or '-'} -> {new.broken or '-'}")
    if gains:
        print(
            f"{len(gains)} plays, mean gain {statistics.mean(gains):+.4f}{_format_interval(gains)}"
        )


def _format_interval(differences: list[float]) -> str:
    """Format the half-width of the 95 % confidence interval of a mean of paired differences."""
    if len(differences) < 2:
        return ""
    error = statistics.stdev(differences) / len(differences) ** 0.5
    return f" (95%: {statistics.NormalDist().inv_cdf(0.975) * error:.4f} either way)"


def _run_player(
    out: Path, player: Path, site: Path, day: str, seed: int | None, *, why: str, log: bool
) -> Finding:
    command = [str(player), "run", str(site), day, "--no-cpu", "--why", why]
    if seed is not None:
        command += ["--seed", str(seed)]
    if log:
        command += ["--log", "all"]
    completed = subprocess.run(command, capture_output=True, text=True, check=False)
    path = out / f"{site.stem}.{Path(day).stem}.{seed or 0}.log"
    path.write_text(completed.stdout + completed.stderr)
    return _parse_finding(site.stem, Path(day).stem, seed, completed.stdout, path)


def _parse_finding(site: str, day: str, seed: int | None, text: str, path: Path) -> Finding:
    worth, broken = None, ""
    for line in text.splitlines():
        found = _SUMMARY.match(line)
        if found and worth is None:
            worth = float(found[3])
            rules = _BROKEN.search(line)
            broken = rules[1] if rules else ""
            broken = broken or next((word for word in FAULT_WORDS if word in line), "")
    return Finding(
        site, day, seed, worth, broken or ("" if worth is not None else "no result"), str(path.name)
    )


def _read_findings(folder: Path) -> list[Finding]:
    lines = (folder / "findings.jsonl").read_text().splitlines()
    return [Finding(**json.loads(line)) for line in lines]


def _print_findings(findings: list[Finding]) -> None:
    by_rule: dict[str, list[Finding]] = {}
    for finding in findings:
        if finding.broken:
            by_rule.setdefault(finding.broken.split()[0], []).append(finding)
    for rule, found in sorted(by_rule.items()):
        print(f"{rule}:")
        for one in found:
            print(f"  {one.site} {one.day} {one.seed or ''}: {one.broken} ({one.log})")
    worths = [one.worth for one in findings if one.worth is not None]
    mean = statistics.mean(worths) if worths else 0.0
    print(f"{len(findings)} plays, {sum(map(len, by_rule.values()))} broken, worth {mean:.3f}")


if __name__ == "__main__":
    app()
