"""The callers' port of an entry, and its graceful shutdown."""

import trio

from egretstack.callers import (
    CallerDependencies,
    CallerLimits,
    GenerationHandlers,
    RequestCounter,
    make_caller_app,
)
from egretstack.contracts import Contract
from egretstack.errors import EgretError, ErrorKind
from egretstack.ids import ServiceName, ZoneName
from egretstack.kernel import Kernel, Service
from egretstack.membership import entries_for
from egretstack.services.accounts import Accounts
from egretstack.services.calls import Calls
from egretstack.services.membership import Membership
from egretstack.services.platform_access import PlatformAccess
from egretstack.services.session_host import SessionHost
from egretstack.upstreams import CallRequest, CallResponse

LEAVING_PROPAGATION_S = 5.0
"""Time after which every other instance knows that this one leaves, with a margin. Until then one
of them may still give its address to a caller, who keeps it for the whole time to live of that
answer."""
CALLER_PORT = "caller"


class CallerApi(Service, CallerDependencies):
    """Serves callers; a drain lasts longer than callers keep their answers, and cuts no request."""

    name = "caller_api"
    requires = ("platform_access", "membership", "accounts", "session_host", "calls")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._stop = trio.Event()
        self._closed = False
        self._requests = RequestCounter()

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Serve until the kernel stops this service."""
        settings = self.kernel.settings
        limits = CallerLimits(
            settings.integer("caller", "max_body_bytes"), settings.number("caller", "heartbeat_s")
        )
        generations = GenerationHandlers(self.kernel.get(SessionHost), limits.heartbeat_s)
        app = self._requests.wrap(make_caller_app(self, generations, limits))
        address = settings.text("caller", "address")
        access = self.kernel.get(PlatformAccess)
        async with trio.open_nursery() as nursery:
            send_s = settings.number("caller", "send_timeout_s")
            await nursery.start(access.serve_http, app, address, self._stop, send_s)
            task_status.started()

    async def drain(self) -> None:
        """Serve on until callers' cached answers have expired, then accept no new requests."""
        await trio.sleep(LEAVING_PROPAGATION_S + self._answer_ttl_s())
        self._closed = True
        self.kernel.get(SessionHost).close()
        self._requests.close()
        await self._requests.wait_idle()

    def authenticate(self, authorization: str) -> Contract:
        """Return the contract of a caller. Raises EgretError."""
        return self.kernel.get(Accounts).authenticate(authorization)

    def check_open(self) -> None:
        """Raise EgretError once callers' cached answers have expired in a drain."""
        if self._closed:
            raise EgretError(ErrorKind.DRAINING, "ask which entry to use")

    def entries(self, contract: Contract) -> dict[str, object]:
        """Return which entries to use, own availability zone first, and for how long."""
        membership = self.kernel.get(Membership)
        chosen = entries_for(
            contract.account,
            ZoneName(self.kernel.settings.text("instance", "zone")),
            [member for member in membership.live_members() if CALLER_PORT in member.ports],
            membership.own_member,
            self.kernel.draining.is_set(),
        )
        rows = [
            {"instance": one.id, "zone": one.zone, "url": one.url(CALLER_PORT)} for one in chosen
        ]
        return {"entries": rows, "keep_s": self._answer_ttl_s()}

    async def call(
        self, contract: Contract, service: ServiceName, call: CallRequest
    ) -> CallResponse:
        """Pass a call on to a plain service. Raises EgretError."""
        return await self.kernel.get(Calls).call(contract, service, call)

    def count_refusal(self, kind: ErrorKind) -> None:
        """Count a refusal that is a request's final answer."""
        self.kernel.get(PlatformAccess).metrics.refusals.labels(kind.value).inc()

    def _answer_ttl_s(self) -> float:
        return self.kernel.settings.number("caller", "answer_life_s")
