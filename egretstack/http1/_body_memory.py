"""Limits the memory used by the bodies of all requests in progress."""


class BodyMemoryFull(Exception):
    """Bodies of other requests fill the body memory; the request was not forwarded."""


class BodyMemory:
    """Counts the bytes of request bodies, up to a limit.

    The size of each body is bounded, but some dozens of large ones at once would still exceed an
    instance's memory limit: the process would be killed, and all its streams with it. Refusing the
    body that exceeds the limit costs one caller a retry.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Bytes held now."""
        return self._held_bytes

    def acquire(self, count: int) -> None:
        """Count received bytes. Raises BodyMemoryFull."""
        if self._held_bytes + count > self._max_bytes:
            raise BodyMemoryFull(f"bodies of {self._held_bytes} bytes are in progress")
        self._held_bytes += count

    def release(self, count: int) -> None:
        """Uncount bytes that are no longer held."""
        self._held_bytes -= count
