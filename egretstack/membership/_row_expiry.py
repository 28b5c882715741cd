"""Removes rows of subjects that are neither listed nor live, some time after nobody needs them."""

from dataclasses import dataclass, field

from egretstack.membership._rows import (
    NO_EXPIRY,
    InstanceRow,
    InstanceState,
    ListedRow,
    Row,
    RunnerNotice,
)
from egretstack.membership._table import Key, Table

RETENTION_S = 900.0
"""How long such rows are kept, so that no late message restores what they state the end of."""
SWEEP_INTERVAL_S = 30.0


@dataclass
class RowExpiry:
    """Sweeps a table now and then; times are seconds on the runtime's clock."""

    swept_s: float
    _obsolete_since_s: dict[Key, float] = field(default_factory=dict)

    def sweep(self, now_s: float, epoch_ms: int, table: Table, listed_ids: set[str]) -> bool:
        """Sweep if it is time; return whether a row was removed."""
        if now_s - self.swept_s < SWEEP_INTERVAL_S:
            return False
        self.swept_s = now_s
        obsolete = {row.key for row in table.rows() if _is_obsolete(row, listed_ids)}
        since_s = {key: self._obsolete_since_s.get(key, now_s) for key in obsolete}
        expired = {key for key in obsolete if now_s - since_s[key] >= RETENTION_S}
        expired |= {row.key for row in table.rows() if _is_expired_notice(row, epoch_ms)}
        for key in expired:
            table.remove(key)
        self._obsolete_since_s = {key: since_s[key] for key in obsolete - expired}
        return bool(expired)


def _is_expired_notice(row: Row, epoch_ms: int) -> bool:
    return isinstance(row, RunnerNotice) and row.until != NO_EXPIRY and row.until <= epoch_ms


def _is_obsolete(row: Row, listed_ids: set[str]) -> bool:
    if isinstance(row, ListedRow):
        return row.state is None
    if isinstance(row, InstanceRow):
        return row.state is InstanceState.GONE and row.member.id not in listed_ids
    return not row.leaving or row.runner not in listed_ids
