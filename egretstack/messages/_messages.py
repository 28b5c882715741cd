"""Messages between the system's processes.

On the wire a message is a msgpack array: its number, then its fields in order. A number is
never reused for another message.
"""

from dataclasses import dataclass, fields
from typing import ClassVar

import msgpack

MAX_INTEGER = 2**63 - 1
"""Largest integer, with either sign, that rows hold; msgpack encodes no much larger ones."""
_CLASS_BY_NUMBER: dict[int, type["Message"]] = {}


class MessageError(Exception):
    """Data from a peer is not a valid message."""


@dataclass(frozen=True)
class Message:
    """Base class of messages; a subclass defines its number and fields, which registers it.

    Numbers below 10 are reserved for the link. Each package that communicates with other instances
    has a range of numbers: configuration from 10, membership 20, limits 30, ledger 40, sessions 50,
    lengths 60, fleet 70.
    """

    number: ClassVar[int]

    def __init_subclass__(cls) -> None:
        super().__init_subclass__()
        if cls.number in _CLASS_BY_NUMBER:
            raise ValueError(f"two messages have the number {cls.number}")
        _CLASS_BY_NUMBER[cls.number] = cls


@dataclass(frozen=True)
class Hello(Message):
    """The first message in each direction: protocol version, sender, and its sealed name."""

    number: ClassVar[int] = 1
    version: int
    instance: str
    seal: bytes


@dataclass(frozen=True)
class Nothing(Message):
    """An answer without content."""

    number: ClassVar[int] = 2


def checked_integer(value: object) -> int:
    """Return a number of a row as an integer that can be sent on. Raises ValueError, TypeError."""
    number = int(value)
    if not -MAX_INTEGER <= number <= MAX_INTEGER:
        raise ValueError("a number out of bounds")
    return number


def encode(message: Message) -> bytes:
    """Return the encoded message."""
    row = [message.number]
    row.extend(getattr(message, field.name) for field in fields(message))
    return msgpack.packb(row)


def decode(row: object) -> Message:
    """Decode an unpacked row to a message; raise MessageError."""
    number = row[0] if isinstance(row, list) and row else None
    kind = _CLASS_BY_NUMBER.get(number) if isinstance(number, int) else None
    if kind is None:
        raise MessageError("row without a known message number")
    declared_fields = fields(kind)
    if len(row) != len(declared_fields) + 1:
        raise MessageError(f"a {kind.__name__} with {len(row) - 1} fields")
    for field, value in zip(declared_fields, row[1:], strict=True):
        if not isinstance(value, field.type):
            raise MessageError(f"{kind.__name__}.{field.name} has a wrong type")
    return kind(*row[1:])
