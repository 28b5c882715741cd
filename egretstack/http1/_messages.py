"""Heads of requests and responses, shared by the client and the server side."""

import re
from collections.abc import Iterable
from dataclasses import dataclass

Header = tuple[bytes, bytes]
"""A lower-case name and its value."""

Headers = tuple[Header, ...]


@dataclass(frozen=True)
class RequestHead:
    """Request line and headers of a request."""

    method: bytes
    target: bytes
    headers: Headers


@dataclass(frozen=True)
class ResponseHead:
    """Status line and headers of a response."""

    status: int
    reason: bytes
    headers: Headers


_HEADER_TEXT = re.compile(r"[!-~\u0080-\U0010ffff]([ -~\u0080-\U0010ffff]*[!-~\u0080-\U0010ffff])?")


def is_header_text(value: str) -> bool:
    """Return whether a text can be sent in a header: no control characters, no blanks around it."""
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return _HEADER_TEXT.fullmatch(value) is not None


def first_value(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the first value of a header; `name` is in lower case."""
    for header_name, value in headers:
        if header_name == name:
            return value
    return None


def hop_by_hop_headers(headers: Headers) -> frozenset[bytes]:
    """Return the names of the hop-by-hop headers, including those named in `Connection`."""
    return _HOP_BY_HOP | connection_options(headers)


def connection_options(headers: Headers) -> frozenset[bytes]:
    """Return the lower-case names that all `Connection` headers list."""
    listed = [value for name, value in headers if name == b"connection"]
    return frozenset(name.strip().lower() for name in b",".join(listed).split(b","))


_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)
