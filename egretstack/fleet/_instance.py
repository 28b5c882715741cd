"""An instance of the system, as others know it."""

from dataclasses import dataclass
from enum import Enum

from egretstack.ids import InstanceId, ZoneName


class InstanceState(Enum):
    """Whether clients may be sent to an instance."""

    STARTING = 0
    """It lacks the configuration or the runners."""
    READY = 1
    LEAVING = 2
    """It was asked to stop and serves only what it has."""


class StoreReachability(Enum):
    """Whether an instance reaches the store."""

    UNKNOWN = 0
    """It has not asked lately; most need not."""
    REACHABLE = 1
    """It was answered a moment ago."""
    UNREACHABLE = 2
    """It asked and was not answered, or too late."""


@dataclass(frozen=True, slots=True)
class Instance:
    """Where one instance is."""

    id: InstanceId
    zone: ZoneName
    front_address: str
    peer_address: str
    strength: int = 0
    """How much it can carry, in doublings: of instances of different sizes, the strong decide."""


@dataclass(frozen=True, slots=True)
class KnownInstance:
    """What was last said of an instance."""

    instance: Instance
    incarnation: int
    """Drawn at random at each start of its process."""
    state: InstanceState
    store: StoreReachability
    config_version: int
