"""Errors of sessions that did not finish; each states only what is certain."""

from egretstack.delivery import Recovery
from egretstack.errors import EgretError, ErrorKind, RunState
from egretstack.sessions._session import Session


def cancelled(session: Session) -> EgretError:
    """Return the error of a cancelled session, with the number of delivered tokens."""
    return EgretError(
        ErrorKind.GENERATION_CANCELLED,
        f"cancelled after {session.deliverable} tokens",
        delivered=session.deliverable,
    )


def generation_lost(session: Session) -> EgretError:
    """Return the error of a lost generation, with the number of delivered tokens."""
    return EgretError(
        ErrorKind.GENERATION_LOST,
        f"the engine lost the generation after {session.deliverable} tokens",
        delivered=session.deliverable,
    )


def recovery_failed(recovery: Recovery, detail: str, retry_after_s: float | None) -> EgretError:
    """Return the error of a request that no engine finished, with the time to retry after."""
    if recovery.may_have_run:
        return _ran_without_delivery(detail, retry_after_s)
    kind = ErrorKind.ENGINES_FULL if recovery.only_refused else ErrorKind.NO_RUNNER
    return EgretError(kind, detail, retry_after_s=retry_after_s)


def placement_refused(error: EgretError, recovery: Recovery) -> EgretError:
    """Adjust the policy's refusal of another placement to what earlier attempts did.

    The policy's refusals state that nothing ran, which holds for the last attempt only. If an
    engine worked on the request before, this would be false.
    """
    if error.run is RunState.NOT_RUN and recovery.may_have_run:
        return _ran_without_delivery(error.detail, error.retry_after_s)
    if error.kind is ErrorKind.NO_RUNNER and recovery.only_refused:
        return EgretError(ErrorKind.ENGINES_FULL, "every engine is full", retry_after_s=None)
    return error


def _ran_without_delivery(detail: str, retry_after_s: float | None) -> EgretError:
    return EgretError(
        ErrorKind.GENERATION_LOST,
        f"nothing was delivered: {detail}",
        retry_after_s=retry_after_s,
        delivered=0,
    )
