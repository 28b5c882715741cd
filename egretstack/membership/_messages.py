"""Heartbeat messages between instances."""

from dataclasses import dataclass
from typing import ClassVar

from egretstack.peers import Message


@dataclass(frozen=True)
class Heartbeat(Message):
    """Shows that the sender is live, and carries updates that the receiver has not confirmed yet.

    Versions count the changes of one process's own table, and have a meaning only together with its
    `run`. Rows are packed by `egretstack.membership._rows`.
    """

    number: ClassVar[int] = 20
    run: int
    """This run of the sender's process: its start, in milliseconds since the epoch."""
    revision: int
    """Applied configuration revision of the sender."""
    digest: int
    """Digest of the sender's whole table; if equal, no rows are needed."""
    base: int
    version: int
    """The rows below are the sender's changes above `base` up to `version`."""
    seen_run: int
    """The receiver's run that `seen_version` belongs to; 0 if none is known."""
    seen_version: int
    """The version of the receiver's table that the sender holds."""
    rows: list


@dataclass(frozen=True)
class HeartbeatAnswer(Message):
    """The answer to a heartbeat, with the same fields."""

    number: ClassVar[int] = 21
    run: int
    revision: int
    digest: int
    base: int
    version: int
    seen_run: int
    seen_version: int
    rows: list
