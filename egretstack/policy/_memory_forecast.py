"""Forecasts the memory of an engine: a quantile of its peak over a horizon, in tokens."""

from dataclasses import dataclass, field
from math import exp, sqrt

from egretstack.lengths import SurvivalCurve
from egretstack.policy._engine_state import EngineState, SentRequest
from egretstack.policy._messages import SchedulingRequest

HORIZON_TOKENS = (0, 64, 192, 512, 1024, 2048, 4096)
"""Points of the horizon in output tokens of one sequence; a batch advances in lockstep."""
QUANTILE_DEVIATIONS = 1.8
"""Standard deviations above the mean; the peak is assumed to be normally distributed."""


@dataclass(slots=True)
class MemoryDemand:
    """Mean and variance of the memory in tokens at each point of the horizon."""

    mean: list[float] = field(default_factory=lambda: [0.0] * len(HORIZON_TOKENS))
    variance: list[float] = field(default_factory=lambda: [0.0] * len(HORIZON_TOKENS))

    def add(self, share_left: float, held: float, point: int, count: float = 1.0) -> None:
        """Add `count` sequences that still run at a point with probability `share_left`.

        Each of them then holds `held` tokens.
        """
        size = held * share_left
        self.mean[point] += count * size
        self.variance[point] += count * size * held * (1.0 - share_left)

    def add_demand(self, other: "MemoryDemand", sign: int) -> None:
        """Add another demand, or subtract it with the sign -1."""
        for point, mean in enumerate(other.mean):
            self.mean[point] = max(0.0, self.mean[point] + sign * mean)
            variance = self.variance[point] + sign * other.variance[point]
            self.variance[point] = max(0.0, variance)

    def peak(self, deviations: float) -> float:
        """Return the quantile of the memory at its highest point, in tokens."""
        return self.peak_with(_NO_DEMAND, deviations)

    def peak_with(self, more: "MemoryDemand", deviations: float) -> float:
        """Return the quantile at the highest point with another demand added."""
        worst = 0.0
        rows = zip(self.mean, self.variance, more.mean, more.variance, strict=True)
        for mean, variance, more_mean, more_variance in rows:
            peak = mean + more_mean + deviations * sqrt(variance + more_variance)
            if peak > worst:
                worst = peak
        return worst


_NO_DEMAND = MemoryDemand()


def add_sequence(
    demand: MemoryDemand, curve: SurvivalCurve, held: float, generated: float, max_output: int
) -> None:
    """Add one sequence that holds `held` tokens, `generated` of them output."""
    before = curve.log_survival(generated)
    for point, ahead in enumerate(HORIZON_TOKENS):
        if generated + ahead > max_output:
            return
        demand.add(exp(curve.log_survival(generated + ahead) - before), held + ahead, point)


def demand_of(request: SchedulingRequest, curve: SurvivalCurve) -> MemoryDemand:
    """Return the demand of a request that has not been sent yet."""
    demand = MemoryDemand()
    add_sequence(demand, curve, request.prompt_tokens, 0, request.max_output_tokens)
    return demand


def add_sent(
    demand: MemoryDemand, sent: SentRequest, curve: SurvivalCurve, now_s: float, rate: float
) -> None:
    """Add the demand of a request that was sent."""
    generated = sent.estimated_tokens(now_s, rate)
    max_output = sent.request.max_output_tokens
    add_sequence(demand, curve, sent.request.prompt_tokens + generated, generated, max_output)


def add_others(
    demand: MemoryDemand,
    engine: EngineState,
    curve: SurvivalCurve | None,
    now_s: float,
    *,
    with_unreported: bool,
) -> None:
    """Add the requests of other instances on an engine: those reported and those sent since.

    The number sent since the report is estimated from the number reported, on the assumption that
    as many start as end. Without a curve their memory is assumed to stay constant.
    """
    count, kv_tokens = engine.other_load()
    if not count:
        return
    if curve is None:
        demand.mean = [mean + kv_tokens for mean in demand.mean]
        return
    grown = max(0.0, now_s - engine.report.taken_s) * engine.tokens_per_s
    held = kv_tokens / count
    sent_since = count * grown / curve.mean_tokens if with_unreported else 0.0
    for point, ahead in enumerate(HORIZON_TOKENS):
        left = curve.excess_survival(grown + ahead)
        demand.add(left, held + grown + ahead, point, count)
        if sent_since:
            demand.add(curve.conditional_survival(0, ahead), held / 2 + ahead, point, sent_since)
