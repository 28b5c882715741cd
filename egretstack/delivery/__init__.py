"""Delivery of a session's tokens: once, in order, and from one generation."""

from egretstack.delivery._cursor import Cursor, Verdict
from egretstack.delivery._holders import Holders
from egretstack.delivery._messages import MAX_ID_LENGTH, SessionReleased, SessionTaken
from egretstack.delivery._recovery import (
    EngineWord,
    Failure,
    Recovery,
    RecoveryBudget,
    Standing,
    Step,
)
from egretstack.delivery._token import SessionRef, TokenBox, TokenRefused

__all__ = [
    "MAX_ID_LENGTH",
    "Cursor",
    "EngineWord",
    "Failure",
    "Holders",
    "Recovery",
    "RecoveryBudget",
    "SessionRef",
    "SessionReleased",
    "SessionTaken",
    "Standing",
    "Step",
    "TokenBox",
    "TokenRefused",
    "Verdict",
]
