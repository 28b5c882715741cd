"""Where generations and calls run."""

import random
from dataclasses import replace

from egretstack.fleet import RunnerState, RunnerTable
from egretstack.ids import InstanceId, RunnerId, ZoneName
from egretstack.placing import (
    CopyLinks,
    LengthForecast,
    MovePermits,
    Placement,
    Placer,
    PlaceRefused,
    PlainBalancer,
    Run,
    longest_wait_s,
    request_from_row,
    request_row,
    run_from_row,
    run_row,
)
from egretstack.traffic import RunnerLoad
from tests.fleet_fixtures import ENGINE, ENGINES, PLAIN, runner, work
from tests.support import check, tests_of

load_tests = tests_of(globals())

OWN = InstanceId("entry-1")


def placer(*names):
    """Give a placer and its runners."""
    table = RunnerTable()
    table.take(0.0, [runner(name) for name in names], 1, 0.0)
    return Placer(table, random.Random(1)), table


def place(one, attempt, now_s=0.0, **more):
    return one.place(now_s, work(attempt, **more), ENGINE, fleet_wide=True)


def test_prompts_are_spread_before_any_is_read():
    # First tokens would come late: prompts that arrive together on one engine are read one after
    # the other, while other engines have nothing to read.
    one, _ = placer("a", "b", "c")
    places = [place(one, f"w{number}", short_gap(number)) for number in range(6)]
    by_runner = {name: [p.runner for p in places].count(name) for name in "abc"}
    check.assertEqual(by_runner, {"a": 2, "b": 2, "c": 2})


def short_gap(number):
    return number * 0.001


def test_a_copy_goes_to_another_engine():
    one, _ = placer("a", "b")
    placed = place(one, "w1")
    check.assertIsNotNone(placed.backup)
    check.assertNotEqual(placed.runner, placed.backup)


def test_a_short_generation_gets_no_copy():
    one, _ = placer("a", "b")
    check.assertIsNone(place(one, "w1", most=40, hint=12).backup)


def test_a_question_asked_twice_gets_one_answer():
    # A run would be counted twice: the first answer was lost on its way, and the same question
    # came again.
    one, _ = placer("a", "b", "c")
    check.assertEqual(place(one, "w1"), place(one, "w1", 0.05))


def test_leaving_and_excluded_engines_get_nothing():
    one, table = placer("a", "b", "c")
    table.notice(0.0, RunnerId("a"))
    for number in range(5):
        check.assertEqual(place(one, f"w{number}", excluded=("b",)).runner, "c")


def test_no_engine_means_a_refusal_with_a_time():
    one, _ = placer()
    refused = place(one, "w1")
    check.assertIsInstance(refused, PlaceRefused)
    check.assertGreater(one.forecast_retry_s(0.0, work("w1")), 0)


def test_a_full_engine_gets_no_more_runs():
    # A stream that someone reads would be preempted: forecast peaks beyond the memory.
    one, _ = placer("a")
    runs = [Run(work(f"r{n}"), RunnerId("a"), None, 100, True) for n in range(9)]
    one.registry.record_report(OWN, runs)
    check.assertIsInstance(place(one, "w1"), PlaceRefused)
    one.registry.record_report(OWN, runs[:3])
    check.assertIsInstance(place(one, "w1"), Placement)


def test_copies_yield_to_runs():
    # Work would be refused for the sake of copies, which engines drop when room runs out.
    one, _ = placer("a", "b")
    runs = [Run(work(f"r{n}"), RunnerId("b"), RunnerId("a"), 100, True) for n in range(7)]
    one.registry.record_report(OWN, runs)
    placed = place(one, "w1")
    check.assertEqual((placed.runner, placed.backup), ("a", None))


def test_what_cannot_start_in_time_is_refused_at_once():
    one, _ = placer("a")
    for number in range(12):
        place(one, f"w{number}", prompt=1_000, hint=10, most=40)
    check.assertIsInstance(place(one, "late", patience_s=0.5), PlaceRefused)
    check.assertIsInstance(place(one, "patient", patience_s=5.0), Placement)


def test_runs_of_dead_instances_are_forgotten():
    one, _ = placer("a")
    one.registry.record_report(
        OWN, [Run(work(f"r{n}"), RunnerId("a"), None, 0, True) for n in range(9)]
    )
    one.retain_instances([InstanceId("entry-2")])
    check.assertIsInstance(place(one, "w1"), Placement)


def test_loads_that_the_home_told_count_where_runs_are_not_known():
    one, table = placer("a", "b")
    one.registry.record_report(
        OWN, [Run(work(f"r{n}"), RunnerId("a"), None, 0, True) for n in range(6)]
    )
    rows = one.registry.load_rows(0.0)
    other = Placer(table, random.Random(2))
    other.registry.update_loads(0.0, rows)
    check.assertEqual(other.place(0.0, work("w1"), ENGINE, fleet_wide=False).runner, "b")


def test_rows_of_works_and_runs_come_back():
    run = Run(work("w1", excluded=("x",)), RunnerId("a"), RunnerId("b"), 44, True)
    check.assertEqual(run_from_row(run_row(run)), run)
    check.assertEqual(request_from_row(request_row(run.request)), run.request)


def test_one_copy_at_a_time_leaves_an_engine():
    # A reader would see a pause of several hundred ms: the last part of one run's copy waits
    # behind the first parts of the others on the engine's link.
    turns = MovePermits()
    source = RunnerId("a")
    check.assertTrue(turns.request(0.0, source, "low", 5.0))
    check.assertFalse(turns.request(0.1, source, "urgent", 1.0))
    check.assertFalse(turns.request(0.1, source, "later", 3.0))
    turns.release(source, "low")
    check.assertFalse(turns.request(0.2, source, "later", 3.0))
    check.assertTrue(turns.request(0.2, source, "urgent", 1.0))


def test_a_turn_that_hangs_ends():
    turns = MovePermits()
    source = RunnerId("a")
    check.assertTrue(turns.request(0.0, source, "hangs", 1.0))
    check.assertFalse(turns.request(2.4, source, "next", 2.0))
    check.assertTrue(turns.request(2.6, source, "next", 2.0))


def test_those_that_stopped_asking_are_passed_over():
    turns = MovePermits()
    source = RunnerId("a")
    turns.request(0.0, source, "first", 1.0)
    turns.request(0.0, source, "gone", 0.0)
    turns.release(source, "first")
    check.assertTrue(turns.request(0.6, source, "here", 9.0))


def balancer(*names):
    runners = [runner(name, PLAIN, slots=6) for name in names]
    return PlainBalancer(ZoneName("leon-a"), random.Random(3)), runners


def test_calls_go_where_the_least_is_in_flight():
    one, runners = balancer("a", "b", "c")
    for _ in range(9):
        one.record_sent(one.choose(0.0, runners).id)
    counts = [one.choose(0.0, [it]) and it.id for it in runners]
    check.assertEqual(len(set(counts)), 3)
    one.record_ended(0.0, RunnerId("b"), failed=False)
    check.assertEqual(one.choose(0.0, runners).id, "b")


def test_a_runner_that_fails_is_left_alone_and_tried_again():
    # Clients would see failures for as long as the runner is ill: it answers at once, so it always
    # looks idle, and its health check is good.
    one, runners = balancer("a", "b")
    for _ in range(4):
        one.record_sent(RunnerId("a"))
        one.record_ended(0.0, RunnerId("a"), failed=True)
    check.assertEqual({one.choose(0.1, runners).id for _ in range(20)}, {"b"})
    check.assertIn("a", {one.choose(9.0, runners).id for _ in range(40)})


def test_a_slow_runner_is_left_alone():
    one, runners = balancer("a", "b", "c")
    for name, latency_s in (("a", 0.4), ("b", 0.05), ("c", 0.05)) * 4:
        one.record_sent(RunnerId(name))
        one.record_ended(0.0, RunnerId(name), failed=False, latency_s=latency_s)
    check.assertNotIn("a", {one.choose(0.1, runners).id for _ in range(20)})


def test_a_runner_that_tells_of_load_from_others_is_avoided():
    one, runners = balancer("a", "b")
    one.record_sent(RunnerId("a"))
    one.record_ended(0.0, RunnerId("a"), failed=False, latency_s=0.05, load=RunnerLoad(5, 0, 6))
    check.assertEqual(one.choose(0.5, runners).id, "b")


def test_a_copy_waits_until_both_links_are_free():
    # Copies met on the link of the engine that looked emptiest, were given up after a while, and
    # their memory stayed taken: work sent there waited or was preempted.
    links = CopyLinks()
    a, b, c = runner("a"), runner("b"), runner("c", zone="leon-b")
    links.begin(0.0, ENGINE, a, b, 3_500)
    check.assertAlmostEqual(links.wait_s(0.0, a.id, c.id), 0.195, places=2)
    check.assertAlmostEqual(links.wait_s(0.0, c.id, b.id), 0.195, places=2)
    check.assertEqual(links.wait_s(0.0, b.id, c.id), 0.0)
    links.begin(0.0, ENGINE, c, b, 3_500)
    check.assertAlmostEqual(links.wait_s(0.0, a.id, b.id), 0.195 * 3, places=1)
    links.retain({a.id})
    check.assertEqual(links.wait_s(0.0, c.id, b.id), 0.0)


def test_a_copy_kept_in_case_is_begun_on_free_links_only():
    one, _ = placer("a", "b")
    run = Run(work("r1"), RunnerId("a"), None, 100, True)
    one.registry.record_report(OWN, [run, Run(work("r2"), RunnerId("a"), None, 100, True)])
    check.assertEqual(one.begin_copy(0.0, one.registry.find_run("r2"), ENGINE), "b")
    check.assertIsNone(one.begin_copy(0.0, run, ENGINE))
    check.assertEqual(one.begin_copy(1.0, run, ENGINE), "b")


def test_memory_that_the_book_does_not_know_of_is_left_alone():
    # Work waited at an engine that was full: copies whose runs had gone on elsewhere stay for
    # seconds, and only the engine itself knows of them.
    one, _ = placer("a", "b")
    one.registry.record_measured(0.0, RunnerId("a"), 32_000)
    check.assertEqual({place(one, f"w{n}", n * 0.01).runner for n in range(4)}, {"b"})
    check.assertIn("a", {place(one, f"v{n}", 9 + n * 0.01).runner for n in range(4)})


def test_long_estimates_are_shrunk_and_lengths_learned():
    lengths = LengthForecast()
    for _ in range(200):
        lengths.record_finished(ENGINES, 2_000, 600, 500)
    check.assertAlmostEqual(lengths.expected(ENGINES, 2_000, 600, 0), 606, delta=30)
    check.assertLess(lengths.expected(ENGINES, 2_000, 60_000, 0), 3.5 * 606)
    check.assertGreater(lengths.expected(ENGINES, 2_000, 600, 1_500), 1_500)
    check.assertEqual(lengths.expected(ENGINES, 2_000, 600, 1_999), 2_000)


def test_waiting_work_goes_in_the_order_of_rank():
    # Ten works that wait would take turns in asking, and the room that came free would go to
    # whoever asked next. The home keeps the order, and gives the room out when it comes.
    one, _ = placer("a")
    full = [Run(work(f"r{n}"), RunnerId("a"), None, 100, True) for n in range(10)]
    one.registry.record_report(OWN, full)
    one.enqueue(0.0, work("low", prompt=4_000, rank=5), ENGINE)
    one.enqueue(0.05, work("high", rank=0), ENGINE)
    check.assertEqual(one.place_waiting(0.1), [])
    one.registry.record_report(OWN, full[:8])
    check.assertEqual([placed.attempt for placed in one.place_waiting(0.2)], ["high"])
    one.registry.record_report(OWN, full[:6])
    check.assertEqual([placed.attempt for placed in one.place_waiting(0.3)], ["low"])
    check.assertEqual(one.place_waiting(0.4), [])


def test_callers_with_more_time_wait_longer():
    # Refused after a second, a caller with 39 s comes back late and is refused for good; one with
    # 6 s has to hear soon that it had better try elsewhere.
    check.assertAlmostEqual(longest_wait_s(1.8, 0.0, 39.0), 3.6)
    check.assertAlmostEqual(longest_wait_s(1.8, 0.0, 20.0), 2.0)
    check.assertAlmostEqual(longest_wait_s(1.5, 0.0, 6.0), 0.9)
    check.assertAlmostEqual(longest_wait_s(1.5, 1.0, 5.0), 0.3)
    check.assertEqual(longest_wait_s(1.8, 4.0, 35.0), 0.0)
    check.assertAlmostEqual(longest_wait_s(1.8, 0.0, 1.0), 0.6)
    check.assertEqual(longest_wait_s(1.8, 2.0, -0.1), 0.0)


def test_who_comes_back_late_goes_behind_those_in_time():
    # On engines that stay full a caller is refused after a second and comes back; its first token
    # is late whatever happens. Served in the order of asking, it makes the next caller late too,
    # until every answer is.
    one, _ = placer("a")
    full = [Run(work(f"r{n}"), RunnerId("a"), None, 100, True) for n in range(10)]
    one.registry.record_report(OWN, full)
    one.enqueue(0.0, work("first", patience_s=1.8, prompt_id="p"), ENGINE)
    one.place_waiting(0.1)
    one.remove("first")
    one.enqueue(2.0, work("back", patience_s=1.8, prompt_id="p"), ENGINE)
    one.enqueue(2.1, work("fresh", patience_s=1.8, prompt_id="q"), ENGINE)
    one.registry.record_report(OWN, full[:8])
    check.assertEqual([placed.attempt for placed in one.place_waiting(2.2)], ["fresh"])


def test_who_is_late_is_served_once_there_is_room_to_spare():
    # Refused a second time, a caller gets nothing at all; a late answer is worth something to it.
    # It may not take the last of an engine's memory, which the next caller needs to be in time.
    one, _ = placer("a")
    full = [Run(work(f"r{n}"), RunnerId("a"), None, 100, True) for n in range(8)]
    one.registry.record_report(OWN, full)
    one.enqueue(0.0, work("late", patience_s=0.0), ENGINE)
    check.assertEqual(one.place_waiting(0.1), [])
    one.enqueue(0.1, work("late", patience_s=0.0), ENGINE)
    one.registry.record_report(OWN, full[:5])
    check.assertEqual([placed.attempt for placed in one.place_waiting(0.2)], ["late"])


def test_a_prompt_that_was_served_may_be_sent_anew():
    # A session that asks the same again is no caller that comes back after a refusal.
    one, _ = placer("a")
    one.enqueue(0.0, work("first", patience_s=1.8, prompt_id="p"), ENGINE)
    check.assertEqual([placed.attempt for placed in one.place_waiting(0.1)], ["first"])
    full = [Run(work(f"r{n}"), RunnerId("a"), None, 100, True) for n in range(10)]
    one.registry.record_report(OWN, full)
    one.enqueue(5.0, work("again", patience_s=1.8, prompt_id="p"), ENGINE)
    one.enqueue(5.1, work("other", prompt=4_000, patience_s=1.8, prompt_id="q"), ENGINE)
    one.registry.record_report(OWN, full[:8])
    check.assertEqual([placed.attempt for placed in one.place_waiting(5.2)], ["again"])


def test_copies_are_few_until_it_is_known_what_runs_need():
    # Engines are empty when traffic begins: copies of the first runs would fill them, and callers
    # of the next seconds are refused for as long as those runs go on.
    one, _ = placer("a", "b", "c", "d")
    small = replace(ENGINE, kv_capacity_tokens=22_000)
    placed = [one.place(0.0, work(f"w{n}", prompt=3_100), small, fleet_wide=True) for n in range(8)]
    copies = sum(1 for placement in placed if placement.backup)
    check.assertGreater(copies, 0)
    check.assertLess(copies, 8)


def test_what_gave_up_does_not_hold_up_the_rest():
    # Nothing would be placed for a moment after each work that gave up: the first in order no
    # longer asks, and the room is kept for it.
    one, _ = placer("a")
    full = [Run(work(f"r{n}"), RunnerId("a"), None, 100, True) for n in range(10)]
    one.registry.record_report(OWN, full)
    one.enqueue(0.0, work("gone", rank=0), ENGINE)
    one.enqueue(0.0, work("silent", rank=1), ENGINE)
    one.enqueue(0.7, work("here", rank=5), ENGINE)
    one.remove("gone")
    one.registry.record_report(OWN, full[:8])
    check.assertEqual([placed.attempt for placed in one.place_waiting(0.9)], ["here"])


def test_short_work_passes_what_waits():
    one, _ = placer("a")
    one.registry.record_report(
        OWN, [Run(work(f"r{n}"), RunnerId("a"), None, 100, True) for n in range(9)]
    )
    one.enqueue(0.0, work("long", prompt=6_000), ENGINE)
    one.enqueue(0.0, work("short", prompt=800, most=40, hint=10, rank=5), ENGINE)
    check.assertEqual([placed.attempt for placed in one.place_waiting(0.1)], ["short"])


def test_an_engine_that_did_not_connect_is_not_given_again():
    # The same dead engine would be given at each try: the first answer is kept for questions that
    # come twice.
    one, _ = placer("a", "b")
    first = place(one, "w1")
    check.assertNotEqual(place(one, "w1", excluded=(first.runner,)).runner, first.runner)


def test_a_runner_that_accepts_no_connection_is_left_alone_at_once():
    # Each request would wait in vain for a connection first: with the store away nobody tells that
    # a runner is gone, and one failure in five is not yet a reason to avoid a runner that answers.
    one, runners = balancer("a", "b")
    one.record_unreachable(0.0, RunnerId("a"))
    check.assertEqual({one.choose(0.1, runners).id for _ in range(20)}, {"b"})
    check.assertIn("a", {one.choose(9.0, runners).id for _ in range(40)})


def test_a_run_that_has_to_leave_goes_where_its_copy_is_whole_first():
    # Half of an engine's runs would be lost with it: copies to another zone take twice as long, and
    # the notice is enough for five in the same zone only.
    table = RunnerTable()
    leaving = runner("a", state=RunnerState.LEAVING)
    table.take(0.0, [leaving, runner("near"), runner("far", zone="leon-b")], 1, 0.0)
    one = Placer(table, random.Random(1))
    on_near = [Run(work(f"n{n}"), RunnerId("near"), None, 100, True) for n in range(5)]
    one.registry.record_report(OWN, [Run(work("r"), RunnerId("a"), None, 100, True), *on_near])
    check.assertEqual(one.begin_copy(0.0, one.registry.find_run("r"), ENGINE), "near")
