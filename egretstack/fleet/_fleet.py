"""Which instances there are, which are live, and which is the home; pure, time is passed in.

The home is the first live instance by rendezvous hash. Every instance reports to the home and to
the next in line; the home sends updates to all. So each instance sends and receives a fixed number
of messages in each period, however large the fleet, and a new home has the complete state at once.
Two homes at the same time, or none, make placement worse for a moment and break no guarantee to
clients.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from hashlib import blake2b

from egretstack.fleet._instance import Instance, InstanceState, KnownInstance, StoreReachability
from egretstack.ids import InstanceId

REPORT_PERIOD_S = 0.25
"""How often instances report and the home sends updates; also the resolution of everything that is
learned from them."""
INSTANCE_TIMEOUT_S = 1.1
"""Four missed reports: datagrams get lost now and then, rarely four in a row."""
HOME_TIMEOUT_S = 0.8
"""Three missed updates; then the next in line is used as the home."""
HOME_EXCLUSION_S = 3.0
"""How long an unresponsive home is excluded from the election, unless a message of it arrives."""
REFERRAL_AGE_S = 0.5
"""Assumed age of second-hand information about an instance."""
HOME_LIVENESS_TTL_S = 2.5
"""How long the home's list of live instances is valid after its last update: until the home counts
as unresponsive, and the next home has been found, has sent updates to everybody and perhaps had to
resend them. With a shorter time, callers would meanwhile be sent only to the few instances that
report to this one directly."""
LISTED_CANDIDATE_S = 1.5
"""How long an instance that is only listed in the store counts as a candidate for home."""
STORE_PROBES = 2
"""Instances that try the store while the home does not reach it, beside the next in line."""
OUTAGE_THRESHOLD_S = 2.0
"""Time without any instance reading the store from which on this counts as an outage for all. A
home that alone is cut off is replaced sooner: one of a few others is asked to read the store, and
succeeds."""
STORE_RETURN_GRACE_S = 1.5
"""Time that the home gets to read the store after such an outage, before an instance that reads it
takes over: the home's call in progress may hang for a second before it tries again."""
RANKING_TTL_S = 0.05
"""How long a ranking is cached while nobody's rank changes. It is needed for each message, and
sorting a large fleet each time takes the time that messages need. An instance that stops responding
is noticed this much later."""
MAX_INSTANCES = 4096


Rank = tuple[int, int, bytes, InstanceId]
"""Handicap, negated strength, digest and id; the lowest is home."""


@dataclass(slots=True)
class _Record:
    known: KnownInstance
    digest: bytes
    """Rendezvous hash of its id."""
    rank: Rank
    """Computed when the instance's status changes, which is far less often than it is needed."""
    last_seen_s: float
    """When its own report last came, or a home that receives its reports last listed it."""
    last_report_s: float = float("-inf")
    """When its own report last came. A home lists an instance as live by this alone, but for the
    first moments after it became home: otherwise two homes would keep a dead instance alive by
    listing it to each other."""
    live_per_home: bool = False
    """Whether the home's last update listed it as live."""
    excluded_until_s: float = float("-inf")


class Fleet:
    """The instances by id, including this one."""

    def __init__(self, own: KnownInstance, now_s: float) -> None:
        self.own = own
        self._own_digest = _digest(own.instance.id)
        self._record_by_id: dict[InstanceId, _Record] = {}
        self._home: InstanceId | None = None
        self._home_since_s = now_s
        self._home_update_s = float("-inf")
        """When the current home last sent an update."""
        self._home_liveness_s = float("-inf")
        """When a home last sent which instances are live, or that this has not changed."""
        self._newest_config = 0
        self._newest_config_holders: tuple[InstanceId, ...] = ()
        self._outage_since_s: float | None = None
        """Since when no instance is known to reach the store though some tried."""
        self._store_returned_s = float("-inf")
        """When the store was reachable again after an outage for all."""
        self._cached_ranking: list[InstanceId] = []
        self._cached_for_own: KnownInstance | None = None
        """This instance's status when the ranking was cached; None if the cache is invalid."""
        self._cached_s = now_s

    def add_listed(self, now_s: float, instances: Iterable[KnownInstance]) -> None:
        """Add instances that the store lists; they may have ended long ago."""
        for known in instances:
            if known.instance.id not in self._record_by_id:
                self._upsert(now_s - INSTANCE_TIMEOUT_S, known)

    def record_referral(self, now_s: float, instances: Iterable[KnownInstance]) -> None:
        """Record the live instances that an instance which is not the home referred this one to."""
        for known in instances:
            record = self._upsert(now_s, known)
            if record is not None:
                record.last_seen_s = max(record.last_seen_s, now_s - REFERRAL_AGE_S)

    def record_report(self, now_s: float, known: KnownInstance) -> None:
        """Record a report that came from the instance itself."""
        record = self._upsert(now_s, known)
        if record is not None:
            record.last_report_s = now_s
            self._mark_seen(now_s, record)

    def record_live_instances(
        self, now_s: float, sender: InstanceId, rows: Iterable[KnownInstance]
    ) -> None:
        """Record the complete list of live instances of one that takes itself for the home."""
        live = {sender}
        for known in rows:
            if self._upsert(now_s, self._with_reported_config(now_s, known)) is not None:
                live.add(known.instance.id)
        for name, record in self._record_by_id.items():
            if record.live_per_home != (name in live):
                record.live_per_home = name in live
                self._cached_for_own = None
        self.record_home_alive(now_s, sender)

    def record_home_alive(self, now_s: float, sender: InstanceId) -> None:
        """Record that the home sent that the instances it listed as live are still live."""
        record = self._record_by_id.get(sender)
        if record is not None:
            self._mark_seen(now_s, record)
        if sender == self._home:
            self._home_update_s = self._home_liveness_s = now_s

    def record_home(self, now_s: float, known: KnownInstance) -> None:
        """Record an instance that sends updates as the home."""
        record = self._upsert(now_s, known)
        if record is not None:
            self._mark_seen(now_s, record)
        if known.instance.id == self._home:
            self._home_update_s = now_s

    def record_newest_config(self, version: int, holders: Iterable[InstanceId]) -> None:
        """Record the fleet's newest configuration, and some instances that have it."""
        self._newest_config = version
        self._newest_config_holders = tuple(holders)

    def home(self, now_s: float) -> InstanceId:
        """Return the instance that decides for the whole fleet."""
        ranked = self._ranked(now_s)
        first = ranked[0]
        if first == self._home and self._is_home_unresponsive(now_s):
            self._record_by_id[first].excluded_until_s = now_s + HOME_EXCLUSION_S
            self._cached_for_own = None
            first = self._ranked(now_s)[0]
        if first != self._home:
            self._home = first
            self._home_since_s = now_s
        return first

    def is_home(self, now_s: float) -> bool:
        """Return whether this instance is the home."""
        return self.home(now_s) == self.own.instance.id

    def is_watcher(self, now_s: float) -> bool:
        """Return whether this instance is the home or next in line, or receives updates of no home.

        These read from the store what changes seldom; the others receive it from them.
        """
        self.home(now_s)
        own = self.own.instance.id
        unresponsive = self._home != own and now_s - self._home_update_s > HOME_TIMEOUT_S
        return unresponsive or own in self.watchers(now_s)

    def watchers(self, now_s: float) -> set[InstanceId]:
        """Return the instances that watch the store for all, as far as is known here."""
        ranked = self._ranked(now_s)
        return {*ranked[:2], *self._store_probes(ranked)}

    def _store_probes(self, ranked: list[InstanceId]) -> list[InstanceId]:
        """Return the instances that try the store because the home does not reach it.

        A few at a time: one that reaches it becomes home. If all tried, an outage of the store
        would repeatedly cost as many calls as there are instances.
        """
        if self._store_reachability(ranked[0]) is not StoreReachability.UNREACHABLE:
            return []
        return [
            instance
            for instance in ranked
            if self._store_reachability(instance) is not StoreReachability.UNREACHABLE
        ][:STORE_PROBES]

    def _store_reachability(self, instance: InstanceId) -> StoreReachability:
        own = instance == self.own.instance.id
        return self.own.store if own else self._record_by_id[instance].known.store

    def report_targets(self, now_s: float) -> list[Instance]:
        """Return the home and the next in line, without this instance itself."""
        self.home(now_s)
        ranked = [one for one in self._ranked(now_s) if one != self.own.instance.id]
        return [self._record_by_id[one].known.instance for one in ranked[:2]]

    def live(self, now_s: float) -> list[KnownInstance]:
        """Return the live instances, this one first."""
        others = [
            record.known for record in self._record_by_id.values() if self._is_live(now_s, record)
        ]
        return [self.own, *others]

    def recently_reported(self, now_s: float) -> list[KnownInstance]:
        """Return the instances that a home may list as live: those whose own reports came lately.

        A new home also trusts the list of its predecessor for as long as a report may take to come:
        if two homes died, it was not next in line for all reports.
        """
        is_new = now_s - self._home_since_s < INSTANCE_TIMEOUT_S
        return [
            record.known
            for record in self._record_by_id.values()
            if now_s - record.last_report_s < INSTANCE_TIMEOUT_S
            or (is_new and record.live_per_home and self._is_home_liveness_fresh(now_s))
        ]

    def not_live(self, now_s: float) -> list[Instance]:
        """Return the known instances that are not live, as far as is known here."""
        return [
            record.known.instance
            for record in self._record_by_id.values()
            if not self._is_live(now_s, record)
        ]

    def has_live_home(self, now_s: float) -> bool:
        """Return whether this instance receives updates of a home other than itself."""
        home = self.home(now_s)
        return home != self.own.instance.id and now_s - self._home_update_s <= HOME_TIMEOUT_S

    def last_known(self, instance: InstanceId) -> KnownInstance | None:
        """Return the last known status of another instance."""
        record = self._record_by_id.get(instance)
        return None if record is None else record.known

    def reaches_runners(self, instance: InstanceId) -> bool:
        """Return whether an instance, as far as is known here, can connect to runners itself."""
        known = self.own if instance == self.own.instance.id else self.last_known(instance)
        return known is None or known.reaches_runners

    def configuration_holders(self, now_s: float) -> tuple[int, list[InstanceId]]:
        """Return the newest configuration version of the live instances, and which ones have it."""
        live = self.live(now_s)
        newest = max(known.config_version for known in live)
        return newest, [one.instance.id for one in live if one.config_version == newest]

    def known_instances(self) -> list[Instance]:
        """Return every other instance that was ever seen."""
        return [record.known.instance for record in self._record_by_id.values()]

    def find(self, instance: InstanceId) -> Instance | None:
        """Return another instance that was ever seen."""
        record = self._record_by_id.get(instance)
        return None if record is None else record.known.instance

    def newer_config_holders(self, now_s: float) -> list[KnownInstance]:
        """Return the live instances with the newest configuration, if it is newer than this one's.

        All of them: whoever needs it picks one at random, so that the first to have it does not
        serve everybody.
        """
        live = self.live(now_s)
        newest = max(known.config_version for known in live)
        if max(newest, self._newest_config) <= self.own.config_version:
            return []
        if self._newest_config > newest:
            holders = set(self._newest_config_holders)
            return [known for known in live if known.instance.id in holders]
        return [known for known in live if known.config_version == newest]

    def _with_reported_config(self, now_s: float, known: KnownInstance) -> KnownInstance:
        """Return an instance of the home's list, with the configuration that it reported itself."""
        record = self._record_by_id.get(known.instance.id)
        if record is None or now_s - record.last_report_s >= INSTANCE_TIMEOUT_S:
            return known
        version = max(known.config_version, record.known.config_version)
        return replace(known, config_version=version)

    def _is_home_liveness_fresh(self, now_s: float) -> bool:
        return now_s - self._home_liveness_s < HOME_LIVENESS_TTL_S

    def _is_live(self, now_s: float, record: _Record) -> bool:
        seen = now_s - record.last_seen_s < INSTANCE_TIMEOUT_S
        return seen or (record.live_per_home and self._is_home_liveness_fresh(now_s))

    def _upsert(self, now_s: float, known: KnownInstance) -> _Record | None:
        instance = known.instance.id
        if instance == self.own.instance.id:
            return None
        record = self._record_by_id.get(instance)
        if record is None:
            if len(self._record_by_id) >= MAX_INSTANCES:
                self._evict_oldest()
            record = self._record_by_id[instance] = _Record(
                known, digest := _digest(instance), _rank(known, digest), now_s
            )
            self._cached_for_own = None
        if record.known != known or not self._is_candidate(now_s, record):
            self._cached_for_own = None
        if record.known is not known:
            record.known, record.rank = known, _rank(known, record.digest)
        return record

    def _mark_seen(self, now_s: float, record: _Record) -> None:
        if record.excluded_until_s > now_s:
            self._cached_for_own = None
        record.last_seen_s = now_s
        record.excluded_until_s = float("-inf")

    def _evict_oldest(self) -> None:
        oldest = min(self._record_by_id, key=lambda name: self._record_by_id[name].last_seen_s)
        del self._record_by_id[oldest]

    def _is_home_unresponsive(self, now_s: float) -> bool:
        if self._home == self.own.instance.id:
            return False
        return now_s - max(self._home_update_s, self._home_since_s) > HOME_TIMEOUT_S

    def _ranked(self, now_s: float) -> list[InstanceId]:
        fresh = 0.0 <= now_s - self._cached_s < RANKING_TTL_S
        if not fresh or self._cached_for_own is not self.own:
            self._cached_ranking = self._rank_all(now_s)
            self._cached_for_own, self._cached_s = self.own, now_s
        return self._cached_ranking

    def _is_candidate(self, now_s: float, record: _Record) -> bool:
        """Return whether an instance is not excluded, and was seen lately."""
        if record.excluded_until_s > now_s:
            return False
        recent = now_s - record.last_seen_s < INSTANCE_TIMEOUT_S + LISTED_CANDIDATE_S
        return recent or (record.live_per_home and self._is_home_liveness_fresh(now_s))

    def _rank_all(self, now_s: float) -> list[InstanceId]:
        """Return all candidates for home, the preferred one first.

        Not reaching the store counts only while some instance is known to reach it. Otherwise the
        role would pass through the whole fleet, and each home in turn would find out that the store
        is unavailable. After an outage it counts only once the home has had time to read: otherwise
        the instances that the store answers first, a few in each tenth of a second, would replace
        the home one after the other, and several of them would place generations at once.
        """
        records = [one for one in self._record_by_id.values() if self._is_candidate(now_s, one)]
        stores = {one.known.store for one in records} | {self.own.store}
        rows = [one.rank for one in records]
        rows.append(_rank(self.own, self._own_digest))
        self._track_outage(now_s, stores)
        returning = now_s - self._store_returned_s < STORE_RETURN_GRACE_S
        if (
            StoreReachability.REACHABLE in stores
            and StoreReachability.UNREACHABLE in stores
            and not returning
        ):
            unreachable = {
                record.known.instance.id
                for record in records
                if record.known.store is StoreReachability.UNREACHABLE
            }
            if self.own.store is StoreReachability.UNREACHABLE:
                unreachable.add(self.own.instance.id)
            rows = [(row[0] + (row[3] in unreachable), *row[1:]) for row in rows]
        rows.sort()
        return [row[3] for row in rows]

    def _track_outage(self, now_s: float, stores: set[StoreReachability]) -> None:
        """Record when no instance reaches the store, and when that ends."""
        if StoreReachability.REACHABLE in stores:
            began_s, self._outage_since_s = self._outage_since_s, None
            if began_s is not None and now_s - began_s >= OUTAGE_THRESHOLD_S:
                self._store_returned_s = now_s
        elif StoreReachability.UNREACHABLE in stores and self._outage_since_s is None:
            self._outage_since_s = now_s


def _digest(instance: InstanceId) -> bytes:
    return blake2b(instance.encode(), digest_size=8).digest()


def _rank(known: KnownInstance, digest: bytes) -> Rank:
    # An instance that is leaving can be home, but only as the last choice.
    handicap = {InstanceState.READY: 0, InstanceState.STARTING: 1}.get(known.state, 2)
    # The home sends to everyone, which would saturate the slowest links of a mixed fleet.
    return handicap, -known.instance.strength, digest, known.instance.id
