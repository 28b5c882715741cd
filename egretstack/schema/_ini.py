"""Reads INI files as sections of text."""

import configparser
from pathlib import Path

from egretstack.errors import UserError

MAX_INI_BYTES = 262_144


def read_ini(path: Path) -> dict[str, dict[str, str]]:
    """Read the sections of an INI file; raise a UserError that names the file."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        if path.stat().st_size > MAX_INI_BYTES:
            raise UserError(f"{path}: larger than {MAX_INI_BYTES} bytes")
        parser.read_string(path.read_text(encoding="utf-8"), source=str(path))
    except OSError as error:
        raise UserError(f"{path}: cannot be read: {error.strerror}") from error
    except (configparser.Error, UnicodeDecodeError) as error:
        raise UserError(f"{path}: is not an INI file: {error}") from error
    return {section: dict(parser[section]) for section in parser.sections()}
