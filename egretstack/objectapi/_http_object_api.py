"""The object API over HTTP, following the conventions of the Kubernetes API."""

import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import httpx

from egretstack.objectapi._object_api import (
    DEFAULT_WATCH_DURATION_S,
    MAX_OBJECT_BYTES,
    Conflict,
    ObjectApi,
    ObjectKind,
    PlatformAway,
    PlatformError,
    PlatformOutcomeUnknown,
    Spec,
    StoredObject,
    WatchChange,
    WatchKind,
    WatchLost,
)

API_GROUP = "egretstack.dev/v1"
_WATCH_GRACE_S = 10.0
_HTTP_GONE = 410
_HTTP_CONFLICT = 409
_HTTP_NOT_FOUND = 404
_NOT_EXECUTED = frozenset({429, 503})


class HttpObjectApi(ObjectApi):
    """Client of the object API at a base URL."""

    def __init__(self, client: httpx.AsyncClient, base_url: str, namespace: str) -> None:
        self._client = client
        self._base = f"{base_url}/apis/{API_GROUP}/namespaces/{namespace}"

    async def get(self, kind: ObjectKind, name: str) -> StoredObject | None:
        """Read one object; None if there is none. Raises PlatformAway."""
        response = await self._read(f"{self._base}/{kind.value}/{name}")
        if response.status_code == _HTTP_NOT_FOUND:
            return None
        return _parse_object(kind, _json_body(response))

    async def list(self, kind: ObjectKind) -> list[StoredObject]:
        """Read all objects of a kind. Raises PlatformAway."""
        body = _json_body(await self._read(f"{self._base}/{kind.value}"))
        items = body.get("items")
        if not isinstance(items, list):
            raise PlatformAway("a list without items")
        return [_parse_object(kind, item) for item in items]

    async def create(self, kind: ObjectKind, name: str, spec: Spec) -> StoredObject:
        """Create an object. Raises Conflict if it exists, PlatformAway, PlatformOutcomeUnknown."""
        document = {"metadata": {"name": name}, "spec": spec}
        response = await self._write("POST", f"{self._base}/{kind.value}", document)
        return _parse_object(kind, _json_body(response))

    async def replace(self, kind: ObjectKind, name: str, spec: Spec, version: str) -> StoredObject:
        """Replace an object if it still has `version`; raises what `ObjectApi.replace` raises."""
        document = {"metadata": {"name": name, "resourceVersion": version}, "spec": spec}
        response = await self._write("PUT", f"{self._base}/{kind.value}/{name}", document)
        return _parse_object(kind, _json_body(response))

    async def delete(self, kind: ObjectKind, name: str, version: str) -> None:
        """Delete an object if it still has `version`; raises what `replace` raises."""
        document = {"preconditions": {"resourceVersion": version}}
        await self._write("DELETE", f"{self._base}/{kind.value}/{name}", document)

    @asynccontextmanager
    async def watch(
        self, kind: ObjectKind, since: str | None, duration_s: float = DEFAULT_WATCH_DURATION_S
    ) -> AsyncIterator[AsyncIterator[WatchChange]]:
        """Follow changes after the version `since`. Raises PlatformAway, WatchLost."""
        params = {
            "watch": "true",
            "allowWatchBookmarks": "true",
            "timeoutSeconds": f"{duration_s:g}",
        }
        if since is not None:
            params["resourceVersion"] = since
        timeout = httpx.Timeout(self._client.timeout.connect, read=duration_s + _WATCH_GRACE_S)
        try:
            async with self._client.stream(
                "GET", f"{self._base}/{kind.value}", params=params, timeout=timeout
            ) as response:
                if response.status_code == _HTTP_GONE:
                    raise WatchLost("the version to start from is too old")
                if response.is_error:
                    raise PlatformAway(f"status {response.status_code}")
                yield _parse_changes(kind, response)
        except httpx.ConnectError as error:
            raise PlatformAway(repr(error)) from error
        except httpx.HTTPError as error:
            raise WatchLost(repr(error)) from error

    async def _read(self, url: str) -> httpx.Response:
        try:
            response = await self._client.get(url)
        except httpx.HTTPError as error:
            raise PlatformAway(repr(error)) from error
        if response.is_error and response.status_code != _HTTP_NOT_FOUND:
            raise PlatformAway(f"status {response.status_code}")
        return response

    async def _write(self, method: str, url: str, document: object) -> httpx.Response:
        body = json.dumps(document).encode()
        if len(body) > MAX_OBJECT_BYTES:
            raise PlatformError(f"object of {len(body)} bytes is larger than the platform holds")
        try:
            response = await self._client.request(method, url, content=body)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            raise PlatformAway(repr(error)) from error
        except httpx.HTTPError as error:
            # The request may have arrived and taken effect, with only its response lost.
            raise PlatformOutcomeUnknown(repr(error)) from error
        return _check_write(response)


def _check_write(response: httpx.Response) -> httpx.Response:
    if response.status_code in (_HTTP_CONFLICT, _HTTP_NOT_FOUND):
        raise Conflict(f"status {response.status_code}")
    if response.status_code in _NOT_EXECUTED:
        raise PlatformAway(f"status {response.status_code}")
    if response.is_error:
        raise PlatformOutcomeUnknown(f"status {response.status_code}")
    return response


def _json_body(response: httpx.Response) -> dict[str, object]:
    if len(response.content) > MAX_OBJECT_BYTES * 64:
        raise PlatformAway("an answer too large to read")
    try:
        body = response.json()
    except ValueError as error:
        raise PlatformAway("an answer that is not JSON") from error
    if not isinstance(body, dict):
        raise PlatformAway("an answer that is not an object")
    return body


def _parse_object(kind: ObjectKind, item: object) -> StoredObject:
    try:
        metadata = item["metadata"]
        spec = item.get("spec", {})
        return StoredObject(kind, metadata["name"], metadata["resourceVersion"], spec)
    except (KeyError, TypeError, AttributeError) as error:
        raise PlatformAway("an object without name or version") from error


async def _parse_changes(kind: ObjectKind, response: httpx.Response) -> AsyncIterator[WatchChange]:
    async for line in response.aiter_lines():
        if not line:
            continue
        try:
            event = json.loads(line)
            change_kind = WatchKind(event["type"])
            item = event["object"]
        except (ValueError, KeyError, TypeError) as error:
            raise WatchLost("a report that cannot be read") from error
        if change_kind is WatchKind.BOOKMARK:
            item.setdefault("metadata", {}).setdefault("name", "")
        yield WatchChange(change_kind, _parse_object(kind, item))
