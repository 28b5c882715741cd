"""Odd HTTP messages, as raw bytes."""

from collections.abc import Iterable

from standins.platform import HOST, KEY
from tests.fuzz.values import OddValues

_METHODS = (
    b"GET",
    b"POST",
    b"HEAD",
    b"PUT",
    b"DELETE",
    b"OPTIONS",
    b"TRACE",
    b"CONNECT",
    b"G\x00T",
)
_TARGETS = (
    b"/notes/1",
    b"/holds/1",
    b"/plans/1",
    b"/odd-calls/1",
    b"/odd-streams/1",
    b"/egretstack/ready",
    b"/egretstack/resolve?name=x&region=bajio",
    b"/egretstack/resolve?name=%ff&region=%&&=",
    b"/placing",
    b"/metrics",
    b"//[",
    b"http://[::1/x",
    b"http://" + HOST.encode() + b"/notes/1",
    b"*",
    b"/" + b"x" * 9_000,
    b"/\xff",
    b"",
)
_VERSIONS = (b"HTTP/1.1", b"HTTP/1.1", b"HTTP/1.1", b"HTTP/1.0", b"HTTP/2.0", b"HTTP/9", b"")
_NAMES = (
    b"deadline-ms",
    b"token-count",
    b"prompt-prefix",
    b"length-hint",
    b"last-event-id",
    b"model",
    b"connection",
    b"transfer-encoding",
    b"content-length",
    b"expect",
    b"upgrade",
    b"host",
    b"authorization",
    b"attempt-id",
    b"runner-seal",
    b"x-any",
    b"bad name",
    b"",
)
_VALUES = (
    b"",
    b"1",
    b"-1",
    b"nan",
    b"inf",
    b"1e400",
    b"9" * 400,
    b"1,2",
    b"1460,400",
    b"1e8,1e8",
    b"a:1,b:x,:,c:nan",
    b"host",
    b"close, model",
    b"keep-alive",
    b"upgrade",
    b"websocket",
    b"chunked",
    b"gzip, chunked",
    b"100-continue",
    b"\xff\xfe",
    b"a\x00b",
    b"Bearer ",
    b"Bearer " + KEY.encode(),
    b"x" * 9_000,
)
_ANSWER_NAMES = (
    b"attempt-id",
    b"runner-seal",
    b"runner-id",
    b"runner-load",
    b"server-limit",
    b"server-brittle",
    b"server-leaving",
    b"retry-after",
    b"not-executed",
    b"cold-ms",
    b"keep-alive",
    b"connection",
    b"content-encoding",
    b"content-length",
    b"transfer-encoding",
    b"upgrade",
    b"bad name",
)
_STATUSES = (b"200", b"200", b"200", b"204", b"304", b"101", b"100", b"421", b"503", b"500", b"999")


def _join(lines: Iterable[bytes], body: bytes) -> bytes:
    return b"\r\n".join((*lines, b"", b"")) + body


def odd_request(odd: OddValues) -> bytes:
    """Return a request."""
    rng = odd.rng
    line = b" ".join((rng.choice(_METHODS), rng.choice(_TARGETS), rng.choice(_VERSIONS)))
    lines = [line]
    if rng.random() < 0.9:
        lines.append(b"host: " + HOST.encode())
    if rng.random() < 0.8:
        lines += [b"attempt-id: odd", b"authorization: Bearer " + KEY.encode()]
    for _ in range(rng.randrange(4)):
        lines.append(rng.choice(_NAMES) + b": " + rng.choice(_VALUES))
    body = rng.choice((b"", b"", b"x" * 10, b"5\r\nhello\r\n0\r\n\r\n", b"ffffffffffffffffff\r\n"))
    if body and rng.random() < 0.5:
        lines.append(b"content-length: %d" % len(body))
    data = _join(lines, body)
    return odd.spoilt(data) if rng.random() < 0.3 else data


def odd_answer(odd: OddValues, attempt: bytes, body: bytes) -> bytes:
    """Return a runner's answer to a request, which may still be a sound one."""
    rng = odd.rng
    lines = [b"HTTP/1.1 " + rng.choice(_STATUSES) + b" " + rng.choice((b"OK", b"", b"\xff\t"))]
    if rng.random() < 0.9:
        lines += [b"attempt-id: " + attempt, b"runner-seal: s"]
    for _ in range(rng.randrange(4)):
        lines.append(rng.choice(_ANSWER_NAMES) + b": " + rng.choice(_VALUES))
    framing = rng.random()
    if framing < 0.5:
        lines.append(b"content-length: %d" % len(body))
    elif framing < 0.8:
        lines.append(b"transfer-encoding: chunked")
        body = b"%x\r\n" % len(body) + body + b"\r\n0\r\n\r\n" if body else b"0\r\n\r\n"
    data = _join(lines, body)
    return odd.spoilt(data) if rng.random() < 0.2 else data
