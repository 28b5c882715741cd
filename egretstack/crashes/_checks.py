"""Checks of fields that crash records of all kinds have in their rows."""

MAX_ID_LENGTH = 256
MAX_AGE_S = 3600.0


def is_integer(value: object) -> bool:
    """Return whether a value is an integer and not a boolean."""
    return isinstance(value, int) and not isinstance(value, bool)


def checked_id(value: object) -> str:
    """Return a valid id. Raises ValueError."""
    if not isinstance(value, str) or not 0 < len(value) <= MAX_ID_LENGTH:
        raise ValueError("invalid id")
    value.encode()  # Raises UnicodeEncodeError, a ValueError, for half of a surrogate pair.
    return value


def checked_age_s(value: object) -> float:
    """Return an age in seconds from one in ms, at most an hour. Raises ValueError."""
    if not is_integer(value):
        raise ValueError("invalid age")
    return min(max(value / 1000, 0.0), MAX_AGE_S)
