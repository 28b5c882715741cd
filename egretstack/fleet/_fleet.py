"""Who is in the fleet, who lives, and which instance is the home; pure, with the time passed in.

The home is the first living instance by rendezvous hash. Every instance reports to the home and
to the next in line; the home tells all. So each instance sends and gets a fixed number of messages
in each period, however large the fleet, and a new home knows everything at once. Two homes for a
moment, or none, make decisions worse and break no promise.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b

from egretstack.fleet._instance import Instance, InstanceState, KnownInstance
from egretstack.ids import InstanceId

REPORT_PERIOD_S = 0.25
"""How often instances report and the home tells; also the grain of all that is learned so."""
SILENT_AFTER_S = 1.1
"""Four reports missed: datagrams are lost now and then, rarely four in a row."""
HOME_SILENT_AFTER_S = 0.8
"""Three tellings missed; then the next in line is asked."""
SHUNNED_S = 3.0
"""How long a silent home is left out of the choice, unless it is heard again."""
POINTED_AGE_S = 0.5
"""How old second-hand word of an instance is taken to be."""
LISTED_HOPE_S = 1.5
"""How long an instance that is only listed somewhere counts as a possible home."""
RANKED_FOR_S = 0.05
"""How long a ranking is kept while nobody's rank changes. It is asked for some hundred times a
second; with 70 instances one question took 245 us, and takes 23 us so. An instance that fell silent
is noticed this much later."""
MAX_INSTANCES = 4096


@dataclass(slots=True)
class _Record:
    known: KnownInstance
    digest: bytes
    """Its place by hash, worked out once: the ranking is asked for a hundred times a second."""
    heard_s: float
    """When its own report last came, or a home that hears it told of it."""
    reported_s: float = float("-inf")
    """When its own report last came; a home vouches by this alone, or two homes would keep an
    instance alive by telling each other of it."""
    shunned_until_s: float = float("-inf")


class Fleet:
    """The instances, by id, this one among them."""

    def __init__(self, own: KnownInstance, now_s: float) -> None:
        self.own = own
        self._own_digest = _digest(own.instance.id)
        self._record_by_id: dict[InstanceId, _Record] = {}
        self._home: InstanceId | None = None
        self._home_since_s = now_s
        self._told_s = float("-inf")
        """When the present home last told."""
        self._kept_ranking: list[InstanceId] = []
        self._ranked_own: KnownInstance | None = None
        """What was known of this instance when the kept ranking was made; None if it is void."""
        self._ranked_s = now_s

    def listed(self, now_s: float, instances: Iterable[KnownInstance]) -> None:
        """Note instances that the store lists; they may be long gone."""
        for known in instances:
            if known.instance.id not in self._record_by_id:
                self._note(now_s - SILENT_AFTER_S, known)

    def pointed(self, now_s: float, instances: Iterable[KnownInstance]) -> None:
        """Note the living instances that one which is not the home pointed to."""
        for known in instances:
            record = self._note(now_s, known)
            if record is not None:
                record.heard_s = max(record.heard_s, now_s - POINTED_AGE_S)

    def heard(self, now_s: float, known: KnownInstance) -> None:
        """Note a report that an instance sent itself."""
        record = self._note(now_s, known)
        if record is not None:
            record.reported_s = now_s
            self._heard_now(now_s, record)

    def told(self, now_s: float, sender: InstanceId, rows: Iterable[KnownInstance]) -> None:
        """Note the news of an instance that takes itself for the home."""
        for known in rows:
            record = self._note(now_s, known)
            if record is not None and known.instance.id != sender:
                record.heard_s = now_s
        record = self._record_by_id.get(sender)
        if record is not None:
            self._heard_now(now_s, record)
        if sender == self._home:
            self._told_s = now_s

    def home(self, now_s: float) -> InstanceId:
        """Give the instance that is asked for decisions of the whole fleet."""
        ranked = self._ranked(now_s)
        first = ranked[0]
        if first == self._home and self._is_silent(now_s):
            self._record_by_id[first].shunned_until_s = now_s + SHUNNED_S
            self._ranked_own = None
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
        silent = self._home != self.own.instance.id and now_s - self._told_s > HOME_SILENT_AFTER_S
        return silent or self.own.instance.id in self._ranked(now_s)[:2]

    def report_targets(self, now_s: float) -> list[Instance]:
        """Give the home and the next in line, but for this instance itself."""
        self.home(now_s)
        ranked = [one for one in self._ranked(now_s) if one != self.own.instance.id]
        return [self._record_by_id[one].known.instance for one in ranked[:2]]

    def live(self, now_s: float) -> list[KnownInstance]:
        """Give the instances that were heard of lately, this one first."""
        others = [
            record.known
            for record in self._record_by_id.values()
            if now_s - record.heard_s < SILENT_AFTER_S
        ]
        return [self.own, *others]

    def others_heard(self, now_s: float) -> list[KnownInstance]:
        """Give the instances whose own reports came lately: those a home may vouch for."""
        return [
            record.known
            for record in self._record_by_id.values()
            if now_s - record.reported_s < SILENT_AFTER_S
        ]

    def known(self) -> list[Instance]:
        """Give every instance ever heard of, but for this one."""
        return [record.known.instance for record in self._record_by_id.values()]

    def find(self, instance: InstanceId) -> Instance | None:
        """Give another instance that was heard of."""
        record = self._record_by_id.get(instance)
        return None if record is None else record.known.instance

    def newest_config(self, now_s: float) -> list[KnownInstance]:
        """Give the live instances with the newest configuration, if it is newer than this one's.

        All of them: whoever needs it draws one, and the first to have it does not serve all alone.
        """
        live = self.live(now_s)
        newest = max(known.config_version for known in live)
        if newest <= self.own.config_version:
            return []
        return [known for known in live if known.config_version == newest]

    def _note(self, now_s: float, known: KnownInstance) -> _Record | None:
        name = known.instance.id
        if name == self.own.instance.id:
            return None
        record = self._record_by_id.get(name)
        if record is None:
            if len(self._record_by_id) >= MAX_INSTANCES:
                self._forget_oldest()
            record = self._record_by_id[name] = _Record(known, _digest(name), now_s)
            self._ranked_own = None
        if record.known != known or not _may_be_home(record, now_s):
            self._ranked_own = None
        record.known = known
        return record

    def _heard_now(self, now_s: float, record: _Record) -> None:
        if record.shunned_until_s > now_s:
            self._ranked_own = None
        record.heard_s = now_s
        record.shunned_until_s = float("-inf")

    def _forget_oldest(self) -> None:
        oldest = min(self._record_by_id, key=lambda name: self._record_by_id[name].heard_s)
        del self._record_by_id[oldest]

    def _is_silent(self, now_s: float) -> bool:
        if self._home == self.own.instance.id:
            return False
        return now_s - max(self._told_s, self._home_since_s) > HOME_SILENT_AFTER_S

    def _ranked(self, now_s: float) -> list[InstanceId]:
        fresh = 0.0 <= now_s - self._ranked_s < RANKED_FOR_S
        if not fresh or self._ranked_own is not self.own:
            self._kept_ranking = self._rank_all(now_s)
            self._ranked_own, self._ranked_s = self.own, now_s
        return self._kept_ranking

    def _rank_all(self, now_s: float) -> list[InstanceId]:
        rows = [_rank(self.own, self._own_digest)]
        for record in self._record_by_id.values():
            if _may_be_home(record, now_s):
                rows.append(_rank(record.known, record.digest))
        rows.sort()
        return [row[3] for row in rows]


def _may_be_home(record: _Record, now_s: float) -> bool:
    """Tell whether an instance is not shunned, and was heard of lately."""
    silent_s = now_s - record.heard_s
    return record.shunned_until_s <= now_s and silent_s < SILENT_AFTER_S + LISTED_HOPE_S


def _digest(instance: InstanceId) -> bytes:
    return blake2b(instance.encode(), digest_size=8).digest()


def _rank(known: KnownInstance, digest: bytes) -> tuple[int, int, bytes, InstanceId]:
    # An instance that leaves or does not reach the store can be home, but is the last choice.
    handicap = 0 if known.reads_store else 1
    handicap += {InstanceState.READY: 0, InstanceState.STARTING: 1}.get(known.state, 2)
    # The home talks to everyone: on the slowest links of a mixed fleet it would choke.
    return handicap, -known.instance.strength, digest, known.instance.id
