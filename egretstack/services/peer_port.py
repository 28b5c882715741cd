"""The port on which other processes of the system ask this one, and the links to them."""

from collections.abc import Awaitable, Callable
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
    connect_peer,
    greet_peer,
)
from egretstack.services.platform_access import PlatformAccess

ASK_TIMEOUT_S = 2.0
MAX_LINKS = 256
Answerer = Callable[[Message], Awaitable[Message]]


class PeerPort(Service):
    """Answers peers by message kind, and asks peers over links that are kept open."""

    name = "peer_port"
    requires = ("platform_access",)

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._answerer_by_kind: dict[type[Message], Answerer] = {}
        self._link_by_address: dict[tuple[str, int], PeerLink] = {}
        self._lock_by_address: dict[tuple[str, int], trio.Lock] = {}
        self._accepted = 0

    def answer(self, kind: type[Message], answerer: Answerer) -> None:
        """Let `answerer` answer messages of a kind."""
        self._answerer_by_kind[kind] = answerer

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Serve peers."""
        host, _, port = self.kernel.settings.text("instance", "peer_address").rpartition(":")
        address = str(ip_address(host.strip("[]")))
        access = self.kernel.get(PlatformAccess)
        async with trio.open_nursery() as nursery:
            await nursery.start(access.serve_streams, self._serve, address, int(port))
            task_status.started()

    async def ask(self, peer: InstanceId, host: str, port: int, message: Message) -> Message:
        """Ask a peer. Raises PeerGone (also where no answer came in time), PeerRefused."""
        lock = self._lock_by_address.setdefault((host, port), trio.Lock())
        with trio.move_on_after(ASK_TIMEOUT_S):
            async with lock:
                return await self._ask(peer, host, port, message)
        raise PeerGone("no answer in time")

    async def _ask(self, peer: InstanceId, host: str, port: int, message: Message) -> Message:
        link = self._link_by_address.pop((host, port), None)
        if link is None:
            access = self.kernel.get(PlatformAccess)
            opener = partial(access.open_stream, host, port)
            link = await connect_peer(opener, access.peer_keys, self._own())
        try:
            if link.peer != peer:
                raise PeerRefused(f"{link.peer} answers in place of {peer}")
            answer = await link.ask(message)
        except BaseException:
            # A link left in the middle of an exchange would give the next asker this answer.
            await trio.aclose_forcefully(link)
            raise
        self._link_by_address[host, port] = link
        return answer

    async def _serve(self, stream: trio.abc.Stream) -> None:
        if self._accepted >= MAX_LINKS:
            return
        self._accepted += 1
        try:
            keys = self.kernel.get(PlatformAccess).peer_keys
            link = await greet_peer(stream, keys, self._own())
            while True:
                await self._serve_one(link)
        except PeerGone:
            return
        except PeerRefused as error:
            log(Event.PEER_REFUSED, error=str(error))
        finally:
            self._accepted -= 1

    async def _serve_one(self, link: PeerLink) -> None:
        message = await link.receive()
        answerer = self._answerer_by_kind.get(type(message))
        if answerer is None:
            raise PeerRefused(f"no answer to {type(message).__name__} here")
        await link.send(await answerer(message))

    def _own(self) -> InstanceId:
        return InstanceId(self.kernel.settings.text("instance", "id"))
