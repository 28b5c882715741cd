"""Generations that wait at the home for room, in the order in which they go."""

from collections.abc import Iterator
from dataclasses import dataclass

from egretstack.placing._run import Work
from egretstack.routing import EnginePlan

FORGET_S = 0.8
"""How long a work waits after its last question; it asks again several times in that time."""
MAX_WAITING = 4096


@dataclass(slots=True)
class Waiting:
    """One work that waits."""

    work: Work
    engine: EnginePlan
    order: tuple[int, float]
    """Rank, then the time of the first question."""
    in_time_until_s: float
    """When its first token is late."""
    asked_s: float


class WaitList:
    """Works by attempt."""

    def __init__(self) -> None:
        self._by_attempt: dict[str, Waiting] = {}

    def __len__(self) -> int:
        return len(self._by_attempt)

    def ask(self, now_s: float, work: Work, engine: EnginePlan) -> None:
        """Note a work that asks for room, for the first time or again."""
        known = self._by_attempt.get(work.attempt)
        if known is not None:
            known.work, known.asked_s = work, now_s
        elif len(self._by_attempt) < MAX_WAITING:
            self._by_attempt[work.attempt] = Waiting(
                work, engine, (work.rank, now_s), now_s + work.patience_s, now_s
            )

    def drop(self, attempt: str) -> None:
        """Take a work out: it has a place, or nobody waits for one any more."""
        self._by_attempt.pop(attempt, None)

    def in_order(self, now_s: float) -> Iterator[Waiting]:
        """Give the works that still wait, the first to go first."""
        for attempt in [
            one for one, it in self._by_attempt.items() if now_s - it.asked_s > FORGET_S
        ]:
            del self._by_attempt[attempt]
        yield from sorted(self._by_attempt.values(), key=lambda one: one.order)

    def prompt_tokens(self) -> float:
        """Give the prompts of all that wait, together."""
        return sum(one.work.prompt_tokens for one in self._by_attempt.values())
