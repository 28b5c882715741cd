"""The crash record of one request: the runners that ended while they ran it.

Records of the same request merge in any order and any number of times to the same record, so that
instances that could not reach each other agree as soon as they can.
"""

from collections.abc import Container, Mapping
from dataclasses import dataclass, field, replace

from egretstack.crashes._checks import checked_age_s, checked_id, is_integer
from egretstack.ids import ContentId, RunnerId
from egretstack.messages import MessageError

EARLY_WEIGHT = 2
LATE_WEIGHT = 1
EARLY_S = 3.0
"""Time after its first event within which a stream is a likely cause of its runner's end.

A long stream that continues on copy after copy is in progress when many runners end for other
causes.
"""
REFUSE_WEIGHT = 3 * EARLY_WEIGHT
MAX_RUNNERS = 16
"""Maximum number of runners in one record; the request is refused long before that."""
MAX_ROUND = 2**31


@dataclass(frozen=True, slots=True)
class Strike:
    """One end of a runner while it ran a request; times are on this process's clock."""

    runner: RunnerId
    sent_s: float
    ended_s: float
    weight: int
    round: int = 0
    """The round of the record in which it counts."""


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """All ends of runners under one request since it was last answered."""

    round: int = 0
    """How often an answer has cleared the request; a record of a later round takes precedence."""
    weight_by_runner: Mapping[RunnerId, int] = field(default_factory=dict)
    recurred: bool = False
    """Whether a run was sent after the runner of another one had ended.

    Equal requests that are in progress on several runners when these lose power did not cause it.
    """

    @property
    def weight(self) -> int:
        """The total weight of the strikes against the request."""
        return sum(self.weight_by_runner.values())

    @property
    def is_refused(self) -> bool:
        """Whether no runner may get the request."""
        return self.recurred and self.weight >= REFUSE_WEIGHT

    def cleared(self) -> "CrashRecord":
        """Return the record after a runner has answered the request."""
        return CrashRecord(min(self.round + 1, MAX_ROUND))

    def without(self, runners: Container[RunnerId]) -> "CrashRecord":
        """Return the record without the ends of some runners."""
        weights = {
            runner: weight
            for runner, weight in self.weight_by_runner.items()
            if runner not in runners
        }
        return replace(self, weight_by_runner=weights)

    def merged(self, other: "CrashRecord") -> "CrashRecord":
        """Return the combination of both records."""
        if self.round != other.round:
            return max(self, other, key=lambda record: record.round)
        weights = dict(self.weight_by_runner)
        for runner, weight in other.weight_by_runner.items():
            if runner in weights or len(weights) < MAX_RUNNERS:
                weights[runner] = max(weight, weights.get(runner, 0))
        return CrashRecord(self.round, weights, self.recurred or other.recurred)


def strike_weight(first_event_s: float | None, broke_s: float) -> int:
    """Return the weight of a strike, by the time from the stream's first event to its break."""
    late = first_event_s is not None and broke_s - first_event_s > EARLY_S
    return LATE_WEIGHT if late else EARLY_WEIGHT


def record_row(record: CrashRecord) -> list:
    """Return a record as a row for a message or the store."""
    return [record.round, dict(record.weight_by_runner), record.recurred]


def record_from_row(row: object) -> CrashRecord:
    """Parse the row of a record. Raises MessageError."""
    try:
        round_number, weights, recurred = row
        round_number = _round(round_number)
        items = [(RunnerId(checked_id(name)), _weight(weight)) for name, weight in weights.items()]
    except (AttributeError, TypeError, ValueError) as error:
        raise MessageError(f"not a crash record: {error}") from error
    if not isinstance(recurred, bool):
        raise MessageError("crash record: recurred is not a boolean")
    if len(items) > MAX_RUNNERS:
        raise MessageError(f"crash record with {len(items)} runners")
    return CrashRecord(round_number, dict(items), recurred)


def strike_row(content: ContentId, strike: Strike, now_s: float) -> list:
    """Return a strike as a row for a message; times are sent as ages in ms."""
    ages_ms = [round((now_s - time_s) * 1000) for time_s in (strike.sent_s, strike.ended_s)]
    return [content, strike.runner, *ages_ms, strike.weight, strike.round]


def strike_from_row(row: object, now_s: float) -> tuple[ContentId, Strike]:
    """Parse the row of a strike. Raises MessageError."""
    try:
        content, runner, sent_ms, ended_ms, weight, round_number = row
        sent_s, ended_s = (now_s - checked_age_s(age_ms) for age_ms in (sent_ms, ended_ms))
        strike = Strike(
            RunnerId(checked_id(runner)), sent_s, ended_s, _weight(weight), _round(round_number)
        )
        return ContentId(checked_id(content)), strike
    except (TypeError, ValueError) as error:
        raise MessageError(f"not a strike: {error}") from error


def _round(value: object) -> int:
    if not is_integer(value) or not 0 <= value <= MAX_ROUND:
        raise ValueError("invalid round")
    return value


def _weight(value: object) -> int:
    if not is_integer(value) or value not in (LATE_WEIGHT, EARLY_WEIGHT):
        raise ValueError("invalid weight")
    return value
