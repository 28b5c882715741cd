"""Tracks which instances of the system are live, and the configuration revision of each."""

import random
from collections.abc import Callable
from ipaddress import ip_address

import trio

from egretstack.errors import UserError
from egretstack.events import Event, log
from egretstack.ids import InstanceId, Revision, RunnerId, ZoneName
from egretstack.kernel import Kernel, Service
from egretstack.membership import (
    ANSWER_TIMEOUT_S,
    TICK_S,
    Heartbeat,
    HeartbeatAnswer,
    HeartbeatRequest,
    InstanceState,
    InstanceView,
    MembershipState,
    RowError,
)
from egretstack.objectapi import ENTRY_SERVICE, Member, MemberState
from egretstack.peers import Message, PeerGone, PeerRefused
from egretstack.services.instances import Instances
from egretstack.services.peer_port import Lane, PeerPort

RevisionListener = Callable[[InstanceId, Revision], None]
ENTRY_PORT = "peer"
STEWARD_PORT = "steward"
HELD_CHECK_S = 1.0
_EVENT_BY_STATE = {
    InstanceState.LIVE: Event.INSTANCE_LIVE,
    InstanceState.LEAVING: Event.INSTANCE_LEAVING,
    InstanceState.SUSPECT: Event.INSTANCE_SUSPECT,
    InstanceState.GONE: Event.INSTANCE_GONE,
}


class Membership(Service):
    """Informs other services of the live instances, of changes, and of peers' revisions."""

    name = "membership"
    requires = ("instances", "peer_port")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.own = InstanceId(kernel.settings.text("instance", "id"))
        self._rng = random.Random()
        self._listeners: list[Callable[[], None]] = []
        self._revision_listeners: list[RevisionListener] = []
        self._revision_by_peer: dict[InstanceId, int] = {}
        self._state = MembershipState(
            _own_member(kernel), trio.current_time(), kernel.epoch.now(), self._rng
        )
        self._listing = trio.Lock()
        self._logged_duplicates = 0
        self._published_changes = -1
        self._published_live: tuple[InstanceId, ...] = ()
        self._logged_states: dict[InstanceId, InstanceState] = {}

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Send heartbeats, answer them, and follow the list."""
        await self.kernel.get(Instances).on_reading(self._on_reading)
        port = self.kernel.get(PeerPort)
        port.register_peer_handler(Heartbeat, self._answer)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._leave_when_draining)
            task_status.started()
            while True:
                self._send_due(nursery)
                await trio.sleep(TICK_S)

    async def announce_stop(self) -> None:
        """Announce that this instance has ended, so that no neighbour has to detect it."""
        self._state.stop()
        async with trio.open_nursery() as nursery:
            self._send_due(nursery)

    def live_instances(self) -> tuple[InstanceId, ...]:
        """Return the sorted ids of the instances that accept requests.

        This one is included unless it leaves. A suspect instance is still included, so that a lost
        heartbeat moves no limits home. Two instances may return different ids for a few seconds, or
        as long as they are cut off from each other; what is decided by them has to tolerate that.
        """
        return tuple(sorted(InstanceId(member.id) for member in self.live_members()))

    def live_members(self) -> list[Member]:
        """Return the instances that accept requests, with this one unless it leaves."""
        live = [one for one in self._state.live(trio.current_time()) if one.id != self.own]
        if not self.kernel.draining.is_set():
            live.append(self._state.own_member)
        return live

    @property
    def own_member(self) -> Member:
        """Return this instance's own address."""
        return self._state.own_member

    def views(self) -> dict[InstanceId, InstanceView]:
        """Return every known instance with its state."""
        return self._state.views()

    def member(self, instance: InstanceId) -> Member | None:
        """Return the address of an instance in any state, or None for an unknown one."""
        view = self._state.views().get(instance)
        return None if view is None else view.member

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of `live_instances`."""
        self._listeners.append(listener)

    def on_peer_revision(self, listener: RevisionListener) -> None:
        """Call `listener` when a heartbeat reports a new applied revision of a neighbour.

        The neighbour can be queried for what it has applied; see `member`.
        """
        self._revision_listeners.append(listener)

    def set_revision(self, revision: Revision) -> None:
        """Send this applied revision with the heartbeats; the next ones go out at once."""
        self._state.set_revision(revision)

    def publish_runner_notice(self, runner: RunnerId, leaving: bool, *, for_good: bool) -> None:
        """Announce to every instance that a runner leaves, or accepts requests again.

        A notice that is not for good expires after some minutes unless it is given again.
        """
        log(Event.RUNNER_NOTICED, runner=runner, leaving=leaving)
        self._state.announce_runner(trio.current_time(), runner, leaving, for_good)
        self._publish()

    def _send_due(self, nursery: trio.Nursery) -> None:
        for heartbeat in self._state.tick(trio.current_time()):
            nursery.start_soon(self._send_heartbeat, heartbeat)
        if self._logged_duplicates != self._state.duplicate_alarms:
            self._logged_duplicates = self._state.duplicate_alarms
            log(Event.INSTANCE_ID_TWICE, instance=self.own)
        if self._state.wants_list(trio.current_time()):
            self.kernel.get(Instances).read_soon()
        self._publish()

    async def _send_heartbeat(self, heartbeat: HeartbeatRequest) -> None:
        peer = InstanceId(heartbeat.peer.id)
        try:
            answer = await self._send(heartbeat)
            self._state.on_answer(trio.current_time(), peer, answer)
        except (PeerGone, PeerRefused, RowError):
            self._state.on_timeout(trio.current_time(), peer)
            return
        self._record_revision(peer, answer.revision)
        self._publish()

    async def _send(self, heartbeat: HeartbeatRequest) -> HeartbeatAnswer:
        port = heartbeat.peer.ports.get(_port_name(self.kernel))
        if port is None:
            raise PeerGone("the peer lists no port for heartbeats")
        answer = await self.kernel.get(PeerPort).request(
            InstanceId(heartbeat.peer.id),
            heartbeat.peer.host,
            port,
            heartbeat.message,
            ANSWER_TIMEOUT_S,
            Lane.HEARTBEAT,
        )
        if not isinstance(answer, HeartbeatAnswer):
            raise PeerRefused("the answer is not a HeartbeatAnswer")
        return answer

    async def _answer(self, sender: InstanceId, message: Message) -> Message:
        try:
            answer = self._state.on_heartbeat(trio.current_time(), sender, message)
        except RowError as error:
            raise PeerRefused(f"invalid row in a heartbeat: {error}") from error
        self._record_revision(sender, message.revision)
        self._publish()
        return answer

    def _record_revision(self, peer: InstanceId, revision: int) -> None:
        if self._revision_by_peer.get(peer) == revision:
            return
        self._revision_by_peer[peer] = revision
        for listener in self._revision_listeners:
            listener(peer, Revision(revision))

    async def _on_reading(self, members: list[Member]) -> None:
        async with self._listing:
            for _ in self._state.apply_list_steps(trio.current_time(), members):
                await trio.lowlevel.checkpoint()
        self._publish()

    async def _leave_when_draining(self) -> None:
        await self.kernel.draining.wait()
        self._state.leave()
        self._publish()

    def _publish(self) -> None:
        """Notify the listeners of what has changed since they were last notified."""
        if self._published_changes != self._state.changes:
            self._published_changes = self._state.changes
            self.kernel.get(Instances).set_members(self._state.members())
            self._log_states()
        live = self.live_instances()
        if live == self._published_live:
            return
        self._published_live = live
        for listener in self._listeners:
            listener()

    def _log_states(self) -> None:
        views = self._state.views()
        for name, view in views.items():
            before = self._logged_states.get(name, InstanceState.LIVE)
            if before is not view.state:
                log(_EVENT_BY_STATE[view.state], instance=name)
        self._logged_states = {name: view.state for name, view in views.items()}
        for name in self._revision_by_peer.keys() - views.keys():
            del self._revision_by_peer[name]


def _port_name(kernel: Kernel) -> str:
    """Return the port for heartbeats.

    Entries exchange them with entries, and stewards with stewards.
    """
    return ENTRY_PORT if kernel.settings.has("caller", "address") else STEWARD_PORT


def _own_member(kernel: Kernel) -> Member:
    settings = kernel.settings
    host, _, port = settings.text("instance", "peer_address").rpartition(":")
    if ip_address(host.strip("[]")).is_unspecified:
        raise UserError("instance.peer_address: give the address that other instances connect to")
    ports = {_port_name(kernel): int(port)}
    if settings.has("caller", "address"):
        ports["operator"] = _port(settings.text("instance", "operator_address"))
        ports["caller"] = _port(settings.text("caller", "address"))
    return Member(
        settings.text("instance", "id"),
        ENTRY_SERVICE,
        ZoneName(settings.text("instance", "zone")),
        host.strip("[]"),
        ports,
        MemberState.LIVE,
    )


def _port(address: str) -> int:
    return int(address.rpartition(":")[2])
