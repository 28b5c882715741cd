"""Datagrams between instances: reports of live instances and their runs, and other messages."""

import socket
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from math import log2

import msgpack
import trio

from egretstack.crashes import CrashRecord, CrashTable, Strike
from egretstack.events import Event, log
from egretstack.fleet import (
    REPORT_PERIOD_S,
    Evacuations,
    Fleet,
    FleetView,
    HeldVersion,
    Instance,
    InstanceReport,
    InstanceState,
    KnownInstance,
    Runner,
    RunnerLimits,
    RunnerState,
    RunnerTable,
    StoreReachability,
    era_of,
    instance_from_row,
    instance_row,
    number_of,
    parse_rows,
)
from egretstack.ids import ContentId, InstanceId, RunnerId, ZoneName
from egretstack.kernel import Kernel, RepeatedWork, Service, WorkKind
from egretstack.messages import Message, MessageError, decode, encode
from egretstack.platform import NodeSettings

MAX_ANNOUNCEMENTS = 4
"""Number of instances to which a new instance announces itself, besides the one that it believes to
be the home. Any of them points it to the home. If it announced itself to all of a list, instances
that start together would send each other a number of datagrams that grows with the square of their
number."""
MAX_LEAVING_REPORTED = 64
"""Limit on the leaving runners in one report, some 20 bytes each; the latest to leave are
reported."""
MAX_DATAGRAM_BYTES = 65_000
INCARNATION_BITS = 53
IDLE_POLL_INTERVAL_S = 0.25
"""How often an instance that is not the home checks whether it has become the home: the period of
the reports. Loops that check more often wake idle processes up for nothing."""
Handler = Callable[[Message, tuple[str, int]], None]
MarksListener = Callable[[frozenset[RunnerId], frozenset[RunnerId]], None]
ReportListener = Callable[[InstanceId, InstanceReport], None]


class FleetPort(Service):
    """Exchanges reports with peers, and holds the views of the fleet that other services read."""

    name = "fleet_port"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        node: NodeSettings = kernel.settings
        own = Instance(
            node.instance,
            node.zone,
            node.front_address,
            f"{node.ip}:{node.first_peer_port}",
            strength=round(log2(max(1.0, node.link_mbps))),
        )
        incarnation = kernel.rng.getrandbits(INCARNATION_BITS)
        known = KnownInstance(
            own, incarnation, InstanceState.STARTING, StoreReachability.UNKNOWN, 0
        )
        self.fleet = Fleet(known, trio.current_time())
        self.runners = RunnerTable()
        self.evacuations = Evacuations()
        self.crashes = CrashTable()
        self.limits = RunnerLimits()
        self.brittle = RunnerLimits()
        """How many rejections a second brittle runners bear."""
        self.run_rows: Callable[[], list] = list
        """Returns the rows of the runs of this instance."""
        self.held_updates: Callable[[], HeldVersion] = HeldVersion
        """Returns the epoch and version of the home's updates that this instance holds."""
        self.misses_updates: Callable[[], bool] = bool
        """Returns whether some of the updates were lost."""
        self.answer_count_rows: Callable[[], list] = list
        """Returns the rows of the counts of plain runners' answers to calls of this instance."""
        self.strike_rows: Callable[[], list] = list
        """Returns the rows of the runners that ended while they ran requests of this instance."""
        self.clear_rows: Callable[[], list] = list
        """Returns the rows of the requests that were answered since."""
        self.part_rows: Callable[[], tuple[list, list, int]] = lambda: ([], [], 0)
        """Returns the rows of strikes and of proofs of parts, and the number of proven runs."""
        self._ignores_readings = False
        """Whether the latest reading of the runners was older than what is known."""
        self.report_now = trio.Event()
        self._handler_by_kind: dict[type[Message], Handler] = {
            InstanceReport: self._on_report,
            FleetView: self._on_view,
        }
        self._report_sent_listeners: list[tuple[Callable[[], None], RepeatedWork]] = []
        self._crash_listeners: list[Callable[[], None]] = []
        self._marks_listeners: list[MarksListener] = []
        self._runner_end_listeners: list[Callable[[Runner], None]] = []
        self._report_listeners: list[ReportListener] = []
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)

    def handle(self, kind: type[Message], handler: Handler) -> None:
        """Register the handler of a kind of message."""
        self._handler_by_kind[kind] = handler

    def on_report_sent(self, listener: Callable[[], None]) -> None:
        """Call `listener` each time this instance has sent its report."""
        rounds = self.kernel.unforeseen.repeated(WorkKind.ROUND, loop=listener.__qualname__)
        self._report_sent_listeners.append((listener, rounds))

    def on_report_received(self, listener: ReportListener) -> None:
        """Call `listener` with each report of another instance."""
        self._report_listeners.append(listener)

    def update_own(self, **changes: object) -> None:
        """Change fields of the record that this instance reports about itself."""
        self.fleet.own = replace(self.fleet.own, **changes)

    def is_home(self) -> bool:
        """Return whether this instance is the home."""
        return self.fleet.is_home(trio.current_time())

    def home_address(self) -> str | None:
        """Return the address of the home; None if this instance is the home."""
        home = self.fleet.home(trio.current_time())
        return self.address_of(home)

    def address_of(self, instance: InstanceId) -> str | None:
        """Return the address of an instance; None for this one or an unknown one."""
        found = self.fleet.find(instance)
        return None if found is None else found.peer_address

    def send(self, address: str, message: Message) -> None:
        """Send a message; like any datagram it may be lost."""
        try:
            data = encode(message)
        except (TypeError, ValueError, OverflowError) as error:
            kind = type(message).__name__
            log(Event.MESSAGE_UNENCODABLE, kind=kind, to=address, error=type(error).__name__)
            return
        if len(data) > MAX_DATAGRAM_BYTES:
            log(Event.DATAGRAM_TOO_LARGE, kind=type(message).__name__, size=len(data))
            return
        self.send_encoded(address, data)

    def send_encoded(self, address: str, data: bytes) -> None:
        """Send an encoded message; used for messages that go to many instances."""
        host, _, port = address.rpartition(":")
        try:
            self._socket.sendto(data, (host, int(port)))
        except OSError as error:
            log(Event.DATAGRAM_UNSENT, to=address, error=str(error))

    def report_soon(self) -> None:
        """Send the report, and as the home the updates, without waiting for the period to end."""
        self.report_now.set()

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Send and receive until cancelled."""
        node: NodeSettings = self.kernel.settings
        with trio.socket.from_stdlib_socket(self._socket) as receiving:
            await receiving.bind((node.ip, node.first_peer_port))
            async with trio.open_nursery() as nursery:
                self._announce_to_seeds()
                nursery.start_soon(self._receive, receiving)
                nursery.start_soon(self._report_periodically)
                task_status.started()

    async def announce_stop(self) -> None:
        """Send a last report, which tells the others that this instance ends."""
        self._send_report()

    def has_seeds(self) -> bool:
        """Return whether the settings name other instances."""
        own_ip = self.kernel.settings.ip
        return any(seed.rpartition(":")[0] != own_ip for seed in self.kernel.settings.seeds)

    def _announce_to_seeds(self) -> None:
        """Report to the seeds.

        This is repeated in each period until a report of another instance arrives, since the seeds
        may start at the same time.
        """
        node: NodeSettings = self.kernel.settings
        for seed in node.seeds:
            host = seed.rpartition(":")[0]
            if host != node.ip:
                self.send(f"{host}:{node.first_peer_port}", self._own_report())

    def announce_to_some(self) -> None:
        """Report to a few instances that do not report here; one of them knows the home."""
        not_live = self.fleet.not_live(trio.current_time())
        chosen = self.kernel.rng.sample(not_live, min(MAX_ANNOUNCEMENTS, len(not_live)))
        self._announce_to(chosen)

    def announce_to_all(self) -> None:
        """Report, as the home, to all instances that do not report here but to another home."""
        self._announce_to(self.fleet.not_live(trio.current_time()))

    def _announce_to(self, instances: list[Instance]) -> None:
        report = self._own_report()
        for instance in instances:
            self.send(instance.peer_address, report)

    async def _report_periodically(self) -> None:
        reports = self.kernel.unforeseen.repeated(WorkKind.ROUND, loop="reports")
        while True:
            with trio.move_on_after(REPORT_PERIOD_S):
                await self.report_now.wait()
            self.report_now = trio.Event()
            with reports.attempt():
                self._send_report()
                if len(self.fleet.live(trio.current_time())) == 1:
                    self._announce_to_seeds()
            for listener, rounds in self._report_sent_listeners:
                with rounds.attempt():
                    listener()

    def _send_report(self) -> None:
        report = self._own_report()
        for target in self.fleet.report_targets(trio.current_time()):
            self.send(target.peer_address, report)

    def _own_report(self) -> InstanceReport:
        home = self.fleet.home(trio.current_time())
        held = self.held_updates()
        return InstanceReport(
            instance_row(self.fleet.own),
            home,
            [held.epoch, held.version, self.misses_updates()],
            self.run_rows(),
            self.answer_count_rows(),
            self.strike_rows(),
            self.clear_rows(),
            *self.part_rows(),
            self.leaving(),
            self.limits.rows(trio.current_time()),
            self.brittle.rows(trio.current_time()),
        )

    async def _receive(self, receiving: trio.socket.SocketType) -> None:
        while True:
            try:
                data, sender = await receiving.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError as error:
                log(Event.DATAGRAM_UNSENT, to="", error=str(error))
                continue
            with self.kernel.unforeseen.confined(WorkKind.DATAGRAM, sender=sender[0]):
                self._handle_datagram(data, sender)

    def _handle_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        try:
            message = decode(msgpack.unpackb(data))
            handler = self._handler_by_kind.get(type(message))
            if handler is None:
                raise MessageError(f"no handler for {type(message).__name__}")
            handler(message, sender)
        except (ValueError, msgpack.UnpackException, MessageError) as error:
            log(Event.PEER_REFUSED, sender=sender[0], error=str(error))

    def _on_report(self, report: InstanceReport, sender: tuple[str, int]) -> None:
        known = instance_from_row(report.sender)
        now_s = trio.current_time()
        self.fleet.record_report(now_s, known)
        for listener in self._report_listeners:
            self._notify_of_report(listener, known.instance.id, report)
        home = self.fleet.home(now_s)
        if home not in (report.home, self.fleet.own.instance.id):
            rows = [instance_row(one) for one in self.fleet.live(now_s) if one.instance.id == home]
            self.send(known.instance.peer_address, FleetView(rows))

    def _notify_of_report(
        self, listener: ReportListener, instance: InstanceId, report: InstanceReport
    ) -> None:
        """Pass a report on; rows that one listener cannot read are kept from no other."""
        with self.kernel.unforeseen.confined(WorkKind.DATAGRAM, sender=instance):
            try:
                listener(instance, report)
            except MessageError as error:
                log(Event.PEER_REFUSED, sender=instance, error=str(error))

    def _on_view(self, view: FleetView, sender: tuple[str, int]) -> None:
        now_s = trio.current_time()
        before = self.fleet.home(now_s)
        self.fleet.record_referral(now_s, parse_rows(view.instances, instance_from_row))
        if self.fleet.home(now_s) != before:
            self.report_soon()

    def apply_runner_list(
        self, runners: list, revision: int, read_s: float, *, from_home: bool = False
    ) -> None:
        """Apply a reading of the list of runners, made by this instance or by the home."""
        now_s = trio.current_time()
        is_older = revision < self.runners.revision
        if is_older and not self._ignores_readings:
            log(
                Event.READING_IGNORED,
                **_revision_fields(revision),
                known=number_of(self.runners.revision),
                known_era=era_of(self.runners.revision),
            )
        self._ignores_readings = is_older
        stopped = self.runners.apply_reading(now_s, runners, revision, read_s, from_home=from_home)
        for runner in stopped:
            log(
                Event.RUNNER_LEAVES,
                runner=runner.id,
                service=runner.service,
                **_revision_fields(revision),
            )
        self._notify_ended(stopped)
        if stopped and self.is_home():
            self.report_soon()

    def on_marks_taken_over(self, listener: MarksListener) -> None:
        """Call `listener` with runners that an earlier home found unresponsive, and its suspects.

        This instance is the home then.
        """
        self._marks_listeners.append(listener)

    def take_over_marks(
        self, *, unresponsive: frozenset[RunnerId], suspects: frozenset[RunnerId]
    ) -> None:
        """Mark runners, as the home, until this instance has found out by itself."""
        if unresponsive or suspects:
            for listener in self._marks_listeners:
                listener(unresponsive, suspects)

    def apply_evacuations(self, zones: frozenset[ZoneName], revision: int, read_s: float) -> None:
        """Apply a reading of the evacuated zones, made by this instance or by the home."""
        change = self.evacuations.apply_reading(zones, revision, read_s)
        if change is None:
            return
        now_s = trio.current_time()
        self.runners.set_evacuated(now_s, self.evacuations.zones)
        age_ms = round(self.evacuations.age_s(now_s) * 1000)
        for zone in sorted(change.begun):
            log(Event.ZONE_EVACUATED, zone=zone, **_revision_fields(revision), age_ms=age_ms)
        for zone in sorted(change.ended):
            log(Event.ZONE_BACK, zone=zone, **_revision_fields(revision), age_ms=age_ms)
        if self.is_home():
            self.report_soon()

    def leaving(self) -> list[RunnerId]:
        """Return the leaving runners for a report, since the next home may know of none."""
        return self.runners.leaving()[-MAX_LEAVING_REPORTED:]

    def apply_limits(self, per_s_by_id: Mapping[RunnerId, float]) -> None:
        """Apply all limits of runners that the home knows."""
        for runner in self.limits.apply_home_limits(trio.current_time(), per_s_by_id):
            self._on_limit_changed(runner)

    def record_runner_limit(self, runner: RunnerId, per_s: float | None, sent_s: float) -> None:
        """Record the limit of a runner from its answer to a request sent at `sent_s`."""
        if self.limits.record_answer(trio.current_time(), runner, per_s, sent_s):
            self._on_limit_changed(runner)

    def record_peer_limit(self, runner: RunnerId, per_s: float | None, age_s: float) -> None:
        """Record the limit of a runner that another instance has received from it."""
        now_s = trio.current_time()
        if self.limits.record_reported(now_s, runner, per_s, now_s - age_s):
            self._on_limit_changed(runner)

    def _on_limit_changed(self, runner: RunnerId) -> None:
        per_s = self.limits.per_s(runner)
        if per_s is None:
            log(Event.RUNNER_UNLIMITED, runner=runner)
        else:
            log(Event.RUNNER_LIMITED, runner=runner, per_s=per_s)
        self.report_soon()

    def apply_crash_record(self, now_s: float, content: ContentId, record: CrashRecord) -> None:
        """Apply the home's or the store's record of a request under which runners ended."""
        refused = self.crashes.is_refused(content)
        if self.crashes.merge_record(now_s, content, record):
            self._on_crash_record_changed(content, was_refused=refused)

    def record_strike(self, now_s: float, content: ContentId, strike: Strike) -> bool:
        """Record that a runner ended while it ran a request of this or another instance.

        Returns whether the strike was not known before.
        """
        refused = self.crashes.is_refused(content)
        changed = self.crashes.record_strike(now_s, content, strike)
        if changed:
            self._on_crash_record_changed(content, was_refused=refused)
        return changed

    def apply_clear(self, now_s: float, content: ContentId, cleared_round: int) -> None:
        """Apply another instance's report that a runner answered a request."""
        refused = self.crashes.is_refused(content)
        if self.crashes.merge_clear(now_s, content, cleared_round):
            self._on_crash_record_changed(content, was_refused=refused)

    def record_clear(self, now_s: float, content: ContentId) -> int | None:
        """Record that a request was answered or allowed again; return the new round, if any."""
        refused = self.crashes.is_refused(content)
        cleared_round = self.crashes.clear(now_s, content)
        if cleared_round is not None:
            self._on_crash_record_changed(content, was_refused=refused)
        return cleared_round

    def on_crash_record_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` when the record of a request under which runners ended has changed."""
        self._crash_listeners.append(listener)

    def _on_crash_record_changed(self, content: ContentId, *, was_refused: bool) -> None:
        refuses = self.crashes.is_refused(content)
        if refuses != was_refused:
            event = Event.CONTENT_REFUSED if refuses else Event.CONTENT_CLEARED
            record = self.crashes.record(content)
            log(event, content=content, runners=",".join(record.weight_by_runner))
        for listener in self._crash_listeners:
            listener()
        if self.is_home():
            self.report_soon()

    def record_runner_start(self, runner: RunnerId, started_ms: int) -> None:
        """Record the start time that a runner reports of itself."""
        ended = self.runners.record_start(runner, started_ms)
        if ended is None:
            return
        log(Event.RUNNER_STARTED_AGAIN, runner=runner, born_ms=started_ms)
        self._notify_ended([ended])
        self.report_soon()

    def confirm_runner(self, runner: RunnerId) -> None:
        """Record that a runner whose entry came back answers under its own name."""
        if self.runners.confirm_alive(runner):
            log(Event.RUNNER_BACK, runner=runner, **_revision_fields(self.runners.revision))
            self.report_soon()

    def on_runner_ended(self, listener: Callable[[Runner], None]) -> None:
        """Call `listener` with each incarnation of a runner that has certainly ended."""
        self._runner_end_listeners.append(listener)

    def _notify_ended(self, stopped: Iterable[Runner]) -> None:
        for runner in stopped:
            if runner.state is RunnerState.GONE:
                for listener in self._runner_end_listeners:
                    listener(runner)

    def record_leaving(self, runner: RunnerId) -> None:
        """Record that a runner itself said that it leaves."""
        if self.runners.record_leaving(trio.current_time(), runner):
            log(Event.RUNNER_LEAVES, runner=runner, by="itself")
            self.report_soon()


def _revision_fields(revision: int) -> dict[str, int]:
    return {"revision": number_of(revision), "era": era_of(revision)}
