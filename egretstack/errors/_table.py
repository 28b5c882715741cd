"""The answer for each error kind: status, title, retry advice and whether the request may have run.

Answers are sent as problem details (RFC 9457).
"""

from dataclasses import dataclass
from enum import Enum

from egretstack.errors._kinds import ErrorKind

PROBLEM_TYPE_BASE = "https://egretstack.dev/problems/"
PROBLEM_CONTENT_TYPE = "application/problem+json"


class RunState(Enum):
    """What is known about whether a failed or refused request ran."""

    NOT_RUN = "not-run"
    ATTEMPT_NOT_RUN = "attempt-not-run"
    """This attempt did not run; an earlier one with the same Idempotency-Key may have."""
    MAY_HAVE_RUN = "may-have-run"
    RAN_IN_PART = "ran-in-part"


@dataclass(frozen=True)
class Answer:
    """The answer for one kind of error."""

    status: int
    title: str
    run: RunState
    retry: bool
    """Whether the answer says when to retry."""


def _refusal(status: int, title: str) -> Answer:
    return Answer(status, title, RunState.NOT_RUN, retry=False)


def _retryable_refusal(status: int, title: str) -> Answer:
    return Answer(status, title, RunState.NOT_RUN, retry=True)


ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: _refusal(400, "The request is malformed"),
    ErrorKind.BODY_TOO_LARGE: _refusal(413, "The request body is too large"),
    ErrorKind.HEADERS_TOO_LARGE: _refusal(431, "The request's headers are too large"),
    ErrorKind.SLOW_SENDER: _refusal(408, "The request did not arrive in time"),
    ErrorKind.NOT_SUPPORTED: _refusal(501, "The request's transfer coding is not supported"),
    ErrorKind.UNAUTHENTICATED: _refusal(401, "The client account's key is missing or wrong"),
    ErrorKind.FORBIDDEN: _refusal(403, "The client account may not do this"),
    ErrorKind.NOT_FOUND: _refusal(404, "There is no such resource"),
    ErrorKind.UNKNOWN_MODEL: _refusal(404, "No service offers this model"),
    ErrorKind.UNKNOWN_SERVICE: _refusal(404, "There is no such service"),
    ErrorKind.KEY_REQUIRED: _refusal(400, "This call needs an Idempotency-Key"),
    ErrorKind.KEY_REUSED: _refusal(422, "The Idempotency-Key belongs to another request"),
    ErrorKind.IN_PROGRESS: Answer(
        409, "A call with this Idempotency-Key is in progress", RunState.MAY_HAVE_RUN, retry=True
    ),
    ErrorKind.RATE_LIMITED: _retryable_refusal(429, "The client account's rate is used up"),
    ErrorKind.OVER_CONCURRENCY: _retryable_refusal(
        429, "The client account has too many open requests"
    ),
    ErrorKind.ENGINES_FULL: _retryable_refusal(503, "The engines are full"),
    ErrorKind.DEADLINE_TOO_SHORT: _retryable_refusal(
        503, "The request would start after its deadline"
    ),
    ErrorKind.INSTANCE_FULL: _retryable_refusal(
        503, "This instance has no memory for the body now"
    ),
    ErrorKind.NO_RUNNER: _retryable_refusal(503, "No runner serves this now"),
    ErrorKind.RUNNERS_LIMITED: _retryable_refusal(503, "The runners take no more requests now"),
    ErrorKind.CRASHES_RUNNERS: _refusal(503, "Runners ended while they ran this request"),
    ErrorKind.PART_CRASHES_RUNNERS: _refusal(
        503, "Runners ended as they began to answer on a part of this prompt"
    ),
    ErrorKind.DRAINING: _retryable_refusal(503, "This instance is leaving"),
    ErrorKind.PLATFORM_AWAY: _retryable_refusal(503, "The platform's object API does not answer"),
    ErrorKind.CONFIGURATION_MISSING: _retryable_refusal(
        503, "No configuration has been received yet"
    ),
    ErrorKind.NOT_RUN: _retryable_refusal(503, "The call did not reach the upstream"),
    ErrorKind.OUTCOME_UNKNOWN: Answer(
        502, "The call may have run; its outcome is unknown", RunState.MAY_HAVE_RUN, retry=False
    ),
    ErrorKind.OUT_OF_TIME: Answer(
        504, "The upstream did not answer in time; it may have run", RunState.MAY_HAVE_RUN, False
    ),
    ErrorKind.GENERATION_LOST: Answer(
        502, "The engine lost the generation", RunState.RAN_IN_PART, retry=True
    ),
    ErrorKind.GENERATION_CANCELLED: Answer(
        409, "The generation was cancelled", RunState.RAN_IN_PART, retry=False
    ),
    ErrorKind.UPSTREAM_FAILED: Answer(
        502, "The upstream failed", RunState.MAY_HAVE_RUN, retry=True
    ),
    ErrorKind.INTERNAL: Answer(500, "egretstack has a bug", RunState.MAY_HAVE_RUN, retry=False),
}


_AFTER_LEDGER_READ = frozenset({ErrorKind.NOT_RUN, ErrorKind.NO_RUNNER, ErrorKind.KEY_REUSED})
"""Refusals sent after the ledger was read: no earlier attempt with the key ran."""


def run_state(kind: ErrorKind, *, keyed: bool) -> RunState:
    """Return the run state for a refusal; `keyed` if the request had an Idempotency-Key.

    An entry that refuses before it read the ledger knows only about its own attempt. If it said
    "not run", a caller whose first attempt ran and whose repeat met an outage would conclude that
    the call never ran, and make it again with a new key.
    """
    run = ANSWERS[kind].run
    if keyed and run is RunState.NOT_RUN and kind not in _AFTER_LEDGER_READ:
        return RunState.ATTEMPT_NOT_RUN
    return run


def problem_document(
    kind: ErrorKind, detail: str, retry_after_s: int | None, *, keyed: bool = False
) -> dict[str, object]:
    """Build the problem detail of one answer (RFC 9457, with two extension members)."""
    answer = ANSWERS[kind]
    document: dict[str, object] = {
        "type": PROBLEM_TYPE_BASE + kind.value,
        "title": answer.title,
        "status": answer.status,
        "detail": detail,
        "run": run_state(kind, keyed=keyed).value,
    }
    if retry_after_s is not None:
        document["retry_after_s"] = retry_after_s
    return document
