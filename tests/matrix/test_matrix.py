"""Cells of the matrix as tests: every fault at one step of each path.

`make proofs` runs these and all the others, at every step and in pairs; a run of one module by
name, `python -m tests tests.matrix.every_cell`, gives every cell as a test.
"""

from tests.matrix.results import named_tests
from tests.matrix.table import CELLS, TELLING_STEPS
from tests.support import tests_of

globals().update(
    named_tests(
        {
            name: cell
            for name, cell in CELLS.items()
            if len(cell.faults) == 1 and (cell.step.path, cell.step.name) in TELLING_STEPS
        }
    )
)

load_tests = tests_of(globals())
