"""Messages that transfer the configuration between processes."""

from dataclasses import dataclass
from typing import ClassVar

from egretstack.peers import Message


@dataclass(frozen=True)
class ConfigAsk(Message):
    """Requests the changes since the sender's revision, which was made by `change_id`.

    Answered by Nothing, ConfigTell, ConfigFar or ConfigForked.
    """

    number: ClassVar[int] = 10
    revision: int
    change_id: str


@dataclass(frozen=True)
class ConfigTell(Message):
    """The changes; the fields are those of `Delta`."""

    number: ClassVar[int] = 11
    base_revision: int
    base_change_id: str
    change_ids: list
    digest: str
    sections_by_part: dict


@dataclass(frozen=True)
class ConfigNews(Message):
    """Announces that an instance has a revision in force; answered by Nothing."""

    number: ClassVar[int] = 12
    instance: str
    revision: int


@dataclass(frozen=True)
class ConfigFar(Message):
    """Answers that the requester is too far behind for a delta; it then requests the snapshot."""

    number: ClassVar[int] = 13
    revision: int


@dataclass(frozen=True)
class ConfigForked(Message):
    """Answers that the requester's revision was made by a different change than here."""

    number: ClassVar[int] = 14
    revision: int
    change_id: str


@dataclass(frozen=True)
class SnapshotAsk(Message):
    """Requests the parts whose names sort after `after`; answered by Nothing or SnapshotPiece."""

    number: ClassVar[int] = 15
    after: str


@dataclass(frozen=True)
class SnapshotPiece(Message):
    """Some parts of a snapshot, sorted by name; only the first piece carries `recent`."""

    number: ClassVar[int] = 16
    revision: int
    change_id: str
    recent: list
    digest: str
    sections_by_part: dict
    more: bool
