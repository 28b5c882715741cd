"""A plain service stand-in: seat holds and lookups, in a test or as a process."""

import json
from collections import Counter
from dataclasses import dataclass, field

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


@dataclass
class Book:
    """What the service has done: how often each idempotency key ran."""

    delay_s: float = 0.0
    offers_lookup: bool = False
    checks_fencing: bool = False
    runs_by_key: Counter = field(default_factory=Counter)
    fencing_by_key: dict[str, int] = field(default_factory=dict)
    lose_answers: int = 0

    async def handle(self, method: str, path: str, headers: dict[str, str]) -> CallResponse:
        """Carry out one call."""
        if method == "GET" and path.startswith("/outcomes/"):
            return self._outcome(path.removeprefix("/outcomes/"))
        await trio.sleep(self.delay_s)
        if method == "GET":
            return _answer(200, {"path": path, "free_seats": 12})
        key = headers.get(KEY_HEADER, "")
        fencing = int(headers.get(FENCING_HEADER, "0"))
        if self.checks_fencing and fencing < self.fencing_by_key.get(key, 0):
            return _answer(409, {"refused": "old fencing number"})
        self.fencing_by_key[key] = fencing
        self.runs_by_key[key] += 1
        return _answer(201, {"path": path, "hold": f"hold-{sum(self.runs_by_key.values())}"})

    def _outcome(self, key: str) -> CallResponse:
        if not self.offers_lookup:
            return _answer(404, {})
        return _answer(200, {"ran": self.runs_by_key[key] > 0})


class InProcessPlainService(PlainService):
    """The book as one runner, with faults: `down` refuses connections."""

    def __init__(self, book: Book) -> None:
        self.book = book
        self.down = False

    async def call(self, request: CallRequest) -> CallResponse:
        """Make a call."""
        if self.down:
            raise Unsent(NotRunProof("connection refused"))
        headers = {name.lower(): value for name, value in request.headers}
        answer = await self.book.handle(request.method, request.path, headers)
        if self.book.lose_answers:
            self.book.lose_answers -= 1
            raise OutcomeUnknown("answer lost")
        return answer


def make_plain_app(book: Book) -> QuartTrio:
    """Build the HTTP app."""
    app = QuartTrio("plain-standin")

    @app.route("/<path:path>", methods=["GET", "POST", "PUT", "DELETE", "PATCH"])
    async def any_call(path: str) -> Response:
        await request.get_data()
        headers = {name.lower(): value for name, value in request.headers.items()}
        answer = await book.handle(request.method, "/" + path, headers)
        return Response(answer.body, status=answer.status, content_type="application/json")

    return app


def _answer(status: int, body: dict[str, object]) -> CallResponse:
    headers = (("content-type", "application/json"),)
    return CallResponse(status, headers, json.dumps(body).encode())
