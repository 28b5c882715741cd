"""Cells of the matrix as tests: every fault at one step of each path.

`make proofs` runs all cells, with faults at every step and in pairs;
`python -m tests tests.matrix.every_cell` runs every cell as a test.
"""

from tests.matrix.results import make_tests
from tests.matrix.table import CELLS, DEFAULT_RUN_STEPS
from tests.support import tests_of

globals().update(
    make_tests(
        {
            name: cell
            for name, cell in CELLS.items()
            if len(cell.faults) == 1 and (cell.step.path, cell.step.name) in DEFAULT_RUN_STEPS
        }
    )
)

load_tests = tests_of(globals())
