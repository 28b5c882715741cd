"""Tells the entries that may serve a session still that another one took it over."""

import hashlib
from collections.abc import Awaitable, Callable
from typing import Protocol

import trio

from egretstack.delivery import SessionReleased, SessionTaken
from egretstack.ids import InstanceId
from egretstack.objectapi import ENTRY_SERVICE, Member, MemberState
from egretstack.peers import Message, PeerGone, PeerRefused

FIRST_RETRY_S = 0.5
LONGEST_RETRY_S = 2.0
MAX_TOLD = 8
PEER_PORT = "peer"
Ask = Callable[[InstanceId, str, int, Message], Awaitable[Message]]


class EntryList(Protocol):
    """Where entries are looked up."""

    def members(self, service: str, state: MemberState | None = None) -> list[Member]:
        """Give the members of a service, of one state or of any."""


class Takeover:
    """One take-over, told to the entry the session id names, to others it leads to, and to one
    entry chosen by the generation.

    That one is chosen alike by all, so it knows the last holder also when the entry named in
    the id is gone. Each is told until it answers; the caller of `run` bounds the time.
    """

    def __init__(self, entries: EntryList, own: InstanceId, message: SessionTaken) -> None:
        self._entries = entries
        self._own = own
        self._message = message
        self._told: set[InstanceId] = {own}
        self.unnotified: set[InstanceId] = set()

    async def run(
        self, ask: Ask, first: set[InstanceId | None], goes_on: Callable[[], bool]
    ) -> None:
        """Tell until every one was told or the session has ended here."""
        self.unnotified = {one for one in first | {self._meeting_place()} if one} - self._told
        wait_s = FIRST_RETRY_S
        while self.unnotified:
            for peer in sorted(self.unnotified):
                await self._tell(ask, peer)
            if not self.unnotified:
                return
            await trio.sleep(wait_s)
            wait_s = min(wait_s * 2, LONGEST_RETRY_S)
            if not goes_on():
                self.unnotified.clear()

    async def _tell(self, ask: Ask, peer: InstanceId) -> None:
        member = self._member(peer)
        if member is None:
            return
        try:
            answer = await ask(peer, member.host, member.ports[PEER_PORT], self._message)
        except (PeerGone, PeerRefused):
            return
        self.unnotified.discard(peer)
        self._told.add(peer)
        if isinstance(answer, SessionReleased) and answer.previous:
            self._follow(InstanceId(answer.previous))

    def _follow(self, peer: InstanceId) -> None:
        if peer not in self._told and len(self._told) < MAX_TOLD:
            self.unnotified.add(peer)

    def _member(self, peer: InstanceId) -> Member | None:
        for member in self._entries.members(ENTRY_SERVICE):
            if member.id == peer and PEER_PORT in member.ports:
                return member
        return None

    def _meeting_place(self) -> InstanceId | None:
        live = self._entries.members(ENTRY_SERVICE, MemberState.LIVE)
        return max((InstanceId(one.id) for one in live), key=self._weight, default=None)

    def _weight(self, entry: InstanceId) -> bytes:
        return hashlib.sha256(f"{self._message.generation}/{entry}".encode()).digest()
