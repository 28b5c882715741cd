"""The latest timings of one engine, in bins of time, and how unusual they are. Does no I/O."""

from collections import deque
from dataclasses import dataclass
from enum import IntEnum
from functools import cache
from math import comb
from statistics import median

from egretstack.ids import InstanceId

BIN_S = 1.0
"""Length of a bin. Other work slows a machine for some 600 ms at a time; timings of one bin may all
be affected by it, those of two bins seldom by the same."""
MAX_BINS = 24
MAX_AGE_S = 300.0
"""Age from which timings do not count. An engine that is timed every 12 s fills its bins in that
time. Without a limit, an instance that becomes the home again would judge by the timings of its
former time as the home."""
MAX_TIMINGS_PER_BIN = 8
OUTLIER_SHARE = 0.2
"""Share of the bins that may be slow on any engine: shared machines are slow for 15% of the time,
and the forecasts that timings are compared with are at times wrong."""
MAX_CHANCE = 2e-5
"""Largest probability at which as many slow bins would occur on an engine like the others. An
engine needs 7 bins that are all slow, or 15 of 24. In a fleet of 45 engines about one in a thousand
starts then has one engine that is judged wrongly for a while."""
MIXED_CHANCE = 2e-3
"""The same in a fleet in which several engines are known to differ, so that another one is no
surprise. An engine needs 4 bins that are all slow."""


class TimingKind(IntEnum):
    """What was timed. Its members are integers, since they are looked up for each bin."""

    PREFILL = 0
    STEP = 1


@dataclass(frozen=True, slots=True)
class Timing:
    """One timing of one instance."""

    instance: InstanceId
    kind: TimingKind
    log_ratio: float
    """Logarithm of the time, relative to what was expected of a typical engine."""


class InstanceOffsets:
    """By how much the timings of single instances are too long on all engines, as logarithms."""

    def __init__(self) -> None:
        self.version = 0
        """Counts the changes."""
        self._offset_by_key: dict[tuple[InstanceId, TimingKind], float] = {}

    def of(self, instance: InstanceId, kind: TimingKind) -> float:
        """Return an instance's offset; 0 if there is none."""
        return self._offset_by_key.get((instance, kind), 0.0)

    def replace(self, kind: TimingKind, offset_by_instance: dict[InstanceId, float]) -> None:
        """Replace the offsets of a kind."""
        kept = {key: value for key, value in self._offset_by_key.items() if key[1] is not kind}
        offsets = kept | {(instance, kind): one for instance, one in offset_by_instance.items()}
        if offsets != self._offset_by_key:
            self._offset_by_key = offsets
            self.version += 1


class TimingBin:
    """The timings of one engine within `BIN_S`."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.timings: list[Timing] = []
        self._medians: dict[TimingKind, float | None] = {}
        """Medians that are still valid: only the last bin changes, and offsets seldom do."""
        self._offsets_version = -1

    def add(self, timing: Timing) -> None:
        """Add a timing, unless there are enough."""
        if len(self.timings) < MAX_TIMINGS_PER_BIN:
            self.timings.append(timing)
            self._medians.clear()

    def median(self, kind: TimingKind, offsets: InstanceOffsets) -> float | None:
        """Return the median of a kind, None if there is none."""
        if self._offsets_version != offsets.version:
            self._offsets_version = offsets.version
            self._medians.clear()
        if kind not in self._medians:
            values = [
                one.log_ratio - offsets.of(one.instance, kind)
                for one in self.timings
                if one.kind is kind
            ]
            self._medians[kind] = median(values) if values else None
        return self._medians[kind]


class TimingBins:
    """The latest timings of one engine."""

    def __init__(self) -> None:
        self._bins: deque[TimingBin] = deque(maxlen=MAX_BINS)

    def add(self, now_s: float, timing: Timing) -> None:
        """Add a timing."""
        number = int(now_s / BIN_S)
        if not self._bins or self._bins[-1].number != number:
            self._bins.append(TimingBin(number))
        self._bins[-1].add(timing)

    def drop_old(self, now_s: float) -> None:
        """Forget the timings that are too old to count."""
        while self._bins and now_s - self._bins[0].number * BIN_S > MAX_AGE_S:
            self._bins.popleft()

    def medians(self, kind: TimingKind, offsets: InstanceOffsets) -> list[float | None]:
        """Return each bin's median of a kind, None where it has none."""
        return [one.median(kind, offsets) for one in self._bins]

    def covered_s(self) -> float:
        """Return the total length of the bins that have timings."""
        return BIN_S * len(self._bins)

    def count_instances(self) -> int:
        """Return how many instances have timings."""
        return len({timing.instance for one in self._bins for timing in one.timings})

    def by_instance(self, kind: TimingKind) -> dict[InstanceId, float]:
        """Return each instance's median of a kind, without its offset taken off."""
        values_by_instance: dict[InstanceId, list[float]] = {}
        for one in self._bins:
            for timing in one.timings:
                if timing.kind is kind:
                    values_by_instance.setdefault(timing.instance, []).append(timing.log_ratio)
        return {instance: median(values) for instance, values in values_by_instance.items()}


def is_beyond_chance(
    count: int, total: int, max_chance: float = MAX_CHANCE, share: float = OUTLIER_SHARE
) -> bool:
    """Return whether `count` unusual ones of `total` are too many if `share` usually are."""
    return count >= _min_count(total, max_chance, share)


@cache
def _min_count(total: int, max_chance: float, share: float) -> int:
    """Return the least number of unusual ones that is beyond chance; above `total` if none is."""
    chance = 0.0
    for count in range(total, -1, -1):
        chance += comb(total, count) * share**count * (1 - share) ** (total - count)
        if chance > max_chance:
            return count + 1
    return 0
