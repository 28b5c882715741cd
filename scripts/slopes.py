"""Runs every `scripts/slopes_*.py` and stores their output in `docs/capacity-slopes.jsonl`.

Each script prints JSON lines; this one adds the name of the script to each. With names as
arguments, such as `ledger path`, it runs only those and leaves the lines of the others unchanged.
The scripts run one after the other, so that they do not compete for the processor.
"""

import json
import os
import subprocess
import sys
import threading
from pathlib import Path

SCRIPTS = Path(__file__).parent
ROOT = SCRIPTS.parent
SLOPES_FILE = ROOT / "docs" / "capacity-slopes.jsonl"
PREFIX = "slopes_"
TIMEOUT_S = 600.0


def main() -> int:
    """Run the scripts and return the exit code: 1 if any failed."""
    names = sys.argv[1:] or _known_names()
    new_rows: dict[str, list[dict]] = {}
    failed = []
    for name in names:
        rows, succeeded = _run_script(name)
        if not succeeded:
            failed.append(name)
        if rows:
            new_rows[PREFIX + name] = rows
    rows_by_script = _read_stored_rows() | new_rows
    scripts = {PREFIX + name for name in _known_names()}
    lines = [
        json.dumps(row)
        for script, rows in sorted(rows_by_script.items())
        if script in scripts
        for row in rows
    ]
    SLOPES_FILE.write_text("\n".join(lines) + "\n")
    if failed:
        print(f"failed or cut short: {', '.join(failed)}", file=sys.stderr)
    return 1 if failed else 0


def _known_names() -> list[str]:
    return sorted(path.stem.removeprefix(PREFIX) for path in SCRIPTS.glob(f"{PREFIX}*.py"))


def _read_stored_rows() -> dict[str, list[dict]]:
    rows_by_script: dict[str, list[dict]] = {}
    if SLOPES_FILE.exists():
        for line in SLOPES_FILE.read_text().splitlines():
            row = json.loads(line)
            rows_by_script.setdefault(row["script"], []).append(row)
    return rows_by_script


def _run_script(name: str) -> tuple[list[dict], bool]:
    """Run one script, echoing its lines; return its rows and whether it succeeded."""
    environment = os.environ | {"PYTHONPATH": str(ROOT), "PYTHONUNBUFFERED": "1"}
    command = [sys.executable, str(SCRIPTS / f"{PREFIX}{name}.py")]
    rows = []
    with subprocess.Popen(
        command, cwd=ROOT, env=environment, stdout=subprocess.PIPE, text=True
    ) as process:
        timer = threading.Timer(TIMEOUT_S, process.kill)
        timer.start()
        for line in process.stdout:
            if line.startswith("{"):
                rows.append({"script": PREFIX + name} | json.loads(line))
                print(line, end="", flush=True)
        timer.cancel()
    return rows, process.returncode == 0


if __name__ == "__main__":
    sys.exit(main())
