"""Messages by which processes hand the configuration on."""

from dataclasses import dataclass
from typing import ClassVar

from egretstack.peers import Message


@dataclass(frozen=True)
class ConfigAsk(Message):
    """Asks for what changed since the sender's revision, which `change_id` made.

    Answered by Nothing, ConfigTell, ConfigFar or ConfigForked.
    """

    number: ClassVar[int] = 10
    revision: int
    change_id: str


@dataclass(frozen=True)
class ConfigTell(Message):
    """Tells what changed; the fields are those of `Delta`."""

    number: ClassVar[int] = 11
    base_revision: int
    base_change_id: str
    change_ids: list
    digest: str
    sections_by_part: dict


@dataclass(frozen=True)
class ConfigNews(Message):
    """Tells that an instance has a revision in force; answered by Nothing."""

    number: ClassVar[int] = 12
    instance: str
    revision: int


@dataclass(frozen=True)
class ConfigFar(Message):
    """The asker is too far behind for a delta; it asks for the snapshot."""

    number: ClassVar[int] = 13
    revision: int


@dataclass(frozen=True)
class ConfigForked(Message):
    """The asker's revision was made by another change than the one known here."""

    number: ClassVar[int] = 14
    revision: int
    change_id: str


@dataclass(frozen=True)
class SnapshotAsk(Message):
    """Asks for the parts whose names follow `after`; answered by Nothing or SnapshotPiece."""

    number: ClassVar[int] = 15
    after: str


@dataclass(frozen=True)
class SnapshotPiece(Message):
    """Some parts of a snapshot, in order of their names; `recent` comes with the first piece."""

    number: ClassVar[int] = 16
    revision: int
    change_id: str
    recent: list
    digest: str
    sections_by_part: dict
    more: bool
