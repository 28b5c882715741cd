"""The refusal of a generation that needs an engine."""

from dataclasses import dataclass
from enum import Enum

from egretstack.placing._return_slots import ReturnSlot


class RefusalReason(Enum):
    """Why a request was refused before its longest wait; these are label values of a counter."""

    NO_ROOM = "no_room"
    """No place is forecast within its wait."""
    OVERTAKEN = "overtaken"
    """A place was forecast, but others went first or runs took longer."""
    EARLY_RETURN = "early_return"
    """Its caller has a slot and did not wait for it."""
    ACCOUNT_LIMIT = "account_limit"
    """Too many requests of its client account wait."""
    QUEUE_FULL = "queue_full"
    TOO_LATE = "too_late"
    """It can no longer be in time, and a late answer is not worth waiting for."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """The refusal of a request, with its inputs."""

    attempt: str
    rank: int
    prompt_tokens: int
    reason: RefusalReason
    retry_after_s: float
    forecast_wait_s: float
    left_s: float
    """How much longer the request could have waited."""
    ahead: float
    """Requests like this one that others before it take the room of."""
    slot: ReturnSlot | None
    """The slot in which its caller may return, if there was room for one."""
