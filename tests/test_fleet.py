"""Who lives, who is home, and which runners there are."""

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


def fleets(count=COUNT):
    """Give the views of instances that have all heard each other at time 0."""
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
    homes = {view.home(0.1) for view in fleets()}
    check.assertEqual(len(homes), 1)


def test_reports_go_to_a_fixed_number_whatever_the_size():
    for count in (3, 7, 70):
        check.assertEqual({len(view.report_targets(0.1)) for view in fleets(count)}, {2})


def test_a_home_that_falls_silent():
    # Clients see nothing but worse placing: the home is killed, its news stop, and the next in
    # line, to which all have reported all along, is home within a second.
    views = fleets()
    home = {view.home(0.1) for view in views}.pop()
    others = [view for view in views if view.own.instance.id != home]
    later = {view.home(1.0) for view in others}
    check.assertEqual(len(later), 1)
    check.assertNotEqual(later, {home})


def test_a_silent_home_that_comes_back():
    view = fleets()[0]
    home = view.home(0.1)
    if home == view.own.instance.id:
        view = fleets()[1]
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
    home = fleets()[0].home(0.1)
    view = Fleet(known_instance(99), 0.0)
    for one in everyone:
        view.record_report(
            0.0, known_instance(one.incarnation, reads_store=one.instance.id != home)
        )
    check.assertNotEqual(view.home(0.1), home)


def test_two_homes_do_not_keep_a_dead_instance_alive():
    # Clients would be sent to a dead instance for ever: each of two homes vouched for it because
    # the other did. A home vouches only by reports that came to itself.
    first, second = fleets()[:2]
    dead = known_instance(5)
    for moment in range(1, 40):
        now_s = moment * 0.25
        first.record_live_instances(now_s, second.own.instance.id, second.recently_reported(now_s))
        second.record_live_instances(now_s, first.own.instance.id, first.recently_reported(now_s))
    check.assertNotIn(dead.instance.id, {one.instance.id for one in first.live(10.0)})


def test_a_leaving_instance_is_told_of_at_once():
    view = fleets()[0]
    view.record_report(0.2, known_instance(3, InstanceState.LEAVING))
    states = {one.instance.id: one.state for one in view.live(0.3)}
    check.assertIs(states[InstanceId("entry-3")], InstanceState.LEAVING)


def test_a_newcomer_is_pointed_to_the_living():
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
    # A request would reach a runner after its notice: the runner itself told of it, and a reading
    # of the store from just before still calls it ready.
    table = RunnerTable()
    table.apply_reading(0.0, [runner("a"), runner("b")], 20, 0.0)
    check.assertTrue(table.record_leaving(0.1, RunnerId("a")))
    check.assertFalse(table.record_leaving(0.2, RunnerId("a")))
    table.apply_reading(0.3, [runner("a"), runner("b")], 21, 0.3)
    check.assertEqual([one.id for one in table.ready(ENGINES)], ["b"])


def test_a_removed_runner_gets_no_work_and_is_remembered():
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


def test_a_runner_that_the_home_never_missed():
    # Callers of one instance never reach a runner again: it was cut off from the home, read the
    # list itself and saw an entry lapse that was back before the home's next reading.
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


def test_since_when_a_runner_leaves():
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


def test_entries_that_lapsed_while_the_store_was_away():
    # All requests would be refused for two seconds: the store comes back without the entries of
    # runners that live, since their heartbeats found no store. Within the grace a missing entry
    # counts as living; after it, as gone.
    table = RunnerTable()
    table.apply_reading(0.0, [runner("a"), runner("b")], 20, 0.0)
    check.assertEqual(table.apply_reading(6.0, [], 21, 6.0), [])
    check.assertEqual(len(table.ready(ENGINES)), 2)
    table.apply_reading(7.0, [runner("a")], 22, 7.0)
    check.assertEqual(len(table.ready(ENGINES)), 2)
    stopped = table.apply_reading(8.5, [runner("a")], 23, 8.5)
    check.assertEqual([one.id for one in stopped], ["b"])


def test_the_strong_are_home():
    # Placing would stall for the whole fleet: the home was drawn among sixty instances on slow
    # links, which its news to all filled; it looked dead, and the next one had the same fate.
    view = Fleet(known_instance(0), 0.0)
    for number in range(1, 60):
        view.record_report(0.0, known_instance(number, strength=10 if number in (7, 33) else 3))
    check.assertIn(view.home(0.1), {"entry-7", "entry-33"})
    check.assertEqual({one.id for one in view.report_targets(0.1)}, {"entry-7", "entry-33"})


def test_a_change_of_rank_counts_at_once():
    # The ranking is kept for a moment. An instance that gets ready, leaves or loses the store must
    # not wait for it: questions would go to a home that does not answer.
    view = Fleet(known_instance(0), 0.0)
    for number in range(1, COUNT):
        view.record_report(0.0, known_instance(number))
    view.home(0.1)
    view.record_report(0.1, known_instance(COUNT, strength=10))
    check.assertEqual(view.home(0.1), f"entry-{COUNT}")
    view.record_report(0.1, known_instance(COUNT, strength=10, reads_store=False))
    check.assertNotEqual(view.home(0.1), f"entry-{COUNT}")


def sighted(view, number, store):
    """Let a view hear of an instance that it sees the store so."""
    view.record_report(0.1, replace(known_instance(number), store=store))


def test_an_outage_of_the_store_does_not_move_the_home_through_the_fleet():
    # Callers wait for places: the store is down, the home says so and hands over to an instance
    # that has not tried, which finds out the same and hands over again, and so on through 195
    # instances within a second. One takes over only once somebody is known to reach the store.
    view = Fleet(known_instance(0), 0.0)
    view.own = replace(view.own, store=StoreReachability.UNKNOWN)
    for number in range(1, COUNT):
        sighted(view, number, StoreReachability.UNKNOWN)
    first, second = view.home(0.1), view.report_targets(0.1)[-1].id
    numbers = {known_instance(number).instance.id: number for number in range(COUNT)}
    if first == view.own.instance.id:
        view.own = replace(view.own, store=StoreReachability.UNREACHABLE)
    else:
        sighted(view, numbers[first], StoreReachability.UNREACHABLE)
    check.assertEqual(view.home(0.1), first)
    sighted(view, numbers[second], StoreReachability.REACHABLE)
    check.assertEqual(view.home(0.1), second)
    sighted(view, numbers[second], StoreReachability.UNREACHABLE)
    check.assertEqual(view.home(0.1), first)


def outage_ends(lasted_s, home_reads_after_s):
    """Play an outage of the store for all; give the home before it, and at moments after it."""
    view = Fleet(known_instance(0), 0.0)
    numbers = {known_instance(number).instance.id: number for number in range(COUNT)}

    def hear(now_s, sight_by_number):
        view.own = replace(view.own, store=sight_by_number.get(0, StoreReachability.UNREACHABLE))
        for number in range(1, COUNT):
            store = sight_by_number.get(number, StoreReachability.UNREACHABLE)
            view.record_report(now_s, replace(known_instance(number), store=store))
        home = view.home(now_s)
        view.record_home_alive(now_s, home)
        return home

    before = hear(0.0, dict.fromkeys(range(COUNT), StoreReachability.REACHABLE))
    for step in range(1, round(lasted_s / 0.25) + 1):
        hear(step * 0.25, {})
    began_s = round(lasted_s / 0.25) * 0.25
    readers, homes = {}, []
    others = [number for name, number in numbers.items() if name != before]
    for step in range(1, 13):
        readers[others[step % len(others)]] = StoreReachability.REACHABLE
        if step * 0.25 >= home_reads_after_s:
            readers[numbers[before]] = StoreReachability.REACHABLE
        homes.append(hear(began_s + step * 0.25, readers))
    return before, homes


def test_the_home_stays_over_an_outage_of_the_store_for_all():
    # The store was down for everybody and is back. A few instances read it before the home does,
    # more in each tenth of a second. Were they to take the home's place, callers' generations would
    # be placed by one after the other, and by several at a time, for some two seconds.
    before, homes = outage_ends(8.0, home_reads_after_s=1.25)
    check.assertEqual(set(homes), {before})


def test_a_home_that_does_not_come_back_after_an_outage_is_replaced():
    before, homes = outage_ends(8.0, home_reads_after_s=60.0)
    check.assertEqual(set(homes[:5]), {before})
    check.assertNotIn(before, homes[7:])


def test_a_home_that_is_cut_off_for_a_moment_alone_is_replaced_at_once():
    before, homes = outage_ends(1.0, home_reads_after_s=60.0)
    check.assertNotIn(before, homes)


def test_a_home_that_is_no_more_points_to_the_next():
    # Places, and notices of leaving runners, stop for 0.8 s: the home leaves or loses the store and
    # tells nobody but the next in line; the others hear it alone and wait until it seems silent.
    view = next(one for one in fleets() if one.home(0.1) != one.own.instance.id)
    first = view.home(0.1)
    number = next(n for n in range(COUNT) if known_instance(n).instance.id == first)
    view.record_referral(0.2, [known_instance(number, InstanceState.LEAVING)])
    check.assertNotEqual(view.home(0.2), first)


def test_a_few_try_the_store_for_a_home_that_does_not_reach_it():
    # The home is cut off from the store alone. Nobody would hear of leaving runners, or all
    # instances would ask the store at once.
    everyone = [known_instance(number) for number in range(40)]
    home = Fleet(known_instance(0), 0.0)
    for one in everyone[1:]:
        home.record_report(0.0, one)
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


def test_two_watch_for_all_and_everyone_does_where_the_home_is_silent():
    # Calls to the store would grow with the fleet, and each change of the configuration would cost
    # one for every instance. The home and the next in line watch; whoever hears no home does too.
    views = fleets(9)
    home = {view.home(0.1) for view in views}.pop()
    for view in views:
        view.record_live_instances(0.2, home, [known_instance(number) for number in range(9)])
    check.assertEqual(sum(view.is_watcher(0.3) for view in views), 2)
    check.assertTrue(all(view.is_watcher(2.0) for view in views))


def test_a_large_configuration_is_small_on_the_way():
    # Twenty instances fetch a configuration from one of them at the same moment; over its link of
    # 10 Mbit/s twenty texts of 0.19 MB take 3 s, and each gives up after 1 s and begins again.
    routes = [route(f"r-{number:05x}", "idempotent", "desk") for number in range(840)]
    text = json.dumps(configuration(9, routes, ("k",))).encode()
    packed = pack_text(text)
    check.assertEqual(unpack_text(packed), text)
    check.assertLess(len(packed) * 20 * 8, 10_000_000)
    check.assertGreater(len(text) * 20 * 8, 30_000_000)


def test_what_is_no_packed_configuration_is_refused():
    bomb = msgpack.packb(zlib.compress(bytes(5_000_000)))
    for data in (b"", b"\xff", msgpack.packb(3), msgpack.packb(b"x"), bomb):
        with check.assertRaises(ValueError):
            unpack_text(data)
