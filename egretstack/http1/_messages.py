"""Heads of requests and responses, as both sides of a relay see them."""

from collections.abc import Iterable
from dataclasses import dataclass

Header = tuple[bytes, bytes]
"""A lower-case name and its value."""

Headers = tuple[Header, ...]


@dataclass(frozen=True)
class RequestHead:
    """Everything of a request before its body."""

    method: bytes
    target: bytes
    headers: Headers


@dataclass(frozen=True)
class ResponseHead:
    """Everything of a response before its body."""

    status: int
    reason: bytes
    headers: Headers


def first_value(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Give the first value of a header; `name` is in lower case."""
    for one, value in headers:
        if one == name:
            return value
    return None


def hop_by_hop_headers(headers: Headers) -> frozenset[bytes]:
    """Give the names of the headers that concern one connection only."""
    told = first_value(headers, b"connection") or b""
    return _HOP_BY_HOP | {one.strip().lower() for one in told.split(b",")}


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
