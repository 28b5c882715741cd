"""A plain service stand-in with seat holds and lookups, inside a test or as a process."""

import json
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import trio
from quart import Response, request
from quart_trio import QuartTrio

from egretstack.errors import NotRunProof
from egretstack.upstreams import (
    CallRequest,
    CallResponse,
    OutcomeUnknown,
    PlainService,
    Unsent,
)

KEY_HEADER = "idempotency-key"
FENCING_HEADER = "egret-fencing"
ACCOUNT_HEADER = "egret-account"


@dataclass
class PlainServiceState:
    """State and faults of the service, including how often each idempotency key ran."""

    delay_s: float = 0.0
    offers_lookup: bool = False
    checks_fencing: bool = False
    runs_by_key: Counter = field(default_factory=Counter)
    padding: int = 0
    fencing_by_scope: dict[tuple[str, str], int] = field(default_factory=dict)
    ran: set[tuple[str, str]] = field(default_factory=set)
    lose_answers: int = 0

    async def handle(self, method: str, path: str, headers: dict[str, str]) -> CallResponse:
        """Execute one call."""
        if method == "GET" and path.startswith("/outcomes/"):
            return self._outcome(headers)
        await trio.sleep(self.delay_s)
        if method == "GET":
            return _answer(200, {"path": path, "free_seats": 12})
        key = headers.get(KEY_HEADER, "")
        refusal = self._check_fencing(headers)
        if refusal is not None:
            return refusal
        self.ran.add(_key_scope(headers))
        self.runs_by_key[key] += 1
        hold = f"hold-{sum(self.runs_by_key.values())}"
        return _answer(201, {"path": path, "hold": hold, "padding": "x" * self.padding})

    def _outcome(self, headers: dict[str, str]) -> CallResponse:
        """Answer a lookup; older fencing numbers are refused from then on."""
        if not self.offers_lookup:
            return _answer(404, {})
        refusal = self._check_fencing(headers)
        if refusal is not None:
            return refusal
        return _answer(200, {"ran": _key_scope(headers) in self.ran})

    def _check_fencing(self, headers: dict[str, str]) -> CallResponse | None:
        """Refuse a fencing number below the highest seen for the key, which is stored."""
        if not self.checks_fencing:
            return None
        scope = _key_scope(headers)
        number = int(headers.get(FENCING_HEADER, "0"))
        highest = self.fencing_by_scope.get(scope, 0)
        self.fencing_by_scope[scope] = max(number, highest)
        if number >= highest:
            return None
        refusal = _answer(409, {"refused": "old fencing number"})
        return replace(refusal, headers=(*refusal.headers, ("Egret-Fencing", str(highest))))


class InProcessPlainService(PlainService):
    """A runner of the service, with faults.

    `down` refuses connections. `connecting` and `sending`, if set, are events that a call waits
    for: before the connection is made, and between the sender's last check and the first byte.
    """

    def __init__(self, state: PlainServiceState) -> None:
        self.state = state
        self.down = False
        self.connecting: trio.Event | None = None
        self.sending: trio.Event | None = None

    async def call(
        self, request: CallRequest, check: Callable[[], None] | None = None
    ) -> CallResponse:
        """Make a call."""
        with trio.move_on_after(request.timeout_s):
            return await self._call(request, check)
        raise OutcomeUnknown("no answer in time")

    async def _call(self, request: CallRequest, check: Callable[[], None] | None) -> CallResponse:
        if self.connecting is not None:
            await self.connecting.wait()
        if self.down:
            raise Unsent(NotRunProof("connection refused"))
        if check is not None:
            check()
        headers = {name.lower(): value for name, value in request.headers}
        if self.sending is None:
            answer = await self.state.handle(request.method, request.path, headers)
        else:
            # A paused process runs no timers: once it is resumed, its bytes are sent before any
            # timeout fires.
            with trio.CancelScope(shield=True):
                await self.sending.wait()
                answer = await self.state.handle(request.method, request.path, headers)
        if self.state.lose_answers:
            self.state.lose_answers -= 1
            raise OutcomeUnknown("answer lost")
        return answer


def make_plain_app(state: PlainServiceState) -> QuartTrio:
    """Build the HTTP app."""
    app = QuartTrio("plain-standin")

    @app.route("/<path:path>", methods=["GET", "POST", "PUT", "DELETE", "PATCH"])
    async def any_call(path: str) -> Response:
        await request.get_data()
        headers = {name.lower(): value for name, value in request.headers.items()}
        answer = await state.handle(request.method, "/" + path, headers)
        return Response(answer.body, status=answer.status, headers=dict(answer.headers))

    return app


def _key_scope(headers: dict[str, str]) -> tuple[str, str]:
    return headers.get(ACCOUNT_HEADER, ""), headers.get(KEY_HEADER, "")


def _answer(status: int, body: dict[str, object]) -> CallResponse:
    headers = (("content-type", "application/json"),)
    return CallResponse(status, headers, json.dumps(body).encode())
