"""What an instance that places alone may use of each engine. Does no I/O.

While the home does not answer, each instance places its own requests from the loads that the home
last sent. All see the same free memory, and together they would use it several times.
"""

from dataclasses import dataclass

from egretstack.fleet import Runner
from egretstack.ids import RunnerId
from egretstack.placing._loads import EngineLoad
from egretstack.placing._run_registry import PENDING_TTL_S
from egretstack.placing._split import FleetSplit

USE_TTL_S = 60.0
"""Time after which a placement no longer counts, in case its end was not recorded."""
MAX_USES = 4096


@dataclass(frozen=True, slots=True)
class _Use:
    runner: RunnerId
    tokens: float
    placed_s: float


class EvenPart:
    """The placements that this instance made alone, and the limit of each engine for them."""

    def __init__(self, split: FleetSplit) -> None:
        self._split = split
        self._use_by_attempt: dict[str, _Use] = {}

    def allows(
        self, now_s: float, runner: Runner, load: EngineLoad, max_tokens: float, needed: float
    ) -> bool:
        """Return whether a run of `needed` tokens fits this instance's part of an engine.

        `load` includes what was placed in the last PENDING_TTL_S. An engine with free memory for
        fewer such runs than there are instances is used by as many of them, each for one run.
        """
        own, recent = self._used_tokens(now_s, runner.id)
        free = max(0.0, max_tokens - load.used_tokens + recent)
        count = self._split.instance_count
        if free >= count * needed:
            return own + needed <= free / count
        return not own and self._split.is_sender(runner.id, int(free // needed))

    def record_placed(self, now_s: float, attempt: str, runner: RunnerId, tokens: float) -> None:
        """Record a placement that this instance made alone."""
        if len(self._use_by_attempt) >= MAX_USES:
            self._use_by_attempt.pop(next(iter(self._use_by_attempt)))
        self._use_by_attempt[attempt] = _Use(runner, tokens, now_s)

    def record_ended(self, attempt: str) -> None:
        """Record that a run has ended, or that its placement was not used."""
        self._use_by_attempt.pop(attempt, None)

    def _used_tokens(self, now_s: float, runner_id: RunnerId) -> tuple[float, float]:
        """Return what this instance uses of an engine, and how much of it is in its load."""
        for attempt, use in list(self._use_by_attempt.items()):
            if now_s - use.placed_s <= USE_TTL_S:
                break
            del self._use_by_attempt[attempt]
        uses = [use for use in self._use_by_attempt.values() if use.runner == runner_id]
        recent = sum(use.tokens for use in uses if now_s - use.placed_s <= PENDING_TTL_S)
        return sum(use.tokens for use in uses), recent
