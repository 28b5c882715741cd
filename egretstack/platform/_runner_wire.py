"""Wire format of the requests to runners and of their answers.

Some names on the wire are misleading: a run's `created` is the number of events that it has
generated so far, `leaves_ms` is the time until a runner ends, and `kv-used` counts only memory
that cannot be evicted.
"""

import json
import re

from egretstack.http1 import (
    Header,
    Headers,
    RequestHead,
    ResponseHead,
    first_value,
    hop_by_hop_headers,
)
from egretstack.ids import RunnerName
from egretstack.platform._bodies import BadBody, Body, integer, number, parse_object, text
from egretstack.platform._runners import MAX_COLD_MS, parse_started_ms
from egretstack.traffic import (
    ClientRequest,
    MoveAnswer,
    MoveOutcome,
    RunnerAnswer,
    RunnerHealth,
    RunnerLoad,
    RunnerReport,
    RunReport,
    SendOptions,
)

REPORT_PATH = b"/egretstack/report"
_MOVE_PATH = b"/egretstack/kv-move"
_HANDLE_PATH = b"/egretstack/kv-handle/"

_ATTEMPT_ID = b"attempt-id"
_SEAL = b"runner-seal"
_NOT_EXECUTED = b"not-executed"
_RUNNER_ID = b"runner-id"
_LOAD = b"runner-load"
_COLD_MS = b"cold-ms"
_LIMIT = b"server-limit"
_BRITTLE = b"server-brittle"
_LEAVING = b"server-leaving"
_RETRY_AFTER = b"retry-after"
_DEADLINE_MS = b"deadline-ms"
_LAST_EVENT_ID = b"last-event-id"

_REQUEST_RESERVED = frozenset(
    {
        b"authorization",
        b"tenant",
        b"expect-runner",
        b"expect-version",
        b"request-priority",
        b"hold",
        b"pin-ms",
        b"kv-backup",
        b"kv-from",
        b"kv-fetch",
        b"not-executed",
        b"runner-seal",
        b"runner-id",
        _DEADLINE_MS,
        _LAST_EVENT_ID,
    }
)
"""Headers never forwarded from a client: only the system may set them on requests to a runner, and
the account's key stays with the system. A client's `Last-Event-Id` reaches runners on resumable
routes only, as `SendOptions.last_event_id`.
"""

_RESPONSE_RESERVED = frozenset({_RUNNER_ID, _LOAD, _NOT_EXECUTED, _COLD_MS})
"""Headers of an answer that are meant for the system only; clients do not get them."""

_MAX_PRIORITY = 9
_MAX_COLD_DIGITS = 12
_MAX_LOAD_DIGITS = 7
_MAX_FIGURE = 1 << 53
_MAX_LOAD_FIGURES = 4
_MISDIRECTED = 421
_MAX_LIMIT_PER_S = 1_000_000.0
"""Highest limit, in requests per second, that is accepted from a runner."""
_MAX_BACKOFF_S = 3600.0
"""Longest backoff that is honoured; a runner that needs more asks for it again."""
_UNAVAILABLE = 503
_HANDLE_PATTERN = re.compile(r"[!-~]{1,256}")
"""Visible ASCII without blanks, since a copy's handle is sent in a path and in a header."""
_DECIMAL_PATTERN = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,12})?")


def runner_request(request: ClientRequest, options: SendOptions) -> RequestHead:
    """Return the request head that is sent to a runner for a client's request."""
    dropped = hop_by_hop_headers(request.head.headers) | _REQUEST_RESERVED
    headers = [header for header in request.head.headers if header[0] not in dropped]
    headers.append((_DEADLINE_MS, b"%d" % max(1, int(options.time_left_s * 1000))))
    headers.append((b"expect-runner", options.runner_name.encode()))
    if options.account is not None:
        headers.append((b"tenant", options.account.encode()))
    if options.priority is not None:
        headers.append((b"request-priority", b"%d" % min(_MAX_PRIORITY, max(0, options.priority))))
    if options.backup_address is not None:
        headers.append((b"kv-backup", options.backup_address.encode()))
    headers.extend(_continuation_headers(options))
    if request.body or first_value(request.head.headers, b"content-length") is not None:
        headers.append((b"content-length", b"%d" % len(request.body)))
    return RequestHead(request.head.method, request.head.target, tuple(headers))


def _continuation_headers(options: SendOptions) -> list[Header]:
    if options.continue_from is not None:
        copy_path = f"{options.continue_from.address}/{options.continue_from.copy_id}"
        return [
            (b"kv-from", copy_path.encode()),
            (_LAST_EVENT_ID, options.continue_from.last_event_id.encode("latin-1")),
        ]
    if options.last_event_id is not None:
        return [(_LAST_EVENT_ID, options.last_event_id.encode("latin-1"))]
    return []


def runner_answer(head: ResponseHead) -> RunnerAnswer:
    """Decode the head of a runner's answer."""
    load, load_valid = _parse_load(first_value(head.headers, _LOAD))
    return RunnerAnswer(
        head=head,
        attempt_id=(first_value(head.headers, _ATTEMPT_ID) or b"").decode("latin-1"),
        sealed=bool(first_value(head.headers, _SEAL)),
        rejected=head.status == _MISDIRECTED
        or first_value(head.headers, _NOT_EXECUTED) is not None,
        misdirected=head.status == _MISDIRECTED,
        encoded=first_value(head.headers, b"content-encoding") is not None,
        load=load,
        load_invalid=not load_valid,
        limit_per_s=_parse_limit(first_value(head.headers, _LIMIT)),
        brittle_per_s=_parse_limit(first_value(head.headers, _BRITTLE)),
        leaving=first_value(head.headers, _LEAVING) == b"1",
        backoff_s=_parse_backoff_s(head),
    )


def client_head(answer: RunnerAnswer) -> ResponseHead:
    """Return the response head that is sent to a client for a runner's answer."""
    dropped = hop_by_hop_headers(answer.head.headers) | _RESPONSE_RESERVED
    kept: Headers = tuple(header for header in answer.head.headers if header[0] not in dropped)
    return ResponseHead(answer.head.status, answer.head.reason, kept)


def _parse_load(value: bytes | None) -> tuple[RunnerLoad | None, bool]:
    """Parse a load; return what could be read, and whether that was all of it.

    The running and waiting requests are needed, and the fourth figure is optional. Figures after it
    are ignored.
    """
    if value is None:
        return None, True
    figures = [_parse_load_figure(part) for part in value.split(b",", _MAX_LOAD_FIGURES)]
    running, waiting, slots, percent = (*figures, None, None, None)[:_MAX_LOAD_FIGURES]
    if running is None or waiting is None:
        return None, False
    valid = len(figures) in (3, 4) and None not in figures and percent != 0
    return RunnerLoad(running, waiting, slots, percent or None), valid


def _parse_load_figure(part: bytes) -> int | None:
    digits = part.strip()
    return int(digits) if digits.isdigit() and len(digits) <= _MAX_LOAD_DIGITS else None


def _parse_backoff_s(head: ResponseHead) -> float | None:
    if head.status != _UNAVAILABLE:
        return None
    backoff_s = _parse_decimal(first_value(head.headers, _RETRY_AFTER))
    return None if backoff_s is None else min(backoff_s, _MAX_BACKOFF_S)


def _parse_limit(value: bytes | None) -> float | None:
    per_s = _parse_decimal(value)
    return per_s if per_s is not None and per_s <= _MAX_LIMIT_PER_S else None


def _parse_decimal(value: bytes | None) -> float | None:
    """Parse a non-negative decimal number; None if it is invalid."""
    text = (value or b"").strip()
    return float(text) if _DECIMAL_PATTERN.fullmatch(text) else None


def report_request(address: str) -> RequestHead:
    """Return the request for an engine's report."""
    return RequestHead(b"GET", REPORT_PATH, ((b"host", address.encode()),))


def runner_report(body: bytes) -> RunnerReport:
    """Decode an engine's report. Raises BadBody."""
    row = parse_object(body)
    return RunnerReport(
        leaving=text(row, "state", "ready") == "draining",
        leaves_in_s=_decode_leaves_s(row),
        running=_figure(row, "running"),
        waiting=_figure(row, "waiting"),
        kv_used_tokens=_figure(row, "kv-used"),
        kv_total_tokens=_figure(row, "kv-total"),
        runs=_decode_runs(row),
        started_ms=parse_started_ms(row),
    )


def _decode_leaves_s(row: Body) -> float | None:
    try:
        return number(row, "leaves_ms") / 1000
    except BadBody:
        return None


def _figure(row: Body, name: str) -> int:
    """Return a whole number that can be sent to other instances; 0 if missing. Raises BadBody."""
    value = integer(row, name, 0)
    if not -_MAX_FIGURE <= value <= _MAX_FIGURE:
        raise BadBody(f"{name} is out of bounds")
    return value


def health_request(address: str, path: str) -> RequestHead:
    """Return the health check request for a runner."""
    return RequestHead(b"GET", path.encode(), ((b"host", address.encode()),))


def runner_health(head: ResponseHead) -> RunnerHealth | None:
    """Decode the health answer of a runner; None unless it is healthy and not leaving."""
    name = first_value(head.headers, _RUNNER_ID)
    if head.status != 200 or not name:
        return None
    cold_ms = first_value(head.headers, _COLD_MS) or b""
    is_cold = cold_ms.isdigit() and int(cold_ms[:_MAX_COLD_DIGITS]) <= MAX_COLD_MS
    return RunnerHealth(
        RunnerName(name.decode("latin-1")),
        int(cold_ms[:_MAX_COLD_DIGITS]) / 1000 if is_cold else 0.0,
    )


def _decode_runs(row: Body) -> tuple[RunReport, ...]:
    runs = row.get("runs")
    if not isinstance(runs, list):
        return ()
    return tuple(
        RunReport(str(run[0]), int(run[1]), int(run[2]), int(run[3]))
        for run in runs
        if isinstance(run, list) and len(run) >= 4 and all(isinstance(n, int) for n in run[1:4])
    )


_OUTCOME_BY_STATUS = {
    200: MoveOutcome.COPIED,
    404: MoveOutcome.NO_SUCH_RUN,
    409: MoveOutcome.BUSY,
    503: MoveOutcome.NO_CAPACITY,
}


def move_request(
    source: str, attempt_id: str, destination: str, *, stop: bool
) -> tuple[RequestHead, bytes]:
    """Return the request to copy a run's KV memory.

    With `stop` the run is stopped before the last part is copied.
    """
    body = json.dumps({"id": attempt_id, "to": destination, "last": stop}).encode()
    return RequestHead(b"POST", _MOVE_PATH, _post_headers(source, body)), body


def move_answer(status: int, body: bytes) -> MoveAnswer:
    """Decode the answer to a copy request. Raises BadBody."""
    outcome = _OUTCOME_BY_STATUS.get(status, MoveOutcome.FAILED)
    row = parse_object(body) if body else {}
    handle = text(row, "handle", "")
    if handle and not _HANDLE_PATTERN.fullmatch(handle):
        raise BadBody("not a valid handle")
    return MoveAnswer(outcome, handle, _figure(row, "created"))


def free_copy_request(address: str, handle: str) -> RequestHead:
    """Return the request to free a copy; sent to the source, it frees the memory at both ends."""
    return RequestHead(b"DELETE", _HANDLE_PATH + handle.encode(), ((b"host", address.encode()),))


def _post_headers(address: str, body: bytes) -> Headers:
    return (
        (b"host", address.encode()),
        (b"content-type", b"application/json"),
        (b"content-length", b"%d" % len(body)),
    )
