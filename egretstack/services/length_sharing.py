"""Requests from other entries what they learned of output lengths, one at a time."""

import trio

from egretstack.events import Event, log
from egretstack.ids import InstanceId
from egretstack.kernel import Kernel, Service
from egretstack.lengths import (
    MAX_SOURCES,
    LengthsAnswer,
    LengthsAsk,
    pack_summary,
    unpack_summary,
)
from egretstack.membership import rendezvous
from egretstack.objectapi import ENTRY_SERVICE, Member, MemberState
from egretstack.peers import Message, PeerGone, PeerRefused
from egretstack.policy import LengthsLearned
from egretstack.services.dispatching import Dispatching
from egretstack.services.instances import Instances
from egretstack.services.peer_port import PeerPort

PERIOD_S = 10.0
"""One request per period: at most 1.6 KB a second each way."""
_PORT = "peer"


class LengthSharing(Service):
    """Passes the policy what a stable few of the other entries learned."""

    name = "length_sharing"
    requires = ("dispatching", "instances", "peer_port")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._own = InstanceId(kernel.settings.text("instance", "id"))
        self._next_source = 0

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Answer peers, and query one of them each period."""
        self.kernel.get(PeerPort).register_handler(LengthsAsk, self._answer)
        task_status.started()
        while True:
            await trio.sleep(PERIOD_S)
            sources = self._sources()
            if sources:
                self._next_source += 1
                await self._request_lengths(sources[self._next_source % len(sources)])

    async def _answer(self, _: Message) -> Message:
        return LengthsAnswer(pack_summary(self.kernel.get(Dispatching).lengths()))

    async def _request_lengths(self, source: Member) -> None:
        peer = InstanceId(source.id)
        port = source.ports[_PORT]
        try:
            answer = await self.kernel.get(PeerPort).request(peer, source.host, port, LengthsAsk())
            if not isinstance(answer, LengthsAnswer) or not isinstance(answer.packed, bytes):
                raise PeerRefused("the answer is not a LengthsAnswer with bytes")
            summary = unpack_summary(answer.packed)
        except (PeerGone, OSError):
            # The last summary of this peer stays in use; the next peer is queried in the next
            # period.
            return
        except (PeerRefused, ValueError) as error:
            log(Event.PEER_REFUSED, error=str(error))
            return
        self.kernel.get(Dispatching).add_lengths(LengthsLearned(peer, summary))

    def _sources(self) -> list[Member]:
        live = self.kernel.get(Instances).members(ENTRY_SERVICE, MemberState.LIVE)
        others = [one for one in live if one.id != self._own and _PORT in one.ports]
        others.sort(key=lambda one: rendezvous(self._own, one.id))
        return others[:MAX_SOURCES]
