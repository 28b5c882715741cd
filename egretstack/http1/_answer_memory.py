"""Limits the memory used by the answers of upstreams that are read or passed on."""

from collections.abc import Iterator
from contextlib import contextmanager

import trio

from egretstack.http1._client import UpstreamBroken

SMALL_BYTES = 65_536
"""Size up to which an answer may use all of the memory."""
LARGE_SHARE = 0.75
"""Share of the memory that larger answers may use together."""


class AnswerMemoryFull(UpstreamBroken):
    """Other answers fill the memory, or this one made way for smaller ones."""


class AnswerMemory:
    """Counts the bytes of answers, up to a limit.

    The size of each answer is bounded, but some dozens of endless ones at once would still exceed
    an instance's memory limit: the process would be killed, and all its streams with it. Once the
    memory is full the largest answer that is being read makes way, so that a few large ones refuse
    no smaller one.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._held_bytes = 0
        self._large_bytes = 0
        self._reservations: set[AnswerReservation] = set()

    @property
    def held_bytes(self) -> int:
        """Bytes held now."""
        return self._held_bytes

    @contextmanager
    def reserve(self) -> "Iterator[AnswerReservation]":
        """Provide a request with memory for its answers, which it gives back at its end."""
        reservation = AnswerReservation(self)
        self._reservations.add(reservation)
        try:
            yield reservation
        finally:
            self._reservations.discard(reservation)
            self.resize(reservation, 0)

    def resize(self, reservation: "AnswerReservation", size: int) -> None:
        """Change the bytes that a request holds. Raises AnswerMemoryFull."""
        while size > reservation.size and not self._fits(reservation, size):
            largest = max(self._evictable(reservation), key=lambda one: one.size, default=None)
            if largest is None or largest.size <= size:
                raise AnswerMemoryFull(f"answers of {self._held_bytes} bytes are in progress")
            largest.evict()
        self._held_bytes += size - reservation.size
        self._large_bytes += _large_part(size) - _large_part(reservation.size)
        reservation.size = size

    def _fits(self, reservation: "AnswerReservation", size: int) -> bool:
        large = self._large_bytes - _large_part(reservation.size) + _large_part(size)
        if size > SMALL_BYTES and large > LARGE_SHARE * self._max_bytes:
            return False
        return self._held_bytes - reservation.size + size <= self._max_bytes

    def _evictable(self, asking: "AnswerReservation") -> "Iterator[AnswerReservation]":
        return (one for one in self._reservations if one.is_evictable and one is not asking)


class AnswerReservation:
    """The memory that one request's answers take."""

    def __init__(self, memory: AnswerMemory) -> None:
        self.size = 0
        """Bytes held now; `AnswerMemory.resize` changes it."""
        self._memory = memory
        self._scope: trio.CancelScope | None = None
        """Scope in which an answer is read."""
        self._kept_bytes = 0
        """Bytes of answers that were read before."""
        self._is_evicted = False

    @property
    def is_evictable(self) -> bool:
        """Whether an answer is being read, which may be broken off."""
        return self._scope is not None and not self._is_evicted

    def resize(self, size: int) -> None:
        """Change the bytes held. Raises AnswerMemoryFull."""
        if self._is_evicted:
            raise AnswerMemoryFull("made way for smaller answers")
        self._memory.resize(self, size)

    def evict(self) -> None:
        """Break off the answer that is being read, and give its memory back."""
        self._is_evicted = True
        self._memory.resize(self, self._kept_bytes)
        self._scope.cancel()

    @contextmanager
    def reading(self) -> Iterator[None]:
        """Read an answer within this context; other answers may evict it meanwhile.

        Raises AnswerMemoryFull. The bytes that an answer has taken when its reading fails are given
        back.
        """
        self._kept_bytes = self.size
        self._is_evicted = False
        self._scope = trio.CancelScope()
        is_read = False
        try:
            with self._scope:
                yield
                is_read = True
        finally:
            self._scope = None
            if not is_read:
                self._memory.resize(self, self._kept_bytes)
        if not is_read:
            raise AnswerMemoryFull("made way for smaller answers")


def _large_part(size: int) -> int:
    return size if size > SMALL_BYTES else 0
