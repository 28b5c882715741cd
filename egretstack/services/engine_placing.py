"""Where this instance's generations run: asked of the home, decided here while it is silent."""

from collections.abc import Collection
from dataclasses import dataclass, replace

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
    rows_of,
    runner_of,
)
from egretstack.ids import RunnerId
from egretstack.kernel import Kernel, Service
from egretstack.messages import Message
from egretstack.placing import GenerationRequest, Placement, Run, SendOrigin, request_row
from egretstack.relay import EnginePlacing, RequestFailed, barred
from egretstack.routing import EngineConfig, RouteKind
from egretstack.services.fleet_port import FleetPort
from egretstack.services.placing_home import MOST_RETRY_S, PlacingHome
from egretstack.services.relay_metrics import RelayMetrics

ASK_S = 0.04
"""Time for the home's answer, which takes some 2 ms; then the question is sent once more."""
ASK_TIMES = 2
ASK_AGAIN_S = 0.25
"""How often a generation that waits at the home tells that it still does."""
REFUSED_RETRY_S = 0.5
MOVE_ASK_S = 0.08
"""How often a run that has to move asks whether it is its turn."""
RANK_STEP = 1e6
"""Sets ranks further apart than any run has tokens."""


@dataclass(frozen=True, slots=True)
class _NoPlace:
    """No place came of a try."""

    retry_s: float
    """When a caller may come back that waits no longer."""
    is_final: bool = False
    """Whether none can come in time."""


class EnginePlacingService(Service, EnginePlacing):
    """Asks for places, backups and turns, and keeps the runs of this instance."""

    name = "engine_placing"
    requires = ("fleet_port", "placing_home", "relay_metrics")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._port = kernel.get(FleetPort)
        self._home = kernel.get(PlacingHome)
        self._metrics = kernel.get(RelayMetrics)
        running = self._metrics.gauge("egret_relay_runs", "Generations in progress here.")
        running.set_function(lambda: len(self._run_by_attempt))
        self._run_by_attempt: dict[str, Run] = {}
        self._answer_by_attempt: dict[str, Message] = {}
        self._asked_by_attempt: dict[str, trio.Event] = {}
        self._turn_by_attempt: dict[str, trio.Event] = {}
        self._destination_by_attempt: dict[str, str] = {}
        self._copying: set[str] = set()
        """Runs that have their turn; a turn told twice is theirs still."""

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Take answers until cancelled."""
        self._home.own_runs = lambda: list(self._run_by_attempt.values())
        self._home.answer_here = self._take
        for kind in (PlaceAnswer, BackupAnswer, MoveTurn):
            self._port.handle(kind, self._take_from_peer)
        task_status.started()
        await trio.sleep_forever()

    async def place(self, work: GenerationRequest, engine: EngineConfig) -> Placement:
        """Give the place of a generation, once there is room. Raises RequestFailed.

        It waits at the home for as long as its caller can be expected to, and is then refused; at
        once if no zone that it may run in is left.
        """
        began_s = trio.current_time()
        tried: Placement | _NoPlace = _NoPlace(REFUSED_RETRY_S)
        try:
            with trio.move_on_after(work.max_wait_s):
                while isinstance(tried, _NoPlace) and not tried.is_final:
                    left_s = began_s + work.max_wait_s - trio.current_time()
                    tried = await self._try_place(work, engine, left_s)
        finally:
            if isinstance(tried, _NoPlace):
                self._home.placer.remove(work.attempt)
                self._tell(PlaceDrop(work.attempt))
        waited_ms = round((trio.current_time() - began_s) * 1000)
        if isinstance(tried, _NoPlace):
            retry_s = tried.retry_s
            log(Event.PLACE_REFUSED, request=work.attempt, retry_s=retry_s, waited_ms=waited_ms)
            raise RequestFailed(ErrorKind.ENGINES_FULL, "no engine is free", retry_after_s=retry_s)
        self._log_placed(work, tried, waited_ms)
        return tried

    async def _try_place(
        self, work: GenerationRequest, engine: EngineConfig, left_s: float
    ) -> Placement | _NoPlace:
        """Ask for a place once, with `left_s` left to wait. Raises RequestFailed."""
        if self._port.runners.is_barred(work.service, work.zones):
            raise barred()
        rested_s = self._rested_after_s(work)
        if rested_s > 0.0:
            await trio.sleep(min(rested_s, ASK_AGAIN_S) if rested_s <= left_s else 0.0)
            return _NoPlace(min(MOST_RETRY_S, rested_s), rested_s > left_s)
        asked = self._without_resting(work)
        answer = await self._ask_place(asked)
        if answer is None:
            return await self._try_alone(asked, engine, left_s)
        if answer.runner and answer.runner not in asked.excluded:
            return self._take_place(answer)
        return _NoPlace(answer.retry_after_ms / 1000, answer.refused)

    async def _try_alone(
        self, work: GenerationRequest, engine: EngineConfig, left_s: float
    ) -> Placement | _NoPlace:
        """Place a work by this instance's own view."""
        placed = self._place_alone(work, engine)
        if placed is not None:
            return placed
        free_s = self._free_alone_after_s(work)
        if free_s <= left_s:
            await trio.sleep(ASK_AGAIN_S)
        return _NoPlace(min(MOST_RETRY_S, free_s) or REFUSED_RETRY_S, free_s > left_s)

    def begin(self, run: Run) -> None:
        """Note a run that goes out."""
        self._run_by_attempt[run.request.attempt] = run

    def end(self, run: Run) -> None:
        """Note that a run is over here."""
        self._run_by_attempt.pop(run.request.attempt, None)
        self._home.placer.remove(run.request.attempt)

    def first_token(self, run: Run, read_s: float, waited_s: float) -> None:
        """Note a first token: `read_s` after the send, and `waited_s` after the request came."""
        self._metrics.answered(RouteKind.STREAM, waited_s)
        self._home.placer.registry.record_first_token(run.request.prompt_tokens, read_s)

    def tokens_left(self, run: Run) -> float:
        """Give the output that a run is still expected to make."""
        return self._home.placer.registry.tokens_left(run)

    async def backup_for(self, run: Run, engine: EngineConfig, source: RunnerId) -> RunnerId | None:
        """Choose where the memory of a run that moved is copied from now on.

        While the home is silent there is none: each instance by its own view would choose the
        engine that looks emptiest to all.
        """
        attempt = run.request.attempt
        ask = BackupAsk(self.kernel.settings.instance, attempt, run.runner, source)
        answer = await self._ask(attempt, ask, times=1)
        if not isinstance(answer, BackupAnswer) or not answer.backup:
            return None
        return RunnerId(answer.backup)

    async def move_turn(self, run: Run, refused: Collection[RunnerId]) -> RunnerId:
        """Wait until it is a run's turn to be copied off its runner; give the destination.

        `refused` names engines that had no room for its copy a moment ago.
        """
        attempt, source = run.request.attempt, run.runner
        own = self.kernel.settings.instance
        turn = self._turn_by_attempt[attempt] = trio.Event()
        try:
            while True:
                self._tell(MoveAsk(own, attempt, source, self._move_order(run), list(refused)))
                with trio.move_on_after(MOVE_ASK_S):
                    await turn.wait()
                    self._copying.add(attempt)
                    return RunnerId(self._destination_by_attempt.pop(attempt))
        finally:
            self._turn_by_attempt.pop(attempt, None)

    def move_done(self, attempt: str, source: RunnerId) -> None:
        """Give the turn up."""
        self._destination_by_attempt.pop(attempt, None)
        self._copying.discard(attempt)
        self._tell(MoveDone(self.kernel.settings.instance, attempt, source))

    def _move_order(self, run: Run) -> float:
        """Give the order of moves off one runner: urgent first, then those with most to lose."""
        return RANK_STEP * run.request.rank - self.tokens_left(run)

    async def _ask_place(self, work: GenerationRequest) -> PlaceAnswer | None:
        """Ask the home, and wait there for a place; None if the home is silent.

        An answer without a runner tells that the home is there and no place came yet.
        """
        ask = PlaceAsk(self.kernel.settings.instance, request_row(work))
        first = await self._ask(work.attempt, ask, times=ASK_TIMES)
        if not isinstance(first, PlaceAnswer):
            return None
        if first.runner and first.runner not in work.excluded:
            return first
        later = await self._answer_in(work.attempt, ASK_AGAIN_S)
        return later if isinstance(later, PlaceAnswer) else first

    async def _ask(self, attempt: str, ask: Message, times: int) -> Message | None:
        """Ask the home; None if it is silent."""
        for _ in range(times):
            answer = await self._answer_in(attempt, ASK_S, ask)
            if answer is not None:
                return answer
        log(Event.HOME_SILENT, request=attempt, address=self._port.home_address())
        return None

    async def _answer_in(
        self, attempt: str, timeout_s: float, ask: Message | None = None
    ) -> Message | None:
        asked = self._asked_by_attempt[attempt] = trio.Event()
        try:
            if ask is not None:
                self._tell(ask)
            with trio.move_on_after(timeout_s):
                await asked.wait()
            return self._answer_by_attempt.pop(attempt, None)
        finally:
            self._asked_by_attempt.pop(attempt, None)
            self._answer_by_attempt.pop(attempt, None)

    def _tell(self, message: Message) -> None:
        """Send something to the home, which may be here."""
        address = self._port.home_address()
        if address is None:
            self._home.ask(message)
        else:
            self._port.send(address, message)

    def _place_alone(self, work: GenerationRequest, engine: EngineConfig) -> Placement | None:
        now_s = trio.current_time()
        self._home.refresh()
        decided = self._home.placer.place(now_s, work, engine, fleet_wide=self._port.is_home())
        return decided if isinstance(decided, Placement) else None

    def _without_resting(self, work: GenerationRequest) -> GenerationRequest:
        """Give a work that keeps off the engines which want nothing from this instance now."""
        resting = self._home.rests.in_backoff(trio.current_time())
        return replace(work, excluded=(*work.excluded, *resting)) if resting else work

    def _rested_after_s(self, work: GenerationRequest) -> float:
        """Give when some engine wants a work from this instance; 0 if now, or if there is none."""
        now_s, rests = trio.current_time(), self._home.rests
        usable = [
            one
            for one in self._port.runners.ready(work.service)
            if one.id not in work.excluded and work.may_run_in(one.zone)
        ]
        times = (rests.time_until_allowed_s(now_s, one, SendOrigin.ALONE) for one in usable)
        return min(times, default=0.0)

    def _free_alone_after_s(self, work: GenerationRequest) -> float:
        """Give when some engine may take a work without the home's word; 0 if now."""
        placer = self._home.placer
        return placer.time_until_allowed_s(trio.current_time(), work, SendOrigin.ALONE)

    def _take_place(self, answer: PlaceAnswer) -> Placement:
        """Take the home's answer, and the runners it names if they are news here.

        An instance that is cut off from the home's news and not from its answers would find none of
        the engines offered to it: one refused a generation so while 16 of them were free.
        """
        for runner in rows_of(answer.runners, runner_of):
            if self._port.runners.introduce(runner):
                log(Event.RUNNER_INTRODUCED, runner=runner.id, request=answer.attempt)
        return _placement(answer)

    def _take_from_peer(self, message: Message, sender: tuple[str, int]) -> None:
        self._take(message)

    def _take(self, message: Message) -> None:
        if isinstance(message, MoveTurn):
            self._take_turn(message)
        elif isinstance(message, PlaceAnswer | BackupAnswer):
            asked = self._asked_by_attempt.get(message.attempt)
            if asked is not None:
                self._answer_by_attempt[message.attempt] = message
                asked.set()

    def _take_turn(self, turn: MoveTurn) -> None:
        """Let a run have its turn; give the turn back if the run has ended or does not wait.

        A question may overtake the news that its run has ended. The others would then wait for a
        turn that nobody uses, for longer than the engine's notice, and be lost with it.
        """
        waiting = self._turn_by_attempt.get(turn.attempt)
        if waiting is not None:
            self._destination_by_attempt[turn.attempt] = turn.destination
            waiting.set()
        elif turn.attempt not in self._copying:
            self._tell(MoveDone(self.kernel.settings.instance, turn.attempt, turn.source))

    def _log_placed(self, work: GenerationRequest, placed: Placement, waited_ms: int) -> None:
        now_s = trio.current_time()
        log(
            Event.PLACED,
            request=work.attempt,
            runner=placed.runner,
            backup=placed.backup,
            waited_ms=waited_ms,
            prompt=work.prompt_tokens,
            most=work.max_output_tokens,
            hint=work.length_hint,
            rank=work.rank,
            home=self._port.fleet.home(now_s),
            runners_age_s=round(self._port.runners.age_s(now_s), 3),
        )


def _placement(answer: PlaceAnswer) -> Placement:
    backup = RunnerId(answer.backup) if answer.backup else None
    return Placement(RunnerId(answer.runner), backup)
