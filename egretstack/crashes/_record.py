"""What is known of one request: the runners that ended while they ran it.

Records of the same request merge in any order and any number of times to the same record, so that
instances which could not reach each other agree as soon as they can.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from egretstack.ids import ContentId, RunnerId
from egretstack.messages import MessageError

EARLY_WEIGHT = 2
LATE_WEIGHT = 1
EARLY_S = 3.0
"""Time after its first event within which a stream is a likely cause of its runner's end.

One that goes on at copy after copy for long is in progress at many ends that others cause.
"""
REFUSE_WEIGHT = 3 * EARLY_WEIGHT
MAX_RUNNERS = 16
"""Runners that one record names; it is refused long before."""
MAX_ROUND = 2**31
MAX_ID_LENGTH = 256
MAX_AGE_S = 3600.0


@dataclass(frozen=True, slots=True)
class Strike:
    """One end of a runner while it ran a request; times are of this process's clock."""

    runner: RunnerId
    sent_s: float
    ended_s: float
    weight: int
    round: int = 0
    """The round of the record for which it counts."""


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """All ends of one request's runners since it was last answered."""

    round: int = 0
    """How often an answer has cleared the request; the record of a later round goes before."""
    weight_by_runner: Mapping[RunnerId, int] = field(default_factory=dict)
    recurred: bool = False
    """Whether some run was sent after another one's runner had ended.

    Equal requests in progress at several runners when these lose their power are no cause of it.
    """

    @property
    def weight(self) -> int:
        """Give how much speaks against the request."""
        return sum(self.weight_by_runner.values())

    @property
    def is_refused(self) -> bool:
        """Tell whether no runner may get the request."""
        return self.recurred and self.weight >= REFUSE_WEIGHT

    def cleared(self) -> "CrashRecord":
        """Give the record after a runner has answered the request."""
        return CrashRecord(min(self.round + 1, MAX_ROUND))

    def merged(self, other: "CrashRecord") -> "CrashRecord":
        """Give what both records tell together."""
        if self.round != other.round:
            return max(self, other, key=lambda one: one.round)
        weights = dict(self.weight_by_runner)
        for runner, weight in other.weight_by_runner.items():
            if runner in weights or len(weights) < MAX_RUNNERS:
                weights[runner] = max(weight, weights.get(runner, 0))
        return CrashRecord(self.round, weights, self.recurred or other.recurred)


def strike_weight(first_event_s: float | None, broke_s: float) -> int:
    """Give how much the end of a runner speaks against a request, by its stream's first event."""
    late = first_event_s is not None and broke_s - first_event_s > EARLY_S
    return LATE_WEIGHT if late else EARLY_WEIGHT


def record_row(record: CrashRecord) -> list:
    """Give the row of a record for a message or the store."""
    return [record.round, dict(record.weight_by_runner), record.recurred]


def record_from_row(row: object) -> CrashRecord:
    """Read the row of a record. Raises MessageError."""
    try:
        number, weights, recurred = row
        number = _round(number)
        items = [(RunnerId(_id(name)), _weight(weight)) for name, weight in weights.items()]
    except (AttributeError, TypeError, ValueError) as error:
        raise MessageError(f"not a record of ended runners: {error}") from error
    if not isinstance(recurred, bool):
        raise MessageError("a record of ended runners without its mark")
    if len(items) > MAX_RUNNERS:
        raise MessageError(f"a record of {len(items)} ended runners")
    return CrashRecord(number, dict(items), recurred)


def strike_row(content: ContentId, strike: Strike, now_s: float) -> list:
    """Give the row of a strike for a message; times go as ages in ms."""
    ages_ms = [round((now_s - one) * 1000) for one in (strike.sent_s, strike.ended_s)]
    return [content, strike.runner, *ages_ms, strike.weight, strike.round]


def strike_from_row(row: object, now_s: float) -> tuple[ContentId, Strike]:
    """Read the row of a strike. Raises MessageError."""
    try:
        content, runner, sent_ms, ended_ms, weight, number = row
        sent_s, ended_s = (now_s - _age_s(one) for one in (sent_ms, ended_ms))
        strike = Strike(RunnerId(_id(runner)), sent_s, ended_s, _weight(weight), _round(number))
        return ContentId(_id(content)), strike
    except (TypeError, ValueError) as error:
        raise MessageError(f"not an ended runner: {error}") from error


def _is_whole(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _id(value: object) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= MAX_ID_LENGTH:
        raise ValueError("a bad id")
    return value


def _round(value: object) -> int:
    if not _is_whole(value) or not 0 <= value <= MAX_ROUND:
        raise ValueError("a bad round")
    return value


def _weight(value: object) -> int:
    if not _is_whole(value) or value not in (LATE_WEIGHT, EARLY_WEIGHT):
        raise ValueError("a bad weight")
    return value


def _age_s(value: object) -> float:
    if not _is_whole(value):
        raise ValueError("a bad age")
    return min(max(value / 1000, 0.0), MAX_AGE_S)
