"""What entries tell each other about sessions."""

from dataclasses import dataclass
from typing import ClassVar

from egretstack.peers import Message

MAX_ID_LENGTH = 256


@dataclass(frozen=True)
class SessionTaken(Message):
    """The entry `holder` serves this generation from now on; who served it before has to let go."""

    number: ClassVar[int] = 50
    holder: str
    runner: str
    generation: str


@dataclass(frozen=True)
class SessionReleased(Message):
    """The answer: the generation is not served here any more.

    `previous` is the entry that was last known to serve it; empty if none is known.
    """

    number: ClassVar[int] = 51
    previous: str
