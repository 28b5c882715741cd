"""The configuration in force on this process, and how it is fetched from peers.

Stewards learn of a revision from others and request the changes from the sender. An entry queries
the steward of its own instance, then others. The platform is read by `configuration_watch` on a few
stewards; here it is read only by a process that gets no answer from any peer.
"""

import random
from contextlib import suppress
from dataclasses import dataclass
from functools import cached_property, partial

import trio

from egretstack.configuration import (
    ConfigAsk,
    ConfigFar,
    ConfigForked,
    ConfigNews,
    ConfigTell,
    ConfigurationState,
    ConfigurationStore,
    Delta,
    Head,
    NoDelta,
    OfferResult,
    Snapshot,
    SnapshotAsk,
    SnapshotBuilder,
    SnapshotPiece,
    TransferError,
    delta_message,
    parse_delta,
    snapshot_piece,
)
from egretstack.events import Event, log
from egretstack.ids import InstanceId, Revision
from egretstack.kernel import Kernel, Service
from egretstack.objectapi import ENTRY_SERVICE, Member, PlatformAway
from egretstack.peers import Message, Nothing, PeerGone, PeerRefused
from egretstack.services.instances import Instances
from egretstack.services.membership import Membership
from egretstack.services.peer_port import PeerPort
from egretstack.services.platform_access import PlatformAccess

PULL_PERIOD_S = 1.0

PEER_TIMEOUT_S = 1.0
"""Timeout of a peer's answer; a query is sent a second time, over a new link."""
PEERS_QUERIED = 2
PEERS_QUERIED_AT_START = 5
SNAPSHOT_TRIES = 3
MAX_PULLS = 3
MAX_PIECES = 1024
FLEET_READS_PER_S = 2.0
"""Reads of the head that all processes without a watch make together, whatever their number."""

STARTING_READS_PER_S = 20.0
"""The same for processes that have no configuration yet, as at a start of the whole fleet."""

REPEAT_ALARM_S = 60.0
STEWARD_PORT = "steward"
ENTRY_PORT = "peer"


@dataclass(frozen=True)
class _NewerRevision:
    """A process that has a newer revision: its instance, and the name of its port."""

    instance: InstanceId
    port: str
    revision: int


class Configuration(Service):
    """Holds the state, answers peers that query it, and keeps it up to date."""

    name = "configuration"
    requires = ("platform_access", "instances", "peer_port")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.state = ConfigurationState()
        self._rng = random.Random(self.own)
        self._changed = trio.Event()
        self._announced_send, self._announced = trio.open_memory_channel[_NewerRevision](MAX_PULLS)
        self._alarm_at_s: dict[tuple[Event, int, str], float] = {}
        self._reading = trio.Lock()

    @cached_property
    def store(self) -> ConfigurationStore:
        """Return the configuration store on the platform."""
        return ConfigurationStore(self.kernel.get(PlatformAccess).object_api)

    @property
    def own(self) -> InstanceId:
        """Return the id of this instance."""
        return InstanceId(self.kernel.settings.text("instance", "id"))

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Pull changes until cancelled."""
        port = self.kernel.get(PeerPort)
        port.register_handler(ConfigAsk, self._answer)
        port.register_handler(ConfigNews, self._on_news)
        port.register_handler(SnapshotAsk, self._answer_snapshot)
        self.kernel.get(Instances).on_change(self._update_budget_share)
        if self.kernel.has(Membership):
            self.kernel.get(Membership).on_peer_revision(self._on_peer_revision)
        async with trio.open_nursery() as nursery:
            for _ in range(MAX_PULLS):
                nursery.start_soon(self._pull_announced)
            task_status.started()
            await self._pull_at_start()
            while True:
                await self._pull()
                await trio.sleep(PULL_PERIOD_S * (0.8 + 0.4 * self._rng.random()))

    async def wait_for_change(self) -> None:
        """Wait until another revision is in force."""
        await self._changed.wait()

    def offer(self, snapshot: Snapshot) -> OfferResult:
        """Put a snapshot in force if it is newer."""
        offer = self.state.offer(snapshot)
        self._on_offer(offer, snapshot.head.revision, snapshot.head.change_id)
        return offer

    async def read_platform(self) -> None:
        """Read the head, and the parts it names that are not known. Raises PlatformAway."""
        async with self._reading:
            # Only a read that began after a revision was in force here proves that the store is
            # older.
            known = self.state.revision
            head = await self.store.head(self.state.snapshot)
            if head is None:
                if known > 0:
                    self._alarm(Event.CONFIG_REFUSED_OLDER, 0, "")
                return
            if self.state.compare(head) is OfferResult.OLDER and head.revision >= known:
                return
            await self.apply_head(head)

    async def apply_head(self, head: Head) -> OfferResult:
        """Put a head of the platform in force if it is newer. Raises PlatformAway."""
        judged = self.state.compare(head)
        if judged is not OfferResult.NEWER:
            self._on_offer(judged, head.revision, head.change_id)
            return judged
        return self.offer(await self.store.load_snapshot(head, self.state.snapshot))

    async def sample_platform(self) -> None:
        """Read the head, with a probability that keeps the read rate of the whole fleet fixed."""
        stewards = max(1, len(self._members()))
        starting = self.state.snapshot is None
        rate = STARTING_READS_PER_S if starting else FLEET_READS_PER_S
        if self._rng.random() * stewards >= rate * PULL_PERIOD_S:
            return
        try:
            await self.read_platform()
        except PlatformAway as error:
            self._alarm(Event.PLATFORM_AWAY, 0, str(error))

    async def _pull_at_start(self) -> None:
        # The store may have been restored from an older copy, so a process that starts first
        # fetches the newest configuration that several peers know.
        peers = self._others(PEERS_QUERIED_AT_START)
        async with trio.open_nursery() as nursery:
            for member in peers:
                nursery.start_soon(self._pull_peer, member)

    async def _pull(self) -> None:
        is_entry = self.kernel.settings.has("caller", "address")
        answered = False
        for member in (self._own_members() if is_entry else []) + self._others(PEERS_QUERIED):
            answered = await self._pull_peer(member)
            if answered:
                break
        if is_entry and not (answered and self.state.snapshot is not None):
            await self.sample_platform()

    def _members(self) -> list[Member]:
        members = self.kernel.get(Instances).members(ENTRY_SERVICE)
        return [member for member in members if STEWARD_PORT in member.ports]

    def _own_members(self) -> list[Member]:
        return [member for member in self._members() if member.id == self.own]

    def _others(self, count: int) -> list[Member]:
        others = [member for member in self._members() if member.id != self.own]
        return self._rng.sample(others, min(count, len(others)))

    async def _pull_announced(self) -> None:
        async for newer in self._announced:
            for member in self._members():
                if member.id == newer.instance and newer.revision > self.state.revision:
                    await self._pull_peer(member, newer.port)

    async def _pull_peer(self, member: Member, port: str = STEWARD_PORT) -> bool:
        """Query a peer for changes; return whether it answered."""
        query = ConfigAsk(self.state.revision, self.state.change_id)
        try:
            answer = await self._query(member, port, query)
            if isinstance(answer, ConfigTell):
                delta = parse_delta(answer)
                offer = self.state.offer_delta(delta)
                self._on_offer(offer, delta.revision, delta.change_ids[-1])
                if offer is OfferResult.GAP and delta.base_revision == self.state.revision:
                    await self._pull_snapshot(member, port)
            elif isinstance(answer, ConfigFar):
                await self._pull_snapshot(member, port)
            elif isinstance(answer, ConfigForked):
                self._on_offer(OfferResult.FORKED, answer.revision, answer.change_id)
        except (PeerGone, PeerRefused):
            return False
        except TransferError as error:
            log(Event.PEER_REFUSED, peer=member.id, error=str(error))
            return False
        return True

    async def _pull_snapshot(self, member: Member, port: str) -> None:
        for _ in range(SNAPSHOT_TRIES):
            try:
                snapshot = await self._read_pieces(member, port)
            except TransferError:
                continue
            if snapshot is not None:
                self.offer(snapshot)
            return
        raise TransferError("no complete snapshot could be read")

    async def _read_pieces(self, member: Member, port: str) -> Snapshot | None:
        builder = SnapshotBuilder()
        for _ in range(MAX_PIECES):
            answer = await self._query(member, port, SnapshotAsk(builder.after))
            if not isinstance(answer, SnapshotPiece):
                return None
            snapshot = builder.add(answer)
            if snapshot is not None:
                return snapshot
        raise TransferError("the snapshot has too many pieces")

    async def _query(self, member: Member, port: str, message: Message) -> Message:
        number = member.ports.get(port)
        if number is None:
            raise PeerGone(f"the peer lists no port {port}")
        request = partial(
            self.kernel.get(PeerPort).request,
            InstanceId(member.id),
            member.host,
            number,
            message,
            timeout_s=PEER_TIMEOUT_S,
        )
        try:
            return await request()
        except PeerGone:
            # A kept link may have stopped answering for good while new ones work. Going on to the
            # next peer would meet the same problem there: three peers in turn, two seconds each,
            # and a change would be in force only after the five seconds allowed. A query may be
            # repeated without harm.
            return await request()

    async def _answer(self, message: ConfigAsk) -> Message:
        found = self.state.delta_since(message.revision, message.change_id)
        if isinstance(found, Delta):
            return delta_message(found)
        if found is NoDelta.TOO_OLD:
            return ConfigFar(self.state.revision)
        if found is NoDelta.FORKED:
            self._on_offer(OfferResult.FORKED, message.revision, message.change_id)
            known = self.state.snapshot.head.change_id_at(message.revision)
            return ConfigForked(message.revision, known)
        return Nothing()

    async def _answer_snapshot(self, message: SnapshotAsk) -> Message:
        snapshot = self.state.snapshot
        return Nothing() if snapshot is None else snapshot_piece(snapshot, message.after)

    async def _on_news(self, message: ConfigNews) -> Message:
        self._enqueue_pull(
            _NewerRevision(InstanceId(message.instance), STEWARD_PORT, message.revision)
        )
        return Nothing()

    def _on_peer_revision(self, instance: InstanceId, revision: Revision) -> None:
        self._enqueue_pull(_NewerRevision(instance, ENTRY_PORT, revision))

    def _enqueue_pull(self, newer: _NewerRevision) -> None:
        if newer.revision > self.state.revision:
            # If the channel is full, enough pulls are waiting already; each fetches the newest
            # revision.
            with suppress(trio.WouldBlock):
                self._announced_send.send_nowait(newer)

    def _on_offer(self, offer: OfferResult, revision: int, change_id: str) -> None:
        if offer is OfferResult.APPLIED:
            log(Event.CONFIG_APPLIED, revision=revision)
            self.kernel.get(PlatformAccess).metrics.revision.set(revision)
            if self.kernel.has(Membership):
                self.kernel.get(Membership).set_revision(self.state.revision)
            self._changed.set()
            self._changed = trio.Event()
        elif offer is OfferResult.BAD:
            self._alarm(Event.CONFIG_BAD, revision, self.state.error_text)
        elif offer is OfferResult.OLDER:
            self._alarm(Event.CONFIG_REFUSED_OLDER, revision, change_id)
        elif offer is OfferResult.FORKED:
            self._alarm(Event.CONFIG_FORKED, revision, change_id)

    def _alarm(self, event: Event, revision: int, detail: str) -> None:
        """Log a lasting alarm, at most once per `REPEAT_ALARM_S`."""
        now_s = trio.current_time()
        recent = {k: at for k, at in self._alarm_at_s.items() if now_s - at < REPEAT_ALARM_S}
        if (event, revision, detail) not in recent:
            recent[event, revision, detail] = now_s
            log(event, revision=revision, detail=detail, known=self.state.revision)
        self._alarm_at_s = recent

    def _update_budget_share(self) -> None:
        access = self.kernel.get(PlatformAccess)
        access.object_api.budget.set_fleet_size(len(self._members()), trio.current_time())
