"""Memory that the bodies of all requests in progress share."""


class BodyMemoryFull(Exception):
    """Bodies of other requests fill the memory that is meant for them; nothing was passed on."""


class BodyMemory:
    """Counts bytes of bodies, up to a limit.

    Each body is bounded, and some dozens of large ones at once would still pass an instance's
    memory limit: the process is killed, and every stream that it holds ends with it. Refusing the
    one that finds no room costs one caller a retry.
    """

    def __init__(self, max_bytes: int) -> None:
        self._most_bytes = max_bytes
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Bytes held now."""
        return self._held_bytes

    def acquire(self, count: int) -> None:
        """Count bytes that have arrived. Raises NoRoomForBody."""
        if self._held_bytes + count > self._most_bytes:
            raise BodyMemoryFull(f"bodies of {self._held_bytes} bytes are in progress")
        self._held_bytes += count

    def release(self, count: int) -> None:
        """Count bytes that are no longer held."""
        self._held_bytes -= count
