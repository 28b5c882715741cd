"""Which instance is the home of an account, since when, and each entry's conservative share."""

from collections import deque
from collections.abc import Mapping
from math import ceil

from egretstack.ids import AccountId, InstanceId, ZoneName
from egretstack.limits._share import NO_SHARE, Share
from egretstack.membership import rendezvous

VIEWS_KEPT = 16
MAX_CACHED = 4096
"""Accounts whose ranks are kept; ranking again costs a digest for each live instance."""

HOLDERS_PER_ZONE = 2
LEAST_HOLDERS = 8
"""Entries that share an account's limits while no home is reachable: some of each zone, and at
least so many in all where there are as many."""

Live = Mapping[InstanceId, ZoneName]


def rank(account: AccountId, instance: InstanceId) -> bytes:
    """Give the rank by which callers are told which entries to use; the least comes first."""
    return rendezvous(account, instance)


class HomeLocator:
    """The live instances as this one sees them, now and a few changes ago."""

    def __init__(self, now_s: float) -> None:
        self._views: deque[tuple[float, Live]] = deque(maxlen=VIEWS_KEPT)
        self._views.append((now_s, {}))
        self._home_by_account: dict[AccountId, InstanceId] = {}
        self._since_by_account: dict[AccountId, float | None] = {}
        self._holders_by_account: dict[AccountId, list[InstanceId]] = {}

    def update_view(self, now_s: float, live: Live) -> None:
        """Note the live instances; the same ones again change nothing."""
        if live == self._views[-1][1]:
            return
        self._views.append((now_s, dict(live)))
        self._home_by_account.clear()
        self._since_by_account.clear()
        self._holders_by_account.clear()

    def home(self, account: AccountId) -> InstanceId | None:
        """Give the home of an account; None where no instance is known."""
        found = self._home_by_account.get(account)
        if found is None:
            found = _first(account, self._views[-1][1])
            if found is not None:
                self._home_by_account[account] = found
        return found

    def home_since(self, account: AccountId, own: InstanceId) -> float | None:
        """Give since when `own` is the home of an account without a break; None if it is not."""
        if account not in self._since_by_account:
            if len(self._since_by_account) >= MAX_CACHED:
                self._since_by_account.clear()
            self._since_by_account[account] = self._find_since(account, own)
        return self._since_by_account[account]

    def _find_since(self, account: AccountId, own: InstanceId) -> float | None:
        since = None
        for seen_s, live in reversed(self._views):
            if _first(account, live) != own:
                return since
            since = seen_s
        return since

    def conservative_share(self, account: AccountId, own: InstanceId, whole: Share) -> Share:
        """Give the part of `whole` that an entry uses while no home is reachable.

        The entries that callers of each zone are sent to first share it; the parts of all entries
        that see the same live instances make up at most the whole.
        """
        holders = self._holders(account)
        if own not in self._views[-1][1]:
            # An entry that leaves is in nobody's list but serves on: it may add one small share.
            count = len(holders) + 1
            burst = int(whole.burst) // count
            return Share(whole.rate / count if burst else 0.0, float(burst), whole.slots // count)
        if own not in holders:
            return NO_SHARE
        count = len(holders)
        place = holders.index(own)
        burst = _portion(int(whole.burst), count, place)
        if burst == 0:
            return Share(slots=_portion(whole.slots, count, place))
        return Share(whole.rate / count, float(burst), _portion(whole.slots, count, place))

    def _holders(self, account: AccountId) -> list[InstanceId]:
        found = self._holders_by_account.get(account)
        if found is None:
            found = self._rank_holders(account)
            self._holders_by_account[account] = found
        return found

    def _rank_holders(self, account: AccountId) -> list[InstanceId]:
        by_zone: dict[ZoneName, list[InstanceId]] = {}
        for instance, zone in self._views[-1][1].items():
            by_zone.setdefault(zone, []).append(instance)
        holders: list[InstanceId] = []
        each = max(HOLDERS_PER_ZONE, ceil(LEAST_HOLDERS / max(1, len(by_zone))))
        for instances in by_zone.values():
            instances.sort(key=lambda instance: rank(account, instance))
            holders.extend(instances[:each])
        return sorted(holders, key=lambda instance: rank(account, instance))


def _first(account: AccountId, live: Live) -> InstanceId | None:
    return min(live, key=lambda instance: rank(account, instance), default=None)


def _portion(whole: int, count: int, place: int) -> int:
    return whole // count + (1 if place < whole % count else 0)
