"""The closed list of error kinds a caller can be answered with."""

from enum import Enum


class ErrorKind(Enum):
    """Why a request did not get the answer it asked for."""

    BAD_REQUEST = "bad-request"
    BODY_TOO_LARGE = "body-too-large"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not-found"
    UNKNOWN_MODEL = "unknown-model"
    UNKNOWN_SERVICE = "unknown-service"
    KEY_REQUIRED = "idempotency-key-required"
    KEY_REUSED = "idempotency-key-reused"
    IN_PROGRESS = "call-in-progress"
    RATE_LIMITED = "rate-limited"
    OVER_CONCURRENCY = "over-concurrency"
    ENGINES_FULL = "engines-full"
    DEADLINE_TOO_SHORT = "deadline-too-short"
    NO_RUNNER = "no-runner"
    DRAINING = "draining"
    PLATFORM_AWAY = "platform-away"
    CONFIGURATION_MISSING = "configuration-missing"
    NOT_RUN = "not-run"
    OUTCOME_UNKNOWN = "outcome-unknown"
    GENERATION_LOST = "generation-lost"
    GENERATION_CANCELLED = "generation-cancelled"
    UPSTREAM_FAILED = "upstream-failed"
    INTERNAL = "internal"
