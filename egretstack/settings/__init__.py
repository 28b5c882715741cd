"""Settings of a process: INI files validated against one schema."""

from egretstack.settings._operator import (
    OPERATOR_FILE_VARIABLE,
    OperatorSettings,
    ShareCapacity,
    read_operator_settings,
)
from egretstack.settings._read import Settings, read_settings
from egretstack.settings._schema import Program, schema_for, settings_page

__all__ = [
    "OPERATOR_FILE_VARIABLE",
    "OperatorSettings",
    "Program",
    "Settings",
    "ShareCapacity",
    "read_operator_settings",
    "read_settings",
    "schema_for",
    "settings_page",
]
