"""An instance of egretstack, as the others know it."""

from dataclasses import dataclass
from enum import Enum

from egretstack.ids import InstanceId, ZoneName


class InstanceState(Enum):
    """Whether clients may be sent to an instance."""

    STARTING = 0
    """The configuration or the list of runners is still missing."""
    READY = 1
    LEAVING = 2
    """It was asked to stop, and serves only the requests that it has."""


class StoreReachability(Enum):
    """Whether an instance reaches the store."""

    UNKNOWN = 0
    """It has not tried lately; most instances need not."""
    REACHABLE = 1
    """The store answered it a moment ago."""
    UNREACHABLE = 2
    """The store did not answer it, or answered too late."""


@dataclass(frozen=True, slots=True)
class Instance:
    """Identity and addresses of one instance."""

    id: InstanceId
    zone: ZoneName
    front_address: str
    peer_address: str
    strength: int = 0
    """Binary logarithm of its link rate in Mbit/s: in a fleet of mixed sizes the home is a strong
    one."""


@dataclass(frozen=True, slots=True)
class KnownInstance:
    """Last known status of an instance."""

    instance: Instance
    incarnation: int
    """Drawn at random at each start of its process."""
    state: InstanceState
    store: StoreReachability
    config_version: int
    reaches_runners: bool = True
    """Whether it can connect to runners itself."""
