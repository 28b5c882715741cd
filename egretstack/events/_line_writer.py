"""Writes log lines to a pipe or file; drops and counts lines rather than wait or flood."""

import os
from collections.abc import Callable

MAX_LATE_BYTES = 65_536
"""Lines kept for a reader that is behind; more are dropped and counted.

A reader that stops reading fills the pipe. A process that waited for it would stop serving.
"""
LINES_PER_S = 200.0
"""Lines written for long: some four for each of the fifty requests a second that an instance of
today's sizes sees at its peak."""
BURST_LINES = 400.0
KEPT_FOR_WARNINGS = 0.25
"""Part of the burst that only warnings and errors may use up."""


class LineWriter:
    """Lines to one descriptor, which is made non-blocking; `now` gives seconds."""

    def __init__(self, descriptor: int, now: Callable[[], float]) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._now = now
        self._allowed = BURST_LINES
        self._at_s = now()
        self._late = b""
        self._dropped = 0
        self.dropped_total = 0

    def write(self, line: str, *, urgent: bool = False) -> None:
        """Write a line, or keep it for later, or count it as dropped."""
        data = line.encode() + b"\n"
        if not self._allows(urgent) or len(self._late) + len(data) > MAX_LATE_BYTES:
            self._dropped += 1
            self.dropped_total += 1
            data = b""
        elif self._dropped:
            data = b'{"name": "log_lines_dropped", "count": %d}\n' % self._dropped + data
            self._dropped = 0
        self._late += data
        self._flush()

    def _allows(self, urgent: bool) -> bool:
        now_s = self._now()
        self._allowed = min(BURST_LINES, self._allowed + (now_s - self._at_s) * LINES_PER_S)
        self._at_s = now_s
        floor = 0.0 if urgent else BURST_LINES * KEPT_FOR_WARNINGS
        if self._allowed < floor + 1.0:
            return False
        self._allowed -= 1.0
        return True

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
