"""Who is in the fleet, who lives, and which instance is the home; pure, with the time passed in.

The home is the first living instance by rendezvous hash. Every instance reports to the home and
to the next in line; the home tells all. So each instance sends and gets a fixed number of messages
in each period, however large the fleet, and a new home knows everything at once. Two homes for a
moment, or none, make decisions worse and break no promise.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from hashlib import blake2b

from egretstack.fleet._instance import Instance, InstanceState, KnownInstance, StoreReachability
from egretstack.ids import InstanceId

REPORT_PERIOD_S = 0.25
"""How often instances report and the home tells; also the grain of all that is learned so."""
INSTANCE_TIMEOUT_S = 1.1
"""Four reports missed: datagrams are lost now and then, rarely four in a row."""
HOME_TIMEOUT_S = 0.8
"""Three tellings missed; then the next in line is asked."""
HOME_EXCLUSION_S = 3.0
"""How long a silent home is left out of the choice, unless it is heard again."""
REFERRAL_AGE_S = 0.5
"""How old second-hand word of an instance is taken to be."""
HOME_LIVENESS_TTL_S = 2.5
"""How long the word of a home counts after its last telling: until it is taken for silent, and the
next one has been heard of, told everybody, and perhaps had to tell again. Callers would meanwhile
be sent to the few instances that this one hears itself."""
LISTED_CANDIDATE_S = 1.5
"""How long an instance that is only listed somewhere counts as a possible home."""
STORE_PROBES = 2
"""Instances that try the store while the home does not reach it, beside the next in line."""
OUTAGE_THRESHOLD_S = 2.0
"""How long nobody reads the store in an outage of all. A home that is cut off alone is replaced
sooner than that: one of a few others is asked to read, and does."""
STORE_RETURN_GRACE_S = 1.5
"""Time for the home to read the store after such an outage, before whoever reads takes its place:
its call that is under way may hang for a second, and then it asks again."""
RANKING_TTL_S = 0.05
"""How long a ranking is kept while nobody's rank changes. It is asked for at each
message, and sorting a large fleet each time takes the time that messages need. An instance that
fell silent is noticed this much later."""
MAX_INSTANCES = 4096


Rank = tuple[int, int, bytes, InstanceId]
"""Handicap, strength, digest and id; the lowest is home."""


@dataclass(slots=True)
class _Record:
    known: KnownInstance
    digest: bytes
    """Its place by hash."""
    rank: Rank
    """Worked out when what is known of it changes, which is far less often than it is asked for."""
    last_seen_s: float
    """When its own report last came, or a home that hears it told of it."""
    last_report_s: float = float("-inf")
    """When its own report last came. But for its first moments a home vouches by this alone, or two
    homes would keep an instance alive by telling each other of it."""
    live_per_home: bool = False
    """Whether the home last told that it lives."""
    excluded_until_s: float = float("-inf")


class Fleet:
    """The instances, by id, this one among them."""

    def __init__(self, own: KnownInstance, now_s: float) -> None:
        self.own = own
        self._own_digest = _digest(own.instance.id)
        self._record_by_id: dict[InstanceId, _Record] = {}
        self._home: InstanceId | None = None
        self._home_since_s = now_s
        self._home_update_s = float("-inf")
        """When the present home last told."""
        self._home_liveness_s = float("-inf")
        """When a home last told which instances live, or that this has not changed."""
        self._newest_config = 0
        self._newest_config_holders: tuple[InstanceId, ...] = ()
        self._outage_since_s: float | None = None
        """Since when no instance is known to reach the store, and some tried."""
        self._store_returned_s = float("-inf")
        """When the store was back after an outage of all."""
        self._cached_ranking: list[InstanceId] = []
        self._cached_for_own: KnownInstance | None = None
        """What was known of this instance when the kept ranking was made; None if it is void."""
        self._cached_s = now_s

    def add_listed(self, now_s: float, instances: Iterable[KnownInstance]) -> None:
        """Note instances that the store lists; they may be long gone."""
        for known in instances:
            if known.instance.id not in self._record_by_id:
                self._upsert(now_s - INSTANCE_TIMEOUT_S, known)

    def record_referral(self, now_s: float, instances: Iterable[KnownInstance]) -> None:
        """Note the living instances that one which is not the home pointed to."""
        for known in instances:
            record = self._upsert(now_s, known)
            if record is not None:
                record.last_seen_s = max(record.last_seen_s, now_s - REFERRAL_AGE_S)

    def record_report(self, now_s: float, known: KnownInstance) -> None:
        """Note a report that an instance sent itself."""
        record = self._upsert(now_s, known)
        if record is not None:
            record.last_report_s = now_s
            self._mark_seen(now_s, record)

    def record_live_instances(
        self, now_s: float, sender: InstanceId, rows: Iterable[KnownInstance]
    ) -> None:
        """Note which instances live, all of them, as one that takes itself for the home told."""
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
        """Note that the home told that the instances it vouched for still live."""
        record = self._record_by_id.get(sender)
        if record is not None:
            self._mark_seen(now_s, record)
        if sender == self._home:
            self._home_update_s = self._home_liveness_s = now_s

    def record_home(self, now_s: float, known: KnownInstance) -> None:
        """Note an instance that tells as the home."""
        record = self._upsert(now_s, known)
        if record is not None:
            self._mark_seen(now_s, record)
        if known.instance.id == self._home:
            self._home_update_s = now_s

    def record_newest_config(self, version: int, holders: Iterable[InstanceId]) -> None:
        """Note the newest configuration of the fleet, and some instances that have it."""
        self._newest_config = version
        self._newest_config_holders = tuple(holders)

    def home(self, now_s: float) -> InstanceId:
        """Give the instance that is asked for decisions of the whole fleet."""
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
        """Tell whether this instance is the home."""
        return self.home(now_s) == self.own.instance.id

    def is_watcher(self, now_s: float) -> bool:
        """Tell whether this instance is the home or next in line, or hears of no home.

        These read what changes seldom; the others hear of it from them.
        """
        self.home(now_s)
        own = self.own.instance.id
        silent = self._home != own and now_s - self._home_update_s > HOME_TIMEOUT_S
        return silent or own in self.watchers(now_s)

    def watchers(self, now_s: float) -> set[InstanceId]:
        """Give the instances that watch the store for all, as far as is known here."""
        ranked = self._ranked(now_s)
        return {*ranked[:2], *self._store_probes(ranked)}

    def _store_probes(self, ranked: list[InstanceId]) -> list[InstanceId]:
        """Give who tries the store because the home does not reach it.

        A few at a time: one that reaches it becomes home. If all tried, an outage of the store
        would cost as many calls as there are instances, again and again.
        """
        if self._store_reachability(ranked[0]) is not StoreReachability.UNREACHABLE:
            return []
        return [
            one
            for one in ranked
            if self._store_reachability(one) is not StoreReachability.UNREACHABLE
        ][:STORE_PROBES]

    def _store_reachability(self, instance: InstanceId) -> StoreReachability:
        own = instance == self.own.instance.id
        return self.own.store if own else self._record_by_id[instance].known.store

    def report_targets(self, now_s: float) -> list[Instance]:
        """Give the home and the next in line, but for this instance itself."""
        self.home(now_s)
        ranked = [one for one in self._ranked(now_s) if one != self.own.instance.id]
        return [self._record_by_id[one].known.instance for one in ranked[:2]]

    def live(self, now_s: float) -> list[KnownInstance]:
        """Give the instances that were heard of lately, this one first."""
        others = [
            record.known for record in self._record_by_id.values() if self._is_live(now_s, record)
        ]
        return [self.own, *others]

    def recently_reported(self, now_s: float) -> list[KnownInstance]:
        """Give the instances that a home may vouch for: those whose own reports came lately.

        A new home also takes the former one's word for as long as a report may take to come: it was
        not next in line for all of them if two homes died.
        """
        is_new = now_s - self._home_since_s < INSTANCE_TIMEOUT_S
        return [
            record.known
            for record in self._record_by_id.values()
            if now_s - record.last_report_s < INSTANCE_TIMEOUT_S
            or (is_new and record.live_per_home and self._is_home_liveness_fresh(now_s))
        ]

    def not_live(self, now_s: float) -> list[Instance]:
        """Give the instances that are known and do not live, as far as is heard here."""
        return [
            record.known.instance
            for record in self._record_by_id.values()
            if not self._is_live(now_s, record)
        ]

    def has_live_home(self, now_s: float) -> bool:
        """Tell whether this instance hears a home other than itself."""
        home = self.home(now_s)
        return home != self.own.instance.id and now_s - self._home_update_s <= HOME_TIMEOUT_S

    def last_known(self, instance: InstanceId) -> KnownInstance | None:
        """Give what was last said of another instance."""
        record = self._record_by_id.get(instance)
        return None if record is None else record.known

    def configuration_holders(self, now_s: float) -> tuple[int, list[InstanceId]]:
        """Give the newest configuration that a living instance has, and which ones have it."""
        live = self.live(now_s)
        newest = max(known.config_version for known in live)
        return newest, [one.instance.id for one in live if one.config_version == newest]

    def known_instances(self) -> list[Instance]:
        """Give every instance ever heard of, but for this one."""
        return [record.known.instance for record in self._record_by_id.values()]

    def find(self, instance: InstanceId) -> Instance | None:
        """Give another instance that was heard of."""
        record = self._record_by_id.get(instance)
        return None if record is None else record.known.instance

    def newer_config_holders(self, now_s: float) -> list[KnownInstance]:
        """Give the live instances with the newest configuration, if it is newer than this one's.

        All of them: whoever needs it draws one, and the first to have it does not serve all alone.
        """
        live = self.live(now_s)
        newest = max(known.config_version for known in live)
        if max(newest, self._newest_config) <= self.own.config_version:
            return []
        if self._newest_config > newest:
            told = set(self._newest_config_holders)
            return [known for known in live if known.instance.id in told]
        return [known for known in live if known.config_version == newest]

    def _with_reported_config(self, now_s: float, known: KnownInstance) -> KnownInstance:
        """Give an instance that a home told of, with the configuration that it reported itself."""
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
        """Tell whether an instance is not shunned, and was heard of lately."""
        if record.excluded_until_s > now_s:
            return False
        recent = now_s - record.last_seen_s < INSTANCE_TIMEOUT_S + LISTED_CANDIDATE_S
        return recent or (record.live_per_home and self._is_home_liveness_fresh(now_s))

    def _rank_all(self, now_s: float) -> list[InstanceId]:
        """Give all that may be home, the first to be it in front.

        Not reaching the store counts only while somebody is known to reach it. The home would else
        go from one to the next through the whole fleet, and each one find out anew that the store
        is away. After an outage it counts only once the home has had time to read: those that the
        store answers first, a few in each tenth of a second, would take its place one after the
        other, and generations be placed by several of them.
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
            away = {
                one.known.instance.id
                for one in records
                if one.known.store is StoreReachability.UNREACHABLE
            }
            if self.own.store is StoreReachability.UNREACHABLE:
                away.add(self.own.instance.id)
            rows = [(row[0] + (row[3] in away), *row[1:]) for row in rows]
        rows.sort()
        return [row[3] for row in rows]

    def _track_outage(self, now_s: float, stores: set[StoreReachability]) -> None:
        """Note when nobody reaches the store, and when that is over."""
        if StoreReachability.REACHABLE in stores:
            began_s, self._outage_since_s = self._outage_since_s, None
            if began_s is not None and now_s - began_s >= OUTAGE_THRESHOLD_S:
                self._store_returned_s = now_s
        elif StoreReachability.UNREACHABLE in stores and self._outage_since_s is None:
            self._outage_since_s = now_s


def _digest(instance: InstanceId) -> bytes:
    return blake2b(instance.encode(), digest_size=8).digest()


def _rank(known: KnownInstance, digest: bytes) -> Rank:
    # An instance that leaves can be home, but is the last choice.
    handicap = {InstanceState.READY: 0, InstanceState.STARTING: 1}.get(known.state, 2)
    # The home talks to everyone: on the slowest links of a mixed fleet it would choke.
    return handicap, -known.instance.strength, digest, known.instance.id
