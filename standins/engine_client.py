"""An engine client that uses a live engine in the same process, with injected faults."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from egretstack.ids import GenerationId, ModelName
from egretstack.upstreams import (
    CacheEvent,
    EngineBroken,
    EngineClient,
    EngineEvent,
    EngineNoAnswer,
    EngineRefused,
    EngineSilent,
    EngineUnreachable,
    GenerationNotFound,
    GenerationRequest,
    GenerationState,
    LoadReport,
    Order,
)
from standins.live_engine import Generation, LiveEngine

CONNECT_TIMEOUT_S = 2.0
REPEATED_EVENTS = 2
SKIPPED_OFFSET = 3


class EngineFaults:
    """Faults of one engine, shared by all its clients.

    `dead`: connections are refused and open streams break. `stalled`: no data is transferred on any
    connection. `silent_before`: streams opened before that time never send again; new ones work.
    `full`: new generations are refused. `faulty_resume`: a resumed stream repeats some events, and
    the first resumed stream of each generation skips an event.
    """

    def __init__(self) -> None:
        self.dead = False
        self.stalled = False
        self.full = False
        self.faulty_resume = False
        self.skipped: set[GenerationId] = set()
        self.silent_before = -1.0
        self.changed = trio.Event()

    def wake(self) -> None:
        """Make open streams apply a change of the faults."""
        self.changed.set()
        self.changed = trio.Event()


class InProcessEngine(EngineClient):
    """Client of `live`; `silence_s` is the max time between two events, in seconds."""

    def __init__(self, live: LiveEngine, faults: EngineFaults, silence_s: float) -> None:
        self._live = live
        self._faults = faults
        self._silence_s = silence_s

    @asynccontextmanager
    async def generate(self, request: GenerationRequest) -> AsyncIterator[AsyncIterator]:
        """Start a generation."""
        await self._connect()
        if self._faults.full:
            raise EngineRefused("full", 1.0)
        yield self._events(self._live.start(request), -1)

    @asynccontextmanager
    async def resume(self, generation: GenerationId, after: int) -> AsyncIterator[AsyncIterator]:
        """Stream a generation's events after a sequence number."""
        await self._connect()
        found = self._find(generation)
        if self._faults.faulty_resume:
            yield self._faulty_events(found, after)
        else:
            yield self._events(found, after)

    async def cancel(self, generation: GenerationId) -> None:
        """Cancel a generation."""
        await self._connect()
        if generation in self._live.by_id:
            self._live.cancel(self._live.by_id[generation])

    async def state(self, generation: GenerationId) -> GenerationState:
        """Return the state of a generation."""
        await self._connect()
        return self._find(generation).state

    async def load(self) -> LoadReport:
        """Return the load report."""
        await self._connect()
        return self._live.load()

    async def cache_events(self, after: int) -> list[CacheEvent]:
        """Return cache events after a number."""
        await self._connect()
        return self._live.cache_events(after)

    async def models(self) -> tuple[ModelName, ...]:
        """Return the models that the engine serves."""
        await self._connect()
        return self._live.models

    async def order(self, order: Order) -> None:
        """Send an order to the engine."""
        await self._connect()
        self._live.order(order)

    def _find(self, generation: GenerationId) -> Generation:
        if generation not in self._live.by_id:
            raise GenerationNotFound(generation)
        return self._live.by_id[generation]

    async def _connect(self) -> None:
        await trio.lowlevel.checkpoint()
        if self._faults.dead:
            raise EngineUnreachable("connection refused")
        if self._faults.stalled:
            await trio.sleep(CONNECT_TIMEOUT_S)
            raise EngineNoAnswer("connection timed out")

    async def _events(self, generation: Generation, after: int) -> AsyncIterator[EngineEvent]:
        opened_s = trio.current_time()
        position = after + 1
        while True:
            changed = generation.changed
            faults_changed = self._faults.changed
            if self._faults.dead:
                raise EngineBroken("connection reset")
            if not self._is_silent(opened_s):
                while position < len(generation.events):
                    event = generation.events[position]
                    position += 1
                    yield event
                if generation.ended_s is not None:
                    return
            await self._wait(changed, faults_changed)

    async def _faulty_events(
        self, generation: Generation, after: int
    ) -> AsyncIterator[EngineEvent]:
        skipped = after + SKIPPED_OFFSET if generation.id not in self._faults.skipped else None
        async for event in self._events(generation, max(-1, after - REPEATED_EVENTS)):
            if event.sequence == skipped:
                self._faults.skipped.add(generation.id)
            else:
                yield event

    def _is_silent(self, opened_s: float) -> bool:
        return self._faults.stalled or opened_s < self._faults.silent_before

    async def _wait(self, *events: trio.Event) -> None:
        with trio.move_on_after(self._silence_s) as timeout:
            async with trio.open_nursery() as nursery:
                for event in events:
                    nursery.start_soon(_cancel_after, event, nursery.cancel_scope)
        if timeout.cancelled_caught:
            raise EngineSilent("no event")


async def _cancel_after(event: trio.Event, scope: trio.CancelScope) -> None:
    await event.wait()
    scope.cancel()
