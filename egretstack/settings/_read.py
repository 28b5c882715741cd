"""Reads and validates the settings file of a program."""

from pathlib import Path

from egretstack.schema import Document, read_ini
from egretstack.settings._schema import Program, schema_for

Settings = Document
"""The validated settings of one process."""


def read_settings(path: Path, program: Program) -> Settings:
    """Read and validate the settings of `program`; raise a UserError that lists every error."""
    settings = schema_for(program).check(str(path), read_ini(path))
    settings.folder = path.parent
    return settings
