"""Runs many cells in a few worker processes, each cell independently and with the same seed."""

from collections.abc import Callable
from concurrent.futures import Future, ProcessPoolExecutor
from dataclasses import dataclass, field

from loguru import logger

from tests.matrix.cells import SEED, Cell, run_cell
from tests.matrix.points import Violation
from tests.matrix.table import CELLS
from tests.support import check

WORKERS = 3


@dataclass(frozen=True)
class Verdict:
    """The result of a cell without its history."""

    broken: tuple[Violation, ...] = ()
    other: tuple[str, ...] = ()

    @property
    def passed(self) -> bool:
        """Return whether the cell completed and broke no point."""
        return not self.broken and not self.other

    def __str__(self) -> str:
        lines = [f"{one.point.name}: {one.detail}" for one in self.broken]
        return "; ".join([*lines, *self.other])


def evaluate_cell(name: str, seed: int = SEED) -> Verdict:
    """Run a cell of the table; an exception that ends it becomes part of the verdict."""
    logger.remove()
    try:
        result = run_cell(CELLS[name], seed)
    except Exception as error:
        return Verdict(other=(f"the cell ended with {error!r}",))
    return Verdict(tuple(result.broken), tuple(result.other))


@dataclass
class Results:
    """Verdicts by name of cell; the first request for one starts all cells."""

    names: list[str]
    _pool: ProcessPoolExecutor | None = None
    _future_by_name: dict[str, Future[Verdict]] = field(default_factory=dict)

    def of(self, cell: Cell) -> Verdict:
        """Wait for the verdict of a cell and return it."""
        if self._pool is None:
            self._pool = ProcessPoolExecutor(WORKERS)
            self._future_by_name = {
                name: self._pool.submit(evaluate_cell, name) for name in self.names
            }
            self._pool.shutdown(wait=False)
        return self._future_by_name[cell.name].result()


def make_tests(cells: dict[str, Cell]) -> dict[str, Callable[[], None]]:
    """Return a test for each cell; they share the workers."""
    results = Results(list(cells))
    return {name: _make_test(cell, results) for name, cell in cells.items()}


def _make_test(cell: Cell, results: Results) -> Callable[[], None]:
    def test() -> None:
        verdict = results.of(cell)
        check.assertTrue(verdict.passed, str(verdict))

    return test
