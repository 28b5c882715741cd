"""Chooses among the engines that a request fits on."""

import random

from egretstack.ids import RunnerId
from egretstack.policy._affinity import PrefixAffinity
from egretstack.policy._engine_state import EngineState
from egretstack.policy._features import Feature
from egretstack.policy._fitting import Fit
from egretstack.policy._messages import SchedulingRequest

SAMPLE_SIZE = 8
"""Engines for which a forecast is made for one request."""
NEAR_TIE = 0.05
"""Scores that differ by no more than this count as equal."""
AFFINITY_BONUS = 0.15
"""How much more of its memory an engine with the prefix may have filled and still be preferred."""


class Router:
    """Scores engines by forecast memory, batch size and cached prefix; the lowest score is best.

    The contract's weights for stall time and preemptions apply to the memory. Its weight for gaps
    between tokens applies to the batch, since every sequence lengthens the steps of all others.
    """

    def __init__(self, rng: random.Random, disabled: frozenset[Feature]) -> None:
        self.affinity = PrefixAffinity()
        self._rng = rng
        self._disabled = disabled

    def sample(self, request: SchedulingRequest, engines: list[EngineState]) -> list[EngineState]:
        """Return the engines to forecast for a request: a random sample and likely prefix holders.

        Each forecast takes time from the event loop that also forwards the tokens, and a random
        sample gives nearly as good a placement as all engines do.
        """
        if len(engines) <= SAMPLE_SIZE:
            return engines
        holders = [
            engine for engine in engines if self.affinity.holds(request.prefix, engine.info.id)
        ]
        drawn = self._rng.sample(engines, SAMPLE_SIZE)
        return holders[:2] + [engine for engine in drawn if engine not in holders[:2]]

    def choose(self, request: SchedulingRequest, fits: list[Fit]) -> Fit:
        """Return the fit with the best score, or one that is nearly as good."""
        scores = [self._score(request, fit) for fit in fits]
        best = min(scores)
        if Feature.RANDOM_NEAR_TIES in self._disabled:
            return fits[scores.index(best)]
        near = [fit for fit, score in zip(fits, scores, strict=True) if score <= best + NEAR_TIE]
        return self._rng.choice(near)

    def record_sent(self, request: SchedulingRequest, runner_id: RunnerId) -> None:
        """Record that a request was sent to an engine."""
        self.affinity.record_stored(request.prefix, runner_id)

    def _score(self, request: SchedulingRequest, fit: Fit) -> float:
        report = fit.engine.report
        running = len(fit.engine.sent) if report is None else report.running + report.waiting
        memory = (request.stall_weight + request.preemption_weight) * fit.filled_share
        batch = request.tail_weight * running / fit.engine.info.max_batch
        score = memory + batch
        held = self.affinity.holds(request.prefix, fit.engine.info.id)
        if held and Feature.AFFINITY not in self._disabled:
            score -= AFFINITY_BONUS
        return score
