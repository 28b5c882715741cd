"""Selects the stewards that watch the platform and the stewards each one notifies.

The functions are pure. Every steward computes the same result from the instance list, so no
agreement protocol is needed. A list that lags or differs between stewards costs an extra message
or a delay of one period, but never correctness: each steward also polls one peer regularly.
"""

import hashlib

from egretstack.ids import InstanceId
from egretstack.objectapi import Member, MemberState

WATCHER_COUNT = 3
"""Number of stewards that watch the platform, independent of the size of the fleet."""

FAN_OUT = 4
"""Maximum number of children of a steward in each tree."""


def choose_stewards(
    members: list[Member], count: int = WATCHER_COUNT, duty: str = "watch"
) -> list[InstanceId]:
    """Choose the stewards for a duty by rendezvous hashing.

    They are in different availability zones as far as there are enough zones.
    """
    live = [member for member in members if member.state is MemberState.LIVE]
    ranked = sorted(live, key=lambda member: _weight(duty, member.id))
    first_by_zone: dict[str, Member] = {}
    for member in ranked:
        first_by_zone.setdefault(member.zone, member)
    spread = list(first_by_zone.values())
    others = [member for member in ranked if member not in spread]
    return [InstanceId(member.id) for member in (spread + others)[:count]]


class FanOut:
    """The trees, one rooted at each watcher, along which a new revision is announced.

    Each tree orders the stewards differently, so a steward that has ended or is paused is an inner
    node of few trees, and the stewards below it receive the announcement through another tree.
    """

    def __init__(self, own: InstanceId, width: int = FAN_OUT) -> None:
        self._own = own
        self._width = width
        self.watchers: list[InstanceId] = []
        self.children: list[Member] = []

    def update(self, members: list[Member]) -> None:
        """Recompute the watchers and the own children from the instance list."""
        self.watchers = choose_stewards(members)
        child_by_id: dict[str, Member] = {}
        for root in self.watchers:
            for child in self._children_under(root, members):
                child_by_id[child.id] = child
        self.children = list(child_by_id.values())

    def is_watcher(self) -> bool:
        """Return whether this steward watches the platform."""
        return self._own in self.watchers

    def _children_under(self, root: InstanceId, members: list[Member]) -> list[Member]:
        # Leaving stewards come last, where they have no children.
        ranked = sorted(
            members,
            key=lambda member: (
                member.id != root,
                member.state is MemberState.LEAVING,
                _weight(root, member.id),
            ),
        )
        index = next((i for i, member in enumerate(ranked) if member.id == self._own), None)
        if index is None:
            return []
        first = index * self._width + 1
        return ranked[first : first + self._width]


def _weight(*names: str) -> bytes:
    return hashlib.blake2b("/".join(names).encode(), digest_size=8).digest()
