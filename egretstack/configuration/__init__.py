"""Configuration: accepted by one conditional update of a head object, and never going back."""

from egretstack.configuration._fanout import FanOut, watchers
from egretstack.configuration._messages import (
    ConfigAsk,
    ConfigFar,
    ConfigForked,
    ConfigNews,
    ConfigTell,
    SnapshotAsk,
    SnapshotPiece,
)
from egretstack.configuration._model import (
    Change,
    Delta,
    Head,
    PartKind,
    Snapshot,
    head_digest,
    part_digest,
    part_name,
)
from egretstack.configuration._state import Behind, ConfigurationState, Offer
from egretstack.configuration._store import (
    Accepted,
    ApplyConflict,
    ApplyUnknown,
    ConfigurationStore,
)
from egretstack.configuration._transfer import (
    SnapshotBuilder,
    TransferError,
    is_sections,
    piece,
    tell,
    told_delta,
)

__all__ = [
    "Accepted",
    "ApplyConflict",
    "ApplyUnknown",
    "Behind",
    "Change",
    "ConfigAsk",
    "ConfigFar",
    "ConfigForked",
    "ConfigNews",
    "ConfigTell",
    "ConfigurationState",
    "ConfigurationStore",
    "Delta",
    "FanOut",
    "Head",
    "Offer",
    "PartKind",
    "Snapshot",
    "SnapshotAsk",
    "SnapshotBuilder",
    "SnapshotPiece",
    "TransferError",
    "head_digest",
    "is_sections",
    "part_digest",
    "part_name",
    "piece",
    "tell",
    "told_delta",
    "watchers",
]
