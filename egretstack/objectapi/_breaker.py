"""A circuit breaker for calls to the platform; the time and the random source are passed in."""

from enum import Enum
from random import Random

FAILURES_TO_OPEN = 5
INITIAL_OPEN_S = 0.25
MAX_OPEN_S = 2.0
_JITTER = 0.5


class BreakerState(Enum):
    """Whether calls are allowed."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class Breaker:
    """Opens after consecutive failures, then allows one probe at a time.

    Without it, each call during an outage would block its caller for a whole timeout, and every
    process would keep sending load to a platform that is trying to recover.
    """

    def __init__(self, rng: Random) -> None:
        self.state = BreakerState.CLOSED
        self._rng = rng
        self._failures = 0
        self._open_s = INITIAL_OPEN_S
        self._open_until_s = 0.0
        self._probing = False

    def wait_s(self, now_s: float) -> float:
        """Return the seconds until a call may be made; 0 if it may be made now."""
        if self.state is BreakerState.CLOSED:
            return 0.0
        if self._probing:
            return self._open_s
        return max(0.0, self._open_until_s - now_s)

    def record_call(self, now_s: float) -> None:
        """Record the start of a call that `wait_s` allowed; while open, it is the probe."""
        if self.state is not BreakerState.CLOSED:
            self.state = BreakerState.HALF_OPEN
            self._probing = True

    def record_success(self) -> None:
        """Record an answer of the platform, whatever its content."""
        self.state = BreakerState.CLOSED
        self._failures = 0
        self._open_s = INITIAL_OPEN_S
        self._probing = False

    def record_failure(self, now_s: float) -> None:
        """Record a call that got no answer."""
        self._failures += 1
        if self.state is BreakerState.HALF_OPEN:
            self._open_s = min(MAX_OPEN_S, self._open_s * 2)
            self._open(now_s)
        elif self.state is BreakerState.CLOSED and self._failures >= FAILURES_TO_OPEN:
            self._open(now_s)

    def record_cancelled(self) -> None:
        """Record a call cancelled before its answer; another probe may be made."""
        self._probing = False

    def _open(self, now_s: float) -> None:
        self.state = BreakerState.OPEN
        self._probing = False
        # Without jitter every process of the fleet would probe at the same moment.
        self._open_until_s = now_s + self._open_s * (1 + _JITTER * self._rng.random())
