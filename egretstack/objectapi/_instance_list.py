"""The platform's lagging list of live and leaving instances and runners."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from egretstack.ids import ServiceName, ZoneName

ENTRY_SERVICE = ServiceName("egret-entry")
"""The name under which the list holds the entry instances themselves."""


class MemberState(Enum):
    """What the list says of a member."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class Member:
    """One instance or runner as listed; the list may lag behind the truth."""

    id: str
    service: ServiceName
    zone: ZoneName
    host: str
    """IP number."""
    ports: dict[str, int]
    state: MemberState

    def url(self, port: str = "http") -> str:
        """Give the base URL of one of the member's named ports."""
        return f"http://{self.host}:{self.ports[port]}"


class InstanceList(ABC):
    """Reads the list."""

    @abstractmethod
    async def members(self) -> list[Member]:
        """Read every member of every service. Raises PlatformAway."""
