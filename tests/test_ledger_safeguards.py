"""Each safeguard of the ledger taken out: random or scripted histories must then show the harm.

A machine that passes without its safeguard proves nothing, so these tests fail when it does.
"""

from math import inf

from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from egretstack.ledger import CallState, NextAction, Outcome, ShardWriter, Stage
from tests.ledger_support import FaultyStore, begin, key
from tests.support import check, tests_of
from tests.test_ledger_machine import (
    MACHINE_SETTINGS,
    CheckedMachine,
    LedgerMachine,
    LookupMachine,
)

load_tests = tests_of(globals())

_SEARCH = settings(MACHINE_SETTINGS, max_examples=3000, phases=[Phase.generate])


def assert_finds_violation(machine):
    with check.assertRaises(AssertionError):
        run_state_machine_as_test(machine, settings=_SEARCH)


def with_writer(machine, writer):
    return type(f"{machine.__name__}{writer.__name__}", (machine,), {"writer_class": writer})


class WithoutSegments(ShardWriter):
    """Looks for a key in the head alone."""

    def _find_segment(self, operation, epoch_s):
        return None


class WithoutMovedRows(ShardWriter):
    """Forgets, in the write that moves rows into a segment, that they exist."""

    def _moved_row(self, key):
        return None


class WithoutReadBack(ShardWriter):
    """Takes an update for written when its answer was lost."""

    def on_failure(self, in_doubt):
        if in_doubt and self._batch:
            self.on_written(self._version)
            self._shard = None
        else:
            super().on_failure(in_doubt)


class HomeRetracts(ShardWriter):
    """Retracts what it was asked to write, like an intent of its own."""

    def _end_begin(self, operation):
        operation.for_peer = False
        super()._end_begin(operation)


class WithoutMovingTheVersion(ShardWriter):
    """Takes a read-back that finds nothing for the end of the matter."""

    def _may_land_yet(self, operation):
        return False


class SentAfterAbandoning(LedgerMachine):
    """Sends an intent that turns out to be written after its caller was told "not run"."""

    def process_outcomes(self, entry):
        before = list(entry.calls)
        super().process_outcomes(entry)
        for call in before:
            if call.operation.outcome is Outcome.ABANDONED and not call.has_ended:
                call.has_ended = True
                self.upstream.run(call)


class TakesOverUnfenced(LookupMachine):
    """Takes a look-up's "it did not run" for the end of an attempt that nothing fences off."""

    def choose_action(self, found, name):
        action = super().choose_action(found, name)
        is_unresolved = self.stage(found) in (Stage.UNRESPONSIVE, Stage.OWNER_ENDED)
        has_not_run = name not in self.upstream.ran_by_key
        return NextAction.REPLACE if is_unresolved and has_not_run else action


class TakesOverFromUnresponsive(LedgerMachine):
    """Takes the key over from a sender that does not answer."""

    def choose_action(self, found, name):
        is_unresponsive = self.stage(found) is Stage.UNRESPONSIVE
        return NextAction.REPLACE if is_unresponsive else super().choose_action(found, name)


class LookUpThatDoesNotFence(CheckedMachine):
    """Looks up with the old number, which shuts nothing out."""

    def choose_action(self, found, name):
        fence = self.upstream.fence_by_key.get(name, 0)
        action = super().choose_action(found, name)
        self.upstream.fence_by_key[name] = fence
        return action


class SendsTakenOverWithOldNumber(CheckedMachine):
    """Sends every attempt with the same number."""

    def send_first_byte(self, entry, call, answered):
        self.upstream.fence_by_key.pop(call.name, None)
        super().send_first_byte(entry, call, answered)


class OwnerForgets(LedgerMachine):
    """An owner does not remember what it abandoned, and tells that it may be under way."""

    def stage(self, found):
        stage = super().stage(found)
        return Stage.RUNNING if stage is Stage.ABANDONED else stage


def test_without_the_look_into_segments_a_late_repeat_runs_again():
    assert_finds_violation(with_writer(LedgerMachine, WithoutSegments))


def test_without_the_rows_being_moved_a_repeat_in_that_write_runs_again():
    assert_finds_violation(with_writer(LedgerMachine, WithoutMovedRows))


def test_without_reading_a_lost_answer_back_a_key_runs_twice():
    assert_finds_violation(with_writer(LedgerMachine, WithoutReadBack))


def test_sending_after_the_refusal_breaks_not_run():
    assert_finds_violation(SentAfterAbandoning)


def intent_given_up_by_its_home(writer_class):
    """Let a home give up an intent that its sender wrote meanwhile; give the row's state."""
    store, home, sender = FaultyStore(), writer_class(), ShardWriter()
    peer_operation = begin("k0", "attempt-1")
    peer_operation.for_peer = True
    home.submit(peer_operation)
    store.execute(home, store.run_until_write(home), "lost-request")
    own = begin("k0", "attempt-1")
    own.forwarded = True
    sender.submit(own)
    store.run_until_idle(sender)
    check.assertIs(own.outcome, Outcome.WRITTEN)
    home.expire_begins(inf)
    store.run_until_idle(home)
    return store.rows()[key("k0")].state


def test_a_home_does_not_retract_the_intent_of_another():
    # A home gives up an intent that it was asked to write. The sender, which got no answer, has
    # written it itself and is sending the call: freed now, the key would run a second time.
    check.assertIs(intent_given_up_by_its_home(ShardWriter), CallState.INTENT)


def test_a_home_that_retracts_frees_a_key_under_way():
    check.assertIs(intent_given_up_by_its_home(HomeRetracts), CallState.NOT_RUN)


def test_an_intent_that_its_home_writes_after_the_retraction_finds_it_ended():
    # The sender gave up before the home began. What it retracted leaves a row, so the home
    # finds the attempt ended and does not put an intent there that nobody would ever end.
    store, home, sender = FaultyStore(), ShardWriter(), ShardWriter()
    own = begin("k0", "attempt-1")
    own.forwarded = True
    sender.submit(own)
    sender.expire_begins(inf)
    store.run_until_idle(sender)
    peer_operation = begin("k0", "attempt-1")
    peer_operation.for_peer = True
    home.submit(peer_operation)
    store.run_until_idle(home)
    check.assertIs(store.rows()[key("k0")].state, CallState.NOT_RUN)


def resume_after_a_repeat(machine_class):
    """Freeze a sender between its last check and its first byte; repeat elsewhere; thaw it."""
    machine = machine_class()
    paused, other = machine.entries[:2]
    call = machine.start(paused, "k0")
    machine.store.run_until_idle(paused.writer)
    check.assertTrue(machine.may_begin_sending(paused, call))
    call.is_sending = True
    paused.is_paused = True
    machine.now_s += 600
    machine.start(other, "k0")
    machine.settle(other)
    paused.is_paused = False
    machine.settle(paused)
    machine.each_key_ran_at_most_once()
    return machine


def test_a_sender_thawed_after_a_repeat_runs_its_call_at_most_once():
    # A sender is frozen with the call in its hands; a repeat comes to another entry, which is
    # told nothing by the sender. Nothing is taken over where the upstream checks nothing; where
    # it does, the look-up shuts the frozen sender out before the repeat runs.
    for machine in (LedgerMachine, LookupMachine, CheckedMachine):
        check.assertEqual(len(resume_after_a_repeat(machine).upstream.ran_by_key["k0"]), 1)


def test_a_take_over_on_an_unfenced_look_up_runs_twice():
    with check.assertRaises(AssertionError):
        resume_after_a_repeat(TakesOverUnfenced)


def test_a_take_over_from_a_silent_sender_runs_twice():
    with check.assertRaises(AssertionError):
        resume_after_a_repeat(TakesOverFromUnresponsive)


def test_a_take_over_with_the_old_number_runs_twice():
    with check.assertRaises(AssertionError):
        resume_after_a_repeat(SendsTakenOverWithOldNumber)


def resume_between_look_up_and_takeover(machine_class):
    """The frozen sender wakes up after the look-up and before the repeat has sent its own."""
    machine = machine_class()
    paused, other = machine.entries[:2]
    call = machine.start(paused, "k0")
    machine.store.run_until_idle(paused.writer)
    call.is_sending = True
    paused.is_paused = True
    machine.start(other, "k0")
    machine.store.run_until_idle(other.writer)
    machine.process_outcomes(other)
    machine.store.run_until_idle(other.writer)
    paused.is_paused = False
    machine.settle(paused)
    machine.settle(other)
    machine.each_key_ran_at_most_once()


def test_a_sender_thawed_between_look_up_and_take_over_is_shut_out():
    # The look-up carries the next fencing number. The sender that wakes up right after it is
    # refused by the upstream, although the repeat has not sent anything yet.
    resume_between_look_up_and_takeover(CheckedMachine)


def test_a_look_up_that_does_not_fence_runs_twice():
    with check.assertRaises(AssertionError):
        resume_between_look_up_and_takeover(LookUpThatDoesNotFence)


def repeat_of_an_abandoned_intent(machine_class):
    """Let an intent land after its caller was refused; repeat the key elsewhere."""
    machine = machine_class()
    owner = machine.entries[1]
    machine.start(owner, "k0")
    write = machine.store.run_until_write(owner.writer)
    machine.store.execute(owner.writer, write, "late")
    owner.writer.expire_begins(inf)
    machine.process_outcomes(owner)
    check.assertTrue(machine.store.deliver(machine.store.delayed_writes[0]))
    machine.repeat_until_final("k0")
    check.assertEqual(len(machine.upstream.ran_by_key["k0"]), 1)


def test_a_repeat_of_an_abandoned_intent_runs():
    # The intent's write is late, the caller is told "not run", then the intent lands. The
    # repeat learns from the owner that it was abandoned, before the owner has retracted it.
    repeat_of_an_abandoned_intent(LedgerMachine)


def test_repeats_never_end_where_the_owner_forgets_what_it_abandoned():
    with check.assertRaises(AssertionError):
        repeat_of_an_abandoned_intent(OwnerForgets)


def late_write_after_retraction(writer_class):
    """Give whether a delayed intent still lands once its refusal has been settled."""
    store, writer = FaultyStore(), writer_class()
    operation = begin("k0", "attempt-1")
    writer.submit(operation)
    store.execute(writer, store.run_until_write(writer), "late")
    writer.expire_begins(inf)
    check.assertIs(operation.outcome, Outcome.ABANDONED)
    store.run_until_idle(writer)
    check.assertTrue(writer.is_idle)
    return store.deliver(store.delayed_writes[0])


def test_a_retracted_intent_cannot_land_any_more():
    # The read-back finds no intent and the head at the version that the delayed write is
    # conditional on. The retraction moves the version, so the write is refused when it arrives.
    check.assertFalse(late_write_after_retraction(ShardWriter))


def test_without_moving_the_version_the_intent_lands_after_the_read_back():
    check.assertTrue(late_write_after_retraction(WithoutMovingTheVersion))
