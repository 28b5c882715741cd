"""The policy inside `egret-entry`: the very classes that a replay runs."""

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
from egretstack.replay import read_site, read_trace, replay
from egretstack.services.dispatching import Dispatching
from tests.support import check, tests_of
from tests.test_replay import files, trace_of
from tests.test_world import open_story, read_all, small_site

load_tests = tests_of(globals())


@contextmanager
def watched():
    """Note every event that the default policy's class handles, with its actions."""
    kind = POLICIES[DEFAULT_POLICY]
    handle = kind.handle
    seen = []

    def noted(self, now_s, event):
        actions = handle(self, now_s, event)
        seen.append((self, event, actions))
        return actions

    kind.handle = noted
    try:
        yield seen
    finally:
        kind.handle = handle


async def test_an_entry_decides_by_the_code_that_a_replay_runs():
    with watched() as seen:
        async with small_site() as (_, entries):
            session = await open_story(entries[0], 80)
            check.assertEqual(await read_all(session), list(range(81)))
            policies = {id(one.kernel.get(Dispatching)._policy) for one in entries}
    live = {type(event) for policy, event, _ in seen if id(policy) in policies}
    check.assertLessEqual({Arrived, Progressed, Ended, InstancesSeen, RunnerReported}, live)
    with watched() as seen, files(trace_of(5)) as (trace, path):
        site = read_site(path)
        replay(read_trace(trace, site), site, DEFAULT_POLICY, entries=2, seed=1)
    check.assertLessEqual(live - {Evicted}, {type(event) for _, event, _ in seen})


async def test_evicted_work_runs_again_and_its_caller_sees_one_answer():
    # Memory is about to fill on an engine; the policy takes an answer away that nobody has seen
    # anything of. It starts again, and its caller gets one whole answer.
    async with small_site(entries=1) as (_, entries):
        dispatching = entries[0].kernel.get(Dispatching)
        session = await open_story(entries[0], 200, stream=False)
        await trio.sleep(1)
        with watched() as seen:
            dispatching._carry_out(Evict(session.work_id))
            with trio.fail_after(60):
                await session.wait_for_end()
        check.assertEqual(session.outcome.output_tokens, 200)
        check.assertIn(Evicted(session.work_id), [event for _, event, _ in seen])


async def test_a_stream_that_is_read_is_not_evicted():
    # The policy's news is a step old: it asks to evict a stream whose first token has just been
    # passed on. The stream goes on where it is.
    async with small_site(entries=1) as (_, entries):
        dispatching = entries[0].kernel.get(Dispatching)
        session = await open_story(entries[0], 100)
        reader = session.supersede()
        numbers = []
        with watched() as seen:
            async for batch in session.batches(reader, -1, 5):
                numbers += [event.sequence for event in batch]
                dispatching._carry_out(Evict(session.work_id))
        check.assertEqual(numbers, list(range(101)))
        check.assertNotIn(Evicted(session.work_id), [event for _, event, _ in seen])


async def test_an_entry_learns_lengths_from_another():
    with watched() as seen:
        async with small_site(entries=2) as (_, entries):
            session = await open_story(entries[0], 40)
            await read_all(session)
            await trio.sleep(25)
            mine = entries[1].kernel.get(Dispatching)._policy
    learned = [
        event for policy, event, _ in seen if policy is mine and isinstance(event, LengthsLearned)
    ]
    check.assertTrue(any(event.summary.by_key for event in learned))
    check.assertEqual({event.source for event in learned}, {"entry-0"})
