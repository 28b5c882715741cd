"""Reads JSON bodies whose shape is the platform's; what does not fit is told as one error."""

import json

Body = dict[str, object]


class BadBody(Exception):
    """A body is not JSON, or a field is missing or of another type."""


def parse_object(data: bytes) -> Body:
    """Give a JSON object. Raises BadBody."""
    try:
        body = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise BadBody(f"not JSON: {error}") from error
    if not isinstance(body, dict):
        raise BadBody("not an object")
    return body


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
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise BadBody(f"{name} is not a number")
    return value


def whole(body: Body, name: str, default: int | None = None) -> int:
    """Give a field that holds a whole number."""
    return int(number(body, name, default))


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
