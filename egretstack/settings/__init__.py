"""Settings of a process: INI files validated against one schema."""

from egretstack.settings._read import Settings, read_settings
from egretstack.settings._schema import Program, schema_for, settings_page

__all__ = ["Program", "Settings", "read_settings", "schema_for", "settings_page"]
