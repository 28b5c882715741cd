"""Calls to plain services; those that must not be repeated run at most once."""

from dataclasses import replace
from functools import partial

import trio

from egretstack.contracts import Contract, ServiceKind, ServiceSpec
from egretstack.errors import EgretError, ErrorKind
from egretstack.ids import AccountId, ServiceName
from egretstack.kernel import Kernel, Service
from egretstack.ledger import ACCOUNT_HEADER, FENCING_HEADER, AtMostOnceCall, SendHistory
from egretstack.services.accounts import Accounts
from egretstack.services.configuration import Configuration
from egretstack.services.ledger_store import LedgerStore
from egretstack.services.runners import Runners
from egretstack.upstreams import CallRequest, CallResponse, OutcomeUnknown, Unsent

MAX_TRIES = 3
"""Limit on the runners tried for one repeatable call, all within the call's one deadline."""
_OWN_HEADERS = frozenset({ACCOUNT_HEADER.lower(), FENCING_HEADER.lower()})


class Calls(Service):
    """Passes calls on to the runners of plain services."""

    name = "calls"
    requires = ("accounts", "configuration", "runners", "ledger_store")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._open = 0
        self._idle = trio.Event()

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Do nothing until cancelled."""
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
        """Pass a call on. Raises EgretError."""
        spec = self._spec(contract, service)
        request = _for_account(request, contract.account)
        accounts = self.kernel.get(Accounts)
        await accounts.ready(contract)
        accounts.open(contract)
        self._open += 1
        try:
            if request.method in spec.repeatable:
                return await self._repeatable(service, request)
            # A caller that disconnects must not interrupt a call between its intent and its
            # outcome.
            with trio.CancelScope(shield=True):
                return await self._once(spec, contract.account, request)
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

    async def _once(
        self, spec: ServiceSpec, account: AccountId, request: CallRequest
    ) -> CallResponse:
        ledger = self.kernel.get(LedgerStore)
        runners = partial(self.kernel.get(Runners).plain, spec.name)
        return await AtMostOnceCall(
            ledger, self.kernel.epoch, spec, account, request, runners
        ).run()

    async def _repeatable(self, service: ServiceName, request: CallRequest) -> CallResponse:
        history = SendHistory()
        deadline_s = trio.current_time() + request.timeout_s
        for runner in self.kernel.get(Runners).plain(service)[:MAX_TRIES]:
            left_s = deadline_s - trio.current_time()
            if left_s <= 0:
                break
            try:
                return await runner.call(replace(request, timeout_s=left_s))
            except Unsent as error:
                history.record_unsent(error.proof)
            except OutcomeUnknown as error:
                history.record_unknown(str(error))
        raise history.final_error(f"service {service}", ErrorKind.UPSTREAM_FAILED)


def _for_account(request: CallRequest, account: AccountId) -> CallRequest:
    """Add the account's name for the upstream; drop account and fencing headers of the caller.

    Two accounts may use the same key: without the account's name a lookup could tell one of them
    the outcome of the other's call.
    """
    kept = [pair for pair in request.headers if pair[0].lower() not in _OWN_HEADERS]
    return replace(request, headers=(*kept, (ACCOUNT_HEADER, account)))
