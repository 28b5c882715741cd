"""The default policy: what it refuses, in which order it sends, and what it never evicts."""

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


def make_runner(name, capacity=CAPACITY):
    return RunnerInfo(name, "llm", "a", ("story",), capacity, 64)


def make_request(
    name, value=100, account="acme", prompt=1000, streamed=True, deadline_s=10.0, max_output=8000
):
    return SchedulingRequest(
        id=name,
        account=account,
        service="llm",
        model="story",
        prompt_tokens=prompt,
        max_output_tokens=max_output,
        prefix=f"p-{account}",
        value=value,
        deadline_s=deadline_s,
        streamed=streamed,
    )


def make_report(name, taken_s=0.0, running=0, used=0, waiting=0):
    return RunnerReported(name, taken_s, running, waiting, used, 0, 0)


class PolicyDriver:
    """A policy that is sent events; each call returns the actions."""

    def __init__(self, runners=("r1",), disabled=(), seed=1, capacity=CAPACITY):
        self.policy = make_policy("default", random.Random(seed), frozenset(disabled))
        for name in runners:
            self.handle(0.0, RunnerSeen(make_runner(name, capacity)))

    def handle(self, now_s, event):
        return self.policy.handle(now_s, event)

    def arrive(self, now_s, **fields):
        return self.handle(now_s, Arrived(make_request(**fields)))

    def fill(self, now_s=0.0, count=40, **fields):
        """Send `count` requests; return the ids of those dispatched."""
        sent = []
        for number in range(count):
            actions = self.arrive(now_s, name=f"fill-{number}", **fields)
            sent += [action.request_id for action in actions if isinstance(action, Dispatch)]
        return sent

    def end(self, now_s, name, tokens=50):
        return self.handle(now_s, Ended(name, tokens, EndReason.FINISHED))


def of_type(kind, actions):
    return [action for action in actions if isinstance(action, kind)]


def test_requests_are_sent_while_the_forecast_fits_and_queued_after():
    driver = PolicyDriver()
    sent = driver.fill()
    check.assertGreater(len(sent), 1)
    check.assertLess(len(sent), CAPACITY // 1000)
    freed = of_type(Dispatch, driver.end(1.0, sent[0]))
    check.assertEqual(len(freed), 1)


def test_own_sends_after_a_report_are_counted():
    # The report was taken before this instance's own sends, so it shows an empty engine. Taken
    # literally, all waiting requests would be sent there at once.
    driver = PolicyDriver()
    sent = driver.fill()
    actions = driver.handle(0.5, make_report("r1", taken_s=0.0))
    check.assertEqual(of_type(Dispatch, actions), [])
    check.assertGreater(len(sent), 1)


def test_memory_freed_by_own_requests_is_not_counted_as_used_by_others():
    # An own request ended after the report was taken, so the report still includes it. Counted
    # as another instance's request, it would block its own memory until the next report.
    driver = PolicyDriver()
    sent = driver.fill()
    driver.handle(0.0, InstancesSeen(6))
    held = 1000 * len(sent)
    driver.handle(1.0, make_report("r1", taken_s=0.5, running=len(sent), used=held))
    check.assertEqual(len(of_type(Dispatch, driver.end(1.6, sent[0]))), 1)


def test_the_most_valuable_request_is_sent_first():
    driver = PolicyDriver()
    sent = driver.fill(value=10)
    driver.arrive(0.1, name="poor", value=20)
    driver.arrive(0.2, name="rich", value=500)
    first = of_type(Dispatch, driver.end(0.5, sent[0]))[0]
    check.assertEqual(first.request_id, "rich")


def test_ageing_raises_a_waiting_request_above_a_more_valuable_one():
    def first(disabled):
        driver = PolicyDriver(
            disabled=(Feature.ACCOUNT_FLOOR, Feature.DEADLINE_FORECAST, *disabled)
        )
        sent = driver.fill(value=1, deadline_s=100)
        driver.arrive(0.0, name="old", value=100, deadline_s=100)
        driver.arrive(30.0, name="new", value=120, deadline_s=100)
        actions = []
        for name in sent:
            actions += of_type(Dispatch, driver.end(31.0, name))
        order = [action.request_id for action in actions if action.request_id in ("old", "new")]
        return order[0]

    check.assertEqual(first(()), "old")
    check.assertEqual(first((Feature.AGEING,)), "new")


def test_an_account_of_low_value_is_not_starved():
    # A large account keeps the engines full with valuable requests. Ordered by value alone, the
    # small account's requests would be refused for as long as that lasts.
    def small_count(disabled):
        driver = PolicyDriver(disabled=(Feature.DEADLINE_FORECAST, Feature.AGEING, *disabled))
        running, small = [], 0
        for number in range(200):
            at_s = number * 0.1
            deadline_s = at_s + 5
            account, value = ("small", 10) if number % 10 == 0 else ("large", 300)
            fields = {"account": account, "value": value, "deadline_s": deadline_s}
            actions = driver.arrive(at_s, name=f"{account}-{number}", **fields)
            if number % 4 == 0 and running:
                actions += driver.end(at_s, running.pop(0))
            names = [action.request_id for action in of_type(Dispatch, actions)]
            running += names
            small += sum(name.startswith("small") for name in names)
        return small

    check.assertGreater(small_count(()), 2 * max(1, small_count((Feature.ACCOUNT_FLOOR,))))


def test_a_request_forecast_to_miss_its_deadline_is_refused_at_once():
    # Requests of this value have missed their deadline, so a new one would too. It is refused
    # immediately with a retry delay instead of after ten seconds of waiting.
    def answer(disabled):
        driver = PolicyDriver(disabled=disabled)
        driver.fill(value=50)
        driver.handle(10.0, Tick())
        actions = driver.arrive(10.1, name="late", value=50, deadline_s=20.1)
        return [action for action in of_type(Refuse, actions) if action.request_id == "late"]

    refused = answer(())[0]
    check.assertIs(refused.kind, ErrorKind.DEADLINE_TOO_SHORT)
    check.assertTrue(1.0 <= refused.retry_after_s <= 60.0)
    check.assertEqual(answer((Feature.DEADLINE_FORECAST,)), [])


def test_a_value_that_was_refused_is_admitted_again_later():
    driver = PolicyDriver()
    sent = driver.fill(value=50)
    driver.handle(10.0, Tick())
    driver.end(15.0, sent[0])
    actions = driver.arrive(25.0, name="again", value=50, deadline_s=35.0)
    check.assertEqual(of_type(Refuse, actions), [])


def test_waiting_requests_are_refused_at_their_deadline():
    driver = PolicyDriver()
    driver.fill(deadline_s=3.0)
    check.assertEqual(driver.policy.next_wake_s(), 3.0)
    refused = of_type(Refuse, driver.handle(3.0, Tick()))
    check.assertGreater(len(refused), 20)
    check.assertIsNone(driver.policy.next_wake_s())


def test_the_queue_is_bounded_and_keeps_the_most_valuable():
    # More requests wait than the bound allows. An unbounded queue would use up the instance's
    # memory and slow down each event, so the least valuable request is refused.
    bound = 20
    before = default_module.MAX_QUEUE
    default_module.MAX_QUEUE = bound
    try:
        driver = PolicyDriver(disabled=(Feature.DEADLINE_FORECAST,))
        sent = driver.fill(count=60, value=50)
        actions = driver.arrive(0.0, name="rich", value=90)
        refused_poor = driver.arrive(0.0, name="poor", value=10)
    finally:
        default_module.MAX_QUEUE = before
    refused = of_type(Refuse, actions)
    check.assertEqual([action.kind for action in refused], [ErrorKind.ENGINES_FULL])
    check.assertNotEqual(refused[0].request_id, "rich")
    check.assertEqual([action.request_id for action in of_type(Refuse, refused_poor)], ["poor"])
    left = of_type(Refuse, driver.handle(10.0, Tick()))
    check.assertLessEqual(len(left), bound)
    check.assertGreater(len(sent), 0)
    check.assertEqual(queue_module.MAX_QUEUE, before)


def test_a_request_without_a_runner_is_refused_at_once():
    driver = PolicyDriver(runners=())
    check.assertIs(of_type(Refuse, driver.arrive(0.0, name="w"))[0].kind, ErrorKind.NO_RUNNER)
    driver = PolicyDriver()
    driver.fill()
    stranded = of_type(Refuse, driver.handle(1.0, RunnerLeft("r1")))
    check.assertEqual({action.kind for action in stranded}, {ErrorKind.NO_RUNNER})
    check.assertGreater(len(stranded), 20)


def test_a_leaving_runner_gets_no_new_requests():
    driver = PolicyDriver(runners=("r1", "r2"))
    driver.handle(0.0, RunnerLeft("r1"))
    sent = [driver.arrive(0.0, name=str(n), prompt=10, max_output=50) for n in range(10)]
    check.assertEqual({action.runner_id for action in of_type(Dispatch, sum(sent, []))}, {"r2"})


def evictions_before_overflow(streamed, delivered, disabled=()):
    """Return the evictions when a runner is about to overflow and another is empty."""
    driver = PolicyDriver(runners=("r1",), disabled=disabled)
    sent = driver.fill(count=5, streamed=streamed)
    for name in sent:
        driver.handle(40.0, Progressed(name, 1500, delivered))
    driver.handle(40.0, RunnerSeen(make_runner("r2")))
    driver.handle(40.0, make_report("r2", 40.0))
    used = 2500 * len(sent)
    return of_type(
        Evict, driver.handle(40.5, make_report("r1", 40.0, len(sent), max(used, CAPACITY)))
    )


def test_an_undelivered_request_is_evicted_before_an_overflow():
    check.assertEqual(len(evictions_before_overflow(streamed=False, delivered=0)), 1)
    check.assertEqual(evictions_before_overflow(False, 0, (Feature.EVICTION,)), [])


def test_a_started_stream_is_never_evicted():
    check.assertEqual(evictions_before_overflow(streamed=True, delivered=1400), [])
    check.assertEqual(evictions_before_overflow(streamed=True, delivered=0), [])


def test_an_evicted_request_gets_another_runner():
    driver = PolicyDriver()
    sent = driver.fill(streamed=False, count=3)
    driver.handle(1.0, RunnerSeen(make_runner("r2")))
    again = of_type(Dispatch, driver.handle(20.0, Evicted(sent[0])))
    check.assertEqual([action.request_id for action in again], [sent[0]])


def test_a_stream_has_a_higher_priority_at_the_engine_than_any_other_request():
    driver = PolicyDriver(runners=("r1", "r2"))
    stream = of_type(Dispatch, driver.arrive(0.0, name="s", value=1, streamed=True))[0]
    other = of_type(Dispatch, driver.arrive(0.0, name="o", value=1000, streamed=False))[0]
    check.assertGreater(stream.priority, other.priority)


def test_a_request_that_lost_its_runner_may_start_after_its_first_deadline():
    # An engine is lost a minute after it began an answer of which nothing was delivered. The
    # request was accepted; by the deadline of its first start it would be refused untried.
    driver = PolicyDriver(runners=("r1", "r2"))
    sent = driver.fill(deadline_s=100.0)
    rerun = replace(make_request("w", value=1000, deadline_s=10.0), excluded=frozenset({"r1"}))
    check.assertEqual(driver.handle(60.0, Arrived(rerun)), [])
    check.assertEqual(of_type(Refuse, driver.handle(60.1, Tick())), [])
    again = [action for name in sent for action in of_type(Dispatch, driver.end(61.0, name))]
    check.assertIn(("w", "r2"), [(action.request_id, action.runner_id) for action in again])


def test_prompts_are_sent_to_the_runner_with_their_prefix():
    runners = tuple(f"r{number}" for number in range(6))
    driver = PolicyDriver(runners=runners, capacity=100_000)
    driver.handle(0.0, CacheChanged("r4", "p-acme", True))
    for number in range(3):
        sent = of_type(Dispatch, driver.arrive(0.0, name=str(number), prompt=100))
        check.assertEqual(sent[0].runner_id, "r4")


def test_instances_do_not_all_choose_the_same_runner():
    # Six instances see the same reports. With the same choice all would send to one runner.
    runners = tuple(f"r{number}" for number in range(6))
    chosen = set()
    for seed in range(6):
        driver = PolicyDriver(runners=runners, seed=seed)
        chosen.add(of_type(Dispatch, driver.arrive(0.0, name="w"))[0].runner_id)
    check.assertGreater(len(chosen), 2)


def test_instances_share_the_free_memory_of_a_report():
    # Six instances see free memory for a few requests in the same report. If each filled all of
    # it, the engine would get six times what fits and preempt.
    def sends(disabled):
        total = 0
        for seed in range(6):
            driver = PolicyDriver(disabled=disabled, seed=seed)
            driver.handle(0.0, InstancesSeen(6))
            driver.handle(0.0, make_report("r1", running=2, used=2000))
            total += len(driver.fill())
        return total

    check.assertLess(sends(()), sends((Feature.FREE_MEMORY_SHARE,)) / 2)


def test_a_runner_without_a_report_does_not_count_as_empty():
    # An instance reads the reports of some runners only. The others would always look empty, and
    # every instance would send its requests there.
    driver = PolicyDriver(runners=("r1", "r2"))
    driver.handle(0.0, make_report("r1", running=2, used=2000))
    sent = of_type(Dispatch, driver.arrive(0.0, name="w"))
    check.assertEqual([action.runner_id for action in sent], ["r1"])


def test_an_instance_without_observed_lengths_still_sends():
    # An instance starts in a fleet whose engines are in use. By the prior alone, the answers of
    # the others are forecast to fill every engine; it would send nothing and observe no lengths.
    driver = PolicyDriver()
    driver.handle(0.0, InstancesSeen(2))
    driver.handle(0.0, make_report("r1", running=4, used=4000))
    check.assertEqual(len(of_type(Dispatch, driver.arrive(0.0, name="w", prompt=100))), 1)


def test_an_engine_with_waiting_requests_gets_no_more():
    # A stream was preempted and waits for memory at its engine. Requests sent there meanwhile
    # would take all memory that becomes free and stall the stream for minutes.
    def sent(disabled):
        driver = PolicyDriver(disabled=disabled, capacity=100_000)
        driver.handle(0.0, make_report("r1", running=3, used=4000, waiting=1))
        return of_type(Dispatch, driver.arrive(0.0, name="w"))

    check.assertEqual(sent(()), [])
    check.assertEqual(len(sent((Feature.ENGINE_QUEUE,))), 1)
