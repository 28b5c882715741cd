"""Notifies the entries that may still serve a session that another entry took it over."""

import hashlib
from collections.abc import Awaitable, Callable
from typing import Protocol

import trio

from egretstack.delivery import SessionReleased, SessionTaken
from egretstack.ids import InstanceId
from egretstack.objectapi import ENTRY_SERVICE, Member, MemberState
from egretstack.peers import Message, PeerGone, PeerRefused

FIRST_RETRY_S = 0.5
MAX_RETRY_S = 2.0
MAX_NOTIFIED = 8
PEER_PORT = "peer"
SendRequest = Callable[[InstanceId, str, int, Message], Awaitable[Message]]


class EntryList(Protocol):
    """Looks up entries."""

    def members(self, service: str, state: MemberState | None = None) -> list[Member]:
        """Return the members of a service, optionally only those in one state."""


class Takeover:
    """Notifies other entries of one session takeover.

    Notified are the entry that the session id names, the holders that answers name, and one entry
    chosen by rendezvous hashing of the generation. All entries choose the same one, so it knows the
    last holder even if the entry named in the id has ended. Each is notified until it answers; the
    caller of `run` limits the time.
    """

    def __init__(self, entries: EntryList, own: InstanceId, message: SessionTaken) -> None:
        self._entries = entries
        self._own = own
        self._message = message
        self._notified: set[InstanceId] = {own}
        self.unnotified: set[InstanceId] = set()

    async def run(
        self,
        send_request: SendRequest,
        holders: set[InstanceId | None],
        is_active: Callable[[], bool],
    ) -> None:
        """Notify until every entry has answered or the session has ended here."""
        self.unnotified = {
            entry for entry in holders | {self._rendezvous_entry()} if entry
        } - self._notified
        wait_s = FIRST_RETRY_S
        while self.unnotified:
            for peer in sorted(self.unnotified):
                await self._notify(send_request, peer)
            if not self.unnotified:
                return
            await trio.sleep(wait_s)
            wait_s = min(wait_s * 2, MAX_RETRY_S)
            if not is_active():
                self.unnotified.clear()

    async def _notify(self, send_request: SendRequest, peer: InstanceId) -> None:
        member = self._member(peer)
        if member is None:
            return
        try:
            answer = await send_request(peer, member.host, member.ports[PEER_PORT], self._message)
        except (PeerGone, PeerRefused):
            return
        self.unnotified.discard(peer)
        self._notified.add(peer)
        if isinstance(answer, SessionReleased) and answer.previous:
            self._add_previous_holder(InstanceId(answer.previous))

    def _add_previous_holder(self, peer: InstanceId) -> None:
        if peer not in self._notified and len(self._notified) < MAX_NOTIFIED:
            self.unnotified.add(peer)

    def _member(self, peer: InstanceId) -> Member | None:
        for member in self._entries.members(ENTRY_SERVICE):
            if member.id == peer and PEER_PORT in member.ports:
                return member
        return None

    def _rendezvous_entry(self) -> InstanceId | None:
        live = self._entries.members(ENTRY_SERVICE, MemberState.LIVE)
        return max((InstanceId(member.id) for member in live), key=self._weight, default=None)

    def _weight(self, entry: InstanceId) -> bytes:
        return hashlib.sha256(f"{self._message.generation}/{entry}".encode()).digest()
