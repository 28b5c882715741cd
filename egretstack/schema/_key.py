"""One key of a schema."""

from collections.abc import Iterable
from dataclasses import dataclass

from egretstack.schema._values import ValueKind


@dataclass(frozen=True)
class Key:
    """A key of a document: its section and name, its allowed values and its description."""

    section: str
    name: str
    kind: ValueKind
    description: str
    default: str | None = None
    """Text used if the document lacks the key; None makes the key required."""


def reference_rows(keys: Iterable[Key]) -> str:
    """Return the rows of a reference table in Markdown, one per key."""
    return "".join(_row(key) for key in keys)


def _row(key: Key) -> str:
    default = "required" if key.default is None else f"`{key.default}`"
    cells = (key.section, key.name, key.kind.allowed(), default, key.description)
    return "| " + " | ".join(cells) + " |\n"
