"""Writes log lines to a pipe or file; drops and counts lines instead of blocking or flooding."""

import os
from collections.abc import Callable

MAX_PENDING_BYTES = 65_536
"""Bytes of lines buffered for a slow reader; further lines are dropped and counted.

A reader that stops reading fills the pipe, and a process that waited for it would stop serving.
"""
LINES_PER_S = 200.0
"""Sustained rate of lines: about four for each of the fifty requests per second that an instance
gets at its peak."""
BURST_LINES = 400.0
RESERVED_FOR_WARNINGS = 0.25
"""Share of the burst that is reserved for warnings and errors."""


class LineWriter:
    """Writes lines to a file descriptor, which it makes non-blocking; `now` returns seconds."""

    def __init__(self, descriptor: int, now: Callable[[], float]) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._now = now
        self._lines_allowed = BURST_LINES
        self._refilled_at_s = now()
        self._pending = b""
        self._unreported_drops = 0
        self.dropped_total = 0

    def write(self, line: str, *, urgent: bool = False) -> None:
        """Write a line, buffer it for later, or drop and count it."""
        data = line.encode() + b"\n"
        if not self._acquire_line(urgent) or len(self._pending) + len(data) > MAX_PENDING_BYTES:
            self._unreported_drops += 1
            self.dropped_total += 1
            data = b""
        elif self._unreported_drops:
            data = b'{"name": "log_lines_dropped", "count": %d}\n' % self._unreported_drops + data
            self._unreported_drops = 0
        self._pending += data
        self._flush()

    def _acquire_line(self, urgent: bool) -> bool:
        now_s = self._now()
        self._lines_allowed = min(
            BURST_LINES, self._lines_allowed + (now_s - self._refilled_at_s) * LINES_PER_S
        )
        self._refilled_at_s = now_s
        floor = 0.0 if urgent else BURST_LINES * RESERVED_FOR_WARNINGS
        if self._lines_allowed < floor + 1.0:
            return False
        self._lines_allowed -= 1.0
        return True

    def _flush(self) -> None:
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the pipe: there is nowhere left to report it.
            self._pending = b""
            return
        self._pending = self._pending[written:]
