"""Answers to callers: objects and events of the OpenAI Responses API, and problem details."""

import json

from quart import Response

from egretstack.errors import ANSWERS, EgretError, ErrorKind, RunState, problem_document
from egretstack.ids import ModelName, SessionId
from egretstack.sessions import FinishedAnswer
from egretstack.upstreams import EngineEvent, EngineEventKind

PROBLEM_CONTENT_TYPE = "application/problem+json"
HEARTBEAT = b": waiting\n\n"
_ITEM_ID = "msg_0"


def problem(error: EgretError, *, keyed: bool = False) -> Response:
    """Build the answer for an error; `keyed` is the same as for `run_state`."""
    document = problem_document(error.kind, error.detail, error.retry_after_s, keyed=keyed)
    if error.delivered is not None:
        document["delivered_tokens"] = error.delivered
    document["error"] = {"code": error.kind.value, "message": error.detail}
    response = Response(
        json.dumps(document),
        status=ANSWERS[error.kind].status,
        content_type=PROBLEM_CONTENT_TYPE,
    )
    if error.retry_after_s is not None:
        response.headers["Retry-After"] = str(error.retry_after_s)
    return response


def json_answer(body: dict[str, object], status: int = 200) -> Response:
    """Build a JSON answer."""
    return Response(json.dumps(body), status=status, content_type="application/json")


def completed_answer(session: SessionId, model: ModelName, answer: FinishedAnswer) -> dict:
    """Return a completed response object; for a stream without text, which was already sent."""
    output = []
    if answer.text:
        content = {"type": "output_text", "text": answer.text, "annotations": []}
        item = {"type": "message", "id": _ITEM_ID, "role": "assistant", "status": "completed"}
        output.append(item | {"content": [content]})
    body = _response_object(session, model, "completed")
    body["output"] = output
    body["usage"] = {"output_tokens": answer.output_tokens}
    return body


def status_answer(session: SessionId, status: str) -> dict:
    """Return a response object that contains only the status of its generation."""
    return _response_object(session, ModelName(""), status)


def encode_batch(events: list[EngineEvent], session: SessionId, model: ModelName) -> bytes:
    """Encode events for one write; an empty batch becomes a heartbeat."""
    if not events:
        return HEARTBEAT
    return b"".join(_encode_event(event, session, model) for event in events)


def encode_end(
    outcome: FinishedAnswer | EgretError,
    session: SessionId | None,
    model: ModelName,
    sequence: int,
) -> bytes:
    """Encode the last event of a stream."""
    if isinstance(outcome, FinishedAnswer):
        body = completed_answer(session or SessionId(""), model, outcome)
        return _server_sent_event(EngineEventKind.COMPLETED.value, sequence, {"response": body})
    body = _response_object(session or SessionId(""), model, "failed")
    body["error"] = {"code": outcome.kind.value, "message": outcome.detail}
    body["problem"] = problem_document(outcome.kind, outcome.detail, outcome.retry_after_s)
    body["problem"]["delivered_tokens"] = outcome.delivered or 0
    return _server_sent_event(EngineEventKind.FAILED.value, sequence, {"response": body})


def _encode_event(event: EngineEvent, session: SessionId, model: ModelName) -> bytes:
    if event.kind is EngineEventKind.TOKEN:
        # Formatted by hand: encoding this event is most of the cost of a token.
        text = json.dumps(event.text)
        return (
            b"event: response.output_text.delta\n"
            b'data: {"type":"response.output_text.delta","item_id":"msg_0","output_index":0,'
            b'"content_index":0,"logprobs":[],"sequence_number":%d,"delta":%s}\n\n'
        ) % (event.sequence, text.encode())
    body = _response_object(session, model, "in_progress")
    return _server_sent_event(event.kind.value, event.sequence, {"response": body})


def _server_sent_event(name: str, sequence: int, data: dict[str, object]) -> bytes:
    row = {"type": name, "sequence_number": sequence} | data
    return f"event: {name}\ndata: {json.dumps(row)}\n\n".encode()


def _response_object(session: SessionId, model: ModelName, status: str) -> dict:
    return {
        "id": session,
        "object": "response",
        "created_at": 0,
        "model": model,
        "status": status,
        "output": [],
        "parallel_tool_calls": False,
        "tool_choice": "auto",
        "tools": [],
    }


def may_have_run(kind: ErrorKind) -> bool:
    """Return whether a request answered with this kind of error may have run."""
    return ANSWERS[kind].run is not RunState.NOT_RUN
