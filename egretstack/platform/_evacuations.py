"""The operator's entries for evacuated zones, from the store's listing and its changes.

An entry is stored under the zone's name and holds while it exists, whatever its content: an
operator who wrote something unreadable still meant to evacuate the zone.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from egretstack.ids import ZoneName
from egretstack.platform._store import Change

MAX_ZONES = 256
"""Max zones evacuated at the same time; more cannot be what an operator intended."""
_MAX_NAME_LENGTH = 256
_BAD_NAME = "not a valid zone name"
_TOO_MANY = "too many evacuated zones"


@dataclass(frozen=True, slots=True)
class BadEvacuation:
    """An invalid evacuation entry and its error."""

    name: str
    error: str


class EvacuationEntries:
    """Tracks the evacuated zones."""

    def __init__(self) -> None:
        self._zones: set[ZoneName] = set()

    def clear(self) -> None:
        """Remove all zones, before a full listing is applied."""
        self._zones.clear()

    def apply(self, changes: Iterable[Change]) -> list[BadEvacuation]:
        """Apply changed entries; return the invalid ones."""
        bad = []
        for change in changes:
            name = change.object.name
            if change.deleted:
                self._zones.discard(ZoneName(name))
            elif not 0 < len(name) <= _MAX_NAME_LENGTH or not name.isprintable():
                bad.append(BadEvacuation(name, _BAD_NAME))
            elif len(self._zones) >= MAX_ZONES and name not in self._zones:
                bad.append(BadEvacuation(name, _TOO_MANY))
            else:
                self._zones.add(ZoneName(name))
        return bad

    def zones(self) -> frozenset[ZoneName]:
        """Return the evacuated zones."""
        return frozenset(self._zones)
