"""What entries ask each other: about attempts, and to write rows in one commit with others'."""

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


@dataclass(frozen=True)
class ShardAsk(Message):
    """Asks the home of a shard to carry an operation out.

    `wanted` is the value of a Wanted, `row` the row's stored form, `over` an attempt or empty.
    After `until_s`, in seconds since the epoch, it is not carried out any more.
    """

    number: ClassVar[int] = 42
    shard: int
    wanted: str
    key: str
    row: list
    over: str
    until_s: float


@dataclass(frozen=True)
class ShardTell(Message):
    """Tells the outcome, empty where there is none yet, and the row written or found."""

    number: ClassVar[int] = 43
    outcome: str
    row: list
