"""Which instances are live, which one is home, and which runners there are."""

import json
import zlib
from dataclasses import replace

import msgpack

from egretstack.fleet import (
    Fleet,
    InstanceState,
    RunnerState,
    RunnerTable,
    StoreReachability,
    pack_text,
    unpack_text,
)
from egretstack.ids import InstanceId, RunnerId
from standins.platform import configuration, route
from tests.fleet_fixtures import ENGINES, known_instance, runner
from tests.support import check, tests_of

load_tests = tests_of(globals())

COUNT = 7


def make_views(count=COUNT):
    """Return the views of instances that all received each other's reports at time 0."""
    everyone = [known_instance(number) for number in range(count)]
    views = []
    for own in everyone:
        view = Fleet(own, 0.0)
        for other in everyone:
            if other is not own:
                view.record_report(0.0, other)
        views.append(view)
    return views


def test_all_choose_the_same_home():
    homes = {view.home(0.1) for view in make_views()}
    check.assertEqual(len(homes), 1)


def test_reports_go_to_a_fixed_number_whatever_the_size():
    for count in (3, 7, 70):
        check.assertEqual({len(view.report_targets(0.1)) for view in make_views(count)}, {2})


def test_an_unresponsive_home_is_replaced():
    # The home is killed and its updates stop. The next in line, to which all have sent reports all
    # along, is home within a second; clients see nothing but worse placement meanwhile.
    views = make_views()
    home = {view.home(0.1) for view in views}.pop()
    others = [view for view in views if view.own.instance.id != home]
    later = {view.home(1.0) for view in others}
    check.assertEqual(len(later), 1)
    check.assertNotEqual(later, {home})


def test_an_unresponsive_home_that_comes_back_is_home_again():
    view = make_views()[0]
    home = view.home(0.1)
    if home == view.own.instance.id:
        view = make_views()[1]
    check.assertNotEqual(view.home(1.0), home)
    back = next(
        one
        for one in (known_instance(number) for number in range(COUNT))
        if one.instance.id == home
    )
    view.record_report(1.2, back)
    check.assertEqual(view.home(1.3), home)


def test_an_instance_without_the_store_is_not_home_while_another_has_it():
    everyone = [known_instance(number) for number in range(COUNT)]
    home = make_views()[0].home(0.1)
    view = Fleet(known_instance(99), 0.0)
    for other in everyone:
        view.record_report(
            0.0, known_instance(other.incarnation, reads_store=other.instance.id != home)
        )
    check.assertNotEqual(view.home(0.1), home)


def test_two_homes_do_not_keep_a_dead_instance_alive():
    # Two homes each listed a dead instance as live because the other one did, so that clients would
    # be sent there indefinitely. A home lists only instances whose reports came to itself.
    first, second = make_views()[:2]
    dead = known_instance(5)
    for moment in range(1, 40):
        now_s = moment * 0.25
        first.record_live_instances(now_s, second.own.instance.id, second.recently_reported(now_s))
        second.record_live_instances(now_s, first.own.instance.id, first.recently_reported(now_s))
    check.assertNotIn(dead.instance.id, {one.instance.id for one in first.live(10.0)})


def test_a_leaving_instance_is_known_at_once():
    view = make_views()[0]
    view.record_report(0.2, known_instance(3, InstanceState.LEAVING))
    states = {one.instance.id: one.state for one in view.live(0.3)}
    check.assertIs(states[InstanceId("entry-3")], InstanceState.LEAVING)


def test_a_new_instance_is_referred_to_the_live_ones():
    view = Fleet(known_instance(50), 0.0)
    view.add_listed(0.0, [known_instance(number) for number in range(COUNT)])
    view.record_referral(0.1, [known_instance(2), known_instance(3)])
    check.assertIn(view.home(0.2), {f"entry-{n}" for n in (*range(COUNT), 50)})
    check.assertEqual(
        {one.instance.id for one in view.live(0.2)}, {"entry-50", "entry-2", "entry-3"}
    )


def test_the_newest_configuration_is_found():
    view = Fleet(known_instance(0, version=4), 0.0)
    view.record_report(0.0, known_instance(1, version=7))
    view.record_report(0.0, known_instance(2, version=5))
    check.assertEqual([one.instance.id for one in view.newer_config_holders(0.1)], ["entry-1"])
    view.record_report(0.1, known_instance(2, version=7))
    holders = {one.instance.id for one in view.newer_config_holders(0.1)}
    check.assertEqual(holders, {"entry-1", "entry-2"})
    view.record_report(0.2, known_instance(1, version=4))
    view.record_report(0.2, known_instance(2, version=3))
    check.assertEqual(view.newer_config_holders(0.3), [])


def test_older_readings_of_the_runners_change_nothing():
    table = RunnerTable()
    table.apply_reading(0.0, [runner("a", state=RunnerState.LEAVING)], 20, 0.0)
    check.assertEqual(table.apply_reading(0.1, [runner("a")], 19, 0.1), [])
    check.assertFalse(table.is_ready(RunnerId("a")))


def test_a_notice_is_never_taken_back():
    # The runner itself gave notice, and a reading of the store from just before still lists it as
    # ready. A request must not reach it after its notice.
    table = RunnerTable()
    table.apply_reading(0.0, [runner("a"), runner("b")], 20, 0.0)
    check.assertTrue(table.record_leaving(0.1, RunnerId("a")))
    check.assertFalse(table.record_leaving(0.2, RunnerId("a")))
    table.apply_reading(0.3, [runner("a"), runner("b")], 21, 0.3)
    check.assertEqual([one.id for one in table.ready(ENGINES)], ["b"])


def test_a_removed_runner_gets_no_requests_and_is_kept_for_a_time():
    table = RunnerTable()
    table.apply_reading(0.0, [runner("a"), runner("b")], 20, 0.0)
    stopped = table.apply_reading(0.3, [runner("b")], 21, 0.3)
    check.assertEqual([one.id for one in stopped], ["a"])
    check.assertEqual(table.by_id[RunnerId("a")].state, RunnerState.MISSING)
    check.assertFalse(table.is_ready(RunnerId("a")))
    table.apply_reading(0.6, [runner("b")], 22, 0.6)
    for second in range(1, 50):
        table.apply_reading(second, [runner("b")], 22 + second, second)
    check.assertNotIn(RunnerId("a"), table.by_id)


def test_a_runner_that_the_home_never_missed_is_readmitted():
    # An instance was cut off from the home, read the list itself and saw an entry lapse that was
    # back before the home's next reading. Without readmission its callers would never reach that
    # runner again.
    table = RunnerTable()
    table.apply_reading(0.0, [runner("a"), runner("b")], 20, 0.0, from_home=True)
    table.apply_reading(0.3, [runner("b")], 21, 0.3)
    check.assertFalse(table.is_ready(RunnerId("a")))
    table.apply_reading(0.6, [runner("a"), runner("b")], 21, 0.6, from_home=True)
    check.assertFalse(table.is_ready(RunnerId("a")))
    table.apply_reading(0.9, [runner("a"), runner("b")], 23, 0.9, from_home=True)
    check.assertFalse(table.is_ready(RunnerId("a")))
    table.apply_reading(3.5, [runner("a"), runner("b")], 23, 3.5, from_home=True)
    check.assertTrue(table.is_ready(RunnerId("a")))


def test_a_runner_is_leaving_since_its_first_notice():
    # A stream whose first token comes late in the notice has to know how much of it has passed.
    table = RunnerTable()
    table.apply_reading(0.0, [runner("a"), runner("b")], 20, 0.0)
    check.assertIsNone(table.stopped_since_s(RunnerId("a")))
    table.record_leaving(0.3, RunnerId("a"))
    table.apply_reading(0.5, [runner("a", state=RunnerState.LEAVING)], 21, 0.5)
    check.assertEqual(table.stopped_since_s(RunnerId("a")), 0.3)
    check.assertEqual(table.stopped_since_s(RunnerId("b")), 0.5)
    table.apply_reading(0.7, [runner("b")], 22, 0.7)
    check.assertTrue(table.confirm_alive(RunnerId("b")))
    check.assertIsNone(table.stopped_since_s(RunnerId("b")))


def test_entries_that_lapsed_while_the_store_was_unavailable():
    # The store comes back without the entries of live runners, since their heartbeats did not reach
    # it. Within the grace period a missing entry counts as live, or all requests would be refused
    # for two seconds; after it, as missing.
    table = RunnerTable()
    table.apply_reading(0.0, [runner("a"), runner("b")], 20, 0.0)
    check.assertEqual(table.apply_reading(6.0, [], 21, 6.0), [])
    check.assertEqual(len(table.ready(ENGINES)), 2)
    table.apply_reading(7.0, [runner("a")], 22, 7.0)
    check.assertEqual(len(table.ready(ENGINES)), 2)
    stopped = table.apply_reading(8.5, [runner("a")], 23, 8.5)
    check.assertEqual([one.id for one in stopped], ["b"])


def test_the_home_is_one_of_the_strongest_instances():
    # The home was chosen among sixty instances on slow links, which its updates to all saturated;
    # it looked dead, and the next one failed the same way. Placement would stall for the whole
    # fleet.
    view = Fleet(known_instance(0), 0.0)
    for number in range(1, 60):
        view.record_report(0.0, known_instance(number, strength=10 if number in (7, 33) else 3))
    check.assertIn(view.home(0.1), {"entry-7", "entry-33"})
    check.assertEqual({one.id for one in view.report_targets(0.1)}, {"entry-7", "entry-33"})


def test_a_change_of_rank_counts_at_once():
    # The ranking is cached for a moment. If a change of an instance that gets ready, leaves or
    # loses the store had to wait for that, requests would go to a home that does not answer.
    view = Fleet(known_instance(0), 0.0)
    for number in range(1, COUNT):
        view.record_report(0.0, known_instance(number))
    view.home(0.1)
    view.record_report(0.1, known_instance(COUNT, strength=10))
    check.assertEqual(view.home(0.1), f"entry-{COUNT}")
    view.record_report(0.1, known_instance(COUNT, strength=10, reads_store=False))
    check.assertNotEqual(view.home(0.1), f"entry-{COUNT}")


def report_reachability(view, number, store):
    """Let a view receive the report of an instance with this reachability of the store."""
    view.record_report(0.1, replace(known_instance(number), store=store))


def test_an_outage_of_the_store_does_not_move_the_home_through_the_fleet():
    # The store is down. The home reports it and hands over to an instance that has not tried, which
    # finds the same and hands over again, and so on through 195 instances within a second while
    # callers wait for placement. One takes over only once some instance is known to reach the
    # store.
    view = Fleet(known_instance(0), 0.0)
    view.own = replace(view.own, store=StoreReachability.UNKNOWN)
    for number in range(1, COUNT):
        report_reachability(view, number, StoreReachability.UNKNOWN)
    first, second = view.home(0.1), view.report_targets(0.1)[-1].id
    numbers = {known_instance(number).instance.id: number for number in range(COUNT)}
    if first == view.own.instance.id:
        view.own = replace(view.own, store=StoreReachability.UNREACHABLE)
    else:
        report_reachability(view, numbers[first], StoreReachability.UNREACHABLE)
    check.assertEqual(view.home(0.1), first)
    report_reachability(view, numbers[second], StoreReachability.REACHABLE)
    check.assertEqual(view.home(0.1), second)
    report_reachability(view, numbers[second], StoreReachability.UNREACHABLE)
    check.assertEqual(view.home(0.1), first)


def simulate_outage(lasted_s, home_reads_after_s):
    """Simulate an outage of the store for all; return the home before it, and at times after it."""
    view = Fleet(known_instance(0), 0.0)
    numbers = {known_instance(number).instance.id: number for number in range(COUNT)}

    def receive_reports(now_s, reachabilities):
        view.own = replace(view.own, store=reachabilities.get(0, StoreReachability.UNREACHABLE))
        for number in range(1, COUNT):
            store = reachabilities.get(number, StoreReachability.UNREACHABLE)
            view.record_report(now_s, replace(known_instance(number), store=store))
        home = view.home(now_s)
        view.record_home_alive(now_s, home)
        return home

    before = receive_reports(0.0, dict.fromkeys(range(COUNT), StoreReachability.REACHABLE))
    for step in range(1, round(lasted_s / 0.25) + 1):
        receive_reports(step * 0.25, {})
    began_s = round(lasted_s / 0.25) * 0.25
    readers, homes = {}, []
    others = [number for name, number in numbers.items() if name != before]
    for step in range(1, 13):
        readers[others[step % len(others)]] = StoreReachability.REACHABLE
        if step * 0.25 >= home_reads_after_s:
            readers[numbers[before]] = StoreReachability.REACHABLE
        homes.append(receive_reports(began_s + step * 0.25, readers))
    return before, homes


def test_the_home_stays_over_an_outage_of_the_store_for_all():
    # The store was down for all and is back. A few instances read it before the home does, more in
    # each tenth of a second. If they took over, generations would be placed by one after the other,
    # and by several at a time, for about two seconds.
    before, homes = simulate_outage(8.0, home_reads_after_s=1.25)
    check.assertEqual(set(homes), {before})


def test_a_home_that_does_not_come_back_after_an_outage_is_replaced():
    before, homes = simulate_outage(8.0, home_reads_after_s=60.0)
    check.assertEqual(set(homes[:5]), {before})
    check.assertNotIn(before, homes[7:])


def test_a_home_that_is_cut_off_for_a_moment_alone_is_replaced_at_once():
    before, homes = simulate_outage(1.0, home_reads_after_s=60.0)
    check.assertNotIn(before, homes)


def test_a_former_home_refers_to_the_next_one():
    # The home leaves or loses the store and informs only the next in line; the others get updates
    # of it alone and wait until it counts as unresponsive. Placements and notices of leaving
    # runners would stop for 0.8 s.
    view = next(one for one in make_views() if one.home(0.1) != one.own.instance.id)
    first = view.home(0.1)
    number = next(n for n in range(COUNT) if known_instance(n).instance.id == first)
    view.record_referral(0.2, [known_instance(number, InstanceState.LEAVING)])
    check.assertNotEqual(view.home(0.2), first)


def test_a_few_try_the_store_for_a_home_that_does_not_reach_it():
    # Only the home is cut off from the store. Either nobody would learn of leaving runners, or all
    # instances would query the store at once.
    everyone = [known_instance(number) for number in range(40)]
    home = Fleet(known_instance(0), 0.0)
    for other in everyone[1:]:
        home.record_report(0.0, other)
    first = home.home(0.1)
    watchers = 0
    for own in everyone:
        store = (
            StoreReachability.UNREACHABLE if own.instance.id == first else StoreReachability.UNKNOWN
        )
        view = Fleet(replace(own, store=store), 0.0)
        for other in everyone:
            store = (
                StoreReachability.UNREACHABLE
                if other.instance.id == first
                else StoreReachability.UNKNOWN
            )
            view.record_report(0.0, replace(other, store=store))
        view.home(0.1)
        view.record_home_alive(0.1, first)
        watchers += view.is_watcher(0.2)
    check.assertEqual(watchers, 3)


def test_two_watch_the_store_and_everyone_does_if_the_home_is_unresponsive():
    # The home and the next in line watch the store, and so does an instance that gets no updates of
    # a home. Otherwise calls to the store would grow with the fleet, and each change of the
    # configuration would cost one for every instance.
    views = make_views(9)
    home = {view.home(0.1) for view in views}.pop()
    for view in views:
        view.record_live_instances(0.2, home, [known_instance(number) for number in range(9)])
    check.assertEqual(sum(view.is_watcher(0.3) for view in views), 2)
    check.assertTrue(all(view.is_watcher(2.0) for view in views))


def test_a_large_configuration_is_compressed_for_peers():
    # Twenty instances fetch a configuration from one of them at the same moment. Over its link of
    # 10 Mbit/s twenty texts of 0.19 MB take 3 s; each fetch times out after 1 s and starts again.
    routes = [route(f"r-{number:05x}", "idempotent", "desk") for number in range(840)]
    text = json.dumps(configuration(9, routes, ("k",))).encode()
    packed = pack_text(text)
    check.assertEqual(unpack_text(packed), text)
    check.assertLess(len(packed) * 20 * 8, 10_000_000)
    check.assertGreater(len(text) * 20 * 8, 30_000_000)


def test_an_invalid_packed_configuration_is_rejected():
    bomb = msgpack.packb(zlib.compress(bytes(5_000_000)))
    for data in (b"", b"\xff", msgpack.packb(3), msgpack.packb(b"x"), bomb):
        with check.assertRaises(ValueError):
            unpack_text(data)
