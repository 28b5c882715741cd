"""What one instance has learned of output lengths, packed for its peers in bounded size."""

from dataclasses import dataclass, field

import msgpack

from egretstack.ids import AccountId, ModelName, ServiceName
from egretstack.lengths._buckets import BUCKETS
from egretstack.lengths._hazards import DECAY_SESSIONS, HazardCounts
from egretstack.lengths._key import LengthKey

MAX_SUMMARY_BYTES = 16_384
MAX_SUMMARY_KEYS = 64
MAX_TEXT = 256


@dataclass(frozen=True)
class LengthSummary:
    """The counts of one instance by key."""

    by_key: dict[LengthKey, HazardCounts] = field(default_factory=dict)

    def __contains__(self, key: object) -> bool:
        return key in self.by_key


def pack_summary(summary: LengthSummary) -> bytes:
    """Pack the keys with the most sessions into at most MAX_SUMMARY_BYTES."""
    by_weight = sorted(summary.by_key.items(), key=lambda pair: -pair[1].at_risk[0])
    rows = [_row(key, counts) for key, counts in by_weight[:MAX_SUMMARY_KEYS]]
    packed = msgpack.packb(rows)
    while len(packed) > MAX_SUMMARY_BYTES:
        rows = rows[: len(rows) // 2]
        packed = msgpack.packb(rows)
    return packed


def unpack_summary(packed: bytes) -> LengthSummary:
    """Unpack a summary; raise ValueError if it is too large or malformed."""
    if len(packed) > MAX_SUMMARY_BYTES:
        raise ValueError("the length summary is too large")
    try:
        rows = msgpack.unpackb(packed, max_str_len=MAX_TEXT, max_array_len=2 * BUCKETS)
        return LengthSummary(
            {
                LengthKey(
                    ServiceName(_text(service)),
                    ModelName(_text(model)),
                    AccountId(_text(account)),
                    _text(prefix),
                ): _hazards(at_risk, ended)
                for service, model, account, prefix, at_risk, ended in rows
            }
        )
    except (TypeError, msgpack.UnpackException) as error:
        raise ValueError("the length summary is malformed") from error


def _row(key: LengthKey, counts: HazardCounts) -> list[object]:
    at_risk = [round(count) for count in counts.at_risk]
    ended = [round(count) for count in counts.ended]
    return [key.service, key.model, key.account, key.prefix, at_risk, ended]


def _text(value: object) -> str:
    if not isinstance(value, str):
        raise ValueError("a name in the length summary is not a string")
    return value


def _hazards(at_risk: object, ended: object) -> HazardCounts:
    counts = HazardCounts()
    counts.at_risk = _counts(at_risk)
    counts.ended = _counts(ended)
    if any(
        ended_count > count for ended_count, count in zip(counts.ended, counts.at_risk, strict=True)
    ):
        raise ValueError("more sessions ended in a bucket than reached it")
    return counts


def _counts(value: object) -> list[float]:
    if not isinstance(value, list) or len(value) != BUCKETS:
        raise ValueError("the length summary has a wrong number of buckets")
    if not all(isinstance(count, int) and 0 <= count <= DECAY_SESSIONS for count in value):
        raise ValueError("a count in the length summary is out of range")
    return [float(count) for count in value]
