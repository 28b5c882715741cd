"""Request rate limits that runners give, as one instance knows them; pure.

A runner names its limit in each of its answers, and withdraws it by an answer without one. Answers
reach different instances and overtake each other on different connections: the latest statement
counts, whichever instance received it.
"""

from collections.abc import Container, Mapping
from dataclasses import dataclass, replace

from egretstack.ids import RunnerId
from egretstack.messages import MessageError

WITHDRAWAL_REPEAT_S = 2.0
"""How long each report repeats that a limit was withdrawn."""
MAX_REPORTED = 32
"""Limits in one report, about 40 bytes each."""
HOME_LIMIT_AGE_S = 1.0
"""Assumed age of the limits that the home sends: what this instance received in the last second may
not have reached the home."""
MAX_PER_S = 1_000_000.0
MAX_AGE_MS = 3_600_000


@dataclass(frozen=True, slots=True)
class _LimitReport:
    per_s: float | None
    reported_s: float
    since_s: float
    """When this instance first knew that the runner names a limit, or none."""
    is_own: bool
    """Whether this instance received it from the runner itself."""


class RunnerLimits:
    """The latest statement of each runner that has named a limit."""

    def __init__(self) -> None:
        self._report_by_id: dict[RunnerId, _LimitReport] = {}

    def record_answer(
        self, now_s: float, runner_id: RunnerId, per_s: float | None, sent_s: float
    ) -> bool:
        """Record what an answer says, whose request was sent at `sent_s`.

        Returns whether the runner became limited or unlimited by it.

        An answer without a limit may have been in flight when the runner named one. It counts only
        if its request was sent after the limit was known.
        """
        known = self._report_by_id.get(runner_id)
        if per_s is None and (known is None or not _is_later(sent_s, known)):
            return False
        return self._put(now_s, runner_id, per_s, now_s, is_own=True)

    def record_reported(
        self, now_s: float, runner_id: RunnerId, per_s: float | None, reported_s: float
    ) -> bool:
        """Record what another instance received of a runner; returns what `record_answer` does."""
        known = self._report_by_id.get(runner_id)
        if reported_s <= (known.reported_s if known is not None else float("-inf")):
            return False
        if per_s is None and known is None:
            return False
        return self._put(now_s, runner_id, per_s, reported_s, is_own=False)

    def apply_home_limits(
        self, now_s: float, per_s_by_id: Mapping[RunnerId, float]
    ) -> set[RunnerId]:
        """Apply all limits known to the home; return the runners that became limited or unlimited.

        Limits that are known already do not become newer by this: otherwise the next home would
        prefer them to the statement of an instance that knows since then that the limit has ended.
        """
        changed = set()
        for runner_id in {*per_s_by_id, *self.limited()}:
            per_s, known = per_s_by_id.get(runner_id), self._report_by_id.get(runner_id)
            if known is not None and None not in (known.per_s, per_s):
                self._report_by_id[runner_id] = replace(known, per_s=per_s)
            elif self.record_reported(now_s, runner_id, per_s, now_s - HOME_LIMIT_AGE_S):
                changed.add(runner_id)
        return changed

    def per_s(self, runner_id: RunnerId) -> float | None:
        """Return how many requests a second a runner accepts; None if it names no limit."""
        report = self._report_by_id.get(runner_id)
        return None if report is None else report.per_s

    def limited(self) -> dict[RunnerId, float]:
        """Return the limits of the runners that name one."""
        reports = self._report_by_id.items()
        return {
            runner_id: report.per_s for runner_id, report in reports if report.per_s is not None
        }

    def rows(self, now_s: float) -> list:
        """Return the rows of all limits, and of those lately withdrawn, for a report.

        The next home may have started a moment ago and know of none.
        """
        reports = [
            (report.reported_s, runner_id, report.per_s)
            for runner_id, report in self._report_by_id.items()
            if report.per_s is not None
            or (report.is_own and now_s - report.reported_s <= WITHDRAWAL_REPEAT_S)
        ]
        reports.sort(key=lambda report: -report[0])
        return [
            [runner_id, per_s, _age_ms(now_s - reported_s)]
            for reported_s, runner_id, per_s in reports[:MAX_REPORTED]
        ]

    def retain(self, kept: Container[RunnerId]) -> None:
        """Drop the limits of all runners but those given."""
        for removed in [runner_id for runner_id in self._report_by_id if runner_id not in kept]:
            del self._report_by_id[removed]

    def _put(
        self,
        now_s: float,
        runner_id: RunnerId,
        per_s: float | None,
        reported_s: float,
        *,
        is_own: bool,
    ) -> bool:
        """Store a statement; return whether the runner became limited or unlimited by it."""
        known = self._report_by_id.get(runner_id)
        was_limited = known is not None and known.per_s is not None
        unchanged = known is not None and was_limited == (per_s is not None)
        since_s = known.since_s if unchanged else now_s
        self._report_by_id[runner_id] = _LimitReport(per_s, reported_s, since_s, is_own)
        return not unchanged


def limit_from_row(row: object) -> tuple[RunnerId, float | None, float]:
    """Parse a row of a report: runner, limit, age of the statement. Raises MessageError."""
    try:
        runner, per_s, age_ms = row
    except (TypeError, ValueError) as error:
        raise MessageError(f"invalid limit row: {error}") from error
    if not isinstance(runner, str) or not isinstance(age_ms, int):
        raise MessageError("a limit without a valid runner or age")
    if not 0 <= age_ms <= MAX_AGE_MS:
        raise MessageError(f"a limit with an age of {age_ms} ms")
    return RunnerId(runner), None if per_s is None else checked_limit(per_s), age_ms / 1000


def checked_limit(per_s: object) -> float:
    """Return a limit of a message in requests a second. Raises MessageError."""
    if not isinstance(per_s, int | float) or not 0 <= per_s <= MAX_PER_S:
        raise MessageError("a limit that is not a valid rate")
    return float(per_s)


def _age_ms(age_s: float) -> int:
    return min(MAX_AGE_MS, max(0, round(age_s * 1000)))


def _is_later(sent_s: float, known: _LimitReport) -> bool:
    own_s = known.reported_s if known.is_own else float("-inf")
    return sent_s > max(known.since_s, own_s)
