"""Chooses among the runners that work fits on."""

import random

from egretstack.ids import RunnerId
from egretstack.policy._affinity import PrefixAffinity
from egretstack.policy._book import RunnerBook
from egretstack.policy._fitting import Fit
from egretstack.policy._messages import SchedulingRequest
from egretstack.policy._parts import Feature

SAMPLE = 8
"""Runners that are forecast for one piece of work."""
NEAR = 0.05
"""Scores that differ by no more than this are taken as equal."""
AFFINITY_GAIN = 0.15
"""How much of a runner's memory may be filled more before a held prefix is given up."""


class Router:
    """Scores runners by forecast memory, batch and prefix; the lowest score is best.

    A contract's weights for stall time and preemptions count for the memory, the one for gaps
    between tokens for the batch, since every sequence lengthens the steps of all.
    """

    def __init__(self, rng: random.Random, left_out: frozenset[Feature]) -> None:
        self.affinity = PrefixAffinity()
        self._rng = rng
        self._left_out = left_out

    def sample(self, work: SchedulingRequest, books: list[RunnerBook]) -> list[RunnerBook]:
        """Give the runners to forecast for a piece of work: a few, and likely prefix holders.

        Each forecast costs the loop that tokens pass through; a random few find nearly as good
        a place as all do.
        """
        if len(books) <= SAMPLE:
            return books
        holders = [one for one in books if self.affinity.holds(work.prefix, one.info.id)]
        drawn = self._rng.sample(books, SAMPLE)
        return holders[:2] + [one for one in drawn if one not in holders[:2]]

    def choose(self, work: SchedulingRequest, fits: list[Fit]) -> Fit:
        """Give one of the fits."""
        scores = [self._score(work, fit) for fit in fits]
        best = min(scores)
        if Feature.RANDOM_NEAR_TIES in self._left_out:
            return fits[scores.index(best)]
        near = [fit for fit, score in zip(fits, scores, strict=True) if score <= best + NEAR]
        return self._rng.choice(near)

    def sent(self, work: SchedulingRequest, runner_id: RunnerId) -> None:
        """Note that work was sent to a runner."""
        self.affinity.stored(work.prefix, runner_id)

    def _score(self, work: SchedulingRequest, fit: Fit) -> float:
        report = fit.book.report
        running = len(fit.book.sent) if report is None else report.running + report.waiting
        memory = (work.stall_weight + work.preemption_weight) * fit.filled
        batch = work.tail_weight * running / fit.book.info.max_batch
        score = memory + batch
        held = self.affinity.holds(work.prefix, fit.book.info.id)
        if held and Feature.AFFINITY not in self._left_out:
            score -= AFFINITY_GAIN
        return score
