"""The interface of a client for a plain service: calls that are passed on as they are."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field

from egretstack.errors import NotRunProof


class Unsent(Exception):
    """No connection was made, so no byte of the call was sent; `proof` says why."""

    def __init__(self, proof: NotRunProof) -> None:
        super().__init__(proof.reason)
        self.proof = proof


class OutcomeUnknown(Exception):
    """The call was sent at least in part, and no complete answer arrived."""


@dataclass(frozen=True)
class CallRequest:
    """One HTTP call as it is passed on. `timeout_s`, in seconds, bounds the whole call."""

    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout_s: float


@dataclass(frozen=True)
class CallResponse:
    """The upstream's answer to a call."""

    status: int
    headers: tuple[tuple[str, str], ...] = field(default=())
    body: bytes = b""


class PlainService(ABC):
    """A client of one runner of a plain service."""

    @abstractmethod
    async def call(
        self, request: CallRequest, check: Callable[[], None] | None = None
    ) -> CallResponse:
        """Make a call. Raises Unsent, OutcomeUnknown, or what `check` raises.

        `check` is called once the connection is made, just before the first byte is sent; if it
        raises, nothing was sent.
        """
