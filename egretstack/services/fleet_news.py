"""The home's news to all instances: which instances live and which runners there are.

What is told, and what an instance makes of it, is decided by `fleet.NewsTeller` and
`fleet.NewsFollower`; here it is sent and put to use.
"""

from collections.abc import Callable
from typing import NamedTuple

import trio

from egretstack.crashes import record_from_row, record_row
from egretstack.events import Event, log
from egretstack.fleet import (
    REPEAT_AFTER_S,
    REPORT_PERIOD_S,
    FleetLoads,
    FleetNews,
    FleetView,
    HeldNews,
    InstanceReport,
    KnownInstance,
    NewsKeeper,
    NewsPart,
    RunnerState,
    Taken,
    checked_limit,
    instance_of,
    instance_row,
    runner_of,
    runner_row,
    told_instance_row,
)
from egretstack.ids import ContentId, InstanceId, RunnerId, ZoneName
from egretstack.kernel import Kernel, Service
from egretstack.messages import Message, MessageError, encode
from egretstack.services.fleet_port import FleetPort
from egretstack.services.relay_metrics import RelayMetrics

LOADS_PERIOD_S = 0.75
"""How often loads are told. They are used only by an instance that finds the home silent, and are
then a second old anyway."""
MOST_LOADS = 32
"""Loads in one datagram, 30 bytes each; of more engines some are told each time, in turn."""
MOST_HOLDERS = 8
"""Instances that are named as having the newest configuration. Each of 195 fetches it from one of
them; as more have it, others are named."""
HAND_OVERS = 3
"""How often a home that is no more says so: one datagram in some fifty is lost."""
ASK_AGAIN_S = 0.1
"""Time between two reports that ask for lost news; the answer takes some 5 ms."""
EPOCH_BITS = 53
MAX_AGE_S = 3600.0
_INSTANCE = "i"
_RUNNER = "r"
_ZONE = "z"
_CRASH = "c"
_LIMIT = "l"
_SILENT = 1
_SUSPECT = 2


class _AsOf(NamedTuple):
    """How far what the rows tell goes."""

    runners_revision: int
    runners_read_s: float
    evacuations_revision: int
    evacuations_read_s: float


class FleetNewsService(Service):
    """Tells the news while this instance is the home, and takes them while it is not."""

    name = "fleet_news"
    requires = ("fleet_port", "relay_metrics")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._port = kernel.get(FleetPort)
        self._keeper = NewsKeeper(lambda: kernel.rng.getrandbits(EPOCH_BITS) or 1)
        self._as_of = _AsOf(0, float("-inf"), 0, float("-inf"))
        self._told_s = float("-inf")
        self._loads_s = float("-inf")
        self._next_load = 0
        self._hand_overs = 0
        """How often the others are still told that this instance is home no more."""
        self._urged = trio.Event()
        """Set while urgent news wait to be sent once more."""
        self._told_zones: frozenset[ZoneName] = frozenset()
        """The evacuated zones as the home's rows have them."""
        self._told_epoch = 0
        """The epoch of the home whose rows these were."""
        self._missed_s: float | None = None
        """When what was lost was last asked for; None if nothing is missing."""
        self.loads: Callable[[], list] = list
        """Gives the rows of the loads of all engines."""
        self._table_revision: int | None = None
        """Revision of the table of runners as the home's news last left it; None if this instance
        has read later ones since."""
        self._gaps = kernel.get(RelayMetrics).gauge(
            "egret_relay_news_gaps",
            "News of the home that came after others that were lost.",
        )

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Tell and take until cancelled."""
        self._port.held = lambda: self._keeper.held
        self._port.missed = lambda: self._keeper.missed
        self._port.on_tell(self._tell)
        self._port.on_report(self._take_report)
        self._port.handle(FleetNews, self._take)
        task_status.started()
        await self._repeat()

    def _tell(self) -> None:
        """Tell what changed, or each period that nothing did; loads less often."""
        now_s = trio.current_time()
        if not self._port.is_home():
            self._hand_over(now_s)
            return
        teller = self._keeper.lead()
        others = self._port.fleet.others_heard(now_s)
        teller.forget({known.instance.id for known in others})
        before = teller.rows.version
        changed = self._update(others)
        if changed or now_s - self._told_s >= REPORT_PERIOD_S / 2:
            self._told_s = now_s
            self._send_all(now_s, others)
        if changed and self._is_urgent(before):
            teller.urge(before)
            self._urged.set()
        if now_s - self._loads_s >= LOADS_PERIOD_S:
            self._loads_s = now_s
            self._tell_loads(others)

    def _update(self, others: list[KnownInstance]) -> bool:
        """Bring the rows up to date, and how far they go; tell whether any row changed.

        What is read between two tellings is in neither. Told with a later revision than theirs, the
        rows of a home that has just begun would say that all runners are missing.
        """
        runners, evacuations = self._port.runners, self._port.evacuations
        self._as_of = _AsOf(
            runners.revision, runners.read_s, evacuations.revision, evacuations.read_s
        )
        return self._keeper.lead().update(self._rows(others))

    def _is_urgent(self, before: int) -> bool:
        """Tell whether runners may get less work since a version, or others are suspected."""
        changes = self._keeper.lead().rows.since(before)
        rows = [one.row for one in changes if one.key[0] == _RUNNER]
        ready = RunnerState.READY
        if any(row is None or row[-1] or runner_of(row[:-1]).state is not ready for row in rows):
            return True
        return any(one.row is not None for one in changes if one.key[0] in (_ZONE, _CRASH))

    async def _repeat(self) -> None:
        """Send urgent news once more to whoever has not reported to hold them."""
        while True:
            await self._urged.wait()
            await trio.sleep(REPEAT_AFTER_S)
            self._urged = trio.Event()
            now_s = trio.current_time()
            teller = self._keeper.teller
            if teller is None or not self._port.is_home():
                continue
            others = self._port.fleet.others_heard(now_s)
            self._send_parts(now_s, [(one, teller.repeats_for(one.instance.id)) for one in others])
            teller.repeated()

    def _hand_over(self, now_s: float) -> None:
        """Point the others to the home that follows this one, a few times.

        They hear this instance alone: of a home that is no more because it leaves, or does not
        reach the store, they would hear nothing until they took it for silent.
        """
        if self._keeper.teller is not None:
            self._keeper.follow()
            self._hand_overs = HAND_OVERS
        if not self._hand_overs:
            return
        self._hand_overs -= 1
        fleet = self._port.fleet
        home = fleet.record(fleet.home(now_s))
        rows = [instance_row(one) for one in (fleet.own, home) if one is not None]
        view = encode(FleetView(rows))
        for known in fleet.others_heard(now_s):
            self._port.send_encoded(known.instance.peer_address, view)

    def _rows(self, others: list[KnownInstance]) -> dict[str, list]:
        """Give all rows; what has to be known soonest comes first when all of it is new."""
        runners = self._port.runners
        rows = {
            f"{_RUNNER}{runner.id}": [*runner_row(runner), self._marks(runner.id)]
            for runner in runners.by_id.values()
        }
        rows |= {f"{_ZONE}{zone}": [] for zone in self._port.evacuations.zones}
        crashes = self._port.crashes.shared_records().items()
        rows |= {f"{_CRASH}{content}": record_row(record) for content, record in crashes}
        limits = self._port.limits.limited().items()
        rows |= {f"{_LIMIT}{runner}": [per_s] for runner, per_s in limits}
        watchers = self._port.fleet.watchers(trio.current_time())
        for known in (self._port.fleet.own, *others):
            name = known.instance.id
            rows[f"{_INSTANCE}{name}"] = told_instance_row(known, watches=name in watchers)
        return rows

    def _marks(self, runner: RunnerId) -> int:
        silent = _SILENT if runner in self._port.runners.silent else 0
        return silent | (_SUSPECT if runner in self._port.runners.suspects else 0)

    def _send_all(self, now_s: float, others: list[KnownInstance]) -> None:
        """Send to each what it lacks."""
        teller = self._keeper.lead()
        self._send_parts(now_s, [(one, teller.parts_for(now_s, one.instance.id)) for one in others])

    def _send_parts(
        self, now_s: float, parts_by_instance: list[tuple[KnownInstance, list[NewsPart]]]
    ) -> None:
        """Send parts; what several instances lack alike is put together once."""
        shape = self._news(now_s)
        encoded_by_part: dict[NewsPart, bytes] = {}
        for known, parts in parts_by_instance:
            for part in parts:
                data = encoded_by_part.get(part)
                if data is None:
                    data = encoded_by_part[part] = encode(part.fill(shape))
                self._port.send_encoded(known.instance.peer_address, data)

    def _news(self, now_s: float) -> FleetNews:
        """Give the news without their rows."""
        teller = self._keeper.lead()
        version, holders = self._newest_configuration(now_s)
        return FleetNews(
            home=instance_row(self._port.fleet.own),
            epoch=teller.epoch,
            continued_epoch=teller.continued.epoch,
            continued_version=teller.continued.version,
            base=teller.rows.version,
            upto=teller.rows.version,
            latest=teller.rows.version,
            rows=b"",
            runners_revision=self._as_of.runners_revision,
            runners_age_ms=_age_ms(now_s - self._as_of.runners_read_s),
            evacuations_revision=self._as_of.evacuations_revision,
            evacuations_age_ms=_age_ms(now_s - self._as_of.evacuations_read_s),
            config_version=version,
            config_holders=holders,
        )

    def _newest_configuration(self, now_s: float) -> tuple[int, list[InstanceId]]:
        version, holders = self._port.fleet.configuration_holders(now_s)
        if len(holders) > MOST_HOLDERS:
            holders = self.kernel.rng.sample(holders, MOST_HOLDERS)
        return version, holders

    def _tell_loads(self, others: list[KnownInstance]) -> None:
        rows = self.loads()
        if not rows:
            return
        begin = self._next_load % len(rows)
        some = (rows[begin:] + rows[:begin])[:MOST_LOADS]
        self._next_load = begin + len(some)
        data = encode(FleetLoads(self._port.fleet.own.instance.id, some))
        for known in others:
            self._port.send_encoded(known.instance.peer_address, data)

    def _take_report(self, instance: InstanceId, report: InstanceReport) -> None:
        teller = self._keeper.teller
        if teller is None or not self._port.is_home():
            return
        now_s = trio.current_time()
        held, missed = _held_of(report.held)
        teller.note_held(instance, held, missed=missed)
        if teller.lags(now_s, instance):
            known = self._port.fleet.record(instance)
            if known is not None:
                self._send_all(now_s, [known])

    def _take(self, news: Message, sender: tuple[str, int]) -> None:
        now_s = trio.current_time()
        home = instance_of(news.home)
        self._port.fleet.met(now_s, home)
        if self._port.fleet.home(now_s) != home.instance.id:
            return
        holders = [InstanceId(str(one)) for one in news.config_holders]
        self._port.fleet.told_configuration(news.config_version, holders)
        taken = self._keeper.follow().take(news)
        if taken is Taken.GAP:
            self._miss(now_s, home.instance.id, news)
        elif taken is Taken.WHOLE:
            self._missed_s = None
            self._use(now_s, home.instance.id, news)

    def _miss(self, now_s: float, home: InstanceId, news: FleetNews) -> None:
        """Ask for what was lost, at once the first time; of a burst one part tells enough."""
        self._gaps.inc()
        if self._missed_s is None:
            log(Event.NEWS_GAP, home=home, base=news.base, latest=news.latest)
        if self._missed_s is None or now_s - self._missed_s >= ASK_AGAIN_S:
            self._missed_s = now_s
            self._port.tell_soon()

    def _use(self, now_s: float, home: InstanceId, news: FleetNews) -> None:
        """Put the rows to use, which are all that the home has told."""
        changed_keys = self._keeper.follow().pop_changed()
        kinds = {key[0] for key in changed_keys}
        if _INSTANCE in kinds:
            self._port.fleet.told(now_s, home, [instance_of(row) for row in self._of(_INSTANCE)])
        else:
            self._port.fleet.still_told(now_s, home)
        self._use_crashes(now_s, changed_keys)
        if _LIMIT in kinds or self._port.limits.limited():
            self._port.take_limits(self._told_limits())
        self._use_evacuations(now_s, news, _ZONE in kinds)
        read_s = now_s - news.runners_age_ms / 1000
        table = self._port.runners
        changed = _RUNNER in kinds or table.revision != self._table_revision
        if changed or table.misses_any():
            self._take_runners(news.runners_revision, read_s)
        else:
            table.still_holds(news.runners_revision, read_s)
        was_taken = table.revision == news.runners_revision
        self._table_revision = table.revision if was_taken else None

    def _use_crashes(self, now_s: float, changed_keys: set[str]) -> None:
        """Take the changed records; one that the home has forgotten is forgotten here in time."""
        keys = [key for key in changed_keys if key[0] == _CRASH]
        rows = self._keeper.follow().rows.rows() if keys else {}
        for key in keys:
            if key in rows:
                content = ContentId(key[1:])
                self._port.take_crash_record(now_s, content, record_from_row(rows[key]))

    def _use_evacuations(self, now_s: float, news: FleetNews, changed: bool) -> None:
        # Under another home the rows may be the same as this instance told when it was home itself.
        if changed or news.epoch != self._told_epoch:
            self._told_epoch = news.epoch
            rows = self._keeper.follow().rows.rows()
            self._told_zones = frozenset(ZoneName(key[1:]) for key in rows if key[0] == _ZONE)
        read_s = now_s - news.evacuations_age_ms / 1000
        self._port.take_evacuations(self._told_zones, news.evacuations_revision, read_s)

    def _told_limits(self) -> dict[RunnerId, float]:
        rows = self._keeper.follow().rows.rows().items()
        return {RunnerId(key[1:]): _limit_of(row) for key, row in rows if key[0] == _LIMIT}

    def _of(self, kind: str) -> list[list]:
        return [row for key, row in self._keeper.follow().rows.rows().items() if key[0] == kind]

    def _take_runners(self, revision: int, read_s: float) -> None:
        table = self._port.runners
        rows = self._of(_RUNNER)
        listed = [runner_of(row[:-1]) for row in rows]
        marks_by_id = {one.id: _marks_of(row) for one, row in zip(listed, rows, strict=True)}
        self._port.take_runners(listed, revision, read_s, by_home=True)
        table.silent = frozenset(one for one, it in marks_by_id.items() if it & _SILENT)
        table.suspects = frozenset(one for one, it in marks_by_id.items() if it & _SUSPECT)


def _age_ms(age_s: float) -> int:
    return round(min(age_s, MAX_AGE_S) * 1000)


def _marks_of(row: list) -> int:
    """Read the marks at the end of a runner's row. Raises MessageError."""
    if not isinstance(row[-1], int):
        raise MessageError("a runner without marks")
    return row[-1]


def _limit_of(row: list) -> float:
    """Read the row of a runner's limit. Raises MessageError."""
    if len(row) != 1:
        raise MessageError("a limit that is no rate")
    return checked_limit(row[0])


def _held_of(row: list) -> tuple[HeldNews, bool]:
    """Read what a report tells of the news that its sender holds. Raises MessageError."""
    try:
        epoch, version, missed = row
        return HeldNews(int(epoch), int(version)), bool(missed)
    except (TypeError, ValueError) as error:
        raise MessageError(f"not a version of news: {error}") from error
