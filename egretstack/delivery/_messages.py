"""Messages between entries about who serves a session."""

from dataclasses import dataclass
from typing import ClassVar

from egretstack.peers import Message

MAX_ID_LENGTH = 256


@dataclass(frozen=True)
class SessionTaken(Message):
    """The entry `holder` serves this generation from now on; the previous holder has to stop."""

    number: ClassVar[int] = 50
    holder: str
    runner: str
    generation: str


@dataclass(frozen=True)
class SessionReleased(Message):
    """The answer to `SessionTaken`: the generation is no longer served by the sender.

    `previous` is the entry last known to serve it; empty if none is known.
    """

    number: ClassVar[int] = 51
    previous: str
