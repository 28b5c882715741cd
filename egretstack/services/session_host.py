"""Sessions of this entry: opened for callers, picked up from other entries, ended."""

import secrets
from dataclasses import replace

import trio

from egretstack import clock
from egretstack.callers import GenerationBody, SessionDoor
from egretstack.contracts import Contract
from egretstack.delivery import Cursor, RecoveryBudget, SessionRef, TokenRefused
from egretstack.errors import EgretError, ErrorKind
from egretstack.events import Event, log
from egretstack.ids import AccountId, InstanceId, SessionId, WorkId
from egretstack.kernel import Kernel, Service
from egretstack.policy import Work
from egretstack.services.accounts import Accounts
from egretstack.services.configuration import Configuration
from egretstack.services.dispatching import Dispatching
from egretstack.services.platform_access import PlatformAccess
from egretstack.sessions import FinishedAnswer, Placement, Pump, PumpLinks, Session, SessionRequest
from egretstack.upstreams import (
    EngineClient,
    EngineError,
    GenerationGone,
    GenerationRequest,
    GenerationState,
)

PREFIX_CHARACTERS = 256


class SessionHost(Service, SessionDoor):
    """Runs a pump for each session, apart from the caller's connection."""

    name = "session_host"
    requires = ("platform_access", "accounts", "configuration", "dispatching")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._pump_by_work: dict[WorkId, Pump] = {}
        self._session_by_work: dict[WorkId, Session] = {}
        self._nursery: trio.Nursery
        self._idle = trio.Event()
        self._budget = RecoveryBudget()

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Hold the nursery that pumps run in."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    async def drain(self) -> None:
        """Wait until no session is in progress."""
        while self._session_by_work:
            self._idle = trio.Event()
            await self._idle.wait()

    async def open(self, contract: Contract, body: GenerationBody) -> Session:
        """Start a session; raise EgretError."""
        work = self._work(contract, body)
        await self.kernel.get(Accounts).ready(contract)
        self.kernel.get(Accounts).open(contract)
        generation = GenerationRequest(work.model, body.prompt, work.max_output_tokens, work.value)
        request = SessionRequest(contract.account, work.service, generation, body.stream)
        session = Session(work.id, request, Cursor())
        self._start(session, work, None)
        return session

    async def pick_up(self, contract: Contract, session_id: str, after: int) -> Session:
        """Find a session here or take it over from its engine; raise EgretError."""
        ref = self._ref(contract, session_id)
        for session in self._session_by_work.values():
            if session.id == session_id and session.can_read_after(after):
                return session
        engine = self._engine(ref)
        await self.kernel.get(Accounts).ready(contract)
        self.kernel.get(Accounts).open(contract)
        generation = GenerationRequest(_UNKNOWN_MODEL, "", 0, contract.value)
        request = SessionRequest(ref.account, ref.service, generation, streamed=True)
        work = _resumed_work(contract, ref)
        session = Session(work.id, request, Cursor(ref.generation, after))
        session.id = SessionId(session_id)
        self._start(session, work, Placement(work, ref.runner, engine, work.value))
        return session

    async def state(self, contract: Contract, session_id: str) -> GenerationState:
        """Ask the engine how far a session has come; raise EgretError."""
        ref = self._ref(contract, session_id)
        try:
            return await self._engine(ref).state(ref.generation)
        except GenerationGone as error:
            raise EgretError(ErrorKind.GENERATION_LOST, "the engine does not have it") from error
        except EngineError as error:
            raise EgretError(ErrorKind.UPSTREAM_FAILED, "the engine does not answer") from error

    async def cancel(self, contract: Contract, session_id: str) -> None:
        """End a session; raise EgretError."""
        ref = self._ref(contract, session_id)
        for work_id, session in self._session_by_work.items():
            if session.id == session_id:
                self._pump_by_work[work_id].cancel()
                return
        try:
            await self._engine(ref).cancel(ref.generation)
        except EngineError as error:
            raise EgretError(ErrorKind.UPSTREAM_FAILED, "the engine does not answer") from error

    def left(self, session: Session, reader: int) -> None:
        """Note that the caller's connection ended; give it time to come back."""
        if session.outcome is None and session.is_reader(reader):
            self._nursery.start_soon(self._wait_for_return, session, reader)

    async def _wait_for_return(self, session: Session, reader: int) -> None:
        # A caller that was given no id cannot come back.
        if session.request.streamed and session.taken >= 0:
            await trio.sleep(self.kernel.settings.number("sessions", "resume_window_s"))
        pump = self._pump_by_work.get(session.work_id)
        if pump is not None and session.is_reader(reader):
            log(Event.SESSION_ABANDONED, work=session.work_id)
            pump.cancel()

    def _start(self, session: Session, work: Work, placement: Placement | None) -> None:
        access = self.kernel.get(PlatformAccess)
        instance = InstanceId(self.kernel.settings.text("instance", "id"))
        links = PumpLinks(self.kernel.get(Dispatching), access.tokens.seal, instance)
        pump = Pump(session, work, links, self._budget, placement)
        self._pump_by_work[work.id] = pump
        self._session_by_work[work.id] = session
        access.metrics.open_sessions.inc()
        self._nursery.start_soon(self._pump, pump, session)

    async def _pump(self, pump: Pump, session: Session) -> None:
        account = session.request.account
        try:
            await pump.run()
        finally:
            self._count_end(session, account)
            del self._pump_by_work[session.work_id]
            del self._session_by_work[session.work_id]
            self.kernel.get(Accounts).close(account)
            if not self._session_by_work:
                self._idle.set()

    def _count_end(self, session: Session, account: AccountId) -> None:
        metrics = self.kernel.get(PlatformAccess).metrics
        metrics.open_sessions.dec()
        metrics.tokens.labels(account).inc(session.tokens)
        outcome = session.outcome
        name = "finished" if isinstance(outcome, FinishedAnswer) else "cut"
        if isinstance(outcome, EgretError):
            name = outcome.kind.value
        metrics.sessions.labels(account, name).inc()

    def _work(self, contract: Contract, body: GenerationBody) -> Work:
        state = self.kernel.get(Configuration).state
        service = state.service_by_model.get(body.model)
        if service is None:
            raise EgretError(ErrorKind.UNKNOWN_MODEL, f"model {body.model}")
        if not contract.allows(service):
            raise EgretError(ErrorKind.FORBIDDEN, f"service {service} is not in the contract")
        if body.prompt_tokens > contract.max_prompt_tokens:
            raise EgretError(
                ErrorKind.BAD_REQUEST,
                f"a prompt of some {body.prompt_tokens} tokens; the contract allows "
                f"{contract.max_prompt_tokens}",
            )
        limit = contract.max_output_tokens
        return Work(
            id=WorkId(secrets.token_hex(8)),
            account=contract.account,
            service=service,
            model=body.model,
            prompt_tokens=body.prompt_tokens,
            max_output_tokens=min(limit, body.max_output_tokens or limit),
            prefix=body.prompt[:PREFIX_CHARACTERS],
            value=contract.value,
            deadline_s=clock.now() + contract.start_deadline_s,
            streamed=body.stream,
            stall_weight=contract.stall_weight,
            preemption_weight=contract.preemption_weight,
            tail_weight=contract.tail_weight,
        )

    def _ref(self, contract: Contract, session_id: str) -> SessionRef:
        """Open a session id; one of another account is as unknown as one never made."""
        try:
            ref = self.kernel.get(PlatformAccess).tokens.open(session_id)
        except TokenRefused as error:
            raise EgretError(ErrorKind.NOT_FOUND, "no such session") from error
        if ref.account != contract.account:
            raise EgretError(ErrorKind.NOT_FOUND, "no such session")
        return ref

    def _engine(self, ref: SessionRef) -> EngineClient:
        engine = self.kernel.get(Dispatching).engine(ref.runner)
        if engine is None:
            raise EgretError(ErrorKind.GENERATION_LOST, "the engine is gone")
        return engine


def _resumed_work(contract: Contract, ref: SessionRef) -> Work:
    empty = Work(
        id=WorkId(secrets.token_hex(8)),
        account=ref.account,
        service=ref.service,
        model=_UNKNOWN_MODEL,
        prompt_tokens=0,
        max_output_tokens=contract.max_output_tokens,
        prefix="",
        value=contract.value,
        deadline_s=clock.now(),
        streamed=True,
    )
    return replace(empty, excluded=frozenset({ref.runner}))


_UNKNOWN_MODEL = ""
