"""The client's side of a stream, as a relay sees it."""

from abc import ABC, abstractmethod

from egretstack.http1 import ResponseHead


class ClientStream(ABC):
    """The client's side of a stream."""

    @abstractmethod
    async def start(self, head: ResponseHead) -> None:
        """Send the head."""

    @abstractmethod
    async def send(self, data: bytes) -> None:
        """Send whole events."""

    @abstractmethod
    async def finish(self) -> None:
        """Send the proper end."""

    @abstractmethod
    def abort(self) -> None:
        """Break the answer off so that it cannot look complete."""
