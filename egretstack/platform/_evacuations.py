"""The operator's entries for evacuated zones, as the store's list and its changes tell of them.

An entry stands under the zone's name. It holds while it is there, whatever it says: an operator
who wrote something that cannot be read wanted the zone empty all the same.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from egretstack.ids import ZoneName
from egretstack.platform._store import Change

MAX_ZONES = 256
"""Zones that are evacuated at a time; more is not an operator's doing."""
_MOST_NAME = 256
_BAD_NAME = "a name that no zone can have"
_TOO_MANY = "more zones than any platform has"


@dataclass(frozen=True, slots=True)
class BadEvacuation:
    """An entry that names no zone, and why."""

    name: str
    error: str


class EvacuationEntries:
    """The evacuated zones."""

    def __init__(self) -> None:
        self._zones: set[ZoneName] = set()

    def clear(self) -> None:
        """Forget all, before a whole list is taken."""
        self._zones.clear()

    def apply(self, changes: Iterable[Change]) -> list[BadEvacuation]:
        """Take changed entries; give those that name no zone."""
        bad = []
        for change in changes:
            name = change.object.name
            if change.deleted:
                self._zones.discard(ZoneName(name))
            elif not 0 < len(name) <= _MOST_NAME or not name.isprintable():
                bad.append(BadEvacuation(name, _BAD_NAME))
            elif len(self._zones) >= MAX_ZONES and name not in self._zones:
                bad.append(BadEvacuation(name, _TOO_MANY))
            else:
                self._zones.add(ZoneName(name))
        return bad

    def zones(self) -> frozenset[ZoneName]:
        """Give the zones."""
        return frozenset(self._zones)
