"""Levels of log events."""

from enum import Enum


class Level(Enum):
    """The severity of a log event."""

    DEBUG = "DEBUG"
    INFO = "INFO"
    WARNING = "WARNING"
    ERROR = "ERROR"
