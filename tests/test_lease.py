"""Tests of a duty's lease: one holder at a time by every clock, and a fencing number that grows."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from egretstack.contracts import Fencing
from egretstack.duties import (
    CLOCK_MARGIN_S,
    LEASE_TTL_S,
    ORDER_TIMEOUT_S,
    Lease,
    LeaseRecord,
    LeaseUnreadable,
    OrderPlan,
)
from egretstack.ids import ModelName, RunnerId, ServiceName
from tests.support import check, tests_of

load_tests = tests_of(globals())

MODELS = (ModelName("story"),)
OTHER_MODELS = (ModelName("poem"),)
SERVICE = ServiceName("llm")
RUNNER = RunnerId("engine-0")


class StoredLease:
    """The object of a lease as the platform stores it."""

    def __init__(self):
        self.record = None
        self.version = None

    def put(self, write):
        """Apply a write; return False if it conflicts."""
        if write.version != self.version:
            return False
        self.record = write.record
        self.version = str(int(self.version or 0) + 1)
        return True


def read(lease, stored, now_s):
    lease.record_read(now_s, stored.record, stored.version)


def step(lease, stored, now_s):
    """Let a process read the lease and send the write that is due; return whether it wrote."""
    read(lease, stored, now_s)
    write = lease.next_write(now_s)
    if write is None:
        return False
    lease.record_sending(now_s, write)
    if not stored.put(write):
        lease.give_up()
        return False
    lease.record_written(stored.version)
    return True


def held_lease(now_s=0.0):
    stored, lease = StoredLease(), Lease("a")
    step(lease, stored, now_s)
    return stored, lease


def test_a_holder_renews_after_a_third_of_the_time_to_live():
    stored, lease = held_lease()
    check.assertIsNone(lease.next_write(LEASE_TTL_S / 3 - 0.1))
    check.assertTrue(step(lease, stored, LEASE_TTL_S / 3 + 0.1))
    check.assertEqual(lease.fencing, 1)
    check.assertTrue(lease.holds(LEASE_TTL_S + 1))


def test_a_holder_that_was_paused_past_its_lease_does_not_hold_it():
    _, lease = held_lease()
    check.assertTrue(lease.holds(LEASE_TTL_S - 0.1))
    check.assertFalse(lease.holds(LEASE_TTL_S))


def test_a_lease_is_taken_over_only_a_time_to_live_after_its_last_observed_change():
    # Each process uses its own clock: what counts is when it saw the object change, not any time
    # in the object. Its first read may come long after the holder's last renewal.
    stored, _ = held_lease()
    other = Lease("b")
    first_s = 1_000_000.0
    check.assertFalse(step(other, stored, first_s))
    check.assertFalse(step(other, stored, first_s + LEASE_TTL_S + CLOCK_MARGIN_S - 0.1))
    check.assertTrue(step(other, stored, first_s + LEASE_TTL_S + CLOCK_MARGIN_S))
    check.assertEqual(other.fencing, 2)


def test_an_observed_renewal_restarts_the_wait():
    stored, lease = held_lease()
    other = Lease("b")
    read(other, stored, 1.0)
    step(lease, stored, 6.0)
    read(other, stored, 7.0)
    check.assertFalse(step(other, stored, 1.0 + LEASE_TTL_S + CLOCK_MARGIN_S))


def test_a_read_resolves_a_lost_answer_to_the_write_that_acquired_the_lease():
    stored, lease = StoredLease(), Lease("a")
    read(lease, stored, 0.0)
    write = lease.next_write(0.0)
    lease.record_sending(0.0, write)
    stored.put(write)
    check.assertFalse(lease.holds(1.0))
    read(lease, stored, 2.0)
    check.assertTrue(lease.holds(2.0))
    check.assertEqual(lease.remaining_s(2.0), LEASE_TTL_S - 2.0)


def test_a_renewal_that_was_applied_late_is_not_counted_from_a_later_retry():
    # The answer to a renewal is lost, a read does not show the renewal yet, and a second one is
    # sent. The first is the one that is applied. Counted from the second, the lease would look
    # longer to its holder than to the steward that waits for its end.
    stored, lease = held_lease()
    first = lease.next_write(6.0)
    lease.record_sending(6.0, first)
    read(lease, stored, 8.0)
    second = lease.next_write(8.0)
    lease.record_sending(8.0, second)
    stored.put(first)
    check.assertFalse(stored.put(second))
    read(lease, stored, 9.0)
    check.assertLessEqual(lease.remaining_s(9.0), 6.0 + LEASE_TTL_S - 9.0)


def test_a_released_lease_is_acquired_at_once_with_a_higher_fencing_number():
    stored, lease = held_lease()
    write = lease.release()
    check.assertFalse(lease.holds(0.1))
    stored.put(write)
    other = Lease("b")
    check.assertTrue(step(other, stored, 0.2))
    check.assertEqual(other.fencing, 2)


def test_the_fencing_number_does_not_decrease_when_the_store_is_restored():
    # The store is restored from a backup and has a lower number than the engines have seen. They
    # would refuse every order until the number has grown past the one they have seen.
    stored, lease = held_lease()
    backup = LeaseRecord("gone", 1, 0, LEASE_TTL_S)
    stored.record, stored.version = LeaseRecord("gone", 7, 0, LEASE_TTL_S), "20"
    read(lease, stored, 1.0)
    stored.record, stored.version = backup, "5"
    read(lease, stored, 2.0)
    check.assertTrue(step(lease, stored, 2.0 + LEASE_TTL_S + CLOCK_MARGIN_S))
    check.assertEqual(lease.fencing, 8)


def test_an_object_that_is_not_a_lease_is_rejected():
    for spec in ({}, {"holder": "a", "fencing": "x", "beat": 0, "life_s": 1}):
        with check.assertRaises(LeaseUnreadable):
            LeaseRecord.from_spec(spec)


def test_a_new_holder_waits_for_orders_in_flight_if_fencing_is_ignored():
    _, lease = held_lease()
    plan = OrderPlan(SERVICE, Fencing.IGNORED, 1.0)
    end_s = 1.0 + ORDER_TIMEOUT_S
    check.assertIsNone(plan.next_order(end_s - 0.1, lease, RUNNER, MODELS, OTHER_MODELS))
    check.assertIsNotNone(plan.next_order(end_s, lease, RUNNER, MODELS, OTHER_MODELS))
    plan = OrderPlan(SERVICE, Fencing.CHECKED, 1.0)
    check.assertIsNotNone(plan.next_order(1.0, lease, RUNNER, MODELS, OTHER_MODELS))


def test_an_order_is_sent_only_with_more_lease_left_than_its_timeout():
    _, lease = held_lease()
    plan = OrderPlan(SERVICE, Fencing.IGNORED, 0.0)
    last_s = LEASE_TTL_S - ORDER_TIMEOUT_S
    check.assertIsNone(plan.next_order(last_s, lease, RUNNER, MODELS, OTHER_MODELS))
    check.assertIsNotNone(plan.next_order(last_s - 0.1, lease, RUNNER, MODELS, OTHER_MODELS))


def test_an_engine_that_serves_the_configured_models_gets_no_order():
    _, lease = held_lease()
    plan = OrderPlan(SERVICE, Fencing.CHECKED, 0.0)
    check.assertIsNone(plan.next_order(1.0, lease, RUNNER, MODELS, MODELS))
    order = plan.next_order(1.0, lease, RUNNER, MODELS, OTHER_MODELS)
    check.assertEqual((order.fencing, order.models), (1, MODELS))
    check.assertIsNone(plan.next_order(2.0, lease, RUNNER, MODELS, OTHER_MODELS))


def test_orders_to_load_are_rate_limited_for_the_weight_store():
    _, lease = held_lease()
    plan = OrderPlan(SERVICE, Fencing.CHECKED, 0.0)
    runners = [RunnerId(f"engine-{n}") for n in range(60)]
    sent = sum(
        plan.next_order(1.0, lease, runner, MODELS, OTHER_MODELS) is not None for runner in runners
    )
    check.assertEqual(sent, 2)


class LeaseMachine(RuleBasedStateMachine):
    """Three processes that share a lease, with clocks of different rates and arbitrary pauses."""

    def __init__(self):
        super().__init__()
        self.stored = StoredLease()
        self.now_s = 0.0
        self.clock_rates = (1.0, 1.02, 0.98)
        self.leases = [Lease(name) for name in "abc"]
        self.in_flight = None
        self.writes = []

    def _local_time(self, index):
        return 1000.0 * index + self.now_s * self.clock_rates[index]

    @rule(seconds=st.floats(0.1, 18.0), paused=st.sampled_from((None, 0, 1, 2)))
    def pass_time(self, seconds, paused):
        """Advance the time; then every process but a paused one takes a step."""
        self.now_s += seconds
        for index in range(3):
            if index != paused:
                self.step(index)

    @rule(index=st.integers(0, 2))
    def step(self, index):
        """Let one process read the lease and write."""
        lease = self.leases[index]
        if step(lease, self.stored, self._local_time(index)):
            self.writes.append((lease.fencing, index))

    @rule(index=st.integers(0, 2), is_applied=st.booleans())
    def lose_answer(self, index, is_applied):
        lease, now_s = self.leases[index], self._local_time(index)
        read(lease, self.stored, now_s)
        write = lease.next_write(now_s)
        if write is None:
            return
        lease.record_sending(now_s, write)
        if is_applied:
            self.stored.put(write)
        else:
            self.in_flight = write

    @rule()
    def apply_late(self):
        if self.in_flight is not None:
            self.stored.put(self.in_flight)
            self.in_flight = None

    @rule(index=st.integers(0, 2))
    def restart(self, index):
        self.leases[index] = Lease(f"{'abc'[index]}.{self.now_s}.{len(self.writes)}")

    @invariant()
    def at_most_one_holds(self):
        holding = [
            index for index, lease in enumerate(self.leases) if lease.holds(self._local_time(index))
        ]
        check.assertLessEqual(len(holding), 1, holding)

    @invariant()
    def the_fencing_number_never_decreases(self):
        numbers = [number for number, _ in self.writes]
        check.assertEqual(numbers, sorted(numbers))


def test_at_most_one_process_holds_a_lease_by_its_own_clock():
    run_state_machine_as_test(
        LeaseMachine,
        settings=settings(
            max_examples=150, stateful_step_count=30, derandomize=True, deadline=None
        ),
    )
