"""Wire format between an instance and its clients, and for the platform's own checks.

Request headers carry the client's own id of each attempt, the time in milliseconds that it will
wait, the size of the requested generation, and the account's API key as a bearer token.
"""

import json
from urllib.parse import parse_qs

from egretstack.http1 import (
    BadRequest,
    Header,
    RequestHead,
    ResponseHead,
    connection_options,
    first_value,
)
from egretstack.ids import ModelName, RegionName
from egretstack.traffic import ClientRequest, Generation, PromptPart

READY_PATH = "/egretstack/ready"
DIRECTORY_PATH = "/egretstack/resolve"

_ATTEMPT_ID = b"attempt-id"
_DEADLINE_MS = b"deadline-ms"
_MODEL = b"model"
_TOKEN_COUNT = b"token-count"
_PROMPT_PREFIX = b"prompt-prefix"
_LENGTH_HINT = b"length-hint"
_LAST_EVENT_ID = b"last-event-id"
_AUTHORIZATION = b"authorization"
_RETRY_AFTER = b"retry-after"
_BEARER = "bearer "
_MAX_PROMPT_PARTS = 64
_REASONS = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


_END_TO_END = frozenset(
    {
        b"host",
        _ATTEMPT_ID,
        _DEADLINE_MS,
        _MODEL,
        _TOKEN_COUNT,
        _PROMPT_PREFIX,
        _LENGTH_HINT,
        _LAST_EVENT_ID,
        _AUTHORIZATION,
    }
)
"""Headers that make a request what it is. A client that names one of them in `Connection` asks to
drop it on the way, and for another request to be run."""


def decode_request(head: RequestHead, body: bytes) -> ClientRequest:
    """Decode a client's request; an unreadable hint counts as missing. Raises BadRequest."""
    dropped = connection_options(head.headers) & _END_TO_END
    if dropped:
        names = b", ".join(sorted(dropped)).decode()
        raise BadRequest(400, f"Connection names what is not for one connection: {names}")
    deadline_ms = _parse_number(_header_value(head, _DEADLINE_MS))
    return ClientRequest(
        attempt_id=_header_value(head, _ATTEMPT_ID),
        host=_header_value(head, b"host"),
        path=head.target.decode("latin-1").partition("?")[0],
        head=head,
        body=body,
        time_left_s=None if deadline_ms is None else deadline_ms / 1000,
        api_key=_parse_bearer_key(_header_value(head, _AUTHORIZATION)),
        generation=_decode_generation(head),
        last_event_id=_header_value(head, _LAST_EVENT_ID),
    )


def is_directory_request(head: RequestHead) -> bool:
    """Return whether a request asks the directory which instances to use."""
    return _split_target(head)[0] == DIRECTORY_PATH


def is_readiness_request(head: RequestHead) -> bool:
    """Return whether a request asks if this instance is ready."""
    return _split_target(head)[0] == READY_PATH


def requested_region(head: RequestHead) -> RegionName:
    """Return the client's region in a directory request; empty if it names none."""
    return RegionName(_query_parameter(head, "region"))


def requested_host(head: RequestHead) -> str:
    """Return the host that a directory request is about; empty if it names none."""
    return _query_parameter(head, "name")


def _query_parameter(head: RequestHead, name: str) -> str:
    query = parse_qs(_split_target(head)[1])
    return query.get(name, [""])[0]


def _split_target(head: RequestHead) -> tuple[str, str]:
    """Return the path and the query of a request's target, whatever it holds.

    A library's parser of URLs raises an error for some of the targets that HTTP allows.
    """
    path, _, query = head.target.decode("latin-1").partition("#")[0].partition("?")
    if not path.startswith("/") and "://" in path:
        path = "/" + path.partition("://")[2].partition("/")[2]
    return path, query


def directory_answer(addresses: list[str], ttl_s: float) -> tuple[ResponseHead, bytes]:
    """Return the answer to a directory request; clients may cache it for `ttl_s`."""
    return json_answer(200, {"addresses": addresses, "ttl-s": ttl_s})


def json_answer(
    status: int, document: object, retry_after_s: float | None = None
) -> tuple[ResponseHead, bytes]:
    """Return a JSON answer that the system itself generates."""
    headers: list[Header] = [(b"content-type", b"application/json")]
    if retry_after_s is not None:
        headers.append((_RETRY_AFTER, b"%.3f" % retry_after_s))
    head = ResponseHead(status, _REASONS.get(status, b"Unknown"), tuple(headers))
    return head, json.dumps(document).encode()


def _decode_generation(head: RequestHead) -> Generation | None:
    counts = _header_value(head, _TOKEN_COUNT).split(",")
    numbers = [_parse_number(count) for count in counts]
    if len(numbers) != 2 or None in numbers:
        return None
    hint = _parse_number(_header_value(head, _LENGTH_HINT))
    return Generation(
        model=ModelName(_header_value(head, _MODEL)),
        prompt_tokens=int(numbers[0]),
        max_output_tokens=int(numbers[1]),
        length_hint=None if hint is None else int(hint),
        prompt_parts=_parse_prompt_parts(_header_value(head, _PROMPT_PREFIX)),
    )


def _parse_prompt_parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for item in text.split(",")[:_MAX_PROMPT_PARTS]:
        part_id, _, tokens = item.strip().partition(":")
        size = _parse_number(tokens)
        if part_id and size is not None:
            parts.append(PromptPart(part_id, int(size)))
    return tuple(parts)


def _parse_bearer_key(text: str) -> str | None:
    if text[: len(_BEARER)].lower() != _BEARER:
        return None
    return text[len(_BEARER) :].strip() or None


def _header_value(head: RequestHead, name: bytes) -> str:
    return (first_value(head.headers, name) or b"").decode("latin-1").strip()


def _parse_number(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0 <= value < 1e9 else None
