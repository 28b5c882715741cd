"""The final answers of sessions that did not finish; each states only what is known."""

from egretstack.delivery import Recovery
from egretstack.errors import EgretError, ErrorKind, RunState
from egretstack.sessions._session import Session


def cancelled(session: Session) -> EgretError:
    """Say that the session was cancelled, and how much of it was delivered."""
    return EgretError(
        ErrorKind.GENERATION_CANCELLED,
        f"cancelled after {session.deliverable} tokens",
        delivered=session.deliverable,
    )


def generation_lost(session: Session) -> EgretError:
    """Say that the generation was lost, and how much of it was delivered."""
    return EgretError(
        ErrorKind.GENERATION_LOST,
        f"the engine lost the generation after {session.deliverable} tokens",
        delivered=session.deliverable,
    )


def given_up(recovery: Recovery, detail: str, retry_after_s: float | None) -> EgretError:
    """Say that no engine brought the request to an end, and when to come back."""
    if recovery.may_have_run:
        return _ran_without_delivery(detail, retry_after_s)
    kind = ErrorKind.ENGINES_FULL if recovery.refused else ErrorKind.NO_RUNNER
    return EgretError(kind, detail, retry_after_s=retry_after_s)


def placement_refused(error: EgretError, recovery: Recovery) -> EgretError:
    """Correct a refusal to place the work again by what its earlier attempts did.

    The policy's refusals state that nothing ran, which is known of this attempt only. A caller
    told so after an engine had worked on the request would be told what is not true.
    """
    if error.run is RunState.NOT_RUN and recovery.may_have_run:
        return _ran_without_delivery(error.detail, error.retry_after_s)
    if error.kind is ErrorKind.NO_RUNNER and recovery.refused:
        return EgretError(ErrorKind.ENGINES_FULL, "every engine is full", retry_after_s=None)
    return error


def _ran_without_delivery(detail: str, retry_after_s: float | None) -> EgretError:
    return EgretError(
        ErrorKind.GENERATION_LOST,
        f"nothing was delivered: {detail}",
        retry_after_s=retry_after_s,
        delivered=0,
    )
