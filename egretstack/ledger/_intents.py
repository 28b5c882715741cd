"""What the sender of a call asks of the ledger."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from egretstack.ids import AttemptId
from egretstack.ledger._attempts import Stage
from egretstack.ledger._row import KeptAnswer, KeyId, Row


@dataclass(frozen=True)
class IntentRequest:
    """A call that wants to run: `timeout_s` bounds the call, `retention_s` its key's life.

    `over` is an earlier attempt whose open row may be replaced.
    """

    key: KeyId
    fingerprint: str
    timeout_s: float
    retention_s: float
    replaces: AttemptId | None = None


@dataclass(frozen=True)
class Intent:
    """A written intent, which only this process may send; `began_s` is of the runtime's clock."""

    key: KeyId
    row: Row
    started_at_s: float


class CallLedger(ABC):
    """Keeps intents and outcomes; what it refuses raises EgretError."""

    @abstractmethod
    async def begin(self, request: IntentRequest) -> Intent | Row:
        """Write an intent, or give the row that the key has already.

        Raises EgretError PLATFORM_AWAY; the call was then not sent and never will be.
        """

    @abstractmethod
    def check_send(self, intent: Intent) -> None:
        """Raise EgretError NOT_RUN if the intent may not be sent any more."""

    @abstractmethod
    async def release(self, intent: Intent) -> None:
        """Free the key of an intent that was not sent and, from this moment, never will be."""

    @abstractmethod
    async def finish(self, intent: Intent, answer: KeptAnswer | None) -> bool:
        """Write the outcome, None for unknown; False if another attempt has taken the key over."""

    @abstractmethod
    async def stage(self, row: Row) -> Stage:
        """Ask the owner of an attempt how far it has come."""
