"""The policy inside `egret-entry`, which is the same code that a replay runs."""

from contextlib import contextmanager

import trio

from egretstack.policy import (
    DEFAULT_POLICY,
    POLICIES,
    Arrived,
    Ended,
    Evict,
    Evicted,
    InstancesSeen,
    LengthsLearned,
    Progressed,
    RunnerReported,
)
from egretstack.replay import read_deployment, read_trace, replay
from egretstack.services.dispatching import Dispatching
from tests.support import check, tests_of
from tests.test_replay import files, make_trace
from tests.test_world import open_small_deployment, open_story, read_all

load_tests = tests_of(globals())


@contextmanager
def recorded_events():
    """Record every event that the default policy's class handles, with the actions."""
    policy_class = POLICIES[DEFAULT_POLICY]
    handle = policy_class.handle
    handled = []

    def recording_handle(self, now_s, event):
        actions = handle(self, now_s, event)
        handled.append((self, event, actions))
        return actions

    policy_class.handle = recording_handle
    try:
        yield handled
    finally:
        policy_class.handle = handle


async def test_an_entry_decides_by_the_code_that_a_replay_runs():
    with recorded_events() as handled:
        async with open_small_deployment() as (_, entries):
            session = await open_story(entries[0], 80)
            check.assertEqual(await read_all(session), list(range(81)))
            policies = {id(one.kernel.get(Dispatching)._policy) for one in entries}
    live = {type(event) for policy, event, _ in handled if id(policy) in policies}
    check.assertLessEqual({Arrived, Progressed, Ended, InstancesSeen, RunnerReported}, live)
    with recorded_events() as handled, files(make_trace(5)) as (trace, path):
        site = read_deployment(path)
        replay(read_trace(trace, site), site, DEFAULT_POLICY, entries=2, seed=1)
    check.assertLessEqual(live - {Evicted}, {type(event) for _, event, _ in handled})


async def test_an_evicted_request_runs_again_and_its_caller_gets_one_answer():
    # The memory of an engine is about to overflow, and the policy evicts a request of which
    # nothing was delivered. It is restarted, and its caller gets one complete answer.
    async with open_small_deployment(entries=1) as (_, entries):
        dispatching = entries[0].kernel.get(Dispatching)
        session = await open_story(entries[0], 200, stream=False)
        await trio.sleep(1)
        with recorded_events() as handled:
            dispatching._carry_out(Evict(session.work_id))
            with trio.fail_after(60):
                await session.wait_for_end()
        check.assertEqual(session.outcome.output_tokens, 200)
        check.assertIn(Evicted(session.work_id), [event for _, event, _ in handled])


async def test_a_started_stream_is_not_evicted():
    # The policy's state is one step old: it evicts a stream whose first token has just been
    # delivered. The stream continues where it is.
    async with open_small_deployment(entries=1) as (_, entries):
        dispatching = entries[0].kernel.get(Dispatching)
        session = await open_story(entries[0], 100)
        reader = session.supersede()
        numbers = []
        with recorded_events() as handled:
            async for batch in session.batches(reader, -1, 5):
                numbers += [event.sequence for event in batch]
                dispatching._carry_out(Evict(session.work_id))
        check.assertEqual(numbers, list(range(101)))
        check.assertNotIn(Evicted(session.work_id), [event for _, event, _ in handled])


async def test_an_entry_learns_lengths_from_another():
    with recorded_events() as handled:
        async with open_small_deployment(entries=2) as (_, entries):
            session = await open_story(entries[0], 40)
            await read_all(session)
            await trio.sleep(25)
            learner_policy = entries[1].kernel.get(Dispatching)._policy
    learned = [
        event
        for policy, event, _ in handled
        if policy is learner_policy and isinstance(event, LengthsLearned)
    ]
    check.assertTrue(any(event.summary.by_key for event in learned))
    check.assertEqual({event.source for event in learned}, {"entry-0"})
