"""Helpers for tests of the ledger: rows, operations, and stores whose writes can be delayed."""

from dataclasses import dataclass, field
from math import inf

from egretstack.errors import EgretError
from egretstack.ids import AccountId, AttemptId, IdempotencyKey, InstanceId, ServiceName
from egretstack.ledger import (
    CallState,
    CreateSegment,
    DeleteSegment,
    Operation,
    OperationKind,
    ReadHead,
    ReadSegment,
    Row,
    Shard,
    ShardWriter,
    Step,
    WriteHead,
    key_id,
    read_rows,
    rows_spec,
)
from egretstack.objectapi import (
    Conflict,
    ObjectKind,
    PlatformOutcomeUnknown,
    StoredObject,
)
from standins.object_store import InProcessObjectApi, ObjectStore

RETENTION_S = 86_400.0
HEAD = "head-0"


def key(name):
    return key_id(AccountId("acme"), ServiceName("holds"), IdempotencyKey(name))


def row(attempt, owner="a", fingerprint="f", state=CallState.INTENT, until_s=RETENTION_S):
    return Row(
        AttemptId(attempt), InstanceId(owner), owner, fingerprint, state, 1, 30.0, until_s, None
    )


def begin(name, attempt, replaces=None, give_up_at_s=inf, **more):
    return Operation(OperationKind.BEGIN, key(name), row(attempt, **more), give_up_at_s, replaces)


def finish(name, attempt, state=CallState.DONE, **more):
    return Operation(OperationKind.FINISH, key(name), row(attempt, state=state, **more), inf)


@dataclass
class DelayedWrite:
    """A write that has been sent and has not reached the store yet."""

    name: str
    spec: dict
    version: str | None


@dataclass
class FaultyStore:
    """The head and segments of one shard; each step is executed with a chosen fault."""

    store: ObjectStore = field(default_factory=ObjectStore)
    delayed_writes: list[DelayedWrite] = field(default_factory=list)
    created_segments: int = 0

    def execute(self, writer: ShardWriter, step: Step, fault: str = "") -> None:
        """Execute a step; the faults are away, lost-request, lost-answer and late."""
        if fault == "away":
            writer.on_failure(False)
            return
        match step:
            case ReadHead():
                stored = self.head()
                writer.on_head_read(Shard.from_stored(stored), stored and stored.version)
            case ReadSegment(name):
                stored = self.store.by_place.get((ObjectKind.LEDGER, name))
                writer.on_segment_read(name, stored and read_rows(stored.spec))
            case CreateSegment(row_by_key):
                self.created_segments += 1
                name = f"seg-{self.created_segments}"
                self.store.put(ObjectKind.LEDGER, name, {"rows": rows_spec(row_by_key)}, None)
                writer.on_segment_created(name, step)
            case DeleteSegment(name):
                stored = self.store.by_place[ObjectKind.LEDGER, name]
                self.store.remove(ObjectKind.LEDGER, name, stored.version)
                writer.on_segment_deleted()
            case WriteHead(spec, version):
                self._write(writer, spec, version, fault)

    def run_until_idle(self, writer: ShardWriter, epoch_s: float = 0.0) -> None:
        """Execute steps until nothing is waiting."""
        while (step := writer.next_step(epoch_s)) is not None:
            self.execute(writer, step)

    def run_until_write(self, writer: ShardWriter, epoch_s: float = 0.0) -> WriteHead:
        """Execute the steps before the next write of the head, and return that write."""
        while not isinstance(step := writer.next_step(epoch_s), WriteHead):
            self.execute(writer, step)
        return step

    def deliver(self, late: DelayedWrite) -> bool:
        """Deliver a delayed write; return whether it takes effect."""
        self.delayed_writes.remove(late)
        try:
            self.store.put(ObjectKind.LEDGER, late.name, late.spec, late.version)
        except Conflict:
            return False
        return True

    def head(self) -> StoredObject | None:
        return self.store.by_place.get((ObjectKind.LEDGER, HEAD))

    def rows(self) -> dict:
        return Shard.from_stored(self.head()).row_by_key

    def _write(self, writer, spec, version, fault):
        if fault == "late":
            self.delayed_writes.append(DelayedWrite(HEAD, spec, version))
        if fault in ("late", "lost-request"):
            writer.on_failure(True)
            return
        try:
            stored = self.store.put(ObjectKind.LEDGER, HEAD, spec, version)
        except Conflict:
            writer.on_conflict()
            return
        if fault == "lost-answer":
            writer.on_failure(True)
        else:
            writer.on_written(stored.version)


class DelayingObjectApi(InProcessObjectApi):
    """An object API that delays the next `writes_to_delay` writes until `deliver_all`."""

    def __init__(self, store: ObjectStore) -> None:
        super().__init__(store)
        self.writes_to_delay = 0
        self.delayed_writes: list[DelayedWrite] = []

    async def create(self, kind, name, spec):
        self._delay(name, spec, None)
        return await super().create(kind, name, spec)

    async def replace(self, kind, name, spec, version):
        self._delay(name, spec, version)
        return await super().replace(kind, name, spec, version)

    def deliver_all(self) -> int:
        """Deliver the delayed writes; return how many took effect."""
        landed = 0
        for write in self.delayed_writes:
            try:
                self.store.put(ObjectKind.LEDGER, write.name, write.spec, write.version)
                landed += 1
            except Conflict:
                continue
        self.delayed_writes.clear()
        return landed

    def _delay(self, name, spec, version):
        if self.writes_to_delay:
            self.writes_to_delay -= 1
            self.delayed_writes.append(DelayedWrite(name, spec, version))
            raise PlatformOutcomeUnknown("no answer in time")


async def outcome_of(call, *arguments):
    """Return the answer of a call, or the kind of its error."""
    try:
        return await call(*arguments)
    except EgretError as error:
        return error.kind
