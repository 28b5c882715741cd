"""Sessions on engines that repeat, skip or mix up events, stall, report wrongly, or die."""

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
    GenerationNotFound,
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
    open_session,
    run_session,
    tokens,
)
from tests.support import check, tests_of

load_tests = tests_of(globals())

REFUSED = EngineUnreachable("connection refused")
NO_ANSWER = EngineNoAnswer("connection timed out")
GONE = GenerationNotFound(ONE)


def check_complete(pumped, last):
    check.assertEqual(pumped.numbers, list(range(last + 1)))
    check.assertEqual(pumped.generations, {ONE})
    check.assertEqual(pumped.session.outcome, FinishedAnswer("", last))


def check_ended(pumped, kind, delivered):
    check.assertIsInstance(pumped.session.outcome, EgretError)
    check.assertIs(pumped.session.outcome.kind, kind)
    check.assertEqual(pumped.session.outcome.delivered, delivered)


async def test_events_repeated_after_a_resume_are_dropped():
    # The connection breaks after event 5 and the engine's resumed stream starts at event 2. The
    # caller would read four tokens twice; the cursor drops them.
    engine = ScriptedEngine([[created(), *tokens(1, 5), BROKEN], [*tokens(2, 9), completed(10)]])
    check_complete(await run_session(engine), 9)


async def test_events_skipped_by_the_engine_are_fetched_by_a_resume():
    # The engine sends 1, 2, 5. Forwarding 5 would leave an unnoticed gap in the answer; the session
    # resumes after 2.
    engine = ScriptedEngine(
        [[created(), *tokens(1, 2), *tokens(5, 6)], [*tokens(3, 9), completed(10)]]
    )
    pumped = await run_session(engine)
    check_complete(pumped, 9)
    check.assertEqual(engine.resumed_after, [2])


async def test_a_first_event_that_is_missing_is_fetched_and_the_session_gets_its_id():
    # The stream starts at event 1: the generation is known but its first event is missing. The
    # session resumes from the start and gets its id, without which no caller could resume it.
    engine = ScriptedEngine([[*tokens(1, 3)], [created(), *tokens(1, 3), completed(4)]])
    pumped = await run_session(engine)
    check_complete(pumped, 3)
    check.assertEqual(pumped.session.id, "resp_x")


async def test_a_resume_answered_with_another_generation_is_not_delivered():
    # The engine lost its table and answers the resume with another caller's generation. None of its
    # events is delivered; the next connection has the right generation.
    engine = ScriptedEngine(
        [
            [created(), *tokens(1, 4), BROKEN],
            [*tokens(5, 9, TWO), completed(10, TWO)],
            [*tokens(5, 9), completed(10)],
        ]
    )
    check_complete(await run_session(engine), 9)


async def test_an_event_of_another_generation_inside_a_stream_is_not_delivered():
    engine = ScriptedEngine(
        [
            [created(), *tokens(1, 4), *tokens(5, 5, TWO), *tokens(5, 9)],
            [*tokens(5, 9), completed(10)],
        ]
    )
    check_complete(await run_session(engine), 9)


async def test_a_completed_event_ahead_of_tokens_does_not_end_the_answer():
    # The engine sends `completed` with number 10 although 5 to 9 were not sent. Accepting it would
    # give the caller a truncated answer marked as complete; the gap is fetched first.
    engine = ScriptedEngine([[created(), *tokens(1, 4), completed(10)], [*tokens(5, 9)], []])
    engine.scripts[1].append(completed(10))
    check_complete(await run_session(engine), 9)


async def test_a_stream_that_ends_without_a_last_event_is_resumed():
    engine = ScriptedEngine([[created(), *tokens(1, 4)], [*tokens(5, 9), completed(10)]])
    check_complete(await run_session(engine), 9)


async def test_a_generation_that_fails_after_delivery_is_reported_with_its_count():
    # The engine fails the generation when the caller has four tokens. The caller is told
    # immediately how many it has; no other engine continues, since its text would differ.
    async with open_session(ScriptedEngine([]), ScriptedEngine([])) as pumped:
        pumped.placer.engines[0].scripts.append([created(), *tokens(1, 4), SILENT])
        pumped.placer.engines[0].states.append(GenerationState.RUNNING)
        pumped.placer.engines[0].scripts.append([event(5, EngineEventKind.FAILED)])
        await pumped.read()
    check.assertEqual(pumped.numbers, [0, 1, 2, 3, 4])
    check_ended(pumped, ErrorKind.GENERATION_LOST, 4)
    check.assertEqual(pumped.placer.engines[1].generated, 0)


async def test_a_generation_that_fails_before_delivery_is_restarted():
    first = ScriptedEngine([[created(), event(1, EngineEventKind.FAILED)]])
    second = ScriptedEngine([[created(TWO), *tokens(1, 3, TWO), completed(4, TWO)]])
    pumped = await run_session(first, second)
    check.assertEqual(pumped.generations, {TWO})
    check.assertEqual(pumped.numbers, [0, 1, 2, 3])


async def test_an_answer_that_is_not_streamed_is_restarted_after_tokens_arrived():
    # The engine dies after 40 tokens, of which the caller has received none. It gets the complete
    # answer of a second run; the text of the first run is dropped, not prepended.
    first = ScriptedEngine([[created(), *tokens(1, 40), BROKEN]], then=REFUSED)
    second = ScriptedEngine([[created(TWO), *tokens(1, 2, TWO), completed(3, TWO)]])
    pumped = await run_session(first, second, streamed=False)
    check.assertEqual(pumped.session.outcome, FinishedAnswer("w1 w2 ", 2))


async def test_an_unresponsive_connection_is_not_a_dead_engine():
    # The stream stops for good because a device on the path dropped the connection's state. The
    # engine answers over a new connection and continues there: the caller loses nothing.
    engine = ScriptedEngine(
        [[created(), *tokens(1, 4), SILENT], [*tokens(5, 9), completed(10)]],
        states=[GenerationState.RUNNING],
    )
    check_complete(await run_session(engine), 9)


async def test_a_stalled_engine_that_recovers_continues():
    # For 15 s the engine accepts connections and sends nothing. The caller has four tokens and no
    # other engine can continue from them, so the session waits and resumes.
    engine = ScriptedEngine(
        [
            [created(), *tokens(1, 4), SILENT],
            [NO_ANSWER],
            [SILENT],
            [*tokens(5, 9), completed(10)],
        ],
        states=[SILENT, SILENT, NO_ANSWER, GenerationState.RUNNING],
    )
    check_complete(await run_session(engine), 9)


async def test_an_engine_that_never_answers_again_is_lost_within_its_budget():
    # The engine's host vanishes without a reset. The caller with four tokens is told once the
    # budget for an engine that does not answer is used up, and not later.
    engine = ScriptedEngine([[created(), *tokens(1, 4), SILENT]], then=SILENT, states=[SILENT])
    began_s = trio.current_time()
    pumped = await run_session(engine)
    check_ended(pumped, ErrorKind.GENERATION_LOST, 4)
    check.assertLess(trio.current_time() - began_s, RecoveryBudget().max_unanswered_s + 10)


async def test_an_engine_that_reports_running_but_sends_nothing_is_given_up():
    engine = ScriptedEngine(
        [[created(), *tokens(1, 4), SILENT]], then=SILENT, states=[GenerationState.RUNNING]
    )
    began_s = trio.current_time()
    pumped = await run_session(engine)
    check_ended(pumped, ErrorKind.GENERATION_LOST, 4)
    waited_s = trio.current_time() - began_s
    check.assertGreaterEqual(waited_s, RecoveryBudget().max_stalled_s)
    check.assertLess(waited_s, RecoveryBudget().max_stalled_s + 10)


async def test_a_stalled_engine_is_abandoned_at_once_if_nothing_was_delivered():
    # No events before the first token and no answer over a new connection. The caller is not bound
    # to this generation, so the request runs on another engine instead of waiting for this one.
    first = ScriptedEngine([[created(), SILENT]], then=SILENT, states=[NO_ANSWER])
    second = ScriptedEngine([[created(TWO), *tokens(1, 3, TWO), completed(4, TWO)]])
    began_s = trio.current_time()
    pumped = await run_session(first, second)
    check.assertEqual(pumped.generations, {TWO})
    check.assertLess(trio.current_time() - began_s, 6)
    check.assertEqual(first.cancelled, [ONE])


async def test_an_engine_that_lost_the_generation_is_not_queried_twice():
    engine = ScriptedEngine([[created(), *tokens(1, 4), SILENT]], states=[GONE])
    pumped = await run_session(engine)
    check_ended(pumped, ErrorKind.GENERATION_LOST, 4)
    check.assertEqual(engine.resumed_after, [])


async def test_a_dead_engine_is_lost_in_seconds():
    engine = ScriptedEngine([[created(), *tokens(1, 4), BROKEN]], then=REFUSED)
    began_s = trio.current_time()
    pumped = await run_session(engine)
    check_ended(pumped, ErrorKind.GENERATION_LOST, 4)
    check.assertLess(trio.current_time() - began_s, 3)


async def test_an_engine_that_breaks_after_each_event_is_not_resumed_forever():
    # Each connection delivers one token and breaks. If every token renewed the budget, a bad link
    # would cause one connection per token for the whole answer.
    scripts = [[created(), *tokens(1, 1), BROKEN]]
    scripts += [[*tokens(n, n), BROKEN] for n in range(2, 90)]
    engine = ScriptedEngine(scripts)
    pumped = await run_session(engine)
    check_ended(pumped, ErrorKind.GENERATION_LOST, len(pumped.numbers) - 1)
    check.assertLess(len(engine.resumed_after), 10)


async def test_one_budget_bounds_the_runs_of_a_request_over_all_engines():
    engines = [ScriptedEngine([[created(), GONE]]) for _ in range(9)]
    pumped = await run_session(*engines)
    check.assertEqual(sum(engine.generated for engine in engines), RecoveryBudget().reruns + 1)
    check_ended(pumped, ErrorKind.GENERATION_LOST, 0)


async def test_no_run_is_started_after_the_start_deadline():
    # Each engine accepts the request and sends nothing for 5 s. The contract promises a start
    # within 10 s: after that no third engine is tried, and the caller is told when to retry.
    engines = [ScriptedEngine([[SILENT]]) for _ in range(4)]
    pumped = await run_session(*engines)
    check.assertEqual([engine.generated for engine in engines], [1, 1, 0, 0])
    check.assertIsNotNone(pumped.session.outcome.retry_after_s)


async def test_full_engines_are_reported_as_full_and_not_run():
    full = EngineRefused("status 503", 4.0)
    pumped = await run_session(ScriptedEngine([[full]]), ScriptedEngine([[full]]))
    check.assertIs(pumped.session.outcome.kind, ErrorKind.ENGINES_FULL)
    check.assertIs(pumped.session.outcome.run, RunState.NOT_RUN)


async def test_not_run_is_never_reported_after_an_engine_may_have_run():
    # One engine accepts the request and dies; then no engine is left. The refusal of the second
    # placement states that nothing ran, which holds for that attempt but not for the request.
    for death in (BROKEN, SILENT, GONE):
        pumped = await run_session(ScriptedEngine([[created(), death]], then=GONE, states=[GONE]))
        check.assertIsNot(pumped.session.outcome.run, RunState.NOT_RUN)
        check.assertEqual(pumped.session.outcome.retry_after_s, 7)


async def test_not_run_is_reported_if_every_connection_was_refused():
    pumped = await run_session(ScriptedEngine([[REFUSED]]), ScriptedEngine([[NO_ANSWER]]))
    check.assertIs(pumped.session.outcome.kind, ErrorKind.NO_RUNNER)
    check.assertIs(pumped.session.outcome.run, RunState.NOT_RUN)


async def test_an_engine_that_exceeds_the_requested_tokens_is_cancelled():
    endless = ScriptedEngine([[created(), *tokens(1, 300), completed(301)]])
    pumped = await run_session(endless, streamed=False)
    check.assertIsInstance(pumped.session.outcome, EgretError)
    check.assertEqual(endless.cancelled, [ONE])


async def test_a_caller_is_answered_before_a_stalled_engine_confirms_the_cancel():
    # The generation is cancelled while its engine is stalled, so the cancel request hangs. The
    # caller's answer does not wait for it.
    engine = ScriptedEngine([[created(), *tokens(1, 4), SILENT]], states=[SILENT])

    async def hang(generation):
        await trio.sleep_forever()

    engine.cancel = hang
    async with open_session(engine) as pumped:
        await trio.sleep(1)
        pumped.pump.cancel()
        began_s = trio.current_time()
        await pumped.session.wait_for_end()
        check.assertEqual(trio.current_time(), began_s)
    check_ended(pumped, ErrorKind.GENERATION_CANCELLED, 4)


async def test_a_released_session_is_not_cancelled_at_its_engine():
    # Another entry serves the session now. The reader here ends without an end event, and the
    # generation is not cancelled.
    engine = ScriptedEngine([[created(), *tokens(1, 4), SILENT]])
    async with open_session(engine) as pumped:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(pumped.read)
            await trio.sleep(1)
            pumped.pump.release()
        await trio.testing.wait_all_tasks_blocked()
    check.assertEqual(pumped.numbers, [0, 1, 2, 3, 4])
    check.assertIsNone(pumped.session.outcome)
    check.assertEqual(engine.cancelled, [])


async def test_a_session_taken_over_is_never_restarted():
    # An entry that takes a session over does not know its prompt. The generation ends before the
    # caller received a token: it is reported as lost, not restarted with an empty prompt.
    engine, other = ScriptedEngine([], then=GONE), ScriptedEngine([[created(TWO)]])
    pumped = await run_session(engine, other, after=-1)
    check_ended(pumped, ErrorKind.GENERATION_LOST, 0)
    check.assertEqual(other.generated, 0)


async def test_a_caller_that_has_the_completed_event_gets_nothing_more():
    engine = ScriptedEngine([[completed(10)]])
    pumped = await run_session(engine, after=10)
    check.assertEqual(pumped.numbers, [])
    check.assertEqual(pumped.session.outcome, FinishedAnswer("", 9))


async def test_a_position_that_the_generation_never_reached_is_rejected():
    # The caller wants to continue after event 50 of a generation that ended with event 10. There is
    # nothing to wait for, and "lost after 50 tokens" would be false.
    engine = ScriptedEngine([[], []], states=[GenerationState.COMPLETED])
    pumped = await run_session(engine, after=50)
    check.assertIs(pumped.session.outcome.kind, ErrorKind.BAD_REQUEST)


async def test_a_reader_gets_nothing_of_an_evicted_generation():
    # The policy evicts the request while its first tokens wait for the reader. A reader that read
    # them now would have a part of a generation that is about to be restarted elsewhere.
    first = ScriptedEngine([[created(), *tokens(1, 4), SILENT]])
    second = ScriptedEngine([[created(TWO), *tokens(1, 3, TWO), completed(4, TWO)]])
    async with open_session(first, second) as pumped:
        await trio.sleep(1)
        pumped.placer.placed[0].evict()
        reader = pumped.session.supersede()
        async for batch in pumped.session.batches(reader, -1, 1000):
            pumped.received.extend(batch)
    check.assertEqual(pumped.generations, {TWO})
    check.assertEqual(pumped.numbers, [0, 1, 2, 3])


async def test_a_buffer_that_nobody_reads_ends_the_session():
    # The caller's connection stays open and is never read. The buffer fills up to its limit; after
    # the timeout the session ends and the engine's memory is released.
    engine = ScriptedEngine([[created(), *tokens(1, 5000), completed(5001)]])
    async with open_session(engine, unread_timeout_s=30.0, max_output_tokens=10_000) as pumped:
        began_s = trio.current_time()
        await pumped.session.wait_for_end()
        check.assertEqual(trio.current_time() - began_s, 30)
        await trio.testing.wait_all_tasks_blocked()
    check.assertIs(pumped.session.outcome.kind, ErrorKind.GENERATION_CANCELLED)
    check.assertEqual(pumped.session.tokens, MAX_UNREAD_EVENTS)
    check.assertEqual(engine.cancelled, [ONE])


async def test_a_lost_generation_counts_the_tokens_that_wait_for_a_slow_reader():
    # The engine dies while three tokens are buffered for the caller. The caller gets them before
    # the end event, so the count in that event has to include them.
    engine = ScriptedEngine([[created(), *tokens(1, 7), BROKEN]], then=REFUSED)
    async with open_session(engine) as pumped:
        reader = pumped.session.supersede()
        async for batch in pumped.session.batches(reader, -1, 1000):
            pumped.received.extend(batch)
            break
        await pumped.session.wait_for_end()
        await pumped.read()
    check_ended(pumped, ErrorKind.GENERATION_LOST, 7)
