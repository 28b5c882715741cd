"""Messages by which processes hand the configuration on."""

from dataclasses import dataclass
from typing import ClassVar

from egretstack.peers import Message


@dataclass(frozen=True)
class ConfigAsk(Message):
    """Asks for a configuration newer than a revision."""

    number: ClassVar[int] = 10
    revision: int


@dataclass(frozen=True)
class ConfigTell(Message):
    """Tells a configuration: the head, and the text of each part."""

    number: ClassVar[int] = 11
    revision: int
    change_id: str
    digest_by_part: dict
    sections_by_part: dict
