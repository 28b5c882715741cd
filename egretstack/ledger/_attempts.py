"""The stages of a process's own attempts, and what a repeat does about another process's."""

from enum import Enum

from egretstack.errors import EgretError, ErrorKind, NotRunProof
from egretstack.ids import AttemptId
from egretstack.ledger._row import Row


class Stage(Enum):
    """How far an attempt has come, as reported by the process that owns it."""

    RUNNING = "running"
    """It was sent or may still be sent."""
    ABANDONED = "abandoned"
    """It was not sent and never will be."""
    UNKNOWN = "unknown"
    """It was sent and its outcome will never be known."""
    ENDED = "ended"
    """It has an outcome, which is being written."""
    OWNER_ENDED = "gone"
    """The process that owned it has ended."""
    UNRESPONSIVE = "silent"
    """The owner does not answer: it may be paused, unreachable or ended."""


class AttemptRegistry:
    """The stages of this process's attempts, until their outcomes are in the ledger."""

    def __init__(self, boot: str, limit: int) -> None:
        self._boot = boot
        self._limit = limit
        self._stage_by_id: dict[AttemptId, Stage] = {}

    @property
    def is_full(self) -> bool:
        """Return whether no further attempt can be registered."""
        return len(self._stage_by_id) >= self._limit

    def begin(self, attempt: AttemptId) -> None:
        """Register a new attempt."""
        self._stage_by_id[attempt] = Stage.RUNNING

    def may_send(self, attempt: AttemptId) -> bool:
        """Return whether an attempt may still be sent; an abandoned one never may."""
        return self._stage_by_id.get(attempt) is Stage.RUNNING

    def abandon(self, attempt: AttemptId) -> None:
        """Record that an attempt was not sent and never will be."""
        self._stage_by_id[attempt] = Stage.ABANDONED

    def end(self, attempt: AttemptId, has_outcome: bool) -> None:
        """Record that an attempt has ended, with a known outcome or without one."""
        self._stage_by_id[attempt] = Stage.ENDED if has_outcome else Stage.UNKNOWN

    def forget(self, attempt: AttemptId) -> None:
        """Remove an attempt whose outcome is in the ledger."""
        self._stage_by_id.pop(attempt, None)

    def stage(self, boot: str, attempt: AttemptId) -> Stage:
        """Return the stage of an attempt that the process `boot` owns."""
        if boot != self._boot:
            return Stage.OWNER_ENDED
        # The outcome of an unregistered attempt is in the ledger: the requester read an older
        # row, and finds the outcome when it reads again.
        return self._stage_by_id.get(attempt, Stage.ENDED)


class NextAction(Enum):
    """What a repeat of a call does about an open row."""

    REPLACE = "replace"
    WAIT = "wait"
    LOOK_UP = "look-up"
    UNKNOWN = "unknown"
    RAN = "ran"
    """A look-up found that the call ran; its answer is unknown."""


def next_action(stage: Stage, row: Row, epoch_s: float, has_lookup: bool) -> NextAction:
    """Choose the action for an open row from the stage that its owner reported.

    Until the attempt's deadline, an unresponsive owner may come back, and the owner of an ended
    attempt may write the outcome. After that a repeat gets its final answer, so that callers
    don't repeat forever.
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
    """Combines what the tries of one request proved; "may have run" is never taken back."""

    def __init__(self) -> None:
        self._may_have_run_cause: str | None = None
        self._proof: NotRunProof | None = None

    @property
    def may_have_run(self) -> bool:
        """Return whether any try so far may have run."""
        return self._may_have_run_cause is not None

    def record_unsent(self, proof: NotRunProof) -> None:
        """Record a try that was not sent; it proves nothing about earlier tries."""
        self._proof = proof

    def record_unknown(self, cause: str) -> None:
        """Record a try that may have run."""
        self._may_have_run_cause = cause

    def final_error(self, no_runner_detail: str, may_have_run_kind: ErrorKind) -> EgretError:
        """Return the final error; it is of `may_have_run_kind` if any try may have run."""
        if self._may_have_run_cause is not None:
            return EgretError(may_have_run_kind, self._may_have_run_cause)
        if self._proof is None:
            return EgretError(ErrorKind.NO_RUNNER, no_runner_detail)
        return EgretError(ErrorKind.NOT_RUN, self._proof.reason, proof=self._proof)
