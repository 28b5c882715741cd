"""Recovery of a failed stream: query the engine, resume, rerun, or report the generation lost."""

from dataclasses import dataclass
from enum import Enum


class Failure(Enum):
    """How a stream failed."""

    UNREACHABLE = "unreachable"
    """The connection was refused: nothing listens at the address."""
    NO_ANSWER = "no-answer"
    """No connection was made in time: the engine or the network path may be stalled."""
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
    """Query the engine for the generation over a new connection, then decide again."""
    RESUME = "resume"
    """Reopen the stream at the same engine over a new connection, from the cursor."""
    RERUN = "rerun"
    """Start another generation; nothing of the failed one was delivered."""
    LOST = "lost"
    """Report to the caller that the generation is lost, and how much was delivered."""
    REFUSE = "refuse"
    """Refuse the request: nothing was delivered; the caller is told when to retry."""


class EngineReply(Enum):
    """The outcome of querying an engine for a generation."""

    HAS_IT = "has-it"
    MISSING = "gone"
    NO_ANSWER = "no-answer"
    REFUSED = "refused"
    """The connection was refused or broke: the engine's process has ended or is ending."""


@dataclass(frozen=True)
class RecoveryBudget:
    """Bounds on the recovery of one session; times in seconds."""

    resumes: float = 6
    """Resumes allowed after failures that are detected at once; delivered events restore them."""
    events_per_resume: int = 64
    reruns: int = 3
    max_unanswered_s: float = 20.0
    """Longest time without an event from an engine that does not answer queries either."""
    max_stalled_s: float = 120.0
    """Longest time without an event from an engine that confirms it has the generation."""
    first_delay_s: float = 0.05
    delay_growth: float = 2.0
    max_delay_s: float = 1.0


@dataclass(frozen=True)
class SessionProgress:
    """The progress of a session when its stream fails."""

    accepted: bool
    """Whether an engine accepted a generation."""
    delivered: int
    """Number of events that the caller may have seen."""
    can_rerun: bool = True
    """Whether the prompt is known here; it isn't for a session taken over from another entry."""


class Recovery:
    """Decides the next step after each failure of one session, within one budget.

    The budget belongs to the request and not to a layer, so that the attempts of several layers
    do not multiply. `rerun_until_s` is the time after which no further generation is started.
    """

    def __init__(self, budget: RecoveryBudget, now_s: float, rerun_until_s: float) -> None:
        self._budget = budget
        self._rerun_until_s = rerun_until_s
        self._resumes_left = budget.resumes
        self._failures = 0
        self._reruns = 0
        self._seen_failures: set[Failure] = set()
        self._last_event_s = now_s
        self.may_have_run = False
        """Whether some engine may have run the request; never reset."""

    @property
    def only_refused(self) -> bool:
        """Return whether there were failures and all were an engine's refusal of the request."""
        return self._seen_failures == {Failure.REFUSED}

    def decide(self, now_s: float, failure: Failure, progress: SessionProgress) -> Step:
        """Return the next step after a failure."""
        self._failures += 1
        self._record_failure(failure, progress)
        if not progress.accepted or failure in (Failure.MISSING, Failure.FAILED):
            return self._give_up(now_s, progress)
        if failure is Failure.UNRESPONSIVE:
            return Step.QUERY
        if failure is Failure.NO_ANSWER:
            return self.on_engine_reply(now_s, EngineReply.NO_ANSWER, progress)
        return self._resume_or_give_up(now_s, progress)

    def on_engine_reply(self, now_s: float, reply: EngineReply, progress: SessionProgress) -> Step:
        """Return the next step after the engine was queried."""
        since_event_s = now_s - self._last_event_s
        if reply is EngineReply.HAS_IT and since_event_s < self._budget.max_stalled_s:
            return Step.RESUME
        if reply is EngineReply.REFUSED:
            return self._resume_or_give_up(now_s, progress)
        if reply is EngineReply.NO_ANSWER and self._is_worth_waiting(since_event_s, progress):
            # A stalled engine or link may recover with the generation intact. Once a token was
            # delivered no other engine can continue, so giving up early would lose the answer.
            return Step.RESUME
        return self._give_up(now_s, progress)

    def record_event(self, now_s: float) -> None:
        """Record a new event: the connection works again.

        Each event restores a fraction of a resume. If every event restored the whole budget, an
        engine that breaks the stream after each event would be resumed forever.
        """
        self._last_event_s = now_s
        self._failures = 0
        earned = 1 / self._budget.events_per_resume
        self._resumes_left = min(self._budget.resumes, self._resumes_left + earned)

    def delay_s(self) -> float:
        """Return the delay before the next step, in seconds, with exponential backoff."""
        if self._failures <= 1:
            return 0.0
        delay = self._budget.first_delay_s * self._budget.delay_growth ** (self._failures - 2)
        return min(delay, self._budget.max_delay_s)

    def _record_failure(self, failure: Failure, progress: SessionProgress) -> None:
        never_ran = failure in (Failure.UNREACHABLE, Failure.NO_ANSWER, Failure.REFUSED)
        if progress.accepted or not never_ran:
            self.may_have_run = True
        self._seen_failures.add(failure)

    def _is_worth_waiting(self, since_event_s: float, progress: SessionProgress) -> bool:
        replaceable = not progress.delivered and progress.can_rerun
        return not replaceable and since_event_s < self._budget.max_unanswered_s

    def _resume_or_give_up(self, now_s: float, progress: SessionProgress) -> Step:
        if self._resumes_left >= 1:
            self._resumes_left -= 1
            return Step.RESUME
        return self._give_up(now_s, progress)

    def _give_up(self, now_s: float, progress: SessionProgress) -> Step:
        if progress.delivered or not progress.can_rerun:
            return Step.LOST
        self._reruns += 1
        if self._reruns > self._budget.reruns or now_s >= self._rerun_until_s:
            return Step.REFUSE
        self._resumes_left = self._budget.resumes
        self._last_event_s = now_s
        return Step.RERUN
