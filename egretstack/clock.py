"""The clock of the runtime, in seconds.

Durations and deadlines use `now`, which trio's test clock pauses and advances. Times that are
written where other processes read them use `epoch_now`: the wall clock is read once and then
carried forward by the runtime's clock, so a step of the wall clock never moves a deadline.
"""

import time

import trio

_NANOSECONDS = 1_000_000_000


class EpochClock:
    """Seconds since the Unix epoch, carried forward by the runtime's clock."""

    def __init__(self, epoch_s: float, runtime_s: float) -> None:
        self._offset_s = epoch_s - runtime_s

    @classmethod
    def start(cls) -> "EpochClock":
        """Read the wall clock once; call it inside a trio run."""
        return cls(time.time_ns() / _NANOSECONDS, trio.current_time())

    def now(self) -> float:
        """Give the present time in seconds since the epoch."""
        return self._offset_s + trio.current_time()


def now() -> float:
    """Give the runtime's clock in seconds; only differences have a meaning."""
    return trio.current_time()
