"""Executes the steps of each shard's writer at the object API, one at a time for each shard."""

import random
import secrets
from dataclasses import dataclass

import trio

from egretstack.clock import EpochClock
from egretstack.ledger._shard import (
    SHARD_COUNT,
    CorruptShard,
    Shard,
    head_name,
    read_rows,
    rows_spec,
)
from egretstack.ledger._steps import (
    CreateSegment,
    DeleteSegment,
    Operation,
    OperationKind,
    Outcome,
    ReadHead,
    ReadSegment,
    Step,
    WriteHead,
)
from egretstack.ledger._writer import ShardWriter
from egretstack.objectapi import (
    Conflict,
    ObjectApi,
    ObjectKind,
    PlatformError,
    PlatformOutcomeUnknown,
    StoredObject,
)

STORE_TIMEOUT_S = 1.0
"""Time limit of one store call; a slow store must not delay callers longer than a missing one."""
UNAVAILABLE_PAUSE_S = 1.0
"""How long after a failed call new intents of the shard are refused without a store call."""
CONFLICT_PAUSE_S = 0.01
MIN_WRITE_INTERVAL_S = 0.05
"""Minimum time between the starts of two commits of a shard; operations that wait share one.

With 8 shards it limits the writes to 160 a second, regardless of the number of calls
(docs/design/ledger.md).
"""


@dataclass
class _ShardWorker:
    """One shard's writer, and the state of the task that executes its steps."""

    writer: ShardWriter
    name: str
    is_running: bool = False
    next_write_s: float = 0.0
    unavailable_until_s: float = 0.0
    conflicts: int = 0


class ShardStore:
    """Runs operations on all shards, in one task of `nursery` for each shard."""

    def __init__(
        self,
        api: ObjectApi,
        epoch: EpochClock,
        nursery: trio.Nursery,
        shards: int = SHARD_COUNT,
        min_write_interval_s: float = MIN_WRITE_INTERVAL_S,
    ) -> None:
        self._api = api
        self._epoch = epoch
        self._nursery = nursery
        self._min_write_interval_s = min_write_interval_s
        self._rng = random.Random()
        self._workers = [_ShardWorker(ShardWriter(), head_name(number)) for number in range(shards)]
        self._event_by_operation: dict[Operation, trio.Event] = {}

    @property
    def is_idle(self) -> bool:
        """Return whether no operation is waiting on any shard."""
        return all(worker.writer.is_idle for worker in self._workers)

    def submit(self, number: int, operation: Operation) -> None:
        """Start an operation on a shard."""
        worker = self._workers[number]
        worker.writer.submit(operation)
        if not worker.is_running:
            worker.is_running = True
            self._nursery.start_soon(self._run_worker, worker)

    def is_unavailable(self, number: int) -> bool:
        """Return whether the shard's store was unavailable a moment ago."""
        return trio.current_time() < self._workers[number].unavailable_until_s

    async def wait(self, number: int, operation: Operation) -> Outcome | None:
        """Wait for an operation's outcome until `give_up_at_s`; a BEGIN always has one by then."""
        event = self._event_by_operation.setdefault(operation, trio.Event())
        if operation.outcome is None:
            with trio.move_on_at(operation.give_up_at_s):
                await event.wait()
        self._event_by_operation.pop(operation, None)
        if operation.outcome is None and operation.kind is OperationKind.BEGIN:
            self._workers[number].writer.expire_begins(trio.current_time())
        return operation.outcome

    async def _run_worker(self, worker: _ShardWorker) -> None:
        while True:
            await trio.sleep_until(worker.next_write_s)
            worker.writer.expire_begins(trio.current_time())
            step = worker.writer.next_step(self._epoch.now())
            self._notify_waiters()
            if step is None:
                worker.is_running = False
                return
            await self._execute(worker, step)
            self._notify_waiters()

    def _notify_waiters(self) -> None:
        for operation in [one for one in self._event_by_operation if one.outcome is not None]:
            self._event_by_operation.pop(operation).set()

    async def _execute(self, worker: _ShardWorker, step: Step) -> None:
        is_write = isinstance(step, WriteHead)
        try:
            with trio.fail_after(STORE_TIMEOUT_S):
                await self._call_store(worker, step)
            return
        except Conflict:
            worker.conflicts += 1
            worker.writer.on_conflict()
            pause_s = CONFLICT_PAUSE_S
        except (trio.TooSlowError, PlatformOutcomeUnknown):
            worker.writer.on_failure(is_write)
            pause_s = CONFLICT_PAUSE_S if is_write else UNAVAILABLE_PAUSE_S
        except (PlatformError, CorruptShard):
            worker.writer.on_failure(False)
            pause_s = UNAVAILABLE_PAUSE_S
        if isinstance(step, DeleteSegment):
            worker.writer.on_segment_deleted()
        if pause_s == UNAVAILABLE_PAUSE_S:
            worker.unavailable_until_s = trio.current_time() + UNAVAILABLE_PAUSE_S
        self._notify_waiters()
        # The pause is random: entries that wrote at the same moment would collide again after
        # equal pauses.
        await trio.sleep(pause_s * (0.5 + self._rng.random()))

    async def _call_store(self, worker: _ShardWorker, step: Step) -> None:
        writer = worker.writer
        match step:
            case ReadHead():
                stored = await self._api.get(ObjectKind.LEDGER, worker.name)
                writer.on_head_read(Shard.from_stored(stored), stored and stored.version)
            case ReadSegment(name):
                stored = await self._api.get(ObjectKind.LEDGER, name)
                writer.on_segment_read(name, _segment_rows(stored))
            case CreateSegment():
                # The name has a random part. Under a name that another process could use too, a
                # delayed write could change a segment that is already listed.
                name = f"seg-{worker.name}-{secrets.token_hex(8)}"
                await self._api.create(ObjectKind.LEDGER, name, _segment_spec(step))
                writer.on_segment_created(name, step)
            case DeleteSegment(name):
                stored = await self._api.get(ObjectKind.LEDGER, name)
                if stored is not None:
                    await self._api.delete(ObjectKind.LEDGER, name, stored.version)
                writer.on_segment_deleted()
            case WriteHead(spec, version):
                worker.next_write_s = trio.current_time() + self._min_write_interval_s
                await self._write(worker, spec, version)

    async def _write(self, worker: _ShardWorker, spec: dict, version: str | None) -> None:
        if version is None:
            stored = await self._api.create(ObjectKind.LEDGER, worker.name, spec)
        else:
            stored = await self._api.replace(ObjectKind.LEDGER, worker.name, spec, version)
        worker.writer.on_written(stored.version)


def _segment_spec(step: CreateSegment) -> dict[str, object]:
    return {"rows": rows_spec(step.row_by_key), "until_s": step.until_s}


def _segment_rows(stored: StoredObject | None):
    if stored is None:
        return None
    try:
        return read_rows(stored.spec)
    except (KeyError, TypeError, ValueError) as error:
        raise CorruptShard(f"{stored.name}: {error!r}") from error
