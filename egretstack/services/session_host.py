"""Sessions of this entry: opened for callers, picked up from other entries, and ended."""

import trio

from egretstack import clock
from egretstack.callers import GenerationBody, SessionOperations, new_request, picked_up_request
from egretstack.contracts import Contract
from egretstack.delivery import (
    MAX_ID_LENGTH,
    Cursor,
    GenerationHolders,
    InvalidSessionId,
    RecoveryBudget,
    SessionRef,
    SessionReleased,
    SessionTaken,
)
from egretstack.errors import EgretError, ErrorKind
from egretstack.events import Event, log
from egretstack.ids import AccountId, GenerationId, InstanceId, RequestId, RunnerId, SessionId
from egretstack.kernel import Kernel, Service
from egretstack.metrics import ServiceLevels
from egretstack.policy import SchedulingRequest
from egretstack.services.accounts import Accounts
from egretstack.services.configuration import Configuration
from egretstack.services.dispatching import Dispatching
from egretstack.services.instances import Instances
from egretstack.services.peer_port import PeerPort
from egretstack.services.platform_access import PlatformAccess
from egretstack.sessions import (
    FinishedAnswer,
    Placement,
    Pump,
    PumpDependencies,
    Session,
    SessionLevels,
    SessionRequest,
    Takeover,
)
from egretstack.upstreams import (
    EngineClient,
    EngineError,
    GenerationNotFound,
    GenerationRequest,
    GenerationState,
)


class SessionHost(Service, SessionOperations):
    """Runs a pump for each session, independent of the caller's connection."""

    name = "session_host"
    requires = (
        "platform_access",
        "accounts",
        "configuration",
        "dispatching",
        "instances",
        "peer_port",
    )

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._pump_by_request: dict[RequestId, Pump] = {}
        self._session_by_request: dict[RequestId, Session] = {}
        self._uncounted: set[RequestId] = set()
        self._nursery: trio.Nursery
        self._idle = trio.Event()
        self._closed = False
        self._budget = RecoveryBudget()
        self._own = InstanceId(kernel.settings.text("instance", "id"))
        self._resume_window_s = kernel.settings.number("sessions", "resume_window_s")
        send_s = kernel.settings.number("caller", "send_timeout_s")
        self._unread_timeout_s = self._resume_window_s + send_s
        self._holders = GenerationHolders(max(self._resume_window_s, 1.0) * 2)

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Hold the nursery in which pumps run."""
        self.kernel.get(PeerPort).register_handler(SessionTaken, self._on_taken_elsewhere)
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    def close(self) -> None:
        """Take over no more sessions: otherwise a leaving process might never finish."""
        self._closed = True

    async def drain(self) -> None:
        """Wait until no session is in progress."""
        while self._session_by_request:
            self._idle = trio.Event()
            await self._idle.wait()

    async def open(self, contract: Contract, body: GenerationBody) -> Session:
        """Start a session. Raises EgretError."""
        opened_s = clock.now()
        state = self.kernel.get(Configuration).state
        scheduling_request = new_request(contract, body, state.service_by_model.get(body.model))
        await self.kernel.get(Accounts).ready(contract)
        self.kernel.get(Accounts).open(contract)
        generation = GenerationRequest(
            scheduling_request.model,
            body.prompt,
            scheduling_request.max_output_tokens,
            scheduling_request.value,
        )
        request = self._request(contract.account, scheduling_request, generation, body.stream)
        session = Session(scheduling_request.id, request, Cursor())
        SessionLevels(session, contract, self._service_levels(), opened_s)
        self._start(session, scheduling_request, None)
        return session

    async def pick_up(self, contract: Contract, session_id: str, after: int) -> Session:
        """Find a session here or take it over from its engine. Raises EgretError."""
        opened_s = clock.now()
        ref = self._ref(contract, session_id)
        local = self._find(ref.runner, ref.generation)
        if local is not None and after > local.cursor.last:
            raise EgretError(ErrorKind.BAD_REQUEST, f"the generation has no event {after} yet")
        if local is not None and local.can_read_after(after):
            return local
        if local is None and self._closed:
            raise EgretError(ErrorKind.DRAINING, "ask which entry to use")
        engine = self._engine(ref)
        if local is not None:
            # Its events before the caller's position are no longer kept here; the engine has them.
            self._pump_by_request[local.work_id].release()
        scheduling_request = picked_up_request(contract, ref)
        generation = GenerationRequest(
            scheduling_request.model,
            "",
            scheduling_request.max_output_tokens,
            scheduling_request.value,
        )
        request = self._request(ref.account, scheduling_request, generation, streamed=True)
        session = Session(scheduling_request.id, request, Cursor(ref.generation, after))
        session.id = SessionId(session_id)
        session.runner = ref.runner
        self._count_in(contract, scheduling_request.id)
        SessionLevels(session, contract, self._service_levels(), opened_s)
        self._start(
            session,
            scheduling_request,
            Placement(scheduling_request, ref.runner, engine, scheduling_request.value),
        )
        self._nursery.start_soon(self._notify_previous_holders, ref, session)
        return session

    async def state(self, contract: Contract, session_id: str) -> GenerationState:
        """Query the engine how far a session has come. Raises EgretError."""
        ref = self._ref(contract, session_id)
        try:
            return await self._engine(ref).state(ref.generation)
        except GenerationNotFound as error:
            raise EgretError(ErrorKind.GENERATION_LOST, "the engine does not have it") from error
        except EngineError as error:
            raise EgretError(ErrorKind.UPSTREAM_FAILED, "the engine does not answer") from error

    async def cancel(self, contract: Contract, session_id: str) -> None:
        """End a session. Raises EgretError."""
        ref = self._ref(contract, session_id)
        local = self._find(ref.runner, ref.generation)
        if local is not None:
            self._pump_by_request[local.work_id].cancel()
            return
        try:
            await self._engine(ref).cancel(ref.generation)
        except EngineError as error:
            raise EgretError(ErrorKind.UPSTREAM_FAILED, "the engine does not answer") from error

    def on_caller_disconnected(self, session: Session, reader: int) -> None:
        """Record that the caller's connection ended, and give the caller time to reconnect."""
        if session.outcome is None and session.is_reader(reader):
            self._nursery.start_soon(self._wait_for_return, session, reader)

    async def _wait_for_return(self, session: Session, reader: int) -> None:
        # A caller that was given no session id cannot reconnect.
        if session.request.streamed and session.last_read >= 0:
            await trio.sleep(self._resume_window_s)
        pump = self._pump_by_request.get(session.work_id)
        if pump is not None and session.is_reader(reader):
            log(Event.SESSION_ABANDONED, work=session.work_id)
            pump.cancel()

    async def _notify_previous_holders(self, ref: SessionRef, session: Session) -> None:
        """Notify instances that may still serve the session: their cancel would end it here too."""
        held = (ref.runner, ref.generation)
        previous = self._holders.holder(clock.now(), held)
        self._holders.record(clock.now(), held, self._own)
        takeover = Takeover(self.kernel.get(Instances), self._own, SessionTaken(self._own, *held))
        with trio.move_on_after(self._resume_window_s):
            request = self.kernel.get(PeerPort).request
            await takeover.run(request, {ref.owner, previous}, lambda: session.outcome is None)
        for peer in sorted(takeover.unnotified):
            log(Event.SESSION_HOLDER_UNTOLD, work=session.work_id, peer=peer)

    async def _on_taken_elsewhere(self, message: SessionTaken) -> SessionReleased:
        texts = (message.holder, message.runner, message.generation)
        if max(len(text) for text in texts) > MAX_ID_LENGTH:
            return SessionReleased("")
        held = (RunnerId(message.runner), GenerationId(message.generation))
        previous = self._holders.holder(clock.now(), held)
        self._holders.record(clock.now(), held, InstanceId(message.holder))
        session = self._find(*held)
        if session is not None and session.request.streamed:
            log(Event.SESSION_RELEASED, work=session.work_id, peer=message.holder)
            self._pump_by_request[session.work_id].release()
        known = previous not in (None, self._own, message.holder)
        return SessionReleased(previous if known else "")

    def _find(self, runner: RunnerId, generation: GenerationId) -> Session | None:
        for session in self._session_by_request.values():
            if session.cursor.generation == generation and session.runner == runner:
                return session
        return None

    def _request(
        self,
        account: AccountId,
        scheduling_request: SchedulingRequest,
        generation: GenerationRequest,
        streamed: bool,
    ) -> SessionRequest:
        return SessionRequest(
            account, scheduling_request.service, generation, streamed, self._unread_timeout_s
        )

    def _count_in(self, contract: Contract, request_id: RequestId) -> None:
        try:
            self.kernel.get(Accounts).open(contract)
        except EgretError:
            # The session was admitted when it was opened. If it were refused here, a caller whose
            # entry died would lose an accepted answer to the limits. The uncounted sessions are
            # bounded by the admitted ones, since the newest connection of each replaces the others.
            self._uncounted.add(request_id)

    def _start(
        self, session: Session, scheduling_request: SchedulingRequest, placement: Placement | None
    ) -> None:
        access = self.kernel.get(PlatformAccess)
        links = PumpDependencies(
            self.kernel.get(Dispatching), access.tokens.seal, self._own, self._nursery.start_soon
        )
        pump = Pump(session, scheduling_request, links, self._budget, placement)
        self._pump_by_request[scheduling_request.id] = pump
        self._session_by_request[scheduling_request.id] = session
        access.metrics.open_sessions.inc()
        self._nursery.start_soon(self._pump, pump, session)

    async def _pump(self, pump: Pump, session: Session) -> None:
        account = session.request.account
        try:
            await pump.run()
        finally:
            self._count_end(session, account)
            del self._pump_by_request[session.work_id]
            del self._session_by_request[session.work_id]
            if session.work_id in self._uncounted:
                self._uncounted.remove(session.work_id)
            else:
                self.kernel.get(Accounts).close(account)
            if not self._session_by_request:
                self._idle.set()

    def _service_levels(self) -> ServiceLevels:
        return self.kernel.get(PlatformAccess).metrics.levels

    def _count_end(self, session: Session, account: AccountId) -> None:
        metrics = self.kernel.get(PlatformAccess).metrics
        metrics.open_sessions.dec()
        metrics.tokens.labels(account).inc(max(0, session.tokens - session.tokens_before))
        outcome = session.outcome
        name = "finished" if isinstance(outcome, FinishedAnswer) else "cut"
        if isinstance(outcome, EgretError):
            name = outcome.kind.value
        metrics.sessions.labels(account, name).inc()

    def _ref(self, contract: Contract, session_id: str) -> SessionRef:
        """Decode a session id; one of another account is refused like one that never existed."""
        try:
            ref = self.kernel.get(PlatformAccess).tokens.open(session_id)
        except InvalidSessionId as error:
            raise EgretError(ErrorKind.NOT_FOUND, "no such session") from error
        if ref.account != contract.account:
            raise EgretError(ErrorKind.NOT_FOUND, "no such session")
        return ref

    def _engine(self, ref: SessionRef) -> EngineClient:
        engine = self.kernel.get(Dispatching).engine(ref.runner)
        if engine is not None:
            return engine
        # An entry that started while the runner was leaving never gave it requests, but the runner
        # still serves what it has; the generation is lost only once no list names the runner.
        for member in self.kernel.get(Instances).all_members():
            if member.id == ref.runner and member.service == ref.service:
                return self.kernel.get(PlatformAccess).engine(member)
        raise EgretError(ErrorKind.GENERATION_LOST, "the engine is gone")
