"""An engine whose streams follow a script, and other test doubles for a pump."""

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
    RequestId,
    RunnerId,
    ServiceName,
    SessionId,
)
from egretstack.policy import SchedulingRequest
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
"""On the mock clock; every recovery ends within this time."""


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
    """Each connection plays the next script: it raises the errors in it and ends where it ends.

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
    """Places each request on the next engine of a list, then refuses."""

    def __init__(self, engines: list[EngineClient]) -> None:
        self.engines = engines
        self.placed: list[Placement] = []
        self.placed_requests: list[SchedulingRequest] = []

    async def place(self, request, may_evict):
        await trio.lowlevel.checkpoint()
        if len(self.placed) == len(self.engines):
            raise EgretError(ErrorKind.NO_RUNNER, "no engine is left", retry_after_s=7)
        number = len(self.placed)
        self.placed.append(Placement(request, RunnerId(f"r{number}"), self.engines[number], 1))
        self.placed_requests.append(request)
        return self.placed[-1]

    async def place_again(self, placement):
        return await self.place(placement.request, None)

    def engine(self, runner_id):
        return None

    def report_started(self, request):
        """Ignore the report."""

    def report_progress(self, request, tokens, delivered):
        """Ignore the report."""

    def report_ended(self, request, tokens, reason):
        """Ignore the report."""


def make_request(streamed: bool) -> SchedulingRequest:
    return SchedulingRequest(
        id=RequestId("work"),
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
class PumpedSession:
    """One session with its pump, and the events that a reader received."""

    session: Session
    pump: Pump
    placer: ListedPlacer
    received: list[EngineEvent] = field(default_factory=list)

    @property
    def numbers(self) -> list[int]:
        return [event.sequence for event in self.received]

    @property
    def generations(self) -> set[GenerationId]:
        return {event.generation for event in self.received}

    async def read(self) -> None:
        """Read to the end, as the caller's connection does."""
        reader = self.session.supersede()
        async for batch in self.session.batches(reader, self.session.last_read, 1000):
            self.received.extend(batch)


@asynccontextmanager
async def open_session(
    *engines: EngineClient,
    streamed=True,
    after=None,
    unread_timeout_s=60.0,
    max_output_tokens=MAX_OUTPUT,
) -> AsyncIterator[PumpedSession]:
    """Yield a session whose pump runs; with `after`, one that was taken over from another entry."""
    placer = ListedPlacer(list(engines))
    request = make_request(streamed)
    generation = GenerationRequest(request.model, "prompt", max_output_tokens, 1)
    session_request = SessionRequest(
        request.account, request.service, generation, streamed, unread_timeout_s
    )
    taken_over = after is not None
    session = Session(request.id, session_request, Cursor(ONE, after) if taken_over else Cursor())
    placement = Placement(request, RunnerId("r"), engines[0], 1) if taken_over else None
    if taken_over:
        session.id = SessionId("resp_x")
    with trio.fail_after(LIMIT_S):
        async with trio.open_nursery() as nursery:
            dependencies = PumpDependencies(
                placer, lambda ref: SessionId("resp_x"), InstanceId("i"), nursery.start_soon
            )
            pump = Pump(session, request, dependencies, RecoveryBudget(), placement)
            nursery.start_soon(pump.run)
            yield PumpedSession(session, pump, placer)
            nursery.cancel_scope.cancel()


async def run_session(*engines: EngineClient, **options: object) -> PumpedSession:
    """Run a session and read it to its end; return it."""
    async with open_session(*engines, **options) as pumped:
        await _read_to_end(pumped)
    return pumped


async def _read_to_end(pumped: PumpedSession) -> None:
    if pumped.session.request.streamed:
        await pumped.read()
    await pumped.session.wait_for_end()
    await trio.testing.wait_all_tasks_blocked()
