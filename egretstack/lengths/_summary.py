"""What one instance has learned of lengths, in bounded bytes for its peers."""

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
    """Counts by key."""

    by_key: dict[LengthKey, HazardCounts] = field(default_factory=dict)

    def __contains__(self, key: object) -> bool:
        return key in self.by_key


def pack_summary(summary: LengthSummary) -> bytes:
    """Give the keys with the most sessions, in at most MAX_SUMMARY_BYTES."""
    shared = sorted(summary.by_key.items(), key=lambda pair: -pair[1].at_risk[0])
    rows = [_row(key, counts) for key, counts in shared[:MAX_SUMMARY_KEYS]]
    packed = msgpack.packb(rows)
    while len(packed) > MAX_SUMMARY_BYTES:
        rows = rows[: len(rows) // 2]
        packed = msgpack.packb(rows)
    return packed


def unpack_summary(packed: bytes) -> LengthSummary:
    """Read a summary; raise ValueError for one that is too large or malformed."""
    if len(packed) > MAX_SUMMARY_BYTES:
        raise ValueError("a summary that is too large")
    try:
        rows = msgpack.unpackb(packed, max_str_len=MAX_TEXT, max_array_len=2 * BUCKETS)
        return LengthSummary(
            {
                LengthKey(
                    ServiceName(_text(service)),
                    ModelName(_text(model)),
                    AccountId(_text(account)),
                    _text(prefix),
                ): _hazards(came, ended)
                for service, model, account, prefix, came, ended in rows
            }
        )
    except (TypeError, msgpack.UnpackException) as error:
        raise ValueError("a summary that cannot be read") from error


def _row(key: LengthKey, counts: HazardCounts) -> list[object]:
    came = [round(count) for count in counts.at_risk]
    ended = [round(count) for count in counts.ended]
    return [key.service, key.model, key.account, key.prefix, came, ended]


def _text(value: object) -> str:
    if not isinstance(value, str):
        raise ValueError("a name that is not text")
    return value


def _hazards(came: object, ended: object) -> HazardCounts:
    counts = HazardCounts()
    counts.at_risk = _counts(came)
    counts.ended = _counts(ended)
    if any(more > all_ for more, all_ in zip(counts.ended, counts.at_risk, strict=True)):
        raise ValueError("more sessions ended than came")
    return counts


def _counts(value: object) -> list[float]:
    if not isinstance(value, list) or len(value) != BUCKETS:
        raise ValueError("counts of another number of buckets")
    if not all(isinstance(one, int) and 0 <= one <= DECAY_SESSIONS for one in value):
        raise ValueError("a count out of bounds")
    return [float(one) for one in value]
