"""Places this instance's generations, at the home or by this instance if it gets no answer."""

from collections.abc import Collection
from dataclasses import dataclass, replace
from math import ceil

import trio

from egretstack.errors import ErrorKind
from egretstack.events import Event, log
from egretstack.fleet import (
    BackupAnswer,
    BackupAsk,
    MoveAsk,
    MoveDone,
    MoveTurn,
    PlaceAnswer,
    PlaceAsk,
    PlaceDrop,
    parse_rows,
    runner_from_row,
)
from egretstack.ids import RunnerId, ServiceName
from egretstack.kernel import Kernel, Service
from egretstack.messages import Message
from egretstack.placing import (
    EngineTimingLog,
    GenerationRequest,
    Placement,
    Run,
    SendOrigin,
    request_row,
)
from egretstack.relay import EnginePlacing, RequestFailed, no_eligible_runner
from egretstack.routing import EngineConfig, RouteKind
from egretstack.services.fleet_port import FleetPort
from egretstack.services.placement_log import log_forecast
from egretstack.services.placing_home import MAX_RETRY_AFTER_S, PlacingHome
from egretstack.services.relay_metrics import RelayMetrics

ANSWER_TIMEOUT_S = 0.04
"""Time for the home's answer, which takes some 2 ms; then the request is sent once more."""
MAX_SENDS = 2
RENEW_INTERVAL_S = 0.25
"""How often a generation that waits at the home renews its request."""
REFUSED_RETRY_S = 0.5
PERMIT_REQUEST_INTERVAL_S = 0.08
"""How often a run that has to move requests its permit."""
RANK_STEP = 1e6
"""Sets ranks further apart than any run has tokens."""


@dataclass(frozen=True, slots=True)
class _NotPlaced:
    """The result of an attempt that found no place."""

    retry_s: float
    """When a caller that waits no longer may come back."""
    is_final: bool = False
    """Whether no place can be found in time."""


class EnginePlacingService(Service, EnginePlacing):
    """Requests places, backups and permits to move, and keeps the runs of this instance."""

    name = "engine_placing"
    requires = ("fleet_port", "placing_home", "relay_metrics")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._port = kernel.get(FleetPort)
        self._home = kernel.get(PlacingHome)
        self._metrics = kernel.get(RelayMetrics)
        running = self._metrics.gauge("egret_relay_runs", "Generations in progress here.")
        running.set_function(lambda: len(self._run_by_attempt))
        self.timings = EngineTimingLog()
        """What the engines' runs of this instance took, until it is sent to the home."""
        self._run_by_attempt: dict[str, Run] = {}
        self._answer_by_attempt: dict[str, Message] = {}
        self._answered_by_attempt: dict[str, trio.Event] = {}
        self._permit_by_attempt: dict[str, trio.Event] = {}
        self._destination_by_attempt: dict[str, str] = {}
        self._copying: set[str] = set()
        """Runs that have their permit; a permit that arrives twice stays theirs."""

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Accept answers until cancelled."""
        self._home.own_runs = lambda: list(self._run_by_attempt.values())
        self._home.on_local_answer = self._on_answer
        for kind in (PlaceAnswer, BackupAnswer, MoveTurn):
            self._port.handle(kind, self._on_peer_answer)
        task_status.started()
        await trio.sleep_forever()

    async def place(self, request: GenerationRequest, engine: EngineConfig) -> Placement:
        """Return the place of a generation once there is capacity. Raises RequestFailed.

        It waits at the home for as long as its caller can be expected to wait, and is then refused;
        at once if there is no zone left in which it may run.
        """
        began_s = trio.current_time()
        outcome: Placement | _NotPlaced = _NotPlaced(REFUSED_RETRY_S)
        try:
            with trio.move_on_after(request.max_wait_s):
                while isinstance(outcome, _NotPlaced) and not outcome.is_final:
                    left_s = began_s + request.max_wait_s - trio.current_time()
                    outcome = await self._try_place(request, engine, left_s)
        finally:
            if isinstance(outcome, _NotPlaced):
                self._home.placer.remove(request.attempt)
                self._send_to_home(PlaceDrop(request.attempt))
        waited_ms = round((trio.current_time() - began_s) * 1000)
        if isinstance(outcome, _NotPlaced):
            retry_s = outcome.retry_s
            log(Event.PLACE_REFUSED, request=request.attempt, retry_s=retry_s, waited_ms=waited_ms)
            raise RequestFailed(ErrorKind.ENGINES_FULL, "no engine is free", retry_after_s=retry_s)
        self._log_placed(request, outcome, waited_ms)
        return outcome

    async def _try_place(
        self, request: GenerationRequest, engine: EngineConfig, left_s: float
    ) -> Placement | _NotPlaced:
        """Request a place once, with `left_s` left to wait. Raises RequestFailed."""
        if self._port.runners.has_only_evacuated(request.service, request.zones):
            raise no_eligible_runner()
        rejected_s = self._all_rejected_s(request)
        if rejected_s > 0.0:
            return _NotPlaced(min(MAX_RETRY_AFTER_S, rejected_s), is_final=True)
        backoff_s = self._backoff_left_s(request)
        if backoff_s > 0.0:
            await trio.sleep(min(backoff_s, RENEW_INTERVAL_S) if backoff_s <= left_s else 0.0)
            return _NotPlaced(min(MAX_RETRY_AFTER_S, backoff_s), backoff_s > left_s)
        eligible = self._exclude_backed_off(request)
        answer = await self._request_place(eligible)
        if answer is None:
            return await self._try_locally(eligible, engine, left_s)
        if answer.runner and answer.runner not in eligible.excluded:
            return self._accept_place(answer)
        return _NotPlaced(answer.retry_after_ms / 1000, answer.refused)

    async def _try_locally(
        self, request: GenerationRequest, engine: EngineConfig, left_s: float
    ) -> Placement | _NotPlaced:
        """Place a request by this instance's own view."""
        placed = self._place_locally(request, engine)
        if placed is not None:
            return placed
        free_s = self._free_locally_after_s(request)
        refusals = self._home.placer.refusals
        if free_s <= left_s and refusals is not None:
            refusal = refusals.decide_alone(
                trio.current_time(), request, engine, left_s, self._home.split.instance_count
            )
            if refusal is not None:
                self._home.refusal_records.record_refused(refusal, alone=True)
                return _NotPlaced(refusal.retry_after_s, is_final=True)
        if free_s <= left_s:
            await trio.sleep(RENEW_INTERVAL_S)
        return _NotPlaced(min(MAX_RETRY_AFTER_S, free_s) or REFUSED_RETRY_S, free_s > left_s)

    def add_run(self, run: Run) -> None:
        """Record a run that is sent."""
        self._run_by_attempt[run.request.attempt] = run

    def remove_run(self, run: Run) -> None:
        """Record that a run has ended here."""
        self._run_by_attempt.pop(run.request.attempt, None)
        self._home.placer.remove(run.request.attempt)

    def record_first_token(self, run: Run, read_s: float, waited_s: float) -> None:
        """Record a first token.

        It came `read_s` after the send, and `waited_s` after the request arrived.
        """
        self._metrics.observe_answer(RouteKind.STREAM, waited_s)
        request, registry = run.request, self._home.placer.registry
        registry.record_first_token(request.context_tokens, read_s, run.runner)
        self.timings.record_first_token(run.runner, request.attempt, request.context_tokens, read_s)

    def record_gap(self, run: Run, gap_s: float, events: int) -> None:
        """Record the time from the events before to the last `events` of a run."""
        self.timings.record_gap(run.runner, gap_s, events)

    def stream_time_s(
        self, service: ServiceName, context_tokens: int, output_tokens: int, engine: EngineConfig
    ) -> float | None:
        """Return how long a stream takes on the slowest engine at present, once it is sent.

        None if the engines of its service were not measured.
        """
        registry = self._home.placer.registry
        pace = registry.paces.pace(trio.current_time(), service)
        if pace is None:
            return None
        first_s = max(pace.first_s, context_tokens / registry.prefill_per_s)
        return first_s + ceil(output_tokens / engine.tokens_per_event) * pace.event_s

    def tokens_left(self, run: Run) -> float:
        """Return the output that a run is still expected to generate, in tokens."""
        return self._home.placer.registry.tokens_left(run)

    async def choose_backup(
        self, run: Run, engine: EngineConfig, source: RunnerId
    ) -> RunnerId | None:
        """Choose the backup of a run that moved, to which its memory is copied from now on.

        While the home does not answer there is none: each instance by its own view would choose the
        engine that looks emptiest to all of them.
        """
        attempt = run.request.attempt
        query = BackupAsk(self.kernel.settings.instance, attempt, run.runner, source)
        answer = await self._request(attempt, query, times=1)
        if not isinstance(answer, BackupAnswer) or not answer.backup:
            return None
        return RunnerId(answer.backup)

    async def acquire_move_permit(self, run: Run, refused: Collection[RunnerId]) -> RunnerId:
        """Wait for the permit to copy a run off its runner; return the destination.

        `refused` names engines that had no free memory for its copy a moment ago.
        """
        attempt, source = run.request.attempt, run.runner
        own = self.kernel.settings.instance
        permitted = self._permit_by_attempt[attempt] = trio.Event()
        try:
            while True:
                self._send_to_home(
                    MoveAsk(own, attempt, source, self._move_order(run), list(refused))
                )
                with trio.move_on_after(PERMIT_REQUEST_INTERVAL_S):
                    await permitted.wait()
                    self._copying.add(attempt)
                    return RunnerId(self._destination_by_attempt.pop(attempt))
        finally:
            self._permit_by_attempt.pop(attempt, None)

    def release_move_permit(self, attempt: str, source: RunnerId) -> None:
        """Give the permit back."""
        self._destination_by_attempt.pop(attempt, None)
        self._copying.discard(attempt)
        self._send_to_home(MoveDone(self.kernel.settings.instance, attempt, source))

    def _move_order(self, run: Run) -> float:
        """Return the order of moves off one runner: urgent first, then those with most to lose."""
        return RANK_STEP * run.request.rank - self.tokens_left(run)

    async def _request_place(self, request: GenerationRequest) -> PlaceAnswer | None:
        """Request a place at the home and wait for it; None if the home does not answer.

        An answer without a runner means that the home is there and has found no place yet.
        """
        query = PlaceAsk(self.kernel.settings.instance, request_row(request))
        first = await self._request(request.attempt, query, times=MAX_SENDS)
        if not isinstance(first, PlaceAnswer):
            return None
        if first.refused or (first.runner and first.runner not in request.excluded):
            return first
        second = await self._wait_for_answer(request.attempt, RENEW_INTERVAL_S)
        return second if isinstance(second, PlaceAnswer) else first

    async def _request(self, attempt: str, query: Message, times: int) -> Message | None:
        """Send a request to the home; return the answer, or None if the home does not answer."""
        for _ in range(times):
            answer = await self._wait_for_answer(attempt, ANSWER_TIMEOUT_S, query)
            if answer is not None:
                return answer
        log(Event.HOME_SILENT, request=attempt, address=self._port.home_address())
        return None

    async def _wait_for_answer(
        self, attempt: str, timeout_s: float, query: Message | None = None
    ) -> Message | None:
        answered = self._answered_by_attempt[attempt] = trio.Event()
        try:
            if query is not None:
                self._send_to_home(query)
            with trio.move_on_after(timeout_s):
                await answered.wait()
            return self._answer_by_attempt.pop(attempt, None)
        finally:
            self._answered_by_attempt.pop(attempt, None)
            self._answer_by_attempt.pop(attempt, None)

    def _send_to_home(self, message: Message) -> None:
        """Send a message to the home, which may be this instance."""
        address = self._port.home_address()
        if address is None:
            self._home.handle_request(message)
        else:
            self._port.send(address, message)

    def _place_locally(self, request: GenerationRequest, engine: EngineConfig) -> Placement | None:
        now_s = trio.current_time()
        self._home.refresh_own_runs()
        decided = self._home.placer.place(now_s, request, engine, fleet_wide=self._port.is_home())
        if not isinstance(decided, Placement):
            return None
        log_forecast(request.attempt, decided)
        return decided

    def _exclude_backed_off(self, request: GenerationRequest) -> GenerationRequest:
        """Return the request with the engines excluded that asked this instance for a backoff."""
        backed_off = self._home.backoffs.in_backoff(trio.current_time())
        return (
            replace(request, excluded=(*request.excluded, *backed_off)) if backed_off else request
        )

    def _backoff_left_s(self, request: GenerationRequest) -> float:
        """Return the time until an engine accepts a request; 0 if now, or if there is no engine."""
        now_s, backoffs = trio.current_time(), self._home.backoffs
        usable = [
            runner
            for runner in self._port.runners.ready(request.service)
            if runner.id not in request.excluded and request.may_run_in(runner.zone)
        ]
        times = (
            backoffs.time_until_allowed_s(now_s, runner, SendOrigin.ALONE) for runner in usable
        )
        return min(times, default=0.0)

    def _all_rejected_s(self, request: GenerationRequest) -> float:
        """Return the time until one of the engines accepts requests again if all rejected this one.

        0 if an engine is left for it, or if none of them asked for a backoff.
        """
        now_s, backoffs = trio.current_time(), self._home.backoffs
        eligible = [
            runner
            for runner in self._port.runners.ready(request.service)
            if request.may_run_in(runner.zone)
        ]
        if any(runner.id not in request.excluded for runner in eligible):
            return 0.0
        times = (
            backoffs.time_until_allowed_s(now_s, runner, SendOrigin.ALONE) for runner in eligible
        )
        return min((one for one in times if one > 0.0), default=0.0)

    def _free_locally_after_s(self, request: GenerationRequest) -> float:
        """Return the time until an engine may get a request without the home; 0 if now."""
        placer = self._home.placer
        return placer.time_until_allowed_s(trio.current_time(), request, SendOrigin.ALONE)

    def _accept_place(self, answer: PlaceAnswer) -> Placement:
        """Accept the home's answer, and register the runners it names if they are unknown here.

        An instance that gets the home's answers but not its updates would otherwise know none of
        the engines offered to it: one refused a generation this way while 16 of them were free.
        """
        for runner in parse_rows(answer.runners, runner_from_row):
            if self._port.runners.register(runner):
                log(Event.RUNNER_INTRODUCED, runner=runner.id, request=answer.attempt)
        return _placement(answer)

    def _on_peer_answer(self, message: Message, sender: tuple[str, int]) -> None:
        if isinstance(message, PlaceAnswer) and message.refused and self._is_former_home(sender):
            return  # The request may be queued or placed at the home that followed it.
        self._on_answer(message)

    def _is_former_home(self, sender: tuple[str, int]) -> bool:
        if self._home.placer.refusals is None:
            return False
        address = f"{sender[0]}:{sender[1]}"
        known = {one.instance.peer_address for one in self._port.fleet.live(trio.current_time())}
        return address in known and address != self._port.home_address()

    def _on_answer(self, message: Message) -> None:
        if isinstance(message, MoveTurn):
            self._on_permit(message)
        elif isinstance(message, PlaceAnswer | BackupAnswer):
            answered = self._answered_by_attempt.get(message.attempt)
            if answered is not None:
                self._answer_by_attempt[message.attempt] = message
                answered.set()

    def _on_permit(self, permit: MoveTurn) -> None:
        """Hand a permit to its run, or give it back if the run has ended or does not wait.

        A request for a permit may arrive at the home after the message that its run has ended. The
        other runs would then wait for a permit that nobody uses, for longer than the engine's
        notice, and be lost with the engine.
        """
        waiting = self._permit_by_attempt.get(permit.attempt)
        if waiting is not None:
            self._destination_by_attempt[permit.attempt] = permit.destination
            waiting.set()
        elif permit.attempt not in self._copying:
            self._send_to_home(
                MoveDone(self.kernel.settings.instance, permit.attempt, permit.source)
            )

    def _log_placed(self, request: GenerationRequest, placed: Placement, waited_ms: int) -> None:
        now_s = trio.current_time()
        log(
            Event.PLACED,
            request=request.attempt,
            runner=placed.runner,
            backup=placed.backup,
            waited_ms=waited_ms,
            prompt=request.prompt_tokens,
            most=request.max_output_tokens,
            hint=request.length_hint,
            rank=request.rank,
            home=self._port.fleet.home(now_s),
            runners_age_s=round(self._port.runners.age_s(now_s), 3),
        )


def _placement(answer: PlaceAnswer) -> Placement:
    backup = RunnerId(answer.backup) if answer.backup else None
    return Placement(RunnerId(answer.runner), backup)
