"""What to do when the stream of a generation fails: ask, resume, run again, or say it is lost."""

from dataclasses import dataclass
from enum import Enum


class Failure(Enum):
    """How a stream failed."""

    UNREACHABLE = "unreachable"
    """The connection was refused: nothing listens there."""
    NO_ANSWER = "no-answer"
    """No connection was made in time: the engine or the way to it may be stalled."""
    REFUSED = "refused"
    BROKEN = "broken"
    UNRESPONSIVE = "silent"
    GAP = "gap"
    OTHER_GENERATION = "foreign"
    MISSING = "gone"
    FAILED = "failed"


class Step(Enum):
    """The next step of a session whose stream failed."""

    QUERY = "ask"
    """Ask the engine after the generation over a new connection, then decide again."""
    RESUME = "resume"
    """Ask the same engine over a new connection, from the cursor."""
    RERUN = "rerun"
    """Start another generation; nothing of the first was delivered."""
    LOST = "lost"
    """Tell the caller now that the generation was lost, and how much was delivered."""
    REFUSE = "refuse"
    """Tell the caller now that nothing came of it, and when to come back."""


class EngineReply(Enum):
    """What came of asking an engine after a generation."""

    HAS_IT = "has-it"
    MISSING = "gone"
    NO_ANSWER = "no-answer"
    REFUSED = "refused"
    """The connection was refused, or broke: the engine's process is gone or going."""


@dataclass(frozen=True)
class RecoveryBudget:
    """Bounds on recovery. Times are in seconds."""

    resumes: float = 6
    """Resumes after a failure that shows at once; spent by each, earned back by events."""
    events_per_resume: int = 64
    reruns: int = 3
    max_unanswered_s: float = 20.0
    """Longest time without an event from an engine that does not answer either."""
    max_stalled_s: float = 120.0
    """Longest time without an event from an engine that says it has the generation."""
    first_delay_s: float = 0.05
    delay_growth: float = 2.0
    max_delay_s: float = 1.0


@dataclass(frozen=True)
class SessionProgress:
    """How far a session has come when its stream fails."""

    bound: bool
    """An engine accepted a generation."""
    delivered: int
    """Events that the caller may have seen."""
    can_rerun: bool = True
    """The prompt is known here; it is not for a session picked up from another entry."""


class Recovery:
    """Decides the step after each failure of one session, within one budget.

    The budget belongs to the request and not to a layer, so that attempts do not multiply.
    `rerun_until_s` is the time after which no further generation is started.
    """

    def __init__(self, budget: RecoveryBudget, now_s: float, rerun_until_s: float) -> None:
        self._budget = budget
        self._rerun_until_s = rerun_until_s
        self._credit = budget.resumes
        self._failures = 0
        self._reruns = 0
        self._seen: set[Failure] = set()
        self._last_event_s = now_s
        self.may_have_run = False
        """Some engine may have worked on the request; never unset."""

    @property
    def refused(self) -> bool:
        """Tell whether every failure, and at least one, was an engine's refusal of the work."""
        return self._seen == {Failure.REFUSED}

    def decide(self, now_s: float, failure: Failure, standing: SessionProgress) -> Step:
        """Choose the step after a failure."""
        self._failures += 1
        self._note(failure, standing)
        if not standing.bound or failure in (Failure.MISSING, Failure.FAILED):
            return self._give_up(now_s, standing)
        if failure is Failure.UNRESPONSIVE:
            return Step.QUERY
        if failure is Failure.NO_ANSWER:
            return self.on_engine_reply(now_s, EngineReply.NO_ANSWER, standing)
        return self._resume_or_give_up(now_s, standing)

    def on_engine_reply(self, now_s: float, word: EngineReply, standing: SessionProgress) -> Step:
        """Choose the step after the engine was asked."""
        quiet_s = now_s - self._last_event_s
        if word is EngineReply.HAS_IT and quiet_s < self._budget.max_stalled_s:
            return Step.RESUME
        if word is EngineReply.REFUSED:
            return self._resume_or_give_up(now_s, standing)
        if word is EngineReply.NO_ANSWER and self._worth_waiting(quiet_s, standing):
            # A stalled engine or link may come back with the generation; once a token was
            # delivered no other engine can go on, so giving up early would lose the answer.
            return Step.RESUME
        return self._give_up(now_s, standing)

    def record_event(self, now_s: float) -> None:
        """Note a new event: the connection works again.

        Each event earns back a part of a resume. Were the budget renewed by every event, an
        engine that breaks the stream after each would be resumed without end.
        """
        self._last_event_s = now_s
        self._failures = 0
        earned = 1 / self._budget.events_per_resume
        self._credit = min(self._budget.resumes, self._credit + earned)

    def delay_s(self) -> float:
        """Give the wait before the next step, in seconds."""
        if self._failures <= 1:
            return 0.0
        delay = self._budget.first_delay_s * self._budget.delay_growth ** (self._failures - 2)
        return min(delay, self._budget.max_delay_s)

    def _note(self, failure: Failure, standing: SessionProgress) -> None:
        untouched = failure in (Failure.UNREACHABLE, Failure.NO_ANSWER, Failure.REFUSED)
        if standing.bound or not untouched:
            self.may_have_run = True
        self._seen.add(failure)

    def _worth_waiting(self, quiet_s: float, standing: SessionProgress) -> bool:
        replaceable = not standing.delivered and standing.can_rerun
        return not replaceable and quiet_s < self._budget.max_unanswered_s

    def _resume_or_give_up(self, now_s: float, standing: SessionProgress) -> Step:
        if self._credit >= 1:
            self._credit -= 1
            return Step.RESUME
        return self._give_up(now_s, standing)

    def _give_up(self, now_s: float, standing: SessionProgress) -> Step:
        if standing.delivered or not standing.can_rerun:
            return Step.LOST
        self._reruns += 1
        if self._reruns > self._budget.reruns or now_s >= self._rerun_until_s:
            return Step.REFUSE
        self._credit = self._budget.resumes
        self._last_event_s = now_s
        return Step.RERUN
