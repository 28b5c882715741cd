"""The table of cells: every fault at every step, pairs of faults, and cells that cannot occur."""

from itertools import combinations

from tests.matrix.cells import Cell
from tests.matrix.faults import FAULT_BY_NAME
from tests.matrix.history import Path
from tests.matrix.paths import STEPS

DEFAULT_RUN_STEPS = (
    (Path.SESSION, "mid_stream"),
    (Path.CALL, "dispatch"),
    (Path.CHANGE, "head_update"),
    (Path.ORDER, "order_sent"),
    (Path.DRAIN, "in_progress"),
)
"""One step of each path, at which the default test run injects every fault."""

PAIR_STEPS = ((Path.SESSION, "mid_stream"), (Path.CALL, "dispatch"))
"""The steps at which every two faults are injected together."""

CANNOT_OCCUR: dict[str, str] = {}
"""By name of cell: why the fault cannot occur at that step."""

NOT_PROVED: dict[str, str] = {}
"""By name of cell: why the cell is not run although it can occur."""


def _single() -> list[Cell]:
    return [Cell(step, (fault,)) for step in STEPS for fault in FAULT_BY_NAME]


def _pairs() -> list[Cell]:
    steps = [step for step in STEPS if (step.path, step.name) in PAIR_STEPS]
    return [Cell(step, pair) for step in steps for pair in combinations(FAULT_BY_NAME, 2)]


CELLS: dict[str, Cell] = {cell.name: cell for cell in _single() + _pairs()}
