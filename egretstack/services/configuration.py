"""The configuration in force on this process, pulled from peers and, as a last way, the platform.

A steward reads the head from the platform. An entry asks the steward of its own instance and
then other peers, and asks the platform only where no peer has a configuration.
"""

import random

import trio

from egretstack.configuration import (
    ConfigAsk,
    ConfigTell,
    ConfigurationState,
    ConfigurationStore,
    Head,
    Offer,
    Snapshot,
)
from egretstack.events import Event, log
from egretstack.ids import ChangeId, InstanceId, Revision
from egretstack.kernel import Kernel, Service
from egretstack.peers import Message, Nothing, PeerGone, PeerRefused
from egretstack.platform import ENTRY_SERVICE, Member, PlatformAway
from egretstack.services.instances import Instances
from egretstack.services.peer_port import PeerPort
from egretstack.services.platform_access import PlatformAccess

PULL_PERIOD_S = 1.0
PEERS_ASKED = 2
STEWARD_PORT = "steward"


class Configuration(Service):
    """Holds the state, answers peers that ask for it, and keeps it up to date."""

    name = "configuration"
    requires = ("platform_access", "instances", "peer_port")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.state = ConfigurationState()
        self._rng = random.Random()
        self._changed = trio.Event()

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Pull for ever."""
        self.kernel.get(PeerPort).answer(ConfigAsk, self._answer)
        task_status.started()
        while True:
            await self._pull()
            await trio.sleep(PULL_PERIOD_S)

    async def wait_for_change(self) -> None:
        """Wait until another revision is in force."""
        await self._changed.wait()

    def offer(self, snapshot: Snapshot) -> None:
        """Put a snapshot in force if it is newer."""
        offer = self.state.offer(snapshot)
        revision = snapshot.head.revision
        if offer is Offer.APPLIED:
            log(Event.CONFIG_APPLIED, revision=revision)
            self.kernel.get(PlatformAccess).metrics.revision.set(revision)
            self._changed.set()
            self._changed = trio.Event()
        elif offer is Offer.BAD:
            log(Event.CONFIG_BAD, revision=revision)
        elif offer is Offer.OLDER:
            log(Event.CONFIG_REFUSED_OLDER, revision=revision, known=self.state.revision)

    async def _pull(self) -> None:
        if self._reads_platform():
            await self._pull_platform()
            return
        for member in self._peers():
            if await self._pull_peer(member):
                return
        if self.state.snapshot is None:
            await self._pull_platform()

    def _reads_platform(self) -> bool:
        return not self.kernel.settings.has("caller", "address")

    def _peers(self) -> list[Member]:
        own = self.kernel.settings.text("instance", "id")
        members = self.kernel.get(Instances).members(ENTRY_SERVICE)
        mine = [member for member in members if member.id == own]
        others = [member for member in members if member.id != own]
        return mine + self._rng.sample(others, min(PEERS_ASKED, len(others)))

    async def _pull_peer(self, member: Member) -> bool:
        """Ask one peer; True when it answered."""
        port = member.ports.get(STEWARD_PORT)
        if port is None:
            return False
        instance = InstanceId(member.id)
        try:
            answer = await self.kernel.get(PeerPort).ask(
                instance, member.host, port, ConfigAsk(self.state.revision)
            )
        except (PeerGone, PeerRefused):
            return False
        if isinstance(answer, ConfigTell):
            self.offer(_snapshot(answer))
        return True

    async def _pull_platform(self) -> None:
        store = ConfigurationStore(self.kernel.get(PlatformAccess).object_api)
        try:
            head = await store.head()
            if head is None or head.revision == self.state.revision:
                return
            self.offer(await store.complete(head, self.state.snapshot))
        except PlatformAway as error:
            log(Event.PLATFORM_AWAY, what="configuration", error=str(error))

    async def _answer(self, message: Message) -> Message:
        snapshot = self.state.snapshot
        if snapshot is None or snapshot.head.revision <= message.revision:
            return Nothing()
        head = snapshot.head
        return ConfigTell(
            head.revision, head.change_id, head.digest_by_part, snapshot.sections_by_part
        )


def _snapshot(told: ConfigTell) -> Snapshot:
    head = Head(Revision(told.revision), ChangeId(told.change_id), told.digest_by_part)
    return Snapshot(head, told.sections_by_part)
