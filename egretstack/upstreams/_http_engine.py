"""A client for a model engine over HTTP.

It uses a subset of the OpenAI Responses API, and load reports in the Prometheus text format with
the metric names that vLLM publishes. Orders are a PUT of the desired models.
"""

import json
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager

import httpx
from httpx_sse import EventSource, SSEError
from prometheus_client.parser import text_string_to_metric_families

from egretstack.ids import GenerationId, ModelName
from egretstack.upstreams._engine import (
    CacheEvent,
    EngineBroken,
    EngineClient,
    EngineError,
    EngineEvent,
    EngineEventKind,
    EngineNoAnswer,
    EngineRefused,
    EngineSilent,
    EngineUnreachable,
    GenerationNotFound,
    GenerationRequest,
    GenerationState,
    LoadReport,
    Order,
    OrderRefused,
)

_HTTP_NOT_FOUND = 404
_HTTP_CONFLICT = 409
_BUSY_STATUSES = frozenset({429, 503})
_KIND_BY_NAME = {kind.value: kind for kind in EngineEventKind}
MAX_MODELS = 1000
MAX_CACHE_EVENTS = 10_000


class HttpEngine(EngineClient):
    """A client of the engine at a base URL. `silence_s` is the read timeout of streams, in seconds.

    `unpooled_client` keeps no idle connections. Requests about a generation whose stream failed
    use it, because an idle connection may have stopped responding just as the stream did.
    """

    def __init__(
        self,
        client: httpx.AsyncClient,
        unpooled_client: httpx.AsyncClient,
        base_url: str,
        silence_s: float,
    ) -> None:
        self._client = client
        self._unpooled_client = unpooled_client
        self._base_url = base_url
        self._stream_timeout = httpx.Timeout(client.timeout.connect, read=silence_s)

    @asynccontextmanager
    async def generate(self, request: GenerationRequest) -> AsyncIterator[AsyncIterator]:
        """Start a generation. Raises EngineUnreachable, EngineRefused, EngineBroken."""
        body = {
            "model": request.model,
            "input": request.prompt,
            "max_output_tokens": request.max_output_tokens,
            "stream": True,
            "background": True,
            "priority": request.priority,
        }
        opened = self._client.stream(
            "POST",
            f"{self._base_url}/v1/responses",
            content=json.dumps(body),
            timeout=self._stream_timeout,
        )
        async with _stream(opened, None) as events:
            yield events

    @asynccontextmanager
    async def resume(self, generation: GenerationId, after: int) -> AsyncIterator[AsyncIterator]:
        """Resume a generation's stream with the event after sequence number `after`."""
        params = {"stream": "true"}
        if after >= 0:
            params["starting_after"] = str(after)
        opened = self._unpooled_client.stream(
            "GET",
            f"{self._base_url}/v1/responses/{generation}",
            params=params,
            timeout=self._stream_timeout,
        )
        async with _stream(opened, generation) as events:
            yield events

    async def cancel(self, generation: GenerationId) -> None:
        """Cancel a generation; a missing one is no error. Raises EngineError."""
        response = await self._request("POST", f"/v1/responses/{generation}/cancel")
        if response.is_error and response.status_code != _HTTP_NOT_FOUND:
            raise EngineBroken(f"status {response.status_code}")

    async def state(self, generation: GenerationId) -> GenerationState:
        """Query a generation's state over a new connection.

        Raises EngineError, GenerationNotFound.
        """
        response = await self._request(
            "GET", f"/v1/responses/{generation}", client=self._unpooled_client
        )
        if response.status_code == _HTTP_NOT_FOUND:
            raise GenerationNotFound(generation)
        try:
            return GenerationState(response.json()["status"])
        except (ValueError, KeyError, TypeError) as error:
            raise EngineBroken("an answer that cannot be read") from error

    async def load(self) -> LoadReport:
        """Fetch the latest load report. Raises EngineError."""
        response = await self._request("GET", "/metrics")
        try:
            return _load_report(response.text)
        except (ValueError, KeyError) as error:
            raise EngineBroken("a load report that cannot be read") from error

    async def cache_events(self, after: int) -> list[CacheEvent]:
        """Fetch the cache events numbered above `after`; numbers may be missing."""
        response = await self._request("GET", "/cache-events", params={"after": str(after)})
        try:
            rows = response.json()["events"][:MAX_CACHE_EVENTS]
            return [CacheEvent(int(r["number"]), r["prefix"], bool(r["stored"])) for r in rows]
        except (ValueError, KeyError, TypeError) as error:
            raise EngineBroken("cache events that cannot be read") from error

    async def models(self) -> tuple[ModelName, ...]:
        """Fetch the models that the engine serves now. Raises EngineError."""
        response = await self._request("GET", "/v1/models")
        try:
            rows = response.json()["data"][:MAX_MODELS]
            return tuple(ModelName(str(row["id"])) for row in rows)
        except (ValueError, KeyError, TypeError) as error:
            raise EngineBroken("models that cannot be read") from error

    async def order(self, order: Order) -> None:
        """Send an order. Raises OrderRefused, EngineError."""
        body = {"id": order.id, "fencing": order.fencing, "models": list(order.models)}
        response = await self._request("PUT", "/orders", content=json.dumps(body))
        if response.status_code == _HTTP_CONFLICT:
            raise OrderRefused(order.id)
        if response.is_error:
            raise EngineBroken(f"status {response.status_code}")

    async def _request(
        self,
        method: str,
        path: str,
        *,
        client: httpx.AsyncClient | None = None,
        **options: object,
    ) -> httpx.Response:
        try:
            return await (client or self._client).request(method, self._base_url + path, **options)
        except (httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            raise EngineNoAnswer(repr(error)) from error
        except httpx.ConnectError as error:
            raise EngineUnreachable(repr(error)) from error
        except httpx.TimeoutException as error:
            raise EngineSilent(repr(error)) from error
        except httpx.HTTPError as error:
            raise EngineBroken(repr(error)) from error


@asynccontextmanager
async def _stream(
    opened: AbstractAsyncContextManager[httpx.Response], generation: GenerationId | None
) -> AsyncIterator[AsyncIterator[EngineEvent]]:
    try:
        async with opened as response:
            _check_stream(response, generation)
            yield _events(response, generation)
    except (httpx.ConnectTimeout, httpx.PoolTimeout) as error:
        raise EngineNoAnswer(repr(error)) from error
    except httpx.ConnectError as error:
        raise EngineUnreachable(repr(error)) from error
    except httpx.TimeoutException as error:
        raise EngineSilent(repr(error)) from error
    except (httpx.HTTPError, httpx.StreamError) as error:
        raise EngineBroken(repr(error)) from error


def _check_stream(response: httpx.Response, generation: GenerationId | None) -> None:
    if response.status_code in _BUSY_STATUSES:
        raise EngineRefused(f"status {response.status_code}", _retry_after(response))
    if response.status_code == _HTTP_NOT_FOUND and generation is not None:
        raise GenerationNotFound(generation)
    if response.is_error and generation is not None:
        # The generation may still exist: an answer such as 500 does not say that it is missing.
        raise EngineBroken(f"status {response.status_code}")
    if response.is_error:
        raise EngineError(f"status {response.status_code}")


def _retry_after(response: httpx.Response) -> float | None:
    text = response.headers.get("Retry-After", "")
    return float(text) if text.isdecimal() else None


async def _events(
    response: httpx.Response, generation: GenerationId | None
) -> AsyncIterator[EngineEvent]:
    """Decode events; they belong to the stream's own generation until an event names another."""
    ended = False
    try:
        async for message in EventSource(response).aiter_sse():
            kind = _KIND_BY_NAME.get(message.event)
            if kind is None:
                continue
            data = json.loads(message.data)
            generation = _generation_id(data, generation)
            sequence = int(data["sequence_number"])
            yield EngineEvent(generation, sequence, kind, _text_delta(data))
            ended = kind not in (EngineEventKind.CREATED, EngineEventKind.TOKEN)
    except httpx.TimeoutException as error:
        raise EngineSilent(repr(error)) from error
    except (httpx.HTTPError, httpx.StreamError, SSEError) as error:
        raise EngineBroken(repr(error)) from error
    except (ValueError, KeyError, TypeError) as error:
        raise EngineBroken(f"an event that cannot be read: {error!r}") from error
    if not ended:
        raise EngineBroken("the stream ended before the generation did")


def _text_delta(data: dict) -> str:
    delta = data.get("delta", "")
    if not isinstance(delta, str):
        raise TypeError("a delta that is not text")
    return delta


def _generation_id(data: dict, known: GenerationId | None) -> GenerationId:
    """Return the id of the generation that an event belongs to.

    A token event carries its item's id, which the engine derives from the generation's. If the
    stream's own generation were assumed instead, an event that came in from another generation's
    stream would not be detected.
    """
    if "response" in data:
        return GenerationId(data["response"]["id"])
    item = data.get("item_id")
    if item is not None:
        return GenerationId(item.removeprefix("msg_"))
    if known is None:
        raise ValueError("an event without a generation")
    return known


def _load_report(text: str) -> LoadReport:
    values: dict[str, float] = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            values[sample.name] = sample.value
    capacity = int(values["egret_engine_kv_capacity_tokens"])
    return LoadReport(
        age_s=values["egret_engine_report_age_seconds"],
        running=int(values["vllm:num_requests_running"]),
        waiting=int(values["vllm:num_requests_waiting"]),
        kv_used_tokens=round(values["vllm:kv_cache_usage_perc"] * capacity),
        kv_capacity_tokens=capacity,
        preemptions=int(values["vllm:num_preemptions_total"]),
        leaving=bool(values.get("egret_engine_leaving", 0)),
    )
