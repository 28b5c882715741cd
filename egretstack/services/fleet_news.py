"""The home's updates to all instances: which instances are live, and which runners there are.

`fleet.UpdatePublisher` and `fleet.UpdateFollower` decide what is sent and how it is applied; this
service sends the updates and puts them to use.
"""

from collections.abc import Callable
from typing import NamedTuple

import trio

from egretstack.crashes import record_from_row, record_row
from egretstack.events import Event, log
from egretstack.fleet import (
    REPEAT_AFTER_S,
    REPORT_PERIOD_S,
    ApplyResult,
    FleetLoads,
    FleetNews,
    FleetView,
    HeldRows,
    InstanceReport,
    KnownInstance,
    Runner,
    RunnerState,
    UpdateFollower,
    UpdatePart,
    UpdatePublisher,
    UpdateReplica,
    broadcast_instance_row,
    instance_from_row,
    instance_row,
    runner_from_row,
    runner_row,
    unpack_held_rows,
)
from egretstack.ids import ContentId, InstanceId, RunnerId, ZoneName
from egretstack.kernel import Kernel, Service
from egretstack.messages import Message, encode
from egretstack.services._learned_rows import LearnedRows
from egretstack.services._news_rows import (
    CRASH,
    INSTANCE,
    LIMIT,
    MARKS,
    PART,
    RUNNER,
    SUSPECT,
    UNRESPONSIVE,
    ZONE,
    InvalidRows,
    RowByKey,
    age_ms,
    marked,
    of_kind,
    parse_held,
    parse_limit_row,
)
from egretstack.services.fleet_port import FleetPort
from egretstack.services.relay_metrics import RelayMetrics

LOADS_PERIOD_S = 0.75
"""How often loads are sent. Only an instance whose home does not answer uses them, and they are
then a second old anyway."""
MAX_LOADS = 32
"""Limit on the loads in one datagram, 30 bytes each. If there are more engines, some of them are
sent each time, in turn."""
MAX_HOLDERS = 8
"""Limit on the instances that are named as having the newest configuration. Each of 195 instances
fetches it from one of them; as more instances have it, others are named."""
HANDOVER_REPEATS = 3
"""How often a former home announces its successor: one datagram in some fifty is lost."""
REREQUEST_INTERVAL_S = 0.1
"""Time between two reports that request lost updates; the answer takes some 5 ms."""
EPOCH_BITS = 53
URGENT_IF_ADDED = (ZONE, CRASH, PART)
"""Kinds of rows of which a new or changed one is urgent."""


class _SourceVersions(NamedTuple):
    """The revisions and reading times that the rows reflect."""

    runners_revision: int
    runners_read_s: float
    evacuations_revision: int
    evacuations_read_s: float


class FleetUpdatesService(Service):
    """Sends the updates while this instance is the home, and applies them while it is not."""

    name = "fleet_news"
    requires = ("fleet_port", "relay_metrics")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._port = kernel.get(FleetPort)
        self._replica = UpdateReplica(lambda: kernel.rng.getrandbits(EPOCH_BITS) or 1)
        self._sources = _SourceVersions(0, float("-inf"), 0, float("-inf"))
        self._sent_s = float("-inf")
        self._loads_sent_s = float("-inf")
        self._next_load = 0
        self._handovers_left = 0
        """How many more times the others are told that this instance is no longer the home."""
        self._urgent_sent = trio.Event()
        """Set while an urgent update waits to be repeated."""
        self._received_zones: frozenset[ZoneName] = frozenset()
        """The evacuated zones according to the home's rows."""
        self._received_epoch = 0
        """The epoch of the home that sent these zones."""
        self._gap_requested_s: float | None = None
        """When lost updates were last requested; None if nothing is missing."""
        self.load_rows: Callable[[], list] = list
        """Returns the rows of the loads of all engines."""
        self._learned = LearnedRows(self._port)
        self._invalid_rows = InvalidRows(Event.HOME_ROWS_INVALID)
        self._table_revision: int | None = None
        """Revision of the table of runners as the home's updates last left it; None if this
        instance has read a later one itself since."""
        self._gaps = kernel.get(RelayMetrics).gauge(
            "egret_relay_news_gaps",
            "News of the home that came after others that were lost.",
        )

    def add_row_kind(
        self, kind: str, make: Callable[[], RowByKey], apply: Callable[[RowByKey], None]
    ) -> None:
        """Add a kind of rows of another service; all keys begin with the letter `kind`."""
        self._learned.add_kind(kind, make, apply)

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Send or apply updates until cancelled."""
        self._port.held_updates = lambda: self._replica.held
        self._port.misses_updates = lambda: self._replica.missed
        self._port.on_report_sent(self._send_updates)
        self._port.on_report_received(self._on_report)
        self._port.handle(FleetNews, self._on_update)
        self._port.handle(HeldRows, self._on_held_rows)
        task_status.started()
        await self._repeat_urgent()

    def _send_updates(self) -> None:
        """Send changes at once, an update without changes each period, and loads less often."""
        now_s = trio.current_time()
        if not self._port.is_home():
            self._hand_over(now_s)
            return
        publisher = self._lead()
        others = self._port.fleet.recently_reported(now_s)
        publisher.retain({known.instance.id for known in others})
        before = publisher.rows.version
        changed = self._refresh_rows(others)
        if changed or now_s - self._sent_s >= REPORT_PERIOD_S / 2:
            self._sent_s = now_s
            self._send_lacking(now_s, others)
        if changed and self._is_urgent(before):
            publisher.mark_urgent(before)
            self._urgent_sent.set()
        if now_s - self._loads_sent_s >= LOADS_PERIOD_S:
            self._loads_sent_s = now_s
            self._send_loads(others)

    def _lead(self) -> UpdatePublisher:
        """Return the home's side; a new home goes on from what it holds."""
        if self._replica.publisher is None:
            follower = self._replica.follow()
            kinds = {key[0] for key in follower.pop_changed()}
            self._learned.begin_as_home(follower.rows.rows(), kinds)
        return self._replica.lead()

    def _follow(self) -> UpdateFollower:
        """Return the follower's side, with what this instance learned as the home until now."""
        if self._replica.publisher is not None:
            self._refresh_rows(self._port.fleet.recently_reported(trio.current_time()))
        return self._replica.follow()

    def _refresh_rows(self, others: list[KnownInstance]) -> bool:
        """Refresh the rows and the revisions they reflect; return whether any row changed.

        A reading between two updates is in neither of them. If an update named a later revision
        than that of its rows, the rows of a new home would mean that all runners are missing.
        """
        runners, evacuations = self._port.runners, self._port.evacuations
        self._sources = _SourceVersions(
            runners.revision, runners.read_s, evacuations.revision, evacuations.read_s
        )
        rows = self._replica.lead().rows
        known_unsendable = rows.unsendable
        changed = self._replica.lead().replace_rows(self._rows(others))
        for key in sorted(self._replica.lead().rows.unsendable - known_unsendable):
            log(Event.HOME_ROW_UNSENDABLE, row=key)
        return changed

    def _is_urgent(self, before: int) -> bool:
        """Return whether the changes since a version are urgent.

        They are if a runner was removed, is flagged or is not ready, or if a zone or a crash record
        of a request or a part was added.
        """
        changes = self._replica.lead().rows.changes_since(before)
        rows = [one.row for one in changes if one.key[0] == RUNNER]
        ready = RunnerState.READY
        if any(
            row is None or row[-1] or runner_from_row(row[:-1]).state is not ready for row in rows
        ):
            return True
        return any(one.row is not None for one in changes if one.key[0] in URGENT_IF_ADDED)

    async def _repeat_urgent(self) -> None:
        """Repeat urgent updates to the instances that have not reported to hold them."""
        while True:
            await self._urgent_sent.wait()
            await trio.sleep(REPEAT_AFTER_S)
            self._urgent_sent = trio.Event()
            now_s = trio.current_time()
            publisher = self._replica.publisher
            if publisher is None or not self._port.is_home():
                continue
            others = self._port.fleet.recently_reported(now_s)
            self._send_parts(
                now_s, [(known, publisher.urgent_parts_for(known.instance.id)) for known in others]
            )
            publisher.urgent_repeated()

    def _hand_over(self, now_s: float) -> None:
        """Point the others to the new home, a few times.

        They follow this instance alone. If it leaves or does not reach the store and so is no
        longer the home, they would otherwise not notice until they find it unresponsive.
        """
        if self._replica.publisher is not None:
            self._follow()
            self._handovers_left = HANDOVER_REPEATS
        if not self._handovers_left:
            return
        self._handovers_left -= 1
        fleet = self._port.fleet
        home = fleet.last_known(fleet.home(now_s))
        rows = [instance_row(one) for one in (fleet.own, home) if one is not None]
        view = encode(FleetView(rows))
        for known in fleet.recently_reported(now_s):
            self._port.send_encoded(known.instance.peer_address, view)

    def _rows(self, others: list[KnownInstance]) -> dict[str, list]:
        """Return all rows; the most urgent kinds come first when all of them are new."""
        runners = self._port.runners
        rows = {
            f"{RUNNER}{runner.id}": [*runner_row(runner), self._flags(runner.id)]
            for runner in runners.by_id.values()
        }
        rows |= {f"{ZONE}{zone}": [] for zone in self._port.evacuations.zones}
        crashes = self._port.crashes.shared_records().items()
        rows |= {f"{CRASH}{content}": record_row(record) for content, record in crashes}
        limits = self._port.limits.limited().items()
        rows |= {f"{LIMIT}{runner}": [per_s] for runner, per_s in limits}
        watchers = self._port.fleet.watchers(trio.current_time())
        for known in (self._port.fleet.own, *others):
            name = known.instance.id
            rows[f"{INSTANCE}{name}"] = broadcast_instance_row(known, watches=name in watchers)
        return rows | self._learned.make()

    def _flags(self, runner: RunnerId) -> int:
        unresponsive = UNRESPONSIVE if runner in self._port.runners.unresponsive else 0
        return unresponsive | (SUSPECT if runner in self._port.runners.suspects else 0)

    def _send_lacking(self, now_s: float, others: list[KnownInstance]) -> None:
        """Send to each instance what it lacks."""
        publisher = self._replica.lead()
        self._send_parts(
            now_s, [(known, publisher.parts_for(now_s, known.instance.id)) for known in others]
        )

    def _send_parts(
        self, now_s: float, parts_by_instance: list[tuple[KnownInstance, list[UpdatePart]]]
    ) -> None:
        """Send parts; one that several instances lack is encoded once."""
        template = self._update_template(now_s)
        encoded_by_part: dict[UpdatePart, bytes] = {}
        for known, parts in parts_by_instance:
            for part in parts:
                data = encoded_by_part.get(part)
                if data is None:
                    data = encoded_by_part[part] = encode(part.fill(template))
                self._port.send_encoded(known.instance.peer_address, data)

    def _update_template(self, now_s: float) -> FleetNews:
        """Return an update without rows."""
        publisher = self._replica.lead()
        version, holders = self._newest_configuration(now_s)
        return FleetNews(
            home=instance_row(self._port.fleet.own),
            epoch=publisher.epoch,
            continued_epoch=publisher.continued.epoch,
            continued_version=publisher.continued.version,
            base=publisher.rows.version,
            upto=publisher.rows.version,
            latest=publisher.rows.version,
            rows=b"",
            runners_revision=self._sources.runners_revision,
            runners_age_ms=age_ms(now_s - self._sources.runners_read_s),
            evacuations_revision=self._sources.evacuations_revision,
            evacuations_age_ms=age_ms(now_s - self._sources.evacuations_read_s),
            config_version=version,
            config_holders=holders,
        )

    def _newest_configuration(self, now_s: float) -> tuple[int, list[InstanceId]]:
        version, holders = self._port.fleet.configuration_holders(now_s)
        if len(holders) > MAX_HOLDERS:
            holders = self.kernel.rng.sample(holders, MAX_HOLDERS)
        return version, holders

    def _send_loads(self, others: list[KnownInstance]) -> None:
        rows = self.load_rows()
        if not rows:
            return
        begin = self._next_load % len(rows)
        selected = (rows[begin:] + rows[:begin])[:MAX_LOADS]
        self._next_load = begin + len(selected)
        data = encode(FleetLoads(self._port.fleet.own.instance.id, selected))
        for known in others:
            self._port.send_encoded(known.instance.peer_address, data)

    def _on_report(self, instance: InstanceId, report: InstanceReport) -> None:
        publisher = self._replica.publisher
        if publisher is None or not self._port.is_home():
            return
        now_s = trio.current_time()
        held, missed = parse_held(report.held)
        publisher.record_held(instance, held, missed=missed)
        if publisher.is_behind(now_s, instance):
            known = self._port.fleet.last_known(instance)
            if known is not None:
                self._send_lacking(now_s, [known])

    def _on_update(self, update: Message, sender: tuple[str, int]) -> None:
        now_s = trio.current_time()
        home = instance_from_row(update.home)
        self._port.fleet.record_home(now_s, home)
        if self._port.fleet.home(now_s) != home.instance.id:
            return
        holders = [InstanceId(str(one)) for one in update.config_holders]
        self._port.fleet.record_newest_config(update.config_version, holders)
        follower = self._follow()
        result = follower.apply(update)
        self._learned.keep(now_s, follower.pop_replaced())
        if result is ApplyResult.GAP:
            self._on_gap(now_s, home.instance.id, update)
        elif result is ApplyResult.WHOLE:
            self._gap_requested_s = None
            self._apply(now_s, home.instance.id, update)
            self._learned.send(now_s, home.instance)

    def _on_gap(self, now_s: float, home: InstanceId, update: FleetNews) -> None:
        """Request what was lost: at once the first time, and only once for a burst of updates."""
        self._gaps.inc()
        if self._gap_requested_s is None:
            log(Event.NEWS_GAP, home=home, base=update.base, latest=update.latest)
        if self._gap_requested_s is None or now_s - self._gap_requested_s >= REREQUEST_INTERVAL_S:
            self._gap_requested_s = now_s
            self._port.report_soon()

    def _apply(self, now_s: float, home: InstanceId, update: FleetNews) -> None:
        """Put the rows to use, which are all rows that the home has sent."""
        changed_keys = self._replica.follow().pop_changed()
        kinds = {key[0] for key in changed_keys}
        if INSTANCE in kinds:
            live = self._invalid_rows.parse(self._rows_by_key(INSTANCE), instance_from_row)
            self._port.fleet.record_live_instances(now_s, home, list(live.values()))
        else:
            self._port.fleet.record_home_alive(now_s, home)
        self._apply_crash_records(now_s, changed_keys)
        if LIMIT in kinds or self._port.limits.limited():
            self._port.apply_limits(self._received_limits())
        # Under another home the rows may be the same that this instance sent as the home itself.
        is_other_home = update.epoch != self._received_epoch
        self._received_epoch = update.epoch
        self._apply_evacuations(now_s, update, is_other_home or ZONE in kinds)
        expired: set[str] = set()
        if is_other_home or kinds or self._learned.keeps_rows:
            held = self._replica.follow().rows.rows()
            expired = self._learned.settle(now_s, held)
            self._learned.apply(held, None if is_other_home else kinds | expired)
        read_s = now_s - update.runners_age_ms / 1000
        table = self._port.runners
        changed = MARKS in expired or RUNNER in kinds or table.revision != self._table_revision
        if changed or table.has_missing():
            self._apply_runners(update.runners_revision, read_s)
        else:
            table.record_unchanged(update.runners_revision, read_s)
        was_applied = table.revision == update.runners_revision
        self._table_revision = table.revision if was_applied else None

    def _on_held_rows(self, message: HeldRows, sender: tuple[str, int]) -> None:
        """Add, as the home, what an earlier home had learned. Raises MessageError."""
        rows = unpack_held_rows(message)
        source = InstanceId(message.sender)
        if self._port.is_home() and self._port.fleet.find(source) is not None:
            self._learned.take_over(source, rows, self._lead().rows)

    def _apply_crash_records(self, now_s: float, changed_keys: set[str]) -> None:
        """Apply the changed records; those that the home has dropped expire here by themselves."""
        keys = {key for key in changed_keys if key[0] == CRASH}
        rows = self._rows_by_key(CRASH) if keys else {}
        changed = {key: row for key, row in rows.items() if key in keys}
        for key, record in self._invalid_rows.parse(changed, record_from_row).items():
            self._port.apply_crash_record(now_s, ContentId(key[1:]), record)

    def _apply_evacuations(self, now_s: float, update: FleetNews, changed: bool) -> None:
        if changed:
            rows = self._replica.follow().rows.rows()
            self._received_zones = frozenset(ZoneName(key[1:]) for key in rows if key[0] == ZONE)
        read_s = now_s - update.evacuations_age_ms / 1000
        self._port.apply_evacuations(self._received_zones, update.evacuations_revision, read_s)

    def _received_limits(self) -> dict[RunnerId, float]:
        per_s_by_key = self._invalid_rows.parse(self._rows_by_key(LIMIT), parse_limit_row)
        return {RunnerId(key[1:]): per_s for key, per_s in per_s_by_key.items()}

    def _rows_by_key(self, kind: str) -> RowByKey:
        return of_kind(self._replica.follow().rows.rows(), kind)

    def _apply_runners(self, revision: int, read_s: float) -> None:
        table = self._port.runners
        rows = self._rows_by_key(RUNNER)
        listed = list(self._invalid_rows.parse(rows, _runner_of).values())
        marks = self._learned.marks(self._replica.follow().rows.rows())
        self._port.apply_runner_list(listed, revision, read_s, from_home=True)
        table.unresponsive = marked(marks, UNRESPONSIVE)
        table.suspects = marked(marks, SUSPECT)


def _runner_of(row: list) -> Runner:
    """Return the runner of a row, which ends with its flags. Raises MessageError."""
    return runner_from_row(row[:-1])
