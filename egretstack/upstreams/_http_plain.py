"""A client for a plain service over HTTP."""

from collections.abc import Callable

import httpx
import trio

from egretstack.errors import NotRunProof
from egretstack.upstreams._plain import (
    CallRequest,
    CallResponse,
    OutcomeUnknown,
    PlainService,
    Unsent,
)

MAX_RESPONSE_BYTES = 8_388_608
_BEFORE_FIRST_BYTE = ".send_request_headers.started"
_SENDING_FAILED = (".send_request_headers.failed", ".send_request_body.failed")
_FRAMING = ("content-length", "transfer-encoding")


class HttpPlainService(PlainService):
    """A client of the runner at a base URL."""

    def __init__(self, client: httpx.AsyncClient, base_url: str) -> None:
        self._client = client
        self._base_url = base_url

    async def call(
        self, request: CallRequest, check: Callable[[], None] | None = None
    ) -> CallResponse:
        """Make a call. Raises Unsent, OutcomeUnknown, or what `check` raises."""
        try:
            # The client's own timeouts apply to each read, so a runner that sends a byte now and
            # then would hold the call open forever.
            with trio.fail_after(request.timeout_s):
                return await self._call(request, check)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            # Only a connection that was never made proves that nothing was sent. A reused one
            # that breaks proves nothing: the upstream may have read the call before that.
            raise Unsent(NotRunProof(repr(error))) from error
        except (httpx.HTTPError, httpx.InvalidURL, trio.TooSlowError) as error:
            raise OutcomeUnknown(repr(error)) from error

    async def _call(self, request: CallRequest, check: Callable[[], None] | None) -> CallResponse:
        url = self._base_url + request.path + (f"?{request.query}" if request.query else "")
        timeout = httpx.Timeout(request.timeout_s, connect=self._client.timeout.connect)
        trace = _SendTrace(check)
        async with self._client.stream(
            request.method,
            url,
            headers=list(request.headers),
            content=request.body,
            timeout=timeout,
            extensions={"trace": trace},
        ) as response:
            body = await _bounded_body(response)
        if trace.has_failed and not any(name in response.headers for name in _FRAMING):
            # The error may have been a reset, which the end of the connection does not show again.
            raise OutcomeUnknown("an answer without a length to a part of the call")
        return CallResponse(response.status_code, tuple(response.headers.items()), body)


class _SendTrace:
    """Calls `check` once a connection was made or acquired, and follows how the call is sent."""

    def __init__(self, check: Callable[[], None] | None) -> None:
        self._check = check
        self.has_failed = False
        """Whether sending failed; an answer may still be read."""

    async def __call__(self, event: str, info: dict) -> None:
        if event.endswith(_SENDING_FAILED):
            self.has_failed = True
        elif event.endswith(_BEFORE_FIRST_BYTE) and self._check is not None:
            self._check()


async def _bounded_body(response: httpx.Response) -> bytes:
    body = bytearray()
    async for chunk in response.aiter_bytes():
        body += chunk
        if len(body) > MAX_RESPONSE_BYTES:
            raise OutcomeUnknown(f"an answer of more than {MAX_RESPONSE_BYTES} bytes")
    return bytes(body)
