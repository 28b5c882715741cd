"""What entries ask each other of output lengths; numbers 60 to 69."""

from dataclasses import dataclass
from typing import ClassVar

from egretstack.peers import Message


@dataclass(frozen=True)
class LengthsAsk(Message):
    """Asks a peer for what it learned itself."""

    number: ClassVar[int] = 60


@dataclass(frozen=True)
class LengthsAnswer(Message):
    """The peer's summary, packed; at most MAX_SUMMARY_BYTES."""

    number: ClassVar[int] = 61
    packed: bytes
