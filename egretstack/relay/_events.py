"""Cuts a stream of server-sent events into whole events.

Only whole events go to the client: a runner that breaks off in the middle of one is followed by
another that sends it from its start, and half an event before it would spoil it.
"""

import re
from dataclasses import dataclass

_END = re.compile(rb"\r?\n\r?\n|\r\r")
_ID = re.compile(rb"(?:^|\n|\r)id: ?([^\r\n]*)")
MAX_EVENT_BYTES = 1_048_576


class EventTooLarge(Exception):
    """An event does not end."""


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event with its blank line; `id` is empty if it has none."""

    data: bytes
    id: str


class EventSplitter:
    """Takes bytes as they arrive and gives whole events."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Give the events that are whole now. Raises EventTooLarge."""
        events = []
        rest = self._rest + data
        start = 0
        for end in _END.finditer(rest):
            event = rest[start : end.end()]
            start = end.end()
            found = _ID.search(event)
            events.append(StreamEvent(event, found[1].decode("latin-1") if found else ""))
        self._rest = rest[start:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EventTooLarge(f"{len(self._rest)} bytes without an end")
        return events

    @property
    def remainder(self) -> bytes:
        """Bytes after the last whole event."""
        return self._rest
