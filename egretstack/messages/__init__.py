"""Typed messages between the system's processes, and their msgpack encoding."""

from egretstack.messages._messages import (
    Hello,
    Message,
    MessageError,
    Nothing,
    checked_integer,
    decode,
    encode,
)

__all__ = [
    "Hello",
    "Message",
    "MessageError",
    "Nothing",
    "checked_integer",
    "decode",
    "encode",
]
