"""Limits while instances cannot reach each other, or see different live instances.

The bound: with the fleet in P parts, open requests of an account number at most P + 1 times its
contract: each part's home lends the contract once, and what entries without a home add from
their conservative shares makes up at most the contract once more.
"""

import random

from egretstack.ids import InstanceId
from egretstack.limits import (
    SLICE_TTL_S,
    WARM_UP_S,
    Mode,
    contract_share,
)
from tests.limits_faults import ACME, LONG_S, SLOTS, fallback_of, fleet_and_home, press
from tests.limits_fleet import Fleet, contract, required_burst
from tests.support import check, tests_of

load_tests = tests_of(globals())


def test_the_conservative_shares_make_up_the_contract():
    fleet = Fleet(7, [ACME])
    whole = contract_share(contract(rate=7, burst=5, concurrency=50))
    shares = [node.homes.conservative_share("acme", node.name, whole) for node in fleet.nodes()]
    check.assertEqual(sum(share.slots for share in shares), 50)
    check.assertEqual(sum(share.burst for share in shares), 5)
    check.assertLessEqual(sum(share.rate for share in shares), 7)


def test_a_leaving_entry_adds_at_most_one_small_share():
    # An instance that leaves is in nobody's list, its own included, and serves on for a while.
    # Its callers get a share, which comes on top of the shares of those that are listed.
    fleet = Fleet(7, [ACME])
    whole = contract_share(ACME)
    leaving, *rest = fleet.nodes()
    for node in fleet.nodes():
        fleet.set_view(node, [one.name for one in rest])
    shares = [node.homes.conservative_share("acme", node.name, whole) for node in rest]
    check.assertEqual(sum(share.slots for share in shares), SLOTS)
    extra = leaving.homes.conservative_share("acme", leaving.name, whole)
    check.assertEqual((extra.slots, extra.burst), (SLOTS // 7, whole.burst // 7))
    check.assertLessEqual(extra.rate, whole.rate / 7)


def test_slices_go_on_while_the_home_changes():
    # An instance joins and becomes the home of an account. It lends nothing at first, but an
    # entry keeps the slice it holds, so its callers notice nothing.
    fleet, _, others = fleet_and_home(3)
    entry = fleet.nodes()[0]
    fleet.run(3, press(fleet, [entry], hold_s=0.3, each=10))
    number = 3
    while fleet.home_of("acme").name.endswith(("-0", "-1", "-2")):
        fleet._add(InstanceId(f"entry-{number}"))
        fleet.refresh_views()
        number += 1
    fleet.refused.clear()
    low = [SLOTS]

    def watch():
        press(fleet, [entry], hold_s=0.3, each=10)()
        low[0] = min(low[0], fleet.open_total())

    fleet.run(WARM_UP_S + 4, watch)
    check.assertGreater(low[0], SLOTS // 2)


def test_an_answer_that_is_lost_leaves_no_slot_lent_twice():
    # One entry holds every slot. Another wants half of them. The home cuts the first entry's
    # slice, but that answer is lost on the way, so the first goes on by what it kept.
    fleet, home, others = fleet_and_home()
    first, second = others[:2]
    fleet.run(3, press(fleet, [first], hold_s=0.2, each=10))
    fleet.cut([home], [first], both=False)
    most = [0]

    def watch():
        press(fleet, [first, second], hold_s=0.2, each=10)()
        most[0] = max(most[0], fleet.open_total())

    fleet.run(SLICE_TTL_S - 1.5, watch)
    check.assertLessEqual(most[0], SLOTS)
    fleet.run(20, watch)
    check.assertLessEqual(most[0], SLOTS + fallback_of([first]))


def test_an_entry_cut_one_way_from_its_home_uses_its_share():
    # Asks arrive, answers are lost. The entry falls back to its conservative share, and comes
    # back to slices when the way is mended.
    fleet, home, others = fleet_and_home()
    entry = others[0]
    fleet.cut([home], [entry], both=False)
    fleet.run(15, press(fleet, [entry]))
    check.assertIs(entry.entry.mode(fleet.now, "acme"), Mode.FALLBACK)
    check.assertEqual(len(entry.ends), fallback_of([entry]))
    fleet.cuts.clear()
    fleet.run(10, press(fleet, [entry]))
    check.assertEqual(len(entry.ends), SLOTS)


def test_an_entry_that_hears_no_answers_takes_nothing_from_the_others():
    fleet, home, others = fleet_and_home()
    fleet.cut([home], [others[0]], both=False)
    fleet.run(15, press(fleet, [others[0]], hold_s=0.2))
    loan = home.home._grants_by_account["acme"]._grant_by_entry[others[0].name]
    check.assertEqual(loan.want.rate, 0)
    check.assertLessEqual(loan.want.slots, fallback_of([others[0]]))
    fleet.run(10, press(fleet, others[:2], hold_s=0.2))
    fleet.run(1, press(fleet, [others[1]], hold_s=LONG_S, each=10))
    check.assertGreaterEqual(len(others[1].ends), SLOTS - fallback_of([others[0]]))


def test_both_sides_of_a_partition_stay_within_the_bound():
    # The fleet falls into two parts under full demand. Each part takes its own home. After the
    # parts meet again and their streams have ended, the contract holds again.
    fleet, _, _ = fleet_and_home()
    one, other = fleet.nodes()[:3], fleet.nodes()[3:]
    demand = press(fleet, fleet.nodes(), hold_s=3.0)
    most, part_most = [0], [0]

    def watch():
        demand()
        most[0] = max(most[0], fleet.open_total())

    fleet.run(10, watch)
    check.assertLessEqual(most[0], SLOTS)
    fleet.cut(one, other)
    fleet.run(4, watch)
    for side in (one, other):
        for node in side:
            fleet.set_view(node, [member.name for member in side])
    fleet.run(20, watch)
    check.assertLessEqual(most[0], 3 * SLOTS)

    def watch_parts():
        watch()
        part_most[0] = max(part_most[0], *(sum(len(n.ends) for n in s) for s in (one, other)))

    fleet.run(20, watch_parts)
    check.assertEqual(part_most[0], SLOTS)
    fleet.cuts.clear()
    fleet.refresh_views()
    fleet.run(20, demand)
    most[0] = 0
    fleet.run(20, watch)
    check.assertEqual(most[0], SLOTS)


def test_two_homes_by_lagging_views_stay_within_the_bound():
    # Half of the entries still hold an instance for live that the other half dropped, so two
    # instances lend the same account, for as long as the views differ.
    fleet, home, others = fleet_and_home()
    demand = press(fleet, others, hold_s=1.0)
    most = [0]

    def watch():
        demand()
        most[0] = max(most[0], fleet.open_total())

    for node in others[:3]:
        fleet.set_view(node, [member.name for member in others])
    fleet.run(40, watch)
    check.assertGreater(most[0], SLOTS)
    check.assertLessEqual(most[0], 3 * SLOTS)


def test_flapping_membership_never_stops_an_account_and_stays_within_the_bound():
    # The list shows the home, and shows it not, again and again. Every change makes a new home
    # that has to wait; entries go on by what they keep and by their shares.
    fleet, home, others = fleet_and_home()
    demand = press(fleet, others, hold_s=0.5)
    most = [0]

    def watch():
        demand()
        most[0] = max(most[0], fleet.open_total())

    for turn in range(30):
        live = [node.name for node in (others if turn % 2 else fleet.nodes())]
        for node in fleet.nodes():
            fleet.set_view(node, live)
        before = len(fleet.admitted)
        fleet.run(1, watch)
        check.assertGreater(len(fleet.admitted), before)
    check.assertLessEqual(most[0], 2 * SLOTS)


def test_falling_back_again_and_again_makes_no_new_burst():
    # An entry loses its home, finds it, and loses it again. A share that started full each time
    # would let a burst through at every turn.
    acme = contract(rate=0.01, burst=30, concurrency=1000)
    fleet = Fleet(3, [acme])
    home = fleet.home_of("acme")
    entry = fleet.others(home)[0]
    for _ in range(12):
        fleet.cut([home], [entry])
        fleet.run(7, lambda: fleet.request(entry))
        fleet.cuts.clear()
        fleet.run(7, lambda: fleet.request(entry))
    # The contract's burst through the home, and the entry's part of it by its share.
    check.assertLessEqual(len(fleet.admitted), 30 + 10 + 2 * 0.01 * fleet.now)


def test_the_rate_holds_while_the_home_changes():
    # Homes die one after the other under full demand. No home starts with a burst of its own.
    acme = contract(rate=1, burst=60, concurrency=1000)
    fleet = Fleet(8, [acme])
    rng = random.Random(3)

    def demand():
        for node in fleet.nodes():
            if rng.random() < 0.3:
                fleet.request(node)

    fleet.run(10, demand)
    for _ in range(4):
        fleet.kill(fleet.home_of("acme"))
        fleet.refresh_views()
        fleet.run(12, demand)
    times = [time for time, _, _ in fleet.admitted]
    # One bucket of the homes, and one of the conservative shares.
    check.assertLessEqual(required_burst(times, 2), 2 * 60)
