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
        async with self._client.stream(
            request.method,
            url,
            headers=list(request.headers),
            content=request.body,
            timeout=timeout,
            extensions={} if check is None else {"trace": _before_first_byte(check)},
        ) as response:
            body = await _bounded_body(response)
        return CallResponse(response.status_code, tuple(response.headers.items()), body)


def _before_first_byte(check: Callable[[], None]):
    """Return a trace that calls `check` once a connection was made or acquired from the pool."""

    async def trace(event: str, info: dict) -> None:
        if event.endswith(_BEFORE_FIRST_BYTE):
            check()

    return trace


async def _bounded_body(response: httpx.Response) -> bytes:
    body = bytearray()
    async for chunk in response.aiter_bytes():
        body += chunk
        if len(body) > MAX_RESPONSE_BYTES:
            raise OutcomeUnknown(f"an answer of more than {MAX_RESPONSE_BYTES} bytes")
    return bytes(body)
