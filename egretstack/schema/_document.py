"""Checks sections of text against a schema and gives typed values."""

from collections.abc import Mapping
from pathlib import Path
from typing import TypeVar

from egretstack.errors import UserError
from egretstack.schema._key import Key

T = TypeVar("T")
Sections = Mapping[str, Mapping[str, str]]


class Document:
    """The checked values of one document."""

    def __init__(self, values: dict[tuple[str, str], object], source: dict[str, dict[str, str]]):
        self._values = values
        self.source = source
        """The sections as written, without defaults: the form that is stored."""
        self.folder = Path()
        """Where relative paths start."""

    def has(self, section: str, name: str) -> bool:
        """Tell whether the schema has a key."""
        return (section, name) in self._values

    def get(self, section: str, name: str, kind: type[T]) -> T:
        """Give one value; a key outside the schema or of another type is a bug."""
        value = self._values[section, name]
        if not isinstance(value, kind):
            raise TypeError(f"[{section}] {name} is not {kind.__name__}")
        return value

    def text(self, section: str, name: str) -> str:
        """Give a value that is text."""
        return self.get(section, name, str)

    def number(self, section: str, name: str) -> float:
        """Give a value that may have a fraction."""
        return self.get(section, name, float)

    def integer(self, section: str, name: str) -> int:
        """Give a value that is a whole number."""
        return self.get(section, name, int)

    def flag(self, section: str, name: str) -> bool:
        """Give a value that is yes or no."""
        return self.get(section, name, bool)

    def names(self, section: str, name: str) -> tuple[str, ...]:
        """Give a value that is a list of names or words."""
        return self.get(section, name, tuple)

    def path(self, section: str, name: str) -> Path:
        """Give a value that is the path of a file."""
        return self.folder / self.text(section, name)


class Schema:
    """The keys one sort of document may hold."""

    def __init__(self, keys: tuple[Key, ...]) -> None:
        self.keys = keys
        self._by_place = {(key.section, key.name): key for key in keys}

    def check(self, where: str, sections: Sections) -> Document:
        """Check a document; raise UserError that names every fault, each led by `where`."""
        faults = self._unknown(sections)
        values: dict[tuple[str, str], object] = {}
        for place, key in self._by_place.items():
            text = sections.get(key.section, {}).get(key.name, key.default)
            try:
                values[place] = _value(key, text)
            except (ValueError, AttributeError):
                faults.append(_fault(key, text))
        if faults:
            raise UserError("\n".join(f"{where}: {fault}" for fault in faults))
        return Document(values, {name: dict(keys) for name, keys in sections.items()})

    def _unknown(self, sections: Sections) -> list[str]:
        faults = []
        for section, keys in sections.items():
            known = sorted(name for place, name in self._by_place if place == section)
            if not known:
                allowed = ", ".join(sorted({place for place, _ in self._by_place}))
                faults.append(f"[{section}]: unknown section; allowed: {allowed}")
                continue
            for name in keys:
                if name not in known:
                    allowed = ", ".join(known)
                    faults.append(f"[{section}] {name}: unknown key; allowed: {allowed}")
        return faults


def _value(key: Key, text: str | None) -> object:
    if text is None:
        raise ValueError(key.name)
    return key.kind.parse(text)


def _fault(key: Key, text: str | None) -> str:
    what = "missing" if text is None else f"{text!r} is not allowed"
    return f"[{key.section}] {key.name}: {what}; allowed: {key.kind.allowed()}"
