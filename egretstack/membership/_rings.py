"""Which instance watches which: a few rings over all instances, each in an order of its own.

In each ring an instance watches the next one. So each is watched by exactly as many others as there
are rings, whatever the fleet's size, and the rings together reach everyone in a few steps.
"""

import hashlib
from bisect import bisect

from egretstack.ids import InstanceId

RINGS = 3


class Rings:
    """Keeps the rings of the known instances."""

    def __init__(self, own: InstanceId) -> None:
        self._own = own
        self._rings: list[list[tuple[bytes, InstanceId]]] = [[] for _ in range(RINGS)]
        self._known: set[InstanceId] = set()
        self._watched: list[InstanceId] = []
        self._watchers: list[InstanceId] = []
        self.update({own})

    def update(self, instances: set[InstanceId]) -> None:
        """Change the rings to hold these instances, and this one."""
        wanted = instances | {self._own}
        if wanted == self._known:
            return
        for gone in self._known - wanted:
            for number, ring in enumerate(self._rings):
                ring.remove((_position(number, gone), gone))
        for new in wanted - self._known:
            for number, ring in enumerate(self._rings):
                item = (_position(number, new), new)
                ring.insert(bisect(ring, item), item)
        self._known = wanted
        self._watched = self._neighbours(1)
        self._watchers = self._neighbours(-1)

    def watched(self) -> list[InstanceId]:
        """Return the instances that this one watches."""
        return self._watched

    def watchers(self) -> list[InstanceId]:
        """Return the instances that watch this one."""
        return self._watchers

    def _neighbours(self, step: int) -> list[InstanceId]:
        found: dict[InstanceId, None] = {}
        for number, ring in enumerate(self._rings):
            own_position = bisect(ring, (_position(number, self._own), self._own)) - 1
            # Two rings may yield the same neighbour; then the next one in the ring is used, or an
            # instance could be watched by only one other.
            for distance in range(1, len(ring)):
                name = ring[(own_position + step * distance) % len(ring)][1]
                if name not in found:
                    found[name] = None
                    break
        return list(found)


def _position(ring: int, instance: InstanceId) -> bytes:
    return hashlib.blake2b(f"{ring}/{instance}".encode(), digest_size=8).digest()
