"""Carries a shard's steps out at the object API, one at a time, for each shard by itself."""

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
"""Time allowed for one call; a slow store must not hold callers longer than an absent one."""
UNAVAILABLE_PAUSE_S = 1.0
"""After a failed call, how long new beginnings of the shard are refused without asking."""
CONFLICT_PAUSE_S = 0.01
MIN_WRITE_INTERVAL_S = 0.05
"""Least time between the starts of two commits of a shard; what comes meanwhile shares one.

With 8 shards it bounds the writes to 160 a second however many calls come (docs/design/ledger.md).
"""


@dataclass
class _ShardWorker:
    """One shard's writer with its task."""

    writer: ShardWriter
    name: str
    is_running: bool = False
    next_write_s: float = 0.0
    unavailable_until_s: float = 0.0
    conflicts: int = 0


class ShardStore:
    """Runs operations on every shard; `nursery` holds the tasks."""

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
        """Tell whether nothing waits to be written or settled."""
        return all(lane.writer.is_idle for lane in self._workers)

    def submit(self, number: int, operation: Operation) -> None:
        """Start an operation on a shard."""
        lane = self._workers[number]
        lane.writer.submit(operation)
        if not lane.is_running:
            lane.is_running = True
            self._nursery.start_soon(self._run_worker, lane)

    def is_unavailable(self, number: int) -> bool:
        """Tell whether the shard's store was away a moment ago."""
        return trio.current_time() < self._workers[number].unavailable_until_s

    async def wait(self, number: int, operation: Operation) -> Outcome | None:
        """Wait for an operation's outcome until it gives up; a beginning then has one."""
        event = self._event_by_operation.setdefault(operation, trio.Event())
        if operation.outcome is None:
            with trio.move_on_at(operation.give_up_at_s):
                await event.wait()
        self._event_by_operation.pop(operation, None)
        if operation.outcome is None and operation.kind is OperationKind.BEGIN:
            self._workers[number].writer.expire_begins(trio.current_time())
        return operation.outcome

    async def _run_worker(self, lane: _ShardWorker) -> None:
        while True:
            await trio.sleep_until(lane.next_write_s)
            lane.writer.expire_begins(trio.current_time())
            step = lane.writer.next_step(self._epoch.now())
            self._notify_waiters()
            if step is None:
                lane.is_running = False
                return
            await self._execute(lane, step)
            self._notify_waiters()

    def _notify_waiters(self) -> None:
        for operation in [one for one in self._event_by_operation if one.outcome is not None]:
            self._event_by_operation.pop(operation).set()

    async def _execute(self, lane: _ShardWorker, step: Step) -> None:
        is_write = isinstance(step, WriteHead)
        try:
            with trio.fail_after(STORE_TIMEOUT_S):
                await self._call_store(lane, step)
            return
        except Conflict:
            lane.conflicts += 1
            lane.writer.on_conflict()
            pause_s = CONFLICT_PAUSE_S
        except (trio.TooSlowError, PlatformOutcomeUnknown):
            lane.writer.on_failure(is_write)
            pause_s = CONFLICT_PAUSE_S if is_write else UNAVAILABLE_PAUSE_S
        except (PlatformError, CorruptShard):
            lane.writer.on_failure(False)
            pause_s = UNAVAILABLE_PAUSE_S
        if isinstance(step, DeleteSegment):
            lane.writer.on_segment_deleted()
        if pause_s == UNAVAILABLE_PAUSE_S:
            lane.unavailable_until_s = trio.current_time() + UNAVAILABLE_PAUSE_S
        self._notify_waiters()
        # Entries that wrote at the same moment would do so again after equal pauses.
        await trio.sleep(pause_s * (0.5 + self._rng.random()))

    async def _call_store(self, lane: _ShardWorker, step: Step) -> None:
        writer = lane.writer
        match step:
            case ReadHead():
                stored = await self._api.get(ObjectKind.LEDGER, lane.name)
                writer.on_head_read(Shard.from_stored(stored), stored and stored.version)
            case ReadSegment(name):
                stored = await self._api.get(ObjectKind.LEDGER, name)
                writer.on_segment_read(name, _segment_rows(stored))
            case CreateSegment():
                # A random part: a name that another process could write would let a late write
                # change a segment that is listed already.
                name = f"seg-{lane.name}-{secrets.token_hex(8)}"
                await self._api.create(ObjectKind.LEDGER, name, _segment_spec(step))
                writer.on_segment_created(name, step)
            case DeleteSegment(name):
                stored = await self._api.get(ObjectKind.LEDGER, name)
                if stored is not None:
                    await self._api.delete(ObjectKind.LEDGER, name, stored.version)
                writer.on_segment_deleted()
            case WriteHead(spec, version):
                lane.next_write_s = trio.current_time() + self._min_write_interval_s
                await self._write(lane, spec, version)

    async def _write(self, lane: _ShardWorker, spec: dict, version: str | None) -> None:
        if version is None:
            stored = await self._api.create(ObjectKind.LEDGER, lane.name, spec)
        else:
            stored = await self._api.replace(ObjectKind.LEDGER, lane.name, spec, version)
        lane.writer.on_written(stored.version)


def _segment_spec(step: CreateSegment) -> dict[str, object]:
    return {"rows": rows_spec(step.row_by_key), "until_s": step.until_s}


def _segment_rows(stored: StoredObject | None):
    if stored is None:
        return None
    try:
        return read_rows(stored.spec)
    except (KeyError, TypeError, ValueError) as error:
        raise CorruptShard(f"{stored.name}: {error!r}") from error
