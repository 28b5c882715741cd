"""The availability zones that an operator has evacuated; pure, with the time passed in.

Views are ordered by the store's revision, as they are for runners: the later reading wins. The last
reading stays in effect while neither the store nor a home can be reached.
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
    """The zones whose runners get no more requests until the operator ends the evacuation."""

    def __init__(self) -> None:
        self.zones: frozenset[ZoneName] = frozenset()
        self.revision = 0
        """Revision of the store that `zones` was read at; 0 if it was never read."""
        self.read_s = float("-inf")
        """When the zones were last read, by any instance, on this process's clock."""

    @property
    def is_known(self) -> bool:
        """Return whether the zones were ever read, by this instance or by another one for it."""
        return self.revision > 0

    def apply_reading(
        self, zones: Iterable[ZoneName], revision: int, read_s: float
    ) -> EvacuationChange | None:
        """Apply a reading; return what it changed, None if nothing. Older ones are ignored."""
        if revision < max(1, self.revision):
            return None
        before, self.zones = self.zones, frozenset(zones)
        self.revision = revision
        self.read_s = max(self.read_s, read_s)
        if before == self.zones:
            return None
        return EvacuationChange(self.zones - before, before - self.zones)

    def age_s(self, now_s: float) -> float:
        """Return the age of the last reading."""
        return now_s - self.read_s
