"""The availability zones that an operator has evacuated; pure, with the time passed in.

The store's revision orders all views, as it does for runners: whoever read later knows better.
What was read last holds on while neither the store nor a home is heard.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from egretstack.ids import ZoneName


@dataclass(frozen=True, slots=True)
class EvacuationChange:
    """What a reading changed."""

    begun: frozenset[ZoneName]
    ended: frozenset[ZoneName]


class Evacuations:
    """The zones whose runners get nothing more until the operator takes it back."""

    def __init__(self) -> None:
        self.zones: frozenset[ZoneName] = frozenset()
        self.revision = 0
        """Revision of the store as of which the zones are known; 0 if they are not."""
        self.read_s = float("-inf")
        """When they were last read, by whomever, on this process's clock."""

    @property
    def is_known(self) -> bool:
        """Tell whether the zones were ever read, by this instance or for it."""
        return self.revision > 0

    def apply_reading(
        self, zones: Iterable[ZoneName], revision: int, read_s: float
    ) -> EvacuationChange | None:
        """Take a reading; give what it changed, None if nothing. Older readings change nothing."""
        if revision < max(1, self.revision):
            return None
        before, self.zones = self.zones, frozenset(zones)
        self.revision = revision
        self.read_s = max(self.read_s, read_s)
        if before == self.zones:
            return None
        return EvacuationChange(self.zones - before, before - self.zones)

    def age_s(self, now_s: float) -> float:
        """Give how old the last reading is."""
        return now_s - self.read_s
