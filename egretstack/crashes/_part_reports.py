"""Strikes and proofs of parts that one instance reports to the home until it has them. No I/O."""

from collections import deque
from collections.abc import Callable, Collection

from egretstack.crashes._part_strikes import (
    PartStrike,
    StruckParts,
    part_strikes_row,
    proof_row,
)
from egretstack.crashes._part_table import RECENT_S
from egretstack.crashes._reports import REPEAT_PERIOD_S
from egretstack.ids import PartId

MAX_STRUCK_PARTS = 512
"""Maximum number of parts in the strikes of one report, some 20 bytes each."""
MAX_PROOFS_REPORTED = 64
PROOF_REPEAT_S = 1.0
"""How long a proof is repeated in each report."""
MAX_PROVEN_RUNS = 100_000


class PartReports:
    """The latest strikes, and the latest proofs of the parts that the home lists as suspects."""

    def __init__(self) -> None:
        self._strikes: deque[tuple[StruckParts, PartStrike]] = deque(maxlen=MAX_STRUCK_PARTS)
        self._proof_by_part: dict[PartId, tuple[float, float]] = {}
        """When the run of the latest proof of a part began, and when that was first reported."""
        self._proven_runs: deque[float] = deque(maxlen=MAX_PROVEN_RUNS)

    def record_strike(self, parts: StruckParts, strike: PartStrike) -> None:
        """Record that a runner ended as a run with these parts began."""
        self._strikes.append((parts, strike))

    def record_proven_run(self, now_s: float) -> None:
        """Record that a run proved its parts."""
        self._proven_runs.append(now_s)

    def proven_runs(self, now_s: float) -> int:
        """Return how many runs proved their parts lately."""
        while self._proven_runs and now_s - self._proven_runs[0] > RECENT_S:
            self._proven_runs.popleft()
        return len(self._proven_runs)

    def struck_parts(self, now_s: float) -> set[PartId]:
        """Return the parts with strikes that are reported now."""
        self._forget_strikes(now_s)
        return {part for parts, _ in self._strikes for part in (*parts.shared, parts.own)}

    def strike_rows(self, now_s: float, proven_s: Callable[[PartId], float | None]) -> list:
        """Return the rows of the latest strikes, as many as one report takes.

        Parts that were proven sound since, at the time that `proven_s` returns, are left out.
        """
        self._forget_strikes(now_s)
        rows, size = [], 0
        for struck, strike in reversed(self._strikes):
            shared = [part for part in struck.shared if _is_open(strike, proven_s(part))]
            parts = StruckParts(tuple(shared), struck.own)
            size += len(parts.shared) + 1
            if size > MAX_STRUCK_PARTS:
                break
            rows.append(part_strikes_row(parts, strike, now_s))
        return rows

    def proof_rows(self, now_s: float, began_s_by_part: dict[PartId, float]) -> list:
        """Return the rows of the proofs of suspect parts that the home may not have yet."""
        rows = []
        self._retain(began_s_by_part.keys())
        for part, began_s in began_s_by_part.items():
            known_s, since_s = self._proof_by_part.get(part, (None, now_s))
            if known_s != began_s:
                since_s = now_s
            if now_s - since_s > PROOF_REPEAT_S:
                continue
            self._proof_by_part[part] = began_s, since_s
            rows.append(proof_row(part, began_s, now_s))
            if len(rows) == MAX_PROOFS_REPORTED:
                break  # The others follow with the next reports.
        return rows

    def _forget_strikes(self, now_s: float) -> None:
        while self._strikes and now_s - self._strikes[0][1].ended_s > REPEAT_PERIOD_S:
            self._strikes.popleft()

    def _retain(self, parts: Collection[PartId]) -> None:
        for part in self._proof_by_part.keys() - parts:
            del self._proof_by_part[part]


def _is_open(strike: PartStrike, proven_s: float | None) -> bool:
    return proven_s is None or strike.sent_s > proven_s
