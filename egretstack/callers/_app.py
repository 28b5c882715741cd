"""The HTTP application that callers talk to."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from quart import Response, request
from quart_trio import QuartTrio
from werkzeug.exceptions import HTTPException, RequestEntityTooLarge

from egretstack.callers._answers import json_answer, problem
from egretstack.callers._generations import GenerationHandlers
from egretstack.contracts import Contract
from egretstack.errors import EgretError, ErrorKind
from egretstack.events import Event, log
from egretstack.ids import ServiceName
from egretstack.ledger import KEY_HEADER
from egretstack.upstreams import CallRequest, CallResponse

MAX_HEADERS = 100
_NOT_PASSED_ON = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "egret-fencing",
    }
)
_KIND_BY_STATUS = {404: ErrorKind.NOT_FOUND, 405: ErrorKind.NOT_FOUND}


class CallerDependencies(ABC):
    """What the application asks of the rest of the entry."""

    @abstractmethod
    def authenticate(self, authorization: str) -> Contract:
        """Find the contract of the key in an Authorization header; raise EgretError."""

    @abstractmethod
    def check_open(self) -> None:
        """Raise EgretError if this entry takes no new work any more."""

    @abstractmethod
    def entries(self, contract: Contract) -> dict[str, object]:
        """Give which entries to use and how long to keep the answer."""

    @abstractmethod
    async def call(
        self, contract: Contract, service: ServiceName, call: CallRequest
    ) -> CallResponse:
        """Pass a call on to a plain service; raise EgretError."""

    @abstractmethod
    def count_refusal(self, kind: ErrorKind) -> None:
        """Count a final answer other than the one asked for."""


@dataclass(frozen=True)
class CallerLimits:
    """Bounds on what callers send and how long they wait; times in seconds."""

    max_body_bytes: int
    heartbeat_s: float


def make_caller_app(
    links: CallerDependencies, generations: GenerationHandlers, limits: CallerLimits
) -> QuartTrio:
    """Build the application."""
    app = QuartTrio("egret-entry")
    app.config["MAX_CONTENT_LENGTH"] = limits.max_body_bytes
    _add_generations(app, links, generations)
    _add_calls(app, links)
    _add_errors(app, links)

    @app.get("/v1/entries")
    async def entries() -> Response:
        return json_answer(links.entries(_contract(links)))

    return app


def _has_body() -> bool:
    return bool(request.content_length) or "Transfer-Encoding" in request.headers


def _contract(links: CallerDependencies) -> Contract:
    return links.authenticate(request.headers.get("Authorization", ""))


def _add_generations(
    app: QuartTrio, links: CallerDependencies, generations: GenerationHandlers
) -> None:
    @app.post("/v1/responses")
    async def create() -> Response:
        contract = _contract(links)
        links.check_open()
        return await generations.create(contract, await request.get_data())

    @app.get("/v1/responses/<session_id>")
    async def get(session_id: str) -> Response:
        contract = _contract(links)
        if request.args.get("stream") == "true":
            after = request.args.get("starting_after")
            return await generations.resume(contract, session_id, after)
        return await generations.status(contract, session_id)

    @app.post("/v1/responses/<session_id>/cancel")
    async def cancel(session_id: str) -> Response:
        return await generations.cancel(_contract(links), session_id)


def _add_calls(app: QuartTrio, links: CallerDependencies) -> None:
    methods = ["GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"]

    @app.route("/services/<service>/<path:path>", methods=methods)
    async def call(service: str, path: str) -> Response:
        contract = _contract(links)
        links.check_open()
        headers = tuple(
            (name, value)
            for name, value in request.headers.items()
            if name.lower() not in _NOT_PASSED_ON
        )
        if len(headers) > MAX_HEADERS:
            raise EgretError(ErrorKind.BAD_REQUEST, "too many headers")
        passed = CallRequest(
            request.method,
            "/" + path,
            request.query_string.decode("latin-1"),
            headers,
            await request.get_data(),
            contract.call_deadline_s,
        )
        answer = await links.call(contract, ServiceName(service), passed)
        kept = [pair for pair in answer.headers if pair[0].lower() not in _NOT_PASSED_ON]
        return Response(answer.body, status=answer.status, headers=kept)


def _add_errors(app: QuartTrio, links: CallerDependencies) -> None:
    @app.errorhandler(EgretError)
    async def refused(error: EgretError) -> Response:
        links.count_refusal(error.kind)
        log(Event.REQUEST_REFUSED, kind=error.kind.value, path=request.path[:80])
        answer = problem(error, keyed=KEY_HEADER in request.headers)
        if _has_body():
            # The refusal may go out before the body came. The server then cannot tell where the
            # next request begins, and closes; a caller that was not told would send its next
            # request into that close and not know whether it ran.
            answer.headers["Connection"] = "close"
        return answer

    @app.errorhandler(RequestEntityTooLarge)
    async def too_large(error: RequestEntityTooLarge) -> Response:
        return await refused(EgretError(ErrorKind.BODY_TOO_LARGE, "see the settings for the bound"))

    @app.errorhandler(HTTPException)
    async def unknown(error: HTTPException) -> Response:
        kind = _KIND_BY_STATUS.get(error.code or 0, ErrorKind.BAD_REQUEST)
        return await refused(EgretError(kind, error.description or ""))

    @app.errorhandler(Exception)
    async def bug(error: Exception) -> Response:
        log(Event.REQUEST_BUG, error=repr(error), path=request.path[:80])
        return problem(EgretError(ErrorKind.INTERNAL, "a bug; see the log of the entry"))
