"""Access of one process to the stand-ins of a simulated deployment, through the process's gate."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from egretstack.callers import AsgiApp
from egretstack.delivery import SessionIdCipher
from egretstack.errors import NotRunProof
from egretstack.ids import GenerationId, ModelName, RunnerId
from egretstack.kernel import Kernel
from egretstack.objectapi import InstanceList, Member
from egretstack.services.platform_access import PlatformAccess
from egretstack.upstreams import (
    CacheEvent,
    CallRequest,
    CallResponse,
    EngineClient,
    EngineEvent,
    GenerationRequest,
    GenerationState,
    LoadReport,
    Order,
    OutcomeUnknown,
    PlainService,
    Unsent,
)
from standins.engine_client import InProcessEngine
from standins.gate import Gate, GatedObjectApi, Seam
from standins.object_store import InProcessObjectApi
from standins.plain_service import InProcessPlainService

if TYPE_CHECKING:
    from standins.world import World

SESSION_KEY = SessionIdCipher.new_key()
CONNECT_TIMEOUT_S = 2.0


class GatedEngine(EngineClient):
    """The client of an engine in one process."""

    def __init__(self, inner: EngineClient, gate: Gate) -> None:
        self._inner = inner
        self._gate = gate

    @asynccontextmanager
    async def generate(self, request: GenerationRequest) -> AsyncIterator[AsyncIterator]:
        """Start a generation."""
        async with AsyncExitStack() as stack:
            stream = self._inner.generate(request)
            events = await self._gate.send(
                Seam.ENGINE_REQUESTED, request.prompt, lambda: stack.enter_async_context(stream)
            )
            await self._gate.notify(Seam.ENGINE_ACCEPTED, request.prompt)
            yield self._events(events)

    @asynccontextmanager
    async def resume(self, generation: GenerationId, after: int) -> AsyncIterator[AsyncIterator]:
        """Stream a generation's events after a sequence number."""
        await self._gate.wait()
        async with self._inner.resume(generation, after) as events:
            await self._gate.wait()
            yield self._events(events)

    async def cancel(self, generation: GenerationId) -> None:
        """Cancel a generation."""
        await self._gate.call(lambda: self._inner.cancel(generation))

    async def state(self, generation: GenerationId) -> GenerationState:
        """Return the state of a generation."""
        return await self._gate.call(lambda: self._inner.state(generation))

    async def models(self) -> tuple[ModelName, ...]:
        """Return the models that the engine serves."""
        return await self._gate.call(self._inner.models)

    async def load(self) -> LoadReport:
        """Return the load report."""
        return await self._gate.call(self._inner.load)

    async def cache_events(self, after: int) -> list[CacheEvent]:
        """Return cache events after a number."""
        return await self._gate.call(lambda: self._inner.cache_events(after))

    async def order(self, order: Order) -> None:
        """Send an order to the engine."""
        await self._gate.send(Seam.ORDER_SENT, order, lambda: self._inner.order(order))
        await self._gate.wait()
        await self._gate.notify(Seam.ORDER_ACCEPTED, order)

    async def _events(self, events: AsyncIterator[EngineEvent]) -> AsyncIterator[EngineEvent]:
        async for event in events:
            await self._gate.wait()
            yield event


@dataclass
class PlainFaults:
    """Faults of one runner of a plain service.

    `dead`: connections are refused and calls in progress get no answer, although a call that has
    arrived is still executed. `stalled`: no data is transferred. `silent`: answers of calls in
    progress are lost without a connection error; reset `silent` to let new calls work.
    """

    dead: bool = False
    stalled: bool = False
    silent: bool = False


@dataclass
class _SentCall:
    """A call that arrived, and its outcome."""

    done: trio.Event = field(default_factory=trio.Event)
    outcome: CallResponse | Exception | None = None


class GatedPlain(PlainService):
    """The client of a plain service's runner in one process.

    A call that arrived is executed whatever happens to its connection or its caller.
    """

    def __init__(
        self, inner: InProcessPlainService, faults: PlainFaults, gate: Gate, nursery: trio.Nursery
    ) -> None:
        self._inner = inner
        self._faults = faults
        self._gate = gate
        self._nursery = nursery

    async def call(
        self, request: CallRequest, check: Callable[[], None] | None = None
    ) -> CallResponse:
        """Make a call; a pause takes effect between the last check and the first byte."""
        await self._gate.wait()
        await self._connect()
        if check is not None:
            check()
        sent = await self._gate.send(Seam.CALL_SENT, request, lambda: self._send(request))
        with trio.move_on_after(request.timeout_s):
            answer = await self._wait_for_outcome(sent)
            await self._gate.notify(Seam.CALL_RAN, request)
            await self._receive_answer()
            return answer
        await self._gate.wait()
        raise OutcomeUnknown("no answer in time")

    async def _connect(self) -> None:
        if self._inner.connecting is not None:
            await self._inner.connecting.wait()
        if self._faults.stalled:
            await trio.sleep(CONNECT_TIMEOUT_S)
            raise Unsent(NotRunProof("connection timed out"))
        self._refuse_if_dead()

    def _refuse_if_dead(self) -> None:
        if self._faults.dead:
            raise Unsent(NotRunProof("connection refused"))

    async def _send(self, request: CallRequest) -> "_SentCall":
        """Execute the call in a task of the deployment, which outlives this process."""
        self._refuse_if_dead()
        if self._inner.sending is not None:
            # A paused process runs no timers: its bytes are sent before a timeout fires.
            with trio.CancelScope(shield=True):
                await self._inner.sending.wait()
        sent = _SentCall()

        async def execute() -> None:
            try:
                sent.outcome = await self._inner.call(request)
            except (Unsent, OutcomeUnknown) as error:
                sent.outcome = error
            sent.done.set()

        self._nursery.start_soon(execute)
        return sent

    async def _wait_for_outcome(self, sent: "_SentCall") -> CallResponse:
        await sent.done.wait()
        if isinstance(sent.outcome, CallResponse):
            return sent.outcome
        raise sent.outcome

    async def _receive_answer(self) -> None:
        if self._faults.dead:
            raise OutcomeUnknown("connection reset")
        while self._faults.stalled:
            await trio.sleep(0.1)
        if self._faults.silent:
            await trio.sleep_forever()


class GatedList(InstanceList):
    """The client of the instance list in one process."""

    def __init__(self, inner: InstanceList, gate: Gate) -> None:
        self._inner = inner
        self._gate = gate

    async def members(self) -> list[Member]:
        """Return every member."""
        return await self._gate.call(self._inner.members)


class GatedStream(trio.abc.Stream):
    """One process's end of a stream to a peer."""

    def __init__(self, inner: trio.abc.Stream, gate: Gate) -> None:
        self._inner = inner
        self._gate = gate

    async def send_all(self, data: bytes) -> None:
        """Send data."""
        await self._gate.wait()
        await self._inner.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Wait as the inner stream does."""
        await self._inner.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive data."""
        data = await self._inner.receive_some(max_bytes)
        await self._gate.wait()
        return data

    async def aclose(self) -> None:
        """Close, as the operating system does for a killed process too."""
        await self._inner.aclose()


class InProcessAccess(PlatformAccess):
    """Access to the stand-ins of a simulated deployment."""

    def __init__(self, kernel: Kernel, world: "World", host: str, gate: Gate) -> None:
        super().__init__(kernel)
        self._world = world
        self._host = host
        self.gate = gate
        self.app_by_address: dict[str, AsgiApp] = {}
        self.store_client = GatedObjectApi(InProcessObjectApi(world.store), gate)
        self.object_api = self.budgeted(self.store_client)
        self.instance_list = GatedList(world.listed, gate)

    def engine(self, member: Member) -> EngineClient:
        """Create the client of an engine."""
        standin = self._world.engine_by_id[RunnerId(member.id)]
        silence_s = self.kernel.settings.number("engines", "silence_s")
        inner = InProcessEngine(standin.live, standin.faults, silence_s)
        return GatedEngine(inner, self.gate)

    def plain(self, member: Member) -> PlainService:
        """Create the client of a plain service's runner."""
        inner = self._world.plain_by_id[member.id]
        faults = self._world.plain_faults_by_id[member.id]
        return GatedPlain(inner, faults, self.gate, self._world.nursery)

    async def open_stream(self, host: str, port: int) -> trio.abc.Stream:
        """Connect to a peer."""
        await self.gate.wait()
        stream = await self._world.network.connect(self._host, host, port)
        return GatedStream(stream, self.gate)

    async def serve_streams(
        self,
        handler: Callable[[trio.abc.Stream], Awaitable[None]],
        host: str,
        port: int,
        task_status: trio.TaskStatus[object],
    ) -> None:
        """Accept streams from peers."""

        async def handle(stream: trio.abc.Stream) -> None:
            await handler(GatedStream(stream, self.gate))

        await self._world.network.serve(handle, host, port, task_status)

    async def serve_http(
        self,
        app: AsgiApp,
        address: str,
        stop: trio.Event,
        send_timeout_s: float = 0.0,
        *,
        task_status: trio.TaskStatus[object],
    ) -> None:
        """Serve callers on the simulated network; a test may also call the application directly."""
        self.app_by_address[address] = app
        await self._world.http.serve(app, address, self.gate, stop, task_status)

    def _keys(self) -> list[bytes]:
        return [SESSION_KEY]
