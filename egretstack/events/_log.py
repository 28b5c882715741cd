"""Writes events through loguru, as JSON lines or in human-readable form."""

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

_HUMAN_FORMAT = "{time:HH:mm:ss.SSS} {level: <7} E{extra[event]} {message} {extra}"
_SECRET_FIELDS = frozenset({"key", "token", "authorization", "secret"})


_counters: list[Callable[[Event], None]] = []


def add_event_counter(counter: Callable[[Event], None]) -> None:
    """Call `counter` for each event, including those dropped or below the log level."""
    _counters.append(counter)


class LogFormat(Enum):
    """The format of log lines."""

    JSON = "json"
    HUMAN = "human"


def set_up_logs(log_format: LogFormat, level: Level) -> None:
    """Send log lines of at least `level` to standard error in the given format."""
    logger.remove()
    if log_format is LogFormat.JSON:
        logger.add(_write_json, level=level.value)
    else:
        logger.add(sys.stderr, level=level.value, format=_HUMAN_FORMAT)


def set_up_line_logs(level: Level, lines: LineWriter, **common_fields: object) -> None:
    """Send log lines as JSON, each with `common_fields`, to a writer that never blocks."""

    def write(message: Message) -> None:
        urgent = message.record["level"].no >= logger.level(Level.WARNING.value).no
        lines.write(_json_line(message), urgent=urgent)

    logger.remove()
    logger.configure(extra=common_fields)
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
    """Write one event; raise ValueError if the name of a field is that of a secret."""
    leaked = _SECRET_FIELDS & fields.keys()
    if leaked:
        raise ValueError(f"secret log fields: {sorted(leaked)}")
    for count in _counters:
        count(event)
    logger.bind(event=event.number, **fields).log(event.level.value, event.name.lower())
