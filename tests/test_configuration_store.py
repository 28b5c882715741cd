"""Accepting changes: one conditional update, races of operators, lost answers."""

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


class LosingApi(InProcessObjectApi):
    """Loses the answers of updates of the head, and lets others act before the writer knows."""

    def __init__(self, store, meanwhile):
        super().__init__(store)
        self.meanwhile = meanwhile

    async def replace(self, kind, name, spec, version):
        """Take the update, then lose its answer."""
        stored = await super().replace(kind, name, spec, version)
        if self.meanwhile is not None:
            meanwhile, self.meanwhile = self.meanwhile, None
            await meanwhile()
            raise PlatformOutcomeUnknown("answer lost")
        return stored


def forced(name, mark, change_id):
    """Give a change of one contract, whatever stands there."""
    change = change_of(name, mark, change_id)
    return Change(change.id, change.sections_by_part, {})


async def operator(store):
    """Give an operator whose first change is accepted."""
    one = ConfigurationStore(InProcessObjectApi(store))
    await one.apply(change_of("ada", 1, "first"))
    return one


async def test_two_changes_of_different_parts_are_both_accepted():
    store = ObjectStore()
    one = await operator(store)
    async with trio.open_nursery() as nursery:
        for number in range(5):
            nursery.start_soon(one.apply, change_of(f"n{number}", number, f"change-{number}"))
    head = await one.head()
    check.assertEqual(head.revision, 6)
    check.assertEqual(len(head.digest_by_part), 6)


async def test_of_two_changes_of_one_part_the_later_is_refused_with_what_stands():
    # Two operators start from the same text of a contract. The second must not overwrite what
    # the first had accepted; it is shown that text.
    store = ObjectStore()
    one = await operator(store)
    base = part_digest(contract("ada", 1))
    await one.apply(change_of("ada", 2, "theirs", base))
    with check.assertRaises(ApplyConflict) as caught:
        await one.apply(change_of("ada", 3, "mine", base))
    check.assertEqual(caught.exception.current_sections, contract("ada", 2))
    check.assertEqual((await one.head()).change_id, "theirs")


async def test_a_lost_answer_is_settled_though_later_changes_were_accepted():
    # The update of the head takes effect and its answer is lost. Before the operator's tool
    # reads back, others change another part and this one. Accepting again would undo theirs;
    # reporting a conflict would tell the operator that an accepted change was not.
    store = ObjectStore()
    one = await operator(store)

    async def meanwhile():
        await one.apply(change_of("bo", 1, "other-part"))
        await one.apply(change_of("ada", 7, "same-part", part_digest(contract("ada", 2))))

    mine = ConfigurationStore(LosingApi(store, meanwhile))
    change = change_of("ada", 2, "mine", part_digest(contract("ada", 1)))
    accepted = await mine.apply(change)
    check.assertEqual((accepted.revision, accepted.change_id), (2, "mine"))
    head = await one.head()
    check.assertEqual(head.revision, 4)
    check.assertEqual(head.digest_by_part["contract.ada"], part_digest(contract("ada", 7)))
    check.assertEqual((await one.find_accepted(ChangeId("mine"))).revision, 2)
    check.assertIsNone(await one.find_accepted(ChangeId("never")))


async def test_an_outcome_is_unknown_while_the_platform_stays_away_after_the_write():
    store = ObjectStore()
    one = await operator(store)

    async def meanwhile():
        store.faults.down = True

    mine = ConfigurationStore(LosingApi(store, meanwhile))
    with check.assertRaises(ApplyUnknown):
        await mine.apply(change_of("bo", 2, "mine"))
    store.faults.down = False
    check.assertEqual((await one.find_accepted(ChangeId("mine"))).revision, 2)


async def test_a_conflict_with_ones_own_lost_update_leaves_the_outcome_unknown():
    # The update of the head is under way when its answer is given up. A read does not show it
    # yet; then it lands, and the second update conflicts with it. The platform goes away before
    # another read. "Nothing was changed" would be wrong: the change is accepted.
    store = ObjectStore()
    one = await operator(store)

    class Late(InProcessObjectApi):
        first = None

        async def replace(self, kind, name, spec, version):
            """Lose the first update on its way, and let it land before the second."""
            if self.first is None:
                self.first = (kind, name, spec, version)
                raise PlatformOutcomeUnknown("under way")
            await super().replace(*self.first)
            store.faults.down = True
            raise Conflict("moved on")

    with check.assertRaises(ApplyUnknown):
        await ConfigurationStore(Late(store)).apply(change_of("bo", 1, "mine"))
    store.faults.down = False
    check.assertEqual((await one.find_accepted(ChangeId("mine"))).revision, 2)


async def test_a_change_that_never_left_is_said_not_accepted():
    store = ObjectStore()
    one = await operator(store)
    store.faults.down = True
    with check.assertRaises(PlatformAway):
        await one.apply(change_of("bo", 2, "mine"))
    store.faults.down = False
    check.assertIsNone(await one.find_accepted(ChangeId("mine")))


async def test_a_change_of_two_parts_is_accepted_whole():
    store = ObjectStore()
    one = await operator(store)
    parts = {"contract.ada": None, "contract.bo": contract("bo", 1)}
    await one.apply(Change(ChangeId("both"), parts, {}))
    check.assertEqual(set((await one.head()).digest_by_part), {"contract.bo"})


async def test_a_part_object_with_other_text_than_its_digest_is_refused():
    store = ObjectStore()
    one = await operator(store)
    head = await one.head()
    head.inline.clear()
    name = f"contract.ada.{head.digest_by_part['contract.ada']}"
    found = store.by_place[ObjectKind.CONFIG_PART, name]
    store.put(ObjectKind.CONFIG_PART, name, {"sections": contract("ada", 9)}, found.version)
    with check.assertRaises(PlatformAway):
        await one.load_snapshot(head, None)


async def test_a_store_restored_from_a_copy_is_put_right_from_what_is_in_force():
    # The store was put back to a copy and accepted a change that no instance takes. Putting it
    # right gives that change up, and names it; a second time there is nothing to do.
    store = ObjectStore()
    one = await operator(store)
    copy = store.snapshot()
    await one.apply(change_of("bo", 1, "in-force"))
    in_force = await one.snapshot()
    store.restore(copy)
    await one.apply(change_of("ada", 5, "foreign", part_digest(contract("ada", 1))))
    check.assertEqual(await one.recover(in_force), ["foreign"])
    check.assertEqual(await one.head(), in_force.head)
    with check.assertRaises(UserError):
        await one.recover(in_force)


def test_a_change_is_refused_while_an_instance_has_a_newer_revision_than_the_store():
    # After a restore the tool could have a change accepted that every instance then refuses.
    status = InstanceStatus(InstanceId("a"), "operator", Revision(5), False)
    silent = InstanceStatus(InstanceId("b"), "operator", None, False)
    check_not_older([status, silent], Revision(5))
    with check.assertRaises(UserError):
        check_not_older([status, silent], Revision(4))


async def test_the_head_stays_small_and_old_versions_are_in_a_manifest():
    store = ObjectStore()
    one = ConfigurationStore(InProcessObjectApi(store))
    for number in range(150):
        await one.apply(forced(f"n{number % 70}", number, f"change-{number}"))
    await one.apply(forced("n3", None, "gone"))
    spec = store.by_place[ObjectKind.CONFIG_HEAD, "head"].spec
    check.assertLessEqual(len(spec["since"]), 64)
    fresh = await ConfigurationStore(InProcessObjectApi(store)).snapshot()
    expected = {f"contract.n{n}": contract(f"n{n}", n + 70) for n in range(70)}
    expected |= {f"contract.n{n}": contract(f"n{n}", n + 140) for n in range(10)}
    del expected["contract.n3"]
    check.assertEqual(fresh.sections_by_part, expected)


async def test_changes_that_others_overtake_each_time_are_said_not_accepted():
    # Each time between this operator's read of the head and its update, another change is
    # accepted. Nothing of it took effect and nothing is on its way: "unknown" would be wrong.
    store = ObjectStore()
    one = await operator(store)

    class Overtaken(InProcessObjectApi):
        async def replace(self, kind, name, spec, version):
            """Let another change in first."""
            await one.apply(forced("bo", store.version, f"other-{store.version}"))
            return await super().replace(kind, name, spec, version)

    with check.assertRaises(PlatformAway):
        await ConfigurationStore(Overtaken(store)).apply(change_of("cy", 1, "mine"))
    check.assertIsNone(await one.find_accepted(ChangeId("mine")))


async def test_a_head_of_another_shape_is_refused():
    store = ObjectStore()
    store.put(ObjectKind.CONFIG_HEAD, "head", {"revision": "no", "parts": 3}, None)
    with check.assertRaises(PlatformAway):
        await ConfigurationStore(InProcessObjectApi(store)).head()
