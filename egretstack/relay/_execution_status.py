"""Tracks whether a request may have run, over all its sends, and which failure may be reported.

A client that is told "not run" sends the request again. If that is false, a booking is made twice;
so a request is reported as not run only if it was never sent or if its runner rejected it.
"""

from egretstack.errors import ANSWERS, ErrorKind, RunState
from egretstack.relay._crash_guard import Refusal

LEAVING_RETRY_S = 0.05
"""A leaving instance sends clients to another one, which can serve them at once."""
NO_ELIGIBLE_RUNNER_RETRY_S = 2.0
"""An operator revokes an evacuation after many seconds; a caller waits for at most a third of the
time it has left."""


class RequestFailed(Exception):
    """The final failure of a request that no runner answered."""

    def __init__(self, kind: ErrorKind, detail: str, *, retry_after_s: float | None = None) -> None:
        super().__init__(f"{kind.value}: {detail}")
        self.kind = kind
        self.detail = detail
        self.retry_after_s = retry_after_s if ANSWERS[kind].retry else None

    @property
    def status(self) -> int:
        """HTTP status of the response."""
        return ANSWERS[self.kind].status


def no_eligible_runner() -> RequestFailed:
    """Return the failure of a request that none of the service's runners may run now.

    Either an operator evacuated every zone that it may run in, or none of its regions has a runner.
    Waiting until the deadline would give the caller no more information.
    """
    return RequestFailed(
        ErrorKind.NO_RUNNER,
        "no zone that it may run in is left",
        retry_after_s=NO_ELIGIBLE_RUNNER_RETRY_S,
    )


def instance_leaves() -> RequestFailed:
    """Return the failure of a request that would not surely end before this instance does."""
    return RequestFailed(
        ErrorKind.DRAINING, "this instance leaves too soon", retry_after_s=LEAVING_RETRY_S
    )


def crashes_runners(refusal: Refusal) -> RequestFailed:
    """Return the failure of a request that has not run and is refused because it crashes runners.

    It has no Retry-After: the same request would be refused again.
    """
    return RequestFailed(refusal.kind, refusal.detail)


class ExecutionStatus:
    """Whether a request may have run; once it may have, no later send changes that."""

    def __init__(self) -> None:
        self._may_have_run = False

    @property
    def may_have_run(self) -> bool:
        """Whether some send has no proof that the request did not run."""
        return self._may_have_run

    def mark_unknown(self) -> None:
        """Record a send with an unknown outcome: the request may have run."""
        self._may_have_run = True

    def failure(
        self, kind: ErrorKind, detail: str, *, retry_after_s: float | None = None
    ) -> RequestFailed:
        """Return a failure of a kind, or OUTCOME_UNKNOWN if the kind would claim too much."""
        if self._may_have_run and ANSWERS[kind].run is not RunState.MAY_HAVE_RUN:
            return RequestFailed(ErrorKind.OUTCOME_UNKNOWN, detail)
        return RequestFailed(kind, detail, retry_after_s=retry_after_s)
