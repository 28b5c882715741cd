"""Datagrams between instances: reports of who lives and what runs there, and what others send."""

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
    HeldNews,
    Instance,
    InstanceReport,
    InstanceState,
    KnownInstance,
    Runner,
    RunnerLimits,
    RunnerState,
    RunnerTable,
    StoreSight,
    instance_of,
    instance_row,
    rows_of,
)
from egretstack.ids import ContentId, InstanceId, RunnerId, ZoneName
from egretstack.kernel import Kernel, Service
from egretstack.messages import Message, MessageError, decode, encode
from egretstack.platform import NodeSettings

MOST_GREETED = 4
"""Instances that a newcomer tells of itself beside the one that it takes for the home. Any of them
points to the home; were all of a list greeted, instances that start together would send each other
as many datagrams as the square of their number."""
MOST_LEAVING = 64
"""Leaving runners in one report, some 20 bytes each; the latest to leave."""
MAX_DATAGRAM_BYTES = 65_000
INCARNATION_BITS = 53
IDLE_LOOK_S = 0.25
"""How often an instance that is not the home looks whether it has become it: a report's period.
Loops that look more often wake idle processes up for nothing."""
Handler = Callable[[Message, tuple[str, int]], None]


class FleetPort(Service):
    """Tells peers of this instance and learns of them; the views that others read are here."""

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
        known = KnownInstance(own, incarnation, InstanceState.STARTING, StoreSight.UNKNOWN, 0)
        self.fleet = Fleet(known, trio.current_time())
        self.runners = RunnerTable()
        self.evacuations = Evacuations()
        self.crashes = CrashTable()
        self.limits = RunnerLimits()
        self.runs: Callable[[], list] = list
        """Gives the rows of the runs of this instance."""
        self.held: Callable[[], HeldNews] = HeldNews
        """Gives what this instance holds of the home's news."""
        self.missed: Callable[[], bool] = bool
        """Tells whether some of it was lost."""
        self.answers: Callable[[], list] = list
        """Gives the rows of what plain runners made of the calls of this instance."""
        self.strikes: Callable[[], list] = list
        """Gives the rows of the runners that ended while they ran requests of this instance."""
        self.clears: Callable[[], list] = list
        """Gives the rows of the requests that were answered since."""
        self.tell_now = trio.Event()
        self._handler_by_kind: dict[type[Message], Handler] = {
            InstanceReport: self._take_report,
            FleetView: self._take_view,
        }
        self._tellers: list[Callable[[], None]] = []
        self._crash_takers: list[Callable[[], None]] = []
        self._gone_takers: list[Callable[[Runner], None]] = []
        self._report_takers: list[Callable[[InstanceId, InstanceReport], None]] = []
        self._raw = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._raw.setblocking(False)

    def handle(self, kind: type[Message], handler: Handler) -> None:
        """Let `handler` take messages of a kind."""
        self._handler_by_kind[kind] = handler

    def on_tell(self, teller: Callable[[], None]) -> None:
        """Let `teller` send what it has to tell, each time this instance has reported."""
        self._tellers.append(teller)

    def on_report(self, taker: Callable[[InstanceId, InstanceReport], None]) -> None:
        """Let `taker` see what an instance reports."""
        self._report_takers.append(taker)

    def describe(self, **changes: object) -> None:
        """Change what this instance tells of itself."""
        self.fleet.own = replace(self.fleet.own, **changes)

    def is_home(self) -> bool:
        """Tell whether this instance is the home."""
        return self.fleet.is_home(trio.current_time())

    def home_address(self) -> str | None:
        """Give where the home hears; None if this instance is the home."""
        home = self.fleet.home(trio.current_time())
        return self.address_of(home)

    def address_of(self, instance: InstanceId) -> str | None:
        """Give where an instance hears; None for this one or one that is not known."""
        found = self.fleet.find(instance)
        return None if found is None else found.peer_address

    def send(self, address: str, message: Message) -> None:
        """Send a message; it may be lost, as any datagram may."""
        data = encode(message)
        if len(data) > MAX_DATAGRAM_BYTES:
            log(Event.DATAGRAM_TOO_LARGE, kind=type(message).__name__, size=len(data))
            return
        self.send_encoded(address, data)

    def send_encoded(self, address: str, data: bytes) -> None:
        """Send an encoded message, which may go to many."""
        host, _, port = address.rpartition(":")
        try:
            self._raw.sendto(data, (host, int(port)))
        except OSError as error:
            log(Event.DATAGRAM_UNSENT, to=address, error=str(error))

    def tell_soon(self) -> None:
        """Report, and tell as the home, without waiting for the period's end."""
        self.tell_now.set()

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Send and receive."""
        node: NodeSettings = self.kernel.settings
        with trio.socket.from_stdlib_socket(self._raw) as receiving:
            await receiving.bind((node.ip, node.first_peer_port))
            async with trio.open_nursery() as nursery:
                self._greet_seeds()
                nursery.start_soon(self._receive, receiving)
                nursery.start_soon(self._tell)
                task_status.started()

    async def farewell(self) -> None:
        """Tell the others that this instance ends."""
        self._report()

    def has_seeds(self) -> bool:
        """Tell whether the settings name other instances."""
        own_ip = self.kernel.settings.ip
        return any(seed.rpartition(":")[0] != own_ip for seed in self.kernel.settings.seeds)

    def _greet_seeds(self) -> None:
        """Report to the seeds, again in each period until anybody is heard: they start as late."""
        node: NodeSettings = self.kernel.settings
        for seed in node.seeds:
            host = seed.rpartition(":")[0]
            if host != node.ip:
                self.send(f"{host}:{node.first_peer_port}", self._own_report())

    def greet_some(self) -> None:
        """Report to a few instances that are not heard; one of them knows the home."""
        unheard = self.fleet.unheard(trio.current_time())
        some = self.kernel.rng.sample(unheard, min(MOST_GREETED, len(unheard)))
        self._greet_all(some)

    def greet_unheard(self) -> None:
        """Report to all instances that are not heard, as the home: they follow another one."""
        self._greet_all(self.fleet.unheard(trio.current_time()))

    def _greet_all(self, instances: list[Instance]) -> None:
        report = self._own_report()
        for instance in instances:
            self.send(instance.peer_address, report)

    async def _tell(self) -> None:
        while True:
            with trio.move_on_after(REPORT_PERIOD_S):
                await self.tell_now.wait()
            self.tell_now = trio.Event()
            self._report()
            if len(self.fleet.live(trio.current_time())) == 1:
                self._greet_seeds()
            for teller in self._tellers:
                teller()

    def _report(self) -> None:
        report = self._own_report()
        for target in self.fleet.report_targets(trio.current_time()):
            self.send(target.peer_address, report)

    def _own_report(self) -> InstanceReport:
        home = self.fleet.home(trio.current_time())
        held = self.held()
        return InstanceReport(
            instance_row(self.fleet.own),
            home,
            [held.epoch, held.version, self.missed()],
            self.runs(),
            self.answers(),
            self.strikes(),
            self.clears(),
            self.leaving(),
            self.limits.rows(trio.current_time()),
        )

    async def _receive(self, receiving: trio.socket.SocketType) -> None:
        while True:
            try:
                data, sender = await receiving.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError as error:
                log(Event.DATAGRAM_UNSENT, to="", error=str(error))
                continue
            try:
                message = decode(msgpack.unpackb(data))
                handler = self._handler_by_kind.get(type(message))
                if handler is None:
                    raise MessageError(f"no answer to {type(message).__name__}")
                handler(message, sender)
            except (ValueError, msgpack.UnpackException, MessageError) as error:
                log(Event.PEER_REFUSED, sender=sender[0], error=str(error))

    def _take_report(self, report: InstanceReport, sender: tuple[str, int]) -> None:
        known = instance_of(report.sender)
        now_s = trio.current_time()
        self.fleet.heard(now_s, known)
        for taker in self._report_takers:
            taker(known.instance.id, report)
        home = self.fleet.home(now_s)
        if home not in (report.home, self.fleet.own.instance.id):
            rows = [instance_row(one) for one in self.fleet.live(now_s) if one.instance.id == home]
            self.send(known.instance.peer_address, FleetView(rows))

    def _take_view(self, view: FleetView, sender: tuple[str, int]) -> None:
        now_s = trio.current_time()
        before = self.fleet.home(now_s)
        self.fleet.pointed(now_s, rows_of(view.instances, instance_of))
        if self.fleet.home(now_s) != before:
            self.tell_soon()

    def take_runners(
        self, runners: list, revision: int, read_s: float, *, by_home: bool = False
    ) -> None:
        """Take a reading of the list of runners, by this instance or by the home."""
        now_s = trio.current_time()
        stopped = self.runners.take(now_s, runners, revision, read_s, by_home=by_home)
        for runner in stopped:
            log(Event.RUNNER_LEAVES, runner=runner.id, service=runner.service, revision=revision)
        self._tell_gone(stopped)
        if stopped and self.is_home():
            self.tell_soon()

    def take_evacuations(self, zones: frozenset[ZoneName], revision: int, read_s: float) -> None:
        """Take a reading of the evacuated zones, by this instance or by the home."""
        change = self.evacuations.take(zones, revision, read_s)
        if change is None:
            return
        now_s = trio.current_time()
        self.runners.evacuate(now_s, self.evacuations.zones)
        age_ms = round(self.evacuations.age_s(now_s) * 1000)
        for zone in sorted(change.begun):
            log(Event.ZONE_EVACUATED, zone=zone, revision=revision, age_ms=age_ms)
        for zone in sorted(change.ended):
            log(Event.ZONE_BACK, zone=zone, revision=revision, age_ms=age_ms)
        if self.is_home():
            self.tell_soon()

    def leaving(self) -> list[RunnerId]:
        """Give the runners that leave, for a report: the next home may know of none."""
        return self.runners.leaving()[-MOST_LEAVING:]

    def take_limits(self, per_s_by_id: Mapping[RunnerId, float]) -> None:
        """Take all limits of runners that the home knows of."""
        for runner in self.limits.told_all(trio.current_time(), per_s_by_id):
            self._limit_changed(runner)

    def hear_limit(self, runner: RunnerId, per_s: float | None, sent_s: float) -> None:
        """Take what an answer to a request sent at `sent_s` says of a runner's limit."""
        if self.limits.heard(trio.current_time(), runner, per_s, sent_s):
            self._limit_changed(runner)

    def take_limit(self, runner: RunnerId, per_s: float | None, age_s: float) -> None:
        """Take another instance's word of what a runner said of its limit."""
        now_s = trio.current_time()
        if self.limits.told(now_s, runner, per_s, now_s - age_s):
            self._limit_changed(runner)

    def _limit_changed(self, runner: RunnerId) -> None:
        per_s = self.limits.per_s(runner)
        if per_s is None:
            log(Event.RUNNER_UNLIMITED, runner=runner)
        else:
            log(Event.RUNNER_LIMITED, runner=runner, per_s=per_s)
        self.tell_soon()

    def take_crash_record(self, now_s: float, content: ContentId, record: CrashRecord) -> None:
        """Take what the home or the store knows of a request under which runners ended."""
        refused = self.crashes.is_refused(content)
        if self.crashes.merge_record(now_s, content, record):
            self._crashes_changed(content, was_refused=refused)

    def strike(self, now_s: float, content: ContentId, strike: Strike) -> bool:
        """Note that a runner ended while it ran a request of this instance, or of another one.

        Tells whether that is news.
        """
        refused = self.crashes.is_refused(content)
        changed = self.crashes.record_strike(now_s, content, strike)
        if changed:
            self._crashes_changed(content, was_refused=refused)
        return changed

    def take_clear(self, now_s: float, content: ContentId, cleared_round: int) -> None:
        """Take it that a runner answered a request of another instance."""
        refused = self.crashes.is_refused(content)
        if self.crashes.merge_clear(now_s, content, cleared_round):
            self._crashes_changed(content, was_refused=refused)

    def clear(self, now_s: float, content: ContentId) -> int | None:
        """Note that a request was answered, or let free; give the round that begins, if any."""
        refused = self.crashes.is_refused(content)
        cleared_round = self.crashes.clear(now_s, content)
        if cleared_round is not None:
            self._crashes_changed(content, was_refused=refused)
        return cleared_round

    def on_crash_record(self, taker: Callable[[], None]) -> None:
        """Let `taker` know when a record of a request under which runners ended has changed."""
        self._crash_takers.append(taker)

    def _crashes_changed(self, content: ContentId, *, was_refused: bool) -> None:
        refuses = self.crashes.is_refused(content)
        if refuses != was_refused:
            event = Event.CONTENT_REFUSED if refuses else Event.CONTENT_CLEARED
            record = self.crashes.record(content)
            log(event, content=content, runners=",".join(record.weight_by_runner))
        for taker in self._crash_takers:
            taker()
        if self.is_home():
            self.tell_soon()

    def runner_born(self, runner: RunnerId, born_ms: int) -> None:
        """Take a runner's own word of when it started."""
        gone = self.runners.started(runner, born_ms)
        if gone is None:
            return
        log(Event.RUNNER_STARTED_AGAIN, runner=runner, born_ms=born_ms)
        self._tell_gone([gone])
        self.tell_soon()

    def runner_back(self, runner: RunnerId) -> None:
        """Take it that a runner whose entry came back answers for itself."""
        if self.runners.confirm(runner):
            log(Event.RUNNER_BACK, runner=runner, revision=self.runners.revision)
            self.tell_soon()

    def on_gone(self, taker: Callable[[Runner], None]) -> None:
        """Let `taker` see each start of a runner that has surely ended."""
        self._gone_takers.append(taker)

    def _tell_gone(self, stopped: Iterable[Runner]) -> None:
        for runner in stopped:
            if runner.state is RunnerState.GONE:
                for taker in self._gone_takers:
                    taker(runner)

    def notice(self, runner: RunnerId) -> None:
        """Take a runner's own word that it leaves."""
        if self.runners.notice(trio.current_time(), runner):
            log(Event.RUNNER_LEAVES, runner=runner, by="itself")
            self.tell_soon()
