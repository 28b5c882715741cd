"""Limits when homes and entries are killed or paused, or messages are late or lost."""

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
from tests.limits_faults import (
    ACME,
    LONG_HOLD_S,
    SLOTS,
    fallback_slots,
    fleet_and_home,
    heavy_demand,
)
from tests.support import check, tests_of

load_tests = tests_of(globals())


def test_the_home_after_a_killed_one_counts_the_open_requests():
    # Forty streams run on two entries when the home is killed. The next home starts without
    # grants for them. It has to learn of them before it grants, so new requests get the rest.
    fleet, home, others = fleet_and_home()
    for _ in range(20):
        fleet.request(others[0], hold_s=LONG_HOLD_S)
        fleet.request(others[1], hold_s=LONG_HOLD_S)
    fleet.run(3)
    check.assertEqual(fleet.open_total(), 40)
    fleet.kill(home)
    fleet.refresh_views()
    fleet.run(WARM_UP_S + 2)
    fleet.run(5, heavy_demand(fleet, [others[2]], each=30))
    check.assertEqual(fleet.open_total(), SLOTS)


def test_a_new_home_grants_nothing_while_slices_of_the_old_one_are_valid():
    # One entry holds all slots, all unused, when the home is killed, and it can't reach the new
    # home. If the new home granted immediately, another entry would get all slots while the
    # first one may still admit by its old slice.
    fleet, home, others = fleet_and_home()
    old = others[0]
    fleet.run(3, heavy_demand(fleet, [old], hold_s=0.1, each=10))
    check.assertGreater(old.entry._state_by_account["acme"].granted.slots, SLOTS // 2)
    fleet.kill(home)
    fleet.refresh_views()
    new = fleet.home_of("acme")
    remaining = [node for node in others if node is not old]
    fleet.cut([old], remaining)
    requester = next(node for node in remaining if node is not new)
    peak_open = [0]

    def watch():
        heavy_demand(fleet, [old, requester], hold_s=0.5, each=10)()
        peak_open[0] = max(peak_open[0], fleet.open_total())

    fleet.run(SLICE_TTL_S, watch)
    check.assertLessEqual(peak_open[0], SLOTS + fallback_slots([requester]))
    peak_open[0] = 0
    fleet.run(WARM_UP_S + 3, watch)
    check.assertGreaterEqual(peak_open[0], SLOTS)
    check.assertLessEqual(peak_open[0], SLOTS + fallback_slots([old]))


def test_a_home_resumed_after_a_pause_does_not_grant_from_its_old_state():
    # The home is paused, and another one grants every slot. Then the old home resumes with its
    # old view and grants, and one entry with an outdated view still queries it. It must not grant
    # the slots a second time.
    fleet, home, others = fleet_and_home()
    ranked = sorted(others, key=lambda node: rank("acme", node.name))
    new, served, lagging = ranked[:3]
    fleet.run(2, heavy_demand(fleet, [served], hold_s=0.1))
    home.paused = True
    live = [node.name for node in others]
    for node in others:
        if node is not lagging:
            fleet.set_view(node, live)
    check.assertIs(fleet.home_of("acme", served), new)
    fleet.run(WARM_UP_S + SLICE_TTL_S)
    fleet.run(5, heavy_demand(fleet, [served]))
    check.assertEqual(len(served.ends), SLOTS)
    home.paused = False
    fleet.run(MAX_VIEW_LAG_S, heavy_demand(fleet, [lagging]))
    check.assertLessEqual(len(lagging.ends), fallback_slots([lagging]))
    fleet.set_view(home, live)
    fleet.run(WARM_UP_S, heavy_demand(fleet, [lagging]))
    check.assertLessEqual(fleet.open_total(), SLOTS + fallback_slots([lagging]))


def test_an_entry_resumed_after_a_pause_admits_nothing_by_its_old_slice():
    # An entry holds all slots and is paused. The home grants them to another entry. When the
    # first entry resumes, it still has its slice in memory and reads a request before anything
    # else.
    fleet, _, others = fleet_and_home()
    first, second = others[:2]
    fleet.run(3, heavy_demand(fleet, [first], hold_s=0.1, each=10))
    fleet.run(0.2)
    first.paused = True
    fleet.run(SLICE_TTL_S + 1)
    fleet.run(5, heavy_demand(fleet, [second]))
    check.assertEqual(len(second.ends), SLOTS)
    first.paused = False
    fleet.run(5, heavy_demand(fleet, [first]))
    check.assertEqual(len(first.ends), 0)


def test_an_answer_after_the_slice_expired_gives_nothing():
    # The answer of the home is delayed for longer than the time to live of the slice.
    fleet, _, others = fleet_and_home()
    entry = others[0].entry
    fleet.now += 1
    check.assertTrue(entry.should_wait(fleet.now, ACME))
    entry.count_waiting("acme", 1)
    (query,) = entry.due_queries(fleet.now)
    home = fleet.node_by_name[query.home].home
    answer = home.answer(fleet.now, others[0].name, query.message, {"acme": ACME})
    entry.on_answer(fleet.now + SLICE_TTL_S, query, answer)
    check.assertIs(entry.mode(fleet.now + SLICE_TTL_S, "acme"), Mode.COLD)


def test_open_requests_are_reported_to_a_new_home_at_once():
    # The slice of open streams is renewed only every 9 s, and their home leaves the list. The
    # new home grants after 6 s; if it learned of the streams only at the next renewal, it would
    # have granted their slots before that.
    fleet, home, others = fleet_and_home()
    for _ in range(20):
        fleet.request(others[0], hold_s=LONG_HOLD_S)
    fleet.run(4)
    check.assertEqual(others[0].entry.due_queries(fleet.now), [])
    fleet.set_view(others[0], [node.name for node in others])
    (query,) = others[0].entry.due_queries(fleet.now)
    check.assertEqual(query.home, fleet.home_of("acme", others[0]).name)
    check.assertEqual(query.pending_by_account["acme"].open, 20)


def test_tokens_for_waiting_requests_expire_soon():
    # The waiting requests have left before the answer arrived. The home refills its bucket
    # 0.25 s after the query, so the tokens must not be used after that.
    fleet, _, others = fleet_and_home()
    entry = others[0].entry
    fleet.now += 1
    check.assertTrue(entry.should_wait(fleet.now, ACME))
    entry.count_waiting("acme", 5)
    (query,) = entry.due_queries(fleet.now)
    home = fleet.node_by_name[query.home].home
    answer = home.answer(fleet.now, others[0].name, query.message, {"acme": ACME})
    entry.on_answer(fleet.now + 0.1, query, answer)
    entry.count_waiting("acme", -5)
    entry.open(fleet.now + 0.2, ACME)
    with check.assertRaises(EgretError):
        entry.open(fleet.now + 1, ACME)


def test_slots_of_a_killed_entry_are_recovered():
    # An entry with every slot in use is killed. Nobody returns the slots; the home recovers them
    # when the slice expires.
    fleet, _, others = fleet_and_home()
    fleet.run(3, heavy_demand(fleet, [others[0]]))
    check.assertEqual(fleet.open_total(), SLOTS)
    fleet.kill(others[0])
    fleet.run(20)
    fleet.run(5, heavy_demand(fleet, [others[1]]))
    check.assertEqual(fleet.open_total(), SLOTS)


def test_long_streams_stay_counted_after_their_slice_expired():
    # Every slot is in use by streams that run for minutes, and their entry gets no new request.
    # Another entry must not be granted the same slots.
    fleet, _, others = fleet_and_home()
    fleet.run(3, heavy_demand(fleet, [others[0]]))
    fleet.run(60)
    fleet.run(30, heavy_demand(fleet, [others[1]]))
    check.assertEqual(fleet.open_total(), SLOTS)


def test_slots_of_ended_streams_are_returned_soon():
    # An entry holds slots only for its open streams and renews rarely. When half of them have
    # ended, it queries the home soon.
    fleet, _, others = fleet_and_home()
    for _ in range(SLOTS):
        fleet.request(others[0], hold_s=30.0)
    fleet.run(32)
    fleet.run(1, heavy_demand(fleet, [others[1]]))
    check.assertEqual(len(others[1].ends), SLOTS)


def test_an_instance_that_is_not_the_home_grants_nothing():
    fleet, home, others = fleet_and_home()
    row = GrantRequest(AccountId("acme"), 0, 1, Share(), Share(1, 2, 3), 0.0)
    answer = others[0].home.answer(
        fleet.now, home.name, make_query(home.name, 1, [row]), {"acme": ACME}
    )
    (grant,) = parse_answer(answer, 1)
    check.assertEqual((grant.status, grant.share), (GrantStatus.NOT_HOME, Share()))


class SingleHome:
    """A home that is queried directly; `now_s` is past its warm-up unless `warmed_up` is false."""

    def __init__(self, warmed_up=True):
        self.own = InstanceId("entry-a")
        homes = HomeLocator(0.0)
        homes.update_view(0.0, {self.own: "zone"})
        self._home = LimitsHome(self.own, homes, 0.0)
        self.now_s = 0.0
        if warmed_up:
            self.warm_up()

    def warm_up(self):
        while self.now_s < WARM_UP_S + 1:
            self.now_s += 1.0
            self._home.tick(self.now_s)

    def query(self, entry, serial, open=0, waiting=0, keep=0, want=0):
        """Query for slots; return the grant."""
        kept, wanted = Share(0, 0, keep), Share(0, 0, want)
        row = GrantRequest(AccountId("acme"), open, waiting, kept, wanted, 0.0)
        query = make_query(InstanceId(entry), serial, [row])
        answer = self._home.answer(self.now_s, InstanceId(entry), query, {"acme": ACME})
        return parse_answer(answer, 1)[0]


def test_a_late_query_does_not_undo_a_newer_one():
    # A query is delayed on a broken link while the entry sends another over a new link. The home
    # receives the old one last; applying it would count fewer slots than the entry holds.
    home = SingleHome()
    check.assertEqual(home.query("entry-b", 2, open=40, want=40).share.slots, 40)
    check.assertEqual(home.query("entry-b", 1).share.slots, 0)
    check.assertEqual(home.query("entry-c", 1, waiting=SLOTS, want=SLOTS).share.slots, SLOTS - 40)


def test_what_an_entry_keeps_is_not_granted_while_the_answer_is_in_flight():
    # An entry keeps 40 unused slots and is granted fewer because another entry wants many. Until
    # it receives that answer, which may be lost, its callers may use all 40.
    home = SingleHome()
    check.assertEqual(home.query("entry-b", 1, waiting=40, want=40).share.slots, 40)
    home.query("entry-c", 2, waiting=SLOTS, want=SLOTS)
    check.assertLess(home.query("entry-b", 2, waiting=40, keep=40, want=40).share.slots, 40)
    check.assertEqual(home.query("entry-c", 3, waiting=SLOTS, want=SLOTS).share.slots, SLOTS - 40)


def test_a_new_home_counts_open_requests_of_entries_without_a_slice():
    # The slices expired before the new home was known, so an entry reports open streams and keeps
    # nothing. The new home must not grant their slots.
    home = SingleHome(warmed_up=False)
    home.now_s = WARM_UP_S - 1
    home._home.tick(home.now_s - 0.5)
    home._home._new_since_s = 0.0
    check.assertIs(home.query("entry-b", 1, open=40).status, GrantStatus.WARMING)
    home.now_s += 1.2
    check.assertEqual(home.query("entry-c", 1, waiting=SLOTS, want=SLOTS).share.slots, SLOTS - 40)


def test_a_home_that_grants_too_little_is_not_unresponsive():
    # Another entry holds every slot. A request waits here while the home answers once without a
    # slot, and then times out. If that counted as an unresponsive home, the conservative share
    # would be added to the contract although nothing is broken.
    fleet, _, others = fleet_and_home()
    fleet.run(3, heavy_demand(fleet, [others[0]]))
    entry = others[1].entry
    began_s = fleet.now
    check.assertTrue(entry.should_wait(began_s, ACME))
    entry.count_waiting("acme", 1)
    (query,) = entry.due_queries(began_s)
    home = fleet.node_by_name[query.home].home
    answer = home.answer(began_s, others[1].name, query.message, {"acme": ACME})
    entry.on_answer(began_s + 0.1, query, answer)
    entry.on_wait_timeout(began_s + MAX_READY_WAIT_S, "acme")
    entry.count_waiting("acme", -1)
    with check.assertRaises(EgretError):
        entry.open(began_s + MAX_READY_WAIT_S, ACME)
