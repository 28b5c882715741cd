"""Writes log lines to a pipe or file, and drops them rather than wait for a reader."""

import os

MAX_LATE_BYTES = 65_536
"""Lines kept for a reader that is behind; more are dropped and counted.

A reader that stops reading fills the pipe. A process that waited for it would stop serving.
"""


class LineWriter:
    """Lines to one descriptor, which is made non-blocking."""

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._late = b""
        self._dropped = 0
        self.dropped_in_all = 0

    def write(self, line: str) -> None:
        """Write a line, or keep it, or count it as dropped."""
        data = line.encode() + b"\n"
        if len(self._late) + len(data) > MAX_LATE_BYTES:
            self._dropped += 1
            self.dropped_in_all += 1
            data = b""
        elif self._dropped:
            data = b'{"name": "log_lines_dropped", "count": %d}\n' % self._dropped + data
            self._dropped = 0
        self._late += data
        self._flush()

    def _flush(self) -> None:
        try:
            written = os.write(self._descriptor, self._late)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more: there is nowhere left to tell it.
            self._late = b""
            return
        self._late = self._late[written:]
