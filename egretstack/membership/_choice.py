"""Choices by rendezvous hash: entries for a caller, and runners whose reports are read."""

import hashlib
from abc import ABC, abstractmethod
from collections.abc import Iterable

from egretstack.ids import AccountId, InstanceId, RunnerId, ZoneName
from egretstack.objectapi import Member
from egretstack.policy import RunnerInfo

ENTRIES_PER_ANSWER = 5
OTHER_ZONE_ENTRIES = 2
"""Places reserved for other availability zones: a caller that knows only its own zone would have no
entry left, for as long as it keeps the answer, if that zone fails."""
MAX_REPORTS = 32
"""Load reports that one instance reads, over all services."""


def rendezvous(key: str, name: str) -> bytes:
    """Return the rank of a name for a key; the lowest comes first.

    When a name is removed, only the keys that it was first for move to another one.
    """
    return hashlib.blake2b(f"{key}/{name}".encode(), digest_size=8).digest()


def entries_for(
    account: AccountId, zone: ZoneName, live: Iterable[Member], own: Member, own_leaves: bool
) -> list[Member]:
    """Choose the entries for a caller of an account, best first; never none.

    `live` are those that accept requests; `own` is included if there is no other, even if it is
    leaving.
    """
    by_id = {member.id: member for member in live}
    by_id.pop(own.id, None)
    if not own_leaves or not by_id:
        by_id[own.id] = own
    ranked = sorted(by_id.values(), key=lambda one: rendezvous(account, one.id))
    own_zone = [member for member in ranked if member.zone == zone]
    other_zones = [member for member in ranked if member.zone != zone]
    reserved = min(OTHER_ZONE_ENTRIES, len(other_zones))
    return (own_zone[: ENTRIES_PER_ANSWER - reserved] + other_zones)[:ENTRIES_PER_ANSWER]


class ReportChooser(ABC):
    """Chooses the engines whose load reports this instance reads."""

    @abstractmethod
    def choose(self, runners: Iterable[RunnerInfo]) -> set[RunnerId]:
        """Choose among the runners that accept requests; at most `MAX_REPORTS` are then read."""


class NearbyReports(ReportChooser):
    """Chooses a stable subset for each instance: round-robin over services, own zone first."""

    def __init__(self, instance: InstanceId, zone: ZoneName, limit: int = MAX_REPORTS) -> None:
        self._instance = instance
        self._zone = zone
        self._limit = limit

    def choose(self, runners: Iterable[RunnerInfo]) -> set[RunnerId]:
        """Choose among the runners that accept requests."""
        by_service: dict[str, list[RunnerInfo]] = {}
        for runner in sorted(runners, key=self._rank):
            by_service.setdefault(runner.service, []).append(runner)
        chosen: set[RunnerId] = set()
        position = 0
        longest = max((len(found) for found in by_service.values()), default=0)
        while len(chosen) < self._limit and position < longest:
            for found in by_service.values():
                if position < len(found) and len(chosen) < self._limit:
                    chosen.add(found[position].id)
            position += 1
        return chosen

    def _rank(self, runner: RunnerInfo) -> tuple[bool, bytes]:
        return (runner.zone != self._zone, rendezvous(self._instance, runner.id))
