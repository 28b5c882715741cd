"""Structured logging: numbered events from one closed catalogue."""

from egretstack.events._catalogue import Event, Level, catalogue_page
from egretstack.events._line_writer import LineWriter
from egretstack.events._log import LogFormat, add_event_counter, log, set_up_line_logs, set_up_logs

__all__ = [
    "Event",
    "Level",
    "LineWriter",
    "LogFormat",
    "add_event_counter",
    "catalogue_page",
    "log",
    "set_up_line_logs",
    "set_up_logs",
]
