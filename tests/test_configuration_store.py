"""Committing changes: the conditional update, races between operators, lost answers."""

import trio

from egretstack.configuration import (
    ApplyConflict,
    ApplyUnknown,
    Change,
    ConfigurationStore,
    part_digest,
)
from egretstack.errors import UserError
from egretstack.ids import ChangeId, InstanceId, Revision
from egretstack.objectapi import Conflict, ObjectKind, PlatformAway, PlatformOutcomeUnknown
from egretstack.operators import InstanceStatus, check_not_older
from standins.object_store import InProcessObjectApi, ObjectStore
from tests.configuration_fixtures import change_of, contract
from tests.support import check, tests_of

load_tests = tests_of(globals())


class LostAnswerApi(InProcessObjectApi):
    """Loses the answer of the first update of the head, and runs `meanwhile` before that."""

    def __init__(self, store, meanwhile):
        super().__init__(store)
        self.meanwhile = meanwhile

    async def replace(self, kind, name, spec, version):
        """Apply the update, then lose its answer."""
        stored = await super().replace(kind, name, spec, version)
        if self.meanwhile is not None:
            meanwhile, self.meanwhile = self.meanwhile, None
            await meanwhile()
            raise PlatformOutcomeUnknown("answer lost")
        return stored


def unconditional(name, mark, change_id):
    """Return a change of one contract without a condition on its current text."""
    change = change_of(name, mark, change_id)
    return Change(change.id, change.sections_by_part, {})


async def configured(store):
    """Return a configuration store with one accepted change."""
    operator = ConfigurationStore(InProcessObjectApi(store))
    await operator.apply(change_of("ada", 1, "first"))
    return operator


async def test_two_changes_of_different_parts_are_both_accepted():
    store = ObjectStore()
    operator = await configured(store)
    async with trio.open_nursery() as nursery:
        for number in range(5):
            nursery.start_soon(operator.apply, change_of(f"n{number}", number, f"change-{number}"))
    head = await operator.head()
    check.assertEqual(head.revision, 6)
    check.assertEqual(len(head.digest_by_part), 6)


async def test_of_two_changes_of_one_part_the_later_conflicts_and_gets_the_current_text():
    # Two operators start from the same text of a contract. The second must not overwrite the
    # accepted text of the first; the conflict carries that text.
    store = ObjectStore()
    operator = await configured(store)
    base = part_digest(contract("ada", 1))
    await operator.apply(change_of("ada", 2, "theirs", base))
    with check.assertRaises(ApplyConflict) as caught:
        await operator.apply(change_of("ada", 3, "mine", base))
    check.assertEqual(caught.exception.current_sections, contract("ada", 2))
    check.assertEqual((await operator.head()).change_id, "theirs")


async def test_the_outcome_of_a_lost_answer_is_found_after_later_changes():
    # The update of the head takes effect and its answer is lost. Before the operator's tool reads
    # the head again, others change another part and this one. Committing again would undo their
    # changes; a conflict would wrongly report that the change was not accepted.
    store = ObjectStore()
    operator = await configured(store)

    async def meanwhile():
        await operator.apply(change_of("bo", 1, "other-part"))
        await operator.apply(change_of("ada", 7, "same-part", part_digest(contract("ada", 2))))

    mine = ConfigurationStore(LostAnswerApi(store, meanwhile))
    change = change_of("ada", 2, "mine", part_digest(contract("ada", 1)))
    accepted = await mine.apply(change)
    check.assertEqual((accepted.revision, accepted.change_id), (2, "mine"))
    head = await operator.head()
    check.assertEqual(head.revision, 4)
    check.assertEqual(head.digest_by_part["contract.ada"], part_digest(contract("ada", 7)))
    check.assertEqual((await operator.find_accepted(ChangeId("mine"))).revision, 2)
    check.assertIsNone(await operator.find_accepted(ChangeId("never")))


async def test_an_outcome_is_unknown_while_the_platform_is_unavailable_after_the_write():
    store = ObjectStore()
    operator = await configured(store)

    async def meanwhile():
        store.faults.down = True

    mine = ConfigurationStore(LostAnswerApi(store, meanwhile))
    with check.assertRaises(ApplyUnknown):
        await mine.apply(change_of("bo", 2, "mine"))
    store.faults.down = False
    check.assertEqual((await operator.find_accepted(ChangeId("mine"))).revision, 2)


async def test_a_conflict_with_the_own_lost_update_leaves_the_outcome_unknown():
    # The update of the head is still in flight when the wait for its answer ends. A read does not
    # show it yet; then it takes effect, and the second update conflicts with it. The platform
    # becomes unavailable before another read. "Nothing was changed" would be wrong: the change is
    # accepted.
    store = ObjectStore()
    operator = await configured(store)

    class DelayedApi(InProcessObjectApi):
        first = None

        async def replace(self, kind, name, spec, version):
            """Delay the first update, and apply it before the second."""
            if self.first is None:
                self.first = (kind, name, spec, version)
                raise PlatformOutcomeUnknown("under way")
            await super().replace(*self.first)
            store.faults.down = True
            raise Conflict("moved on")

    with check.assertRaises(ApplyUnknown):
        await ConfigurationStore(DelayedApi(store)).apply(change_of("bo", 1, "mine"))
    store.faults.down = False
    check.assertEqual((await operator.find_accepted(ChangeId("mine"))).revision, 2)


async def test_a_change_that_was_never_sent_is_reported_as_not_accepted():
    store = ObjectStore()
    operator = await configured(store)
    store.faults.down = True
    with check.assertRaises(PlatformAway):
        await operator.apply(change_of("bo", 2, "mine"))
    store.faults.down = False
    check.assertIsNone(await operator.find_accepted(ChangeId("mine")))


async def test_a_change_of_two_parts_is_atomic():
    store = ObjectStore()
    operator = await configured(store)
    parts = {"contract.ada": None, "contract.bo": contract("bo", 1)}
    await operator.apply(Change(ChangeId("both"), parts, {}))
    check.assertEqual(set((await operator.head()).digest_by_part), {"contract.bo"})


async def test_a_part_object_that_does_not_match_its_digest_is_rejected():
    store = ObjectStore()
    operator = await configured(store)
    head = await operator.head()
    head.inline.clear()
    name = f"contract.ada.{head.digest_by_part['contract.ada']}"
    stored = store.by_place[ObjectKind.CONFIG_PART, name]
    store.put(ObjectKind.CONFIG_PART, name, {"sections": contract("ada", 9)}, stored.version)
    with check.assertRaises(PlatformAway):
        await operator.load_snapshot(head, None)


async def test_a_store_restored_from_a_copy_is_recovered_from_the_snapshot_in_force():
    # The store was restored from a copy and accepted a change that no instance applies. The
    # recovery drops that change and returns its id; a second recovery finds nothing to do.
    store = ObjectStore()
    operator = await configured(store)
    copy = store.snapshot()
    await operator.apply(change_of("bo", 1, "in-force"))
    in_force = await operator.snapshot()
    store.restore(copy)
    await operator.apply(change_of("ada", 5, "foreign", part_digest(contract("ada", 1))))
    check.assertEqual(await operator.recover(in_force), ["foreign"])
    check.assertEqual(await operator.head(), in_force.head)
    with check.assertRaises(UserError):
        await operator.recover(in_force)


def test_a_change_is_rejected_while_an_instance_has_a_newer_revision_than_the_store():
    # After a restore the tool could commit a change that every instance then rejects.
    status = InstanceStatus(InstanceId("a"), "operator", Revision(5), False)
    unresponsive = InstanceStatus(InstanceId("b"), "operator", None, False)
    check_not_older([status, unresponsive], Revision(5))
    with check.assertRaises(UserError):
        check_not_older([status, unresponsive], Revision(4))


async def test_the_head_stays_small_and_old_versions_are_in_a_manifest():
    store = ObjectStore()
    operator = ConfigurationStore(InProcessObjectApi(store))
    for number in range(150):
        await operator.apply(unconditional(f"n{number % 70}", number, f"change-{number}"))
    await operator.apply(unconditional("n3", None, "gone"))
    spec = store.by_place[ObjectKind.CONFIG_HEAD, "head"].spec
    check.assertLessEqual(len(spec["since"]), 64)
    fresh = await ConfigurationStore(InProcessObjectApi(store)).snapshot()
    expected = {f"contract.n{n}": contract(f"n{n}", n + 70) for n in range(70)}
    expected |= {f"contract.n{n}": contract(f"n{n}", n + 140) for n in range(10)}
    del expected["contract.n3"]
    check.assertEqual(fresh.sections_by_part, expected)


async def test_a_change_overtaken_at_each_attempt_is_reported_as_not_accepted():
    # Between each of this operator's reads of the head and its update, another change is accepted.
    # No update took effect and none is in flight: "unknown" would be wrong.
    store = ObjectStore()
    operator = await configured(store)

    class OvertakenApi(InProcessObjectApi):
        async def replace(self, kind, name, spec, version):
            """Commit another change first."""
            await operator.apply(unconditional("bo", store.version, f"other-{store.version}"))
            return await super().replace(kind, name, spec, version)

    with check.assertRaises(PlatformAway):
        await ConfigurationStore(OvertakenApi(store)).apply(change_of("cy", 1, "mine"))
    check.assertIsNone(await operator.find_accepted(ChangeId("mine")))


async def test_a_malformed_head_is_rejected():
    store = ObjectStore()
    store.put(ObjectKind.CONFIG_HEAD, "head", {"revision": "no", "parts": 3}, None)
    with check.assertRaises(PlatformAway):
        await ConfigurationStore(InProcessObjectApi(store)).head()
