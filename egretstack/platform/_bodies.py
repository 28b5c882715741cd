"""Parses JSON bodies in the platform's formats; every mismatch is raised as BadBody."""

import json
import math
from collections.abc import Iterable

from egretstack.platform._nesting import without_deep_values

Body = dict[str, object]

MAX_NESTING = 64
"""Levels of objects and lists; no format here has more than ten."""
MAX_INTEGER_DIGITS = 20
"""Longest integer that a field may hold, in digits: a 64-bit integer needs 20."""


class BadBody(Exception):
    """A body is not valid JSON, or a field is missing or has the wrong type."""


def parse_object(data: bytes) -> Body:
    """Parse a JSON object. Raises BadBody.

    If it is nested too deeply for the parser, values that are nested more than MAX_NESTING levels
    deep become null: one of them must not make a whole list unreadable.
    """
    value = data.decode(errors="replace")
    try:
        try:
            body = _parse(value)
        except RecursionError:
            body = _parse(without_deep_values(value, MAX_NESTING))
    except ValueError as error:
        raise BadBody(f"not JSON: {error}") from error
    if not isinstance(body, dict):
        raise BadBody("not an object")
    return body


def _parse(value: str) -> object:
    return json.loads(value, parse_int=_parse_integer)


def nests_deeply(value: object) -> bool:
    """Return whether a parsed value is nested more than MAX_NESTING levels deep."""
    level = [value]
    for _ in range(MAX_NESTING):
        level = [inner for outer in level for inner in _inner_values(outer)]
        if not level:
            return False
    return any(isinstance(one, dict | list) for one in level)


def _inner_values(value: object) -> Iterable[object]:
    if isinstance(value, dict):
        return value.values()
    return value if isinstance(value, list) else ()


def _parse_integer(digits: str) -> float:
    """Parse an integer; one with too many digits becomes infinity and fails only its own field.

    Python itself raises an error for such a number, which would reject the whole list around it.
    """
    return int(digits) if len(digits) <= MAX_INTEGER_DIGITS else math.inf


def text(body: Body, name: str, default: str | None = None) -> str:
    """Return a string field that can be encoded. Raises BadBody."""
    value = body.get(name, default)
    if not isinstance(value, str):
        raise BadBody(f"{name} is not a string")
    if not is_unicode(value):
        raise BadBody(f"{name} holds half of a surrogate pair")
    return value


def is_unicode(value: str) -> bool:
    """Return whether a string can be encoded as UTF-8.

    JSON can name one half of a surrogate pair, which is no character and has no encoding.
    """
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def number(body: Body, name: str, default: float | None = None) -> float:
    """Return a field that holds a finite number. Raises BadBody."""
    value = body.get(name)
    if value is None:
        value = default
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise BadBody(f"{name} is not a number")
    return value


def integer(body: Body, name: str, default: int | None = None) -> int:
    """Return a number field, rounded towards zero. Raises BadBody."""
    return int(number(body, name, default))


def bounded_integer(body: Body, name: str, minimum: int, maximum: int) -> int:
    """Return a required integer field within bounds (both inclusive). Raises BadBody."""
    value = number(body, name)
    if value != int(value) or not minimum <= value <= maximum:
        raise BadBody(f"{name} is not a whole number from {minimum} to {maximum}")
    return int(value)


def flag(body: Body, name: str) -> bool:
    """Return whether a field is true; anything else, also a missing field, counts as false."""
    return body.get(name) is True


def rows(body: Body, name: str) -> list[Body]:
    """Return a field that holds a list of objects; empty if it is missing. Raises BadBody."""
    value = body.get(name)
    if value is None:
        return []
    if not isinstance(value, list) or not all(isinstance(row, dict) for row in value):
        raise BadBody(f"{name} is not a list of objects")
    return value
