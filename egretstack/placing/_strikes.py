"""Which plain runners break what they are sent, as the whole fleet sees it; pure.

A runner that resets connections may look healthy to its own check. Each instance by itself pays for
finding out with a request or two, and one that may not be repeated is then lost; the larger the
fleet, the more of them.
"""

from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from egretstack.ids import InstanceId, RunnerId
from egretstack.messages import MessageError

WINDOW_S = 1.0
"""How far back instances count what they were answered; several reports long."""
SUSPECT_BREAKS = 2
"""Breaks within the window, over all instances, that make a suspect: one may be a lost packet."""
SUSPECT_SHARE = 0.25
"""Share of breaks from which a runner is suspected. Runners that spoil a few answers in a hundred
go on; one that resets half of what it gets is found by the first few requests of the fleet."""
CLEAR_AFTER_S = 1.5
"""Time without a break before a suspect may be cleared, and one answer has to have come since."""
ENGINE_REST_S = 4.0
"""Time without a break after which a suspected engine is tried again. Unlike a plain runner it gets
nothing meanwhile, by whose answer it could be cleared; one that goes down and up does so every few
seconds, and a prompt sent there is lost with its run."""
MOST_COUNTED = 256
"""Answers of one runner that an instance remembers; more come only in a burst."""


@dataclass(frozen=True, slots=True)
class AnswerCount:
    """What one runner made of an instance's calls of the last moment."""

    runner: RunnerId
    answered: int
    broke: int


class RecentAnswers:
    """One instance's calls of the last moment, by runner."""

    def __init__(self) -> None:
        self._outcomes_by_id: dict[RunnerId, deque[tuple[float, bool]]] = {}

    def record(self, now_s: float, runner_id: RunnerId, *, broke: bool) -> None:
        """Note that a runner answered, in whatever way, or broke what it was sent."""
        outcomes = self._outcomes_by_id.setdefault(runner_id, deque(maxlen=MOST_COUNTED))
        outcomes.append((now_s, broke))

    def counts(self, now_s: float) -> list[AnswerCount]:
        """Give the counts of the window, of the runners that were called in it."""
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
    """The home's view of all instances' counts."""

    def __init__(self) -> None:
        self._counts_by_instance: dict[InstanceId, tuple[float, tuple[AnswerCount, ...]]] = {}
        self._broke_s_by_id: dict[RunnerId, float] = {}
        """When each suspect was last told to have broken a call."""

    def record_report(
        self, now_s: float, instance: InstanceId, counts: Iterable[AnswerCount]
    ) -> None:
        """Take an instance's counts, in place of its earlier ones."""
        self._counts_by_instance[instance] = (now_s, tuple(counts))

    def suspects(self, now_s: float, engines: Collection[RunnerId] = ()) -> frozenset[RunnerId]:
        """Give the runners to which nothing goes that may not be repeated.

        `engines` among them get nothing at all. One that breaks several streams at once has
        crashed; its reports show that some 1.5 s later, and what goes there until then is lost.
        """
        answered, broke = self._sums(now_s)
        for runner_id, breaks in broke.items():
            share = breaks / (breaks + answered.get(runner_id, 0))
            known = runner_id in self._broke_s_by_id
            if (known and breaks) or (breaks >= SUSPECT_BREAKS and share >= SUSPECT_SHARE):
                self._broke_s_by_id[runner_id] = now_s
        for runner_id, broke_s in list(self._broke_s_by_id.items()):
            rested = runner_id in engines and now_s - broke_s > ENGINE_REST_S
            if rested or (now_s - broke_s > CLEAR_AFTER_S and answered.get(runner_id)):
                del self._broke_s_by_id[runner_id]
        return frozenset(self._broke_s_by_id)

    def retain(self, kept: Iterable[RunnerId]) -> None:
        """Forget runners that are not among those kept."""
        kept = set(kept)
        for runner_id in set(self._broke_s_by_id) - kept:
            del self._broke_s_by_id[runner_id]

    def _sums(self, now_s: float) -> tuple[dict[RunnerId, int], dict[RunnerId, int]]:
        answered: dict[RunnerId, int] = {}
        broke: dict[RunnerId, int] = {}
        for instance, (told_s, counts) in list(self._counts_by_instance.items()):
            if now_s - told_s > WINDOW_S:
                del self._counts_by_instance[instance]
                continue
            for one in counts:
                answered[one.runner] = answered.get(one.runner, 0) + one.answered
                broke[one.runner] = broke.get(one.runner, 0) + one.broke
        return answered, broke


def count_row(count: AnswerCount) -> list:
    """Give the row of a count for a message."""
    return [count.runner, count.answered, count.broke]


def count_from_row(row: object) -> AnswerCount:
    """Read the row of a count. Raises MessageError."""
    try:
        runner, answered, broke = row
        return AnswerCount(RunnerId(str(runner)), max(0, int(answered)), max(0, int(broke)))
    except (TypeError, ValueError) as error:
        raise MessageError(f"not a count: {error}") from error
