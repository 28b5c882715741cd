"""Validated documents: sections of keys with typed values, from INI files or stored objects."""

from egretstack.schema._document import Document, Schema
from egretstack.schema._ini import read_ini
from egretstack.schema._key import Key, reference_rows
from egretstack.schema._values import (
    Address,
    Choice,
    Choices,
    Digests,
    Flag,
    Name,
    Names,
    Number,
    Path,
    Url,
    UrlPath,
    ValueKind,
)

__all__ = [
    "Address",
    "Choice",
    "Digests",
    "Document",
    "Flag",
    "Key",
    "Name",
    "Names",
    "Number",
    "Path",
    "Schema",
    "Url",
    "UrlPath",
    "ValueKind",
    "Choices",
    "read_ini",
    "reference_rows",
]
