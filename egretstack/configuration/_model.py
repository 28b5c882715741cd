"""The head of the configuration, its parts, and a snapshot of both."""

import hashlib
import json
from dataclasses import dataclass, field
from enum import Enum

from egretstack.ids import ChangeId, Revision

Sections = dict[str, dict[str, str]]

DIGEST_LENGTH = 16
"""Hexadecimal digits of a part's digest that name its version."""


class PartKind(Enum):
    """What a part of the configuration describes."""

    CONTRACT = "contract"
    SERVICE = "service"


def part_name(kind: PartKind, name: str) -> str:
    """Name a part, such as `contract.acme`."""
    return f"{kind.value}.{name}"


def part_digest(sections: Sections) -> str:
    """Give the digest that names one version of a part."""
    text = json.dumps(sections, sort_keys=True).encode()
    return hashlib.sha256(text).hexdigest()[:DIGEST_LENGTH]


@dataclass(frozen=True)
class Head:
    """What is accepted: a revision, the change that made it, and each part's version."""

    revision: Revision
    change_id: ChangeId
    digest_by_part: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True)
class Snapshot:
    """A head with the text of every part it names."""

    head: Head
    sections_by_part: dict[str, Sections]


@dataclass(frozen=True)
class Change:
    """One operator's change: new text for some parts (None removes a part).

    `expected` holds the version of each part the operator started from, None for no part.
    """

    id: ChangeId
    sections_by_part: dict[str, Sections | None]
    expected: dict[str, str | None]
