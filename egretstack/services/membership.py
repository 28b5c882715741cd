"""Which instances of the system live, and which configuration revision each has applied."""

from collections.abc import Callable

import trio

from egretstack.ids import InstanceId, Revision
from egretstack.kernel import Kernel, Service
from egretstack.platform import ENTRY_SERVICE, Member, MemberState
from egretstack.services.instances import Instances

RevisionListener = Callable[[InstanceId, Revision], None]


class Membership(Service):
    """Tells other services of the instances that live, of changes, and of peers' revisions."""

    name = "membership"
    requires = ("instances", "peer_port")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._listeners: list[Callable[[], None]] = []
        self._revision_listeners: list[RevisionListener] = []

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Follow the instances."""
        self.kernel.get(Instances).on_change(self._tell)
        task_status.started()
        await trio.sleep_forever()

    def live_instances(self) -> tuple[InstanceId, ...]:
        """Give the ids of instances that take work, sorted; this one too unless it leaves.

        A suspect instance is still among them, so that a lost heartbeat moves no home. Two
        instances may differ in their answers for a few seconds, or as long as they are cut off
        from each other; what is decided by it has to bear that.
        """
        own = InstanceId(self.kernel.settings.text("instance", "id"))
        found = {InstanceId(member.id) for member in self.live_members()} - {own}
        if not self.kernel.draining.is_set():
            found.add(own)
        return tuple(sorted(found))

    def live_members(self) -> list[Member]:
        """Give addresses of the instances that take work, as far as they are known."""
        return self.kernel.get(Instances).members(ENTRY_SERVICE, MemberState.LIVE)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of `live_instances` or `live_members`."""
        self._listeners.append(listener)

    def on_peer_revision(self, listener: RevisionListener) -> None:
        """Call `listener` when a heartbeat tells another applied revision of a neighbour.

        The neighbour can be asked for what it has applied; see `member`.
        """
        self._revision_listeners.append(listener)

    def set_revision(self, revision: Revision) -> None:
        """Let heartbeats carry this applied revision; the next ones go out at once."""

    def member(self, instance: InstanceId) -> Member | None:
        """Give the address of an instance in any state, or None for an unknown one."""
        for member in self.kernel.get(Instances).members(ENTRY_SERVICE):
            if member.id == instance:
                return member
        return None

    def _tell(self) -> None:
        for listener in self._listeners:
            listener()
