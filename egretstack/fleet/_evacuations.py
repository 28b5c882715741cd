"""The availability zones that an operator has evacuated; pure, with the time passed in.

Views are ordered by the store's revision, as they are for runners: the later reading wins. The last
reading stays in effect while neither the store nor a home can be reached. A store that came back
from an older copy may lack an evacuation until the operator has written it again.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from egretstack.fleet._store_revision import era_of
from egretstack.ids import ZoneName

RETURN_GRACE_S = 2.2
"""How long after the store came back from a copy an evacuation that it lacks still holds. What the
operator had written is back within about two seconds."""


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
        self._kept: frozenset[ZoneName] = frozenset()
        """Zones that were evacuated when the store last came back from a copy."""
        self._kept_until_s = float("-inf")

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
        if era_of(revision) > era_of(self.revision):
            self._kept, self._kept_until_s = self.zones, read_s + RETURN_GRACE_S
        read = frozenset(zones)
        before = self.zones
        self.zones = read | self._kept if read_s < self._kept_until_s else read
        self.revision = revision
        self.read_s = max(self.read_s, read_s)
        if before == self.zones:
            return None
        return EvacuationChange(self.zones - before, before - self.zones)

    def age_s(self, now_s: float) -> float:
        """Return the age of the last reading."""
        return now_s - self.read_s
