"""Configuration: changes are committed by a conditional update of one head object.

The revision in force on an instance never decreases.
"""

from egretstack.configuration._fanout import FanOut, choose_stewards
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
from egretstack.configuration._state import ConfigurationState, NoDelta, OfferResult
from egretstack.configuration._store import (
    Accepted,
    ApplyConflict,
    ApplyUnknown,
    ConfigurationStore,
)
from egretstack.configuration._transfer import (
    SnapshotBuilder,
    TransferError,
    delta_message,
    is_sections,
    parse_delta,
    snapshot_piece,
)

__all__ = [
    "Accepted",
    "ApplyConflict",
    "ApplyUnknown",
    "NoDelta",
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
    "OfferResult",
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
    "snapshot_piece",
    "delta_message",
    "parse_delta",
    "choose_stewards",
]
