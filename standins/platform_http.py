"""The platform stand-in as an HTTP process: object API, instance list and model weight store."""

import json
from collections.abc import AsyncIterator
from dataclasses import asdict, fields

import trio
from quart import Response, request
from quart_trio import QuartTrio

from egretstack.objectapi import Conflict, ObjectKind, StoredObject, WatchChange, WatchLost
from standins.object_store import Faults, ObjectStore

_API = "/apis/egretstack.dev/v1/namespaces/<namespace>"
_INSTANCE_LIST = "/apis/discovery.k8s.io/v1/namespaces/<namespace>/endpointslices"


class ListedServices:
    """The instance list: EndpointSlices by service, changed through `PUT /instances`."""

    def __init__(self) -> None:
        self.by_service: dict[str, dict] = {}
        self.reads = 0

    def body(self) -> dict[str, object]:
        """Return the list as EndpointSlices."""
        return {"kind": "EndpointSliceList", "items": list(self.by_service.values())}


def make_platform_app(store: ObjectStore, listed: ListedServices) -> QuartTrio:
    """Build the app."""
    app = QuartTrio("platform-standin")
    _add_object_routes(app, store)
    _add_watch_route(app, store)
    _add_control_routes(app, store, listed)
    return app


def _add_object_routes(app: QuartTrio, store: ObjectStore) -> None:
    @app.get(_API + "/<kind>/<name>")
    async def get(namespace: str, kind: str, name: str) -> Response:
        error = await _begin_call(store, "get", kind)
        if error:
            return error
        found = store.by_place.get((ObjectKind(kind), name))
        return Response(b"", status=404) if found is None else _json(_item(found))

    @app.post(_API + "/<kind>")
    async def create(namespace: str, kind: str) -> Response:
        body = await request.get_json(force=True)
        return await _write(store, "create", kind, body["metadata"]["name"], body, None)

    @app.put(_API + "/<kind>/<name>")
    async def replace(namespace: str, kind: str, name: str) -> Response:
        body = await request.get_json(force=True)
        version = body["metadata"].get("resourceVersion", "")
        return await _write(store, "replace", kind, name, body, version)

    @app.delete(_API + "/<kind>/<name>")
    async def delete(namespace: str, kind: str, name: str) -> Response:
        body = await request.get_json(force=True)
        error = await _begin_call(store, "delete", kind)
        if error:
            return error
        try:
            store.remove(ObjectKind(kind), name, body["preconditions"]["resourceVersion"])
        except Conflict:
            return Response(b"", status=409)
        return _json({})


def _add_watch_route(app: QuartTrio, store: ObjectStore) -> None:
    @app.get(_API + "/<kind>")
    async def list_or_watch(namespace: str, kind: str) -> Response:
        watching = request.args.get("watch") == "true"
        error = await _begin_call(store, "watch" if watching else "list", kind)
        if error:
            return error
        if not watching:
            items = [_item(stored) for stored in store.of_kind(ObjectKind(kind))]
            return _json({"metadata": {"resourceVersion": str(store.version)}, "items": items})
        since = int(request.args.get("resourceVersion", store.version))
        duration_s = float(request.args.get("timeoutSeconds", "30"))
        try:
            store.changes_since(ObjectKind(kind), since)
        except WatchLost:
            return Response(b"", status=410)
        response = Response(_watch_lines(store, ObjectKind(kind), since, duration_s))
        response.timeout = None
        return response


def _add_control_routes(app: QuartTrio, store: ObjectStore, listed: ListedServices) -> None:
    @app.get(_INSTANCE_LIST)
    async def instances(namespace: str) -> Response:
        listed.reads += 1
        return _json(listed.body())

    @app.put("/instances/<service>")
    async def set_instances(service: str) -> Response:
        listed.by_service[service] = await request.get_json(force=True)
        return _json({})

    @app.put("/faults")
    async def set_faults() -> Response:
        known = {field.name for field in fields(Faults)}
        body = await request.get_json(force=True)
        store.faults = Faults(**{name: value for name, value in body.items() if name in known})
        return _json(asdict(store.faults))

    @app.get("/calls")
    async def calls() -> Response:
        counts = {f"{verb} {kind.value}": n for (verb, kind), n in store.calls.items()}
        return _json(
            {
                "calls": counts,
                "waiting_watches": store.waiting_watches,
                "list_reads": listed.reads,
            }
        )

    @app.get("/weights/<model>")
    async def weights(model: str) -> Response:
        return _json({"versions": ["1"]})


async def _begin_call(store: ObjectStore, verb: str, kind: str) -> Response | None:
    if kind not in {known.value for known in ObjectKind}:
        return Response(b"", status=404)
    store.calls[verb, ObjectKind(kind)] += 1
    await trio.sleep(store.faults.delay_s)
    return Response(b"", status=503) if store.faults.down else None


async def _write(
    store: ObjectStore, verb: str, kind: str, name: str, body: dict, version: str | None
) -> Response:
    error = await _begin_call(store, verb, kind)
    if error:
        return error
    if store.faults.lose_requests:
        store.faults.lose_requests -= 1
        await trio.sleep_forever()
    try:
        stored = store.put(ObjectKind(kind), name, body["spec"], version)
    except Conflict:
        return Response(b"", status=409)
    if store.faults.lose_answers:
        store.faults.lose_answers -= 1
        await trio.sleep_forever()
    return _json(_item(stored))


def _json(body: dict) -> Response:
    return Response(json.dumps(body), content_type="application/json")


def _item(stored: StoredObject) -> dict[str, object]:
    metadata = {"name": stored.name, "resourceVersion": stored.version}
    return {"metadata": metadata, "spec": stored.spec}


async def _watch_lines(
    store: ObjectStore, kind: ObjectKind, after: int, duration_s: float
) -> AsyncIterator[bytes]:
    store.waiting_watches += 1
    try:
        with trio.move_on_after(duration_s):
            while not store.faults.down:
                changed = store.changed
                try:
                    rows = store.changes_since(kind, after)
                except WatchLost:
                    return
                if rows and not store.faults.silent_watches:
                    after = rows[-1][0]
                    yield b"".join(_watch_line(change) for _, change in rows)
                await changed.wait()
        bookmark = {"metadata": {"resourceVersion": str(store.version)}}
        yield json.dumps({"type": "BOOKMARK", "object": bookmark}).encode() + b"\n"
    finally:
        store.waiting_watches -= 1


def _watch_line(change: WatchChange) -> bytes:
    row = {"type": change.kind.value, "object": _item(change.object)}
    return json.dumps(row).encode() + b"\n"
