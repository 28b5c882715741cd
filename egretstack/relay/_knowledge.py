"""What is known of whether a request ran, over all its sends, and the failure that may be told.

A client that hears "not run" sends the request again. Told so falsely, a booking is made twice; so
only a request that never left, or that its runner rejected, is ever called not run.
"""

from egretstack.errors import ANSWERS, ErrorKind, RunState


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


class RunKnowledge:
    """Whether a request may have run. Once it may have, no later send takes that back."""

    def __init__(self) -> None:
        self._may_have_run = False

    @property
    def may_have_run(self) -> bool:
        """Whether some send left no proof that it did not run."""
        return self._may_have_run

    def unknown(self) -> None:
        """Note a send whose end tells nothing."""
        self._may_have_run = True

    def failure(
        self, kind: ErrorKind, detail: str, *, retry_after_s: float | None = None
    ) -> RequestFailed:
        """Give the failure of a kind, or the one that promises nothing if the kind would lie."""
        if self._may_have_run and ANSWERS[kind].run is not RunState.MAY_HAVE_RUN:
            return RequestFailed(ErrorKind.OUTCOME_UNKNOWN, detail)
        return RequestFailed(kind, detail, retry_after_s=retry_after_s)
