"""Requests slices of accounts' limits from their limits homes, and is a limits home itself."""

import trio

from egretstack import clock
from egretstack.contracts import Contract
from egretstack.events import Event, log
from egretstack.ids import AccountId, InstanceId
from egretstack.kernel import Kernel, Service
from egretstack.limits import (
    MAX_READY_WAIT_S,
    QUERY_TIMEOUT_S,
    TICK_INTERVAL_S,
    EntryLimiter,
    HomeLocator,
    HomeQuery,
    LimitsAnswer,
    LimitsAsk,
    LimitsHome,
)
from egretstack.objectapi import Member
from egretstack.peers import Message, MessageError, Nothing, PeerGone, PeerRefused
from egretstack.services.configuration import Configuration
from egretstack.services.membership import Membership
from egretstack.services.peer_port import PeerPort

PEER_PORT = "peer"
_SERIALS_PER_SECOND = 1000


class Limits(Service):
    """Counts requests in and out within the limits of their accounts' contracts."""

    name = "limits"
    requires = ("configuration", "membership", "peer_port")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._own = InstanceId(kernel.settings.text("instance", "id"))
        now_s = clock.now()
        self._homes = HomeLocator(now_s)
        # A process that follows another on this instance starts above all of its serials.
        serial = int(kernel.epoch.now() * _SERIALS_PER_SECOND)
        self.entry = EntryLimiter(self._own, self._homes, now_s, serial)
        self.home = LimitsHome(self._own, self._homes, now_s)
        self._wake = trio.Event()
        self._answered = trio.Event()
        self._waiters: set[object] = set()
        self._woken: set[object] = set()

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Answer entries, and send the queries that are due."""
        self.kernel.get(PeerPort).register_peer_handler(LimitsAsk, self._answer)
        self.kernel.get(Membership).on_change(self._update_view)
        self._update_view()
        async with trio.open_nursery() as nursery:
            task_status.started()
            while True:
                self._send_due(nursery)
                with trio.move_on_after(TICK_INTERVAL_S):
                    await self._wake.wait()
                self._wake = trio.Event()
                await self._run_woken()

    async def ready(self, contract: Contract) -> None:
        """Wait, at most `MAX_READY_WAIT_S`, while the limits home may let in one more request.

        Call this right before `open`, which decides. A caller waits here only if this entry holds
        too little of the account's limits and the home has not just reported that nothing is left.
        """
        with trio.move_on_after(MAX_READY_WAIT_S) as scope:
            while self.entry.should_wait(clock.now(), contract):
                await self._wait(contract.account)
        if scope.cancelled_caught:
            self.entry.on_wait_timeout(clock.now(), contract.account)

    def open(self, contract: Contract) -> None:
        """Count a request in. Raises EgretError."""
        self.entry.open(clock.now(), contract)

    def close(self, account: AccountId) -> None:
        """Count a request out."""
        self.entry.close(clock.now(), account)

    async def _wait(self, account: AccountId) -> None:
        waiter = object()
        self._waiters.add(waiter)
        self.entry.count_waiting(account, 1)
        self._wake.set()
        try:
            await self._answered.wait()
        finally:
            self.entry.count_waiting(account, -1)
            self._waiters.discard(waiter)
            self._woken.discard(waiter)

    def _wake_waiters(self) -> None:
        self._woken |= self._waiters
        self._waiters.clear()
        self._answered.set()
        self._answered = trio.Event()
        self._wake.set()

    async def _run_woken(self) -> None:
        # Requests that an answer has just let in run before the next query. If they were counted as
        # waiting once more, they would take a second token, and others would be refused for it.
        # Tasks that are ready run in any order, so one checkpoint is not enough.
        while self._woken:
            await trio.lowlevel.checkpoint()

    def _send_due(self, nursery: trio.Nursery) -> None:
        if self.home.tick(clock.now()):
            log(Event.LIMITS_HOME_THAWED)
        for query in self.entry.due_queries(clock.now()):
            nursery.start_soon(self._query, query)

    async def _query(self, query: HomeQuery) -> None:
        try:
            answer = await self._query_home(query)
            self.entry.on_answer(clock.now(), query, answer)
        except (PeerGone, PeerRefused, MessageError) as error:
            log(Event.LIMITS_HOME_AWAY, home=query.home, error=str(error))
            self.entry.on_failure(clock.now(), query)
        self._wake_waiters()

    async def _query_home(self, query: HomeQuery) -> LimitsAnswer:
        if query.home == self._own:
            return self._decide(self._own, query.message)
        member = self._live().get(query.home)
        if member is None or PEER_PORT not in member.ports:
            raise PeerGone("the limits home is not listed with a peer port")
        port = member.ports[PEER_PORT]
        with trio.move_on_after(QUERY_TIMEOUT_S):
            answer = await self.kernel.get(PeerPort).request(
                query.home, member.host, port, query.message
            )
            if isinstance(answer, LimitsAnswer):
                return answer
            raise PeerRefused("the answer is not a LimitsAnswer")
        raise PeerGone("no answer in time")

    async def _answer(self, sender: InstanceId, message: Message) -> Message:
        try:
            return self._decide(sender, message)
        except MessageError as error:
            log(Event.PEER_REFUSED, error=str(error))
            return Nothing()

    def _decide(self, sender: InstanceId, query: LimitsAsk) -> LimitsAnswer:
        contracts = self.kernel.get(Configuration).state.contract_by_account
        return self.home.answer(clock.now(), sender, query, contracts)

    def _update_view(self) -> None:
        zone_by_id = {instance: member.zone for instance, member in self._live().items()}
        self._homes.update_view(clock.now(), zone_by_id)
        self._wake.set()

    def _live(self) -> dict[InstanceId, Member]:
        """Return the live entries, which are the only candidates for limits homes."""
        membership = self.kernel.get(Membership)
        # The last instance serves on while it leaves; without a limits home it would refuse
        # everyone.
        members = membership.live_members() or [membership.own_member]
        return {InstanceId(member.id): member for member in members}
