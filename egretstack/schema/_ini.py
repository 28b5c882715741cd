"""Reads INI files as sections of text."""

import configparser
from pathlib import Path

from egretstack.errors import UserError

MAX_INI_BYTES = 262_144


def read_ini(path: Path, max_bytes: int = MAX_INI_BYTES) -> dict[str, dict[str, str]]:
    """Read the sections of an INI file; raise a UserError that names the file."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        # The size of a device or a pipe is 0; only a bounded read limits those, too.
        with path.open("rb") as file:
            data = file.read(max_bytes + 1)
        if len(data) > max_bytes:
            raise UserError(f"{path}: larger than {max_bytes} bytes")
        parser.read_string(data.decode("utf-8"), source=str(path))
    except OSError as error:
        raise UserError(f"{path}: cannot be read: {error.strerror}") from error
    except (configparser.Error, UnicodeDecodeError) as error:
        raise UserError(f"{path}: is not an INI file: {error}") from error
    return {section: dict(parser[section]) for section in parser.sections()}
