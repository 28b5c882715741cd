"""The head of the configuration, its parts, and a snapshot of both."""

import hashlib
import json
from dataclasses import dataclass, field
from enum import Enum

from egretstack.ids import ChangeId, Revision

Sections = dict[str, dict[str, str]]

DIGEST_LENGTH = 16
"""Number of hexadecimal digits of a part's digest that identify its version."""

MAX_RECENT_CHANGES = 256
"""Maximum number of change ids in the head: over an hour at the target rate of changes."""


class PartKind(Enum):
    """What a part of the configuration describes."""

    CONTRACT = "contract"
    SERVICE = "service"


def part_name(kind: PartKind, name: str) -> str:
    """Return the name of a part, such as `contract.acme`."""
    return f"{kind.value}.{name}"


def part_digest(sections: Sections) -> str:
    """Return the digest that identifies one version of a part."""
    text = json.dumps(sections, sort_keys=True).encode()
    return hashlib.sha256(text).hexdigest()[:DIGEST_LENGTH]


def head_digest(digest_by_part: dict[str, str]) -> str:
    """Return the digest over the versions of all parts, with which a receiver verifies them."""
    text = json.dumps(digest_by_part, sort_keys=True).encode()
    return hashlib.sha256(text).hexdigest()[:DIGEST_LENGTH]


@dataclass(frozen=True)
class Head:
    """The accepted state: a revision, the change that made it, and each part's version.

    `recent` holds the ids of the latest changes, oldest first and ending with `change_id`. With
    it an operator whose answer was lost finds out whether the change was accepted, and two heads
    are compared for a common history. `inline` holds the text of the last change's parts if they
    are small, so that a watcher needs nothing but the watch event.
    """

    revision: Revision
    change_id: ChangeId
    digest_by_part: dict[str, str] = field(default_factory=dict)
    recent: tuple[ChangeId, ...] = ()
    inline: dict[str, Sections] = field(default_factory=dict, compare=False)

    def change_id_at(self, revision: int) -> ChangeId | None:
        """Return the change that made an earlier revision; None if it is no longer kept."""
        if revision == self.revision:
            return self.change_id
        index = len(self.recent) - 1 - (self.revision - revision)
        return self.recent[index] if 0 <= index < len(self.recent) else None

    def revision_of(self, change_id: ChangeId) -> Revision | None:
        """Return the revision that a recent change made; None if it is no longer kept."""
        if change_id == self.change_id:
            return self.revision
        if change_id not in self.recent:
            return None
        return Revision(self.revision - (len(self.recent) - 1 - self.recent.index(change_id)))


@dataclass(frozen=True)
class Snapshot:
    """A head with the text of every part that it names."""

    head: Head
    sections_by_part: dict[str, Sections]


@dataclass(frozen=True)
class Delta:
    """The changes between two revisions: new text by part, None for a removed part.

    `change_ids` are the changes after the base, in order. `digest` covers all parts at `revision`.
    """

    base_revision: Revision
    base_change_id: ChangeId
    change_ids: tuple[ChangeId, ...]
    digest: str
    sections_by_part: dict[str, Sections | None]

    @property
    def revision(self) -> Revision:
        """Return the revision that the delta leads to."""
        return Revision(self.base_revision + len(self.change_ids))


@dataclass(frozen=True)
class Change:
    """One operator's change: new text for some parts (None removes a part).

    `expected` holds the version of each part that the operator started from, None for no part.
    """

    id: ChangeId
    sections_by_part: dict[str, Sections | None]
    expected: dict[str, str | None]
