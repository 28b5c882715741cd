"""What runners say of how many requests a second they take, as one instance knows it; pure.

A runner names its limit in each of its answers, and takes it back by an answer without one. Answers
reach different instances, and pass each other on different connections: the latest word counts,
whoever heard it.
"""

from collections.abc import Container, Mapping
from dataclasses import dataclass, replace

from egretstack.ids import RunnerId
from egretstack.messages import MessageError

WITHDRAWAL_REPEAT_S = 2.0
"""How long it goes with each report that a limit was taken back."""
MAX_REPORTED = 32
"""Words in one report, some 40 bytes each."""
HOME_LIMIT_AGE_S = 1.0
"""Age of what the home tells: an instance's own word of the last second may not have reached it."""
MAX_PER_S = 1_000_000.0
MAX_AGE_MS = 3_600_000


@dataclass(frozen=True, slots=True)
class _LimitReport:
    per_s: float | None
    reported_s: float
    since_s: float
    """When it was first known here that the runner names a limit, or none."""
    is_own: bool
    """Whether this instance heard it from the runner itself."""


class RunnerLimits:
    """The latest word of each runner that named a limit."""

    def __init__(self) -> None:
        self._report_by_id: dict[RunnerId, _LimitReport] = {}

    def record_answer(
        self, now_s: float, runner_id: RunnerId, per_s: float | None, sent_s: float
    ) -> bool:
        """Take what an answer says, whose request went out at `sent_s`.

        Tells whether the runner is limited now and was not before, or is not any more.

        An answer without a limit may have been on its way when the runner named one. It counts if
        its request was sent after this was known.
        """
        known = self._report_by_id.get(runner_id)
        if per_s is None and (known is None or not _is_later(sent_s, known)):
            return False
        return self._put(now_s, runner_id, per_s, now_s, is_own=True)

    def record_reported(
        self, now_s: float, runner_id: RunnerId, per_s: float | None, reported_s: float
    ) -> bool:
        """Take another instance's word of what a runner said at a time; tells what `heard` does."""
        known = self._report_by_id.get(runner_id)
        if reported_s <= (known.reported_s if known is not None else float("-inf")):
            return False
        if per_s is None and known is None:
            return False
        return self._put(now_s, runner_id, per_s, reported_s, is_own=False)

    def apply_home_limits(
        self, now_s: float, per_s_by_id: Mapping[RunnerId, float]
    ) -> set[RunnerId]:
        """Take all limits that the home knows of; give the runners that are limited or free now.

        What is known already becomes no newer by this: the next home would believe it rather than
        who has heard since that the limit is over.
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
        """Give how many requests a second a runner takes; None if it names no limit."""
        report = self._report_by_id.get(runner_id)
        return None if report is None else report.per_s

    def limited(self) -> dict[RunnerId, float]:
        """Give the limits of the runners that name one."""
        words = self._report_by_id.items()
        return {one: word.per_s for one, word in words if word.per_s is not None}

    def rows(self, now_s: float) -> list:
        """Give the rows of all limits, and of those lately taken back, for a report.

        Whoever becomes home next may have started a moment ago, and know of none.
        """
        words = [
            (word.reported_s, one, word.per_s)
            for one, word in self._report_by_id.items()
            if word.per_s is not None
            or (word.is_own and now_s - word.reported_s <= WITHDRAWAL_REPEAT_S)
        ]
        words.sort(key=lambda one: -one[0])
        return [
            [one, per_s, _age_ms(now_s - said_s)] for said_s, one, per_s in words[:MAX_REPORTED]
        ]

    def retain(self, kept: Container[RunnerId]) -> None:
        """Forget runners that are not among those kept."""
        for gone in [one for one in self._report_by_id if one not in kept]:
            del self._report_by_id[gone]

    def _put(
        self,
        now_s: float,
        runner_id: RunnerId,
        per_s: float | None,
        reported_s: float,
        *,
        is_own: bool,
    ) -> bool:
        """Keep a word; tell whether the runner is limited now and was not, or is not any more."""
        known = self._report_by_id.get(runner_id)
        was_limited = known is not None and known.per_s is not None
        goes_on = known is not None and was_limited == (per_s is not None)
        since_s = known.since_s if goes_on else now_s
        self._report_by_id[runner_id] = _LimitReport(per_s, reported_s, since_s, is_own)
        return not goes_on


def limit_from_row(row: object) -> tuple[RunnerId, float | None, float]:
    """Read a row of a report: runner, limit, and how old the word is. Raises MessageError."""
    try:
        runner, per_s, age_ms = row
    except (TypeError, ValueError) as error:
        raise MessageError(f"not a limit: {error}") from error
    if not isinstance(runner, str) or not isinstance(age_ms, int):
        raise MessageError("a limit of no runner or age")
    if not 0 <= age_ms <= MAX_AGE_MS:
        raise MessageError(f"a limit of {age_ms} ms ago")
    return RunnerId(runner), None if per_s is None else checked_limit(per_s), age_ms / 1000


def checked_limit(per_s: object) -> float:
    """Give a limit of a message in requests a second. Raises MessageError."""
    if not isinstance(per_s, int | float) or not 0 <= per_s <= MAX_PER_S:
        raise MessageError("a limit that is no rate")
    return float(per_s)


def _age_ms(age_s: float) -> int:
    return min(MAX_AGE_MS, max(0, round(age_s * 1000)))


def _is_later(sent_s: float, known: _LimitReport) -> bool:
    own_s = known.reported_s if known.is_own else float("-inf")
    return sent_s > max(known.since_s, own_s)
