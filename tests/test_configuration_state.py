"""The configuration in force never goes back, is applied atomically and has one history."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from egretstack.configuration import (
    ConfigurationState,
    Delta,
    FanOut,
    NoDelta,
    OfferResult,
    SnapshotBuilder,
    TransferError,
    choose_stewards,
    delta_message,
    parse_delta,
    part_digest,
    snapshot_piece,
)
from egretstack.configuration._model import MAX_RECENT_CHANGES
from egretstack.ids import InstanceId, ZoneName
from egretstack.objectapi import ENTRY_SERVICE, Member, MemberState
from tests.configuration_fixtures import snapshot_of
from tests.support import check, tests_of

load_tests = tests_of(globals())

NAMES = ("ada", "bo", "cy")


def marks_of(state):
    """Return the mark of each contract in force."""
    return {
        name: int(contract.key_digests[0], 16)
        for name, contract in state.contract_by_account.items()
    }


def state_at(snapshot):
    state = ConfigurationState()
    check.assertIs(state.offer(snapshot), OfferResult.APPLIED)
    return state


def test_an_older_snapshot_is_rejected():
    state = state_at(snapshot_of(2, {"ada": 2}))
    check.assertIs(state.offer(snapshot_of(1, {"ada": 1})), OfferResult.OLDER)
    check.assertEqual(marks_of(state), {"ada": 2})


def test_the_same_revision_by_another_change_is_a_fork():
    state = state_at(snapshot_of(2, {"ada": 2}))
    other = snapshot_of(2, {"ada": 9}, ["c1", "x2"])
    check.assertIs(state.offer(other), OfferResult.FORKED)
    check.assertEqual(marks_of(state), {"ada": 2})


def test_a_higher_revision_of_another_history_is_a_fork():
    # The store was restored from a copy and counted on past the revision in force here. Applying
    # the higher revision would silently undo an accepted change.
    state = state_at(snapshot_of(2, {"ada": 2}))
    other = snapshot_of(4, {"ada": 9}, ["c1", "x2", "x3", "x4"])
    check.assertIs(state.offer(other), OfferResult.FORKED)
    check.assertEqual(marks_of(state), {"ada": 2})


def test_an_older_revision_of_another_history_is_a_fork():
    state = state_at(snapshot_of(3, {"ada": 3}))
    check.assertIs(state.offer(snapshot_of(2, {"ada": 9}, ["c1", "x2"])), OfferResult.FORKED)


def test_a_peer_of_another_history_gets_no_delta():
    state = state_at(snapshot_of(2, {"ada": 2}))
    state.offer(snapshot_of(3, {"ada": 3}))
    check.assertIs(state.delta_since(2, "x2"), NoDelta.FORKED)
    check.assertIs(state.delta_since(3, "x3"), NoDelta.FORKED)
    check.assertIsInstance(state.delta_since(2, "c2"), Delta)


def test_a_delta_from_another_history_is_rejected():
    sender = state_at(snapshot_of(2, {"ada": 2}))
    sender.offer(snapshot_of(3, {"ada": 3}))
    receiver = state_at(snapshot_of(2, {"ada": 9}, ["c1", "x2"]))
    check.assertIs(receiver.offer_delta(sender.delta_since(2, "c2")), OfferResult.FORKED)
    check.assertEqual(marks_of(receiver), {"ada": 9})


def test_a_delta_carries_only_what_changed():
    sender = state_at(snapshot_of(1, {f"a{n}": n for n in range(700)}))
    sender.offer(snapshot_of(2, {f"a{n}": n for n in range(700)} | {"a5": 1005}))
    delta = sender.delta_since(1, "c1")
    check.assertEqual(set(delta.sections_by_part), {"contract.a5"})


def test_a_part_added_and_removed_between_revisions_of_the_sender_is_detected():
    # The sender went directly from revision 1 to 3 and never had a part that revision 2 added and
    # 3 removed. Its delta does not mention the part, which the receiver, at 2, has in force.
    sender = state_at(snapshot_of(1, {"ada": 1}))
    sender.offer(snapshot_of(3, {"ada": 1}))
    receiver = state_at(snapshot_of(2, {"ada": 1, "bo": 2}))
    check.assertIs(receiver.offer_delta(sender.delta_since(2, "c2")), OfferResult.GAP)
    check.assertEqual(marks_of(receiver), {"ada": 1, "bo": 2})


def test_an_invalid_part_leaves_the_whole_old_revision_in_force():
    state = state_at(snapshot_of(1, {"ada": 1}))
    invalid = snapshot_of(2, {"ada": 2, "bo": 2})
    invalid.sections_by_part["contract.bo"] = {"contract": {"account": "bo"}}
    check.assertIs(state.offer(invalid), OfferResult.BAD)
    check.assertIn("key_sha256", state.error_text)
    check.assertEqual(marks_of(state), {"ada": 1})
    check.assertIs(state.offer(snapshot_of(3, {"ada": 3})), OfferResult.APPLIED)


def test_a_part_that_describes_another_name_is_invalid():
    state = state_at(snapshot_of(1, {"ada": 1}))
    invalid = snapshot_of(2, {"ada": 1})
    invalid.sections_by_part["contract.bo"] = invalid.sections_by_part["contract.ada"]
    invalid.head.digest_by_part["contract.bo"] = invalid.head.digest_by_part["contract.ada"]
    check.assertIs(state.offer(invalid), OfferResult.BAD)


def test_a_requester_older_than_the_kept_change_ids_gets_no_delta():
    state = state_at(snapshot_of(1, {"ada": 1}))
    for revision in range(2, MAX_RECENT_CHANGES + 3):
        ids = [f"c{n}" for n in range(1, revision + 1)][-MAX_RECENT_CHANGES:]
        state.offer(snapshot_of(revision, {"ada": revision}, ids))
    check.assertIs(state.delta_since(1, "c1"), NoDelta.TOO_OLD)
    check.assertIs(state.delta_since(0, ""), NoDelta.TOO_OLD)
    check.assertIsInstance(state.delta_since(MAX_RECENT_CHANGES, f"c{MAX_RECENT_CHANGES}"), Delta)


def big_snapshot():
    snapshot = snapshot_of(1, {f"a{n}": n for n in range(3000)})
    for sections in snapshot.sections_by_part.values():
        sections["contract"]["note"] = "x" * 200
    digests = snapshot.head.digest_by_part
    digests.update({part: part_digest(text) for part, text in snapshot.sections_by_part.items()})
    return snapshot


def test_a_snapshot_is_sent_in_bounded_pieces():
    snapshot = big_snapshot()
    builder = SnapshotBuilder()
    pieces = 0
    built = None
    while built is None:
        piece = snapshot_piece(snapshot, builder.after)
        check.assertLess(len(str(piece.sections_by_part)), 300_000)
        built = builder.add(piece)
        pieces += 1
    check.assertGreater(pieces, 2)
    check.assertEqual(built.sections_by_part, snapshot.sections_by_part)


def test_a_snapshot_that_lacks_a_part_is_rejected():
    snapshot = snapshot_of(1, {"ada": 1, "bo": 2})
    message = snapshot_piece(snapshot, "")
    del message.sections_by_part["contract.bo"]
    with check.assertRaises(TransferError):
        SnapshotBuilder().add(message)


def test_pieces_of_two_revisions_are_never_combined():
    first, second = big_snapshot(), snapshot_of(2, {"zz": 1})
    builder = SnapshotBuilder()
    check.assertIsNone(builder.add(snapshot_piece(first, "")))
    with check.assertRaises(TransferError):
        builder.add(snapshot_piece(second, builder.after))


def test_a_malformed_message_is_rejected():
    sender = state_at(snapshot_of(1, {"ada": 1}))
    sender.offer(snapshot_of(2, {"ada": 2}))
    valid = delta_message(sender.delta_since(1, "c1"))
    for field, value in {
        "change_ids": ["c"] * (MAX_RECENT_CHANGES + 1),
        "sections_by_part": {"contract.ada": {"contract": {"account": 7}}},
    }.items():
        with check.assertRaises(TransferError):
            parse_delta(type(valid)(**(vars(valid) | {field: value})))


class Configurations(RuleBasedStateMachine):
    """Accepted changes, instances that apply them in any way, and a store that goes back."""

    def __init__(self):
        super().__init__()
        self.accepted = [(("c0",), {})]
        self.states = [ConfigurationState() for _ in range(3)]
        self.highest = [0, 0, 0]
        self.old_copy = 0
        self.forks = 0

    def _snapshot(self, index):
        ids, marks = self.accepted[index]
        return snapshot_of(len(ids), marks, ids[-MAX_RECENT_CHANGES:])

    @rule(name=st.sampled_from(NAMES), mark=st.none() | st.integers(0, 9))
    def accept(self, name, mark):
        ids, marks = self.accepted[-1]
        changed = {other: value for other, value in marks.items() if other != name}
        if mark is not None:
            changed[name] = mark
        self.accepted.append(((*ids, f"c{len(ids)}"), changed))

    @rule(instance=st.integers(0, 2), back=st.integers(0, 5))
    def read_store(self, instance, back):
        self.states[instance].offer(self._snapshot(max(0, len(self.accepted) - 1 - back)))

    @rule(instance=st.integers(0, 2), back=st.integers(0, 4), more=st.integers(1, 6))
    def read_forked_store(self, instance, back, more):
        state = self.states[instance]
        if state.snapshot is None:
            return
        ids, _ = self.accepted[max(0, len(self.accepted) - 1 - back)]
        if len(ids) >= state.revision:
            return
        self.forks += 1
        other_ids = (*ids, *(f"x{self.forks}.{n}" for n in range(more)))
        state.offer(snapshot_of(len(other_ids), {"ada": 99}, other_ids))

    @rule(receiver=st.integers(0, 2), sender=st.integers(0, 2))
    def pull(self, receiver, sender):
        target, source = self.states[receiver], self.states[sender]
        delta = source.delta_since(target.revision, target.change_id)
        if isinstance(delta, Delta):
            result = target.offer_delta(parse_delta(delta_message(delta)))
            if result is not OfferResult.GAP:
                return
        if delta is NoDelta.TOO_OLD or isinstance(delta, Delta):
            target.offer(SnapshotBuilder().add(snapshot_piece(source.snapshot, "")))

    @invariant()
    def each_instance_has_one_whole_accepted_revision(self):
        for state in self.states:
            if state.snapshot is not None:
                ids, marks = self.accepted[state.revision - 1]
                check.assertEqual(state.change_id, ids[-1])
                check.assertEqual(marks_of(state), marks)

    @invariant()
    def no_instance_goes_back(self):
        for index, state in enumerate(self.states):
            check.assertGreaterEqual(state.revision, self.highest[index])
            self.highest[index] = state.revision


def test_the_configuration_never_goes_back_and_is_never_applied_in_part():
    run_state_machine_as_test(
        Configurations,
        settings=settings(
            max_examples=150, stateful_step_count=40, derandomize=True, deadline=None
        ),
    )


def members(count):
    return [
        Member(f"i-{n}", ENTRY_SERVICE, ZoneName("abc"[n % 3]), "10.0.0.1", {}, MemberState.LIVE)
        for n in range(count)
    ]


def test_the_number_of_watchers_does_not_grow_and_they_are_in_different_zones():
    for count in (3, 6, 420):
        listed = members(count)
        chosen = choose_stewards(listed)
        zones = {member.zone for member in listed if member.id in chosen}
        check.assertEqual((len(chosen), len(zones)), (3, 3))


def test_every_tree_reaches_every_steward_and_no_steward_has_many_children():
    listed = members(420)
    children = {}
    for member in listed:
        fan_out = FanOut(InstanceId(member.id))
        fan_out.update(listed)
        children[member.id] = [child.id for child in fan_out.children]
    check.assertLessEqual(max(map(len, children.values())), 12)
    reached = {choose_stewards(listed)[0]}
    for _ in range(5):
        reached |= {child for parent in reached for child in children[parent]}
    check.assertEqual(len(reached), 420)
