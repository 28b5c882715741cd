"""Whether work fits on a runner: forecasts by runner, kept between events."""

import random
from collections.abc import Mapping
from dataclasses import dataclass
from zlib import crc32

from egretstack.ids import AccountId, RequestId, RunnerId
from egretstack.lengths import LengthKey, LengthModel
from egretstack.policy._book import RunnerBook, Sent
from egretstack.policy._forecast import (
    AHEAD_TOKENS,
    QUANTILE_DEVIATIONS,
    Demand,
    add_others,
    add_sent,
    demand_of,
)
from egretstack.policy._messages import SchedulingRequest
from egretstack.policy._parts import Feature

FORECAST_LIFE_S = 0.5
MIN_SESSIONS = 20
"""Sessions that a forecast of other instances' work rests on."""
FULL_SHARE = 0.97
"""Part of a runner's memory that the forecast peak may fill; engines keep some free."""


@dataclass(slots=True)
class _Kept:
    demand: Demand
    made_s: float
    room: float
    """Tokens free at the forecast peak when the forecast was first made for a report."""
    lot: float
    """Random part of a send, drawn for each report."""
    sends: int = 0


@dataclass(frozen=True, slots=True)
class Fit:
    """Room was found: the share of memory filled at the forecast peak."""

    book: RunnerBook
    filled: float


class Fitter:
    """Forecasts each runner's memory and says which work fits."""

    def __init__(self, rng: random.Random, left_out: frozenset[Feature]) -> None:
        self.lengths = LengthModel()
        self.instances = 1
        self._rng = rng
        self._left_out = left_out
        self._unknown = LengthModel()
        self._kept_by_id: dict[RunnerId, _Kept] = {}

    def key(self, work: SchedulingRequest) -> LengthKey:
        """Give the key under which a work's length is learned."""
        prefix = f"{crc32(work.prefix.encode()):08x}" if work.prefix else ""
        if Feature.PREFIX_LENGTHS in self._left_out:
            prefix = ""
        return LengthKey(work.service, work.model, work.account, prefix)

    def demand(self, work: SchedulingRequest) -> Demand:
        """Give the demand of work that is not sent."""
        return demand_of(work, self._model().curve(self.key(work)))

    def reported(self, runner_id: RunnerId) -> None:
        """Forget the forecast that an earlier report gave."""
        self._kept_by_id.pop(runner_id, None)

    def left(self, now_s: float, book: RunnerBook, sent: Sent) -> None:
        """Note that own work left the runner: its room is this instance's to fill."""
        kept = self._kept_by_id.get(book.info.id)
        if kept is None:
            return
        demand = Demand()
        add_sent(demand, sent, self._model().curve(sent.key), now_s, book.rate)
        kept.demand.change(demand, -1)
        kept.sends -= 1

    def sent(self, book: RunnerBook, demand: Demand) -> None:
        """Note that work was sent to a runner."""
        kept = self._kept_by_id.get(book.info.id)
        if kept is None:
            return
        kept.sends += 1
        kept.demand.change(demand, 1)

    def fit(
        self, now_s: float, book: RunnerBook, work: SchedulingRequest, demand: Demand
    ) -> Fit | None:
        """Tell whether work fits on a runner now."""
        if work.prompt_tokens >= book.capacity:
            return None
        count, _ = book.others()
        running = len(book.sent) + count
        if running >= book.info.max_batch or self._has_waiting(book):
            return None
        kept = self._forecast(now_s, book)
        deviations = self._deviations()
        peak = kept.demand.peak_with(demand, deviations)
        filled = peak / book.capacity
        if running and (filled > FULL_SHARE or not self._own_share(kept, demand)):
            return None
        return Fit(book, filled)

    def _has_waiting(self, book: RunnerBook) -> bool:
        # Work waits at an engine because memory ran short there, most of it preempted. What is
        # sent now takes the room that a stopped stream needs to go on: one waited for 88 s.
        if Feature.ENGINE_QUEUE in self._left_out:
            return False
        return book.report is not None and book.report.waiting > 0

    def near_overflow(self, now_s: float, book: RunnerBook) -> bool:
        """Tell whether memory is forecast to overflow within the next points of the horizon."""
        report = book.report
        grown = (now_s - report.taken_s) * book.rate + AHEAD_TOKENS[1]
        if report.kv_used_tokens + report.running * grown <= book.capacity:
            return False
        return max(self._forecast(now_s, book).demand.mean[:2]) > book.capacity

    def _own_share(self, kept: _Kept, demand: Demand) -> bool:
        # Every instance sees the same room in the same late report. If each took it all, the
        # engine would get it many times over and preempt. Each takes its part, by lot.
        if Feature.FREE_MEMORY_SHARE in self._left_out or self.instances == 1:
            return True
        size = max(1.0, demand.peak(self._deviations()))
        return kept.sends + kept.lot < kept.room / (self.instances * size)

    def _deviations(self) -> float:
        return 0.0 if Feature.PEAK_QUANTILE in self._left_out else QUANTILE_DEVIATIONS

    def _model(self) -> LengthModel:
        return self._unknown if Feature.LEARNED_LENGTHS in self._left_out else self.lengths

    def _forecast(self, now_s: float, book: RunnerBook) -> _Kept:
        kept = self._kept_by_id.get(book.info.id)
        if kept is not None and now_s - kept.made_s < FORECAST_LIFE_S:
            return kept
        demand = self._demand_on(now_s, book)
        if kept is None:
            room = book.capacity * FULL_SHARE - demand.peak(self._deviations())
            kept = _Kept(demand, now_s, room, self._rng.random())
            self._kept_by_id[book.info.id] = kept
        kept.demand = demand
        kept.made_s = now_s
        return kept

    def _demand_on(self, now_s: float, book: RunnerBook) -> Demand:
        demand = Demand()
        model = self._model()
        for sent in book.sent.values():
            add_sent(demand, sent, model.curve(sent.key), now_s, book.rate)
        if book.sent:
            first = next(iter(book.sent.values())).work
            pooled = LengthKey(first.service, first.model)
        else:
            pooled = LengthKey(book.info.service, book.info.models[0])
        unseen = Feature.UNREPORTED_SENDS not in self._left_out and self.instances > 1
        # An instance that has just started knows no lengths. By the prior, whose longest answers
        # fill an engine, it would find no room on any that others use, and so never learn.
        known = model.sessions(pooled) >= MIN_SESSIONS
        curve = model.curve(pooled) if known else None
        add_others(demand, book, curve, now_s, unseen=unseen)
        return demand


class ExactFitter(Fitter):
    """Knows each length: the oracle's."""

    def __init__(self, rng: random.Random, lengths: Mapping[RequestId, int]) -> None:
        super().__init__(rng, frozenset())
        self._length_by_id = lengths

    def key(self, work: SchedulingRequest) -> LengthKey:
        """Give the key under which a work's length is learned."""
        return LengthKey(work.service, work.model, AccountId(""))

    def fit(
        self, now_s: float, book: RunnerBook, work: SchedulingRequest, demand: Demand
    ) -> Fit | None:
        """Tell whether work fits on a runner now."""
        if work.prompt_tokens >= book.capacity or len(book.sent) >= book.info.max_batch:
            return None
        rows = [(self._length_by_id[work.id], float(work.prompt_tokens))]
        for sent in book.sent.values():
            generated = sent.generated(now_s, book.rate)
            left = max(1.0, self._length_by_id[sent.work.id] - generated)
            rows.append((left, sent.work.prompt_tokens + generated))
        filled = _exact_peak(rows) / book.capacity
        if book.sent and filled > FULL_SHARE:
            return None
        return Fit(book, filled)


def _exact_peak(rows: list[tuple[float, float]]) -> float:
    """Give the peak of memory of sequences with so many tokens left and held."""
    rows.sort(reverse=True)
    held = peak = 0.0
    for number, (left, holds) in enumerate(rows, 1):
        held += holds
        peak = max(peak, held + number * left)
    return peak
