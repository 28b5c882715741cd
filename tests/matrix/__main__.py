"""`python -m tests.matrix`: runs every cell and prints the results for each point.

Prints a line with the cause for each cell that failed or was not run; then, for each point,
`point cells passed failed not-run`; then the same as one line of JSON. With arguments, runs only
the cells whose names contain one of them. The exit code is 1 if a cell failed that
KNOWN-RED.txt does not name.
"""

import json
import sys
from dataclasses import asdict, dataclass
from pathlib import Path

from tests.matrix.cells import SEED
from tests.matrix.points import Point
from tests.matrix.results import Results, Verdict
from tests.matrix.table import CANNOT_OCCUR, CELLS, NOT_PROVED

KNOWN_RED = Path(__file__).parent.parent.parent / "KNOWN-RED.txt"
TEST_MODULE = "tests.matrix.test_matrix"


@dataclass
class PointCount:
    """The counts of cells for one point."""

    point: str
    cells: int = 0
    passed: int = 0
    failed: int = 0
    not_run: int = 0


def main(filters: list[str]) -> int:
    """Run the cells, print the results, and return the exit code."""
    names = [name for name in CELLS if not filters or any(part in name for part in filters)]
    not_run = {} if filters else CANNOT_OCCUR | NOT_PROVED
    results = Results(names)
    verdicts = {name: results.of(CELLS[name]) for name in names}
    print(f"seed {SEED}")
    for name, verdict in verdicts.items():
        if not verdict.passed:
            print(f"failed {name}: {verdict}")
    for name, reason in not_run.items():
        print(f"not run {name}: {reason}")
    lines = [_count_point(point, verdicts, len(not_run)) for point in Point]
    print("point cells passed failed not-run")
    for line in lines:
        print(f"{line.point} {line.cells} {line.passed} {line.failed} {line.not_run}")
    rows = [{key.replace("_", "-"): value for key, value in asdict(line).items()} for line in lines]
    print(json.dumps({"seed": SEED, "points": rows}))
    failed = {name for name, verdict in verdicts.items() if not verdict.passed}
    return 1 if failed - _known_red() else 0


def _count_point(point: Point, verdicts: dict[str, Verdict], not_run: int) -> PointCount:
    """Count a cell as failed for each point that it broke, or for all if it failed otherwise."""
    failed = 0
    for verdict in verdicts.values():
        broke = any(one.point is point for one in verdict.broken)
        failed += bool(broke or verdict.other)
    ran = len(verdicts)
    return PointCount(point.name.lower(), ran + not_run, ran - failed, failed, not_run)


def _known_red() -> set[str]:
    if not KNOWN_RED.exists():
        return set()
    names = [line.partition(":")[0].strip() for line in KNOWN_RED.read_text().splitlines()]
    return {name.removeprefix(f"{TEST_MODULE}.") for name in names if name}


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
