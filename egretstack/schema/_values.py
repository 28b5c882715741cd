"""The kinds of values that a setting may have, with their validation and description."""

import ipaddress
import re
from abc import ABC, abstractmethod
from enum import Enum

from egretstack.ids import MAX_NAME_LENGTH, is_name


class ValueKind(ABC):
    """Validates the text of a setting and converts it to a value."""

    @abstractmethod
    def allowed(self) -> str:
        """Return a description of the allowed values, with the unit."""

    @abstractmethod
    def parse(self, text: str) -> object:
        """Validate and convert the text; raise ValueError."""


class Number(ValueKind):
    """A number within bounds, with a unit."""

    def __init__(self, low: float, high: float, unit: str, *, integer: bool = False) -> None:
        self._low = low
        self._high = high
        self._unit = unit
        self._integer = integer

    def allowed(self) -> str:
        """Return a description of the allowed values, with the unit."""
        noun = "whole number" if self._integer else "number"
        return f"a {noun} from {self._low:g} to {self._high:g}, {self._unit}"

    def parse(self, text: str) -> object:
        """Validate and convert the text; raise ValueError."""
        value = int(text) if self._integer else float(text)
        if not self._low <= value <= self._high:
            raise ValueError(text)
        return value


class Name(ValueKind):
    """A name of lower-case letters, digits, dots and hyphens."""

    def allowed(self) -> str:
        """Return a description of the allowed values, with the unit."""
        return f"lower-case letters, digits, '.' and '-', at most {MAX_NAME_LENGTH} characters"

    def parse(self, text: str) -> object:
        """Validate and convert the text; raise ValueError."""
        if not is_name(text):
            raise ValueError(text)
        return text


class Names(ValueKind):
    """Names separated by commas."""

    def allowed(self) -> str:
        """Return a description of the allowed values, with the unit."""
        return "names separated by commas"

    def parse(self, text: str) -> object:
        """Validate and convert the text; raise ValueError."""
        names = tuple(part.strip() for part in text.split(",") if part.strip())
        if not all(is_name(name) for name in names):
            raise ValueError(text)
        return names


class Address(ValueKind):
    """An IP address and a port, such as 127.0.0.1:8080."""

    def allowed(self) -> str:
        """Return a description of the allowed values, with the unit."""
        return "an IP number and a port, such as 127.0.0.1:8080 or [::1]:8080"

    def parse(self, text: str) -> object:
        """Validate and convert the text; raise ValueError."""
        host, _, port = text.rpartition(":")
        ipaddress.ip_address(host.strip("[]"))
        if not 0 < int(port) < 65536:
            raise ValueError(text)
        return text


class Url(ValueKind):
    """The base URL of an HTTP interface."""

    def allowed(self) -> str:
        """Return a description of the allowed values, with the unit."""
        return "a URL that starts with http:// or https://"

    def parse(self, text: str) -> object:
        """Validate and convert the text; raise ValueError."""
        if not text.startswith(("http://", "https://")):
            raise ValueError(text)
        return text.rstrip("/")


class Path(ValueKind):
    """The path of a file."""

    def allowed(self) -> str:
        """Return a description of the allowed values, with the unit."""
        return "the path of a file"

    def parse(self, text: str) -> object:
        """Validate and convert the text; raise ValueError."""
        if not text:
            raise ValueError(text)
        return text


class Flag(ValueKind):
    """A boolean, written as yes or no."""

    _VALUES = {"yes": True, "no": False}

    def allowed(self) -> str:
        """Return a description of the allowed values, with the unit."""
        return "yes or no"

    def parse(self, text: str) -> object:
        """Validate and convert the text; raise ValueError."""
        if text not in self._VALUES:
            raise ValueError(text)
        return self._VALUES[text]


class Digests(ValueKind):
    """SHA-256 digests in hexadecimal, separated by commas."""

    _DIGEST = re.compile(r"[0-9a-f]{64}")

    def allowed(self) -> str:
        """Return a description of the allowed values, with the unit."""
        return "SHA-256 digests of 64 hexadecimal digits, separated by commas"

    def parse(self, text: str) -> object:
        """Validate and convert the text; raise ValueError."""
        digests = tuple(part.strip() for part in text.split(","))
        if not all(self._DIGEST.fullmatch(digest) for digest in digests):
            raise ValueError(text)
        return digests


class Choices(ValueKind):
    """Values from a fixed list, separated by commas."""

    def __init__(self, allowed: tuple[str, ...]) -> None:
        self._allowed = allowed

    def allowed(self) -> str:
        """Return a description of the allowed values, with the unit."""
        return "any of " + ", ".join(self._allowed) + ", separated by commas"

    def parse(self, text: str) -> object:
        """Validate and convert the text; raise ValueError."""
        choices = tuple(part.strip() for part in text.split(",") if part.strip())
        if not set(choices) <= set(self._allowed):
            raise ValueError(text)
        return choices


class UrlPath(ValueKind):
    """The path of a URL, or empty."""

    def allowed(self) -> str:
        """Return a description of the allowed values, with the unit."""
        return "a URL path that starts with '/', or empty"

    def parse(self, text: str) -> object:
        """Validate and convert the text; raise ValueError."""
        if text and not text.startswith("/"):
            raise ValueError(text)
        return text


class Choice(ValueKind):
    """One member of an enumeration, given by its value."""

    def __init__(self, enumeration: type[Enum]) -> None:
        self._enumeration = enumeration

    def allowed(self) -> str:
        """Return a description of the allowed values, with the unit."""
        return "one of " + ", ".join(str(member.value) for member in self._enumeration)

    def parse(self, text: str) -> object:
        """Validate and convert the text; raise ValueError."""
        return self._enumeration(text)
