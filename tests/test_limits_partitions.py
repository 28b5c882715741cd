"""Limits while instances can't reach each other or have different views of the live instances.

The bound: with the fleet in P partitions, an account has at most P + 1 times its contract of open
requests. Each partition's home grants the contract once, and the conservative shares of entries
without a home add up to at most the contract once more.
"""

import random

from egretstack.ids import InstanceId
from egretstack.limits import (
    SLICE_TTL_S,
    WARM_UP_S,
    Mode,
    contract_share,
)
from tests.limits_faults import (
    ACME,
    LONG_HOLD_S,
    SLOTS,
    fallback_slots,
    fleet_and_home,
    heavy_demand,
)
from tests.limits_fleet import Fleet, contract, required_burst
from tests.support import check, tests_of

load_tests = tests_of(globals())


def test_the_conservative_shares_add_up_to_the_contract():
    fleet = Fleet(7, [ACME])
    total = contract_share(contract(rate=7, burst=5, concurrency=50))
    shares = [node.homes.conservative_share("acme", node.name, total) for node in fleet.nodes()]
    check.assertEqual(sum(share.slots for share in shares), 50)
    check.assertEqual(sum(share.burst for share in shares), 5)
    check.assertLessEqual(sum(share.rate for share in shares), 7)


def test_a_leaving_entry_adds_at_most_one_small_share():
    # A leaving instance is in no list, including its own, and still serves for a while. Its
    # callers get a share in addition to the shares of the listed instances.
    fleet = Fleet(7, [ACME])
    total = contract_share(ACME)
    leaving, *rest = fleet.nodes()
    for node in fleet.nodes():
        fleet.set_view(node, [other.name for other in rest])
    shares = [node.homes.conservative_share("acme", node.name, total) for node in rest]
    check.assertEqual(sum(share.slots for share in shares), SLOTS)
    extra = leaving.homes.conservative_share("acme", leaving.name, total)
    check.assertEqual((extra.slots, extra.burst), (SLOTS // 7, total.burst // 7))
    check.assertLessEqual(extra.rate, total.rate / 7)


def test_slices_stay_valid_while_the_home_changes():
    # An instance joins and becomes the home of an account. It grants nothing at first, but an
    # entry keeps the slice that it holds, so its callers are not refused.
    fleet, _, others = fleet_and_home(3)
    entry = fleet.nodes()[0]
    fleet.run(3, heavy_demand(fleet, [entry], hold_s=0.3, each=10))
    number = 3
    while fleet.home_of("acme").name.endswith(("-0", "-1", "-2")):
        fleet._add(InstanceId(f"entry-{number}"))
        fleet.refresh_views()
        number += 1
    fleet.refused.clear()
    low = [SLOTS]

    def watch():
        heavy_demand(fleet, [entry], hold_s=0.3, each=10)()
        low[0] = min(low[0], fleet.open_total())

    fleet.run(WARM_UP_S + 4, watch)
    check.assertGreater(low[0], SLOTS // 2)


def test_a_lost_answer_leaves_no_slot_granted_twice():
    # One entry holds every slot, and another wants half of them. The home reduces the first
    # entry's slice, but that answer is lost, so the first entry continues with what it kept.
    fleet, home, others = fleet_and_home()
    first, second = others[:2]
    fleet.run(3, heavy_demand(fleet, [first], hold_s=0.2, each=10))
    fleet.cut([home], [first], both=False)
    peak_open = [0]

    def watch():
        heavy_demand(fleet, [first, second], hold_s=0.2, each=10)()
        peak_open[0] = max(peak_open[0], fleet.open_total())

    fleet.run(SLICE_TTL_S - 1.5, watch)
    check.assertLessEqual(peak_open[0], SLOTS)
    fleet.run(20, watch)
    check.assertLessEqual(peak_open[0], SLOTS + fallback_slots([first]))


def test_an_entry_without_answers_from_its_home_uses_its_share():
    # Queries arrive, answers are lost. The entry falls back to its conservative share and returns
    # to slices when the connection is restored.
    fleet, home, others = fleet_and_home()
    entry = others[0]
    fleet.cut([home], [entry], both=False)
    fleet.run(15, heavy_demand(fleet, [entry]))
    check.assertIs(entry.entry.mode(fleet.now, "acme"), Mode.FALLBACK)
    check.assertEqual(len(entry.ends), fallback_slots([entry]))
    fleet.cuts.clear()
    fleet.run(10, heavy_demand(fleet, [entry]))
    check.assertEqual(len(entry.ends), SLOTS)


def test_an_entry_that_receives_no_answers_takes_nothing_from_the_others():
    fleet, home, others = fleet_and_home()
    fleet.cut([home], [others[0]], both=False)
    fleet.run(15, heavy_demand(fleet, [others[0]], hold_s=0.2))
    grant = home.home._grants_by_account["acme"]._grant_by_entry[others[0].name]
    check.assertEqual(grant.want.rate, 0)
    check.assertLessEqual(grant.want.slots, fallback_slots([others[0]]))
    fleet.run(10, heavy_demand(fleet, others[:2], hold_s=0.2))
    fleet.run(1, heavy_demand(fleet, [others[1]], hold_s=LONG_HOLD_S, each=10))
    check.assertGreaterEqual(len(others[1].ends), SLOTS - fallback_slots([others[0]]))


def test_both_sides_of_a_partition_stay_within_the_bound():
    # The fleet is split into two partitions under full demand, each with its own home. After the
    # split has healed and the streams have ended, the contract holds again.
    fleet, _, _ = fleet_and_home()
    left, right = fleet.nodes()[:3], fleet.nodes()[3:]
    demand = heavy_demand(fleet, fleet.nodes(), hold_s=3.0)
    peak_open, peak_part_open = [0], [0]

    def watch():
        demand()
        peak_open[0] = max(peak_open[0], fleet.open_total())

    fleet.run(10, watch)
    check.assertLessEqual(peak_open[0], SLOTS)
    fleet.cut(left, right)
    fleet.run(4, watch)
    for side in (left, right):
        for node in side:
            fleet.set_view(node, [member.name for member in side])
    fleet.run(20, watch)
    check.assertLessEqual(peak_open[0], 3 * SLOTS)

    def watch_parts():
        watch()
        peak_part_open[0] = max(
            peak_part_open[0], *(sum(len(n.ends) for n in s) for s in (left, right))
        )

    fleet.run(20, watch_parts)
    check.assertEqual(peak_part_open[0], SLOTS)
    fleet.cuts.clear()
    fleet.refresh_views()
    fleet.run(20, demand)
    peak_open[0] = 0
    fleet.run(20, watch)
    check.assertEqual(peak_open[0], SLOTS)


def test_two_homes_by_outdated_views_stay_within_the_bound():
    # Half of the entries still consider an instance live that the other half dropped, so two
    # instances grant the limits of one account as long as the views differ.
    fleet, home, others = fleet_and_home()
    demand = heavy_demand(fleet, others, hold_s=1.0)
    peak_open = [0]

    def watch():
        demand()
        peak_open[0] = max(peak_open[0], fleet.open_total())

    for node in others[:3]:
        fleet.set_view(node, [member.name for member in others])
    fleet.run(40, watch)
    check.assertGreater(peak_open[0], SLOTS)
    check.assertLessEqual(peak_open[0], 3 * SLOTS)


def test_flapping_membership_never_stops_an_account_and_stays_within_the_bound():
    # The home repeatedly disappears from the list and reappears. Every change makes a new home
    # that has to warm up; entries continue with what they keep and with their shares.
    fleet, home, others = fleet_and_home()
    demand = heavy_demand(fleet, others, hold_s=0.5)
    peak_open = [0]

    def watch():
        demand()
        peak_open[0] = max(peak_open[0], fleet.open_total())

    for round_number in range(30):
        live = [node.name for node in (others if round_number % 2 else fleet.nodes())]
        for node in fleet.nodes():
            fleet.set_view(node, live)
        before = len(fleet.admitted)
        fleet.run(1, watch)
        check.assertGreater(len(fleet.admitted), before)
    check.assertLessEqual(peak_open[0], 2 * SLOTS)


def test_repeated_fallback_creates_no_new_burst():
    # An entry repeatedly loses and regains its home. A fallback bucket that started full each
    # time would admit a burst each time.
    acme = contract(rate=0.01, burst=30, concurrency=1000)
    fleet = Fleet(3, [acme])
    home = fleet.home_of("acme")
    entry = fleet.others(home)[0]
    for _ in range(12):
        fleet.cut([home], [entry])
        fleet.run(7, lambda: fleet.request(entry))
        fleet.cuts.clear()
        fleet.run(7, lambda: fleet.request(entry))
    # The contract's burst through the home, and the entry's portion of it by its share.
    check.assertLessEqual(len(fleet.admitted), 30 + 10 + 2 * 0.01 * fleet.now)


def test_the_rate_holds_while_the_home_changes():
    # Homes are killed one after another under full demand. No home starts with a new burst.
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
    # One bucket of the homes and one of the conservative shares.
    check.assertLessEqual(required_burst(times, 2), 2 * 60)
