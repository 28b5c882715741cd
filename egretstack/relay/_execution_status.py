"""What is known of whether a request ran, over all its sends, and the failure that may be told.

A client that hears "not run" sends the request again. Told so falsely, a booking is made twice; so
only a request that never left, or that its runner rejected, is ever called not run.
"""

from egretstack.errors import ANSWERS, ErrorKind, RunState

NO_ELIGIBLE_RUNNER_RETRY_S = 2.0
"""An operator takes an evacuation back after many seconds; a caller waits for no more than a third
of the time it has."""

CRASHES_DETAIL = "each runner that ran it has ended"


class RequestFailed(Exception):
    """The final answer of a request that got none from a runner."""

    def __init__(self, kind: ErrorKind, detail: str, *, retry_after_s: float | None = None) -> None:
        super().__init__(f"{kind.value}: {detail}")
        self.kind = kind
        self.detail = detail
        self.retry_after_s = retry_after_s if ANSWERS[kind].retry else None

    @property
    def status(self) -> int:
        """The HTTP status."""
        return ANSWERS[self.kind].status


def no_eligible_runner() -> RequestFailed:
    """Give the answer to a request that no runner may run now, where there are some.

    An operator evacuated every zone that it may run in, or none of its regions has a runner.
    Waiting until its deadline would tell its caller nothing more.
    """
    return RequestFailed(
        ErrorKind.NO_RUNNER,
        "no zone that it may run in is left",
        retry_after_s=NO_ELIGIBLE_RUNNER_RETRY_S,
    )


def crashes_runners() -> RequestFailed:
    """Give the answer to a request that has not run and that no runner gets.

    It says no time to come back: the same request would meet the same answer.
    """
    return RequestFailed(ErrorKind.CRASHES_RUNNERS, CRASHES_DETAIL)


class ExecutionStatus:
    """Whether a request may have run. Once it may have, no later send takes that back."""

    def __init__(self) -> None:
        self._may_have_run = False

    @property
    def may_have_run(self) -> bool:
        """Whether some send left no proof that it did not run."""
        return self._may_have_run

    def mark_unknown(self) -> None:
        """Note a send whose end tells nothing."""
        self._may_have_run = True

    def failure(
        self, kind: ErrorKind, detail: str, *, retry_after_s: float | None = None
    ) -> RequestFailed:
        """Give the failure of a kind, or the one that promises nothing if the kind would lie."""
        if self._may_have_run and ANSWERS[kind].run is not RunState.MAY_HAVE_RUN:
            return RequestFailed(ErrorKind.OUTCOME_UNKNOWN, detail)
        return RequestFailed(kind, detail, retry_after_s=retry_after_s)
