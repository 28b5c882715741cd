"""The port on which other processes of the system query this one, and the links to them."""

from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum
from functools import partial
from ipaddress import ip_address

import trio

from egretstack.events import Event, log
from egretstack.ids import InstanceId
from egretstack.kernel import Kernel, Service
from egretstack.peers import (
    Message,
    PeerGone,
    PeerLink,
    PeerRefused,
    accept_peer,
    connect_peer,
)
from egretstack.services.platform_access import PlatformAccess

REQUEST_TIMEOUT_S = 2.0
MAX_LINKS = 512
MAX_LINKS_OF_PEER = 8
MAX_OPEN_LINKS = 512
IDLE_LINK_S = 60.0
"""Idle time after which an accepted link is closed."""
REUSE_S = 30.0
"""Idle time after which a link is replaced by a new one; below `IDLE_LINK_S`, so that a request is
never sent on a link that the other side is closing."""
Handler = Callable[[Message], Awaitable[Message]]
PeerHandler = Callable[[InstanceId, Message], Awaitable[Message]]


class Lane(Enum):
    """The kind of link to a peer that carries a request."""

    ORDINARY = "ordinary"
    HEARTBEAT = "heartbeat"
    """Separate from other messages: behind a long answer the heartbeat would be late, as if the
    peer had ended."""


@dataclass
class _OpenLink:
    link: PeerLink
    used_s: float


_LinkKey = tuple[str, int, Lane]


class PeerPort(Service):
    """Answers peers by message kind, and sends requests to peers over links that are kept open."""

    name = "peer_port"
    requires = ("platform_access",)

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._handler_by_kind: dict[type[Message], PeerHandler] = {}
        self._link_by_key: dict[_LinkKey, _OpenLink] = {}
        self._lock_by_key: dict[_LinkKey, trio.Lock] = {}
        self._accepted = 0
        self._accepted_by_peer: Counter[InstanceId] = Counter()

    def register_handler(self, kind: type[Message], handler: Handler) -> None:
        """Register the handler that answers messages of a kind."""

        async def without_sender(_: InstanceId, message: Message) -> Message:
            return await handler(message)

        self._handler_by_kind[kind] = without_sender

    def register_peer_handler(self, kind: type[Message], handler: PeerHandler) -> None:
        """Register a handler that also gets the sender's authenticated id."""
        self._handler_by_kind[kind] = handler

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Serve peers."""
        host, _, port = self.kernel.settings.text("instance", "peer_address").rpartition(":")
        address = str(ip_address(host.strip("[]")))
        access = self.kernel.get(PlatformAccess)
        async with trio.open_nursery() as nursery:
            await nursery.start(access.serve_streams, self._serve, address, int(port))
            task_status.started()

    async def request(
        self,
        peer: InstanceId,
        host: str,
        port: int,
        message: Message,
        timeout_s: float = REQUEST_TIMEOUT_S,
        lane: Lane = Lane.ORDINARY,
    ) -> Message:
        """Send a request to a peer and return the answer.

        Raises PeerGone (also if no answer came in time), PeerRefused.
        """
        key = (host, port, lane)
        lock = self._lock_by_key.setdefault(key, trio.Lock())
        try:
            with trio.move_on_after(timeout_s):
                async with lock:
                    return await self._request(peer, key, message)
        finally:
            self._forget_unused(key, lock)
        raise PeerGone("no answer in time")

    async def _request(self, peer: InstanceId, key: _LinkKey, message: Message) -> Message:
        link = await self._acquire_link(key)
        try:
            if link.peer != peer:
                raise PeerRefused(f"{link.peer} answers in place of {peer}")
            answer = await link.request(message)
        except BaseException:
            # A link left in the middle of an exchange would give the next request this answer. And
            # a link that stopped answering for good must not be used again: the next request opens
            # a new one.
            await trio.aclose_forcefully(link)
            raise
        await self._keep_link(key, link)
        return answer

    async def _acquire_link(self, key: _LinkKey) -> PeerLink:
        kept = self._link_by_key.pop(key, None)
        if kept is not None and trio.current_time() - kept.used_s < REUSE_S:
            return kept.link
        if kept is not None:
            await trio.aclose_forcefully(kept.link)
        host, port, _ = key
        access = self.kernel.get(PlatformAccess)
        opener = partial(access.open_stream, host, port)
        return await connect_peer(opener, access.peer_keys, self._own())

    async def _keep_link(self, key: _LinkKey, link: PeerLink) -> None:
        former = self._link_by_key.pop(key, None)
        if former is not None:
            await trio.aclose_forcefully(former.link)
        self._link_by_key[key] = _OpenLink(link, trio.current_time())
        while len(self._link_by_key) > MAX_OPEN_LINKS:
            oldest = next(iter(self._link_by_key))
            await trio.aclose_forcefully(self._link_by_key.pop(oldest).link)

    def _forget_unused(self, key: _LinkKey, lock: trio.Lock) -> None:
        """Drop the lock of a peer without links: addresses change with every replacement."""
        if key not in self._link_by_key and not lock.locked():
            self._lock_by_key.pop(key, None)

    async def _serve(self, stream: trio.abc.Stream) -> None:
        if self._accepted >= MAX_LINKS:
            await trio.aclose_forcefully(stream)
            return
        self._accepted += 1
        try:
            keys = self.kernel.get(PlatformAccess).peer_keys
            link = await accept_peer(stream, keys, self._own())
            await self._serve_link(link)
        except PeerGone:
            return
        except PeerRefused as error:
            log(Event.PEER_REFUSED, error=str(error))
        finally:
            self._accepted -= 1
            await trio.aclose_forcefully(stream)

    async def _serve_link(self, link: PeerLink) -> None:
        if self._accepted_by_peer[link.peer] >= MAX_LINKS_OF_PEER:
            raise PeerRefused(f"{link.peer} has too many links")
        self._accepted_by_peer[link.peer] += 1
        try:
            while True:
                await self._serve_one(link)
        finally:
            self._accepted_by_peer[link.peer] -= 1
            self._accepted_by_peer += Counter()

    async def _serve_one(self, link: PeerLink) -> None:
        # A link whose other end vanished without closing it stays open for ever; such links would
        # use up the limit on links.
        with trio.move_on_after(IDLE_LINK_S) as idle:
            message = await link.receive()
        if idle.cancelled_caught:
            raise PeerGone("idle")
        handler = self._handler_by_kind.get(type(message))
        if handler is None:
            raise PeerRefused(f"no handler for {type(message).__name__} here")
        await link.send(await handler(link.peer, message))

    def _own(self) -> InstanceId:
        return InstanceId(self.kernel.settings.text("instance", "id"))
