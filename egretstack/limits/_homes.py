"""Determines the limits home of an account, since when, and each entry's conservative share."""

from collections import deque
from collections.abc import Mapping
from math import ceil

from egretstack.ids import AccountId, InstanceId, ZoneName
from egretstack.limits._share import NO_SHARE, Share
from egretstack.membership import rendezvous

MAX_VIEWS = 16
"""Recent sets of live instances that are kept."""
MAX_CACHED = 4096
"""Accounts whose home is cached; ranking again costs one digest per live instance."""

HOLDERS_PER_ZONE = 2
MIN_HOLDERS = 8
"""Minimum number of entries that share an account's limits while no home is reachable, if there
are as many; in each availability zone there are at least HOLDERS_PER_ZONE."""

LiveInstances = Mapping[InstanceId, ZoneName]


def rank(account: AccountId, instance: InstanceId) -> bytes:
    """Return the rank of an entry for an account's callers; the lowest comes first."""
    return rendezvous(account, instance)


class HomeLocator:
    """Finds homes by the live instances in this instance's view, now and before recent changes."""

    def __init__(self, now_s: float) -> None:
        self._views: deque[tuple[float, LiveInstances]] = deque(maxlen=MAX_VIEWS)
        self._views.append((now_s, {}))
        self._home_by_account: dict[AccountId, InstanceId] = {}
        self._since_by_account: dict[AccountId, float | None] = {}
        self._holders_by_account: dict[AccountId, list[InstanceId]] = {}

    def update_view(self, now_s: float, live: LiveInstances) -> None:
        """Store the live instances; an unchanged set has no effect."""
        if live == self._views[-1][1]:
            return
        self._views.append((now_s, dict(live)))
        self._home_by_account.clear()
        self._since_by_account.clear()
        self._holders_by_account.clear()

    def home(self, account: AccountId) -> InstanceId | None:
        """Return the home of an account, or None if no instance is known."""
        found = self._home_by_account.get(account)
        if found is None:
            found = _home_among(account, self._views[-1][1])
            if found is not None:
                self._home_by_account[account] = found
        return found

    def home_since(self, account: AccountId, own: InstanceId) -> float | None:
        """Return since when `own` has been the home without a break; None if it is not."""
        if account not in self._since_by_account:
            if len(self._since_by_account) >= MAX_CACHED:
                self._since_by_account.clear()
            self._since_by_account[account] = self._find_home_since(account, own)
        return self._since_by_account[account]

    def _find_home_since(self, account: AccountId, own: InstanceId) -> float | None:
        since = None
        for seen_s, live in reversed(self._views):
            if _home_among(account, live) != own:
                return since
            since = seen_s
        return since

    def conservative_share(self, account: AccountId, own: InstanceId, total: Share) -> Share:
        """Return the share of `total` that an entry uses while no home is reachable.

        It is divided among the entries that the callers of each zone are sent to first. The
        shares of all entries with the same view add up to at most `total`.
        """
        holders = self._holders(account)
        if own not in self._views[-1][1]:
            # A leaving entry is in no instance's list but still serves: it may add one small share.
            count = len(holders) + 1
            burst = int(total.burst) // count
            return Share(total.rate / count if burst else 0.0, float(burst), total.slots // count)
        if own not in holders:
            return NO_SHARE
        count = len(holders)
        index = holders.index(own)
        burst = _portion(int(total.burst), count, index)
        if burst == 0:
            return Share(slots=_portion(total.slots, count, index))
        return Share(total.rate / count, float(burst), _portion(total.slots, count, index))

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
        per_zone = max(HOLDERS_PER_ZONE, ceil(MIN_HOLDERS / max(1, len(by_zone))))
        for instances in by_zone.values():
            instances.sort(key=lambda instance: rank(account, instance))
            holders.extend(instances[:per_zone])
        return sorted(holders, key=lambda instance: rank(account, instance))


def _home_among(account: AccountId, live: LiveInstances) -> InstanceId | None:
    return min(live, key=lambda instance: rank(account, instance), default=None)


def _portion(total: int, count: int, index: int) -> int:
    return total // count + (1 if index < total % count else 0)
