"""Limits without faults: the whole contract is used, never more, and retry delays are right."""

import random

from egretstack.errors import ErrorKind
from egretstack.limits import SLICE_RENEW_S, SLICE_TTL_S
from tests.limits_fleet import Fleet, contract, required_burst
from tests.support import check, tests_of

load_tests = tests_of(globals())

LONG_HOLD_S = 1000.0


def test_one_entry_gets_every_slot_of_an_account():
    fleet = Fleet(6, [contract(rate=1000, burst=1000, concurrency=50)])
    node = fleet.nodes()[2]
    for _ in range(60):
        fleet.request(node, hold_s=LONG_HOLD_S)
    fleet.run(5)
    check.assertEqual(len(fleet.admitted), 50)
    check.assertEqual({error.kind for _, _, error in fleet.refused}, {ErrorKind.OVER_CONCURRENCY})


def test_one_entry_gets_the_whole_rate_and_no_more():
    fleet = Fleet(6, [contract(rate=20, burst=20, concurrency=50)])
    rng = random.Random(4)
    node = fleet.nodes()[2]

    def demand():
        if rng.random() < 0.9:
            fleet.request(node)
            fleet.request(node)

    fleet.run(30, demand)
    times = [time for time, _, _ in fleet.admitted]
    check.assertGreater(len(times), 0.95 * 20 * 30)
    check.assertLessEqual(required_burst(times, 20), 20)


def test_a_burst_after_a_quiet_time_is_admitted_at_once():
    fleet = Fleet(6, [contract(rate=1, burst=20, concurrency=50)])
    fleet.run(30)
    for _ in range(20):
        fleet.request(fleet.nodes()[1])
    fleet.run(1)
    check.assertEqual(len(fleet.admitted), 20)


def test_a_contract_with_a_burst_of_one_gets_its_rate():
    fleet = Fleet(3, [contract(rate=4, burst=1, concurrency=50)])
    fleet.run(40, lambda: fleet.request(fleet.nodes()[0]))
    times = [time for time, _, _ in fleet.admitted]
    check.assertGreater(len(times), 0.8 * 4 * 40)
    check.assertLessEqual(required_burst(times, 4), 1.001)


def test_two_entries_share_by_their_demand():
    fleet = Fleet(6, [contract(rate=1000, burst=1000, concurrency=50)])
    busy, quiet = fleet.nodes()[:2]
    for _ in range(8):
        fleet.request(quiet, hold_s=LONG_HOLD_S)
    fleet.run(3)
    for _ in range(60):
        fleet.request(busy, hold_s=LONG_HOLD_S)
    fleet.run(10, lambda: fleet.request(busy, hold_s=LONG_HOLD_S))
    check.assertEqual(len(quiet.ends), 8)
    check.assertEqual(len(busy.ends), 42)


def test_an_entry_returns_what_it_does_not_use():
    fleet = Fleet(6, [contract(rate=1000, burst=1000, concurrency=50)])
    first, second = fleet.nodes()[:2]
    for _ in range(50):
        fleet.request(first, hold_s=1.0)
    fleet.run(2 * SLICE_TTL_S)
    for _ in range(50):
        fleet.request(second, hold_s=LONG_HOLD_S)
    fleet.run(SLICE_RENEW_S)
    check.assertEqual(len(second.ends), 50)


def test_a_request_is_admitted_after_the_retry_delay():
    fleet = Fleet(6, [contract(rate=0.5, burst=2, concurrency=50)])
    node = fleet.nodes()[3]
    for _ in range(3):
        fleet.request(node)
    fleet.run(1)
    check.assertEqual(len(fleet.admitted), 2)
    time, _, error = fleet.refused[0]
    check.assertIs(error.kind, ErrorKind.RATE_LIMITED)
    check.assertLessEqual(error.retry_after_s, 4)
    fleet.run(time + error.retry_after_s + 0.5 - fleet.now)
    fleet.request(node)
    fleet.run(1)
    check.assertEqual(len(fleet.admitted), 3)


def test_the_retry_delay_is_bounded():
    fleet = Fleet(6, [contract(rate=0.01, burst=1, concurrency=50)])
    node = fleet.nodes()[3]
    for _ in range(3):
        fleet.request(node)
    fleet.run(1)
    check.assertTrue(fleet.refused)
    for _, _, error in fleet.refused:
        check.assertLessEqual(error.retry_after_s, 60)


def test_a_refusal_is_not_delayed():
    # An account far over its limits is refused according to the home's last answer; none of its
    # requests waits for another one, and the home is not queried for each of them.
    fleet = Fleet(6, [contract(rate=1, burst=5, concurrency=5)])
    node = fleet.nodes()[3]
    fleet.run(2, lambda: fleet.request(node, hold_s=0.1))
    before = sum(sender.sent_messages for sender in fleet.nodes())
    refused = len(fleet.refused)
    fleet.run(10, lambda: [fleet.request(node) for _ in range(20)])
    check.assertGreater(len(fleet.refused) - refused, 3900)
    check.assertLess(sum(sender.sent_messages for sender in fleet.nodes()) - before, 80)


def test_a_burst_of_one_account_does_not_delay_another():
    fleet = Fleet(
        6,
        [contract("loud", 10, 10, 10), contract("calm", 10, 20, 50)],
    )
    node = fleet.nodes()[0]
    rng = random.Random(5)
    sent = [0]

    def demand():
        for _ in range(50):
            fleet.request(node, "loud", 1.0)
        if rng.random() < 0.1:
            sent[0] += 1
            fleet.request(node, "calm", 0.5)

    fleet.run(30, demand)
    fleet.run(1)
    calm = [account for _, account, _ in fleet.admitted if account == "calm"]
    check.assertEqual(len(calm), sent[0])


def test_a_lowered_limit_holds_as_soon_as_the_configuration_is_in_force():
    # The entries hold slices of the old contract. Each scales its own slice to the new contract
    # when it receives it, without waiting for the home.
    fleet = Fleet(6, [contract(rate=1000, burst=1000, concurrency=60)])
    nodes = fleet.nodes()[:3]

    def demand():
        for node in nodes:
            for _ in range(3):
                fleet.request(node, hold_s=0.1)

    for node in nodes:
        for _ in range(30):
            fleet.request(node, hold_s=0.5)
    fleet.run(3, demand)
    fleet.change_contract(contract(rate=1000, burst=1000, concurrency=6))
    fleet.run(0.15)
    peak_open = [0]

    def watch():
        demand()
        peak_open[0] = max(peak_open[0], fleet.open_total())

    fleet.run(10, watch)
    check.assertGreater(peak_open[0], 3)
    check.assertLessEqual(peak_open[0], 6)


def test_a_raised_limit_is_used_after_the_next_query():
    fleet = Fleet(6, [contract(rate=1000, burst=1000, concurrency=10)])
    node = fleet.nodes()[0]
    fleet.run(2, lambda: fleet.request(node, hold_s=LONG_HOLD_S))
    check.assertEqual(len(node.ends), 10)
    fleet.change_contract(contract(rate=1000, burst=1000, concurrency=30))
    fleet.run(SLICE_RENEW_S + 2, lambda: fleet.request(node, hold_s=LONG_HOLD_S))
    check.assertEqual(len(node.ends), 30)


def test_requests_of_a_removed_account_end_normally():
    # An operator removes an account while its streams run. The home no longer knows it; the entry
    # keeps counting the open requests and the end of each stream.
    fleet = Fleet(6, [contract()])
    node = fleet.nodes()[0]
    for _ in range(3):
        fleet.request(node, hold_s=30.0)
    fleet.run(1)
    for instance in fleet.nodes():
        instance.contract_by_account.clear()
    fleet.run(20)
    check.assertEqual(node.entry.open_count("acme"), 3)
    fleet.run(15)
    check.assertEqual(node.entry.open_count("acme"), 0)


def test_an_entry_forgets_idle_accounts():
    contracts = [contract(f"a{number}") for number in range(100)]
    fleet = Fleet(2, contracts)
    for known in contracts:
        fleet.request(fleet.nodes()[0], known.account)
    fleet.run(1)
    check.assertEqual(fleet.nodes()[0].entry.account_count, 100)
    fleet.run(60)
    check.assertEqual(fleet.nodes()[0].entry.account_count, 0)
    check.assertEqual([node.home.account_count for node in fleet.nodes()], [0, 0])


def test_an_idle_account_sends_no_messages():
    fleet = Fleet(6, [contract()])
    fleet.request(fleet.nodes()[0])
    fleet.run(5)
    before = sum(node.sent_messages for node in fleet.nodes())
    fleet.run(60)
    check.assertEqual(sum(node.sent_messages for node in fleet.nodes()), before)


def test_one_query_carries_all_accounts_of_a_home():
    contracts = [contract(f"a{number}") for number in range(100)]
    fleet = Fleet(2, contracts)
    requester = fleet.nodes()[0]
    for known in contracts:
        fleet.request(requester, known.account, hold_s=LONG_HOLD_S)
    fleet.run(5)
    before = requester.sent_messages
    fleet.run(90)
    # Ten renewals in 90 s, whatever the number of accounts; some are out of step at first.
    check.assertLess(requester.sent_messages - before, 25)
