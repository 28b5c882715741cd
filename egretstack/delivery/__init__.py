"""Delivery of a session's tokens: once, in order, and from one generation."""

from egretstack.delivery._cursor import Cursor, Verdict
from egretstack.delivery._recovery import Failure, Recovery, RecoveryBudget, Step
from egretstack.delivery._token import SessionRef, TokenBox, TokenRefused

__all__ = [
    "Cursor",
    "Failure",
    "Recovery",
    "RecoveryBudget",
    "SessionRef",
    "Step",
    "TokenBox",
    "TokenRefused",
    "Verdict",
]
