"""Limits of a shard, ledger homes, and the pruning of expired segments."""

from math import inf

import trio

from egretstack.clock import EpochClock
from egretstack.ids import InstanceId
from egretstack.ledger import (
    CallState,
    InvalidShardRequest,
    KeptAnswer,
    LedgerPruner,
    Outcome,
    Row,
    Shard,
    ShardStore,
    ShardWriter,
    find_ledger_home,
    make_shard_request,
    parse_shard_request,
    rows_spec,
    shard_number,
)
from egretstack.ledger._shard import MAX_HEAD_BYTES, MAX_SEGMENTS, Segment
from egretstack.objectapi import Conflict, ObjectKind
from egretstack.upstreams import CallResponse
from standins.object_store import InProcessObjectApi, ObjectStore
from tests.ledger_support import HEAD, FaultyStore, begin, finish, key, row
from tests.support import check, tests_of

load_tests = tests_of(globals())

HOUR_S = 3_600.0


def put_segments(store, *segments):
    """Store segments with one ended row each, and a head that lists them."""
    for name, until_s in segments:
        ended = row(f"a-{name}", state=CallState.DONE, until_s=until_s)
        spec = {"rows": rows_spec({key(name): ended}), "until_s": until_s}
        store.put(ObjectKind.LEDGER, name, spec, None)
    listed = tuple(Segment(*segment) for segment in segments)
    store.put(ObjectKind.LEDGER, HEAD, Shard({}, listed, 1).spec(), None)


def names_of(store):
    return {stored.name for stored in store.of_kind(ObjectKind.LEDGER)}


def test_a_row_is_read_as_it_was_stored():
    answer = KeptAnswer.from_response(CallResponse(201, (("a", "b"),), b"\x00body"))
    ended = row("a", state=CallState.DONE).with_outcome(CallState.DONE, answer)
    check.assertEqual(Row.from_spec(ended.spec()), ended)
    check.assertEqual(ended.answer.replay().body, b"\x00body")


def test_many_operations_share_one_write():
    store, writer = FaultyStore(), ShardWriter()
    operations = [begin(f"k{number}", f"a{number}") for number in range(100)]
    for operation in operations:
        writer.submit(operation)
    store.run_until_idle(writer)
    check.assertEqual({one.outcome for one in operations}, {Outcome.WRITTEN})
    check.assertEqual(store.store.version, 1)


def test_a_forgotten_key_can_be_used_again():
    store, writer = FaultyStore(), ShardWriter()
    writer.submit(begin("k", "a", until_s=HOUR_S))
    store.run_until_idle(writer)
    writer.submit(finish("k", "a", until_s=HOUR_S))
    store.run_until_idle(writer)
    again = begin("k", "b", until_s=3 * HOUR_S)
    writer.submit(again)
    store.run_until_idle(writer, epoch_s=HOUR_S - 1)
    check.assertIs(again.outcome, Outcome.FOUND)
    again = begin("k", "c", until_s=3 * HOUR_S)
    writer.submit(again)
    store.run_until_idle(writer, epoch_s=HOUR_S + 1)
    check.assertIs(again.outcome, Outcome.WRITTEN)


def test_an_intent_without_outcome_outlives_its_retention():
    # The sender of an open intent may be paused and still send it, so its key is kept a day longer.
    store, writer = FaultyStore(), ShardWriter()
    writer.submit(begin("k", "a", until_s=60.0))
    store.run_until_idle(writer)
    again = begin("k", "b")
    writer.submit(again)
    store.run_until_idle(writer, epoch_s=10 * HOUR_S)
    check.assertIs(again.outcome, Outcome.FOUND)


def test_a_missing_listed_segment_prevents_new_calls():
    # Someone deleted a segment by hand. It can no longer be known whether a key was used before,
    # so no new call begins on this shard until the segment has expired.
    store, writer = FaultyStore(), ShardWriter()
    put_segments(store.store, ("seg-1", HOUR_S))
    del store.store.by_place[ObjectKind.LEDGER, "seg-1"]
    operation = begin("seg-1", "b")
    writer.submit(operation)
    store.run_until_idle(writer)
    check.assertIs(operation.outcome, Outcome.REFUSED)
    operation = begin("seg-1", "c")
    writer.submit(operation)
    store.run_until_idle(writer, epoch_s=HOUR_S)
    check.assertIs(operation.outcome, Outcome.WRITTEN)


def test_a_full_head_accepts_no_new_row_but_every_outcome():
    big = "f" * 1000
    count = MAX_HEAD_BYTES // 1000
    held = {key(f"k{number}"): row(f"a{number}", fingerprint=big) for number in range(count)}
    store, writer = FaultyStore(), ShardWriter()
    store.store.put(ObjectKind.LEDGER, HEAD, Shard(held).spec(), None)
    refused = begin("new", "b")
    ended = finish("k0", "a0", fingerprint=big)
    writer.submit(refused)
    writer.submit(ended)
    store.run_until_idle(writer)
    check.assertIs(refused.outcome, Outcome.REFUSED)
    check.assertIs(ended.outcome, Outcome.WRITTEN)


def test_a_head_that_lists_too_many_segments_accepts_no_new_row():
    listed = tuple(Segment(f"seg-{number}", -1.0) for number in range(MAX_SEGMENTS))
    store, writer = FaultyStore(), ShardWriter()
    store.store.put(ObjectKind.LEDGER, HEAD, Shard({}, listed).spec(), None)
    operation = begin("k", "a")
    writer.submit(operation)
    store.run_until_idle(writer)
    check.assertIs(operation.outcome, Outcome.REFUSED)


async def test_pruning_deletes_expired_segments():
    store = ObjectStore()
    put_segments(store, ("seg-1", HOUR_S), ("seg-2", 5 * HOUR_S))
    pruner = LedgerPruner(InProcessObjectApi(store), shards=1)
    check.assertEqual((await pruner.prune(2 * HOUR_S)).segments, 1)
    check.assertEqual(names_of(store), {HEAD, "seg-2"})
    check.assertEqual((await pruner.prune(2 * HOUR_S)).segments, 0)


async def test_an_interrupted_pruning_is_completed_by_the_next_round():
    # The segment was deleted, but the update of the head got lost or another entry wrote the head
    # in between. The head still lists the segment, so the next round finds it.
    store = ObjectStore()
    put_segments(store, ("seg-1", HOUR_S))
    api = InProcessObjectApi(store)
    store.remove(ObjectKind.LEDGER, "seg-1", store.by_place[ObjectKind.LEDGER, "seg-1"].version)
    store.faults.lose_requests = 1
    pruner = LedgerPruner(api, shards=1)
    check.assertEqual((await pruner.prune(2 * HOUR_S)).failed_heads, 1)
    check.assertEqual((await pruner.prune(2 * HOUR_S)).segments, 1)
    check.assertEqual(Shard.from_stored(store.by_place[ObjectKind.LEDGER, HEAD]).segments, ())


async def test_an_entry_that_read_the_head_before_a_pruning_writes_the_pruned_one():
    store = FaultyStore()
    put_segments(store.store, ("seg-1", HOUR_S))
    writer = ShardWriter()
    operation = begin("k", "a")
    writer.submit(operation)
    write = store.run_until_write(writer, epoch_s=HOUR_S)
    await LedgerPruner(InProcessObjectApi(store.store), shards=1).prune(2 * HOUR_S)
    store.execute(writer, write)
    store.run_until_idle(writer, epoch_s=2 * HOUR_S)
    check.assertIs(operation.outcome, Outcome.WRITTEN)
    check.assertEqual(Shard.from_stored(store.head()).segments, ())


def test_every_entry_chooses_the_same_ledger_home():
    entries = [InstanceId(f"entry-{number}") for number in range(7)]
    for shard in range(8):
        check.assertEqual(find_ledger_home(shard, entries), find_ledger_home(shard, entries[::-1]))
    check.assertIsNone(find_ledger_home(0, []))


def test_a_ledger_home_refuses_requests_that_are_too_late_or_malformed():
    operation = begin("k", "a")
    number = shard_number(operation.key)
    request = make_shard_request(number, operation, 10.0)
    check.assertTrue(parse_shard_request(request, 9.0, 0.0).for_peer)
    for invalid in (
        (make_shard_request(number, operation, 8.0), 9.0),
        (make_shard_request(99, operation, 10.0), 9.0),
        (make_shard_request(number, begin("k", "a", fingerprint="f" * 20_000), 10.0), 9.0),
    ):
        with check.assertRaises(InvalidShardRequest):
            parse_shard_request(invalid[0], invalid[1], 0.0)


class AlwaysConflicting(InProcessObjectApi):
    """An object API on which every conditional write conflicts with another one."""

    async def create(self, kind, name, spec):
        await trio.sleep(0.005)
        raise Conflict(name)


async def test_an_intent_whose_writes_always_conflict_is_refused_in_time():
    # Other entries win every race for the head. The call is refused at its timeout, as not run.
    async with trio.open_nursery() as nursery:
        store = ShardStore(AlwaysConflicting(ObjectStore()), EpochClock.start(), nursery, shards=1)
        operation = begin("k", "a", give_up_at_s=trio.current_time() + 2.5)
        store.submit(0, operation)
        outcome = await store.wait(0, operation)
        check.assertIn(outcome, (Outcome.REFUSED, Outcome.ABANDONED))
        check.assertAlmostEqual(trio.current_time(), operation.give_up_at_s)
        await trio.sleep(1)
        check.assertTrue(store.is_idle)
        nursery.cancel_scope.cancel()


async def test_an_idle_writer_makes_no_store_calls():
    store = ObjectStore()
    writer = ShardWriter()
    check.assertIsNone(writer.next_step(0.0))
    await trio.lowlevel.checkpoint()
    check.assertEqual(store.calls.total(), 0)
    writer.expire_begins(inf)
    check.assertTrue(writer.is_idle)
