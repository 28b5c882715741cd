"""Announces a revision in force here to other stewards and the entry of this instance."""

import trio

from egretstack.configuration import ConfigNews
from egretstack.ids import InstanceId, Revision
from egretstack.kernel import Kernel, Service
from egretstack.objectapi import ENTRY_SERVICE, Member
from egretstack.peers import PeerGone, PeerRefused
from egretstack.services.configuration import ENTRY_PORT, STEWARD_PORT, Configuration
from egretstack.services.configuration_watch import ConfigurationWatch
from egretstack.services.instances import Instances
from egretstack.services.peer_port import PeerPort


class ConfigurationAnnouncer(Service):
    """Sends announcements; a receiver requests the changes only if it has not got them yet."""

    name = "configuration_news"
    requires = ("instances", "peer_port", "configuration", "configuration_watch")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.sent = 0
        self._announcing: set[tuple[str, str]] = set()

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Announce each revision, except those that are replaced at once."""
        configuration = self.kernel.get(Configuration)
        announced = Revision(0)
        async with trio.open_nursery() as nursery:
            task_status.started()
            while True:
                if configuration.state.revision == announced:
                    await configuration.wait_for_change()
                announced = configuration.state.revision
                for member, port in self._receivers():
                    if (member.id, port) not in self._announcing:
                        nursery.start_soon(self._announce, member, port)

    def _receivers(self) -> list[tuple[Member, str]]:
        own = self.kernel.get(Configuration).own
        members = self.kernel.get(Instances).members(ENTRY_SERVICE)
        entry = [(one, ENTRY_PORT) for one in members if one.id == own and ENTRY_PORT in one.ports]
        children = self.kernel.get(ConfigurationWatch).fan_out.children
        return entry + [(one, STEWARD_PORT) for one in children]

    async def _announce(self, member: Member, port: str) -> None:
        """Announce to one receiver until it has got the newest revision.

        After a lost message its regular pulls find the revision.
        """
        configuration = self.kernel.get(Configuration)
        self._announcing.add((member.id, port))
        try:
            announced = Revision(0)
            while announced != configuration.state.revision:
                announced = configuration.state.revision
                self.sent += 1
                announcement = ConfigNews(configuration.own, announced)
                await self.kernel.get(PeerPort).request(
                    InstanceId(member.id), member.host, member.ports[port], announcement
                )
        except (PeerGone, PeerRefused):
            return
        finally:
            self._announcing.discard((member.id, port))
