"""The ledger's interface for the sender of a call."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from egretstack.ids import AttemptId
from egretstack.ledger._attempts import Stage
from egretstack.ledger._row import KeptAnswer, KeyId, Row


@dataclass(frozen=True)
class IntentRequest:
    """A request to write a call's intent.

    `timeout_s` bounds the call, and `retention_s` is how long its key is kept. `replaces` is an
    earlier attempt whose open row may be replaced.
    """

    key: KeyId
    fingerprint: str
    timeout_s: float
    retention_s: float
    replaces: AttemptId | None = None


@dataclass(frozen=True)
class Intent:
    """A written intent, whose call only this process may send.

    `started_at_s` is a time of the runtime's clock.
    """

    key: KeyId
    row: Row
    started_at_s: float


class CallLedger(ABC):
    """Stores intents and outcomes; raises EgretError for what it refuses."""

    @abstractmethod
    async def begin(self, request: IntentRequest) -> Intent | Row:
        """Write an intent, or return the row that the key has already.

        Raises EgretError PLATFORM_AWAY; the call was then not sent and never will be.
        """

    @abstractmethod
    def check_send(self, intent: Intent) -> None:
        """Raise EgretError NOT_RUN if the intent may no longer be sent."""

    @abstractmethod
    async def release(self, intent: Intent) -> None:
        """Free the key of an intent that was not sent and, from this moment, never will be."""

    @abstractmethod
    async def finish(self, intent: Intent, answer: KeptAnswer | None) -> bool:
        """Write the outcome, None if unknown; return False if another attempt took over the key."""

    @abstractmethod
    async def stage(self, row: Row) -> Stage:
        """Query the owner of an attempt for the attempt's stage."""
