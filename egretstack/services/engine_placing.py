"""Where generations run: asked of the home, or decided here while the home is silent."""

import trio

from egretstack.errors import ErrorKind
from egretstack.events import Event, log
from egretstack.fleet import (
    BackupAnswer,
    BackupAsk,
    FleetNews,
    MoveAsk,
    MoveDone,
    MoveTurn,
    PlaceAnswer,
    PlaceAsk,
    PlaceDrop,
)
from egretstack.ids import InstanceId, RunnerId
from egretstack.kernel import Kernel, Service
from egretstack.messages import Message
from egretstack.placing import (
    MoveTurns,
    Placement,
    Placer,
    Run,
    Work,
    run_of,
    run_row,
    work_of,
    work_row,
)
from egretstack.relay import EnginePlacing, RequestFailed
from egretstack.routing import EnginePlan
from egretstack.services.engine_reports import EngineReports
from egretstack.services.fleet_port import FleetPort
from egretstack.services.store_reading import StoreReading
from egretstack.traffic import RunnerReport

ASK_S = 0.04
"""Time for the home's answer, which takes some 2 ms; then the question is sent once more."""
ASK_TIMES = 2
ASK_AGAIN_S = 0.25
"""How often a generation that waits at the home tells that it still does."""
SETTLE_S = 0.05
"""How often the home looks for room for what waits, besides whenever something is asked."""
REFUSED_RETRY_S = 0.5
WAIT_SHARE = 0.6
"""Part of the time until its first token is late that a generation waits for room; reading its
prompt takes the rest."""
MOVE_ASK_S = 0.08
"""How often a run that has to move asks whether it is its turn."""
RANK_STEP = 1e6
"""Sets ranks further apart than any run has tokens."""


class EnginePlacingService(Service, EnginePlacing):
    """The placer of this instance, and the way to the home's."""

    name = "engine_placing"
    requires = ("engine_reports", "fleet_port", "store_reading")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._port = kernel.get(FleetPort)
        self._store = kernel.get(StoreReading)
        self._placer = Placer(self._port.runners, kernel.rng)
        self._turns = MoveTurns()
        self._run_by_attempt: dict[str, Run] = {}
        self._answer_by_attempt: dict[str, Message] = {}
        self._asked_by_attempt: dict[str, trio.Event] = {}
        self._turn_by_attempt: dict[str, trio.Event] = {}
        self._destination_by_attempt: dict[str, str] = {}
        self._asker_by_attempt: dict[str, InstanceId] = {}
        """Who asked this home for a place or a turn."""

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Answer peers until cancelled."""
        self._port.runs = self._run_rows
        self._port.loads = self._load_rows
        self._port.on_news(self._take_news)
        self._port.on_report(self._take_runs)
        self._port.handle(PlaceAsk, self._answer_place)
        self._port.handle(PlaceAnswer, self._take_answer)
        self._port.handle(PlaceDrop, self._take_drop)
        self._port.handle(BackupAsk, self._answer_backup)
        self._port.handle(BackupAnswer, self._take_answer)
        self._port.handle(MoveAsk, self._answer_move)
        self._port.handle(MoveTurn, self._take_turn)
        self._port.handle(MoveDone, self._take_done)
        self.kernel.get(EngineReports).on_report(self._take_measure)
        task_status.started()
        while True:
            await trio.sleep(SETTLE_S)
            if self._port.is_home():
                self._settle(trio.current_time())

    async def place(self, work: Work, engine: EnginePlan) -> Placement:
        """Give the place of a generation, once there is room. Raises RequestFailed.

        It waits at the home while its first token can still be in time; then it is refused, since
        on engines that are full it would be late and make others late.
        """
        began_s = trio.current_time()
        placed = None
        retry_s = REFUSED_RETRY_S
        try:
            with trio.move_on_after(work.patience_s * WAIT_SHARE):
                while placed is None:
                    answer = await self._ask_place(work)
                    if answer is None:
                        placed = self._place_alone(work, engine)
                        await trio.sleep(0 if placed else ASK_AGAIN_S)
                    elif answer.runner:
                        placed = _placement(answer)
                    else:
                        retry_s = answer.retry_after_ms / 1000
        finally:
            if placed is None:
                self._drop(work.attempt)
        waited_s = trio.current_time() - began_s
        if placed is None:
            log(
                Event.PLACE_REFUSED,
                request=work.attempt,
                retry_s=retry_s,
                waited_ms=round(waited_s * 1000),
            )
            raise RequestFailed(ErrorKind.ENGINES_FULL, "no engine is free", retry_after_s=retry_s)
        self._log_placed(work, placed, waited_s)
        return placed

    async def _ask_place(self, work: Work) -> PlaceAnswer | None:
        """Ask the home, and wait there for a place; None if the home is silent.

        An answer without a runner tells that the home is there and no place came yet.
        """
        asked = self._asked_by_attempt[work.attempt] = trio.Event()
        try:
            for _ in range(ASK_TIMES):
                self._send_ask(work)
                with trio.move_on_after(ASK_S):
                    await asked.wait()
                    break
            first = self._answer_by_attempt.pop(work.attempt, None)
            if not isinstance(first, PlaceAnswer):
                log(Event.HOME_SILENT, request=work.attempt)
                return None
            if first.runner:
                return first
            placed = self._asked_by_attempt[work.attempt] = trio.Event()
            with trio.move_on_after(ASK_AGAIN_S):
                await placed.wait()
            later = self._answer_by_attempt.pop(work.attempt, None)
            return later if isinstance(later, PlaceAnswer) else first
        finally:
            self._asked_by_attempt.pop(work.attempt, None)
            self._answer_by_attempt.pop(work.attempt, None)

    def _send_ask(self, work: Work) -> None:
        own = self.kernel.settings.instance
        ask = PlaceAsk(own, work_row(work))
        address = self._port.home_address()
        if address is None:
            self._answer_place(ask, ("", 0))
        else:
            self._port.send(address, ask)

    def _place_alone(self, work: Work, engine: EnginePlan) -> Placement | None:
        now_s = trio.current_time()
        decided = self._placer.place(now_s, work, engine, whole=self._port.is_home())
        return decided if isinstance(decided, Placement) else None

    def _drop(self, attempt: str) -> None:
        self._placer.ended(attempt)
        address = self._port.home_address()
        if address is not None:
            self._port.send(address, PlaceDrop(attempt))

    def _log_placed(self, work: Work, placed: Placement, waited_s: float) -> None:
        log(
            Event.PLACED,
            request=work.attempt,
            runner=placed.runner,
            backup=placed.backup,
            waited_ms=round(waited_s * 1000),
            prompt=work.prompt_tokens,
            most=work.max_output_tokens,
            hint=work.length_hint,
            rank=work.rank,
            home=self._port.fleet.home(trio.current_time()),
            runners_age_s=round(self._port.runners.age_s(trio.current_time()), 3),
        )

    def begin(self, run: Run) -> None:
        """Note a run that goes out."""
        self._run_by_attempt[run.work.attempt] = run

    def end(self, run: Run) -> None:
        """Note that a run is over here."""
        self._run_by_attempt.pop(run.work.attempt, None)
        self._placer.ended(run.work.attempt)

    def first_token(self, prompt_tokens: int, waited_s: float) -> None:
        """Note how long a run waited for its first token."""
        self._placer.book.first_token(prompt_tokens, waited_s)

    async def backup_for(self, run: Run, engine: EnginePlan) -> RunnerId | None:
        """Choose where the memory of a run that moved is copied from now on."""
        attempt = run.work.attempt
        ask = BackupAsk(self.kernel.settings.instance, attempt, run.runner)
        answer = await self._ask(attempt, ask, times=1)
        if isinstance(answer, BackupAnswer):
            return RunnerId(answer.backup) if answer.backup else None
        if not self._port.is_home():
            # Each instance by its own view would choose the engine that looks emptiest to all.
            return None
        self._report_own_runs()
        return self._placer.move_run(trio.current_time(), attempt, run.runner, engine)

    async def move_turn(self, run: Run, engine: EnginePlan) -> RunnerId:
        """Wait until it is a run's turn to be copied off its runner; give the destination."""
        attempt = run.work.attempt
        turn = self._turn_by_attempt[attempt] = trio.Event()
        try:
            while True:
                self._ask_turn(run, engine)
                with trio.move_on_after(MOVE_ASK_S):
                    await turn.wait()
                    return RunnerId(self._destination_by_attempt.pop(attempt))
        finally:
            self._turn_by_attempt.pop(attempt, None)

    def move_done(self, attempt: str, source: RunnerId) -> None:
        """Give the turn up."""
        self._destination_by_attempt.pop(attempt, None)
        address = self._port.home_address()
        if address is None:
            self._end_turn(attempt, source)
        else:
            self._port.send(address, MoveDone(self.kernel.settings.instance, attempt, source))

    async def _ask(self, attempt: str, ask: Message, times: int) -> Message | None:
        """Ask the home; None if this instance is the home, or the home is silent."""
        address = self._port.home_address()
        if address is None:
            self._report_own_runs()
            return None
        asked = self._asked_by_attempt[attempt] = trio.Event()
        try:
            for _ in range(times):
                self._port.send(address, ask)
                with trio.move_on_after(ASK_S):
                    await asked.wait()
                    return self._answer_by_attempt.pop(attempt, None)
        finally:
            self._asked_by_attempt.pop(attempt, None)
            self._answer_by_attempt.pop(attempt, None)
        log(Event.HOME_SILENT, request=attempt, address=address)
        return None

    def _ask_turn(self, run: Run, engine: EnginePlan) -> None:
        attempt, source, order = run.work.attempt, run.runner, self._move_order(run)
        address = self._port.home_address()
        if address is not None:
            own = self.kernel.settings.instance
            self._port.send(address, MoveAsk(own, attempt, source, order))
            return
        self._report_own_runs()
        self._asker_by_attempt[attempt] = self.kernel.settings.instance
        if self._turns.ask(trio.current_time(), source, attempt, order):
            self._give_turn(attempt, source)

    def _give_turn(self, attempt: str, source: RunnerId) -> None:
        """Tell the instance of a run where to copy it; give the turn up if there is no room."""
        run = self._placer.book.run(attempt)
        engine = None if run is None else self._store.engine(run.work.service)
        destination = None
        if engine is not None:
            destination = self._placer.begin_copy(trio.current_time(), run, engine)
        asker = self._asker_by_attempt.get(attempt)
        if destination is None or asker is None:
            self._turns.done(source, attempt)
        else:
            self._answer(asker, MoveTurn(attempt, destination))

    def _end_turn(self, attempt: str, source: RunnerId) -> None:
        self._turns.done(source, attempt)
        self._asker_by_attempt.pop(attempt, None)
        following = self._turns.grant(trio.current_time(), source)
        if following is not None:
            self._give_turn(following, source)

    def _move_order(self, run: Run) -> float:
        """Give the order of moves off one runner: urgent first, then those with most to lose."""
        return RANK_STEP * run.work.rank - self.tokens_left(run)

    def tokens_left(self, run: Run) -> float:
        """Give the output that a run is still expected to make."""
        return self._placer.book.tokens_left(run)

    def _run_rows(self) -> list:
        return [run_row(run) for run in self._run_by_attempt.values()]

    def _report_own_runs(self) -> None:
        own = self.kernel.settings.instance
        self._placer.book.reported(own, list(self._run_by_attempt.values()))

    def _load_rows(self) -> list:
        self._report_own_runs()
        now_s = trio.current_time()
        self._placer.gone(known.instance.id for known in self._port.fleet.live(now_s))
        return self._placer.book.load_rows(now_s)

    def _take_runs(self, instance: InstanceId, rows: list) -> None:
        self._placer.book.reported(instance, [run_of(row) for row in rows])

    def _take_measure(self, runner: RunnerId, report: RunnerReport) -> None:
        self._report_own_runs()
        self._placer.book.measured(trio.current_time(), runner, report.kv_used_tokens)

    def _take_news(self, news: FleetNews) -> None:
        self._placer.book.told(trio.current_time(), news.loads)

    def _answer_place(self, ask: PlaceAsk, sender: tuple[str, int]) -> None:
        work = work_of(ask.work)
        asker = InstanceId(ask.sender)
        engine = self._store.engine(work.service)
        if engine is None or not self._can_answer(asker):
            return  # The asker places by its own view.
        now_s = trio.current_time()
        self._asker_by_attempt[work.attempt] = asker
        self._placer.wait(now_s, work, engine)
        if self._settle(now_s, work.attempt):
            return
        retry_ms = round(self._placer.room_after_s(now_s, work) * 1000)
        self._answer(asker, PlaceAnswer(work.attempt, "", "", retry_ms))

    def _settle(self, now_s: float, asked: str = "") -> bool:
        """Place what waits and tell those who asked; tell whether `asked` was among them."""
        self._report_own_runs()
        placed = self._placer.settle(now_s)
        for one in placed:
            asker = self._asker_by_attempt.pop(one.attempt, None)
            if asker is not None:
                backup = one.placement.backup or ""
                self._answer(asker, PlaceAnswer(one.attempt, one.placement.runner, backup, 0))
        return any(one.attempt == asked for one in placed)

    def _can_answer(self, asker: InstanceId) -> bool:
        own = self.kernel.settings.instance
        return asker == own or self._port.address_of(asker) is not None

    def _answer(self, asker: InstanceId, message: Message) -> None:
        """Send an answer to an instance, this one perhaps."""
        address = self._port.address_of(asker)
        if address is not None:
            self._port.send(address, message)
        elif isinstance(message, MoveTurn):
            self._take_turn(message, ("", 0))
        else:
            self._take_answer(message, ("", 0))

    def _take_drop(self, drop: PlaceDrop, sender: tuple[str, int]) -> None:
        self._placer.ended(drop.attempt)
        self._asker_by_attempt.pop(drop.attempt, None)

    def _take_answer(self, answer: PlaceAnswer | BackupAnswer, sender: tuple[str, int]) -> None:
        asked = self._asked_by_attempt.get(answer.attempt)
        if asked is not None:
            self._answer_by_attempt[answer.attempt] = answer
            asked.set()

    def _answer_backup(self, ask: BackupAsk, sender: tuple[str, int]) -> None:
        run = self._placer.book.run(ask.attempt)
        engine = None if run is None else self._store.engine(run.work.service)
        address = self._port.address_of(InstanceId(ask.sender))
        if address is None or engine is None:
            return  # The asker goes on without a copy.
        now_s = trio.current_time()
        backup = self._placer.move_run(now_s, ask.attempt, RunnerId(ask.runner), engine)
        self._port.send(address, BackupAnswer(ask.attempt, backup or ""))

    def _answer_move(self, ask: MoveAsk, sender: tuple[str, int]) -> None:
        asker = InstanceId(ask.sender)
        if not self._can_answer(asker) or self._placer.book.run(ask.attempt) is None:
            return  # Asked again soon; the run's report may have been lost.
        self._asker_by_attempt[ask.attempt] = asker
        source = RunnerId(ask.source)
        if self._turns.ask(trio.current_time(), source, ask.attempt, ask.order):
            self._give_turn(ask.attempt, source)

    def _take_turn(self, turn: MoveTurn, sender: tuple[str, int]) -> None:
        waiting = self._turn_by_attempt.get(turn.attempt)
        if waiting is not None:
            self._destination_by_attempt[turn.attempt] = turn.destination
            waiting.set()

    def _take_done(self, done: MoveDone, sender: tuple[str, int]) -> None:
        self._end_turn(done.attempt, RunnerId(done.source))


def _placement(answer: PlaceAnswer) -> Placement:
    backup = RunnerId(answer.backup) if answer.backup else None
    return Placement(RunnerId(answer.runner), backup)
