"""Interface through which a relay writes a stream to its client."""

from abc import ABC, abstractmethod

from egretstack.http1 import ResponseHead


class ClientStream(ABC):
    """The client's side of a relayed stream."""

    @abstractmethod
    async def start(self, head: ResponseHead) -> None:
        """Send the response head."""

    @abstractmethod
    async def send(self, data: bytes) -> None:
        """Send whole events."""

    @abstractmethod
    async def finish(self) -> None:
        """End the response normally."""

    @abstractmethod
    def abort(self) -> None:
        """Abort the response so that the client cannot take it for complete."""
