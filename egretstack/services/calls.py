"""Calls to plain services: passed on, and those that may not be repeated run at most once."""

import secrets
from dataclasses import replace

import trio

from egretstack.contracts import Contract, ServiceKind, ServiceSpec
from egretstack.errors import EgretError, ErrorKind
from egretstack.events import Event, log
from egretstack.ids import AttemptId, IdempotencyKey, ServiceName
from egretstack.kernel import Kernel, Service
from egretstack.ledger import CallState, LedgerEntry, PerCallLedger, fingerprint
from egretstack.services.accounts import Accounts
from egretstack.services.configuration import Configuration
from egretstack.services.platform_access import PlatformAccess
from egretstack.services.runners import Runners
from egretstack.upstreams import CallRequest, CallResponse, OutcomeUnknown, PlainService, Unsent

KEY_HEADER = "idempotency-key"
MAX_KEY_LENGTH = 255
REPEATS = 3


class Calls(Service):
    """Passes calls on to the runners of plain services."""

    name = "calls"
    requires = ("platform_access", "accounts", "configuration", "runners")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._ledger: PerCallLedger
        self._open = 0
        self._idle = trio.Event()

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Make the ledger; nothing else runs by itself."""
        self._ledger = PerCallLedger(self.kernel.get(PlatformAccess).object_api)
        task_status.started()
        await trio.sleep_forever()

    async def drain(self) -> None:
        """Wait until no call is in progress."""
        while self._open:
            self._idle = trio.Event()
            await self._idle.wait()

    async def call(
        self, contract: Contract, service: ServiceName, request: CallRequest
    ) -> CallResponse:
        """Pass a call on; raise EgretError."""
        spec = self._spec(contract, service)
        accounts = self.kernel.get(Accounts)
        await accounts.ready(contract)
        accounts.open(contract)
        self._open += 1
        try:
            if request.method in spec.repeatable:
                return await self._repeatable(service, request)
            # A caller that goes away must not cut a call between its intent and its outcome.
            with trio.CancelScope(shield=True):
                return await self._once(contract, service, request)
        finally:
            self._open -= 1
            accounts.close(contract.account)
            if not self._open:
                self._idle.set()

    def _spec(self, contract: Contract, service: ServiceName) -> ServiceSpec:
        spec = self.kernel.get(Configuration).state.service_by_name.get(service)
        if spec is None or spec.kind is not ServiceKind.PLAIN:
            raise EgretError(ErrorKind.UNKNOWN_SERVICE, f"service {service}")
        if not contract.allows(service):
            raise EgretError(ErrorKind.FORBIDDEN, f"service {service} is not in the contract")
        return spec

    async def _repeatable(self, service: ServiceName, request: CallRequest) -> CallResponse:
        cause = "no runner is listed"
        for runner in self._runners(service)[:REPEATS]:
            try:
                return await runner.call(request)
            except (Unsent, OutcomeUnknown) as error:
                cause = str(error)
        raise EgretError(ErrorKind.UPSTREAM_FAILED, cause)

    async def _once(
        self, contract: Contract, service: ServiceName, request: CallRequest
    ) -> CallResponse:
        key = _key(request)
        attempt = AttemptId(secrets.token_hex(12))
        entry = await self._ledger.begin(
            contract.account, service, key, attempt, fingerprint(request)
        )
        if entry.state is CallState.DONE:
            return entry.answer
        return await self._dispatch(service, entry, request)

    async def _dispatch(
        self, service: ServiceName, entry: LedgerEntry, request: CallRequest
    ) -> CallResponse:
        unsent: Unsent | None = None
        for runner in self._runners(service)[:REPEATS]:
            try:
                answer = await self._send(runner, entry, request)
            except Unsent as error:
                unsent = error
                continue
            await self._ledger.finish(replace(entry, state=CallState.DONE, answer=answer))
            return answer
        await self._ledger.finish(replace(entry, state=CallState.NOT_RUN))
        if unsent is None:
            raise EgretError(ErrorKind.NO_RUNNER, f"service {service}")
        raise EgretError(ErrorKind.NOT_RUN, str(unsent), proof=unsent.proof)

    async def _send(
        self, runner: PlainService, entry: LedgerEntry, request: CallRequest
    ) -> CallResponse:
        try:
            return await runner.call(request)
        except OutcomeUnknown as error:
            log(Event.CALL_UNKNOWN, attempt=entry.attempt, cause=str(error))
            await self._ledger.finish(replace(entry, state=CallState.UNKNOWN))
            raise EgretError(ErrorKind.OUTCOME_UNKNOWN, str(error)) from error

    def _runners(self, service: ServiceName) -> list[PlainService]:
        return self.kernel.get(Runners).plain(service)


def _key(request: CallRequest) -> IdempotencyKey:
    found = [value for name, value in request.headers if name.lower() == KEY_HEADER]
    if len(found) != 1 or not 0 < len(found[0]) <= MAX_KEY_LENGTH:
        raise EgretError(ErrorKind.KEY_REQUIRED, f"{request.method} {request.path}")
    return IdempotencyKey(found[0])
