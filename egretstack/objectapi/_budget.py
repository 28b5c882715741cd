"""Rate limits of calls to the platform by call class; the time is passed in.

The platform limits the calls of the whole fleet, with a pending watch as one call, and its limits
grow more slowly than the fleet. So each class has a rate for the whole fleet, and each process
gets a share of it that shrinks as instances are added. A class that used up its share never
borrows from another: reads of the configuration cannot starve the ledger.
"""

from enum import Enum

from egretstack.objectapi._object_api import ObjectKind


class CallClass(Enum):
    """The purpose of a call; each class has its own budget."""

    LEDGER = "ledger"
    LEASE = "lease"
    CONFIGURATION = "configuration"
    STATUS = "status"


CLASS_BY_KIND = {
    ObjectKind.CONFIG_HEAD: CallClass.CONFIGURATION,
    ObjectKind.CONFIG_PART: CallClass.CONFIGURATION,
    ObjectKind.LEASE: CallClass.LEASE,
    ObjectKind.LEDGER: CallClass.LEDGER,
    ObjectKind.STATUS: CallClass.STATUS,
}

FLEET_RATE_BY_CLASS = {
    CallClass.LEDGER: 600.0,
    CallClass.LEASE: 60.0,
    CallClass.CONFIGURATION: 200.0,
    CallClass.STATUS: 40.0,
}
"""Calls per second of the whole fleet; the sum is under half of what the platform accepts."""

SHARE_HEADROOM = 4.0
"""Factor by which a share exceeds an equal share, since few processes are busy at the same time."""

MIN_RATE = 1.0
"""Calls per second that every process may make in each class."""

BURST_S = 4.0
"""Burst of a process, in seconds of its rate."""

MIN_BURST = 20.0


class TokenBucket:
    """Allows `rate` calls per second and bursts of `burst` calls."""

    def __init__(self, rate: float, burst: float, now_s: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at_s = now_s

    def resize(self, rate: float, burst: float, now_s: float) -> None:
        """Change rate and burst; saved tokens above the new burst are lost."""
        self._refill(now_s)
        self._rate = rate
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def wait_s(self, now_s: float) -> float:
        """Return the seconds until one call may be made; 0 if it may be made now."""
        self._refill(now_s)
        return max(0.0, (1.0 - self._tokens) / self._rate)

    def spend(self, now_s: float) -> None:
        """Consume a token; the balance may become negative, and later callers wait for it."""
        self._refill(now_s)
        self._tokens -= 1.0

    def _refill(self, now_s: float) -> None:
        self._tokens = min(self._burst, self._tokens + (now_s - self._refilled_at_s) * self._rate)
        self._refilled_at_s = now_s


class CallBudget:
    """One token bucket per class, sized for this process's share of the fleet's rates."""

    def __init__(self, now_s: float) -> None:
        self._bucket_by_class = {
            call_class: TokenBucket(*_bucket_size(call_class, 1), now_s)
            for call_class in FLEET_RATE_BY_CLASS
        }

    def set_fleet_size(self, instances: int, now_s: float) -> None:
        """Resize every bucket for a fleet of this many instances."""
        for call_class, bucket in self._bucket_by_class.items():
            bucket.resize(*_bucket_size(call_class, max(1, instances)), now_s)

    def wait_s(self, call_class: CallClass, now_s: float) -> float:
        """Return the seconds until a call of the class may be made."""
        return self._bucket_by_class[call_class].wait_s(now_s)

    def spend(self, call_class: CallClass, now_s: float) -> None:
        """Consume one call of the class's budget."""
        self._bucket_by_class[call_class].spend(now_s)


def _bucket_size(call_class: CallClass, instances: int) -> tuple[float, float]:
    rate = max(MIN_RATE, FLEET_RATE_BY_CLASS[call_class] * SHARE_HEADROOM / instances)
    return rate, max(MIN_BURST, rate * BURST_S)
