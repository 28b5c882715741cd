"""Sessions: each delivers one generation from an engine to a caller."""

from egretstack.sessions._levels import SessionLevels, is_success
from egretstack.sessions._outcome import FinishedAnswer
from egretstack.sessions._placer import Placement, Placer
from egretstack.sessions._pump import Pump, PumpDependencies
from egretstack.sessions._session import ReaderStalled, Session, SessionRequest
from egretstack.sessions._takeover import Takeover

__all__ = [
    "FinishedAnswer",
    "Placement",
    "Placer",
    "Pump",
    "PumpDependencies",
    "ReaderStalled",
    "Session",
    "SessionLevels",
    "SessionRequest",
    "Takeover",
    "is_success",
]
