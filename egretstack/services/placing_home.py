"""The home's side of placing: it keeps the registry of all runs, and answers for the fleet.

Every instance runs it and records all that it needs in case it becomes the home; while it is not
the home, it gets no requests.
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
from egretstack.kernel import Kernel, Service, WorkKind
from egretstack.messages import Message
from egretstack.placing import (
    BrittleAllocation,
    ColdAllocation,
    CombinedSendBounds,
    FleetSplit,
    LimitAllocation,
    MovePermits,
    Placement,
    Placer,
    Refusal,
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
from egretstack.services.fleet_news import FleetUpdatesService
from egretstack.services.fleet_port import IDLE_POLL_INTERVAL_S, FleetPort
from egretstack.services.placement_log import log_forecast
from egretstack.services.placing_refusals import RefusalRecords
from egretstack.services.relay_metrics import RelayMetrics
from egretstack.services.store_reading import StoreReading
from egretstack.traffic import RunnerReport

MAX_REQUESTERS = 8_192
"""Requests and moves whose instance is remembered, the latest ones. The message that one has ended
may be lost, or its instance may end before it is sent."""
MAX_RETRY_AFTER_S = 10.0
"""Longest time after which a caller is told to come back."""
QUEUE_POLL_INTERVAL_S = 0.05
"""How often the home looks for capacity for queued requests, besides after each request."""


class PlacingHome(Service):
    """The placer of this instance, which is the fleet's while this instance is the home."""

    name = "placing_home"
    requires = ("engine_reports", "fleet_news", "fleet_port", "relay_metrics", "store_reading")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._port = kernel.get(FleetPort)
        self._store = kernel.get(StoreReading)
        settings: NodeSettings = kernel.settings
        self.split = FleetSplit(settings.instance)
        self.cold_allocation = ColdAllocation(self.split, self._port.runners, settings.bounds)
        self.cold_allocation.config_for = self._cold_plan
        limits = LimitAllocation(self.split, self._port.runners, self._port.limits)
        self.backoffs = RunnerBackoffs(self._port.runners)
        self.brittle_allocation = BrittleAllocation(
            self.split, self._port.runners, self._port.brittle
        )
        self.send_bounds = CombinedSendBounds(
            (self.cold_allocation, limits, self.brittle_allocation, self.backoffs)
        )
        self.placer = Placer(
            self._port.runners,
            kernel.rng,
            self.send_bounds,
            shares_capacity=settings.shares_capacity,
            split=self.split,
        )
        self.brittle_allocation.fleet_runs_at = self._fleet_runs_at
        self.brittle_allocation.own_runs_at = self._own_runs_at
        self.refusal_records = RefusalRecords(kernel.get(RelayMetrics))
        self.own_runs: Callable[[], list[Run]] = list
        """Returns the runs of this instance."""
        self.on_local_answer: Callable[[Message], None] = lambda message: None
        """Accepts answers to this instance's own requests."""
        self._permits = MovePermits()
        self._requester_by_attempt: dict[str, InstanceId] = {}

    def _fleet_runs_at(self, runner: RunnerId) -> int:
        return sum(run.runner == runner for run in self.placer.registry.runs())

    def _own_runs_at(self, runner: RunnerId) -> int:
        return sum(run.runner == runner for run in self.own_runs())

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Answer peers until cancelled."""
        self._port.run_rows = lambda: [run_row(run) for run in self.own_runs()]
        self.kernel.get(FleetUpdatesService).load_rows = self._load_rows
        self._port.handle(FleetLoads, self._on_loads)
        self._port.on_report_received(self._on_report)
        self._port.handle(PlaceAsk, self._on_peer_request)
        self._port.handle(PlaceDrop, self._on_peer_request)
        self._port.handle(BackupAsk, self._on_peer_request)
        self._port.handle(MoveAsk, self._on_peer_request)
        self._port.handle(MoveDone, self._on_peer_request)
        self.kernel.get(EngineReports).on_report(self._on_engine_report)
        task_status.started()
        rounds = self.kernel.unforeseen.repeated(WorkKind.ROUND, loop=self.name)
        while True:
            is_home = self._port.is_home()
            if is_home:
                with rounds.attempt():
                    self._place_due()
            await trio.sleep(QUEUE_POLL_INTERVAL_S if is_home else IDLE_POLL_INTERVAL_S)

    def _place_due(self) -> None:
        """Place what waits, and drop the return times that have passed."""
        self._place_waiting()
        if self.placer.refusals is not None:
            self.placer.refusals.slots.drop_lapsed(trio.current_time())
            self.refusal_records.record_outcomes(self.placer.refusals)

    def _cold_plan(self, service: ServiceName) -> ColdStartConfig | None:
        plan = self._store.service(service)
        return None if plan is None else plan.cold_start

    def handle_request(self, message: Message) -> None:
        """Handle a request of any instance, this one too; ignore one that cannot be answered."""
        if isinstance(message, PlaceAsk):
            self._place(message)
        elif isinstance(message, PlaceDrop):
            self._drop(message)
        elif isinstance(message, BackupAsk):
            self._choose_backup(message)
        elif isinstance(message, MoveAsk):
            self._on_move_request(message)
        elif isinstance(message, MoveDone):
            self._end_permit(message.attempt, RunnerId(message.source))

    def refresh_own_runs(self) -> None:
        """Bring the runs of this instance in the registry up to date."""
        self.placer.registry.record_report(self.kernel.settings.instance, list(self.own_runs()))

    def _on_peer_request(self, message: Message, sender: tuple[str, int]) -> None:
        self.handle_request(message)

    def _place(self, query: PlaceAsk) -> None:
        request = request_from_row(query.work)
        requester = InstanceId(query.sender)
        engine = self._store.engine(request.service)
        if engine is None or not self._can_answer(requester):
            return  # The requester places it by its own view.
        now_s, refusals = trio.current_time(), self.placer.refusals
        granted = refusals and self.placer.registry.recent_placement(request)
        if granted is not None:  # The answer may have been lost, or the request may run by now.
            self._answer(requester, self._place_answer(request.attempt, granted))
            return
        self._remember_requester(request.attempt, requester)
        refusal = refusals and self.placer.queue_refusal(now_s, request, engine)
        if refusal is not None:
            self._refuse(refusal)
            return
        self.placer.enqueue(now_s, request, engine)
        if request.attempt in self._place_waiting():
            return
        if request.attempt not in self._requester_by_attempt:
            return  # It was dropped, and its instance was told so.
        free_s = self.placer.time_until_allowed_s(trio.current_time(), request, SendOrigin.HOME)
        if free_s > request.max_wait_s:
            self._drop(PlaceDrop(request.attempt))
            self._answer(
                requester, PlaceAnswer(request.attempt, "", "", _retry_ms(free_s), [], True)
            )
            return
        refusal = None if refusals is None else refusals.decide(now_s, request, engine)
        if refusal is not None:
            self._refuse(refusal)
            return
        capacity_s = self.placer.retry_after_s(trio.current_time(), request, engine)
        self._answer(
            requester, PlaceAnswer(request.attempt, "", "", _retry_ms(capacity_s), [], False)
        )

    def _remember_requester(self, attempt: str, requester: InstanceId) -> None:
        known = self._requester_by_attempt
        known.pop(attempt, None)
        known[attempt] = requester
        while len(known) > MAX_REQUESTERS:
            del known[next(iter(known))]

    def _refuse(self, refusal: Refusal) -> None:
        """Refuse a request, which is no longer queued or placed when its caller is told."""
        requester = self._requester_by_attempt.get(refusal.attempt)
        self._drop(PlaceDrop(refusal.attempt))
        self.refusal_records.record_refused(refusal)
        retry_ms = round(refusal.retry_after_s * 1000)
        if requester is not None:
            self._answer(requester, PlaceAnswer(refusal.attempt, "", "", retry_ms, [], True))

    def _place_waiting(self) -> set[str]:
        """Place queued requests and answer their instances; return the attempts placed now."""
        self.refresh_own_runs()
        placed = self.placer.place_waiting(trio.current_time())
        for result in placed:
            log_forecast(result.attempt, result.placement)
            requester = self._requester_by_attempt.pop(result.attempt, None)
            if requester is not None:
                self._answer(requester, self._place_answer(result.attempt, result.placement))
        for refusal in self.placer.take_dropped(trio.current_time()):
            self._refuse(refusal)
        return {result.attempt for result in placed}

    def _place_answer(self, attempt: str, placement: Placement) -> PlaceAnswer:
        named = (placement.runner, placement.backup)
        known = self._port.runners.by_id  # A runner may have gone since the placement.
        rows = [runner_row(known[one]) for one in named if one in known]
        return PlaceAnswer(attempt, placement.runner, placement.backup or "", 0, rows, False)

    def _drop(self, drop: PlaceDrop) -> None:
        self.placer.remove(drop.attempt)
        self._requester_by_attempt.pop(drop.attempt, None)

    def _choose_backup(self, query: BackupAsk) -> None:
        requester = InstanceId(query.sender)
        self.refresh_own_runs()
        run = self.placer.registry.find_run(query.attempt)
        engine = None if run is None else self._store.engine(run.request.service)
        if engine is None or not self._can_answer(requester):
            return  # The requester goes on without a backup.
        runner = RunnerId(query.runner)
        source = RunnerId(query.source)
        backup = self.placer.move_run(trio.current_time(), query.attempt, runner, engine, source)
        self._answer(requester, BackupAnswer(query.attempt, backup or ""))

    def _on_move_request(self, query: MoveAsk) -> None:
        requester = InstanceId(query.sender)
        self.refresh_own_runs()
        if not self._can_answer(requester) or self.placer.registry.find_run(query.attempt) is None:
            return  # It is requested again soon; the report with the run may have been lost.
        self._remember_requester(query.attempt, requester)
        source = RunnerId(query.source)
        self._permits.release_ended(
            source, lambda attempt: self.placer.registry.find_run(attempt) is None
        )
        refused = frozenset(RunnerId(str(one)) for one in query.refused)
        before = self._permits.holder(source)
        self._permits.request(trio.current_time(), source, query.attempt, query.order, refused)
        holder = self._permits.holder(source)
        if holder is not None and (holder == query.attempt or holder != before):
            self._grant_permit(holder, source)

    def _grant_permit(self, attempt: str, source: RunnerId) -> None:
        """Send the permit to copy a run, or pass it on to the next run if there is no capacity.

        The first run in order may be too large for the free memory. Its permit has to be passed on
        at once, since that run requests it again before the others do.
        """
        following: str | None = attempt
        while following is not None and not self._send_permit(following, source):
            self._permits.release(source, following)
            following = self._permits.grant_next(trio.current_time(), source)

    def _send_permit(self, attempt: str, source: RunnerId) -> bool:
        run = self.placer.registry.find_run(attempt)
        engine = None if run is None else self._store.engine(run.request.service)
        requester = self._requester_by_attempt.get(attempt)
        if engine is None or requester is None:
            return False
        refused = self._permits.refusing_engines(source, attempt)
        destination = self.placer.begin_copy(trio.current_time(), run, engine, refused)
        if destination is None:
            return False
        self._answer(requester, MoveTurn(attempt, source, destination))
        return True

    def _end_permit(self, attempt: str, source: RunnerId) -> None:
        self._permits.release(source, attempt)
        self._requester_by_attempt.pop(attempt, None)
        following = self._permits.grant_next(trio.current_time(), source)
        if following is not None:
            self._grant_permit(following, source)

    def _can_answer(self, requester: InstanceId) -> bool:
        own = self.kernel.settings.instance
        return requester == own or self._port.address_of(requester) is not None

    def _answer(self, requester: InstanceId, message: Message) -> None:
        address = self._port.address_of(requester)
        if address is None:
            self.on_local_answer(message)
        else:
            self._port.send(address, message)

    def _load_rows(self) -> list:
        self.refresh_own_runs()
        now_s = trio.current_time()
        self.placer.retain_instances(known.instance.id for known in self._port.fleet.live(now_s))
        return self.placer.registry.load_rows(now_s)

    def _on_report(self, instance: InstanceId, report: InstanceReport) -> None:
        self.placer.registry.record_report(instance, [run_from_row(row) for row in report.runs])

    def _on_engine_report(self, runner: RunnerId, report: RunnerReport) -> None:
        self.refresh_own_runs()
        self.placer.registry.record_measured(trio.current_time(), runner, report.kv_used_tokens)

    def _on_loads(self, loads: FleetLoads, sender: tuple[str, int]) -> None:
        now_s = trio.current_time()
        if loads.home == self._port.fleet.home(now_s):
            self.placer.registry.update_loads(now_s, loads.loads)


def _retry_ms(wait_s: float) -> int:
    return round(min(MAX_RETRY_AFTER_S, wait_s) * 1000)
