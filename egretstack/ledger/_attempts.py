"""What a process remembers of its own attempts, and what may be done about another's."""

from enum import Enum

from egretstack.errors import EgretError, ErrorKind, NotRunProof
from egretstack.ids import AttemptId
from egretstack.ledger._row import Row


class Stage(Enum):
    """How far an attempt has come, as its owner tells."""

    RUNNING = "running"
    """It was or may yet be sent."""
    ABANDONED = "abandoned"
    """It was not sent and never will be."""
    UNKNOWN = "unknown"
    """It was sent and its outcome is unknown for good."""
    ENDED = "ended"
    """It has an outcome, which is being written."""
    OWNER_ENDED = "gone"
    """The process that owned it is no more."""
    UNRESPONSIVE = "silent"
    """The owner does not answer: it may be frozen, cut off or gone."""


class AttemptRegistry:
    """The stages of this process's attempts, until the ledger has what came of them."""

    def __init__(self, boot: str, limit: int) -> None:
        self._boot = boot
        self._limit = limit
        self._stage_by_id: dict[AttemptId, Stage] = {}

    @property
    def is_full(self) -> bool:
        """Tell whether no further attempt can be remembered."""
        return len(self._stage_by_id) >= self._limit

    def begin(self, attempt: AttemptId) -> None:
        """Note a new attempt."""
        self._stage_by_id[attempt] = Stage.RUNNING

    def may_send(self, attempt: AttemptId) -> bool:
        """Tell whether an attempt may be sent still; an abandoned one never is."""
        return self._stage_by_id.get(attempt) is Stage.RUNNING

    def abandon(self, attempt: AttemptId) -> None:
        """Note that an attempt was not sent and never will be."""
        self._stage_by_id[attempt] = Stage.ABANDONED

    def end(self, attempt: AttemptId, has_outcome: bool) -> None:
        """Note that an attempt has ended, with a known outcome or without."""
        self._stage_by_id[attempt] = Stage.ENDED if has_outcome else Stage.UNKNOWN

    def forget(self, attempt: AttemptId) -> None:
        """Forget an attempt whose outcome the ledger has."""
        self._stage_by_id.pop(attempt, None)

    def stage(self, boot: str, attempt: AttemptId) -> Stage:
        """Answer a question about an attempt."""
        if boot != self._boot:
            return Stage.OWNER_ENDED
        # One that is not in the book has its outcome in the ledger: whoever asks read an older
        # row, and finds the outcome by reading again.
        return self._stage_by_id.get(attempt, Stage.ENDED)


class NextAction(Enum):
    """What a repeat does about an open row."""

    REPLACE = "replace"
    WAIT = "wait"
    LOOK_UP = "look-up"
    UNKNOWN = "unknown"
    RAN = "ran"
    """A look-up found that the call ran; its answer is not known."""


def next_action(stage: Stage, row: Row, epoch_s: float, has_lookup: bool) -> NextAction:
    """Decide about an open row from what its owner says.

    A silent owner is given the attempt's deadline to come back, and one that has ended to write
    the outcome; after that the repeat gets its final answer, so that repeats end.
    """
    if stage is Stage.ABANDONED:
        return NextAction.REPLACE
    if stage is Stage.RUNNING or stage is Stage.ENDED and epoch_s < row.deadline_s:
        return NextAction.WAIT
    if has_lookup:
        return NextAction.LOOK_UP
    if stage is Stage.UNRESPONSIVE and epoch_s < row.deadline_s:
        return NextAction.WAIT
    return NextAction.UNKNOWN


class SendHistory:
    """Folds what several tries of one request proved; "may have run" stays once it was so."""

    def __init__(self) -> None:
        self._may_have_run_cause: str | None = None
        self._proof: NotRunProof | None = None

    @property
    def may_have_run(self) -> bool:
        """Tell whether any try so far may have run."""
        return self._may_have_run_cause is not None

    def record_unsent(self, proof: NotRunProof) -> None:
        """Take in a try that did not leave; it says nothing of the tries before."""
        self._proof = proof

    def record_unknown(self, cause: str) -> None:
        """Take in a try that may have run."""
        self._may_have_run_cause = cause

    def final_error(self, no_runner_detail: str, may_have_run_kind: ErrorKind) -> EgretError:
        """Give the final answer; `may_have_run` is the kind for tries that may have."""
        if self._may_have_run_cause is not None:
            return EgretError(may_have_run_kind, self._may_have_run_cause)
        if self._proof is None:
            return EgretError(ErrorKind.NO_RUNNER, no_runner_detail)
        return EgretError(ErrorKind.NOT_RUN, self._proof.reason, proof=self._proof)
