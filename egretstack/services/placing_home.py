"""The home's side of placing: it keeps the book of all runs, and answers for the whole fleet.

Every instance runs it, and learns all it needs in case it becomes home; while it is not, nobody
asks it.
"""

from collections.abc import Callable

import trio

from egretstack.fleet import (
    BackupAnswer,
    BackupAsk,
    FleetLoads,
    InstanceReport,
    MoveAsk,
    MoveDone,
    MoveTurn,
    PlaceAnswer,
    PlaceAsk,
    PlaceDrop,
    runner_row,
)
from egretstack.ids import InstanceId, RunnerId, ServiceName
from egretstack.kernel import Kernel, Service
from egretstack.messages import Message
from egretstack.placing import (
    ColdAllocation,
    CombinedSendBounds,
    FleetSplit,
    LimitAllocation,
    MovePermits,
    Placement,
    Placer,
    Run,
    RunnerBackoffs,
    SendOrigin,
    request_from_row,
    run_from_row,
    run_row,
)
from egretstack.platform import NodeSettings
from egretstack.routing import ColdStartConfig
from egretstack.services.engine_reports import EngineReports
from egretstack.services.fleet_news import FleetNewsService
from egretstack.services.fleet_port import IDLE_LOOK_S, FleetPort
from egretstack.services.store_reading import StoreReading
from egretstack.traffic import RunnerReport

MOST_RETRY_S = 10.0
"""Longest time that a caller is told to wait before it comes back."""
SETTLE_S = 0.05
"""How often the home looks for room for what waits, besides whenever something is asked."""


class PlacingHome(Service):
    """The placer of this instance, which is the fleet's while this instance is home."""

    name = "placing_home"
    requires = ("engine_reports", "fleet_news", "fleet_port", "store_reading")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._port = kernel.get(FleetPort)
        self._store = kernel.get(StoreReading)
        settings: NodeSettings = kernel.settings
        self.split = FleetSplit(settings.instance)
        self.cold = ColdAllocation(self.split, self._port.runners, settings.bounds)
        self.cold.config_for = self._cold_plan
        limits = LimitAllocation(self.split, self._port.runners, self._port.limits)
        self.rests = RunnerBackoffs(self._port.runners)
        self.bounds = CombinedSendBounds((self.cold, limits, self.rests))
        self.placer = Placer(self._port.runners, kernel.rng, self.bounds)
        self.own_runs: Callable[[], list[Run]] = list
        """Gives the runs of this instance."""
        self.answer_here: Callable[[Message], None] = lambda message: None
        """Takes answers to this instance's own questions."""
        self._turns = MovePermits()
        self._asker_by_attempt: dict[str, InstanceId] = {}

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Answer peers until cancelled."""
        self._port.runs = lambda: [run_row(run) for run in self.own_runs()]
        self.kernel.get(FleetNewsService).loads = self._load_rows
        self._port.handle(FleetLoads, self._take_loads)
        self._port.on_report(self._take_report)
        self._port.handle(PlaceAsk, self._answer_peer)
        self._port.handle(PlaceDrop, self._answer_peer)
        self._port.handle(BackupAsk, self._answer_peer)
        self._port.handle(MoveAsk, self._answer_peer)
        self._port.handle(MoveDone, self._answer_peer)
        self.kernel.get(EngineReports).on_report(self._take_measure)
        task_status.started()
        while True:
            if self._port.is_home():
                self._settle()
                await trio.sleep(SETTLE_S)
            else:
                await trio.sleep(IDLE_LOOK_S)

    def _cold_plan(self, service: ServiceName) -> ColdStartConfig | None:
        plan = self._store.service(service)
        return None if plan is None else plan.cold_start

    def ask(self, message: Message) -> None:
        """Take a question of any instance, this one too; what can't be answered is left alone."""
        if isinstance(message, PlaceAsk):
            self._place(message)
        elif isinstance(message, PlaceDrop):
            self._drop(message)
        elif isinstance(message, BackupAsk):
            self._choose_backup(message)
        elif isinstance(message, MoveAsk):
            self._take_turn_ask(message)
        elif isinstance(message, MoveDone):
            self._end_turn(message.attempt, RunnerId(message.source))

    def refresh(self) -> None:
        """Bring the runs of this instance in the book up to date."""
        self.placer.registry.record_report(self.kernel.settings.instance, list(self.own_runs()))

    def _answer_peer(self, message: Message, sender: tuple[str, int]) -> None:
        self.ask(message)

    def _place(self, ask: PlaceAsk) -> None:
        work = request_from_row(ask.work)
        asker = InstanceId(ask.sender)
        engine = self._store.engine(work.service)
        if engine is None or not self._can_answer(asker):
            return  # The asker places by its own view.
        self._asker_by_attempt[work.attempt] = asker
        self.placer.enqueue(trio.current_time(), work, engine)
        if work.attempt in self._settle():
            return
        free_s = self.placer.time_until_allowed_s(trio.current_time(), work, SendOrigin.HOME)
        if free_s > work.max_wait_s:
            self._drop(PlaceDrop(work.attempt))
            self._answer(asker, PlaceAnswer(work.attempt, "", "", _retry_ms(free_s), [], True))
            return
        room_s = self.placer.forecast_retry_s(trio.current_time(), work)
        self._answer(asker, PlaceAnswer(work.attempt, "", "", _retry_ms(room_s), [], False))

    def _settle(self) -> set[str]:
        """Place what waits and tell those who asked; give the attempts that have a place now."""
        self.refresh()
        placed = self.placer.place_waiting(trio.current_time())
        for one in placed:
            asker = self._asker_by_attempt.pop(one.attempt, None)
            if asker is not None:
                self._answer(asker, self._place_answer(one.attempt, one.placement))
        return {one.attempt for one in placed}

    def _place_answer(self, attempt: str, place: Placement) -> PlaceAnswer:
        named = [one for one in (place.runner, place.backup) if one is not None]
        rows = [runner_row(self._port.runners.by_id[one]) for one in named]
        return PlaceAnswer(attempt, place.runner, place.backup or "", 0, rows, False)

    def _drop(self, drop: PlaceDrop) -> None:
        self.placer.remove(drop.attempt)
        self._asker_by_attempt.pop(drop.attempt, None)

    def _choose_backup(self, ask: BackupAsk) -> None:
        asker = InstanceId(ask.sender)
        self.refresh()
        run = self.placer.registry.find_run(ask.attempt)
        engine = None if run is None else self._store.engine(run.request.service)
        if engine is None or not self._can_answer(asker):
            return  # The asker goes on without a copy.
        runner = RunnerId(ask.runner)
        source = RunnerId(ask.source)
        backup = self.placer.move_run(trio.current_time(), ask.attempt, runner, engine, source)
        self._answer(asker, BackupAnswer(ask.attempt, backup or ""))

    def _take_turn_ask(self, ask: MoveAsk) -> None:
        asker = InstanceId(ask.sender)
        self.refresh()
        if not self._can_answer(asker) or self.placer.registry.find_run(ask.attempt) is None:
            return  # Asked again soon; the run's report may have been lost.
        self._asker_by_attempt[ask.attempt] = asker
        source = RunnerId(ask.source)
        self._turns.release_ended(
            source, lambda attempt: self.placer.registry.find_run(attempt) is None
        )
        refused = frozenset(RunnerId(str(one)) for one in ask.refused)
        before = self._turns.holder(source)
        self._turns.request(trio.current_time(), source, ask.attempt, ask.order, refused)
        holder = self._turns.holder(source)
        if holder is not None and (holder == ask.attempt or holder != before):
            self._give_turn(holder, source)

    def _give_turn(self, attempt: str, source: RunnerId) -> None:
        """Tell the instance of a run where to copy it; the next one's turn if there is no room.

        The first in order may be too large for the room there is. Its turn has to pass on at once,
        since it asks again before the others do.
        """
        following: str | None = attempt
        while following is not None and not self._tell_turn(following, source):
            self._turns.release(source, following)
            following = self._turns.grant_next(trio.current_time(), source)

    def _tell_turn(self, attempt: str, source: RunnerId) -> bool:
        run = self.placer.registry.find_run(attempt)
        engine = None if run is None else self._store.engine(run.request.service)
        asker = self._asker_by_attempt.get(attempt)
        if engine is None or asker is None:
            return False
        refused = self._turns.refusing_engines(source, attempt)
        destination = self.placer.begin_copy(trio.current_time(), run, engine, refused)
        if destination is None:
            return False
        self._answer(asker, MoveTurn(attempt, source, destination))
        return True

    def _end_turn(self, attempt: str, source: RunnerId) -> None:
        self._turns.release(source, attempt)
        self._asker_by_attempt.pop(attempt, None)
        following = self._turns.grant_next(trio.current_time(), source)
        if following is not None:
            self._give_turn(following, source)

    def _can_answer(self, asker: InstanceId) -> bool:
        own = self.kernel.settings.instance
        return asker == own or self._port.address_of(asker) is not None

    def _answer(self, asker: InstanceId, message: Message) -> None:
        address = self._port.address_of(asker)
        if address is None:
            self.answer_here(message)
        else:
            self._port.send(address, message)

    def _load_rows(self) -> list:
        self.refresh()
        now_s = trio.current_time()
        self.placer.retain_instances(known.instance.id for known in self._port.fleet.live(now_s))
        return self.placer.registry.load_rows(now_s)

    def _take_report(self, instance: InstanceId, report: InstanceReport) -> None:
        self.placer.registry.record_report(instance, [run_from_row(row) for row in report.runs])

    def _take_measure(self, runner: RunnerId, report: RunnerReport) -> None:
        self.refresh()
        self.placer.registry.record_measured(trio.current_time(), runner, report.kv_used_tokens)

    def _take_loads(self, told: FleetLoads, sender: tuple[str, int]) -> None:
        now_s = trio.current_time()
        if told.home == self._port.fleet.home(now_s):
            self.placer.registry.update_loads(now_s, told.loads)


def _retry_ms(wait_s: float) -> int:
    return round(min(MOST_RETRY_S, wait_s) * 1000)
