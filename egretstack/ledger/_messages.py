"""What entries ask each other about attempts."""

from dataclasses import dataclass
from typing import ClassVar

from egretstack.peers import Message


@dataclass(frozen=True)
class AttemptAsk(Message):
    """Asks an attempt's owner, in the process `boot`, how far the attempt has come."""

    number: ClassVar[int] = 40
    boot: str
    attempt: str


@dataclass(frozen=True)
class AttemptTell(Message):
    """Tells it; `stage` is the value of a Stage."""

    number: ClassVar[int] = 41
    stage: str
