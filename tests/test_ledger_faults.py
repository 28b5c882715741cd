"""Calls that may not be repeated, with an unavailable or slow store or a paused or dead entry."""

import trio

from egretstack.callers import GenerationBody
from egretstack.errors import ErrorKind
from egretstack.ids import ModelName, ServiceName
from egretstack.services.calls import Calls
from egretstack.services.configuration import Configuration
from egretstack.services.session_host import SessionHost
from egretstack.settings import Program
from tests.ledger_site import (
    call,
    cut_after_delayed_write,
    deployment,
    make_writes_delayable,
    open_rows,
    pause_before_first_byte,
    post,
)
from tests.support import check, tests_of

load_tests = tests_of(globals())


async def test_with_the_platform_unavailable_nothing_is_sent_and_generations_continue():
    # The object API refuses every call. A call that needs the ledger is refused at once, with a
    # time to retry. A generation does not need the platform.
    async with deployment() as (world, entries, runner):
        world.store.faults.down = True
        before_s = trio.current_time()
        check.assertIs(await call(entries[0]), ErrorKind.PLATFORM_AWAY)
        check.assertLess(trio.current_time() - before_s, 1)
        check.assertEqual(runner.state.runs_by_key["k"], 0)
        contract = entries[0].kernel.get(Configuration).state.contract_by_account["acme"]
        body = GenerationBody(ModelName("story"), "a story tokens:20", False, 100)
        session = await entries[0].kernel.get(SessionHost).open(contract, body)
        await session.wait_for_end()
        check.assertEqual(session.outcome.output_tokens, 20)
        world.store.faults.down = False
        await trio.sleep(3)
        check.assertEqual(await call(entries[0]), 201)


async def test_with_a_slow_store_a_call_is_refused_at_its_timeout():
    async with deployment() as (world, entries, runner):
        world.store.faults.delay_s = 60
        before_s = trio.current_time()
        check.assertIs(await call(entries[0]), ErrorKind.PLATFORM_AWAY)
        check.assertLess(trio.current_time() - before_s, 4)
        check.assertEqual(runner.state.runs_by_key["k"], 0)


async def test_a_lost_answer_to_the_intent_is_settled_by_reading_back():
    # The write of the intent takes effect and its answer is lost. The entry reads the head again,
    # finds its own attempt, and sends the call.
    async with deployment() as (world, entries, runner):
        world.store.faults.lose_answers = 1
        check.assertEqual(await call(entries[0]), 201)
        check.assertEqual(runner.state.runs_by_key["k"], 1)


async def test_an_intent_that_lands_after_its_refusal_blocks_nobody():
    # The write of the intent is delayed, reads fail too, and the caller is told "not run". Then
    # the write arrives after all. A repeat at another entry finds the intent, queries its owner,
    # learns that it was abandoned, and takes over the key. The owner never sends.
    async with deployment() as (world, entries, runner):
        api = make_writes_delayable(entries[0])
        api.writes_to_delay = 1
        with trio.move_on_after(0.005):
            await trio.sleep_forever()
        world.nursery.start_soon(cut_after_delayed_write, api)
        found = await call(entries[0])
        check.assertIs(found, ErrorKind.PLATFORM_AWAY)
        check.assertEqual(api.deliver_all(), 1)
        check.assertEqual(len(open_rows(world)), 1)
        check.assertEqual(await call(entries[1]), 201)
        api.cut = False
        await trio.sleep(10)
        check.assertEqual(runner.state.runs_by_key["k"], 1)
        found = await call(entries[0])
        if found is ErrorKind.RATE_LIMITED:
            # The limits home may have granted this entry nothing yet; the caller retries as told.
            await trio.sleep(1)
            found = await call(entries[0])
        check.assertEqual(found, 201)
        check.assertEqual(runner.state.runs_by_key["k"], 1)


async def test_a_write_that_would_land_after_the_read_back_is_refused():
    # The write of the intent is delayed. The read-back finds nothing, and the caller is told "not
    # run". The retraction writes the head once more, so that its version is no longer the one on
    # which the delayed write is conditional.
    async with deployment() as (world, entries, runner):
        await call(entries[0], post("before"))
        api = make_writes_delayable(entries[0])
        api.writes_to_delay = 1
        world.nursery.start_soon(cut_after_delayed_write, api)
        check.assertIs(await call(entries[0]), ErrorKind.PLATFORM_AWAY)
        api.cut = False
        await trio.sleep(10)
        check.assertEqual(api.deliver_all(), 0)
        check.assertEqual(open_rows(world), [])
        check.assertEqual(runner.state.runs_by_key["k"], 0)
        check.assertEqual(await call(entries[1]), 201)


async def test_an_abandoned_intent_whose_owner_died_is_unknown():
    # The write of the intent is delayed and lands, and the owner dies before it retracts it.
    # Nobody can know that it did not send, and the upstream checks nothing. So the answer is
    # "unknown" once the attempt's deadline is over, and final.
    async with deployment() as (world, entries, runner):
        api = make_writes_delayable(entries[0])
        api.writes_to_delay = 1
        world.nursery.start_soon(cut_after_delayed_write, api)
        await call(entries[0])
        api.deliver_all()
        entries[0].kill()
        check.assertIs(await call(entries[1]), ErrorKind.IN_PROGRESS)
        await trio.sleep(60)
        check.assertIs(await call(entries[1]), ErrorKind.OUTCOME_UNKNOWN)
        check.assertEqual(runner.state.runs_by_key["k"], 0)


async def unresponsive_sender(fencing, lookup):
    """Pause a sender before its first byte, cut its network, repeat the call, then resume it.

    Returns the repeat's answer while the first call may be in progress, its answer after the
    first call's deadline, the sender's own answer after it resumed, and how often the call ran.
    """
    async with deployment(fencing=fencing, lookup=lookup) as (world, entries, runner):
        request = post(timeout_s=300.0)
        held, answers = await pause_before_first_byte(world, entries[0], runner, request)
        world.network.cut(entries[0].host, entries[1].host)
        early = await call(entries[1], request)
        await trio.sleep(330)
        late = await call(entries[1], request)
        held.set()
        await trio.sleep(2)
        return early, late, answers, runner.state.runs_by_key["k"]


async def test_an_unresponsive_sender_keeps_its_key_if_the_upstream_checks_nothing():
    # The sender is paused just before its first byte. A repeat cannot know whether the call was
    # sent. It gets "in progress", then "unknown" after the first call's deadline, and never runs.
    early, late, _, runs = await unresponsive_sender("ignored", "")
    check.assertIs(early, ErrorKind.IN_PROGRESS)
    check.assertIs(late, ErrorKind.OUTCOME_UNKNOWN)
    check.assertEqual(runs, 1)


async def test_a_look_up_without_fencing_takes_over_nothing():
    # The service answers truthfully that the call did not run. It does not check fencing numbers,
    # so the paused sender could still run the call afterwards: "it did not run" settles nothing.
    early, late, _, runs = await unresponsive_sender("ignored", "/outcomes")
    check.assertIs(early, ErrorKind.IN_PROGRESS)
    check.assertIs(late, ErrorKind.OUTCOME_UNKNOWN)
    check.assertEqual(runs, 1)


async def test_fencing_without_a_look_up_takes_over_nothing():
    # Fencing excludes the paused sender from now on, but does not say whether its call ran
    # before. Sent again with a higher number, the call would run a second time.
    early, late, _, runs = await unresponsive_sender("checked", "")
    check.assertIs(early, ErrorKind.IN_PROGRESS)
    check.assertIs(late, ErrorKind.OUTCOME_UNKNOWN)
    check.assertEqual(runs, 1)


async def test_a_fenced_look_up_lets_a_repeat_take_the_key_over():
    # The look-up sends the next fencing number, and finds that the call did not run. The repeat
    # runs it with that number, and the upstream refuses the sender that resumes later.
    early, late, own, runs = await unresponsive_sender("checked", "/outcomes")
    check.assertEqual(own, [ErrorKind.IN_PROGRESS])
    check.assertEqual(early, 201)
    check.assertEqual(late, 201)
    check.assertEqual(runs, 1)


async def test_a_sender_that_a_look_up_fenced_off_frees_its_key():
    # A repeat's look-up fenced the sender off, and the repeat's entry died before it took over
    # the key. The upstream's refusal of the old number is not an answer to the call. The sender
    # answers "in progress", and the next repeat runs the call.
    async with deployment(fencing="checked", lookup="/outcomes") as (world, entries, runner):
        held, answers = await pause_before_first_byte(world, entries[0], runner)
        runner.state.fencing_by_scope["acme", "k"] = open_rows(world)[0].fence + 1
        held.set()
        await trio.sleep(1)
        check.assertEqual(answers, [ErrorKind.IN_PROGRESS])
        check.assertEqual(await call(entries[1]), 201)
        check.assertEqual(runner.state.runs_by_key["k"], 1)


async def test_a_look_up_finds_a_call_that_ran_before_its_entry_died():
    # The call ran, and the entry died before it wrote the outcome. The look-up finds that it
    # ran. The repeat reports that without the answer, which is lost.
    async with deployment(lookup="/outcomes") as (world, entries, runner):
        await pause_before_first_byte(world, entries[0], runner)
        entries[0].kill()
        runner.state.ran.add(("acme", "k"))
        contract = entries[1].kernel.get(Configuration).state.contract_by_account["acme"]
        answer = await entries[1].kernel.get(Calls).call(contract, ServiceName("holds"), post())
        check.assertIn(("Egret-Replay", "ran-answer-unknown"), answer.headers)
        check.assertEqual(runner.state.runs_by_key["k"], 0)


async def test_the_owner_of_an_attempt_is_known_to_have_ended_once_it_restarts():
    # The owner died and another process runs under its name. That process answers that the
    # attempt is not its own, so the repeat gets its final answer before the first call's deadline.
    async with deployment() as (world, entries, runner):
        await pause_before_first_byte(world, entries[0], runner)
        entries[0].kill()
        await trio.sleep(0.1)
        await world.start("entry-0", Program.ENTRY)
        await trio.sleep(2)
        check.assertIs(await call(entries[1]), ErrorKind.OUTCOME_UNKNOWN)


async def count_calls_without_ledger_home(inject_fault):
    """Make calls of many shards at one entry after a fault at the other; return how many ran."""
    async with deployment() as (world, entries, runner):
        inject_fault(world, entries[1])
        for number in range(20):
            check.assertEqual(await call(entries[0], post(f"k{number}")), 201)
            await trio.sleep(0.2)
        return runner.state.runs_by_key.total()


async def test_calls_continue_while_the_ledger_home_of_their_shard_is_dead():
    check.assertEqual(await count_calls_without_ledger_home(lambda _, other: other.kill()), 20)


async def test_calls_continue_while_the_ledger_home_of_their_shard_does_not_answer():
    # The other entry is the ledger home of about half the shards and does not answer. After a
    # timeout the first entry writes the rows itself, with the same attempts.
    def cut(world, other):
        world.network.cuts.add((other.host, "10.0.0.1"))

    check.assertEqual(await count_calls_without_ledger_home(cut), 20)
