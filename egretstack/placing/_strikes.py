"""Detects plain runners that break requests, from the counts of the whole fleet. Does no I/O.

A runner that resets connections may pass its health check. An instance that finds out by itself
loses a request or two, for good if they may not be repeated; the larger the fleet, the more such
requests are lost.
"""

from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from egretstack.ids import InstanceId, RunnerId
from egretstack.messages import MessageError

WINDOW_S = 1.0
"""Time window over which instances count answers; several report periods."""
MIN_SUSPECT_BREAKS = 2
"""Breaks within the window, over all instances, that make a suspect: one may be a lost packet."""
MIN_SUSPECT_SHARE = 0.25
"""Share of breaks from which a runner is suspected. A runner that breaks a few requests in a
hundred stays in use; one that resets half of them is detected by the fleet's first few requests."""
CLEAR_AFTER_S = 1.5
"""Time without a break, and with at least one answer, after which a suspect may be cleared."""
ENGINE_CLEAR_AFTER_S = 4.0
"""Time without a break after which a suspected engine is used again. Unlike a plain runner it gets
no requests meanwhile, so no answer can clear it. An engine that goes down and up does so every few
seconds, and a prompt sent there is lost with its run."""
MAX_COUNTED = 256
"""Answers of one runner that an instance remembers; only a burst has more."""


@dataclass(frozen=True, slots=True)
class AnswerCount:
    """How many of an instance's recent calls one runner answered and broke."""

    runner: RunnerId
    answered: int
    broke: int


class RecentAnswers:
    """The outcomes of one instance's recent calls, by runner."""

    def __init__(self) -> None:
        self._outcomes_by_id: dict[RunnerId, deque[tuple[float, bool]]] = {}

    def record(self, now_s: float, runner_id: RunnerId, *, broke: bool) -> None:
        """Record that a runner answered a call, in whatever way, or broke it."""
        outcomes = self._outcomes_by_id.setdefault(runner_id, deque(maxlen=MAX_COUNTED))
        outcomes.append((now_s, broke))

    def counts(self, now_s: float) -> list[AnswerCount]:
        """Return the counts of the runners that were called in the window."""
        counts = []
        for runner_id, outcomes in list(self._outcomes_by_id.items()):
            while outcomes and now_s - outcomes[0][0] > WINDOW_S:
                outcomes.popleft()
            if not outcomes:
                del self._outcomes_by_id[runner_id]
                continue
            broke = sum(it for _, it in outcomes)
            counts.append(AnswerCount(runner_id, len(outcomes) - broke, broke))
        return counts


class FleetStrikes:
    """The counts of all instances, from which the home derives suspects."""

    def __init__(self) -> None:
        self._counts_by_instance: dict[InstanceId, tuple[float, tuple[AnswerCount, ...]]] = {}
        self._broke_s_by_id: dict[RunnerId, float] = {}
        """When each suspect was last reported to have broken a call."""
        self._accusers_by_id: dict[RunnerId, set[InstanceId]] = {}
        """The instances that reported so, since the runner is a suspect."""

    def record_report(
        self, now_s: float, instance: InstanceId, counts: Iterable[AnswerCount]
    ) -> None:
        """Replace an instance's counts."""
        self._counts_by_instance[instance] = (now_s, tuple(counts))

    def withdraw_reports(self, instance: InstanceId) -> None:
        """Forget what an instance reported: it reaches no runner, whatever the cause.

        Runners that no other instance accused are no suspects any more.
        """
        self._counts_by_instance.pop(instance, None)
        for runner_id, accusers in list(self._accusers_by_id.items()):
            accusers.discard(instance)
            if not accusers:
                self._clear(runner_id)

    def take_over(self, now_s: float, suspects: Iterable[RunnerId]) -> None:
        """Add the suspects of an earlier home, as if they had broken a call just now."""
        for runner_id in suspects:
            self._broke_s_by_id.setdefault(runner_id, now_s)

    def suspects(self, now_s: float, engines: Collection[RunnerId] = ()) -> frozenset[RunnerId]:
        """Return the runners that get no calls that may not be repeated.

        Those of them in `engines` get no requests at all. An engine that breaks several streams at
        once has crashed; its reports show that some 1.5 s later, and requests sent there until then
        are lost.
        """
        answered, broke = self._sums(now_s)
        for runner_id, breaks in broke.items():
            share = breaks / (breaks + answered.get(runner_id, 0))
            known = runner_id in self._broke_s_by_id
            if (known and breaks) or (breaks >= MIN_SUSPECT_BREAKS and share >= MIN_SUSPECT_SHARE):
                self._broke_s_by_id[runner_id] = now_s
                self._accusers_by_id.setdefault(runner_id, set()).update(self._accusers(runner_id))
        for runner_id, broke_s in list(self._broke_s_by_id.items()):
            expired = runner_id in engines and now_s - broke_s > ENGINE_CLEAR_AFTER_S
            if expired or (now_s - broke_s > CLEAR_AFTER_S and answered.get(runner_id)):
                self._clear(runner_id)
        return frozenset(self._broke_s_by_id)

    def retain(self, kept: Iterable[RunnerId]) -> None:
        """Forget runners that are not in `kept`."""
        kept = set(kept)
        for runner_id in set(self._broke_s_by_id) - kept:
            self._clear(runner_id)

    def _clear(self, runner_id: RunnerId) -> None:
        self._broke_s_by_id.pop(runner_id, None)
        self._accusers_by_id.pop(runner_id, None)

    def _accusers(self, runner_id: RunnerId) -> set[InstanceId]:
        return {
            instance
            for instance, (_, counts) in self._counts_by_instance.items()
            if any(one.runner == runner_id and one.broke for one in counts)
        }

    def _sums(self, now_s: float) -> tuple[dict[RunnerId, int], dict[RunnerId, int]]:
        answered: dict[RunnerId, int] = {}
        broke: dict[RunnerId, int] = {}
        for instance, (received_s, counts) in list(self._counts_by_instance.items()):
            if now_s - received_s > WINDOW_S:
                del self._counts_by_instance[instance]
                continue
            for count in counts:
                answered[count.runner] = answered.get(count.runner, 0) + count.answered
                broke[count.runner] = broke.get(count.runner, 0) + count.broke
        return answered, broke


def count_row(count: AnswerCount) -> list:
    """Return a count as a row for a message."""
    return [count.runner, count.answered, count.broke]


def count_from_row(row: object) -> AnswerCount:
    """Parse the row of a count. Raises MessageError."""
    try:
        runner, answered, broke = row
        return AnswerCount(RunnerId(str(runner)), max(0, int(answered)), max(0, int(broke)))
    except (TypeError, ValueError) as error:
        raise MessageError(f"not a count: {error}") from error
