"""Calls that may not be repeated, through whole entries: store, upstream and entries fail."""

from contextlib import asynccontextmanager, suppress

import trio

from egretstack.callers import GenerationBody
from egretstack.errors import ErrorKind, NotRunProof, RunState
from egretstack.ids import AccountId, IdempotencyKey, ModelName, ServiceName
from egretstack.ledger import SendHistory, Shard, key_id
from egretstack.platform import ObjectKind
from egretstack.replay import EngineParameters
from egretstack.services.caller_api import CallerApi
from egretstack.services.calls import Calls
from egretstack.services.configuration import Configuration
from egretstack.services.ledger_store import SEND_WITHIN_S, LedgerStore
from egretstack.services.runners import Runners
from egretstack.services.session_host import SessionHost
from egretstack.settings import Program
from egretstack.upstreams import CallRequest
from standins.gate import ProcessKilled
from standins.plain_service import Book
from standins.world import open_world
from tests.ledger_support import LateObjectApi, outcome_of
from tests.support import check, tests_of

load_tests = tests_of(globals())

KEY_ID = key_id(AccountId("acme"), ServiceName("holds"), IdempotencyKey("k"))
CONTRACT = {"contract": {"account": "acme", "key_sha256": "f" * 64}}
OTHER = {"contract": {"account": "other", "key_sha256": "e" * 64}}
LLM = {"service": {"name": "llm", "kind": "engine"}, "engine": {"models": "story"}}


@asynccontextmanager
async def site(entries=2, fencing="ignored", lookup=""):
    """Give a world with entries and one plain service, its runner and its book."""
    service = {
        "service": {"name": "holds", "kind": "plain", "fencing": fencing},
        "calls": {"lookup": lookup},
    }
    async with open_world() as world:
        await world.configure(
            contract__acme=CONTRACT, contract__other=OTHER, service__holds=service, service__llm=LLM
        )
        world.add_engine("engine-0", "llm", ("story",), EngineParameters())
        book = Book(offers_lookup=bool(lookup), checks_fencing=fencing == "checked")
        runner = world.add_plain("holds-0", "holds", book)
        started = []
        for number in range(entries):
            process = await world.start(f"entry-{number}", Program.ENTRY)
            started.append(process)
        await trio.sleep(2)
        yield world, started, runner


def post(key="k", body=b"{}", timeout_s=5.0):
    headers = () if key is None else (("Idempotency-Key", key),)
    return CallRequest("POST", "/h", "", headers, body, timeout_s)


async def call(process, request=None, account="acme"):
    """Make a call; give the status, or the kind of the refusal."""
    contract = process.kernel.get(Configuration).state.contract_by_account[account]
    api = process.kernel.get(CallerApi)
    found = await outcome_of(api.call, contract, ServiceName("holds"), request or post())
    return found if isinstance(found, ErrorKind) else found.status


def make_late(process):
    """Give the process an object API whose writes can be held back."""
    api = LateObjectApi(process.access.object_api.store)
    process.access.object_api = api
    process.kernel.get(LedgerStore)._store._api = api
    return api


def open_rows(world):
    """Give every intent that the store holds."""
    heads = [one for one in world.store.of_kind(ObjectKind.LEDGER) if "turn" in one.spec]
    rows = [row for head in heads for row in Shard.from_stored(head).row_by_key.values()]
    return [row for row in rows if row.open]


async def freeze_before_first_byte(world, process, runner, request=None):
    """Start a call and stop it between the sender's last check and its first byte."""
    runner.sending = trio.Event()
    answers = []

    async def caller():
        with suppress(ProcessKilled):
            answers.append(await call(process, request))

    world.nursery.start_soon(caller)
    await trio.sleep(0.5)
    held, runner.sending = runner.sending, None
    return held, answers


async def test_two_entries_with_one_key_at_once_run_it_once():
    # Two callers send the same key to two entries in the same moment. Both entries want to
    # write its row into the same head, on the same version: one update is refused there.
    async with site() as (_, entries, runner):
        found = []

        async def caller(process):
            found.append(await call(process))

        async with trio.open_nursery() as nursery:
            for process in entries:
                nursery.start_soon(caller, process)
        check.assertEqual(runner.book.runs_by_key["k"], 1)
        check.assertIn(201, found)
        check.assertLessEqual(set(found), {201, ErrorKind.IN_PROGRESS})


async def test_a_repeat_an_hour_later_gets_the_first_answer():
    # So many calls follow the first that its row has left the head for a segment. A repeat at
    # an entry that has written nothing yet must find it there.
    async with site() as (world, entries, runner):
        await call(entries[0])
        runner.book.padding = 3000
        for number in range(300):
            await call(entries[0], post(f"other-{number}"))
            await trio.sleep(0.2)
        segments = [one for one in world.store.of_kind(ObjectKind.LEDGER) if "until_s" in one.spec]
        check.assertTrue(any(KEY_ID in one.spec["rows"] for one in segments))
        await trio.sleep(1.1 * 3600)
        check.assertEqual(await call(entries[1]), 201)
        check.assertEqual(runner.book.runs_by_key["k"], 1)


async def test_the_key_of_another_account_is_another_key():
    async with site() as (_, entries, runner):
        check.assertEqual(await call(entries[0]), 201)
        check.assertEqual(await call(entries[0], account="other"), 201)
        check.assertEqual(len(runner.book.ran), 2)


async def test_a_key_is_needed_and_belongs_to_one_request():
    async with site() as (_, entries, runner):
        check.assertIs(await call(entries[0], post(None)), ErrorKind.KEY_REQUIRED)
        check.assertEqual(await call(entries[0]), 201)
        found = await call(entries[1], post(body=b"another"))
        check.assertIs(found, ErrorKind.KEY_REUSED)
        check.assertEqual(runner.book.runs_by_key["k"], 1)


async def test_an_answer_too_big_to_keep_is_replayed_as_such():
    async with site() as (_, entries, runner):
        big = post(key="k" * 200)
        runner.book.padding = 5000
        await call(entries[0], big)
        contract = entries[1].kernel.get(Configuration).state.contract_by_account["acme"]
        answer = await entries[1].kernel.get(Calls).call(contract, ServiceName("holds"), big)
        check.assertEqual(answer.status, 201)
        check.assertIn(("Egret-Replay", "answer-not-kept"), answer.headers)
        check.assertEqual(runner.book.runs_by_key["k" * 200], 1)


async def test_with_the_platform_away_nothing_is_sent_and_generations_go_on():
    # The object API refuses every call. A call that needs the ledger is refused at once with
    # when to come back; a generation needs nothing of the platform.
    async with site() as (world, entries, runner):
        world.store.faults.down = True
        before_s = trio.current_time()
        check.assertIs(await call(entries[0]), ErrorKind.PLATFORM_AWAY)
        check.assertLess(trio.current_time() - before_s, 1)
        check.assertEqual(runner.book.runs_by_key["k"], 0)
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
        check.assertEqual(runner.book.runs_by_key["k"], 0)


async def test_a_lost_answer_to_the_intent_is_settled_by_reading_back():
    # The intent's write takes effect and its answer is lost. The entry reads the head again,
    # finds its own attempt and sends the call.
    async with site() as (world, entries, runner):
        world.store.faults.lose_answers = 1
        check.assertEqual(await call(entries[0]), 201)
        check.assertEqual(runner.book.runs_by_key["k"], 1)


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
        check.assertEqual(runner.book.runs_by_key["k"], 1)
        check.assertEqual(await call(entries[0]), 201)


async def cut_soon(api):
    """Cut the store off once a write is on its way."""
    while not api.late:
        await trio.sleep(0.001)
    api.cut = True


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
        check.assertEqual(runner.book.runs_by_key["k"], 0)
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
        check.assertEqual(runner.book.runs_by_key["k"], 0)


async def test_a_call_that_reached_no_runner_frees_its_key():
    async with site() as (_, entries, runner):
        runner.down = True
        check.assertIs(await call(entries[0]), ErrorKind.NOT_RUN)
        runner.down = False
        check.assertEqual(await call(entries[1]), 201)
        check.assertEqual(runner.book.runs_by_key["k"], 1)


async def test_a_lost_answer_of_the_upstream_is_unknown_and_never_sent_again():
    async with site() as (_, entries, runner):
        runner.book.lose_answers = 1
        check.assertIs(await call(entries[0]), ErrorKind.OUTCOME_UNKNOWN)
        check.assertIs(await call(entries[1]), ErrorKind.OUTCOME_UNKNOWN)
        check.assertEqual(runner.book.runs_by_key["k"], 1)


async def test_a_call_in_progress_is_told_when_to_come_back():
    async with site() as (world, entries, runner):
        held, answers = await freeze_before_first_byte(world, entries[0], runner)
        for process in entries:
            check.assertIs(await call(process), ErrorKind.IN_PROGRESS)
        held.set()
        await trio.sleep(1)
        check.assertEqual(answers, [201])
        check.assertEqual(runner.book.runs_by_key["k"], 1)


async def test_a_sender_that_stood_still_before_its_dispatch_does_not_send():
    # An entry is frozen after its intent was written. When it thaws its key may have been
    # forgotten, settled or used again; it finds its intent too old and sends nothing.
    async with site() as (_, entries, runner):
        runners = entries[0].kernel.get(Runners)
        clock = trio.lowlevel.current_clock()
        listed = runners.plain

        def after_a_freeze(service):
            clock.jump(SEND_WITHIN_S + 1)
            return listed(service)

        runners.plain = after_a_freeze
        check.assertIs(await call(entries[0], post(timeout_s=60)), ErrorKind.NOT_RUN)
        check.assertEqual(runner.book.runs_by_key["k"], 0)
        del runners.plain
        check.assertEqual(await call(entries[1], post(timeout_s=60)), 201)


async def test_a_sender_that_stood_still_while_connecting_does_not_send():
    async with site() as (world, entries, runner):
        runner.connecting = trio.Event()
        found = []

        async def caller():
            found.append(await call(entries[0], post(timeout_s=60)))

        world.nursery.start_soon(caller)
        await trio.sleep(SEND_WITHIN_S + 1)
        runner.connecting.set()
        await trio.sleep(1)
        check.assertEqual(found, [ErrorKind.NOT_RUN])
        check.assertEqual(runner.book.runs_by_key["k"], 0)


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
        return early, late, answers, runner.book.runs_by_key["k"]


async def test_a_silent_sender_is_not_taken_over_where_the_upstream_checks_nothing():
    # The sender is frozen with the call in its hands. A repeat cannot know whether it was
    # sent: first "in progress", after the first call's deadline "unknown", never a second run.
    early, late, _, runs = await silent_sender("ignored", "")
    check.assertIs(early, ErrorKind.IN_PROGRESS)
    check.assertIs(late, ErrorKind.OUTCOME_UNKNOWN)
    check.assertLessEqual(runs, 1)


async def test_a_look_up_alone_takes_nothing_over():
    # The service says truthfully that the call did not run. It does not fence, so the frozen
    # sender could run it right after: "it did not run" settles nothing here.
    early, late, _, runs = await silent_sender("ignored", "/outcomes")
    check.assertIs(early, ErrorKind.IN_PROGRESS)
    check.assertIs(late, ErrorKind.OUTCOME_UNKNOWN)
    check.assertLessEqual(runs, 1)


async def test_fencing_without_a_look_up_takes_nothing_over():
    # Fencing shuts the frozen sender out from now on, but does not tell whether its call ran
    # before: sent again with a higher number it would run a second time.
    early, late, _, runs = await silent_sender("checked", "")
    check.assertIs(early, ErrorKind.IN_PROGRESS)
    check.assertIs(late, ErrorKind.OUTCOME_UNKNOWN)
    check.assertLessEqual(runs, 1)


async def test_a_fenced_look_up_lets_a_repeat_take_the_key_over():
    # The look-up carries the next fencing number and says that the call did not run. The
    # repeat runs it with that number; the sender that thaws later is refused by the upstream.
    early, late, _, runs = await silent_sender("checked", "/outcomes")
    check.assertEqual(early, 201)
    check.assertEqual(late, 201)
    check.assertEqual(runs, 1)


async def test_a_look_up_tells_of_a_call_that_ran_before_its_entry_died():
    # The call ran, and the entry died before it wrote the outcome. The look-up finds that it
    # ran; the repeat says so, without the answer, which nobody has.
    async with site(lookup="/outcomes") as (world, entries, runner):
        await freeze_before_first_byte(world, entries[0], runner)
        entries[0].kill()
        runner.book.ran.add(("acme", "k"))
        contract = entries[1].kernel.get(Configuration).state.contract_by_account["acme"]
        answer = await entries[1].kernel.get(Calls).call(contract, ServiceName("holds"), post())
        check.assertIn(("Egret-Replay", "ran-answer-unknown"), answer.headers)
        check.assertEqual(runner.book.runs_by_key["k"], 0)


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


async def test_a_caller_that_leaves_cuts_nothing():
    async with site() as (_, entries, runner):
        runner.book.delay_s = 1
        with trio.move_on_after(0.5):
            await call(entries[0])
        check.assertEqual(runner.book.runs_by_key["k"], 1)
        check.assertEqual(await call(entries[1]), 201)
        check.assertEqual(runner.book.runs_by_key["k"], 1)


async def test_a_drain_waits_for_calls_under_way():
    async with site() as (world, entries, runner):
        held, answers = await freeze_before_first_byte(
            world, entries[0], runner, post(timeout_s=120)
        )
        entries[0].kernel.begin_drain()
        await trio.sleep(90)
        check.assertFalse(entries[0].stopped.is_set())
        held.set()
        await entries[0].stopped.wait()
        check.assertEqual(answers, [201])
        check.assertEqual(await call(entries[1], post(timeout_s=120)), 201)
        check.assertEqual(runner.book.runs_by_key["k"], 1)


def test_may_have_run_is_sticky_over_tries():
    history = SendHistory()
    history.unknown("broken read")
    history.unsent(NotRunProof("refused"))
    error = history.refusal("none", ErrorKind.OUTCOME_UNKNOWN)
    check.assertIs(error.kind, ErrorKind.OUTCOME_UNKNOWN)
    check.assertIs(error.run, RunState.MAY_HAVE_RUN)
