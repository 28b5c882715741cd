"""Judges the engines of one service by their timings. Does no I/O.

All values are logarithms of the ratio of a measured time to the time that was expected of a typical
engine.
"""

from dataclasses import dataclass
from math import exp, log
from statistics import median, median_low

from egretstack.ids import InstanceId, RunnerId
from egretstack.placing._engine_speeds import (
    MAX_PERCENT,
    MIN_PERCENT,
    TYPICAL,
    EngineSpeed,
    EngineSpeeds,
)
from egretstack.placing._timing_bins import (
    MAX_CHANCE,
    MIXED_CHANCE,
    OUTLIER_SHARE,
    InstanceOffsets,
    TimingBins,
    TimingKind,
    is_beyond_chance,
)

MIN_DIFFERENCE = log(1.22)
"""Least difference of an engine. Smaller ones move no long stream's pause across its target, and
forecasts of batches and prompts are not more accurate."""
DIFFERENCE_SPREADS = 2.0
"""Least difference in standard deviations of one bin's timings."""
RETURN_SHARE = 0.6
"""Share of the least difference below which an engine is typical again."""
MIN_CHANGE = 1.1
"""Least change of a factor that is passed on."""
MIN_LEVEL_BINS = 3
"""Bins from which the level of an engine is taken, to find the typical engine."""
MIN_RETURN_BINS = 7
"""Bins without a difference after which an engine is typical again."""
MIN_OWN_BINS = 5
"""Bins of a kind whose median is used alone. With fewer, the other kind is used as well: what makes
an engine slow mostly affects both."""
PREFILL_SUPPORT_BINS = 6
"""Bins that the gaps count for in the prefill factor: first tokens are few and depend on more. With
3 bins, prefill factors in a play were up to 29% wrong, with 6 up to 18%."""
MIN_MIXED_ENGINES = 2
"""Engines of a service that are known to differ, from which it counts as a mixed fleet."""
MAX_TYPICAL_ENGINES = 8
"""Number of measured engines that is always enough to know the typical one; of a small service half
of the engines are enough."""
MIN_OFFSET_ENGINES = 5
"""Engines from which the offset of an instance is taken; all engines of a smaller service."""
MIN_OFFSET = log(1.1)
OFFSET_SHARE = 0.8
"""Share of these engines on which an instance's timings have to be longer, or shorter, by at least
that offset. The medians of few timings differ by more than that from chance."""
_STEP, _PREFILL = TimingKind.STEP, TimingKind.PREFILL
MAD_TO_DEVIATION = 1.4826
"""Ratio of the standard deviation to the median absolute deviation of normal values."""


@dataclass(frozen=True, slots=True)
class SpeedChange:
    """A change of what is known of one engine, with what it was derived from."""

    runner: RunnerId
    before: EngineSpeed
    after: EngineSpeed
    bins: int
    unusual_bins: int
    instances: int


@dataclass(frozen=True, slots=True)
class _Scale:
    """The typical engine of a service, for one kind of timing."""

    typical: float
    difference: float
    """Least difference that counts."""


class ServiceJudge:
    """One evaluation of the engines of one service."""

    def __init__(
        self,
        engines: dict[RunnerId, TimingBins],
        size: int,
        offsets: InstanceOffsets,
        *,
        renews_offsets: bool,
    ) -> None:
        self._engines = engines
        self._offsets = offsets
        self._medians: dict[TimingKind, dict[RunnerId, list[float | None]]] = {}
        self._scales: dict[TimingKind, _Scale] = {}
        self._differences: dict[tuple[TimingKind, RunnerId], dict[InstanceId, float]] = {}
        """What `_by_instance` has returned; it is needed of all engines for each that differs."""
        self._max_chance = MAX_CHANCE
        min_engines = max(2, min(MAX_TYPICAL_ENGINES, (size + 1) // 2))
        for kind in TimingKind:
            if renews_offsets:
                self._renew_offsets(kind)
            self._measure(kind, min_engines)

    def changes(self, speeds: EngineSpeeds) -> list[SpeedChange]:
        """Return the engines whose speed is no longer the one that is known."""
        different = sum(speeds.speed(runner) != TYPICAL for runner in self._engines)
        if different >= MIN_MIXED_ENGINES or self._is_mixed():
            self._max_chance = MIXED_CHANCE
        found = (self._change(runner, speeds.speed(runner)) for runner in self._engines)
        return [one for one in found if one is not None]

    def typical_event_s(self) -> float | None:
        """Return the time of one event on the typical engine without runs; None if not measured."""
        scale = self._scales.get(_STEP)
        return None if scale is None else exp(scale.typical)

    def _is_mixed(self) -> bool:
        """Return whether too many engines were slow, or fast, in all of their bins.

        One engine alone is slow for a few seconds now and then; many at once are not.
        """
        votes = [
            _combined([self._votes(runner, kind) for kind in self._scales])
            for runner in self._engines
        ]
        timed = [one for one in votes if len(one) >= MIN_LEVEL_BINS]
        share = OUTLIER_SHARE**MIN_LEVEL_BINS
        return any(
            is_beyond_chance(
                sum(one.count(sign) == len(one) for one in timed), len(timed), MAX_CHANCE, share
            )
            for sign in (1, -1)
        )

    def _renew_offsets(self, kind: TimingKind) -> None:
        by_instance = {
            runner: timings.by_instance(kind) for runner, timings in self._engines.items()
        }
        levels = self._measure_levels(kind)
        self._offsets.replace(kind, _instance_offsets(by_instance, levels))

    def _measure(self, kind: TimingKind, min_engines: int) -> None:
        """Find the typical engine, and by how much others have to differ."""
        levels = self._measure_levels(kind)
        if len(levels) >= min_engines:
            spread = self._spread(kind, levels)
            difference = max(MIN_DIFFERENCE, DIFFERENCE_SPREADS * spread)
            self._scales[kind] = _Scale(median_low(levels.values()), difference)

    def _by_instance(self, kind: TimingKind, runner: RunnerId) -> dict[InstanceId, float]:
        """Return by how much each instance's timings of an engine differ from a typical one's."""
        differences = self._differences.get((kind, runner))
        if differences is None:
            typical = self._scales[kind].typical
            differences = self._differences[kind, runner] = {
                instance: value - self._offsets.of(instance, kind) - typical
                for instance, value in self._engines[runner].by_instance(kind).items()
            }
        return differences

    def _measure_levels(self, kind: TimingKind) -> dict[RunnerId, float]:
        """Return the median of each engine that has enough timings."""
        medians = self._medians[kind] = {
            runner: timings.medians(kind, self._offsets)
            for runner, timings in self._engines.items()
        }
        present = {runner: _present(values) for runner, values in medians.items()}
        return {
            runner: median(values)
            for runner, values in present.items()
            if len(values) >= MIN_LEVEL_BINS
        }

    def _spread(self, kind: TimingKind, levels: dict[RunnerId, float]) -> float:
        """Return the standard deviation of bins from their engine's level, without outliers."""
        residuals = [
            abs(value - level)
            for runner, level in levels.items()
            for value in _present(self._medians[kind][runner])
        ]
        return MAD_TO_DEVIATION * median(residuals)

    def _change(self, runner: RunnerId, before: EngineSpeed) -> SpeedChange | None:
        votes_by_kind = {kind: self._votes(runner, kind) for kind in self._scales}
        if not votes_by_kind:
            return None
        votes = _combined(list(votes_by_kind.values()))
        # An engine may differ in one kind only, so each is tried alone as well.
        tries = [(votes, (_STEP, _PREFILL))]
        tries += [(_present(own), (kind,)) for kind, own in votes_by_kind.items()]
        after = self._estimate(runner, votes_by_kind)
        for tried, kinds in tries:
            sign = _direction(tried, self._max_chance)
            if not sign:
                continue
            change = self._as_change(runner, before, after, tried.count(sign), len(votes))
            if change is None or self._instances_agree(runner, sign, kinds):
                return change
        if before == TYPICAL or len(votes) < MIN_RETURN_BINS:
            return None
        if self._is_typical(runner):
            return self._as_change(runner, before, TYPICAL, 0, len(votes))
        # Between the two limits, an engine that differs less than before keeps the smaller speed.
        if _is_nearer_typical(after, before):
            return self._as_change(runner, before, after, 0, len(votes))
        return None

    def _as_change(
        self, runner: RunnerId, before: EngineSpeed, after: EngineSpeed, unusual: int, bins: int
    ) -> SpeedChange | None:
        if after == before:
            return None
        ratios = (
            after.prefill_factor / before.prefill_factor,
            after.step_factor / before.step_factor,
        )
        if all(1 / MIN_CHANGE < ratio < MIN_CHANGE for ratio in ratios) and after != TYPICAL:
            return None
        instances = self._engines[runner].count_instances()
        return SpeedChange(runner, before, after, bins, unusual, instances)

    def _votes(self, runner: RunnerId, kind: TimingKind) -> list[int | None]:
        """Return for each bin whether it is slow (1), fast (-1) or neither; None if not timed."""
        scale = self._scales[kind]
        return [
            None if value is None else _sign(value - scale.typical, scale.difference)
            for value in self._medians[kind][runner]
        ]

    def _instances_agree(self, runner: RunnerId, sign: int, kinds: tuple[TimingKind, ...]) -> bool:
        """Return whether most instances, and not only one of several, find the difference.

        The first of `kinds` that has timings decides. If only one instance has any, the engine has
        to differ from the others that it has timed too.
        """
        for kind in kinds:
            values = self._by_instance(kind, runner) if kind in self._scales else {}
            if not values:
                continue
            difference = self._scales[kind].difference
            agreeing = sum(_sign(value, difference) == sign for value in values.values())
            if len(values) > 1:
                return agreeing > 1 and 2 * agreeing > len(values)
            ((instance, value),) = values.items()
            usual = self._usual_at(instance, runner, kind, sign)
            return usual is not None and sign * value - usual > difference
        return False

    def _usual_at(
        self, instance: InstanceId, runner: RunnerId, kind: TimingKind, sign: int
    ) -> float | None:
        """Return by how much the other engines differ at one instance, in the direction `sign`.

        None if it has timings of too few of them.
        """
        at_others = (
            self._by_instance(kind, other).get(instance)
            for other in self._engines
            if other != runner
        )
        values = _present(list(at_others))
        if len(values) < min(2, len(self._engines) - 1):
            return None
        return max(0.0, sign * median(values)) if values else 0.0

    def _estimate(
        self, runner: RunnerId, votes_by_kind: dict[TimingKind, list[int | None]]
    ) -> EngineSpeed:
        differences = {
            kind: [
                value - self._scales[kind].typical
                for value in _present(self._medians[kind][runner])
            ]
            for kind in votes_by_kind
        }
        prefills, steps = differences.get(_PREFILL, []), differences.get(_STEP, [])
        return EngineSpeed(
            _factor(prefills, steps, PREFILL_SUPPORT_BINS), _factor(steps, prefills, 0)
        )

    def _is_typical(self, runner: RunnerId) -> bool:
        for kind, scale in self._scales.items():
            values = _present(self._medians[kind][runner])
            if values and abs(median(values) - scale.typical) > RETURN_SHARE * scale.difference:
                return False
        return True


def _instance_offsets(
    by_instance: dict[RunnerId, dict[InstanceId, float]], levels: dict[RunnerId, float]
) -> dict[InstanceId, float]:
    """Return by how much each instance's timings are longer than others' of the same engines."""
    residuals: dict[InstanceId, list[float]] = {}
    for runner, level in levels.items():
        values = by_instance[runner]
        if len(values) > 1:
            for instance, value in values.items():
                residuals.setdefault(instance, []).append(value - level)
    min_engines = min(MIN_OFFSET_ENGINES, len(by_instance))
    return {
        instance: median(values)
        for instance, values in residuals.items()
        if len(values) >= min_engines and _is_one_sided(values)
    }


def _is_one_sided(residuals: list[float]) -> bool:
    signs = [_sign(one, MIN_OFFSET) for one in residuals]
    return max(signs.count(1), signs.count(-1)) >= OFFSET_SHARE * len(signs)


def _present(values: list) -> list:
    return [one for one in values if one is not None]


def _combined(votes_by_kind: list[list[int | None]]) -> list[int]:
    """Return one vote for each bin. Gaps count before first tokens, which depend on more."""
    combined = (
        next((vote for vote in reversed(votes) if vote is not None), None)
        for votes in zip(*votes_by_kind, strict=True)
    )
    return _present(list(combined))


def _direction(votes: list[int], max_chance: float) -> int:
    """Return 1 if too many bins are slow for a typical engine, -1 if too many are fast, else 0."""
    for sign in (1, -1):
        if is_beyond_chance(votes.count(sign), len(votes), max_chance):
            return sign
    return 0


def _factor(own: list[float], others: list[float], min_support: int) -> float:
    """Return the factor of one kind; 1.0 if it does not differ.

    The median of the other kind counts as `min_support` bins, or more if there are few own ones.
    """
    support = max(MIN_OWN_BINS - len(own), min_support) if others else 0
    values = [*own, *[median(others)] * support] if support else own
    difference = median(values) if values else 0.0
    if abs(difference) < RETURN_SHARE * MIN_DIFFERENCE:
        return 1.0
    # Limited before `exp`, which overflows for the ratio of two extreme times from messages.
    difference = min(log(MAX_PERCENT / 100), max(log(MIN_PERCENT / 100), difference))
    return round(exp(difference) * 100) / 100


def _is_nearer_typical(speed: EngineSpeed, other: EngineSpeed) -> bool:
    """Return whether neither factor of a speed is further from 1 than that of another speed."""
    return abs(log(speed.prefill_factor)) <= abs(log(other.prefill_factor)) and abs(
        log(speed.step_factor)
    ) <= abs(log(other.step_factor))


def _sign(value: float, difference: float) -> int:
    return (value > difference) - (value < -difference)
