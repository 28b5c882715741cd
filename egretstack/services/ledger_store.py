"""The ledger of calls that run at most once, and the state of this process's attempts."""

import secrets
from dataclasses import replace
from math import inf

import trio

from egretstack.errors import EgretError, ErrorKind, NotRunProof
from egretstack.events import Event, log
from egretstack.ids import AttemptId, InstanceId
from egretstack.kernel import Kernel, Service
from egretstack.ledger import (
    AttemptAsk,
    AttemptRegistry,
    AttemptTell,
    CallLedger,
    CallState,
    Intent,
    IntentRequest,
    InvalidShardRequest,
    KeptAnswer,
    Operation,
    OperationKind,
    Outcome,
    Row,
    ShardAsk,
    ShardStore,
    ShardTell,
    Stage,
    apply_shard_answer,
    find_ledger_home,
    make_shard_answer,
    make_shard_request,
    parse_shard_request,
    shard_number,
)
from egretstack.objectapi import ENTRY_SERVICE, MemberState
from egretstack.peers import Message, Nothing, PeerGone, PeerRefused
from egretstack.services.instances import Instances
from egretstack.services.peer_port import PeerPort
from egretstack.services.platform_access import PlatformAccess

BEGIN_TIMEOUT_S = 2.5
"""How long a call waits for its intent to be written."""
HOME_TIMEOUT_S = 0.3
"""How long the ledger home of the shard may take to write before this process writes itself."""
FINISH_TIMEOUT_S = 0.5
"""How long an answer waits for its outcome to be written; after that it is written later."""
MAX_SEND_AGE_S = 5.0
"""Age of an intent, counted from before it was written, above which it is no longer sent."""
DEADLINE_MARGIN_S = 10.0
NOT_RUN_RETENTION_S = 600.0
PLATFORM_RETRY_S = 5.0
MAX_ATTEMPTS = 10_000
DRAIN_TIMEOUT_S = 30.0
FENCING_NUMBERS_PER_S = 1_000
"""A key's first fencing number is its time in milliseconds, so that a key that was forgotten and is
used again starts above the numbers that the service remembers."""
_PEER_PORT = "peer"


class LedgerStore(Service, CallLedger):
    """Writes intents and outcomes, and answers other entries that query an attempt."""

    name = "ledger_store"
    requires = ("platform_access", "instances", "peer_port")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._boot = secrets.token_hex(8)
        self._owner = InstanceId(kernel.settings.text("instance", "id"))
        self._attempts = AttemptRegistry(self._boot, MAX_ATTEMPTS)
        self._nursery: trio.Nursery
        self._store: ShardStore

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Run the tasks that write."""
        self.kernel.get(PeerPort).register_handler(AttemptAsk, self._answer)
        self.kernel.get(PeerPort).register_handler(ShardAsk, self._write_for_peer)
        api = self.kernel.get(PlatformAccess).object_api
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._store = ShardStore(api, self.kernel.epoch, nursery)
            task_status.started()
            await trio.sleep_forever()

    async def drain(self) -> None:
        """Write what is left, within a bound: with the platform unavailable it would never end."""
        with trio.move_on_after(DRAIN_TIMEOUT_S):
            while not self._store.is_idle:
                await trio.sleep(0.1)

    async def begin(self, request: IntentRequest) -> Intent | Row:
        """Write an intent, or return the row that the key has already.

        Raises EgretError PLATFORM_AWAY; the call was then not sent and never will be.
        """
        number = shard_number(request.key)
        if self._attempts.is_full or self._store.is_unavailable(number):
            raise _unavailable("the store did not answer a moment ago")
        began_s = trio.current_time()
        row = self._new_row(request)
        operation = Operation(
            OperationKind.BEGIN, request.key, row, began_s + BEGIN_TIMEOUT_S, request.replaces
        )
        self._attempts.begin(row.attempt)
        if await self._forward_to_home(number, operation):
            outcome = operation.outcome
        else:
            self._store.submit(number, operation)
            outcome = await self._store.wait(number, operation)
        if outcome is Outcome.WRITTEN:
            return Intent(request.key, operation.row, began_s)
        if outcome is Outcome.ABANDONED:
            log(Event.INTENT_ABANDONED, attempt=row.attempt)
            self._attempts.abandon(row.attempt)
            self._nursery.start_soon(self._forget_after, number, operation.retraction)
            raise _unavailable("the intent may be in the store; it was given up and is never sent")
        self._attempts.forget(row.attempt)
        if outcome is Outcome.FOUND:
            return operation.found
        raise _unavailable("the intent was not written")

    def check_send(self, intent: Intent) -> None:
        """Raise EgretError NOT_RUN if the intent is too old to be sent.

        This catches a process that was paused after it wrote its intent. Its key may have been
        forgotten meanwhile and used again, so what it would send now could run a second time.
        """
        age_s = trio.current_time() - intent.started_at_s
        if age_s > MAX_SEND_AGE_S or not self._attempts.may_send(intent.row.attempt):
            log(Event.INTENT_TOO_OLD, attempt=intent.row.attempt, age_s=round(age_s, 3))
            proof = NotRunProof(f"the intent was {age_s:.1f} s old, so the call was not sent")
            raise EgretError(ErrorKind.NOT_RUN, proof.reason, proof=proof)

    async def release(self, intent: Intent) -> None:
        """Free the key of an intent that was not sent and, from this moment, never will be."""
        self._attempts.abandon(intent.row.attempt)
        until_s = min(intent.row.until_s, self.kernel.epoch.now() + NOT_RUN_RETENTION_S)
        row = replace(intent.row.with_outcome(CallState.NOT_RUN), until_s=until_s)
        await self._finish(intent, row)

    async def finish(self, intent: Intent, answer: KeptAnswer | None) -> bool:
        """Write the outcome, None if unknown; return False if another attempt took over the key."""
        self._attempts.end(intent.row.attempt, answer is not None)
        state = CallState.UNKNOWN if answer is None else CallState.DONE
        return await self._finish(intent, intent.row.with_outcome(state, answer))

    async def stage(self, row: Row) -> Stage:
        """Query the owner of an attempt for the attempt's stage."""
        if row.owner == self._owner:
            return self._attempts.stage(row.boot, row.attempt)
        members = self.kernel.get(Instances).members(ENTRY_SERVICE)
        owner = next((one for one in members if one.id == row.owner), None)
        if owner is None or _PEER_PORT not in owner.ports:
            # The list lags, and a live instance may be missing from it, so this proves nothing.
            return Stage.UNRESPONSIVE
        query = AttemptAsk(row.boot, row.attempt)
        try:
            answer = await self.kernel.get(PeerPort).request(
                row.owner, owner.host, owner.ports[_PEER_PORT], query
            )
            return Stage(answer.stage)
        except (PeerGone, PeerRefused, ValueError, AttributeError):
            return Stage.UNRESPONSIVE

    async def _finish(self, intent: Intent, row: Row) -> bool:
        number = shard_number(intent.key)
        operation = Operation(OperationKind.FINISH, intent.key, row, inf)
        if await self._forward_to_home(number, operation):
            self._attempts.forget(row.attempt)
            return operation.outcome is not Outcome.LOST
        self._store.submit(number, operation)
        self._nursery.start_soon(self._forget_after, number, operation)
        with trio.move_on_after(FINISH_TIMEOUT_S):
            while operation.outcome is None:
                await trio.sleep(0.005)
        return operation.outcome is not Outcome.LOST

    async def _forward_to_home(self, number: int, operation: Operation) -> bool:
        """Have the shard's ledger home carry out an operation; return whether it confirmed that.

        It may still do so later. That does no harm next to this process's own write: both carry the
        same attempt, and a row of that attempt is never begun a second time.
        """
        members = self.kernel.get(Instances).members(ENTRY_SERVICE, MemberState.LIVE)
        member_by_id = {InstanceId(one.id): one for one in members if _PEER_PORT in one.ports}
        home = find_ledger_home(number, list(member_by_id))
        if home is None or home == self._owner:
            return False
        operation.forwarded = True
        until_s = self.kernel.epoch.now() + HOME_TIMEOUT_S
        query = make_shard_request(number, operation, until_s)
        member = member_by_id[home]
        with trio.move_on_after(HOME_TIMEOUT_S):
            try:
                port = self.kernel.get(PeerPort)
                answer = await port.request(home, member.host, member.ports[_PEER_PORT], query)
            except (PeerGone, PeerRefused):
                return False
            return isinstance(answer, ShardTell) and apply_shard_answer(answer, operation)
        return False

    async def _write_for_peer(self, message: Message) -> Message:
        try:
            operation = parse_shard_request(message, self.kernel.epoch.now(), trio.current_time())
        except InvalidShardRequest:
            return Nothing()
        self._store.submit(message.shard, operation)
        await self._store.wait(message.shard, operation)
        return make_shard_answer(operation)

    async def _forget_after(self, number: int, operation: Operation) -> None:
        await self._store.wait(number, operation)
        self._attempts.forget(operation.row.attempt)

    async def _answer(self, message: Message) -> Message:
        return AttemptTell(self._attempts.stage(message.boot, AttemptId(message.attempt)).value)

    def _new_row(self, request: IntentRequest) -> Row:
        now_s = round(self.kernel.epoch.now(), 3)
        return Row(
            AttemptId(secrets.token_hex(12)),
            self._owner,
            self._boot,
            request.fingerprint,
            CallState.INTENT,
            int(now_s * FENCING_NUMBERS_PER_S),
            now_s + request.timeout_s + MAX_SEND_AGE_S + DEADLINE_MARGIN_S,
            now_s + request.retention_s,
        )


def _unavailable(cause: str) -> EgretError:
    proof = NotRunProof("the call was not sent and never will be")
    return EgretError(ErrorKind.PLATFORM_AWAY, cause, retry_after_s=PLATFORM_RETRY_S, proof=proof)
