"""Forecasts the memory of a runner: the chosen quantile of its peak over a horizon."""

from dataclasses import dataclass, field
from math import exp, sqrt

from egretstack.lengths import Curve
from egretstack.policy._book import RunnerBook, Sent
from egretstack.policy._messages import SchedulingRequest

AHEAD_TOKENS = (0, 64, 192, 512, 1024, 2048, 4096)
"""Points of the horizon, in output tokens of one sequence: all of a batch advance together."""
QUANTILE_DEVIATIONS = 1.8
"""Standard deviations above the mean; the peak is taken as normal."""


@dataclass(slots=True)
class Demand:
    """Mean and variance of memory in tokens at each point of the horizon."""

    mean: list[float] = field(default_factory=lambda: [0.0] * len(AHEAD_TOKENS))
    variance: list[float] = field(default_factory=lambda: [0.0] * len(AHEAD_TOKENS))

    def add(self, share_left: float, held: float, point: int, count: float = 1.0) -> None:
        """Add `count` sequences that hold `held` at a point with the chance `share_left`."""
        size = held * share_left
        self.mean[point] += count * size
        self.variance[point] += count * size * held * (1.0 - share_left)

    def change(self, other: "Demand", sign: int) -> None:
        """Add another demand, or with the sign -1 take it off."""
        for point, mean in enumerate(other.mean):
            self.mean[point] = max(0.0, self.mean[point] + sign * mean)
            spread = self.variance[point] + sign * other.variance[point]
            self.variance[point] = max(0.0, spread)

    def peak(self, deviations: float) -> float:
        """Give the quantile of memory at its worst point, tokens."""
        return self.peak_with(_NOTHING, deviations)

    def peak_with(self, more: "Demand", deviations: float) -> float:
        """Give the quantile at the worst point with another demand on top."""
        worst = 0.0
        rows = zip(self.mean, self.variance, more.mean, more.variance, strict=True)
        for mean, variance, plus, spread in rows:
            peak = mean + plus + deviations * sqrt(variance + spread)
            if peak > worst:
                worst = peak
        return worst


_NOTHING = Demand()


def add_sequence(demand: Demand, curve: Curve, held: float, generated: float, most: int) -> None:
    """Add one sequence that holds `held` tokens, `generated` of them output."""
    before = curve.log_share(generated)
    for point, ahead in enumerate(AHEAD_TOKENS):
        if generated + ahead > most:
            return
        demand.add(exp(curve.log_share(generated + ahead) - before), held + ahead, point)


def demand_of(work: SchedulingRequest, curve: Curve) -> Demand:
    """Give the demand of work that is not sent yet."""
    demand = Demand()
    add_sequence(demand, curve, work.prompt_tokens, 0, work.max_output_tokens)
    return demand


def add_sent(demand: Demand, sent: Sent, curve: Curve, now_s: float, rate: float) -> None:
    """Add the demand of work that was sent."""
    generated = sent.generated(now_s, rate)
    most = sent.work.max_output_tokens
    add_sequence(demand, curve, sent.work.prompt_tokens + generated, generated, most)


def add_others(
    demand: Demand, book: RunnerBook, curve: Curve | None, now_s: float, *, unseen: bool
) -> None:
    """Add what other instances have on a runner: as reported, and sent since then.

    How many they sent since follows from how many they have there: as many come as leave.
    Without a curve their memory is taken to stay as it is.
    """
    count, kv_tokens = book.others()
    if not count:
        return
    if curve is None:
        demand.mean = [mean + kv_tokens for mean in demand.mean]
        return
    grown = max(0.0, now_s - book.report.taken_s) * book.rate
    held = kv_tokens / count
    sent_since = count * grown / curve.mean_tokens if unseen else 0.0
    for point, ahead in enumerate(AHEAD_TOKENS):
        left = curve.excess_share(grown + ahead)
        demand.add(left, held + grown + ahead, point, count)
        if sent_since:
            demand.add(curve.share_left(0, ahead), held / 2 + ahead, point, sent_since)
