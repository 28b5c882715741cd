"""Limits when homes and entries die, stand still, or get messages late or never."""

from egretstack.errors import EgretError
from egretstack.ids import AccountId, InstanceId
from egretstack.limits import (
    MAX_READY_WAIT_S,
    MAX_VIEW_LAG_S,
    SLICE_TTL_S,
    WARM_UP_S,
    GrantRequest,
    GrantStatus,
    HomeLocator,
    LimitsHome,
    Mode,
    Share,
    make_query,
)
from egretstack.limits._homes import rank
from egretstack.limits._messages import parse_answer
from tests.limits_faults import ACME, LONG_S, SLOTS, fallback_of, fleet_and_home, press
from tests.support import check, tests_of

load_tests = tests_of(globals())


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
    fleet.refresh_views()
    fleet.run(WARM_UP_S + 2)
    fleet.run(5, press(fleet, [others[2]], each=30))
    check.assertEqual(fleet.open_total(), SLOTS)


def test_a_new_home_lends_nothing_while_slices_of_the_old_one_live():
    # One entry holds all slots, none of them in use, when the home is killed; the way from it to
    # the new home is cut. Were the new home to lend at once, callers at another entry would get
    # all slots while the first entry may still admit by its old slice.
    fleet, home, others = fleet_and_home()
    old = others[0]
    fleet.run(3, press(fleet, [old], hold_s=0.1, each=10))
    check.assertGreater(old.entry._state_by_account["acme"].granted.slots, SLOTS // 2)
    fleet.kill(home)
    fleet.refresh_views()
    new = fleet.home_of("acme")
    rest = [node for node in others if node is not old]
    fleet.cut([old], rest)
    asker = next(node for node in rest if node is not new)
    most = [0]

    def watch():
        press(fleet, [old, asker], hold_s=0.5, each=10)()
        most[0] = max(most[0], fleet.open_total())

    fleet.run(SLICE_TTL_S, watch)
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
    home.paused = True
    live = [node.name for node in others]
    for node in others:
        if node is not lagging:
            fleet.set_view(node, live)
    check.assertIs(fleet.home_of("acme", served), new)
    fleet.run(WARM_UP_S + SLICE_TTL_S)
    fleet.run(5, press(fleet, [served]))
    check.assertEqual(len(served.ends), SLOTS)
    home.paused = False
    fleet.run(MAX_VIEW_LAG_S, press(fleet, [lagging]))
    check.assertLessEqual(len(lagging.ends), fallback_of([lagging]))
    fleet.set_view(home, live)
    fleet.run(WARM_UP_S, press(fleet, [lagging]))
    check.assertLessEqual(fleet.open_total(), SLOTS + fallback_of([lagging]))


def test_a_thawed_entry_admits_nothing_by_its_old_slice():
    # An entry holds all slots and is frozen. The home lends them to another entry. Thawed, the
    # first entry still has its slice in memory, and a caller's request is read first of all.
    fleet, _, others = fleet_and_home()
    first, second = others[:2]
    fleet.run(3, press(fleet, [first], hold_s=0.1, each=10))
    fleet.run(0.2)
    first.paused = True
    fleet.run(SLICE_TTL_S + 1)
    fleet.run(5, press(fleet, [second]))
    check.assertEqual(len(second.ends), SLOTS)
    first.paused = False
    fleet.run(5, press(fleet, [first]))
    check.assertEqual(len(first.ends), 0)


def test_an_answer_that_comes_late_gives_nothing():
    # The home answers, and the answer is stuck on the way for longer than the slice lives.
    fleet, _, others = fleet_and_home()
    entry = others[0].entry
    fleet.now += 1
    check.assertTrue(entry.should_wait(fleet.now, ACME))
    entry.count_waiting("acme", 1)
    (ask,) = entry.due_queries(fleet.now)
    home = fleet.node_by_name[ask.home].home
    answer = home.answer(fleet.now, others[0].name, ask.message, {"acme": ACME})
    entry.on_answer(fleet.now + SLICE_TTL_S, ask, answer)
    check.assertIs(entry.mode(fleet.now + SLICE_TTL_S, "acme"), Mode.COLD)


def test_a_new_home_is_told_at_once_what_is_open():
    # Streams are open whose slice is renewed only every 9 s, and their home leaves the list. The
    # new home lends after 6 s; told at the next renewal, it would lend their slots before that.
    fleet, home, others = fleet_and_home()
    for _ in range(20):
        fleet.request(others[0], hold_s=LONG_S)
    fleet.run(4)
    check.assertEqual(others[0].entry.due_queries(fleet.now), [])
    fleet.set_view(others[0], [node.name for node in others])
    (ask,) = others[0].entry.due_queries(fleet.now)
    check.assertEqual(ask.home, fleet.home_of("acme", others[0]).name)
    check.assertEqual(ask.pending_by_account["acme"].open, 20)


def test_tokens_for_waiting_requests_lapse_soon():
    # The requests that waited have left before the answer came. The home fills its bucket again
    # 0.25 s after the ask, so the tokens must not be used after that.
    fleet, _, others = fleet_and_home()
    entry = others[0].entry
    fleet.now += 1
    check.assertTrue(entry.should_wait(fleet.now, ACME))
    entry.count_waiting("acme", 5)
    (ask,) = entry.due_queries(fleet.now)
    home = fleet.node_by_name[ask.home].home
    answer = home.answer(fleet.now, others[0].name, ask.message, {"acme": ACME})
    entry.on_answer(fleet.now + 0.1, ask, answer)
    entry.count_waiting("acme", -5)
    entry.open(fleet.now + 0.2, ACME)
    with check.assertRaises(EgretError):
        entry.open(fleet.now + 1, ACME)


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


def test_an_instance_that_is_not_the_home_lends_nothing():
    fleet, home, others = fleet_and_home()
    row = GrantRequest(AccountId("acme"), 0, 1, Share(), Share(1, 2, 3), 0.0)
    answer = others[0].home.answer(
        fleet.now, home.name, make_query(home.name, 1, [row]), {"acme": ACME}
    )
    (grant,) = parse_answer(answer, 1)
    check.assertEqual((grant.status, grant.share), (GrantStatus.NOT_HOME, Share()))


class OneHome:
    """A home that is asked by hand; `now_s` is past its warm-up unless `warm` is false."""

    def __init__(self, warm=True):
        self.own = InstanceId("entry-a")
        homes = HomeLocator(0.0)
        homes.update_view(0.0, {self.own: "zone"})
        self._home = LimitsHome(self.own, homes, 0.0)
        self.now_s = 0.0
        if warm:
            self.warm_up()

    def warm_up(self):
        while self.now_s < WARM_UP_S + 1:
            self.now_s += 1.0
            self._home.tick(self.now_s)

    def ask(self, entry, serial, open=0, waiting=0, keep=0, want=0):
        """Ask for slots; give the grant."""
        kept, wanted = Share(0, 0, keep), Share(0, 0, want)
        row = GrantRequest(AccountId("acme"), open, waiting, kept, wanted, 0.0)
        ask = make_query(InstanceId(entry), serial, [row])
        answer = self._home.answer(self.now_s, InstanceId(entry), ask, {"acme": ACME})
        return parse_answer(answer, 1)[0]


def test_a_late_ask_does_not_undo_a_newer_one():
    # An ask is stuck on a broken link while the entry asks again over another. The home gets the
    # old one last; taking it would count fewer slots than the entry has.
    home = OneHome()
    check.assertEqual(home.ask("entry-b", 2, open=40, want=40).share.slots, 40)
    check.assertEqual(home.ask("entry-b", 1).share.slots, 0)
    check.assertEqual(home.ask("entry-c", 1, waiting=SLOTS, want=SLOTS).share.slots, SLOTS - 40)


def test_what_an_entry_keeps_is_not_lent_while_the_answer_is_under_way():
    # An entry keeps 40 slots, none in use, and is granted fewer since another entry wants many.
    # Until it has that answer, which may be lost, its callers may use all 40.
    home = OneHome()
    check.assertEqual(home.ask("entry-b", 1, waiting=40, want=40).share.slots, 40)
    home.ask("entry-c", 2, waiting=SLOTS, want=SLOTS)
    check.assertLess(home.ask("entry-b", 2, waiting=40, keep=40, want=40).share.slots, 40)
    check.assertEqual(home.ask("entry-c", 3, waiting=SLOTS, want=SLOTS).share.slots, SLOTS - 40)


def test_a_new_home_counts_what_is_open_at_entries_that_hold_no_slice():
    # The slices ended before the new home was known, so an entry reports open streams and keeps
    # nothing. The new home must not lend their slots.
    home = OneHome(warm=False)
    home.now_s = WARM_UP_S - 1
    home._home.tick(home.now_s - 0.5)
    home._home._new_since_s = 0.0
    check.assertIs(home.ask("entry-b", 1, open=40).status, GrantStatus.WARMING)
    home.now_s += 1.2
    check.assertEqual(home.ask("entry-c", 1, waiting=SLOTS, want=SLOTS).share.slots, SLOTS - 40)


def test_a_home_that_answers_with_too_little_is_not_silent():
    # Another entry holds every slot. A request waits here while the home answers once, with no
    # slot, and then times out. Were that taken for the home's silence, the conservative share
    # would come on top of the contract though nothing is broken.
    fleet, _, others = fleet_and_home()
    fleet.run(3, press(fleet, [others[0]]))
    entry = others[1].entry
    began_s = fleet.now
    check.assertTrue(entry.should_wait(began_s, ACME))
    entry.count_waiting("acme", 1)
    (ask,) = entry.due_queries(began_s)
    home = fleet.node_by_name[ask.home].home
    answer = home.answer(began_s, others[1].name, ask.message, {"acme": ACME})
    entry.on_answer(began_s + 0.1, ask, answer)
    entry.on_wait_timeout(began_s + MAX_READY_WAIT_S, "acme")
    entry.count_waiting("acme", -1)
    with check.assertRaises(EgretError):
        entry.open(began_s + MAX_READY_WAIT_S, ACME)
