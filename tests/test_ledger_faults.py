"""Calls that may not be repeated, while the store is away or slow, or an entry frozen or dead."""

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
    cut_soon,
    freeze_before_first_byte,
    make_late,
    open_rows,
    post,
    site,
)
from tests.support import check, tests_of

load_tests = tests_of(globals())


async def test_with_the_platform_away_nothing_is_sent_and_generations_go_on():
    # The object API refuses every call. A call that needs the ledger is refused at once with
    # when to come back; a generation needs nothing of the platform.
    async with site() as (world, entries, runner):
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


async def test_a_slow_store_refuses_within_its_own_bound():
    async with site() as (world, entries, runner):
        world.store.faults.delay_s = 60
        before_s = trio.current_time()
        check.assertIs(await call(entries[0]), ErrorKind.PLATFORM_AWAY)
        check.assertLess(trio.current_time() - before_s, 4)
        check.assertEqual(runner.state.runs_by_key["k"], 0)


async def test_a_lost_answer_to_the_intent_is_settled_by_reading_back():
    # The intent's write takes effect and its answer is lost. The entry reads the head again,
    # finds its own attempt and sends the call.
    async with site() as (world, entries, runner):
        world.store.faults.lose_answers = 1
        check.assertEqual(await call(entries[0]), 201)
        check.assertEqual(runner.state.runs_by_key["k"], 1)


async def test_an_intent_that_lands_after_its_refusal_blocks_nobody():
    # The write of the intent stays away, reads fail too, and the caller is told "not run".
    # Later the write arrives after all. A repeat at another entry finds the intent, asks its
    # owner, learns that it was abandoned, and takes the key over; the owner never sends.
    async with site() as (world, entries, runner):
        api = make_late(entries[0])
        api.late_writes = 1
        with trio.move_on_after(0.005):
            await trio.sleep_forever()
        world.nursery.start_soon(cut_soon, api)
        found = await call(entries[0])
        check.assertIs(found, ErrorKind.PLATFORM_AWAY)
        check.assertEqual(api.arrive(), 1)
        check.assertEqual(len(open_rows(world)), 1)
        check.assertEqual(await call(entries[1]), 201)
        api.cut = False
        await trio.sleep(10)
        check.assertEqual(runner.state.runs_by_key["k"], 1)
        found = await call(entries[0])
        if found is ErrorKind.RATE_LIMITED:
            # The limits may have lent this entry nothing just now; the caller comes back as told.
            await trio.sleep(1)
            found = await call(entries[0])
        check.assertEqual(found, 201)
        check.assertEqual(runner.state.runs_by_key["k"], 1)


async def test_a_write_that_would_land_after_the_read_back_is_shut_out():
    # The intent's write is delayed. The read-back finds nothing, and the caller is told "not
    # run". Retracting it writes the head once more, so the version that the delayed write is
    # conditional on is gone when it arrives.
    async with site() as (world, entries, runner):
        await call(entries[0], post("before"))
        api = make_late(entries[0])
        api.late_writes = 1
        world.nursery.start_soon(cut_soon, api)
        check.assertIs(await call(entries[0]), ErrorKind.PLATFORM_AWAY)
        api.cut = False
        await trio.sleep(10)
        check.assertEqual(api.arrive(), 0)
        check.assertEqual(open_rows(world), [])
        check.assertEqual(runner.state.runs_by_key["k"], 0)
        check.assertEqual(await call(entries[1]), 201)


async def test_an_abandoned_intent_whose_owner_died_is_unknown():
    # As before, but the owner dies before it could retract. Nobody can tell that it did not
    # send, and the upstream checks nothing: the truthful answer is "unknown", at once final.
    async with site() as (world, entries, runner):
        api = make_late(entries[0])
        api.late_writes = 1
        world.nursery.start_soon(cut_soon, api)
        await call(entries[0])
        api.arrive()
        entries[0].kill()
        check.assertIs(await call(entries[1]), ErrorKind.IN_PROGRESS)
        await trio.sleep(60)
        check.assertIs(await call(entries[1]), ErrorKind.OUTCOME_UNKNOWN)
        check.assertEqual(runner.state.runs_by_key["k"], 0)


async def silent_sender(fencing, lookup):
    """Freeze a sender before its first byte, cut it off, repeat, then thaw it.

    Gives the repeat's answer while the first call may be under way, its answer after the first
    call's deadline, the sender's own answer after the thaw, and how often the call ran.
    """
    async with site(fencing=fencing, lookup=lookup) as (world, entries, runner):
        request = post(timeout_s=300.0)
        held, answers = await freeze_before_first_byte(world, entries[0], runner, request)
        world.network.cut(entries[0].host, entries[1].host)
        early = await call(entries[1], request)
        await trio.sleep(330)
        late = await call(entries[1], request)
        held.set()
        await trio.sleep(2)
        return early, late, answers, runner.state.runs_by_key["k"]


async def test_a_silent_sender_is_not_taken_over_where_the_upstream_checks_nothing():
    # The sender is frozen with the call in its hands. A repeat cannot know whether it was
    # sent: first "in progress", after the first call's deadline "unknown", never a second run.
    early, late, _, runs = await silent_sender("ignored", "")
    check.assertIs(early, ErrorKind.IN_PROGRESS)
    check.assertIs(late, ErrorKind.OUTCOME_UNKNOWN)
    check.assertEqual(runs, 1)


async def test_a_look_up_alone_takes_nothing_over():
    # The service says truthfully that the call did not run. It does not fence, so the frozen
    # sender could run it right after: "it did not run" settles nothing here.
    early, late, _, runs = await silent_sender("ignored", "/outcomes")
    check.assertIs(early, ErrorKind.IN_PROGRESS)
    check.assertIs(late, ErrorKind.OUTCOME_UNKNOWN)
    check.assertEqual(runs, 1)


async def test_fencing_without_a_look_up_takes_nothing_over():
    # Fencing shuts the frozen sender out from now on, but does not tell whether its call ran
    # before: sent again with a higher number it would run a second time.
    early, late, _, runs = await silent_sender("checked", "")
    check.assertIs(early, ErrorKind.IN_PROGRESS)
    check.assertIs(late, ErrorKind.OUTCOME_UNKNOWN)
    check.assertEqual(runs, 1)


async def test_a_fenced_look_up_lets_a_repeat_take_the_key_over():
    # The look-up carries the next fencing number and says that the call did not run. The
    # repeat runs it with that number; the sender that thaws later is refused by the upstream.
    early, late, own, runs = await silent_sender("checked", "/outcomes")
    check.assertEqual(own, [ErrorKind.IN_PROGRESS])
    check.assertEqual(early, 201)
    check.assertEqual(late, 201)
    check.assertEqual(runs, 1)


async def test_a_sender_that_a_look_up_fenced_off_frees_its_key():
    # A repeat's look-up fenced the sender off, and the repeat's entry died before it took the
    # key over. The upstream's refusal of the old number is no answer to the call: the sender
    # says "come back", and the next repeat runs it.
    async with site(fencing="checked", lookup="/outcomes") as (world, entries, runner):
        held, answers = await freeze_before_first_byte(world, entries[0], runner)
        runner.state.fencing_by_scope["acme", "k"] = open_rows(world)[0].fence + 1
        held.set()
        await trio.sleep(1)
        check.assertEqual(answers, [ErrorKind.IN_PROGRESS])
        check.assertEqual(await call(entries[1]), 201)
        check.assertEqual(runner.state.runs_by_key["k"], 1)


async def test_a_look_up_tells_of_a_call_that_ran_before_its_entry_died():
    # The call ran, and the entry died before it wrote the outcome. The look-up finds that it
    # ran; the repeat says so, without the answer, which nobody has.
    async with site(lookup="/outcomes") as (world, entries, runner):
        await freeze_before_first_byte(world, entries[0], runner)
        entries[0].kill()
        runner.state.ran.add(("acme", "k"))
        contract = entries[1].kernel.get(Configuration).state.contract_by_account["acme"]
        answer = await entries[1].kernel.get(Calls).call(contract, ServiceName("holds"), post())
        check.assertIn(("Egret-Replay", "ran-answer-unknown"), answer.headers)
        check.assertEqual(runner.state.runs_by_key["k"], 0)


async def test_a_restarted_entry_is_known_to_be_gone():
    # The owner died and another process runs under its name. That one tells that the attempt
    # is not its own, so the repeat gets its final answer before the first call's deadline.
    async with site() as (world, entries, runner):
        await freeze_before_first_byte(world, entries[0], runner)
        entries[0].kill()
        await trio.sleep(0.1)
        await world.start("entry-0", Program.ENTRY)
        await trio.sleep(2)
        check.assertIs(await call(entries[1]), ErrorKind.OUTCOME_UNKNOWN)


async def count_of_calls_without_home(spoil):
    """Make calls of many shards at one entry after `spoil` has struck the other."""
    async with site() as (world, entries, runner):
        spoil(world, entries[1])
        for number in range(20):
            check.assertEqual(await call(entries[0], post(f"k{number}")), 201)
            await trio.sleep(0.2)
        return runner.state.runs_by_key.total()


async def test_calls_go_on_while_the_home_of_their_shard_is_dead():
    check.assertEqual(await count_of_calls_without_home(lambda _, other: other.kill()), 20)


async def test_calls_go_on_while_the_home_of_their_shard_does_not_answer():
    # The other entry is the home of about half the shards and does not answer. After its
    # patience the first writes the rows itself, with the same attempts.
    def cut(world, other):
        world.network.cuts.add((other.host, "10.0.0.1"))

    check.assertEqual(await count_of_calls_without_home(cut), 20)
