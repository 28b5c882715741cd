"""What to do when the stream of a generation fails: ask, resume, run again, or say it is lost."""

from dataclasses import dataclass
from enum import Enum


class Failure(Enum):
    """How a stream failed."""

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    BROKEN = "broken"
    SILENT = "silent"
    GAP = "gap"
    FOREIGN = "foreign"
    GONE = "gone"
    FAILED = "failed"


class Step(Enum):
    """The next step of a session whose stream failed."""

    RESUME = "resume"
    """Ask the same engine over a new connection, from the cursor."""
    RERUN = "rerun"
    """Start another generation; nothing of the first was delivered."""
    LOST = "lost"
    """Tell the caller now that the generation was lost, and how much was delivered."""
    REFUSE = "refuse"
    """Tell the caller now that nothing ran to an end, and when to come back."""


@dataclass(frozen=True)
class RecoveryBudget:
    """Bounds on recovery. Delays are in seconds."""

    resumes: int = 6
    reruns: int = 3
    first_delay_s: float = 0.05
    delay_growth: float = 2.0
    longest_delay_s: float = 1.0


class Recovery:
    """Decides the step after each failure of one session, within one budget.

    The budget belongs to the request and not to a layer, so that attempts do not multiply.
    """

    def __init__(self, budget: RecoveryBudget) -> None:
        self._budget = budget
        self._resumes = 0
        self._reruns = 0

    def decide(self, failure: Failure, *, bound: bool, delivered: int) -> Step:
        """Choose the next step.

        `bound` tells whether an engine accepted a generation, `delivered` how many events of
        it the caller may have seen.
        """
        if bound and failure not in (Failure.GONE, Failure.FAILED):
            self._resumes += 1
            if self._resumes <= self._budget.resumes:
                return Step.RESUME
        if delivered:
            return Step.LOST
        self._reruns += 1
        self._resumes = 0
        return Step.RERUN if self._reruns <= self._budget.reruns else Step.REFUSE

    def progressed(self) -> None:
        """Note a delivered event: the connection works again."""
        self._resumes = 0

    def delay_s(self) -> float:
        """Give the wait before the next step, in seconds."""
        tries = max(0, self._resumes - 1)
        delay = self._budget.first_delay_s * self._budget.delay_growth**tries
        return min(delay, self._budget.longest_delay_s) if self._resumes > 1 else 0.0
