"""Messages between entries: queries about attempts, and requests to the ledger home of a shard.

The ledger home writes the rows of several entries in one commit.
"""

from dataclasses import dataclass
from typing import ClassVar

from egretstack.peers import Message


@dataclass(frozen=True)
class AttemptAsk(Message):
    """Queries an attempt's owner, the process `boot`, for the attempt's stage."""

    number: ClassVar[int] = 40
    boot: str
    attempt: str


@dataclass(frozen=True)
class AttemptTell(Message):
    """Answers an AttemptAsk; `stage` is the value of a Stage."""

    number: ClassVar[int] = 41
    stage: str


@dataclass(frozen=True)
class ShardAsk(Message):
    """Requests that the ledger home of a shard carry out an operation.

    `wanted` is the value of an OperationKind, and `row` the row's stored form. `over` is the
    attempt whose open row may be replaced, or empty. After `until_s`, in seconds since the epoch,
    the operation is no longer carried out.
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
    """Answers a ShardAsk with the outcome, empty if there is none yet, and the row.

    The row is the one that was written or found.
    """

    number: ClassVar[int] = 43
    outcome: str
    row: list
