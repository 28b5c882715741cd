"""Writes events through loguru, as JSON lines or in human form."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING

from loguru import logger

from egretstack.events._catalogue import Event
from egretstack.events._level import Level
from egretstack.events._line_writer import LineWriter

if TYPE_CHECKING:
    from loguru import Message

_HUMAN = "{time:HH:mm:ss.SSS} {level: <7} E{extra[event]} {message} {extra}"
_SECRET_FIELDS = frozenset({"key", "token", "authorization", "secret"})


_counters: list[Callable[[Event], None]] = []


def add_event_counter(counter: Callable[[Event], None]) -> None:
    """Let `counter` see each event, also those whose lines are dropped or below the level."""
    _counters.append(counter)


class LogFormat(Enum):
    """How log lines look."""

    JSON = "json"
    HUMAN = "human"


def set_up_logs(form: LogFormat, level: Level) -> None:
    """Send log lines to standard error in the form and from the level given."""
    logger.remove()
    if form is LogFormat.JSON:
        logger.add(_write_json, level=level.value)
    else:
        logger.add(sys.stderr, level=level.value, format=_HUMAN)


def set_up_line_logs(level: Level, lines: LineWriter, **every_line: object) -> None:
    """Send log lines as JSON, each with the fields given, to a writer that never waits."""

    def write(message: Message) -> None:
        urgent = message.record["level"].no >= logger.level(Level.WARNING.value).no
        lines.write(_json_line(message), urgent=urgent)

    logger.remove()
    logger.configure(extra=every_line)
    logger.add(write, level=level.value)


def _write_json(message: Message) -> None:
    print(_json_line(message), file=sys.stderr, flush=True)


def _json_line(message: Message) -> str:
    record = message.record
    row = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "name": record["message"],
    }
    return json.dumps(row | record["extra"], default=str)


def log(event: Event, **fields: object) -> None:
    """Write one event; a field that would carry a secret is a bug."""
    leaked = _SECRET_FIELDS & fields.keys()
    if leaked:
        raise ValueError(f"secret log fields: {sorted(leaked)}")
    for count in _counters:
        count(event)
    logger.bind(event=event.number, **fields).log(event.level.value, event.name.lower())
