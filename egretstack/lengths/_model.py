"""The length model: a survival curve per service, model, account and prompt prefix."""

from collections import OrderedDict
from dataclasses import dataclass

from egretstack.ids import InstanceId
from egretstack.lengths._buckets import BUCKETS, EDGES, bucket_index
from egretstack.lengths._curve import SurvivalCurve
from egretstack.lengths._hazards import HazardCounts
from egretstack.lengths._key import LengthKey
from egretstack.lengths._summary import LengthSummary

MAX_KEYS = 2048
MAX_SOURCES = 16
PARENT_WEIGHT_SESSIONS = 4.0
"""Weight of the estimate one level up, as a number of sessions."""
PRIOR_HAZARDS = tuple(min(0.9, 0.02 + 0.0006 * bucket**2) for bucket in range(BUCKETS))
"""Share of sessions that end in each bucket, without observations: a median of about 130 tokens,
one in ten above 2,000, one in a hundred above 13,000."""
REBUILD_SHARE = 32
"""A curve is rebuilt after its observations grew by one part in this many, and by at least
`MIN_NEW_OBSERVATIONS`."""
MIN_NEW_OBSERVATIONS = 8


@dataclass(slots=True)
class _Entry:
    own: HazardCounts
    new_observations: int = 0
    """Observations since the curve was built."""
    observations: int = 0
    curve: SurvivalCurve | None = None


class LengthModel:
    """Learns from sessions as they run and end; forecasts the conditional remaining length.

    Each level's estimate is combined with the one above it, so a new account starts with the
    lengths of its service and a new service with the prior. At most `MAX_KEYS` keys are kept; the
    least recently used are dropped first.
    """

    def __init__(self) -> None:
        self._by_key: OrderedDict[LengthKey, _Entry] = OrderedDict()
        self._by_source: OrderedDict[InstanceId, LengthSummary] = OrderedDict()

    def record_progress(self, key: LengthKey, before: int, now: int) -> None:
        """Record that a running session went from `before` output tokens to `now`."""
        bucket = bucket_index(max(1, before))
        while bucket + 1 < BUCKETS and EDGES[bucket + 1] <= now:
            self._add(key, bucket, ended=False)
            bucket += 1

    def record_finished(self, key: LengthKey, before: int, length: int) -> None:
        """Record that a session last recorded at `before` tokens ended by itself at `length`."""
        self.record_progress(key, before, length)
        self._add(key, bucket_index(max(1, length)), ended=True)

    def curve(self, key: LengthKey) -> SurvivalCurve:
        """Return the current curve of a key."""
        entry = self._entry(key)
        rebuild_at = max(MIN_NEW_OBSERVATIONS, entry.observations // REBUILD_SHARE)
        if entry.curve is None or entry.new_observations >= rebuild_at:
            entry.curve = SurvivalCurve(self._hazards(key))
            entry.new_observations = 0
        return entry.curve

    def session_weight(self, key: LengthKey) -> float:
        """Return the weight of the sessions that a key's curve is based on."""
        return self._counts(key).at_risk[0]

    def summary(self) -> LengthSummary:
        """Return what this instance learned from its own sessions, for other instances."""
        return LengthSummary({key: entry.own for key, entry in self._by_key.items()})

    def set_summary(self, source: InstanceId, summary: LengthSummary) -> None:
        """Store another instance's summary, replacing its previous one."""
        self._by_source[source] = summary
        self._by_source.move_to_end(source)
        while len(self._by_source) > MAX_SOURCES:
            self._by_source.popitem(last=False)
        for entry in self._by_key.values():
            entry.curve = None

    def _add(self, key: LengthKey, bucket: int, *, ended: bool) -> None:
        for level in key.levels():
            entry = self._entry(level)
            entry.own.add(bucket, ended=ended)
            entry.new_observations += 1
            entry.observations += 1

    def _entry(self, key: LengthKey) -> _Entry:
        entry = self._by_key.get(key)
        if entry is None:
            entry = _Entry(HazardCounts())
            self._by_key[key] = entry
            while len(self._by_key) > MAX_KEYS:
                self._by_key.popitem(last=False)
        else:
            self._by_key.move_to_end(key)
        return entry

    def _hazards(self, key: LengthKey) -> list[float]:
        estimate = list(PRIOR_HAZARDS)
        for level in key.levels():
            counts = self._counts(level)
            for bucket, parent in enumerate(estimate):
                ended = counts.ended[bucket] + PARENT_WEIGHT_SESSIONS * parent
                estimate[bucket] = ended / (counts.at_risk[bucket] + PARENT_WEIGHT_SESSIONS)
        return estimate

    def _counts(self, key: LengthKey) -> HazardCounts:
        own = self._entry(key).own
        from_peers = [summary.by_key[key] for summary in self._by_source.values() if key in summary]
        if not from_peers:
            return own
        total = HazardCounts()
        total.merge(own)
        for counts in from_peers:
            total.merge(counts)
        return total
