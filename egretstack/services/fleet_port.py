"""Datagrams between instances: who lives, which runners there are, and what the home decides."""

import socket
from collections.abc import Callable, Iterable
from dataclasses import replace
from math import log2

import msgpack
import trio

from egretstack.events import Event, log
from egretstack.fleet import (
    REPORT_PERIOD_S,
    Fleet,
    FleetNews,
    FleetView,
    Instance,
    InstanceReport,
    InstanceState,
    KnownInstance,
    Runner,
    RunnerState,
    RunnerTable,
    instance_of,
    instance_row,
    rows_of,
    runner_of,
    runner_row,
)
from egretstack.ids import InstanceId, RunnerId
from egretstack.kernel import Kernel, Service
from egretstack.messages import Message, MessageError, decode, encode
from egretstack.platform import NodeSettings

WHOLE_NEWS_S = 0.75
"""How often the home tells everything though nothing changed, for those that missed it."""
MAX_DATAGRAM_BYTES = 65_000
INCARNATION_BITS = 53
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
        known = KnownInstance(own, incarnation, InstanceState.STARTING, True, 0)
        self.fleet = Fleet(known, trio.current_time())
        self.runners = RunnerTable()
        self.runs: Callable[[], list] = list
        """Gives the rows of the runs of this instance."""
        self.loads: Callable[[], list] = list
        """Gives the rows of the loads that the home tells."""
        self.answers: Callable[[], list] = list
        """Gives the rows of what plain runners made of the calls of this instance."""
        self.tell_now = trio.Event()
        self._handler_by_kind: dict[type[Message], Handler] = {
            InstanceReport: self._take_report,
            FleetNews: self._take_news,
            FleetView: self._take_view,
        }
        self._told_before: tuple = ()
        self._told_whole_s = float("-inf")
        self._news_takers: list[Callable[[FleetNews], None]] = []
        self._gone_takers: list[Callable[[Runner], None]] = []
        self._report_takers: list[Callable[[InstanceId, InstanceReport], None]] = []
        self._raw = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._raw.setblocking(False)

    def handle(self, kind: type[Message], handler: Handler) -> None:
        """Let `handler` take messages of a kind."""
        self._handler_by_kind[kind] = handler

    def on_news(self, taker: Callable[[FleetNews], None]) -> None:
        """Let `taker` see the news of the home."""
        self._news_takers.append(taker)

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
        host, _, port = address.rpartition(":")
        data = encode(message)
        if len(data) > MAX_DATAGRAM_BYTES:
            log(Event.DATAGRAM_TOO_LARGE, kind=type(message).__name__, size=len(data))
            return
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
            self._greet(node)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive, receiving)
                nursery.start_soon(self._tell)
                task_status.started()

    async def farewell(self) -> None:
        """Tell the others that this instance ends."""
        self._report()

    def _greet(self, node: NodeSettings) -> None:
        for seed in node.seeds:
            host = seed.rpartition(":")[0]
            if host != node.ip:
                self.send(f"{host}:{node.first_peer_port}", self._own_report())

    def greet_listed(self) -> None:
        """Report to every instance that the store lists; one of them knows the home."""
        report = self._own_report()
        for known in self.fleet.known():
            self.send(known.peer_address, report)

    async def _tell(self) -> None:
        while True:
            with trio.move_on_after(REPORT_PERIOD_S):
                await self.tell_now.wait()
            self.tell_now = trio.Event()
            self._report()
            if self.is_home():
                self._tell_news()

    def _report(self) -> None:
        report = self._own_report()
        for target in self.fleet.report_targets(trio.current_time()):
            self.send(target.peer_address, report)

    def _own_report(self) -> InstanceReport:
        home = self.fleet.home(trio.current_time())
        return InstanceReport(
            instance_row(self.fleet.own),
            home,
            self.runners.revision,
            self.runs(),
            self.answers(),
        )

    def _tell_news(self) -> None:
        now_s = trio.current_time()
        own = self.fleet.own
        others = self.fleet.others_heard(now_s)
        age_s = min(self.runners.age_s(now_s), 3600.0)
        loads = self.loads()
        told = self._told(others)
        whole = told != self._told_before or now_s - self._told_whole_s >= WHOLE_NEWS_S
        if whole:
            self._told_before, self._told_whole_s = told, now_s
        news = FleetNews(
            home=own.instance.id,
            whole=whole,
            instances=[instance_row(known) for known in (own, *others)] if whole else [],
            runners_revision=self.runners.revision,
            runners_age_ms=round(age_s * 1000),
            runners=[runner_row(one) for one in self.runners.by_id.values()] if whole else [],
            silent=sorted(self.runners.silent) if whole else [],
            suspects=sorted(self.runners.suspects) if whole else [],
            loads=loads if whole else [],
        )
        for known in others:
            self.send(known.instance.peer_address, news)

    def _told(self, others: list[KnownInstance]) -> tuple:
        """Give what all have to hear of at once when it changes."""
        states = {known.instance.id: known.state for known in others}
        runners = {runner.id: runner.state for runner in self.runners.by_id.values()}
        marks = self.runners.silent, self.runners.suspects
        return states, runners, marks, self.fleet.own.state

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
            rows = [instance_row(one) for one in self.fleet.live(now_s)]
            self.send(known.instance.peer_address, FleetView(rows))

    def _take_view(self, view: FleetView, sender: tuple[str, int]) -> None:
        self.fleet.pointed(trio.current_time(), rows_of(view.instances, instance_of))

    def _take_news(self, news: FleetNews, sender: tuple[str, int]) -> None:
        now_s = trio.current_time()
        home = InstanceId(news.home)
        self.fleet.told(now_s, home, rows_of(news.instances, instance_of))
        read_s = now_s - news.runners_age_ms / 1000
        if not news.whole:
            self.runners.still_holds(news.runners_revision, read_s)
            return
        listed = rows_of(news.runners, runner_of)
        self.take_runners(listed, news.runners_revision, read_s)
        if home == self.fleet.home(now_s):
            self.runners.silent = frozenset(RunnerId(str(one)) for one in news.silent)
            self.runners.suspects = frozenset(RunnerId(str(one)) for one in news.suspects)
            for taker in self._news_takers:
                taker(news)

    def take_runners(self, runners: list, revision: int, read_s: float) -> None:
        """Take a reading of the list of runners, by this instance or by the home."""
        stopped = self.runners.take(trio.current_time(), runners, revision, read_s)
        for runner in stopped:
            log(Event.RUNNER_LEAVES, runner=runner.id, service=runner.service, revision=revision)
        self._tell_gone(stopped)
        if stopped and self.is_home():
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
