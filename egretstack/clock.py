"""The clock of the trio run, in seconds.

Durations and deadlines use `now`, which trio's mock clock pauses and advances in tests. Times that
other processes read use `EpochClock`: the wall clock is read once and then advanced by the run's
clock, so that a step of the wall clock never moves a deadline.
"""

import time

import trio

_NANOSECONDS = 1_000_000_000


class EpochClock:
    """Seconds since the Unix epoch, advanced by the clock of the trio run."""

    def __init__(self, epoch_s: float, runtime_s: float) -> None:
        self._offset_s = epoch_s - runtime_s

    @classmethod
    def start(cls) -> "EpochClock":
        """Read the wall clock once; must be called inside a trio run."""
        return cls(time.time_ns() / _NANOSECONDS, trio.current_time())

    def now(self) -> float:
        """Return the current time in seconds since the epoch."""
        return self._offset_s + trio.current_time()


def now() -> float:
    """Return the clock of the trio run in seconds; only differences are meaningful."""
    return trio.current_time()
