"""A share of an account's limits, and the token bucket that enforces its rate."""

from dataclasses import dataclass

from egretstack.contracts import Contract


@dataclass(frozen=True)
class Share:
    """Limits: requests per second, requests at once above the rate, and open requests."""

    rate: float = 0.0
    burst: float = 0.0
    slots: int = 0

    def __add__(self, other: "Share") -> "Share":
        return Share(self.rate + other.rate, self.burst + other.burst, self.slots + other.slots)

    def at_most(self, other: "Share") -> "Share":
        """Return the elementwise minimum."""
        return Share(
            min(self.rate, other.rate),
            min(self.burst, other.burst),
            min(self.slots, other.slots),
        )

    def at_least(self, other: "Share") -> "Share":
        """Return the elementwise maximum."""
        return Share(
            max(self.rate, other.rate),
            max(self.burst, other.burst),
            max(self.slots, other.slots),
        )

    def remaining_after(self, used: "Share") -> "Share":
        """Return what is left of this share, elementwise and never below 0."""
        return Share(
            max(0.0, self.rate - used.rate),
            max(0.0, self.burst - used.burst),
            max(0, self.slots - used.slots),
        )

    def scaled(self, old: "Share", new: "Share") -> "Share":
        """Return this share of `old`, scaled down to the same share of `new`.

        A limit that was raised adds nothing.
        """
        return Share(
            self.rate * min(1.0, new.rate / old.rate),
            self.burst * min(1.0, new.burst / old.burst),
            int(self.slots * min(1.0, new.slots / old.slots)),
        )


NO_SHARE = Share()

MIN_BURST = 2.0
"""Minimum burst that is granted to an entry, unless the contract has less."""


def contract_share(contract: Contract) -> Share:
    """Return all that a contract allows over the whole fleet."""
    return Share(contract.requests_per_s, float(contract.burst), contract.concurrency)


class TokenBucket:
    """Tokens that are added at a rate up to a maximum; times in seconds on the runtime's clock."""

    def __init__(self, now_s: float, level: float = 0.0) -> None:
        self.level = level
        self._filled_s = now_s

    def fill(self, now_s: float, rate: float, max_level: float) -> None:
        """Add the tokens since the last call; those above `max_level` are lost."""
        gained = max(0.0, now_s - self._filled_s) * rate
        self.level = min(max_level, self.level + gained)
        self._filled_s = max(self._filled_s, now_s)

    def remove(self, wanted: float) -> float:
        """Remove up to `wanted` tokens; return how many were removed."""
        taken = max(0.0, min(wanted, self.level))
        self.level -= taken
        return taken
