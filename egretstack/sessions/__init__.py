"""Sessions: one generation each, from an engine to a caller."""

from egretstack.sessions._levels import SessionLevels, is_kept
from egretstack.sessions._outcome import FinishedAnswer
from egretstack.sessions._placing import Placement, Placer
from egretstack.sessions._pump import Pump, PumpLinks
from egretstack.sessions._session import ReaderStalled, Session, SessionRequest
from egretstack.sessions._takeover import Takeover

__all__ = [
    "FinishedAnswer",
    "Placement",
    "Placer",
    "Pump",
    "PumpLinks",
    "ReaderStalled",
    "Session",
    "SessionLevels",
    "SessionRequest",
    "Takeover",
    "is_kept",
]
