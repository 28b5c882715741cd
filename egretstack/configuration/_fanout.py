"""Who reads the configuration from the platform, and who tells whom; pure.

Every steward works the same answers out from the instance list, so nobody has to agree on them.
A list that lags or differs between stewards costs a message or a period, never correctness:
each steward also asks one peer regularly.
"""

import hashlib

from egretstack.ids import InstanceId
from egretstack.objectapi import Member, MemberState

WATCHER_COUNT = 3
"""Stewards that watch the platform; the number does not grow with the fleet."""

FAN_OUT = 4
"""Stewards that one steward tells in each tree."""


def choose_stewards(
    members: list[Member], count: int = WATCHER_COUNT, duty: str = "watch"
) -> list[InstanceId]:
    """Choose the stewards for a duty, in different availability zones as far as there are any."""
    live = [one for one in members if one.state is MemberState.LIVE]
    ranked = sorted(live, key=lambda one: _weight(duty, one.id))
    first_by_zone: dict[str, Member] = {}
    for member in ranked:
        first_by_zone.setdefault(member.zone, member)
    spread = list(first_by_zone.values())
    rest = [one for one in ranked if one not in spread]
    return [InstanceId(one.id) for one in (spread + rest)[:count]]


class FanOut:
    """The trees, one under each watcher, by which news of a revision travels.

    Each tree orders the stewards differently, so one that is dead or frozen is an inner node of
    few trees, and the stewards below it hear the news through another.
    """

    def __init__(self, own: InstanceId, width: int = FAN_OUT) -> None:
        self._own = own
        self._width = width
        self.watchers: list[InstanceId] = []
        self.children: list[Member] = []

    def update(self, members: list[Member]) -> None:
        """Work out watchers and children from the instance list."""
        self.watchers = choose_stewards(members)
        child_by_id: dict[str, Member] = {}
        for root in self.watchers:
            for child in self._children_under(root, members):
                child_by_id[child.id] = child
        self.children = list(child_by_id.values())

    def is_watcher(self) -> bool:
        """Tell whether this steward watches the platform."""
        return self._own in self.watchers

    def _children_under(self, root: InstanceId, members: list[Member]) -> list[Member]:
        # Leaving stewards come last, where they have nobody to tell.
        ranked = sorted(
            members,
            key=lambda one: (
                one.id != root,
                one.state is MemberState.LEAVING,
                _weight(root, one.id),
            ),
        )
        place = next((i for i, one in enumerate(ranked) if one.id == self._own), None)
        if place is None:
            return []
        first = place * self._width + 1
        return ranked[first : first + self._width]


def _weight(*names: str) -> bytes:
    return hashlib.blake2b("/".join(names).encode(), digest_size=8).digest()
