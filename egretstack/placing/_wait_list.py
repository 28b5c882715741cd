"""Generations that wait at the home for room, in the order in which they go.

What can still be in time goes first. A caller that was refused and comes back is late from its
first attempt on; served before those that are in time, it makes the next one late, and on engines
that stay full nobody is in time any more.
"""

from collections.abc import Collection, Iterator
from dataclasses import dataclass

from egretstack.placing._run import GenerationRequest
from egretstack.routing import EngineConfig

FORGET_S = 0.8
"""How long a work waits after its last question; it asks again several times in that time."""
MAX_WAITING = 4096
REMEMBER_S = 40.0
"""How long a caller that went away without a place is known again: a long request's deadline."""


@dataclass(slots=True)
class Waiting:
    """One work that waits."""

    work: GenerationRequest
    engine: EngineConfig
    order: tuple[int, float]
    """Rank, then the time of the first question."""
    in_time_until_s: float
    """When its first token is late, counted from its caller's first attempt."""
    asked_s: float

    def is_late(self, now_s: float, read_s: float) -> bool:
        """Tell whether its first token comes late on any engine, if reading takes `read_s`."""
        return now_s + read_s > self.in_time_until_s


class WaitList:
    """Works by attempt."""

    def __init__(self) -> None:
        self._by_attempt: dict[str, Waiting] = {}
        self._in_time_until_s_by_prompt: dict[str, float] = {}
        """Of callers that wait or went away without a place, the first to ask first."""

    def __len__(self) -> int:
        return len(self._by_attempt)

    def ask(self, now_s: float, work: GenerationRequest, engine: EngineConfig) -> None:
        """Note a work that asks for room, for the first time or again."""
        known = self._by_attempt.get(work.attempt)
        if known is not None:
            known.work, known.asked_s = work, now_s
        elif len(self._by_attempt) < MAX_WAITING:
            until_s = self._in_time_until_s(now_s, work)
            self._by_attempt[work.attempt] = Waiting(
                work, engine, (work.rank, now_s), until_s, now_s
            )

    def before(self, work: GenerationRequest) -> int:
        """Give how many other works for the same service wait."""
        service, attempt = work.service, work.attempt
        waiting = self._by_attempt.values()
        return sum(one.work.service == service and one.work.attempt != attempt for one in waiting)

    def drop(self, attempt: str) -> None:
        """Take a work out for which nobody waits any more."""
        self._by_attempt.pop(attempt, None)

    def placed(self, attempt: str) -> None:
        """Take a work out that has a place; its caller owes nothing to an earlier refusal."""
        waiting = self._by_attempt.pop(attempt, None)
        if waiting is not None:
            self._in_time_until_s_by_prompt.pop(waiting.work.prompt_id, None)

    def in_order(
        self, now_s: float, prefill_per_s: float, crowding: Collection[str] = ()
    ) -> Iterator[Waiting]:
        """Give the works that still wait, the first to go first.

        Those of `crowding` client accounts go behind the others of their rank.
        """
        for attempt in [
            one for one, it in self._by_attempt.items() if now_s - it.asked_s > FORGET_S
        ]:
            del self._by_attempt[attempt]

        def order(one: Waiting) -> tuple[bool, int, bool, float]:
            late = one.is_late(now_s, one.work.prompt_tokens / prefill_per_s)
            rank, asked_s = one.order
            return late, rank, one.work.account in crowding, asked_s

        yield from sorted(self._by_attempt.values(), key=order)

    def prompt_tokens(self) -> float:
        """Give the prompts of all that wait, together."""
        return sum(one.work.prompt_tokens for one in self._by_attempt.values())

    def _in_time_until_s(self, now_s: float, work: GenerationRequest) -> float:
        """Give when a work is late; a prompt that was here before keeps its first time."""
        until_s = now_s + work.first_token_budget_s
        if not work.prompt_id:
            return until_s
        known = self._in_time_until_s_by_prompt
        for prompt_id in [one for one, it in known.items() if now_s - it > REMEMBER_S]:
            del known[prompt_id]
        if len(known) >= MAX_WAITING:
            known.pop(next(iter(known)))
        return known.setdefault(work.prompt_id, until_s)
