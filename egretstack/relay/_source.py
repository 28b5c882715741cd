"""The connection from which a stream's events are read, which may be watched for a sign of life."""

from egretstack.http1 import UpstreamBroken, UpstreamConnection


class StreamSource:
    """Reads a response body; the next piece can be awaited without being taken."""

    def __init__(self, connection: UpstreamConnection) -> None:
        self._connection = connection
        self._next: bytes | None | UpstreamBroken = None
        self._has_next = False

    @property
    def is_unframed(self) -> bool:
        """Whether the response has neither a length nor chunks, and ends with the connection."""
        return self._connection.is_unframed

    async def wait_for_next(self) -> bool:
        """Wait for the next piece or the end; return whether that is not a broken connection."""
        if not self._has_next:
            try:
                self._next = await self._connection.read_body()
            except UpstreamBroken as error:
                self._next = error
            self._has_next = True
        return not isinstance(self._next, UpstreamBroken)

    async def read(self) -> bytes | None:
        """Return the next piece of the body; None at its end. Raises UpstreamBroken."""
        await self.wait_for_next()
        self._has_next = False
        if isinstance(self._next, UpstreamBroken):
            raise self._next
        return self._next

    def close(self) -> None:
        """Close the connection; a runner that is still working sees its client disconnect."""
        self._connection.close()
