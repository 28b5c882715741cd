"""The default policy: what it refuses, in which order it sends, and what it never takes away."""

import random
from dataclasses import replace

from egretstack.errors import ErrorKind
from egretstack.policy import (
    Arrived,
    CacheChanged,
    Dispatch,
    Ended,
    EndReason,
    Evict,
    Evicted,
    Feature,
    InstancesSeen,
    Progressed,
    Refuse,
    RunnerInfo,
    RunnerLeft,
    RunnerReported,
    RunnerSeen,
    SchedulingRequest,
    Tick,
    make_policy,
)
from egretstack.policy import _default as default_module
from egretstack.policy import _wait_queue as queue_module
from tests.support import check, tests_of

load_tests = tests_of(globals())

CAPACITY = 10_000


def runner(name, capacity=CAPACITY):
    return RunnerInfo(name, "llm", "a", ("story",), capacity, 64)


def work(name, value=100, account="acme", prompt=1000, streamed=True, deadline_s=10.0, most=8000):
    return SchedulingRequest(
        id=name,
        account=account,
        service="llm",
        model="story",
        prompt_tokens=prompt,
        max_output_tokens=most,
        prefix=f"p-{account}",
        value=value,
        deadline_s=deadline_s,
        streamed=streamed,
    )


def report(name, taken_s=0.0, running=0, used=0, waiting=0):
    return RunnerReported(name, taken_s, running, waiting, used, 0, 0)


class Driven:
    """A policy with its actions by kind."""

    def __init__(self, runners=("r1",), left_out=(), seed=1, capacity=CAPACITY):
        self.policy = make_policy("default", random.Random(seed), frozenset(left_out))
        for name in runners:
            self.tell(0.0, RunnerSeen(runner(name, capacity)))

    def tell(self, now_s, event):
        return self.policy.handle(now_s, event)

    def arrive(self, now_s, **fields):
        return self.tell(now_s, Arrived(work(**fields)))

    def fill(self, now_s=0.0, count=40, **fields):
        """Send work until some waits; give the ids that went out."""
        sent = []
        for number in range(count):
            actions = self.arrive(now_s, name=f"fill-{number}", **fields)
            sent += [one.request_id for one in actions if isinstance(one, Dispatch)]
        return sent

    def end(self, now_s, name, tokens=50):
        return self.tell(now_s, Ended(name, tokens, EndReason.FINISHED))


def of(kind, actions):
    return [action for action in actions if isinstance(action, kind)]


def test_work_goes_out_while_the_forecast_fits_and_waits_after():
    driven = Driven()
    sent = driven.fill()
    check.assertGreater(len(sent), 1)
    check.assertLess(len(sent), CAPACITY // 1000)
    freed = of(Dispatch, driven.end(1.0, sent[0]))
    check.assertEqual(len(freed), 1)


def test_what_a_report_does_not_show_yet_is_counted():
    # The report was taken before this instance's own sends. Read as it stands it shows an empty
    # engine, and everything would go there at once.
    driven = Driven()
    sent = driven.fill()
    actions = driven.tell(0.5, report("r1", taken_s=0.0))
    check.assertEqual(of(Dispatch, actions), [])
    check.assertGreater(len(sent), 1)


def test_room_that_own_work_gave_back_is_not_taken_for_anothers():
    # Own work ended after the report was taken, so the report counts it still. Counted as some
    # other instance's work it would keep its own place closed until the next report.
    driven = Driven()
    sent = driven.fill()
    driven.tell(0.0, InstancesSeen(6))
    held = 1000 * len(sent)
    driven.tell(1.0, report("r1", taken_s=0.5, running=len(sent), used=held))
    check.assertEqual(len(of(Dispatch, driven.end(1.6, sent[0]))), 1)


def test_the_most_valuable_goes_first():
    driven = Driven()
    sent = driven.fill(value=10)
    driven.arrive(0.1, name="poor", value=20)
    driven.arrive(0.2, name="rich", value=500)
    first = of(Dispatch, driven.end(0.5, sent[0]))[0]
    check.assertEqual(first.request_id, "rich")


def test_waiting_makes_up_for_value():
    def first(left_out):
        driven = Driven(left_out=(Feature.ACCOUNT_FLOOR, Feature.DEADLINE_FORECAST, *left_out))
        sent = driven.fill(value=1, deadline_s=100)
        driven.arrive(0.0, name="old", value=100, deadline_s=100)
        driven.arrive(30.0, name="new", value=120, deadline_s=100)
        actions = []
        for name in sent:
            actions += of(Dispatch, driven.end(31.0, name))
        order = [one.request_id for one in actions if one.request_id in ("old", "new")]
        return order[0]

    check.assertEqual(first(()), "old")
    check.assertEqual(first((Feature.AGEING,)), "new")


def test_an_account_of_little_value_is_not_shut_out():
    # A large account keeps the engines full with valuable work. By value alone the small
    # account's callers would be refused for as long as that lasts.
    def small_share(left_out):
        driven = Driven(left_out=(Feature.DEADLINE_FORECAST, Feature.AGEING, *left_out))
        running, small = [], 0
        for number in range(200):
            at_s = number * 0.1
            deadline_s = at_s + 5
            account, value = ("small", 10) if number % 10 == 0 else ("large", 300)
            fields = {"account": account, "value": value, "deadline_s": deadline_s}
            actions = driven.arrive(at_s, name=f"{account}-{number}", **fields)
            if number % 4 == 0 and running:
                actions += driven.end(at_s, running.pop(0))
            names = [one.request_id for one in of(Dispatch, actions)]
            running += names
            small += sum(name.startswith("small") for name in names)
        return small

    check.assertGreater(small_share(()), 2 * max(1, small_share((Feature.ACCOUNT_FLOOR,))))


def test_what_would_miss_its_deadline_is_refused_at_once():
    # Work waits in vain, so a newcomer of the same value would too. It is told at once, with
    # when to come back, rather than after ten seconds of waiting for nothing.
    def answer(left_out):
        driven = Driven(left_out=left_out)
        driven.fill(value=50)
        driven.tell(10.0, Tick())
        actions = driven.arrive(10.1, name="late", value=50, deadline_s=20.1)
        return [one for one in of(Refuse, actions) if one.request_id == "late"]

    refused = answer(())[0]
    check.assertIs(refused.kind, ErrorKind.DEADLINE_TOO_SHORT)
    check.assertTrue(1.0 <= refused.retry_after_s <= 60.0)
    check.assertEqual(answer((Feature.DEADLINE_FORECAST,)), [])


def test_a_value_that_was_refused_is_let_in_again_later():
    driven = Driven()
    sent = driven.fill(value=50)
    driven.tell(10.0, Tick())
    driven.end(15.0, sent[0])
    actions = driven.arrive(25.0, name="again", value=50, deadline_s=35.0)
    check.assertEqual(of(Refuse, actions), [])


def test_nobody_waits_past_the_deadline():
    driven = Driven()
    driven.fill(deadline_s=3.0)
    check.assertEqual(driven.policy.next_wake_s(), 3.0)
    refused = of(Refuse, driven.tell(3.0, Tick()))
    check.assertGreater(len(refused), 20)
    check.assertIsNone(driven.policy.next_wake_s())


def test_the_queue_is_bounded_and_keeps_the_most_valuable():
    # More work waits than the bound. Unbounded it would take the memory of the instance and
    # each event would take longer, so the least valuable gets its final answer.
    bound = 20
    before = default_module.MAX_QUEUE
    default_module.MAX_QUEUE = bound
    try:
        driven = Driven(left_out=(Feature.DEADLINE_FORECAST,))
        sent = driven.fill(count=60, value=50)
        actions = driven.arrive(0.0, name="rich", value=90)
        poor = driven.arrive(0.0, name="poor", value=10)
    finally:
        default_module.MAX_QUEUE = before
    refused = of(Refuse, actions)
    check.assertEqual([one.kind for one in refused], [ErrorKind.ENGINES_FULL])
    check.assertNotEqual(refused[0].request_id, "rich")
    check.assertEqual([one.request_id for one in of(Refuse, poor)], ["poor"])
    left = of(Refuse, driven.tell(10.0, Tick()))
    check.assertLessEqual(len(left), bound)
    check.assertGreater(len(sent), 0)
    check.assertEqual(queue_module.MAX_QUEUE, before)


def test_work_without_a_runner_is_refused_at_once():
    driven = Driven(runners=())
    check.assertIs(of(Refuse, driven.arrive(0.0, name="w"))[0].kind, ErrorKind.NO_RUNNER)
    driven = Driven()
    driven.fill()
    stranded = of(Refuse, driven.tell(1.0, RunnerLeft("r1")))
    check.assertEqual({one.kind for one in stranded}, {ErrorKind.NO_RUNNER})
    check.assertGreater(len(stranded), 20)


def test_a_leaving_runner_gets_nothing_new():
    driven = Driven(runners=("r1", "r2"))
    driven.tell(0.0, RunnerLeft("r1"))
    sent = [driven.arrive(0.0, name=str(n), prompt=10, most=50) for n in range(10)]
    check.assertEqual({one.runner_id for one in of(Dispatch, sum(sent, []))}, {"r2"})


def about_to_fill(streamed, delivered, left_out=()):
    """Give what a policy does when a runner is about to fill and another is empty."""
    driven = Driven(runners=("r1",), left_out=left_out)
    sent = driven.fill(count=5, streamed=streamed)
    for name in sent:
        driven.tell(40.0, Progressed(name, 1500, delivered))
    driven.tell(40.0, RunnerSeen(runner("r2")))
    driven.tell(40.0, report("r2", 40.0))
    used = 2500 * len(sent)
    return of(Evict, driven.tell(40.5, report("r1", 40.0, len(sent), max(used, CAPACITY))))


def test_undelivered_work_leaves_a_runner_that_is_about_to_fill():
    check.assertEqual(len(about_to_fill(streamed=False, delivered=0)), 1)
    check.assertEqual(about_to_fill(False, 0, (Feature.EVICTION,)), [])


def test_a_stream_that_is_read_is_never_taken_away():
    check.assertEqual(about_to_fill(streamed=True, delivered=1400), [])
    check.assertEqual(about_to_fill(streamed=True, delivered=0), [])


def test_evicted_work_gets_another_runner():
    driven = Driven()
    sent = driven.fill(streamed=False, count=3)
    driven.tell(1.0, RunnerSeen(runner("r2")))
    again = of(Dispatch, driven.tell(20.0, Evicted(sent[0])))
    check.assertEqual([one.request_id for one in again], [sent[0]])


def test_a_stream_has_a_higher_priority_at_the_engine_than_any_other_work():
    driven = Driven(runners=("r1", "r2"))
    stream = of(Dispatch, driven.arrive(0.0, name="s", value=1, streamed=True))[0]
    other = of(Dispatch, driven.arrive(0.0, name="o", value=1000, streamed=False))[0]
    check.assertGreater(stream.priority, other.priority)


def test_work_that_lost_its_runner_may_start_after_its_first_deadline():
    # An engine was lost a minute after it had begun an answer that nobody has seen. The work was
    # accepted; by the deadline of its first start it would be refused without a try.
    driven = Driven(runners=("r1", "r2"))
    sent = driven.fill(deadline_s=100.0)
    rerun = replace(work("w", value=1000, deadline_s=10.0), excluded=frozenset({"r1"}))
    check.assertEqual(driven.tell(60.0, Arrived(rerun)), [])
    check.assertEqual(of(Refuse, driven.tell(60.1, Tick())), [])
    again = [one for name in sent for one in of(Dispatch, driven.end(61.0, name))]
    check.assertIn(("w", "r2"), [(one.request_id, one.runner_id) for one in again])


def test_prompts_go_where_their_prefix_is():
    runners = tuple(f"r{number}" for number in range(6))
    driven = Driven(runners=runners, capacity=100_000)
    driven.tell(0.0, CacheChanged("r4", "p-acme", True))
    for number in range(3):
        sent = of(Dispatch, driven.arrive(0.0, name=str(number), prompt=100))
        check.assertEqual(sent[0].runner_id, "r4")


def test_instances_do_not_all_choose_the_same_runner():
    # Six instances see the same reports. Choosing alike they would all send to one runner.
    runners = tuple(f"r{number}" for number in range(6))
    chosen = set()
    for seed in range(6):
        driven = Driven(runners=runners, seed=seed)
        chosen.add(of(Dispatch, driven.arrive(0.0, name="w"))[0].runner_id)
    check.assertGreater(len(chosen), 2)


def test_a_late_report_is_not_filled_by_every_instance():
    # Room for a few requests shows in one report to six instances. If each took all of it, the
    # engine would get six times what fits, and preempt.
    def sends(left_out):
        total = 0
        for seed in range(6):
            driven = Driven(left_out=left_out, seed=seed)
            driven.tell(0.0, InstancesSeen(6))
            driven.tell(0.0, report("r1", running=2, used=2000))
            total += len(driven.fill())
        return total

    check.assertLess(sends(()), sends((Feature.FREE_MEMORY_SHARE,)) / 2)


def test_a_runner_without_a_report_is_not_taken_for_an_empty_one():
    # An instance reads the reports of some runners only. The others would look empty for ever,
    # and every instance would send there.
    driven = Driven(runners=("r1", "r2"))
    driven.tell(0.0, report("r1", running=2, used=2000))
    sent = of(Dispatch, driven.arrive(0.0, name="w"))
    check.assertEqual([one.runner_id for one in sent], ["r1"])


def test_an_instance_that_knows_no_lengths_still_sends():
    # An instance starts in a fleet whose engines are in use. Forecast by the prior alone, the
    # others' answers would fill every engine; it would send nothing, and never learn.
    driven = Driven()
    driven.tell(0.0, InstancesSeen(2))
    driven.tell(0.0, report("r1", running=4, used=4000))
    check.assertEqual(len(of(Dispatch, driven.arrive(0.0, name="w", prompt=100))), 1)


def test_an_engine_where_work_waits_gets_no_more():
    # A stream was preempted and waits for memory at its engine. What is sent there meanwhile
    # takes each bit of room that comes free, and its reader sees nothing for minutes.
    def sent(left_out):
        driven = Driven(left_out=left_out, capacity=100_000)
        driven.tell(0.0, report("r1", running=3, used=4000, waiting=1))
        return of(Dispatch, driven.arrive(0.0, name="w"))

    check.assertEqual(sent(()), [])
    check.assertEqual(len(sent((Feature.ENGINE_QUEUE,))), 1)
