"""Every cell of the matrix as a test; its name hides it from discovery, because it takes long.

Run it with `python -m tests tests.matrix.every_cell`.
"""

from tests.matrix.results import make_tests
from tests.matrix.table import CELLS
from tests.support import tests_of

globals().update(make_tests(CELLS))

load_tests = tests_of(globals())
