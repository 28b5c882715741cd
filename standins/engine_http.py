"""The engine stand-in as an HTTP process: a subset of the OpenAI Responses API."""

import json
from collections import Counter
from collections.abc import AsyncIterator

from quart import Response, request
from quart_trio import QuartTrio

from egretstack.ids import GenerationId, ModelName
from egretstack.upstreams import (
    EngineEvent,
    EngineEventKind,
    GenerationRequest,
    Order,
    OrderRefused,
)
from standins.live_engine import Generation, LiveEngine


def make_engine_app(engine: LiveEngine) -> QuartTrio:
    """Build the app; the caller must run `engine.run` concurrently."""
    app = QuartTrio("engine-standin")

    @app.post("/v1/responses")
    async def create() -> Response:
        body = await request.get_json(force=True)
        if body["model"] not in engine.models:
            return Response(b"", status=400)
        generation = engine.start(
            GenerationRequest(
                ModelName(body["model"]),
                body["input"],
                body["max_output_tokens"],
                body.get("priority", 0),
            )
        )
        return _stream(generation, -1)

    @app.get("/v1/responses/<generation_id>")
    async def get(generation_id: str) -> Response:
        generation = engine.by_id.get(GenerationId(generation_id))
        if generation is None:
            return Response(b"", status=404)
        if request.args.get("stream") == "true":
            return _stream(generation, int(request.args.get("starting_after", "-1")))
        return _json({"id": generation.id, "status": generation.state.value})

    @app.post("/v1/responses/<generation_id>/cancel")
    async def cancel(generation_id: str) -> Response:
        generation = engine.by_id.get(GenerationId(generation_id))
        if generation is None:
            return Response(b"", status=404)
        engine.cancel(generation)
        return _json({"id": generation.id, "status": generation.state.value})

    _add_internal_routes(app, engine)
    return app


def _add_internal_routes(app: QuartTrio, engine: LiveEngine) -> None:
    @app.get("/cache-events")
    async def cache_events() -> Response:
        events = engine.cache_events(int(request.args.get("after", "0")))
        rows = [{"number": e.number, "prefix": e.prefix, "stored": e.stored} for e in events]
        return _json({"events": rows})

    @app.get("/v1/models")
    async def models() -> Response:
        return _json({"object": "list", "data": [{"id": name} for name in engine.models]})

    @app.put("/orders")
    async def order() -> Response:
        body = await request.get_json(force=True)
        models = tuple(ModelName(name) for name in body["models"])
        try:
            engine.order(Order(body["id"], int(body["fencing"]), models))
        except OrderRefused:
            return Response(b"", status=409)
        return _json({"models": list(engine.models)})

    read_counts = Counter()

    @app.get("/readings")
    async def get_readings() -> Response:
        return _json(read_counts)

    @app.get("/metrics")
    async def metrics() -> Response:
        read_counts["load"] += 1
        return Response(_metrics_text(engine), content_type="text/plain; version=0.0.4")


def _json(body: dict[str, object]) -> Response:
    return Response(json.dumps(body), content_type="application/json")


def _metrics_text(engine: LiveEngine) -> str:
    report = engine.load()
    usage = report.kv_used_tokens / report.kv_capacity_tokens
    rows = {
        "vllm:num_requests_running": report.running,
        "vllm:num_requests_waiting": report.waiting,
        "vllm:kv_cache_usage_perc": usage,
        "vllm:num_preemptions_total": report.preemptions,
        "egret_engine_kv_capacity_tokens": report.kv_capacity_tokens,
        "egret_engine_report_age_seconds": report.age_s,
        "egret_engine_leaving": int(report.leaving),
    }
    return "".join(f"{name} {value}\n" for name, value in rows.items())


def _stream(generation: Generation, after: int) -> Response:
    response = Response(_event_stream(generation, after), content_type="text/event-stream")
    response.timeout = None
    return response


async def _event_stream(generation: Generation, after: int) -> AsyncIterator[bytes]:
    position = after + 1
    while True:
        changed = generation.changed
        ready = generation.events[position:]
        if ready:
            position += len(ready)
            yield b"".join(_encode(event) for event in ready)
        if generation.ended_s is not None and position >= len(generation.events):
            return
        await changed.wait()


def _encode(event: EngineEvent) -> bytes:
    data: dict[str, object] = {"type": event.kind.value, "sequence_number": event.sequence}
    if event.kind is EngineEventKind.TOKEN:
        data["item_id"] = "msg_" + event.generation
        data["delta"] = event.text
    else:
        data["response"] = {"id": event.generation}
    return f"event: {event.kind.value}\ndata: {json.dumps(data)}\n\n".encode()
