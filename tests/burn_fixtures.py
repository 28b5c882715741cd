"""Saved metrics of entries, written by the product's own registry at given times."""

import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from prometheus_client import generate_latest

from egretstack.ids import AccountId
from egretstack.metrics import AccountLevels, LevelTargets, Metrics

TARGETS = LevelTargets(0.63, 0.072, 0.95)
ACME = AccountId("acme")


class Entry:
    """An entry with a settable clock; `save` writes what its operator port would answer."""

    def __init__(
        self, directory: Path, name: str = "entry-a", started_s: float = 1_000_000.0
    ) -> None:
        self._directory = directory
        self.name = name
        self.now_s = started_s
        self.metrics = Metrics(name, lambda: self.now_s)

    def levels(self, account: AccountId = ACME) -> AccountLevels:
        """Return the service-level counts of an account."""
        return self.metrics.levels.for_account(account, TARGETS)

    def save(self, at_s: float) -> Path:
        """Save the metrics at a time; return the file."""
        self.now_s = at_s
        path = self._directory / f"{self.name}-{at_s:.0f}-{id(self)}.prom"
        path.write_bytes(generate_latest(self.metrics.registry))
        return path


@contextmanager
def saved_files() -> Iterator[Path]:
    """Yield a temporary directory that is removed after the block."""
    with tempfile.TemporaryDirectory() as directory:
        yield Path(directory)
