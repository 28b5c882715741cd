"""Every cell of the matrix as a test; not found by discovery, for the time that it takes.

Run it with `python -m tests tests.matrix.every_cell`.
"""

from tests.matrix.results import named_tests
from tests.matrix.table import CELLS
from tests.support import tests_of

globals().update(named_tests(CELLS))

load_tests = tests_of(globals())
