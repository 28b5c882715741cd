"""A session against engines that repeat, skip, mix up, stall, lie and die."""

import trio

from egretstack.delivery import RecoveryBudget
from egretstack.errors import EgretError, ErrorKind, RunState
from egretstack.sessions import FinishedAnswer
from egretstack.sessions._session import MAX_UNREAD_EVENTS
from egretstack.upstreams import (
    EngineEventKind,
    EngineNoAnswer,
    EngineRefused,
    EngineUnreachable,
    GenerationGone,
    GenerationState,
)
from tests.scripted_engine import (
    BROKEN,
    ONE,
    SILENT,
    TWO,
    ScriptedEngine,
    completed,
    created,
    event,
    opened_run,
    read_out,
    tokens,
)
from tests.support import check, tests_of

load_tests = tests_of(globals())

REFUSED = EngineUnreachable("connection refused")
NO_ANSWER = EngineNoAnswer("connection timed out")
GONE = GenerationGone(ONE)


def check_whole(run, last):
    check.assertEqual(run.numbers, list(range(last + 1)))
    check.assertEqual(run.generations, {ONE})
    check.assertEqual(run.session.outcome, FinishedAnswer("", last))


def check_ended(run, kind, delivered):
    check.assertIsInstance(run.session.outcome, EgretError)
    check.assertIs(run.session.outcome.kind, kind)
    check.assertEqual(run.session.outcome.delivered, delivered)


async def test_events_repeated_after_a_resume_are_dropped():
    # The connection breaks after event 5. The engine's resumed stream begins again at 2, so the
    # caller would read four tokens twice; the cursor drops them.
    engine = ScriptedEngine([[created(), *tokens(1, 5), BROKEN], [*tokens(2, 9), completed(10)]])
    check_whole(await read_out(engine), 9)


async def test_events_skipped_by_the_engine_are_fetched_by_a_resume():
    # The engine sends 1, 2, 5. Passing 5 on would leave a hole in the answer that nobody sees;
    # the session asks again from 2.
    engine = ScriptedEngine(
        [[created(), *tokens(1, 2), *tokens(5, 6)], [*tokens(3, 9), completed(10)]]
    )
    run = await read_out(engine)
    check_whole(run, 9)
    check.assertEqual(engine.resumed_after, [2])


async def test_a_first_event_that_is_missing_is_fetched_and_the_session_gets_its_id():
    # The stream begins at event 1: the generation is known but its first event is not. The
    # session resumes from the start, and its id is made, without which nobody could resume it.
    engine = ScriptedEngine([[*tokens(1, 3)], [created(), *tokens(1, 3), completed(4)]])
    run = await read_out(engine)
    check_whole(run, 3)
    check.assertEqual(run.session.id, "resp_x")


async def test_a_resume_answered_with_another_generation_is_not_spliced_in():
    # The engine lost its table and answers the resume with another caller's generation. Not one
    # event of it is passed on; the next connection has the right one.
    engine = ScriptedEngine(
        [
            [created(), *tokens(1, 4), BROKEN],
            [*tokens(5, 9, TWO), completed(10, TWO)],
            [*tokens(5, 9), completed(10)],
        ]
    )
    check_whole(await read_out(engine), 9)


async def test_an_event_of_another_generation_inside_a_stream_is_not_passed_on():
    engine = ScriptedEngine(
        [
            [created(), *tokens(1, 4), *tokens(5, 5, TWO), *tokens(5, 9)],
            [*tokens(5, 9), completed(10)],
        ]
    )
    check_whole(await read_out(engine), 9)


async def test_a_completed_event_ahead_of_tokens_does_not_end_the_answer():
    # The engine says `completed` with number 10 when 5 to 9 were not sent. Believing it would
    # give the caller a cut answer marked as whole; the gap is fetched first.
    engine = ScriptedEngine([[created(), *tokens(1, 4), completed(10)], [*tokens(5, 9)], []])
    engine.scripts[1].append(completed(10))
    check_whole(await read_out(engine), 9)


async def test_a_stream_that_ends_without_a_last_event_is_resumed():
    engine = ScriptedEngine([[created(), *tokens(1, 4)], [*tokens(5, 9), completed(10)]])
    check_whole(await read_out(engine), 9)


async def test_a_generation_that_fails_after_delivery_is_told_with_its_count():
    # The engine fails the generation when the caller has four tokens. The caller is told at
    # once how many it has; no other engine goes on, since its text would be another's.
    async with opened_run(ScriptedEngine([]), ScriptedEngine([])) as run:
        run.placer.engines[0].scripts.append([created(), *tokens(1, 4), SILENT])
        run.placer.engines[0].states.append(GenerationState.RUNNING)
        run.placer.engines[0].scripts.append([event(5, EngineEventKind.FAILED)])
        await run.read()
    check.assertEqual(run.numbers, [0, 1, 2, 3, 4])
    check_ended(run, ErrorKind.GENERATION_LOST, 4)
    check.assertEqual(run.placer.engines[1].generated, 0)


async def test_a_generation_that_fails_before_delivery_is_run_again():
    first = ScriptedEngine([[created(), event(1, EngineEventKind.FAILED)]])
    second = ScriptedEngine([[created(TWO), *tokens(1, 3, TWO), completed(4, TWO)]])
    run = await read_out(first, second)
    check.assertEqual(run.generations, {TWO})
    check.assertEqual(run.numbers, [0, 1, 2, 3])


async def test_an_answer_that_is_not_streamed_is_run_again_after_tokens_came():
    # The engine dies with 40 tokens generated. The caller has seen none of them, so it gets one
    # whole answer of a second run; the text of the first is dropped, not put in front.
    first = ScriptedEngine([[created(), *tokens(1, 40), BROKEN]], then=REFUSED)
    second = ScriptedEngine([[created(TWO), *tokens(1, 2, TWO), completed(3, TWO)]])
    run = await read_out(first, second, streamed=False)
    check.assertEqual(run.session.outcome, FinishedAnswer("w1 w2 ", 2))


async def test_a_silent_connection_is_not_a_dead_engine():
    # The stream goes silent for good because something between the two ends forgot it. The
    # engine answers over a new connection and goes on there: the caller loses nothing.
    engine = ScriptedEngine(
        [[created(), *tokens(1, 4), SILENT], [*tokens(5, 9), completed(10)]],
        states=[GenerationState.RUNNING],
    )
    check_whole(await read_out(engine), 9)


async def test_a_stalled_engine_that_comes_back_goes_on():
    # The engine stops: connections are accepted and nothing is said, for 15 s. The caller has
    # four tokens and no other engine can go on with them, so the session waits and resumes.
    engine = ScriptedEngine(
        [
            [created(), *tokens(1, 4), SILENT],
            [NO_ANSWER],
            [SILENT],
            [*tokens(5, 9), completed(10)],
        ],
        states=[SILENT, SILENT, NO_ANSWER, GenerationState.RUNNING],
    )
    check_whole(await read_out(engine), 9)


async def test_an_engine_that_never_answers_again_is_lost_within_its_budget():
    # The engine's host vanishes without a reset. The caller with four tokens is told so once
    # the budget for an engine that does not answer is spent, and not later.
    engine = ScriptedEngine([[created(), *tokens(1, 4), SILENT]], then=SILENT, states=[SILENT])
    began_s = trio.current_time()
    run = await read_out(engine)
    check_ended(run, ErrorKind.GENERATION_LOST, 4)
    check.assertLess(trio.current_time() - began_s, RecoveryBudget().unanswered_s + 10)


async def test_an_engine_that_only_says_it_is_running_is_given_up_in_the_end():
    engine = ScriptedEngine(
        [[created(), *tokens(1, 4), SILENT]], then=SILENT, states=[GenerationState.RUNNING]
    )
    began_s = trio.current_time()
    run = await read_out(engine)
    check_ended(run, ErrorKind.GENERATION_LOST, 4)
    waited_s = trio.current_time() - began_s
    check.assertGreaterEqual(waited_s, RecoveryBudget().stalled_s)
    check.assertLess(waited_s, RecoveryBudget().stalled_s + 10)


async def test_a_stalled_engine_is_left_at_once_where_nothing_was_delivered():
    # Silence before the first token and no answer over a new connection. Nothing binds the
    # caller to this generation, so another engine runs it instead of waiting for this one.
    first = ScriptedEngine([[created(), SILENT]], then=SILENT, states=[NO_ANSWER])
    second = ScriptedEngine([[created(TWO), *tokens(1, 3, TWO), completed(4, TWO)]])
    began_s = trio.current_time()
    run = await read_out(first, second)
    check.assertEqual(run.generations, {TWO})
    check.assertLess(trio.current_time() - began_s, 6)
    check.assertEqual(first.cancelled, [ONE])


async def test_an_engine_that_forgot_the_generation_is_not_asked_twice():
    engine = ScriptedEngine([[created(), *tokens(1, 4), SILENT]], states=[GONE])
    run = await read_out(engine)
    check_ended(run, ErrorKind.GENERATION_LOST, 4)
    check.assertEqual(engine.resumed_after, [])


async def test_a_dead_engine_is_lost_in_seconds():
    engine = ScriptedEngine([[created(), *tokens(1, 4), BROKEN]], then=REFUSED)
    began_s = trio.current_time()
    run = await read_out(engine)
    check_ended(run, ErrorKind.GENERATION_LOST, 4)
    check.assertLess(trio.current_time() - began_s, 3)


async def test_an_engine_that_breaks_after_each_event_is_not_resumed_for_ever():
    # Each connection brings one token and breaks. Were the budget renewed by every token, a
    # sick link would be dialled once a token for the whole answer.
    scripts = [[created(), *tokens(1, 1), BROKEN]]
    scripts += [[*tokens(n, n), BROKEN] for n in range(2, 90)]
    engine = ScriptedEngine(scripts)
    run = await read_out(engine)
    check_ended(run, ErrorKind.GENERATION_LOST, len(run.numbers) - 1)
    check.assertLess(len(engine.resumed_after), 10)


async def test_one_budget_bounds_the_runs_of_a_request_over_all_engines():
    engines = [ScriptedEngine([[created(), GONE]]) for _ in range(9)]
    run = await read_out(*engines)
    check.assertEqual(sum(one.generated for one in engines), RecoveryBudget().reruns + 1)
    check_ended(run, ErrorKind.GENERATION_LOST, 0)


async def test_no_run_is_started_after_the_start_deadline():
    # Each engine takes the request and says nothing for 5 s. The contract promises a start
    # within 10 s: after that no third engine is tried, and the caller is told to come back.
    engines = [ScriptedEngine([[SILENT]]) for _ in range(4)]
    run = await read_out(*engines)
    check.assertEqual([one.generated for one in engines], [1, 1, 0, 0])
    check.assertIsNotNone(run.session.outcome.retry_after_s)


async def test_full_engines_are_told_as_full_and_as_not_run():
    full = EngineRefused("status 503", 4.0)
    run = await read_out(ScriptedEngine([[full]]), ScriptedEngine([[full]]))
    check.assertIs(run.session.outcome.kind, ErrorKind.ENGINES_FULL)
    check.assertIs(run.session.outcome.run, RunState.NOT_RUN)


async def test_not_run_is_never_said_after_an_engine_may_have_run():
    # One engine takes the request and dies; then no engine is left. The refusal of the second
    # placement states that nothing ran, which is true of that attempt and not of the request.
    for death in (BROKEN, SILENT, GONE):
        run = await read_out(ScriptedEngine([[created(), death]], then=GONE, states=[GONE]))
        check.assertIsNot(run.session.outcome.run, RunState.NOT_RUN)
        check.assertEqual(run.session.outcome.retry_after_s, 7)


async def test_not_run_is_said_where_every_connection_was_refused():
    run = await read_out(ScriptedEngine([[REFUSED]]), ScriptedEngine([[NO_ANSWER]]))
    check.assertIs(run.session.outcome.kind, ErrorKind.NO_RUNNER)
    check.assertIs(run.session.outcome.run, RunState.NOT_RUN)


async def test_an_engine_that_sends_without_end_is_stopped():
    endless = ScriptedEngine([[created(), *tokens(1, 300), completed(301)]])
    run = await read_out(endless, streamed=False)
    check.assertIsInstance(run.session.outcome, EgretError)
    check.assertEqual(endless.cancelled, [ONE])


async def test_a_caller_is_answered_before_a_dead_engine_is_told_to_stop():
    # The generation is cancelled while its engine is stalled: the cancel order hangs. The
    # caller's answer does not wait for it.
    engine = ScriptedEngine([[created(), *tokens(1, 4), SILENT]], states=[SILENT])

    async def hang(generation):
        await trio.sleep_forever()

    engine.cancel = hang
    async with opened_run(engine) as run:
        await trio.sleep(1)
        run.pump.cancel()
        began_s = trio.current_time()
        await run.session.wait_for_end()
        check.assertEqual(trio.current_time(), began_s)
    check_ended(run, ErrorKind.GENERATION_CANCELLED, 4)


async def test_a_released_session_is_not_cancelled_at_its_engine():
    # Another entry serves the session now. The reader here ends without an end event, and the
    # engine is not told to stop.
    engine = ScriptedEngine([[created(), *tokens(1, 4), SILENT]])
    async with opened_run(engine) as run:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run.read)
            await trio.sleep(1)
            run.pump.release()
        await trio.testing.wait_all_tasks_blocked()
    check.assertEqual(run.numbers, [0, 1, 2, 3, 4])
    check.assertIsNone(run.session.outcome)
    check.assertEqual(engine.cancelled, [])


async def test_a_picked_up_session_is_never_run_again():
    # The prompt is not known at the entry that picks a session up. Its generation is gone
    # before the caller saw a token: it is told as lost, not run with an empty prompt.
    engine, other = ScriptedEngine([], then=GONE), ScriptedEngine([[created(TWO)]])
    run = await read_out(engine, other, after=-1)
    check_ended(run, ErrorKind.GENERATION_LOST, 0)
    check.assertEqual(other.generated, 0)


async def test_a_caller_that_has_the_completed_event_gets_nothing_more():
    engine = ScriptedEngine([[completed(10)]])
    run = await read_out(engine, after=10)
    check.assertEqual(run.numbers, [])
    check.assertEqual(run.session.outcome, FinishedAnswer("", 9))


async def test_a_place_that_the_generation_never_had_is_refused():
    # The caller asks to go on after event 50 of a generation that ended with 10. There is
    # nothing to wait for, and "lost after 50 tokens" would be false.
    engine = ScriptedEngine([[], []], states=[GenerationState.COMPLETED])
    run = await read_out(engine, after=50)
    check.assertIs(run.session.outcome.kind, ErrorKind.BAD_REQUEST)


async def test_an_eviction_takes_nothing_that_a_reader_could_still_take():
    # The policy takes the work away while its first tokens wait for the reader. A reader that
    # took them now would hold a part of a generation that is about to be run again elsewhere.
    first = ScriptedEngine([[created(), *tokens(1, 4), SILENT]])
    second = ScriptedEngine([[created(TWO), *tokens(1, 3, TWO), completed(4, TWO)]])
    async with opened_run(first, second) as run:
        await trio.sleep(1)
        run.placer.placed[0].evict()
        reader = run.session.supersede()
        async for batch in run.session.batches(reader, -1, 1000):
            run.seen.extend(batch)
    check.assertEqual(run.generations, {TWO})
    check.assertEqual(run.numbers, [0, 1, 2, 3])


async def test_a_buffer_that_nobody_reads_ends_the_session():
    # The caller's connection stays open and is never read. The buffer fills up to its bound;
    # after the time allowed the session ends and the engine's memory is free again.
    engine = ScriptedEngine([[created(), *tokens(1, 5000), completed(5001)]])
    async with opened_run(engine, unread_s=30.0, max_output=10_000) as run:
        began_s = trio.current_time()
        await run.session.wait_for_end()
        check.assertEqual(trio.current_time() - began_s, 30)
        await trio.testing.wait_all_tasks_blocked()
    check.assertIs(run.session.outcome.kind, ErrorKind.GENERATION_CANCELLED)
    check.assertEqual(run.session.tokens, MAX_UNREAD_EVENTS)
    check.assertEqual(engine.cancelled, [ONE])


async def test_a_lost_generation_counts_the_tokens_that_wait_for_a_slow_reader():
    # The engine dies while three tokens wait for the caller to read on. The caller gets them
    # before the end event, so the count in that event has to include them.
    engine = ScriptedEngine([[created(), *tokens(1, 7), BROKEN]], then=REFUSED)
    async with opened_run(engine) as run:
        reader = run.session.supersede()
        async for batch in run.session.batches(reader, -1, 1000):
            run.seen.extend(batch)
            break
        await run.session.wait_for_end()
        await run.read()
    check_ended(run, ErrorKind.GENERATION_LOST, 7)
