"""What runners say of how many requests a second they take, as one instance knows it; pure.

A runner names its limit in each of its answers, and takes it back by an answer without one. Answers
reach different instances, and pass each other on different connections.
"""

from collections.abc import Container
from dataclasses import dataclass

from egretstack.ids import RunnerId


@dataclass(frozen=True, slots=True)
class _Word:
    per_s: float | None
    said_s: float


class RunnerLimits:
    """The latest word of each runner that named a limit."""

    def __init__(self) -> None:
        self._word_by_id: dict[RunnerId, _Word] = {}

    def heard(self, now_s: float, runner_id: RunnerId, per_s: float | None, sent_s: float) -> bool:
        """Take what an answer says, whose request went out at `sent_s`; tell whether it is news.

        An answer without a limit may have been on its way when the runner named one. It counts if
        its request was sent later.
        """
        known = self._word_by_id.get(runner_id)
        if per_s is None and (known is None or sent_s <= known.said_s):
            return False
        self._word_by_id[runner_id] = _Word(per_s, now_s)
        return known is None or known.per_s != per_s

    def per_s(self, runner_id: RunnerId) -> float | None:
        """Give how many requests a second a runner takes; None if it names no limit."""
        word = self._word_by_id.get(runner_id)
        return None if word is None else word.per_s

    def limited(self) -> dict[RunnerId, float]:
        """Give the limits of the runners that name one."""
        words = self._word_by_id.items()
        return {one: word.per_s for one, word in words if word.per_s is not None}

    def forget(self, kept: Container[RunnerId]) -> None:
        """Forget runners that are not among those kept."""
        for gone in [one for one in self._word_by_id if one not in kept]:
            del self._word_by_id[gone]
