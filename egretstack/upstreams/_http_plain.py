"""A plain service over HTTP."""

import httpx

from egretstack.errors import NotRunProof
from egretstack.upstreams._plain import (
    CallRequest,
    CallResponse,
    OutcomeUnknown,
    PlainService,
    Unsent,
)

MAX_RESPONSE_BYTES = 8_388_608


class HttpPlainService(PlainService):
    """One runner at a base URL."""

    def __init__(self, client: httpx.AsyncClient, base_url: str) -> None:
        self._client = client
        self._base = base_url

    async def call(self, request: CallRequest) -> CallResponse:
        """Make a call. Raises Unsent or OutcomeUnknown."""
        url = self._base + request.path + (f"?{request.query}" if request.query else "")
        timeout = httpx.Timeout(request.timeout_s, connect=self._client.timeout.connect)
        try:
            async with self._client.stream(
                request.method,
                url,
                headers=list(request.headers),
                content=request.body,
                timeout=timeout,
            ) as response:
                body = await _bounded_body(response)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            # Only a connection that was never made proves that nothing left. A reused one that
            # breaks proves nothing: the upstream may have read the call before it broke.
            raise Unsent(NotRunProof(repr(error))) from error
        except httpx.HTTPError as error:
            raise OutcomeUnknown(repr(error)) from error
        return CallResponse(response.status_code, tuple(response.headers.items()), body)


async def _bounded_body(response: httpx.Response) -> bytes:
    body = bytearray()
    async for chunk in response.aiter_bytes():
        body += chunk
        if len(body) > MAX_RESPONSE_BYTES:
            raise OutcomeUnknown(f"an answer of more than {MAX_RESPONSE_BYTES} bytes")
    return bytes(body)
