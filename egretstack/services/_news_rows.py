"""The kinds of rows in the home's updates, by the first letter of their keys, and their parsing."""

from collections.abc import Callable, Mapping
from typing import NamedTuple, TypeVar

import trio

from egretstack.events import Event, log
from egretstack.fleet import HeldVersion, checked_limit
from egretstack.ids import RunnerId
from egretstack.messages import MessageError

MAX_AGE_S = 3600.0
INVALID_LOG_PERIOD_S = 10.0
T = TypeVar("T")
INSTANCE = "i"
RUNNER = "r"
ZONE = "z"
CRASH = "c"
LIMIT = "l"
BRITTLE = "b"
PART = "p"
MARKS = "m"
"""Marks of a runner, in what a new home is sent; the home's own updates have them in its row."""
UNRESPONSIVE = 1
SUSPECT = 2

RowByKey = dict[str, list]


class RowKind(NamedTuple):
    """A kind of rows that another service makes and applies."""

    make: Callable[[], RowByKey]
    """Returns the rows while this instance is the home."""
    apply: Callable[[RowByKey], None]
    """Accepts all rows of this kind when the home has sent other ones; the keys have the letter."""


class InvalidRows:
    """Counts rows that cannot be read, and logs them now and then."""

    def __init__(self, event: Event) -> None:
        self._event = event
        self._rows = 0
        self._logged_s = float("-inf")

    def record(self, now_s: float, source: str, error: MessageError) -> None:
        """Count a row that could not be parsed."""
        self._rows += 1
        if now_s - self._logged_s >= INVALID_LOG_PERIOD_S:
            log(self._event, source=source, rows=self._rows, error=str(error))
            self._logged_s, self._rows = now_s, 0

    def parse(self, rows: Mapping[str, list], parse_row: Callable[[list], T]) -> dict[str, T]:
        """Return the parsed rows by key, without those that cannot be read."""
        parsed = {}
        for key, row in rows.items():
            try:
                parsed[key] = parse_row(row)
            except MessageError as error:
                self.record(trio.current_time(), key, error)
        return parsed


def age_ms(age_s: float) -> int:
    """Return an age in milliseconds, at most that of an hour."""
    return round(min(age_s, MAX_AGE_S) * 1000)


def of_kind(rows: RowByKey, kind: str) -> RowByKey:
    """Return the rows whose keys begin with a letter."""
    return {key: row for key, row in rows.items() if key[0] == kind}


def mark_rows(rows: RowByKey) -> RowByKey:
    """Return the marks of the runners that have any; a row without flags has none."""
    flags_by_key = {key: _flags(row) for key, row in rows.items() if key[0] == RUNNER}
    return {f"{MARKS}{key[1:]}": [flags] for key, flags in flags_by_key.items() if flags}


def marked(rows: RowByKey, mark: int) -> frozenset[RunnerId]:
    """Return the runners that have a mark."""
    return frozenset(RunnerId(key[1:]) for key, row in rows.items() if _flags(row) & mark)


def _flags(row: list) -> int:
    """Return the flags at the end of a runner's row; 0 if it has none."""
    return row[-1] if row and isinstance(row[-1], int) else 0


def parse_limit_row(row: list) -> float:
    """Parse the row of a runner's limit. Raises MessageError."""
    if len(row) != 1:
        raise MessageError("a limit row has not exactly one rate")
    return checked_limit(row[0])


def parse_held(row: list) -> tuple[HeldVersion, bool]:
    """Parse which of the home's updates a report's sender holds. Raises MessageError."""
    try:
        epoch, version, missed = row
        return HeldVersion(int(epoch), int(version)), bool(missed)
    except (TypeError, ValueError) as error:
        raise MessageError(f"invalid version of updates: {error}") from error
