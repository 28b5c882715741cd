"""Configuration: accepted by one conditional update of a head object, and never going back."""

from egretstack.configuration._messages import ConfigAsk, ConfigTell
from egretstack.configuration._model import (
    Change,
    Head,
    PartKind,
    Snapshot,
    part_digest,
    part_name,
)
from egretstack.configuration._state import ConfigurationState, Offer
from egretstack.configuration._store import (
    ApplyConflict,
    ApplyUnknown,
    ConfigurationStore,
)

__all__ = [
    "ApplyConflict",
    "ApplyUnknown",
    "Change",
    "ConfigAsk",
    "ConfigTell",
    "ConfigurationState",
    "ConfigurationStore",
    "Head",
    "Offer",
    "PartKind",
    "Snapshot",
    "part_digest",
    "part_name",
]
