"""Every cell of one fault as a test; `make proofs` runs the pairs of faults as well."""

from tests.matrix.cells import Cell
from tests.matrix.results import Results
from tests.matrix.table import CELLS
from tests.support import check, tests_of

SINGLE = {name: cell for name, cell in CELLS.items() if len(cell.faults) == 1}
RESULTS = Results(list(SINGLE))


def _test_of(cell: Cell):
    def test() -> None:
        verdict = RESULTS.of(cell)
        check.assertTrue(verdict.passed, str(verdict))

    return test


globals().update({name: _test_of(cell) for name, cell in SINGLE.items()})

load_tests = tests_of(globals())
