"""Reads JSON bodies whose shape is the platform's; what does not fit is told as one error."""

import ipaddress
import json
import math

Body = dict[str, object]

_MOST_PORT = 65_535
_PORT_DIGITS = 6
MAX_INTEGER_DIGITS = 20
"""Digits of a whole number that any field may hold: 64 bits take 20."""


class BadBody(Exception):
    """A body is not JSON, or a field is missing or of another type."""


def parse_object(data: bytes) -> Body:
    """Give a JSON object. Raises BadBody."""
    try:
        body = json.loads(data.decode(errors="replace"), parse_int=_parse_whole)
    except (ValueError, RecursionError) as error:
        raise BadBody(f"not JSON: {error}") from error
    if not isinstance(body, dict):
        raise BadBody("not an object")
    return body


def _parse_whole(digits: str) -> float:
    """Read a whole number; one with too many digits is no number, and fails its field alone.

    The interpreter refuses to read such a number at all, and with it the list that it stands in.
    """
    return int(digits) if len(digits) <= MAX_INTEGER_DIGITS else math.inf


def text(body: Body, name: str, default: str | None = None) -> str:
    """Give a field that holds a string."""
    value = body.get(name, default)
    if not isinstance(value, str):
        raise BadBody(f"{name} is not a string")
    return value


def number(body: Body, name: str, default: float | None = None) -> float:
    """Give a field that holds a number."""
    value = body.get(name)
    if value is None:
        value = default
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise BadBody(f"{name} is not a number")
    return value


def whole(body: Body, name: str, default: int | None = None) -> int:
    """Give a field that holds a whole number."""
    return int(number(body, name, default))


def count(body: Body, name: str, least: int, most: int) -> int:
    """Give a field that has to be there and to hold a whole number within bounds."""
    value = number(body, name)
    if value != int(value) or not least <= value <= most:
        raise BadBody(f"{name} is not a whole number from {least} to {most}")
    return int(value)


def flag(body: Body, name: str) -> bool:
    """Give a field that holds true or false; false if it is not there."""
    return body.get(name) is True


def rows(body: Body, name: str) -> list[Body]:
    """Give a field that holds a list of objects; empty if it is not there."""
    value = body.get(name)
    if value is None:
        return []
    if not isinstance(value, list) or not all(isinstance(row, dict) for row in value):
        raise BadBody(f"{name} is not a list of objects")
    return value


def is_address(value: str) -> bool:
    """Tell whether a text is IP:PORT with an address that a host can have as its own."""
    host, _, port = value.rpartition(":")
    try:
        address = ipaddress.IPv4Address(host)
    except ValueError:
        return False
    if address.is_unspecified or address.is_multicast or address.is_reserved:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port[:_PORT_DIGITS]) <= _MOST_PORT
