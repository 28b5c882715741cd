"""A part of an account's limits, and the token bucket that enforces its rate."""

from dataclasses import dataclass

from egretstack.contracts import Contract


@dataclass(frozen=True)
class Share:
    """Requests a second, requests at once above the rate, and open requests."""

    rate: float = 0.0
    burst: float = 0.0
    slots: int = 0

    def __add__(self, other: "Share") -> "Share":
        return Share(self.rate + other.rate, self.burst + other.burst, self.slots + other.slots)

    def at_most(self, other: "Share") -> "Share":
        """Give the lesser of each part."""
        return Share(
            min(self.rate, other.rate),
            min(self.burst, other.burst),
            min(self.slots, other.slots),
        )

    def at_least(self, other: "Share") -> "Share":
        """Give the greater of each part."""
        return Share(
            max(self.rate, other.rate),
            max(self.burst, other.burst),
            max(self.slots, other.slots),
        )

    def left_after(self, used: "Share") -> "Share":
        """Give what is left of this share, never below nothing."""
        return Share(
            max(0.0, self.rate - used.rate),
            max(0.0, self.burst - used.burst),
            max(0, self.slots - used.slots),
        )

    def scaled(self, old: "Share", new: "Share") -> "Share":
        """Give this part of `old` cut to the same part of `new`; a raised limit adds nothing."""
        return Share(
            self.rate * min(1.0, new.rate / old.rate),
            self.burst * min(1.0, new.burst / old.burst),
            int(self.slots * min(1.0, new.slots / old.slots)),
        )


NO_SHARE = Share()

MIN_BURST = 2.0
"""Fewest tokens at once that are worth lending to an entry, unless the contract has fewer."""


def contract_share(contract: Contract) -> Share:
    """Give all that a contract allows over the whole fleet."""
    return Share(contract.requests_per_s, float(contract.burst), contract.concurrency)


class TokenBucket:
    """Tokens that come at a rate up to a bound; times in seconds of the runtime's clock."""

    def __init__(self, now_s: float, level: float = 0.0) -> None:
        self.level = level
        self._filled_s = now_s

    def fill(self, now_s: float, rate: float, bound: float) -> None:
        """Add what came since the last call; what is above the bound is lost."""
        gained = max(0.0, now_s - self._filled_s) * rate
        self.level = min(bound, self.level + gained)
        self._filled_s = max(self._filled_s, now_s)

    def take(self, wanted: float) -> float:
        """Take up to `wanted` tokens; give how many were there."""
        taken = max(0.0, min(wanted, self.level))
        self.level -= taken
        return taken
