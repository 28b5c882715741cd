"""Errors reported to callers, errors reported to operators, and proof that a call did not run."""

from dataclasses import dataclass
from math import ceil

from egretstack.errors._kinds import ErrorKind
from egretstack.errors._table import ANSWERS, RunState

DEFAULT_RETRY_AFTER_S = 2.0


class UserError(Exception):
    """A mistake of the operator, reported without a traceback."""


@dataclass(frozen=True)
class NotRunProof:
    """Evidence that no byte of a call was sent to the upstream.

    Only code that runs before dispatch may create one: the ledger for a call whose intent it
    never released, and a connector whose connection was refused.
    """

    reason: str


class EgretError(Exception):
    """The final answer of a request that failed or was refused.

    `retry_after_s` is in seconds and has a default where the kind's answer says when to retry.
    Kinds that state "not run" about a dispatched call require a `NotRunProof`.
    """

    def __init__(
        self,
        kind: ErrorKind,
        detail: str,
        *,
        retry_after_s: float | None = None,
        proof: NotRunProof | None = None,
        delivered: int | None = None,
    ) -> None:
        if kind is ErrorKind.NOT_RUN and proof is None:
            raise ValueError("NOT_RUN requires a NotRunProof")
        super().__init__(f"{kind.value}: {detail}")
        self.kind = kind
        self.detail = detail
        self.delivered = delivered
        self.proof = proof
        self.retry_after_s = self._retry_after(kind, retry_after_s)

    @staticmethod
    def _retry_after(kind: ErrorKind, retry_after_s: float | None) -> int | None:
        if not ANSWERS[kind].retry:
            return None
        seconds = DEFAULT_RETRY_AFTER_S if retry_after_s is None else retry_after_s
        return max(1, ceil(seconds))

    @property
    def run(self) -> RunState:
        """Return what is known about whether the request ran."""
        return ANSWERS[self.kind].run
