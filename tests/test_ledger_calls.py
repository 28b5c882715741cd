"""Calls that may not be repeated, through complete entries, with failing upstreams and entries."""

import trio

from egretstack.errors import ErrorKind, NotRunProof, RunState
from egretstack.ids import ServiceName
from egretstack.ledger import SendHistory
from egretstack.objectapi import ObjectKind
from egretstack.services.calls import Calls
from egretstack.services.configuration import Configuration
from egretstack.services.ledger_store import MAX_SEND_AGE_S
from egretstack.services.runners import Runners
from tests.ledger_site import (
    KEY_ID,
    call,
    deployment,
    pause_before_first_byte,
    post,
)
from tests.support import check, tests_of

load_tests = tests_of(globals())


async def test_two_entries_with_one_key_at_once_run_it_once():
    # Two callers send the same key to two entries at the same time. Both entries write its row
    # into the same head, conditional on the same version, so one update is refused.
    async with deployment() as (_, entries, runner):
        found = []

        async def caller(process):
            found.append(await call(process))

        async with trio.open_nursery() as nursery:
            for process in entries:
                nursery.start_soon(caller, process)
        check.assertEqual(runner.state.runs_by_key["k"], 1)
        check.assertIn(201, found)
        check.assertLessEqual(set(found), {201, ErrorKind.IN_PROGRESS})


async def test_a_repeat_an_hour_later_gets_the_first_answer():
    # So many calls follow the first one that its row has moved from the head into a segment. A
    # repeat at an entry that has written nothing yet must find it there.
    async with deployment() as (world, entries, runner):
        await call(entries[0])
        runner.state.padding = 3000
        for number in range(300):
            await call(entries[0], post(f"other-{number}"))
            await trio.sleep(0.2)
        segments = [
            stored for stored in world.store.of_kind(ObjectKind.LEDGER) if "until_s" in stored.spec
        ]
        check.assertTrue(any(KEY_ID in segment.spec["rows"] for segment in segments))
        await trio.sleep(1.1 * 3600)
        check.assertEqual(await call(entries[1]), 201)
        check.assertEqual(runner.state.runs_by_key["k"], 1)


async def test_the_key_of_another_account_is_another_key():
    async with deployment() as (_, entries, runner):
        check.assertEqual(await call(entries[0]), 201)
        check.assertEqual(await call(entries[0], account="other"), 201)
        check.assertEqual(len(runner.state.ran), 2)


async def test_a_key_is_needed_and_belongs_to_one_request():
    async with deployment() as (_, entries, runner):
        check.assertIs(await call(entries[0], post(None)), ErrorKind.KEY_REQUIRED)
        check.assertEqual(await call(entries[0]), 201)
        found = await call(entries[1], post(body=b"another"))
        check.assertIs(found, ErrorKind.KEY_REUSED)
        check.assertEqual(runner.state.runs_by_key["k"], 1)


async def test_an_answer_too_big_to_keep_is_replayed_as_such():
    async with deployment() as (_, entries, runner):
        big = post(key="k" * 200)
        runner.state.padding = 5000
        await call(entries[0], big)
        contract = entries[1].kernel.get(Configuration).state.contract_by_account["acme"]
        answer = await entries[1].kernel.get(Calls).call(contract, ServiceName("holds"), big)
        check.assertEqual(answer.status, 201)
        check.assertIn(("Egret-Replay", "answer-not-kept"), answer.headers)
        check.assertEqual(runner.state.runs_by_key["k" * 200], 1)


async def test_a_call_that_reached_no_runner_frees_its_key():
    async with deployment() as (_, entries, runner):
        runner.down = True
        check.assertIs(await call(entries[0]), ErrorKind.NOT_RUN)
        runner.down = False
        check.assertEqual(await call(entries[1]), 201)
        check.assertEqual(runner.state.runs_by_key["k"], 1)


async def test_a_lost_answer_of_the_upstream_is_unknown_and_never_sent_again():
    async with deployment() as (_, entries, runner):
        runner.state.lose_answers = 1
        check.assertIs(await call(entries[0]), ErrorKind.OUTCOME_UNKNOWN)
        check.assertIs(await call(entries[1]), ErrorKind.OUTCOME_UNKNOWN)
        check.assertEqual(runner.state.runs_by_key["k"], 1)


async def test_a_repeat_of_a_call_in_progress_is_refused():
    async with deployment() as (world, entries, runner):
        held, answers = await pause_before_first_byte(world, entries[0], runner)
        for process in entries:
            check.assertIs(await call(process), ErrorKind.IN_PROGRESS)
        held.set()
        await trio.sleep(1)
        check.assertEqual(answers, [201])
        check.assertEqual(runner.state.runs_by_key["k"], 1)


async def test_a_sender_paused_before_its_dispatch_does_not_send():
    # An entry is paused after its intent was written. When it resumes, its key may have been
    # forgotten, settled or used again. It finds that its intent is too old and sends nothing.
    async with deployment() as (_, entries, runner):
        runners = entries[0].kernel.get(Runners)
        clock = trio.lowlevel.current_clock()
        listed = runners.plain

        def after_a_pause(service):
            clock.jump(MAX_SEND_AGE_S + 1)
            return listed(service)

        runners.plain = after_a_pause
        check.assertIs(await call(entries[0], post(timeout_s=60)), ErrorKind.NOT_RUN)
        check.assertEqual(runner.state.runs_by_key["k"], 0)
        del runners.plain
        check.assertEqual(await call(entries[1], post(timeout_s=60)), 201)


async def test_a_sender_paused_while_connecting_does_not_send():
    async with deployment() as (world, entries, runner):
        runner.connecting = trio.Event()
        found = []

        async def caller():
            found.append(await call(entries[0], post(timeout_s=60)))

        world.nursery.start_soon(caller)
        await trio.sleep(MAX_SEND_AGE_S + 1)
        runner.connecting.set()
        await trio.sleep(1)
        check.assertEqual(found, [ErrorKind.NOT_RUN])
        check.assertEqual(runner.state.runs_by_key["k"], 0)


async def test_a_caller_that_disconnects_does_not_cancel_its_call():
    async with deployment() as (_, entries, runner):
        runner.state.delay_s = 1
        with trio.move_on_after(0.5):
            await call(entries[0])
        check.assertEqual(runner.state.runs_by_key["k"], 1)
        check.assertEqual(await call(entries[1]), 201)
        check.assertEqual(runner.state.runs_by_key["k"], 1)


async def test_a_drain_waits_for_calls_in_progress():
    async with deployment() as (world, entries, runner):
        held, answers = await pause_before_first_byte(
            world, entries[0], runner, post(timeout_s=120)
        )
        entries[0].kernel.begin_drain()
        await trio.sleep(90)
        check.assertFalse(entries[0].stopped.is_set())
        held.set()
        await entries[0].stopped.wait()
        check.assertEqual(answers, [201])
        check.assertEqual(await call(entries[1], post(timeout_s=120)), 201)
        check.assertEqual(runner.state.runs_by_key["k"], 1)


def test_may_have_run_is_sticky_over_tries():
    history = SendHistory()
    history.record_unknown("broken read")
    history.record_unsent(NotRunProof("refused"))
    error = history.final_error("none", ErrorKind.OUTCOME_UNKNOWN)
    check.assertIs(error.kind, ErrorKind.OUTCOME_UNKNOWN)
    check.assertIs(error.run, RunState.MAY_HAVE_RUN)
