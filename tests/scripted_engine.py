"""An engine whose streams follow a script, and what a pump needs besides."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import trio

from egretstack.delivery import Cursor, RecoveryBudget
from egretstack.errors import EgretError, ErrorKind
from egretstack.ids import (
    AccountId,
    GenerationId,
    InstanceId,
    ModelName,
    RunnerId,
    ServiceName,
    SessionId,
    WorkId,
)
from egretstack.policy import Work
from egretstack.sessions import Placement, Placer, Pump, PumpDependencies, Session, SessionRequest
from egretstack.upstreams import (
    EngineBroken,
    EngineClient,
    EngineError,
    EngineEvent,
    EngineEventKind,
    EngineSilent,
    GenerationRequest,
    GenerationState,
)

ONE = GenerationId("one")
TWO = GenerationId("two")
SILENCE_S = 5.0
SILENT = EngineSilent("no event")
BROKEN = EngineBroken("reset")
MAX_OUTPUT = 100
START_DEADLINE_S = 10.0
LIMIT_S = 600.0
"""On the mock clock; every recovery ends before."""


def event(sequence: int, kind: EngineEventKind, generation: GenerationId = ONE) -> EngineEvent:
    text = f"w{sequence} " if kind is EngineEventKind.TOKEN else ""
    return EngineEvent(generation, sequence, kind, text)


def created(generation: GenerationId = ONE) -> EngineEvent:
    return event(0, EngineEventKind.CREATED, generation)


def tokens(first: int, last: int, generation: GenerationId = ONE) -> list[EngineEvent]:
    return [event(n, EngineEventKind.TOKEN, generation) for n in range(first, last + 1)]


def completed(sequence: int, generation: GenerationId = ONE) -> EngineEvent:
    return event(sequence, EngineEventKind.COMPLETED, generation)


Script = list[EngineEvent | EngineError]


@dataclass
class ScriptedEngine(EngineClient):
    """Each connection plays the next script; an error in it is raised, and its end ends it.

    Connections after the last script raise `then`.
    """

    scripts: list[Script]
    then: EngineError = field(default_factory=lambda: EngineBroken("no more scripts"))
    states: list[GenerationState | EngineError] = field(default_factory=list)
    resumed_after: list[int] = field(default_factory=list)
    generated: int = 0
    cancelled: list[GenerationId] = field(default_factory=list)

    @asynccontextmanager
    async def generate(self, request: GenerationRequest) -> AsyncIterator[AsyncIterator]:
        self.generated += 1
        yield self._play()

    @asynccontextmanager
    async def resume(self, generation: GenerationId, after: int) -> AsyncIterator[AsyncIterator]:
        self.resumed_after.append(after)
        yield self._play()

    async def cancel(self, generation: GenerationId) -> None:
        await trio.lowlevel.checkpoint()
        self.cancelled.append(generation)

    async def state(self, generation: GenerationId) -> GenerationState:
        await trio.lowlevel.checkpoint()
        answer = self.states.pop(0) if len(self.states) > 1 else self.states[0]
        if isinstance(answer, EngineError):
            raise answer
        return answer

    async def load(self):
        raise NotImplementedError

    async def cache_events(self, after: int):
        raise NotImplementedError

    async def models(self):
        raise NotImplementedError

    async def order(self, order):
        raise NotImplementedError

    async def _play(self) -> AsyncIterator[EngineEvent]:
        script = self.scripts.pop(0) if self.scripts else [self.then]
        for step in script:
            await trio.lowlevel.checkpoint()
            if isinstance(step, EngineSilent):
                await trio.sleep(SILENCE_S)
            if isinstance(step, EngineError):
                raise step
            yield step


class ListedPlacer(Placer):
    """Gives out engines in their order, then refuses."""

    def __init__(self, engines: list[EngineClient]) -> None:
        self.engines = engines
        self.placed: list[Placement] = []
        self.placed_work: list[Work] = []

    async def place(self, work, may_evict):
        await trio.lowlevel.checkpoint()
        if len(self.placed) == len(self.engines):
            raise EgretError(ErrorKind.NO_RUNNER, "no engine is left", retry_after_s=7)
        number = len(self.placed)
        self.placed.append(Placement(work, RunnerId(f"r{number}"), self.engines[number], 1))
        self.placed_work.append(work)
        return self.placed[-1]

    async def place_again(self, placement):
        return await self.place(placement.request, None)

    def engine(self, runner_id):
        return None

    def report_started(self, work):
        """Take no note."""

    def report_progress(self, work, tokens, delivered):
        """Take no note."""

    def report_ended(self, work, tokens, reason):
        """Take no note."""


def make_work(streamed: bool) -> Work:
    return Work(
        id=WorkId("work"),
        account=AccountId("acme"),
        service=ServiceName("llm"),
        model=ModelName("story"),
        prompt_tokens=1,
        max_output_tokens=MAX_OUTPUT,
        prefix="",
        value=100,
        deadline_s=trio.current_time() + START_DEADLINE_S,
        streamed=streamed,
    )


@dataclass
class Run:
    """One session with its pump, as a test sees it."""

    session: Session
    pump: Pump
    placer: ListedPlacer
    seen: list[EngineEvent] = field(default_factory=list)

    @property
    def numbers(self) -> list[int]:
        return [one.sequence for one in self.seen]

    @property
    def generations(self) -> set[GenerationId]:
        return {one.generation for one in self.seen}

    async def read(self) -> None:
        """Read all there is, as the caller's connection does."""
        reader = self.session.supersede()
        async for batch in self.session.batches(reader, self.session.last_read, 1000):
            self.seen.extend(batch)


@asynccontextmanager
async def opened_run(
    *engines: EngineClient, streamed=True, after=None, unread_s=60.0, max_output=MAX_OUTPUT
) -> AsyncIterator[Run]:
    """Give a session whose pump runs; with `after` it is one picked up from another entry."""
    placer = ListedPlacer(list(engines))
    work = make_work(streamed)
    generation = GenerationRequest(work.model, "prompt", max_output, 1)
    request = SessionRequest(work.account, work.service, generation, streamed, unread_s)
    picked_up = after is not None
    session = Session(work.id, request, Cursor(ONE, after) if picked_up else Cursor())
    placement = Placement(work, RunnerId("r"), engines[0], 1) if picked_up else None
    if picked_up:
        session.id = SessionId("resp_x")
    with trio.fail_after(LIMIT_S):
        async with trio.open_nursery() as nursery:
            links = PumpDependencies(
                placer, lambda ref: SessionId("resp_x"), InstanceId("i"), nursery.start_soon
            )
            pump = Pump(session, work, links, RecoveryBudget(), placement)
            nursery.start_soon(pump.run)
            yield Run(session, pump, placer)
            nursery.cancel_scope.cancel()


async def read_out(*engines: EngineClient, **options: object) -> Run:
    """Run a session to its end and read it; give what was seen."""
    async with opened_run(*engines, **options) as run:
        await _read_to_end(run)
    return run


async def _read_to_end(run: Run) -> None:
    if run.session.request.streamed:
        await run.read()
    await run.session.wait_for_end()
    await trio.testing.wait_all_tasks_blocked()
