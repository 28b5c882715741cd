"""Splits a stream of server-sent events into complete events.

Only complete events are forwarded to the client. If a runner breaks off in the middle of an event,
the runner that continues the run sends that event from its start; a partial event before it would
corrupt it.
"""

import re
from dataclasses import dataclass

_EVENT_END = re.compile(rb"\r?\n\r?\n|\r\r")
_EVENT_ID = re.compile(rb"(?:^|\n|\r)id: ?([^\r\n]*)")
_HEADER_VALUE = re.compile(rb"[^\x00-\x20\x7f]+(?:[ \t]+[^\x00-\x20\x7f]+)*")
MAX_EVENT_BYTES = 1_048_576
MAX_COMMENT_BYTES = 65_536
"""Largest size of the comments between two events; a sound runner sends one in some seconds."""
_COMMENT_STARTS = (b":", b"\r", b"\n")
_MAX_END_BYTES = 4
"""Length of the longest end of an event."""
MAX_EVENT_ID_BYTES = 1_024


class EventTooLarge(Exception):
    """An event exceeds the size limit without ending."""


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event including its terminating blank line; `id` is empty if the event has none.

    An id that cannot be sent as the value of a header, `Last-Event-Id`, counts as none.
    """

    data: bytes
    id: str

    @property
    def has_data(self) -> bool:
        """Whether it carries data, unlike a comment."""
        return any(line.startswith(b"data") for line in self.data.splitlines())

    @property
    def is_comment(self) -> bool:
        """Whether it has only comments and empty lines, which show no progress of its run."""
        if self.data[:1] not in _COMMENT_STARTS:
            return False
        return all(line[:1] in (b"", b":") for line in self.data.splitlines())


class EventSplitter:
    """Incrementally splits received bytes into complete events."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._searched = 0
        """Bytes of the buffer that contain no end of an event."""
        self._comment_bytes = 0
        """Bytes of comments since the last other event."""
        self.has_event = False
        """Whether an event other than a comment was complete."""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that are complete now. Raises EventTooLarge."""
        events = []
        self._buffer += data
        start = 0
        for end in _EVENT_END.finditer(self._buffer, self._searched):
            event = bytes(self._buffer[start : end.end()])
            start = end.end()
            events.append(self._count_comments(StreamEvent(event, _parse_id(event))))
        del self._buffer[:start]
        self._searched = max(0, len(self._buffer) - _MAX_END_BYTES + 1)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLarge(f"{len(self._buffer)} bytes without an end")
        return events

    def _count_comments(self, event: StreamEvent) -> StreamEvent:
        if event.is_comment:
            self._comment_bytes += len(event.data)
        else:
            self._comment_bytes, self.has_event = 0, True
        if self._comment_bytes > MAX_COMMENT_BYTES:
            raise EventTooLarge(f"{self._comment_bytes} bytes of comments without an event")
        return event

    @property
    def pending_bytes(self) -> int:
        """Number of bytes after the last complete event."""
        return len(self._buffer)

    @property
    def remainder(self) -> bytes:
        """Bytes after the last complete event."""
        return bytes(self._buffer)


def _parse_id(event: bytes) -> str:
    match = _EVENT_ID.search(event)
    if match is None or len(match[1]) > MAX_EVENT_ID_BYTES or not _HEADER_VALUE.fullmatch(match[1]):
        return ""
    return match[1].decode("latin-1")
