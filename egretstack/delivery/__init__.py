"""Delivery of a session's tokens: exactly once, in order, from a single generation."""

from egretstack.delivery._cursor import Cursor, Verdict
from egretstack.delivery._holders import GenerationHolders
from egretstack.delivery._messages import MAX_ID_LENGTH, SessionReleased, SessionTaken
from egretstack.delivery._recovery import (
    EngineReply,
    Failure,
    Recovery,
    RecoveryBudget,
    SessionProgress,
    Step,
)
from egretstack.delivery._token import InvalidSessionId, SessionIdCipher, SessionRef

__all__ = [
    "MAX_ID_LENGTH",
    "Cursor",
    "EngineReply",
    "Failure",
    "GenerationHolders",
    "InvalidSessionId",
    "Recovery",
    "RecoveryBudget",
    "SessionIdCipher",
    "SessionProgress",
    "SessionRef",
    "SessionReleased",
    "SessionTaken",
    "Step",
    "Verdict",
]
