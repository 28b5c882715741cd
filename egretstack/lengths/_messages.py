"""Messages in which entries share learned output lengths; numbers 60 to 69."""

from dataclasses import dataclass
from typing import ClassVar

from egretstack.peers import Message


@dataclass(frozen=True)
class LengthsAsk(Message):
    """Requests the lengths that a peer learned from its own sessions."""

    number: ClassVar[int] = 60


@dataclass(frozen=True)
class LengthsAnswer(Message):
    """The peer's packed summary; at most MAX_SUMMARY_BYTES."""

    number: ClassVar[int] = 61
    packed: bytes
