"""The HTTP application that serves callers."""

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
_NOT_FORWARDED = frozenset(
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
    """What the application needs from the rest of the entry."""

    @abstractmethod
    def authenticate(self, authorization: str) -> Contract:
        """Return the contract for the key in an Authorization header; raise EgretError."""

    @abstractmethod
    def check_open(self) -> None:
        """Raise EgretError if this entry no longer accepts new requests."""

    @abstractmethod
    def entries(self, contract: Contract) -> dict[str, object]:
        """Return which entries to use and how long this answer may be cached."""

    @abstractmethod
    async def call(
        self, contract: Contract, service: ServiceName, call: CallRequest
    ) -> CallResponse:
        """Forward a call to a plain service; raise EgretError."""

    @abstractmethod
    def count_refusal(self, kind: ErrorKind) -> None:
        """Count a request that was answered with an error."""


@dataclass(frozen=True)
class CallerLimits:
    """Limits for callers' requests, and the heartbeat interval of streams in seconds."""

    max_body_bytes: int
    heartbeat_s: float


def make_caller_app(
    dependencies: CallerDependencies, generations: GenerationHandlers, limits: CallerLimits
) -> QuartTrio:
    """Build the application with its routes and error handlers."""
    app = QuartTrio("egret-entry")
    app.config["MAX_CONTENT_LENGTH"] = limits.max_body_bytes
    _add_generation_routes(app, dependencies, generations)
    _add_call_route(app, dependencies)
    _add_error_handlers(app, dependencies)

    @app.get("/v1/entries")
    async def entries() -> Response:
        return json_answer(dependencies.entries(_authenticated_contract(dependencies)))

    return app


def _has_body() -> bool:
    return bool(request.content_length) or "Transfer-Encoding" in request.headers


def _authenticated_contract(dependencies: CallerDependencies) -> Contract:
    return dependencies.authenticate(request.headers.get("Authorization", ""))


def _add_generation_routes(
    app: QuartTrio, dependencies: CallerDependencies, generations: GenerationHandlers
) -> None:
    @app.post("/v1/responses")
    async def create() -> Response:
        contract = _authenticated_contract(dependencies)
        dependencies.check_open()
        return await generations.create(contract, await request.get_data())

    @app.get("/v1/responses/<session_id>")
    async def get(session_id: str) -> Response:
        contract = _authenticated_contract(dependencies)
        if request.args.get("stream") == "true":
            after = request.args.get("starting_after")
            return await generations.resume(contract, session_id, after)
        return await generations.status(contract, session_id)

    @app.post("/v1/responses/<session_id>/cancel")
    async def cancel(session_id: str) -> Response:
        return await generations.cancel(_authenticated_contract(dependencies), session_id)


def _add_call_route(app: QuartTrio, dependencies: CallerDependencies) -> None:
    methods = ["GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"]

    @app.route("/services/<service>/<path:path>", methods=methods)
    async def call(service: str, path: str) -> Response:
        contract = _authenticated_contract(dependencies)
        dependencies.check_open()
        headers = tuple(
            (name, value)
            for name, value in request.headers.items()
            if name.lower() not in _NOT_FORWARDED
        )
        if len(headers) > MAX_HEADERS:
            raise EgretError(ErrorKind.BAD_REQUEST, "too many headers")
        forwarded = CallRequest(
            request.method,
            "/" + path,
            request.query_string.decode("latin-1"),
            headers,
            await request.get_data(),
            contract.call_deadline_s,
        )
        answer = await dependencies.call(contract, ServiceName(service), forwarded)
        answer_headers = [pair for pair in answer.headers if pair[0].lower() not in _NOT_FORWARDED]
        return Response(answer.body, status=answer.status, headers=answer_headers)


def _add_error_handlers(app: QuartTrio, dependencies: CallerDependencies) -> None:
    @app.errorhandler(EgretError)
    async def refused(error: EgretError) -> Response:
        dependencies.count_refusal(error.kind)
        log(Event.REQUEST_REFUSED, kind=error.kind.value, path=request.path[:80])
        answer = problem(error, keyed=KEY_HEADER in request.headers)
        if _has_body():
            # The refusal may be sent before the body was received. The server then cannot tell
            # where the next request begins, and closes the connection. Without this header a
            # caller might send its next request while the connection closes, and not know
            # whether it ran.
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
