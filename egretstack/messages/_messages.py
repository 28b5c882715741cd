"""Messages between the system's processes.

On the wire a message is a msgpack array: its number, then its fields in order. A number is
never used again for another message.
"""

from dataclasses import dataclass, fields
from typing import ClassVar

import msgpack

_KIND_BY_NUMBER: dict[int, type["Message"]] = {}


class MessageError(Exception):
    """Bytes from a peer are not a message."""


@dataclass(frozen=True)
class Message:
    """A message; a subclass sets its number and its fields, and so becomes known.

    Numbers below 10 are the link's own; each package that talks to its like on other instances
    has ten of its own: configuration 10, membership 20, limits 30, ledger 40, sessions 50.
    """

    number: ClassVar[int]

    def __init_subclass__(cls) -> None:
        super().__init_subclass__()
        if cls.number in _KIND_BY_NUMBER:
            raise ValueError(f"two messages have the number {cls.number}")
        _KIND_BY_NUMBER[cls.number] = cls


@dataclass(frozen=True)
class Hello(Message):
    """The first message each way: protocol version, sender, and its sealed name."""

    number: ClassVar[int] = 1
    version: int
    instance: str
    seal: bytes


@dataclass(frozen=True)
class Nothing(Message):
    """The answer where there is nothing to tell."""

    number: ClassVar[int] = 2


def encode(message: Message) -> bytes:
    """Give the bytes of a message."""
    row = [message.number]
    row.extend(getattr(message, one.name) for one in fields(message))
    return msgpack.packb(row)


def decode(row: object) -> Message:
    """Make a message of an unpacked row; raise MessageError."""
    if not isinstance(row, list) or not row or row[0] not in _KIND_BY_NUMBER:
        raise MessageError("not a message")
    kind = _KIND_BY_NUMBER[row[0]]
    described = fields(kind)
    if len(row) != len(described) + 1:
        raise MessageError(f"a {kind.__name__} with {len(row) - 1} fields")
    for one, value in zip(described, row[1:], strict=True):
        if not isinstance(value, one.type):
            raise MessageError(f"{kind.__name__}.{one.name} has a wrong type")
    return kind(*row[1:])
