"""The budget of calls to the platform, by class of call; pure, with time passed in.

The platform counts every call of the whole fleet, a waiting watch as one, and its rates grow more
slowly than the fleet. So each class has a rate for the whole fleet, and a process takes a share
of it that shrinks as instances are added. A class that has spent its share never takes from
another: reading configuration cannot starve the ledger.
"""

from enum import Enum

from egretstack.objectapi._object_api import ObjectKind


class CallClass(Enum):
    """What a call is for; each class has its own budget."""

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
"""Calls a second of the whole fleet, by class; together under half of what the platform takes."""

SHARE_HEADROOM = 4.0
"""Shares are this much larger than even ones, since few processes are busy at one time."""

LEAST_RATE = 1.0
"""Calls a second that every process may make in each class."""

BURST_S = 4.0
"""Seconds of its rate that a process may have saved up."""

LEAST_BURST = 20.0


class TokenBucket:
    """Gives up to `rate` calls a second and `burst` at once."""

    def __init__(self, rate: float, burst: float, now_s: float) -> None:
        self._rate = rate
        self._burst = burst
        self._saved = burst
        self._at_s = now_s

    def resize(self, rate: float, burst: float, now_s: float) -> None:
        """Change rate and burst; what is saved is cut to the new burst."""
        self._refill(now_s)
        self._rate = rate
        self._burst = burst
        self._saved = min(self._saved, burst)

    def wait_s(self, now_s: float) -> float:
        """Give the seconds until one call may be made; 0 for now."""
        self._refill(now_s)
        return max(0.0, (1.0 - self._saved) / self._rate)

    def spend(self, now_s: float) -> None:
        """Take one call; the saved amount may fall below 0, which later callers wait for."""
        self._refill(now_s)
        self._saved -= 1.0

    def _refill(self, now_s: float) -> None:
        self._saved = min(self._burst, self._saved + (now_s - self._at_s) * self._rate)
        self._at_s = now_s


class CallBudget:
    """One bucket for each class, sized for this process's share of the fleet's rates."""

    def __init__(self, now_s: float) -> None:
        self._bucket_by_class = {
            one: TokenBucket(*_share(one, 1), now_s) for one in FLEET_RATE_BY_CLASS
        }

    def set_fleet_size(self, instances: int, now_s: float) -> None:
        """Size every bucket for a fleet of so many instances."""
        for one, bucket in self._bucket_by_class.items():
            bucket.resize(*_share(one, max(1, instances)), now_s)

    def wait_s(self, call_class: CallClass, now_s: float) -> float:
        """Give the seconds until a call of the class may be made."""
        return self._bucket_by_class[call_class].wait_s(now_s)

    def spend(self, call_class: CallClass, now_s: float) -> None:
        """Count one call."""
        self._bucket_by_class[call_class].spend(now_s)


def _share(call_class: CallClass, instances: int) -> tuple[float, float]:
    rate = max(LEAST_RATE, FLEET_RATE_BY_CLASS[call_class] * SHARE_HEADROOM / instances)
    return rate, max(LEAST_BURST, rate * BURST_S)
