"""The lease of a duty: one holder at a time by every clock, and a number that grows."""

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
OTHER = (ModelName("poem"),)
SERVICE = ServiceName("llm")
RUNNER = RunnerId("engine-0")


class LeaseObject:
    """The object of a lease as the platform keeps it."""

    def __init__(self):
        self.record = None
        self.version = None

    def put(self, write):
        """Carry a write out; False where it conflicts."""
        if write.version != self.version:
            return False
        self.record = write.record
        self.version = str(int(self.version or 0) + 1)
        return True


def look(lease, stored, now_s):
    lease.record_read(now_s, stored.record, stored.version)


def step(lease, stored, now_s):
    """Let a process look at the lease and write what is due; True where it wrote."""
    look(lease, stored, now_s)
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
    stored, lease = LeaseObject(), Lease("a")
    step(lease, stored, now_s)
    return stored, lease


def test_a_holder_renews_after_a_third_of_the_life():
    stored, lease = held_lease()
    check.assertIsNone(lease.next_write(LEASE_TTL_S / 3 - 0.1))
    check.assertTrue(step(lease, stored, LEASE_TTL_S / 3 + 0.1))
    check.assertEqual(lease.fencing, 1)
    check.assertTrue(lease.holds(LEASE_TTL_S + 1))


def test_a_holder_that_was_paused_past_its_lease_does_not_hold_it():
    _, lease = held_lease()
    check.assertTrue(lease.holds(LEASE_TTL_S - 0.1))
    check.assertFalse(lease.holds(LEASE_TTL_S))


def test_a_lease_is_taken_over_only_a_life_after_it_was_last_seen_to_change():
    # The other's clock is its own: what counts is when it saw the object change, not what any
    # time in the object says. Its first look may come long after the holder's last renewal.
    stored, _ = held_lease()
    other = Lease("b")
    first_s = 1_000_000.0
    check.assertFalse(step(other, stored, first_s))
    check.assertFalse(step(other, stored, first_s + LEASE_TTL_S + CLOCK_MARGIN_S - 0.1))
    check.assertTrue(step(other, stored, first_s + LEASE_TTL_S + CLOCK_MARGIN_S))
    check.assertEqual(other.fencing, 2)


def test_a_renewal_that_is_seen_starts_the_wait_anew():
    stored, lease = held_lease()
    other = Lease("b")
    look(other, stored, 1.0)
    step(lease, stored, 6.0)
    look(other, stored, 7.0)
    check.assertFalse(step(other, stored, 1.0 + LEASE_TTL_S + CLOCK_MARGIN_S))


def test_a_lost_answer_to_the_write_that_took_the_lease_is_settled_by_a_read():
    stored, lease = LeaseObject(), Lease("a")
    look(lease, stored, 0.0)
    write = lease.next_write(0.0)
    lease.record_sending(0.0, write)
    stored.put(write)
    check.assertFalse(lease.holds(1.0))
    look(lease, stored, 2.0)
    check.assertTrue(lease.holds(2.0))
    check.assertEqual(lease.remaining_s(2.0), LEASE_TTL_S - 2.0)


def test_a_renewal_that_landed_late_is_not_counted_from_a_later_try():
    # The answer to a renewal is lost, a read does not show it yet, and a second renewal is
    # sent. What landed was the first. Counted from the second, the lease would look longer to
    # its holder than to the steward that waits for its end.
    stored, lease = held_lease()
    first = lease.next_write(6.0)
    lease.record_sending(6.0, first)
    look(lease, stored, 8.0)
    second = lease.next_write(8.0)
    lease.record_sending(8.0, second)
    stored.put(first)
    check.assertFalse(stored.put(second))
    look(lease, stored, 9.0)
    check.assertLessEqual(lease.remaining_s(9.0), 6.0 + LEASE_TTL_S - 9.0)


def test_a_freed_lease_is_taken_at_once_with_a_higher_number():
    stored, lease = held_lease()
    write = lease.release()
    check.assertFalse(lease.holds(0.1))
    stored.put(write)
    other = Lease("b")
    check.assertTrue(step(other, stored, 0.2))
    check.assertEqual(other.fencing, 2)


def test_the_number_does_not_go_back_with_a_restored_store():
    # Engines have seen a higher number than a store holds that was restored from an older
    # copy. They would refuse every order until the number had grown past it.
    stored, lease = held_lease()
    old_copy = LeaseRecord("gone", 1, 0, LEASE_TTL_S)
    stored.record, stored.version = LeaseRecord("gone", 7, 0, LEASE_TTL_S), "20"
    look(lease, stored, 1.0)
    stored.record, stored.version = old_copy, "5"
    look(lease, stored, 2.0)
    check.assertTrue(step(lease, stored, 2.0 + LEASE_TTL_S + CLOCK_MARGIN_S))
    check.assertEqual(lease.fencing, 8)


def test_an_object_that_is_no_lease_is_refused():
    for spec in ({}, {"holder": "a", "fencing": "x", "beat": 0, "life_s": 1}):
        with check.assertRaises(LeaseUnreadable):
            LeaseRecord.from_spec(spec)


def test_a_new_holder_waits_out_an_order_of_the_one_before_where_fencing_is_ignored():
    _, lease = held_lease()
    plan = OrderPlan(SERVICE, Fencing.IGNORED, 1.0)
    end_s = 1.0 + ORDER_TIMEOUT_S
    check.assertIsNone(plan.next_order(end_s - 0.1, lease, RUNNER, MODELS, OTHER))
    check.assertIsNotNone(plan.next_order(end_s, lease, RUNNER, MODELS, OTHER))
    plan = OrderPlan(SERVICE, Fencing.CHECKED, 1.0)
    check.assertIsNotNone(plan.next_order(1.0, lease, RUNNER, MODELS, OTHER))


def test_an_order_goes_out_only_with_more_lease_left_than_its_timeout():
    _, lease = held_lease()
    plan = OrderPlan(SERVICE, Fencing.IGNORED, 0.0)
    last_s = LEASE_TTL_S - ORDER_TIMEOUT_S
    check.assertIsNone(plan.next_order(last_s, lease, RUNNER, MODELS, OTHER))
    check.assertIsNotNone(plan.next_order(last_s - 0.1, lease, RUNNER, MODELS, OTHER))


def test_an_engine_that_serves_what_is_described_gets_no_order():
    _, lease = held_lease()
    plan = OrderPlan(SERVICE, Fencing.CHECKED, 0.0)
    check.assertIsNone(plan.next_order(1.0, lease, RUNNER, MODELS, MODELS))
    order = plan.next_order(1.0, lease, RUNNER, MODELS, OTHER)
    check.assertEqual((order.fencing, order.models), (1, MODELS))
    check.assertIsNone(plan.next_order(2.0, lease, RUNNER, MODELS, OTHER))


def test_orders_to_load_are_paced_for_the_weight_store():
    _, lease = held_lease()
    plan = OrderPlan(SERVICE, Fencing.CHECKED, 0.0)
    runners = [RunnerId(f"engine-{n}") for n in range(60)]
    sent = sum(plan.next_order(1.0, lease, one, MODELS, OTHER) is not None for one in runners)
    check.assertEqual(sent, 2)


class Holders(RuleBasedStateMachine):
    """Three processes whose clocks run at their own rates, paused at will, on one lease."""

    def __init__(self):
        super().__init__()
        self.stored = LeaseObject()
        self.now_s = 0.0
        self.rates = (1.0, 1.02, 0.98)
        self.leases = [Lease(name) for name in "abc"]
        self.lost = None
        self.numbers = []

    def _local(self, place):
        return 1000.0 * place + self.now_s * self.rates[place]

    @rule(seconds=st.floats(0.1, 18.0), paused=st.sampled_from((None, 0, 1, 2)))
    def pass_time(self, seconds, paused):
        """Let time pass; every process but a paused one acts after it."""
        self.now_s += seconds
        for place in range(3):
            if place != paused:
                self.step(place)

    @rule(place=st.integers(0, 2))
    def step(self, place):
        """Let one process look and write."""
        lease = self.leases[place]
        if step(lease, self.stored, self._local(place)):
            self.numbers.append((lease.fencing, place))

    @rule(place=st.integers(0, 2), lands=st.booleans())
    def lose_answer(self, place, lands):
        lease, now_s = self.leases[place], self._local(place)
        look(lease, self.stored, now_s)
        write = lease.next_write(now_s)
        if write is None:
            return
        lease.record_sending(now_s, write)
        if lands:
            self.stored.put(write)
        else:
            self.lost = write

    @rule()
    def land_late(self):
        if self.lost is not None:
            self.stored.put(self.lost)
            self.lost = None

    @rule(place=st.integers(0, 2))
    def start_anew(self, place):
        self.leases[place] = Lease(f"{'abc'[place]}.{self.now_s}.{len(self.numbers)}")

    @invariant()
    def at_most_one_holds(self):
        holding = [p for p, one in enumerate(self.leases) if one.holds(self._local(p))]
        check.assertLessEqual(len(holding), 1, holding)

    @invariant()
    def the_number_never_goes_back(self):
        numbers = [number for number, _ in self.numbers]
        check.assertEqual(numbers, sorted(numbers))


def test_at_most_one_process_holds_a_lease_by_its_own_clock():
    run_state_machine_as_test(
        Holders,
        settings=settings(
            max_examples=150, stateful_step_count=30, derandomize=True, deadline=None
        ),
    )
