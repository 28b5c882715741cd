"""The platform's list of live and leaving instances and runners, which may lag."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from egretstack.ids import ServiceName, ZoneName

ENTRY_SERVICE = ServiceName("egret-entry")
"""The service name of the entry instances in the list."""


class MemberState(Enum):
    """The state of a member according to the list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class Member:
    """One instance or runner as listed; the list may lag behind its actual state."""

    id: str
    service: ServiceName
    zone: ZoneName
    host: str
    """IP address."""
    ports: dict[str, int]
    state: MemberState

    def url(self, port: str = "http") -> str:
        """Return the base URL of one of the member's named ports."""
        return f"http://{self.host}:{self.ports[port]}"


class InstanceList(ABC):
    """Reads the instance list."""

    @abstractmethod
    async def members(self) -> list[Member]:
        """Read all members of all services. Raises PlatformAway."""
