"""Sessions: one generation each, from an engine to a caller."""

from egretstack.sessions._outcome import FinishedAnswer
from egretstack.sessions._placing import Placement, Placer
from egretstack.sessions._pump import Pump, PumpLinks
from egretstack.sessions._session import Session, SessionRequest

__all__ = [
    "FinishedAnswer",
    "Placement",
    "Placer",
    "Pump",
    "PumpLinks",
    "Session",
    "SessionRequest",
]
