"""Each safeguard of the ledger removed: random or scripted histories must then find a violation.

A state machine that passes without its safeguard proves nothing about it, so these tests then
fail.
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
    """Searches for a key in the head only."""

    def _find_segment(self, operation, epoch_s):
        return None


class WithoutMovedRows(ShardWriter):
    """Ignores rows in the write that moves them into a segment."""

    def _moved_row(self, key):
        return None


class WithoutReadBack(ShardWriter):
    """Assumes that an update was written when its answer was lost."""

    def on_failure(self, in_doubt):
        if in_doubt and self._batch:
            self.on_written(self._version)
            self._shard = None
        else:
            super().on_failure(in_doubt)


class LedgerHomeRetracts(ShardWriter):
    """Retracts an intent that it was requested to write, like one of its own."""

    def _end_begin(self, operation):
        operation.for_peer = False
        super()._end_begin(operation)


class WithoutVersionChange(ShardWriter):
    """Assumes that an intent that is not found by the read-back can no longer land."""

    def _may_land_yet(self, operation):
        return False


class SentAfterAbandoning(LedgerMachine):
    """Sends the call of an abandoned intent, whose caller was told "not run"."""

    def process_outcomes(self, entry):
        before = list(entry.calls)
        super().process_outcomes(entry)
        for call in before:
            if call.operation.outcome is Outcome.ABANDONED and not call.has_ended:
                call.has_ended = True
                self.upstream.run(call)


class TakesOverUnfenced(LookupMachine):
    """Takes over a key after a look-up's "it did not run", although nothing fences the attempt."""

    def choose_action(self, found, name):
        action = super().choose_action(found, name)
        is_unresolved = self.stage(found) in (Stage.UNRESPONSIVE, Stage.OWNER_ENDED)
        has_not_run = name not in self.upstream.ran_by_key
        return NextAction.REPLACE if is_unresolved and has_not_run else action


class TakesOverFromUnresponsive(LedgerMachine):
    """Takes over the key of a sender that does not answer."""

    def choose_action(self, found, name):
        is_unresponsive = self.stage(found) is Stage.UNRESPONSIVE
        return NextAction.REPLACE if is_unresponsive else super().choose_action(found, name)


class LookUpThatDoesNotFence(CheckedMachine):
    """Looks up with the old fencing number, which excludes nothing."""

    def choose_action(self, found, name):
        fence = self.upstream.fence_by_key.get(name, 0)
        action = super().choose_action(found, name)
        self.upstream.fence_by_key[name] = fence
        return action


class SendsTakenOverWithOldNumber(CheckedMachine):
    """Sends every attempt with the same fencing number."""

    def send_first_byte(self, entry, call, answered):
        self.upstream.fence_by_key.pop(call.name, None)
        super().send_first_byte(entry, call, answered)


class OwnerForgetsAbandoned(LedgerMachine):
    """An owner forgets that it abandoned an attempt, and reports it as running."""

    def stage(self, found):
        stage = super().stage(found)
        return Stage.RUNNING if stage is Stage.ABANDONED else stage


def test_without_the_search_of_segments_a_late_repeat_runs_again():
    assert_finds_violation(with_writer(LedgerMachine, WithoutSegments))


def test_without_the_rows_being_moved_a_repeat_in_the_same_write_runs_again():
    assert_finds_violation(with_writer(LedgerMachine, WithoutMovedRows))


def test_without_the_read_back_after_a_lost_answer_a_key_runs_twice():
    assert_finds_violation(with_writer(LedgerMachine, WithoutReadBack))


def test_sending_after_the_refusal_violates_not_run():
    assert_finds_violation(SentAfterAbandoning)


def intent_given_up_by_its_ledger_home(writer_class):
    """Let a ledger home give up an intent that its sender has written; return the row's state."""
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


def test_a_ledger_home_does_not_retract_the_intent_of_another_entry():
    # A ledger home gives up an intent that it was requested to write. The sender, which got no
    # answer, has written it itself and is sending the call. If the key were freed now, the call
    # could run a second time.
    check.assertIs(intent_given_up_by_its_ledger_home(ShardWriter), CallState.INTENT)


def test_a_ledger_home_that_retracts_frees_the_key_of_a_call_in_progress():
    check.assertIs(intent_given_up_by_its_ledger_home(LedgerHomeRetracts), CallState.NOT_RUN)


def test_a_ledger_home_that_writes_after_the_retraction_finds_the_attempt_ended():
    # The sender gave up before the ledger home began. The retraction leaves a row, so the ledger
    # home finds the attempt ended, and does not write an intent that nobody would ever end.
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
    """Pause a sender between its last check and its first byte, repeat elsewhere, and resume it."""
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


def test_a_sender_resumed_after_a_repeat_runs_its_call_at_most_once():
    # A sender is paused just before its first byte. A repeat comes to another entry, which gets no
    # answer from the sender. If the upstream checks nothing, the key is not taken over. If it
    # checks fencing numbers, the look-up excludes the paused sender before the repeat runs.
    for machine in (LedgerMachine, LookupMachine, CheckedMachine):
        check.assertEqual(len(resume_after_a_repeat(machine).upstream.ran_by_key["k0"]), 1)


def test_a_takeover_after_an_unfenced_look_up_runs_twice():
    with check.assertRaises(AssertionError):
        resume_after_a_repeat(TakesOverUnfenced)


def test_a_takeover_from_an_unresponsive_sender_runs_twice():
    with check.assertRaises(AssertionError):
        resume_after_a_repeat(TakesOverFromUnresponsive)


def test_a_takeover_with_the_old_number_runs_twice():
    with check.assertRaises(AssertionError):
        resume_after_a_repeat(SendsTakenOverWithOldNumber)


def resume_between_look_up_and_takeover(machine_class):
    """Resume the paused sender after the look-up and before the repeat has sent its call."""
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


def test_a_sender_resumed_between_look_up_and_takeover_is_refused():
    # The look-up sends the next fencing number. The upstream refuses the sender that resumes
    # right after it, although the repeat has not sent anything yet.
    resume_between_look_up_and_takeover(CheckedMachine)


def test_a_look_up_that_does_not_fence_runs_twice():
    with check.assertRaises(AssertionError):
        resume_between_look_up_and_takeover(LookUpThatDoesNotFence)


def repeat_of_an_abandoned_intent(machine_class):
    """Let an intent land after its caller was refused, and repeat the key elsewhere."""
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
    # The write of the intent is delayed, the caller is told "not run", and then the intent lands.
    # The repeat learns from the owner that it was abandoned, before the owner has retracted it.
    repeat_of_an_abandoned_intent(LedgerMachine)


def test_repeats_never_end_if_the_owner_forgets_what_it_abandoned():
    with check.assertRaises(AssertionError):
        repeat_of_an_abandoned_intent(OwnerForgetsAbandoned)


def late_write_after_retraction(writer_class):
    """Return whether a delayed intent still lands after it was retracted."""
    store, writer = FaultyStore(), writer_class()
    operation = begin("k0", "attempt-1")
    writer.submit(operation)
    store.execute(writer, store.run_until_write(writer), "late")
    writer.expire_begins(inf)
    check.assertIs(operation.outcome, Outcome.ABANDONED)
    store.run_until_idle(writer)
    check.assertTrue(writer.is_idle)
    return store.deliver(store.delayed_writes[0])


def test_a_retracted_intent_can_no_longer_land():
    # The read-back finds no intent, and the head at the version on which the delayed write is
    # conditional. The retraction changes the version, so the write is refused when it arrives.
    check.assertFalse(late_write_after_retraction(ShardWriter))


def test_without_a_version_change_the_intent_lands_after_the_read_back():
    check.assertTrue(late_write_after_retraction(WithoutVersionChange))
