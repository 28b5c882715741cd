"""Duties for the whole fleet: one holder, paced, harmless when a holder goes on late."""

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
OLD_IN_SHARD = 6
TAKE_OVER_S = 30.0
LIMITS_SETTLE_S = 30.0
"""A new home of limits lends nothing for a slice's life: calls at the start would be refused."""

CALLERS = 4
CALL_EVERY_S = 2.0
RAN = 201


def put_old(store, epoch_s, shards=SHARD_COUNT):
    """Put segments past their time and one that is not into each shard, as entries left them."""
    for number in range(shards):
        old = [Segment(f"old-{number}-{one}", epoch_s - HOUR_S) for one in range(OLD_IN_SHARD)]
        listed = (*old, Segment(f"kept-{number}", epoch_s + HOUR_S))
        for segment in listed:
            ended = row(segment.name, state=CallState.DONE, until_s=segment.until_s)
            spec = {"rows": rows_spec({key(segment.name): ended}), "until_s": segment.until_s}
            store.put(ObjectKind.LEDGER, segment.name, spec, None)
        name = head_name(number)
        found = store.by_place.get((ObjectKind.LEDGER, name))
        shard = Shard.from_stored(found)
        spec = Shard(shard.row_by_key, listed, shard.write_count + 1).spec()
        store.put(ObjectKind.LEDGER, name, spec, found and found.version)


def segments_left(store):
    """Give the names of stored segments, and of those that heads list."""
    objects = store.of_kind(ObjectKind.LEDGER)
    heads = [one for one in objects if "turn" in one.spec]
    listed = {one.name for head in heads for one in Shard.from_stored(head).segments}
    return {one.name for one in objects if "turn" not in one.spec}, listed


def is_pruned(store):
    stored, listed = segments_left(store)
    return not any(name.startswith("old") for name in stored | listed)


def holders(processes, kind=LedgerPruning):
    return [one for one in processes if kind.duty in one.kernel.get(Duties).held()]


def record(process):
    """Give the list to which each call of a process to the store is added, with its second."""
    calls = []
    inner = process.access.store_client.inner._call

    async def counted(verb, kind):
        calls.append((trio.current_time(), verb, kind))
        await inner(verb, kind)

    process.access.store_client.inner._call = counted
    return calls


async def wait_until(is_true, limit_s=60.0):
    with trio.fail_after(limit_s):
        while not is_true():
            await trio.sleep(0.05)


@asynccontextmanager
async def fleet(stewards=4):
    """Give a site with a steward beside each entry and the calls of each steward."""
    async with deployment(entries=stewards) as (world, entries, _):
        await trio.sleep(LIMITS_SETTLE_S)
        started = [
            await world.start(f"entry-{number}", Program.STEWARD) for number in range(stewards)
        ]
        calls = [record(one) for one in started]
        yield world, entries, started, calls


async def test_old_segments_go_while_calls_go_on_and_a_holder_is_killed():
    # Callers make calls all the time, so heads change many times a second. The holder of the
    # duty is killed with part of the segments deleted and still listed. Another takes over and
    # finishes. No call is refused, and nothing that may still be needed is dropped.
    async with fleet() as (world, entries, stewards, calls):
        await wait_until(lambda: holders(stewards))
        put_old(world.store, entries[0].kernel.epoch.now())
        first = holders(stewards)[0]
        answers = Counter()

        async def caller(number):
            while True:
                entry = entries[number % len(entries)]
                answers[await call(entry, post(f"{number}-{answers.total()}"))] += 1
                await trio.sleep(CALL_EVERY_S)

        total = SHARD_COUNT * OLD_IN_SHARD
        async with trio.open_nursery() as callers:
            for number in range(CALLERS):
                callers.start_soon(caller, number)
            await wait_until(lambda: old_deleted(world.store) > total // 3, PRUNE_PERIOD_S * 1.5)
            check.assertLess(old_deleted(world.store), total)
            check.assertEqual(holders(stewards), [first])
            first.kill()
            await wait_until(lambda: is_pruned(world.store), TAKE_OVER_S + PRUNE_PERIOD_S)
            callers.cancel_scope.cancel()
        check.assertGreater(answers.total(), 0)
        check.assertEqual(answers.keys(), {RAN})
        stored, listed = segments_left(world.store)
        kept = {f"kept-{number}" for number in range(SHARD_COUNT)}
        check.assertLessEqual(kept, stored & listed)
        for one in calls:
            check.assertLessEqual(busiest_second(one), CALLS_PER_S + 2)


def old_deleted(store):
    stored, _ = segments_left(store)
    return SHARD_COUNT * OLD_IN_SHARD - sum(name.startswith("old") for name in stored)


def busiest_second(calls):
    times = [at_s for at_s, _, kind in calls if kind is ObjectKind.LEDGER]
    return max((sum(start <= at < start + 1 for at in times) for start in times), default=0)


class Paused(InProcessObjectApi):
    """The process stops before its call number `at`; meanwhile `others` happens."""

    def __init__(self, store, at, others):
        super().__init__(store)
        self._left = at
        self._others = others

    async def _call(self, verb, kind):
        self._left -= 1
        if self._left == 0:
            await self._others()
        await super()._call(verb, kind)


async def test_a_round_paused_at_any_call_does_no_harm_when_it_goes_on():
    # A holder is paused in the middle of a round, and its lease ends. Another holder makes its
    # round and an entry writes a call. The first goes on where it stood, with no check of its
    # lease: it deletes nothing that is needed, and the call's row and the new segment stay.
    calls = 1 + 2 * OLD_IN_SHARD + 2
    for at in range(1, calls + 1):
        store = ObjectStore()
        put_old(store, 0.0, shards=1)

        async def others(store=store):
            await LedgerPruner(InProcessObjectApi(store), shards=1).prune(0.0)
            found = store.by_place[ObjectKind.LEDGER, head_name(0)]
            shard = Shard.from_stored(found)
            store.put(ObjectKind.LEDGER, "new", {"rows": {}}, None)
            listed = (*shard.segments, Segment("new", HOUR_S))
            spec = Shard({key("k"): row("a")}, listed, shard.write_count + 1).spec()
            store.put(ObjectKind.LEDGER, head_name(0), spec, found.version)

        await LedgerPruner(Paused(store, at, others), shards=1).prune(0.0)
        check.assertEqual(segments_left(store), ({"kept-0", "new"}, {"kept-0", "new"}), at)
        head = Shard.from_stored(store.by_place[ObjectKind.LEDGER, head_name(0)])
        check.assertEqual(set(head.row_by_key), {key("k")}, at)


async def test_a_holder_paused_past_its_lease_makes_no_further_call():
    # The process stands still for a minute in the middle of a round. Another has taken over;
    # the first must leave the store alone when it goes on, by its own clock.
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
        late = [one for one in own[before:] if one[2] is ObjectKind.LEDGER]
        check.assertEqual(late, [])


class BusyHead(InProcessObjectApi):
    """An entry writes the head after each deletion, as under load."""

    async def delete(self, kind, name, version):
        await super().delete(kind, name, version)
        found = self.store.by_place[ObjectKind.LEDGER, head_name(0)]
        self.store.put(ObjectKind.LEDGER, head_name(0), found.spec, found.version)


async def test_a_head_that_is_written_all_the_time_is_pruned_in_one_round():
    # Deletions take seconds, and entries write the head in between. An update on the version
    # read before them conflicts in every round: the list grows until the shard takes no call.
    store = ObjectStore()
    put_old(store, 0.0, shards=1)
    pruned = await LedgerPruner(BusyHead(store), shards=1).prune(0.0)
    check.assertEqual((pruned.segments, pruned.failed_heads), (OLD_IN_SHARD, 0))
    check.assertTrue(is_pruned(store))


async def test_a_segment_deleted_by_another_round_is_no_failure():
    store = ObjectStore()
    put_old(store, 0.0, shards=1)

    class Raced(InProcessObjectApi):
        async def delete(self, kind, name, version):
            self.store.remove(kind, name, version)
            raise Conflict(name)

    pruned = await LedgerPruner(Raced(store), shards=1).prune(0.0)
    check.assertEqual(pruned.failed_heads, 0)
    check.assertTrue(is_pruned(store))
