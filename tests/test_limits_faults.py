"""Limits under faults: homes killed, frozen, cut off; both sides of a partition; lost messages.

The bound: with the fleet in P parts, open requests of an account number at most P + 1 times its
contract: each part's home lends the contract once, and what entries without a home add from
their conservative shares makes up at most the contract once more.
"""

import random

from egretstack.ids import AccountId, InstanceId
from egretstack.limits import (
    LIFE_S,
    VIEW_LAG_S,
    WARM_UP_S,
    AskRow,
    Homes,
    HomeSide,
    Mode,
    Share,
    Standing,
    make_ask,
    whole_of,
)
from egretstack.limits._homes import rank
from egretstack.limits._messages import answer_grants
from tests.limits_fleet import Fleet, contract, most_in_bucket
from tests.support import check, tests_of

load_tests = tests_of(globals())

LONG_S = 1000.0
SLOTS = 48
ACME = contract(rate=1000, burst=1000, concurrency=SLOTS)


def fleet_and_home(count=6):
    """Give a settled fleet, the home of acme, and the other nodes."""
    fleet = Fleet(count, [ACME])
    home = fleet.home_of("acme")
    return fleet, home, fleet.others(home)


def press(fleet, nodes, hold_s=LONG_S, each=4):
    """Give a demand, far above the limits, on some nodes."""

    def demand():
        for node in nodes:
            for _ in range(each):
                fleet.request(node, hold_s=hold_s)

    return demand


def fallback_of(nodes):
    """Give how many slots the conservative shares of nodes come to, in their own views."""
    whole = whole_of(ACME)
    return sum(node.homes.conservative("acme", node.name, whole).slots for node in nodes)


def test_the_conservative_shares_make_up_the_contract():
    fleet = Fleet(7, [ACME])
    whole = whole_of(contract(rate=7, burst=5, concurrency=50))
    shares = [node.homes.conservative("acme", node.name, whole) for node in fleet.nodes()]
    check.assertEqual(sum(share.slots for share in shares), 50)
    check.assertEqual(sum(share.burst for share in shares), 5)
    check.assertLessEqual(sum(share.rate for share in shares), 7)


def test_a_home_that_was_killed_is_followed_by_one_that_counts_what_is_open():
    # Forty streams run on two entries when the home is killed. The next home starts with no
    # record of them. It hears of them before it lends, so new requests get what is left.
    fleet, home, others = fleet_and_home()
    for _ in range(20):
        fleet.request(others[0], hold_s=LONG_S)
        fleet.request(others[1], hold_s=LONG_S)
    fleet.run(3)
    check.assertEqual(fleet.open_total(), 40)
    fleet.kill(home)
    fleet.tell_all()
    fleet.run(WARM_UP_S + 2)
    fleet.run(5, press(fleet, [others[2]]))
    check.assertEqual(fleet.open_total(), SLOTS)


def test_slices_go_on_while_the_home_changes():
    # An instance joins and becomes the home of an account. It lends nothing at first, but an
    # entry keeps the slice it holds, so its callers notice nothing.
    fleet, _, others = fleet_and_home(3)
    entry = fleet.nodes()[0]
    fleet.run(3, press(fleet, [entry], hold_s=0.3, each=10))
    number = 3
    while fleet.home_of("acme").name.endswith(("-0", "-1", "-2")):
        fleet._add(InstanceId(f"entry-{number}"))
        fleet.tell_all()
        number += 1
    fleet.refused.clear()
    low = [SLOTS]

    def watch():
        press(fleet, [entry], hold_s=0.3, each=10)()
        low[0] = min(low[0], fleet.open_total())

    fleet.run(WARM_UP_S + 4, watch)
    check.assertGreater(low[0], SLOTS // 2)


def test_a_new_home_lends_nothing_while_slices_of_the_old_one_live():
    # One entry holds all slots, none of them in use, when the home is killed; the way from it to
    # the new home is cut. Were the new home to lend at once, callers at another entry would get
    # all slots while the first entry may still admit by its old slice.
    fleet, home, others = fleet_and_home()
    old = others[0]
    fleet.run(3, press(fleet, [old], hold_s=0.1, each=10))
    check.assertGreater(old.entry._held_by_account["acme"].share.slots, SLOTS // 2)
    fleet.kill(home)
    fleet.tell_all()
    new = fleet.home_of("acme")
    rest = [node for node in others if node is not old]
    fleet.cut([old], rest)
    asker = next(node for node in rest if node is not new)
    most = [0]

    def watch():
        press(fleet, [old, asker], hold_s=0.5, each=10)()
        most[0] = max(most[0], fleet.open_total())

    fleet.run(LIFE_S, watch)
    check.assertLessEqual(most[0], SLOTS + fallback_of([asker]))
    most[0] = 0
    fleet.run(WARM_UP_S + 3, watch)
    check.assertGreaterEqual(most[0], SLOTS)
    check.assertLessEqual(most[0], SLOTS + fallback_of([old]))


def test_a_thawed_home_does_not_lend_from_its_old_state():
    # The home is frozen; the others take another home, which lends every slot. Then the old home
    # thaws. Its view and its records are as they were, and one entry, whose view lags as well,
    # still asks it. It must not lend the slots a second time.
    fleet, home, others = fleet_and_home()
    ranked = sorted(others, key=lambda node: rank("acme", node.name))
    new, served, lagging = ranked[:3]
    fleet.run(2, press(fleet, [served], hold_s=0.1))
    home.frozen = True
    live = [node.name for node in others]
    for node in others:
        if node is not lagging:
            fleet.tell(node, live)
    check.assertIs(fleet.home_of("acme", served), new)
    fleet.run(WARM_UP_S + LIFE_S)
    fleet.run(5, press(fleet, [served]))
    check.assertEqual(len(served.ends), SLOTS)
    home.frozen = False
    fleet.run(VIEW_LAG_S, press(fleet, [lagging]))
    check.assertLessEqual(len(lagging.ends), fallback_of([lagging]))
    fleet.tell(home, live)
    fleet.run(WARM_UP_S, press(fleet, [lagging]))
    check.assertLessEqual(fleet.open_total(), SLOTS + fallback_of([lagging]))


def test_a_thawed_entry_admits_nothing_by_its_old_slice():
    # An entry holds all slots and is frozen. The home lends them to another entry. Thawed, the
    # first entry still has its slice in memory, and a caller's request is read first of all.
    fleet, _, others = fleet_and_home()
    first, second = others[:2]
    fleet.run(3, press(fleet, [first], hold_s=0.1, each=10))
    fleet.run(0.2)
    first.frozen = True
    fleet.run(LIFE_S + 1)
    fleet.run(5, press(fleet, [second]))
    check.assertEqual(len(second.ends), SLOTS)
    first.frozen = False
    fleet.run(5, press(fleet, [first]))
    check.assertEqual(len(first.ends), 0)


def test_an_answer_that_comes_late_gives_nothing():
    # The home answers, and the answer is stuck on the way for longer than the slice lives.
    fleet, _, others = fleet_and_home()
    entry = others[0].entry
    fleet.now += 1
    check.assertTrue(entry.should_wait(fleet.now, ACME))
    entry.wait("acme", 1)
    (ask,) = entry.due(fleet.now)
    home = fleet.node_by_name[ask.home].home
    answer = home.answer(fleet.now, ask.message, {"acme": ACME})
    entry.answered(fleet.now + LIFE_S, ask, answer)
    check.assertIs(entry.mode(fleet.now + LIFE_S, "acme"), Mode.COLD)


def test_slots_of_a_dead_entry_come_back():
    # An entry with every slot in use is killed. Nobody gives the slots back; the home takes them
    # back when the slice's life is over.
    fleet, _, others = fleet_and_home()
    fleet.run(3, press(fleet, [others[0]]))
    check.assertEqual(fleet.open_total(), SLOTS)
    fleet.kill(others[0])
    fleet.run(20)
    fleet.run(5, press(fleet, [others[1]]))
    check.assertEqual(fleet.open_total(), SLOTS)


def test_long_streams_stay_counted_after_their_slice_has_ended():
    # Every slot is in use by streams that run for minutes, and no new request arrives for their
    # entry. Another entry must not be lent the same slots.
    fleet, _, others = fleet_and_home()
    fleet.run(3, press(fleet, [others[0]]))
    fleet.run(60)
    fleet.run(30, press(fleet, [others[1]]))
    check.assertEqual(fleet.open_total(), SLOTS)


def test_slots_of_streams_that_end_come_back_soon():
    # An entry holds slots only for its open streams and renews seldom. When half of them end, it
    # tells the home at once.
    fleet, _, others = fleet_and_home()
    for _ in range(SLOTS):
        fleet.request(others[0], hold_s=30.0)
    fleet.run(32)
    fleet.run(1, press(fleet, [others[1]]))
    check.assertEqual(len(others[1].ends), SLOTS)


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

    fleet.run(LIFE_S - 1.5, watch)
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
            fleet.tell(node, [member.name for member in side])
    fleet.run(20, watch)
    check.assertLessEqual(most[0], 3 * SLOTS)

    def watch_parts():
        watch()
        part_most[0] = max(part_most[0], *(sum(len(n.ends) for n in s) for s in (one, other)))

    fleet.run(20, watch_parts)
    check.assertEqual(part_most[0], SLOTS)
    fleet.cuts.clear()
    fleet.tell_all()
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
        fleet.tell(node, [member.name for member in others])
    fleet.run(40, watch)
    check.assertGreater(most[0], SLOTS)
    check.assertLessEqual(most[0], 3 * SLOTS)


def test_an_instance_that_is_not_the_home_lends_nothing():
    fleet, home, others = fleet_and_home()
    row = AskRow(AccountId("acme"), 0, 1, Share(), Share(1, 2, 3), 0.0)
    answer = others[0].home.answer(fleet.now, make_ask(home.name, 1, [row]), {"acme": ACME})
    (grant,) = answer_grants(answer, 1)
    check.assertEqual((grant.standing, grant.share), (Standing.NOT_HOME, Share()))


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
            fleet.tell(node, live)
        before = len(fleet.admitted)
        fleet.run(1, watch)
        check.assertGreater(len(fleet.admitted), before)
    check.assertLessEqual(most[0], 2 * SLOTS)


def test_falling_back_again_and_again_makes_no_new_burst():
    # An entry loses its home, finds it, and loses it again. A share that started full each time
    # would let a burst through at every turn.
    acme = contract(rate=1, burst=30, concurrency=1000)
    fleet = Fleet(3, [acme])
    home = fleet.home_of("acme")
    entry = fleet.others(home)[0]
    for _ in range(12):
        fleet.cut([home], [entry])
        fleet.run(7, lambda: fleet.request(entry))
        fleet.cuts.clear()
        fleet.run(7, lambda: fleet.request(entry))
    times = [time for time, _, _ in fleet.admitted]
    check.assertLessEqual(len(times), 2 * (30 + fleet.now * 1))
    check.assertLessEqual(most_in_bucket(times, 2), 60)


def test_a_late_ask_does_not_undo_a_newer_one():
    # An ask is stuck on a broken link while the entry asks again over another. The home gets the
    # old one last; taking it would count fewer slots than the entry has.
    homes = Homes(0.0)
    own, entry = InstanceId("entry-a"), InstanceId("entry-b")
    homes.see(0.0, {own: "zone"})
    home = HomeSide(own, homes, 0.0)
    known = {AccountId("acme"): ACME}
    now = 0.0
    while now < WARM_UP_S + 1:
        now += 1.0
        home.beat(now)

    def ask(sender, serial, row):
        return answer_grants(home.answer(now, make_ask(sender, serial, [row]), known), 1)[0]

    old = AskRow(AccountId("acme"), 0, 0, Share(), Share(), 0.0)
    new = AskRow(AccountId("acme"), 40, 0, Share(), Share(1, 2, 40), 0.0)
    check.assertEqual(ask(entry, 2, new).share.slots, 40)
    check.assertEqual(ask(entry, 1, old).share.slots, 0)
    other = AskRow(AccountId("acme"), 0, 0, Share(), Share(1, 2, SLOTS), 0.0)
    check.assertEqual(ask(InstanceId("entry-c"), 1, other).share.slots, SLOTS - 40)


def test_the_rate_holds_while_the_home_changes():
    # Homes die one after the other under full demand. No home starts with a burst.
    acme = contract(rate=10, burst=20, concurrency=1000)
    fleet = Fleet(8, [acme])
    rng = random.Random(3)

    def demand():
        for node in fleet.nodes():
            if rng.random() < 0.3:
                fleet.request(node)

    fleet.run(10, demand)
    for _ in range(3):
        fleet.kill(fleet.home_of("acme"))
        fleet.tell_all()
        fleet.run(15, demand)
    times = [time for time, _, _ in fleet.admitted]
    # One bucket of the homes, and one of the conservative shares.
    check.assertLessEqual(most_in_bucket(times, 20), 40)
