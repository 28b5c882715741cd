"""Levels of log events."""

from enum import Enum


class Level(Enum):
    """How much an operator should care."""

    DEBUG = "DEBUG"
    INFO = "INFO"
    WARNING = "WARNING"
    ERROR = "ERROR"
