"""Tests of fleet duties: one holder, rate-limited, harmless if a paused holder resumes late."""

from collections import Counter
from contextlib import asynccontextmanager

import trio

from egretstack.duties import CALLS_PER_S, DutyEnded, PacedObjectApi
from egretstack.ledger import SHARD_COUNT, CallState, LedgerPruner, Shard, head_name, rows_spec
from egretstack.ledger._shard import Segment
from egretstack.objectapi import Conflict, ObjectKind
from egretstack.services.duties import Duties
from egretstack.services.ledger_pruning import PRUNE_PERIOD_S, LedgerPruning
from egretstack.settings import Program
from standins.object_store import InProcessObjectApi, ObjectStore
from tests.ledger_site import call, deployment, post
from tests.ledger_support import key, row
from tests.support import check, tests_of

load_tests = tests_of(globals())

HOUR_S = 3_600.0
OLD_PER_SHARD = 6
MAX_TAKEOVER_S = 30.0
LIMITS_SETTLE_S = 30.0
"""A new limits home grants nothing for the time to live of a slice; calls would be refused."""

CALLERS = 4
CALL_INTERVAL_S = 2.0
CREATED = 201


def put_old_segments(store, epoch_s, shards=SHARD_COUNT):
    """Put expired segments and one that is not expired into each shard, as entries leave them."""
    for number in range(shards):
        old = [Segment(f"old-{number}-{n}", epoch_s - HOUR_S) for n in range(OLD_PER_SHARD)]
        listed = (*old, Segment(f"kept-{number}", epoch_s + HOUR_S))
        for segment in listed:
            ended = row(segment.name, state=CallState.DONE, until_s=segment.until_s)
            spec = {"rows": rows_spec({key(segment.name): ended}), "until_s": segment.until_s}
            store.put(ObjectKind.LEDGER, segment.name, spec, None)
        name = head_name(number)
        stored = store.by_place.get((ObjectKind.LEDGER, name))
        shard = Shard.from_stored(stored)
        spec = Shard(shard.row_by_key, listed, shard.write_count + 1).spec()
        store.put(ObjectKind.LEDGER, name, spec, stored and stored.version)


def remaining_segments(store):
    """Return the names of the stored segments, and of those listed in shard heads."""
    objects = store.of_kind(ObjectKind.LEDGER)
    heads = [stored for stored in objects if "turn" in stored.spec]
    listed = {segment.name for head in heads for segment in Shard.from_stored(head).segments}
    return {stored.name for stored in objects if "turn" not in stored.spec}, listed


def is_pruned(store):
    stored, listed = remaining_segments(store)
    return not any(name.startswith("old") for name in stored | listed)


def holders(processes, kind=LedgerPruning):
    return [process for process in processes if kind.duty in process.kernel.get(Duties).held()]


def record_calls(process):
    """Return a list to which each call of a process to the store is added, with its time."""
    calls = []
    inner = process.access.store_client.inner._call

    async def recorded(verb, kind):
        calls.append((trio.current_time(), verb, kind))
        await inner(verb, kind)

    process.access.store_client.inner._call = recorded
    return calls


async def wait_until(is_true, limit_s=60.0):
    with trio.fail_after(limit_s):
        while not is_true():
            await trio.sleep(0.05)


@asynccontextmanager
async def fleet(stewards=4):
    """Run a deployment with one steward per entry, and record the calls of each steward."""
    async with deployment(entries=stewards) as (world, entries, _):
        await trio.sleep(LIMITS_SETTLE_S)
        processes = [
            await world.start(f"entry-{number}", Program.STEWARD) for number in range(stewards)
        ]
        calls = [record_calls(process) for process in processes]
        yield world, entries, processes, calls


async def test_old_segments_are_deleted_under_load_though_a_holder_is_killed():
    # Callers make calls continuously, so heads change many times per second. The holder of the
    # duty is killed when some segments are deleted but still listed. Another steward takes over
    # and finishes. No call is refused, and nothing that may still be needed is deleted.
    async with fleet() as (world, entries, stewards, calls):
        await wait_until(lambda: holders(stewards))
        put_old_segments(world.store, entries[0].kernel.epoch.now())
        first = holders(stewards)[0]
        answers = Counter()

        async def caller(number):
            while True:
                entry = entries[number % len(entries)]
                answers[await call(entry, post(f"{number}-{answers.total()}"))] += 1
                await trio.sleep(CALL_INTERVAL_S)

        total = SHARD_COUNT * OLD_PER_SHARD
        async with trio.open_nursery() as callers:
            for number in range(CALLERS):
                callers.start_soon(caller, number)
            await wait_until(lambda: count_deleted(world.store) > total // 3, PRUNE_PERIOD_S * 1.5)
            check.assertLess(count_deleted(world.store), total)
            check.assertEqual(holders(stewards), [first])
            first.kill()
            await wait_until(lambda: is_pruned(world.store), MAX_TAKEOVER_S + PRUNE_PERIOD_S)
            callers.cancel_scope.cancel()
        check.assertGreater(answers.total(), 0)
        check.assertEqual(answers.keys(), {CREATED})
        stored, listed = remaining_segments(world.store)
        kept = {f"kept-{number}" for number in range(SHARD_COUNT)}
        check.assertLessEqual(kept, stored & listed)
        for steward_calls in calls:
            check.assertLessEqual(max_calls_per_second(steward_calls), CALLS_PER_S + 2)


def count_deleted(store):
    stored, _ = remaining_segments(store)
    return SHARD_COUNT * OLD_PER_SHARD - sum(name.startswith("old") for name in stored)


def max_calls_per_second(calls):
    times = [at_s for at_s, _, kind in calls if kind is ObjectKind.LEDGER]
    return max((sum(start <= at < start + 1 for at in times) for start in times), default=0)


class PausingObjectApi(InProcessObjectApi):
    """Pauses the process before its call number `at`, and awaits `others` in the meantime."""

    def __init__(self, store, at, others):
        super().__init__(store)
        self._calls_left = at
        self._others = others

    async def _call(self, verb, kind):
        self._calls_left -= 1
        if self._calls_left == 0:
            await self._others()
        await super()._call(verb, kind)


async def test_a_round_paused_at_any_call_is_harmless_when_it_resumes():
    # A holder is paused in the middle of a round, and its lease expires. Another holder runs its
    # round and an entry writes a call. The first resumes where it was, without a check of its
    # lease: it deletes nothing that is needed, and the call's row and the new segment remain.
    calls = 1 + 2 * OLD_PER_SHARD + 2
    for at in range(1, calls + 1):
        store = ObjectStore()
        put_old_segments(store, 0.0, shards=1)

        async def others(store=store):
            await LedgerPruner(InProcessObjectApi(store), shards=1).prune(0.0)
            found = store.by_place[ObjectKind.LEDGER, head_name(0)]
            shard = Shard.from_stored(found)
            store.put(ObjectKind.LEDGER, "new", {"rows": {}}, None)
            listed = (*shard.segments, Segment("new", HOUR_S))
            spec = Shard({key("k"): row("a")}, listed, shard.write_count + 1).spec()
            store.put(ObjectKind.LEDGER, head_name(0), spec, found.version)

        await LedgerPruner(PausingObjectApi(store, at, others), shards=1).prune(0.0)
        check.assertEqual(remaining_segments(store), ({"kept-0", "new"}, {"kept-0", "new"}), at)
        head = Shard.from_stored(store.by_place[ObjectKind.LEDGER, head_name(0)])
        check.assertEqual(set(head.row_by_key), {key("k")}, at)


async def test_a_holder_paused_past_its_lease_makes_no_further_call():
    # The process is paused for a minute in the middle of a round, and another takes over. When
    # the first resumes, it must see by its own clock that its lease expired, and make no call.
    async with fleet() as (world, entries, stewards, calls):
        await wait_until(lambda: holders(stewards))
        first = holders(stewards)[0]
        own = calls[stewards.index(first)]
        paced = PacedObjectApi(
            first.access.object_api,
            first.kernel.get(Duties)._duty_by_name[LedgerPruning.duty].remaining_s,
        )
        await paced.get(ObjectKind.LEDGER, head_name(0))
        before = len(own)
        trio.lowlevel.current_clock().jump(60.0)
        with check.assertRaises(DutyEnded):
            await paced.get(ObjectKind.LEDGER, head_name(0))
        late = [call for call in own[before:] if call[2] is ObjectKind.LEDGER]
        check.assertEqual(late, [])


class BusyHeadObjectApi(InProcessObjectApi):
    """Writes the head after each deletion, as an entry does under load."""

    async def delete(self, kind, name, version):
        await super().delete(kind, name, version)
        found = self.store.by_place[ObjectKind.LEDGER, head_name(0)]
        self.store.put(ObjectKind.LEDGER, head_name(0), found.spec, found.version)


async def test_a_head_that_is_written_continuously_is_pruned_in_one_round():
    # Deletions take seconds, and entries write the head in between. If the head were updated with
    # the version read before the deletions, the update would conflict in every round: the list
    # would grow until the shard accepts no more calls.
    store = ObjectStore()
    put_old_segments(store, 0.0, shards=1)
    pruned = await LedgerPruner(BusyHeadObjectApi(store), shards=1).prune(0.0)
    check.assertEqual((pruned.segments, pruned.failed_heads), (OLD_PER_SHARD, 0))
    check.assertTrue(is_pruned(store))


async def test_a_segment_deleted_by_another_round_is_not_a_failure():
    store = ObjectStore()
    put_old_segments(store, 0.0, shards=1)

    class DeletedConcurrently(InProcessObjectApi):
        async def delete(self, kind, name, version):
            self.store.remove(kind, name, version)
            raise Conflict(name)

    pruned = await LedgerPruner(DeletedConcurrently(store), shards=1).prune(0.0)
    check.assertEqual(pruned.failed_heads, 0)
    check.assertTrue(is_pruned(store))
