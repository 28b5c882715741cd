"""Validates sections of text against a schema and converts them to typed values."""

from collections.abc import Mapping
from pathlib import Path
from typing import TypeVar

from egretstack.errors import UserError
from egretstack.schema._key import Key

T = TypeVar("T")
Sections = Mapping[str, Mapping[str, str]]


class Document:
    """The validated values of one document."""

    def __init__(self, values: dict[tuple[str, str], object], source: dict[str, dict[str, str]]):
        self._values = values
        self.source = source
        """The sections as written, without defaults; this form is stored."""
        self.folder = Path()
        """The folder that relative paths refer to."""

    def has(self, section: str, name: str) -> bool:
        """Return whether the schema has a key."""
        return (section, name) in self._values

    def get(self, section: str, name: str, kind: type[T]) -> T:
        """Return one value; raise KeyError for an unknown key, TypeError for another type."""
        value = self._values[section, name]
        if not isinstance(value, kind):
            raise TypeError(f"[{section}] {name} is not {kind.__name__}")
        return value

    def text(self, section: str, name: str) -> str:
        """Return a value that is text."""
        return self.get(section, name, str)

    def number(self, section: str, name: str) -> float:
        """Return a value that is a floating-point number."""
        return self.get(section, name, float)

    def integer(self, section: str, name: str) -> int:
        """Return a value that is an integer."""
        return self.get(section, name, int)

    def flag(self, section: str, name: str) -> bool:
        """Return a boolean value."""
        return self.get(section, name, bool)

    def names(self, section: str, name: str) -> tuple[str, ...]:
        """Return a value that is a list of names or choices."""
        return self.get(section, name, tuple)

    def path(self, section: str, name: str) -> Path:
        """Return a value that is the path of a file."""
        return self.folder / self.text(section, name)


class Schema:
    """The keys that one kind of document may contain."""

    def __init__(self, keys: tuple[Key, ...]) -> None:
        self.keys = keys
        self._key_by_location = {(key.section, key.name): key for key in keys}

    def check(self, source: str, sections: Sections) -> Document:
        """Validate a document; raise a UserError that lists every error, prefixed with `source`."""
        errors = self._find_unknown(sections)
        values: dict[tuple[str, str], object] = {}
        for location, key in self._key_by_location.items():
            text = sections.get(key.section, {}).get(key.name, key.default)
            try:
                values[location] = _parse(key, text)
            except (ValueError, AttributeError):
                errors.append(_describe_error(key, text))
        if errors:
            raise UserError("\n".join(f"{source}: {error}" for error in errors))
        return Document(values, {name: dict(keys) for name, keys in sections.items()})

    def _find_unknown(self, sections: Sections) -> list[str]:
        errors = []
        for section, keys in sections.items():
            known = sorted(name for owner, name in self._key_by_location if owner == section)
            if not known:
                allowed = ", ".join(sorted({owner for owner, _ in self._key_by_location}))
                errors.append(f"[{section}]: unknown section; allowed: {allowed}")
                continue
            for name in keys:
                if name not in known:
                    allowed = ", ".join(known)
                    errors.append(f"[{section}] {name}: unknown key; allowed: {allowed}")
        return errors


def _parse(key: Key, text: str | None) -> object:
    if text is None:
        raise ValueError(key.name)
    return key.kind.parse(text)


def _describe_error(key: Key, text: str | None) -> str:
    problem = "missing" if text is None else f"{text!r} is not allowed"
    return f"[{key.section}] {key.name}: {problem}; allowed: {key.kind.allowed()}"
