"""Measures how many writes the ledger makes for at-most-once calls.

Each line is one run on a mock clock: entries offer calls at a rate, spread evenly, to the
in-process object store, which delays each access. Each call writes an intent and, 50 ms later, its
outcome. `way` is per-call (one object per call), sharded (every entry writes the shard of the key
itself) or homed (the shard's ledger home writes it; calls of the other entries are sent there).
"""

import json
import random
import sys
import time
from functools import partial
from math import inf

import trio
import trio.testing

from egretstack.clock import EpochClock
from egretstack.errors import EgretError
from egretstack.ids import AccountId, AttemptId, IdempotencyKey, InstanceId, ServiceName
from egretstack.ledger import (
    CallState,
    KeptAnswer,
    LedgerEntry,
    Operation,
    OperationKind,
    Outcome,
    PerCallLedger,
    Row,
    Shard,
    ShardStore,
    ShardWriter,
    key_id,
    shard_number,
)
from egretstack.objectapi import ObjectKind
from egretstack.upstreams import CallResponse
from standins.object_store import InProcessObjectApi, ObjectStore

STORE_DELAY_S = 0.005
CALL_DURATION_S = 0.05
OFFER_DURATION_S = 5.0
COMMITS = 20
BEGIN_TIMEOUT_S = 2.5
ANSWER = CallResponse(201, (("content-type", "application/json"),), b'{"hold": "hold-000001"}')
ACCOUNT = AccountId("acme")
SERVICE = ServiceName("holds")


class Measurement:
    """One measurement of a way to write the ledger."""

    def __init__(self, mode: str, entries: int, rate: float, shards: int, pace_s: float) -> None:
        self.mode, self.entries, self.rate = mode, entries, rate
        self.shards, self.pace_s = shards, pace_s
        self.store = ObjectStore()
        self.store.faults.delay_s = STORE_DELAY_S
        self.begin_delays_s: list[float] = []
        self.done_count = self.refused_count = 0
        self.rng = random.Random(7)

    async def measure(self) -> None:
        """Offer the calls, wait until they end, and print the figures."""
        epoch = EpochClock.start()
        async with trio.open_nursery() as nursery:
            stores = [self._open_ledger(epoch, nursery) for _ in range(self.entries)]
            calls = int(self.rate * OFFER_DURATION_S)
            async with trio.open_nursery() as offered:
                for number in range(calls):
                    offered.start_soon(
                        self._make_call, stores[number % self.entries], number, epoch
                    )
                    await trio.sleep(self.rng.expovariate(self.rate))
            nursery.cancel_scope.cancel()
        self._print_figures(calls)

    def _open_ledger(self, epoch: EpochClock, nursery: trio.Nursery) -> ShardStore | PerCallLedger:
        api = InProcessObjectApi(self.store)
        if self.mode == "per-call":
            return PerCallLedger(api)
        if self.mode == "homed" and hasattr(self, "home_store"):
            return self.home_store
        self.home_store = ShardStore(api, epoch, nursery, self.shards, self.pace_s)
        return self.home_store

    async def _make_call(self, ledger: ShardStore | PerCallLedger, number: int, epoch: EpochClock):
        began_s = trio.current_time()
        if isinstance(ledger, PerCallLedger):
            await self._make_per_call(ledger, number, began_s)
            return
        key = key_id(ACCOUNT, SERVICE, IdempotencyKey(f"key-{number}"))
        now_s = epoch.now()
        row = _make_row(number, now_s)
        shard = shard_number(key, self.shards)
        begin = Operation(OperationKind.BEGIN, key, row, began_s + BEGIN_TIMEOUT_S)
        ledger.submit(shard, begin)
        if await ledger.wait(shard, begin) is not Outcome.WRITTEN:
            self.refused_count += 1
            return
        self.begin_delays_s.append(trio.current_time() - began_s)
        await trio.sleep(CALL_DURATION_S)
        ended = row.with_outcome(CallState.DONE, KeptAnswer.from_response(ANSWER))
        finish = Operation(OperationKind.FINISH, key, ended, inf)
        ledger.submit(shard, finish)
        await ledger.wait(shard, finish)
        self.done_count += 1

    async def _make_per_call(self, ledger: PerCallLedger, number: int, began_s: float) -> None:
        key = IdempotencyKey(f"key-{number}")
        try:
            entry = await ledger.begin(ACCOUNT, SERVICE, key, AttemptId(str(number)), "0" * 64)
        except EgretError:
            self.refused_count += 1
            return
        self.begin_delays_s.append(trio.current_time() - began_s)
        await trio.sleep(CALL_DURATION_S)
        await ledger.finish(LedgerEntry(entry.attempt, "0" * 64, CallState.DONE, ANSWER))
        self.done_count += 1

    def _print_figures(self, calls: int) -> None:
        counts = self.store.calls
        writes = sum(
            count for (verb, _), count in counts.items() if verb in ("create", "replace", "delete")
        )
        written = self.store.version
        heads = [one for one in self.store.of_kind(ObjectKind.LEDGER) if "turn" in one.spec]
        waits = sorted(self.begin_delays_s) or [inf]
        print(
            json.dumps(
                {
                    "way": self.mode,
                    "entries": self.entries,
                    "shards": self.shards,
                    "pace_ms": round(self.pace_s * 1000),
                    "offered_per_s": self.rate,
                    "calls": calls,
                    "done": self.done_count,
                    "refused": self.refused_count,
                    "writes_per_s": round(writes / OFFER_DURATION_S, 1),
                    "reads_per_s": round(counts["get", ObjectKind.LEDGER] / OFFER_DURATION_S, 1),
                    "calls_per_write": round(self.done_count / max(1, writes), 3),
                    "conflicts_per_write": round(1 - written / max(1, writes), 3),
                    "begin_ms_p50": round(waits[len(waits) // 2] * 1000, 1),
                    "begin_ms_p99": round(waits[len(waits) * 99 // 100] * 1000, 1),
                    "objects": len(self.store.by_place),
                    "head_bytes": max((len(json.dumps(one.spec)) for one in heads), default=0),
                }
            ),
            flush=True,
        )


def measure_mode(
    mode: str, entries: int, rate: float, shards: int = 8, pace_s: float = 0.05
) -> None:
    """Run one measurement on a mock clock."""
    measurement = Measurement(mode, entries, rate, shards, pace_s)
    trio.run(partial(measurement.measure), clock=trio.testing.MockClock(autojump_threshold=0))


def measure_commit(rows: int) -> None:
    """Print the processor time of planning and encoding one commit of a head with many rows."""
    writer = ShardWriter(roll_bytes=1 << 30)
    held = {}
    for number in range(rows):
        key = key_id(ACCOUNT, SERVICE, IdempotencyKey(f"key-{number}"))
        held[key] = _make_row(number, 0.0).with_outcome(
            CallState.DONE, KeptAnswer.from_response(ANSWER)
        )
    writer.on_head_read(Shard(held), "1")
    began_s = time.perf_counter()
    for number in range(COMMITS):
        key = key_id(ACCOUNT, SERVICE, IdempotencyKey(f"more-{number}"))
        writer.submit(Operation(OperationKind.BEGIN, key, _make_row(number, 0.0), inf))
        step = writer.next_step(0.0)
        body = json.dumps(step.spec)
        writer.on_written(str(number))
    spent_ms = (time.perf_counter() - began_s) * 1000 / COMMITS
    line = {"way": "commit", "rows": rows, "bytes": len(body), "commit_ms": round(spent_ms, 3)}
    print(json.dumps(line), flush=True)


def _make_row(number: int, now_s: float) -> Row:
    return Row(
        AttemptId(f"{number:024x}"),
        InstanceId("entry-0"),
        "0" * 16,
        "0" * 64,
        CallState.INTENT,
        1,
        now_s + 30,
        now_s + 86_400,
    )


def main() -> None:
    """Measure the cost of a commit, then current deployment sizes, then the target's rates."""
    for rows in (10, 50, 100, 150):
        measure_commit(rows)
    for entries in (1, 2, 4, 7, 20):
        for rate in (3, 30):
            for way in ("per-call", "sharded", "homed"):
                measure_mode(way, entries, rate)
    for shards in (2, 32, 128):
        measure_mode("sharded", 7, 30, shards)
    for way in ("per-call", "sharded", "homed"):
        measure_mode(way, 40, 100)
    for shards, pace_s in ((8, 0.02), (8, 0.05), (16, 0.05)):
        for rate in (200, 400, 800):
            measure_mode("homed", 40, rate, shards, pace_s)


if __name__ == "__main__":
    sys.exit(main())
