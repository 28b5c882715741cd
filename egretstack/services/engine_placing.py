"""Where generations run: asked of the home, or decided here while the home is silent."""

import trio

from egretstack.errors import ErrorKind
from egretstack.events import Event, log
from egretstack.fleet import FleetNews, MoveAsk, MoveDone, MoveTurn, PlaceAnswer, PlaceAsk
from egretstack.ids import InstanceId, RunnerId
from egretstack.kernel import Kernel, Service
from egretstack.placing import (
    MoveTurns,
    Placement,
    Placer,
    PlaceRefused,
    Run,
    Work,
    run_of,
    run_row,
    work_of,
    work_row,
)
from egretstack.relay import EnginePlacing, RequestFailed
from egretstack.routing import EnginePlan
from egretstack.services.fleet_port import FleetPort
from egretstack.services.store_reading import StoreReading

ASK_S = 0.04
"""Time for the home's answer, which takes some 2 ms; then the question is sent once more."""
ASK_TIMES = 2
MOVE_ASK_S = 0.08
"""How often a run that has to move asks whether it is its turn."""
RANK_STEP = 1e6
"""Sets ranks further apart than any run has tokens."""


class EnginePlacingService(Service, EnginePlacing):
    """The placer of this instance, and the way to the home's."""

    name = "engine_placing"
    requires = ("fleet_port", "store_reading")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._port = kernel.get(FleetPort)
        self._store = kernel.get(StoreReading)
        self._placer = Placer(self._port.runners, kernel.rng)
        self._turns = MoveTurns()
        self._run_by_attempt: dict[str, Run] = {}
        self._answer_by_attempt: dict[str, PlaceAnswer] = {}
        self._asked_by_attempt: dict[str, trio.Event] = {}
        self._destination_by_attempt: dict[str, str] = {}

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Answer peers until cancelled."""
        self._port.runs = self._run_rows
        self._port.loads = self._load_rows
        self._port.on_news(self._take_news)
        self._port.on_report(self._take_runs)
        self._port.handle(PlaceAsk, self._answer_place)
        self._port.handle(PlaceAnswer, self._take_place)
        self._port.handle(MoveAsk, self._answer_move)
        self._port.handle(MoveTurn, self._take_turn)
        self._port.handle(MoveDone, self._take_done)
        task_status.started()
        await trio.sleep_forever()

    async def place(self, work: Work, engine: EnginePlan) -> Placement:
        """Give the place of a generation. Raises RequestFailed."""
        answer = await self._ask_home(work)
        if answer is None:
            whole = self._port.is_home()
            decided = self._placer.place(trio.current_time(), work, engine, whole=whole)
        elif answer.runner:
            backup = RunnerId(answer.backup) if answer.backup else None
            decided = Placement(RunnerId(answer.runner), backup)
        else:
            decided = PlaceRefused(answer.retry_after_ms / 1000)
        if isinstance(decided, PlaceRefused):
            log(Event.PLACE_REFUSED, request=work.attempt, retry_s=decided.retry_after_s)
            raise RequestFailed(
                ErrorKind.ENGINES_FULL, "no engine is free", retry_after_s=decided.retry_after_s
            )
        log(
            Event.PLACED,
            request=work.attempt,
            runner=decided.runner,
            backup=decided.backup,
            by="home" if answer else "self",
            prompt=work.prompt_tokens,
            most=work.max_output_tokens,
            hint=work.length_hint,
            rank=work.rank,
            runners_age_s=round(self._port.runners.age_s(trio.current_time()), 3),
        )
        return decided

    def begin(self, run: Run) -> None:
        """Note a run that goes out."""
        self._run_by_attempt[run.work.attempt] = run

    def end(self, run: Run) -> None:
        """Note that a run is over here."""
        self._run_by_attempt.pop(run.work.attempt, None)
        self._placer.ended(run.work.attempt)

    def first_token(self, prompt_tokens: int, waited_s: float) -> None:
        """Note how long a run waited for its first token."""
        self._placer.first_token(prompt_tokens, waited_s)

    def backup_for(self, run: Run, engine: EnginePlan) -> RunnerId | None:
        """Choose where the memory of a run that moved is copied from now on."""
        self._report_own_runs()
        whole = self._port.is_home()
        return self._placer.backup_for(trio.current_time(), run, engine, whole=whole)

    async def move_turn(self, run: Run, engine: EnginePlan) -> RunnerId:
        """Wait until it is a run's turn to be copied off its runner; give the destination."""
        attempt = run.work.attempt
        while True:
            destination = self._destination_by_attempt.pop(attempt, "") or self._ask_turn(
                run, engine
            )
            if destination:
                return RunnerId(destination)
            await trio.sleep(MOVE_ASK_S)

    def move_done(self, attempt: str, source: RunnerId) -> None:
        """Give the turn up."""
        self._destination_by_attempt.pop(attempt, None)
        address = self._port.home_address()
        if address is None:
            self._turns.done(source, attempt)
        else:
            self._port.send(address, MoveDone(self.kernel.settings.instance, attempt, source))

    async def _ask_home(self, work: Work) -> PlaceAnswer | None:
        address = self._port.home_address()
        if address is None:
            self._report_own_runs()
            return None
        asked = self._asked_by_attempt[work.attempt] = trio.Event()
        ask = PlaceAsk(self.kernel.settings.instance, work_row(work))
        try:
            for _ in range(ASK_TIMES):
                self._port.send(address, ask)
                with trio.move_on_after(ASK_S):
                    await asked.wait()
                    return self._answer_by_attempt.pop(work.attempt, None)
        finally:
            self._asked_by_attempt.pop(work.attempt, None)
            self._answer_by_attempt.pop(work.attempt, None)
        log(Event.HOME_SILENT, request=work.attempt, address=address)
        return None

    def _ask_turn(self, run: Run, engine: EnginePlan) -> str:
        attempt, source = run.work.attempt, run.runner
        address = self._port.home_address()
        if address is not None:
            order = _move_order(run)
            own = self.kernel.settings.instance
            self._port.send(address, MoveAsk(own, attempt, source, order))
            return ""
        return self._turn(attempt, source, _move_order(run), run, engine)

    def _turn(
        self, attempt: str, source: RunnerId, order: float, run: Run, engine: EnginePlan
    ) -> str:
        if not self._turns.ask(trio.current_time(), source, attempt, order):
            return ""
        destination = self._placer.destination(trio.current_time(), run, engine, whole=True)
        if destination is None:
            self._turns.done(source, attempt)
        return destination or ""

    def _run_rows(self) -> list:
        return [run_row(run) for run in self._run_by_attempt.values()]

    def _report_own_runs(self) -> None:
        own = self.kernel.settings.instance
        self._placer.reported(own, list(self._run_by_attempt.values()))

    def _load_rows(self) -> list:
        self._report_own_runs()
        now_s = trio.current_time()
        self._placer.gone(known.instance.id for known in self._port.fleet.live(now_s))
        return self._placer.load_rows(now_s)

    def _take_runs(self, instance: InstanceId, rows: list) -> None:
        self._placer.reported(instance, [run_of(row) for row in rows])

    def _take_news(self, news: FleetNews) -> None:
        self._placer.told(trio.current_time(), news.loads)

    def _answer_place(self, ask: PlaceAsk, sender: tuple[str, int]) -> None:
        work = work_of(ask.work)
        address = self._port.address_of(InstanceId(ask.sender))
        engine = self._store.engine(work.service)
        if address is None or engine is None:
            return  # The asker places by its own view.
        self._report_own_runs()
        decided = self._placer.place(trio.current_time(), work, engine, whole=True)
        if isinstance(decided, PlaceRefused):
            retry_ms = round(decided.retry_after_s * 1000)
            answer = PlaceAnswer(work.attempt, "", "", retry_ms)
        else:
            answer = PlaceAnswer(work.attempt, decided.runner, decided.backup or "", 0)
        self._port.send(address, answer)

    def _take_place(self, answer: PlaceAnswer, sender: tuple[str, int]) -> None:
        asked = self._asked_by_attempt.get(answer.attempt)
        if asked is not None:
            self._answer_by_attempt[answer.attempt] = answer
            asked.set()

    def _answer_move(self, ask: MoveAsk, sender: tuple[str, int]) -> None:
        address = self._port.address_of(InstanceId(ask.sender))
        run = self._placer.run(ask.attempt)
        engine = None if run is None else self._store.engine(run.work.service)
        if address is None or engine is None:
            return  # Asked again soon; the run's report may have been lost.
        destination = self._turn(ask.attempt, RunnerId(ask.source), ask.order, run, engine)
        if destination:
            self._port.send(address, MoveTurn(ask.attempt, destination))

    def _take_turn(self, turn: MoveTurn, sender: tuple[str, int]) -> None:
        if turn.attempt in self._run_by_attempt:
            self._destination_by_attempt[turn.attempt] = turn.destination

    def _take_done(self, done: MoveDone, sender: tuple[str, int]) -> None:
        self._turns.done(RunnerId(done.source), done.attempt)


def _move_order(run: Run) -> float:
    """Give the order of moves off one runner: urgent first, then those with the most to lose."""
    left = run.peak_tokens() - run.work.prompt_tokens - run.made_tokens
    return RANK_STEP * run.work.rank - left
