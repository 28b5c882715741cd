"""Decides whether a request fits on an engine, by memory forecasts cached per engine."""

import random
from collections.abc import Mapping
from dataclasses import dataclass
from zlib import crc32

from egretstack.ids import AccountId, RequestId, RunnerId
from egretstack.lengths import LengthKey, LengthModel
from egretstack.policy._engine_state import EngineState, SentRequest
from egretstack.policy._features import Feature
from egretstack.policy._memory_forecast import (
    HORIZON_TOKENS,
    QUANTILE_DEVIATIONS,
    MemoryDemand,
    add_others,
    add_sent,
    demand_of,
)
from egretstack.policy._messages import SchedulingRequest

FORECAST_TTL_S = 0.5
"""How long a forecast is cached between two reports."""
MIN_SESSIONS = 20
"""Minimum sessions from which the output lengths of other instances' requests are forecast."""
MAX_FILLED_SHARE = 0.97
"""Share of an engine's memory that the forecast peak may fill; engines keep some free."""


@dataclass(slots=True)
class _CachedForecast:
    demand: MemoryDemand
    updated_s: float
    free_tokens: float
    """Free tokens at the forecast peak, from the first forecast after a report."""
    random_offset: float
    """Random fraction of a send, drawn once per report, that staggers the instances."""
    sends: int = 0
    """Requests sent since that report, less those that ended."""


@dataclass(frozen=True, slots=True)
class Fit:
    """An engine that a request fits on, and the share of its memory filled at the forecast peak."""

    engine: EngineState
    filled_share: float


class Fitter:
    """Forecasts the memory of each engine and decides which requests fit."""

    def __init__(self, rng: random.Random, disabled: frozenset[Feature]) -> None:
        self.lengths = LengthModel()
        self.instance_count = 1
        self._rng = rng
        self._disabled = disabled
        self._prior_only = LengthModel()
        self._cached_by_runner: dict[RunnerId, _CachedForecast] = {}

    def key(self, request: SchedulingRequest) -> LengthKey:
        """Return the key under which the output length of a request is learned."""
        prefix = f"{crc32(request.prefix.encode()):08x}" if request.prefix else ""
        if Feature.PREFIX_LENGTHS in self._disabled:
            prefix = ""
        return LengthKey(request.service, request.model, request.account, prefix)

    def demand(self, request: SchedulingRequest) -> MemoryDemand:
        """Return the memory demand of a request that has not been sent."""
        return demand_of(request, self._length_model().curve(self.key(request)))

    def forget_forecast(self, runner_id: RunnerId) -> None:
        """Drop the forecast that is based on an earlier report."""
        self._cached_by_runner.pop(runner_id, None)

    def record_left(self, now_s: float, engine: EngineState, sent: SentRequest) -> None:
        """Record that an own request left an engine; this instance may reuse its memory."""
        cached = self._cached_by_runner.get(engine.info.id)
        if cached is None:
            return
        demand = MemoryDemand()
        add_sent(demand, sent, self._length_model().curve(sent.key), now_s, engine.tokens_per_s)
        cached.demand.add_demand(demand, -1)
        cached.sends -= 1

    def record_sent(self, engine: EngineState, demand: MemoryDemand) -> None:
        """Record that a request was sent to an engine."""
        cached = self._cached_by_runner.get(engine.info.id)
        if cached is None:
            return
        cached.sends += 1
        cached.demand.add_demand(demand, 1)

    def fit(
        self, now_s: float, engine: EngineState, request: SchedulingRequest, demand: MemoryDemand
    ) -> Fit | None:
        """Return how a request fits on an engine now, or None if it does not fit."""
        if request.prompt_tokens >= engine.capacity:
            return None
        count, _ = engine.other_load()
        running = len(engine.sent) + count
        if running >= engine.info.max_batch or self._has_waiting(engine):
            return None
        cached = self._forecast(now_s, engine)
        deviations = self._deviations()
        peak = cached.demand.peak_with(demand, deviations)
        filled = peak / engine.capacity
        if running and (filled > MAX_FILLED_SHARE or not self._is_within_own_share(cached, demand)):
            return None
        return Fit(engine, filled)

    def _has_waiting(self, engine: EngineState) -> bool:
        # Requests wait at an engine because it ran out of memory; most of them were preempted.
        # Another request would take the memory that a preempted stream needs to continue: one
        # such stream was stalled for 88 s.
        if Feature.ENGINE_QUEUE in self._disabled:
            return False
        return engine.report is not None and engine.report.waiting > 0

    def near_overflow(self, now_s: float, engine: EngineState) -> bool:
        """Return whether memory is forecast to overflow at the first points of the horizon."""
        report = engine.report
        grown = (now_s - report.taken_s) * engine.tokens_per_s + HORIZON_TOKENS[1]
        if report.kv_used_tokens + report.running * grown <= engine.capacity:
            return False
        return max(self._forecast(now_s, engine).demand.mean[:2]) > engine.capacity

    def _is_within_own_share(self, cached: _CachedForecast, demand: MemoryDemand) -> bool:
        # All instances see the same free memory in the same delayed report. If each filled it,
        # the engine would get several times what fits and preempt. So each uses its share, with
        # a random rounding.
        if Feature.FREE_MEMORY_SHARE in self._disabled or self.instance_count == 1:
            return True
        size = max(1.0, demand.peak(self._deviations()))
        return cached.sends + cached.random_offset < cached.free_tokens / (
            self.instance_count * size
        )

    def _deviations(self) -> float:
        return 0.0 if Feature.PEAK_QUANTILE in self._disabled else QUANTILE_DEVIATIONS

    def _length_model(self) -> LengthModel:
        return self._prior_only if Feature.LEARNED_LENGTHS in self._disabled else self.lengths

    def _forecast(self, now_s: float, engine: EngineState) -> _CachedForecast:
        cached = self._cached_by_runner.get(engine.info.id)
        if cached is not None and now_s - cached.updated_s < FORECAST_TTL_S:
            return cached
        demand = self._demand_on(now_s, engine)
        if cached is None:
            free_tokens = engine.capacity * MAX_FILLED_SHARE - demand.peak(self._deviations())
            cached = _CachedForecast(demand, now_s, free_tokens, self._rng.random())
            self._cached_by_runner[engine.info.id] = cached
        cached.demand = demand
        cached.updated_s = now_s
        return cached

    def _demand_on(self, now_s: float, engine: EngineState) -> MemoryDemand:
        demand = MemoryDemand()
        model = self._length_model()
        for sent in engine.sent.values():
            add_sent(demand, sent, model.curve(sent.key), now_s, engine.tokens_per_s)
        if engine.sent:
            first = next(iter(engine.sent.values())).request
            pooled = LengthKey(first.service, first.model)
        else:
            pooled = LengthKey(engine.info.service, engine.info.models[0])
        with_unreported = Feature.UNREPORTED_SENDS not in self._disabled and self.instance_count > 1
        # An instance that has just started has no observed lengths. By the prior, whose longest
        # answers fill an engine, it would find no free memory on any engine that others use,
        # send nothing and never observe any.
        known = model.session_weight(pooled) >= MIN_SESSIONS
        curve = model.curve(pooled) if known else None
        add_others(demand, engine, curve, now_s, with_unreported=with_unreported)
        return demand


class ExactFitter(Fitter):
    """Decides with the exact output length of each request; used by the oracle."""

    def __init__(self, rng: random.Random, lengths: Mapping[RequestId, int]) -> None:
        super().__init__(rng, frozenset())
        self._length_by_id = lengths

    def key(self, request: SchedulingRequest) -> LengthKey:
        """Return the key under which the output length of a request is learned."""
        return LengthKey(request.service, request.model, AccountId(""))

    def fit(
        self, now_s: float, engine: EngineState, request: SchedulingRequest, demand: MemoryDemand
    ) -> Fit | None:
        """Return how a request fits on an engine now, or None if it does not fit."""
        if request.prompt_tokens >= engine.capacity or len(engine.sent) >= engine.info.max_batch:
            return None
        rows = [(self._length_by_id[request.id], float(request.prompt_tokens))]
        for sent in engine.sent.values():
            generated = sent.estimated_tokens(now_s, engine.tokens_per_s)
            left = max(1.0, self._length_by_id[sent.request.id] - generated)
            rows.append((left, sent.request.prompt_tokens + generated))
        filled = _exact_peak(rows) / engine.capacity
        if engine.sent and filled > MAX_FILLED_SHARE:
            return None
        return Fit(engine, filled)


def _exact_peak(rows: list[tuple[float, float]]) -> float:
    """Return the peak memory of sequences, given as rows of (tokens left, tokens held)."""
    rows.sort(reverse=True)
    held = peak = 0.0
    for number, (left, holds) in enumerate(rows, 1):
        held += holds
        peak = max(peak, held + number * left)
    return peak
