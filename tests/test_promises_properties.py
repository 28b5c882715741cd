"""Property tests of the decisions that the guarantees rest on, over random histories.

Readings come late, twice and out of order, instances stop answering and come back, and a process
may be paused between any two steps.
"""

import random
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from egretstack.errors import ErrorKind
from egretstack.fleet import Fleet, InstanceState, RunnerState, RunnerTable
from egretstack.ids import RunnerId, ServiceName
from egretstack.placing import Placer, Run
from egretstack.platform import Bounds
from egretstack.relay import ExecutionStatus, RetryBudget
from egretstack.routing import RoutingConfiguration, VersionGate
from tests.fleet_fixtures import ENGINE, ENGINES, generation_request, known_instance, runner
from tests.support import check, tests_of

load_tests = tests_of(globals())

EXAMPLES = settings(max_examples=150, deadline=None, derandomize=True)
NOT_RUN_STATUSES = (408, 421, 429, 503)
SERVICE = ServiceName("desk-app")
RUNNERS = ("a", "b", "c", "d")
EMPTY = RoutingConfiguration(
    version=1,
    routes=(),
    service_by_name={},
    account_by_key_digest={},
    limits=None,
    has_accounts=False,
)


class UncachedFleet(Fleet):
    """A fleet that does not cache its ranking."""

    def _ranked(self, now_s):
        return self._rank_all(now_s)


_other = st.builds(
    known_instance,
    st.integers(1, 5),
    st.sampled_from(InstanceState),
    reads_store=st.booleans(),
    strength=st.integers(0, 2),
)
_fleet_step = st.tuples(
    st.sampled_from(
        ("record_report", "record_referral", "record_live_instances", "add_listed", "own")
    ),
    _other,
    st.sampled_from((0.0, 0.0, 0.06, 0.3, 1.2, 4.0)),
)


@EXAMPLES
@given(st.lists(_fleet_step, max_size=40))
def test_a_cached_ranking_gives_the_same_home(steps):
    # Requests would go to an instance that has left, for as long as a stale ranking is cached.
    cached, uncached = Fleet(known_instance(0), 0.0), UncachedFleet(known_instance(0), 0.0)
    now_s = 0.0
    for kind, other, passed_s in steps:
        now_s += passed_s
        for view in (cached, uncached):
            if kind == "record_report":
                view.record_report(now_s, other)
            elif kind == "own":
                view.own = replace(view.own, store=other.store, state=other.state)
            elif kind == "record_live_instances":
                view.record_live_instances(now_s, other.instance.id, [other])
            else:
                getattr(view, kind)(now_s, [other])
        check.assertEqual(cached.home(now_s), uncached.home(now_s))
        check.assertEqual(cached.report_targets(now_s), uncached.report_targets(now_s))


@EXAMPLES
@given(st.lists(st.integers(1, 30), max_size=30))
def test_an_older_version_is_never_applied(versions):
    gate = VersionGate()
    newest = 0
    for version in versions:
        offered = replace(EMPTY, version=version)
        check.assertEqual(gate.offer(offered), version > newest)
        newest = max(newest, version)
        check.assertEqual(gate.version, newest)


_reading = st.tuples(
    st.integers(1, 9),
    st.dictionaries(st.sampled_from(RUNNERS), st.sampled_from(RunnerState), max_size=4),
)


@EXAMPLES
@given(st.lists(st.one_of(_reading, st.sampled_from(RUNNERS)), max_size=25))
def test_a_leaving_runner_gets_no_requests_again(steps):
    # A reading made before a runner reported that it leaves would bring it back, and a request
    # would reach a removed runner or an unknown one at its address.
    table = RunnerTable()
    left = set()
    for now_s, step in enumerate(steps):
        if isinstance(step, str):
            if step in table.by_id:
                table.record_leaving(float(now_s), RunnerId(step))
                left.add(step)
        else:
            revision, states = step
            listed = [runner(name, state=state) for name, state in states.items()]
            applied = revision >= table.revision
            table.apply_reading(float(now_s), listed, revision, float(now_s))
            if applied:
                left |= {name for name, state in states.items() if state is RunnerState.LEAVING}
        check.assertFalse(left & {ready.id for ready in table.ready(ENGINES)})
        check.assertFalse([name for name in left if table.is_ready(RunnerId(name))])


@EXAMPLES
@given(
    st.lists(st.booleans(), max_size=6), st.sampled_from(ErrorKind), st.sampled_from((None, 0.4))
)
def test_not_run_is_never_stated_once_a_request_may_have_run(sends, kind, retry_s):
    execution = ExecutionStatus()
    for unknown in sends:
        if unknown:
            execution.mark_unknown()
        failure = execution.failure(kind, "x", retry_after_s=retry_s)
        if execution.may_have_run:
            check.assertNotIn(failure.status, NOT_RUN_STATUSES)
    check.assertEqual(execution.may_have_run, any(sends))


@EXAMPLES
@given(
    st.integers(1, 8),
    st.lists(st.tuples(st.sampled_from((0, 20, 3_000)), st.integers(0, 7)), max_size=90),
)
def test_second_sends_of_all_instances_stay_within_the_budget(count, steps):
    # If each instance kept to a budget of its own, all of them together would send several times
    # as much, and overload runners in trouble.
    bounds = Bounds(
        runner_drain_s=2,
        grace_s=8,
        directory_ttl_s=5,
        retry_ratio=0.2,
        retry_window_s=10,
        retry_slack=8,
    )
    budgets = [RetryBudget(bounds) for _ in range(count)]
    now_s, requests, repeats = 0.0, [], []
    for passed_ms, number in steps:
        now_s += passed_ms / 1000
        budget = budgets[number % count]
        budget.instances = count
        budget.record_request(now_s, SERVICE)
        requests.append(now_s)
        while budget.allows(now_s, SERVICE):
            budget.record_retry(now_s, SERVICE)
            repeats.append(now_s)
        recent = [at for at in requests if now_s - at <= bounds.retry_window_s]
        recent_repeats = [at for at in repeats if now_s - at <= bounds.retry_window_s]
        allowed = bounds.retry_ratio * len(recent) + bounds.retry_slack
        check.assertLessEqual(len(recent_repeats), allowed)


_placement_step = st.tuples(
    st.integers(0, 12),
    st.sampled_from((800, 3_000, 6_000)),
    st.integers(0, 3),
    st.sampled_from((0.0, 1.0, 4.0)),
    st.booleans(),
)


@EXAMPLES
@given(st.lists(_placement_step, max_size=40), st.integers(0, 99))
def test_no_request_is_placed_twice_or_beyond_an_engines_slots(steps, seed):
    table = RunnerTable()
    table.apply_reading(0.0, [runner(name, slots=3) for name in RUNNERS], 1, 0.0)
    placer = Placer(table, random.Random(seed))
    places = {}
    for number, (attempt, prompt, rank, patience_s, gives_up) in enumerate(steps):
        name = f"w{attempt}"
        if gives_up:
            placer.remove(name)
            places.pop(name, None)
        elif name not in places:
            request = generation_request(
                name, prompt=prompt, rank=rank, patience_s=patience_s, prompt_id=name
            )
            placer.enqueue(number * 0.01, request, ENGINE)
        for placed in placer.place_waiting(number * 0.01):
            check.assertNotIn(placed.attempt, places)
            places[placed.attempt] = Run(
                generation_request(placed.attempt), placed.placement.runner, None
            )
        runs = [run.runner for run in places.values()]
        check.assertLessEqual(max((runs.count(name) for name in RUNNERS), default=0), 3)
