"""Tests of whole programs on the mock clock: the usual course of a session and of a call."""

from contextlib import asynccontextmanager

import trio

from egretstack.callers import GenerationBody
from egretstack.errors import EgretError, ErrorKind
from egretstack.ids import ModelName, ServiceName
from egretstack.replay import EngineParameters
from egretstack.services.accounts import Accounts
from egretstack.services.caller_api import CallerApi
from egretstack.services.configuration import Configuration
from egretstack.services.session_host import SessionHost
from egretstack.settings import Program
from egretstack.upstreams import CallRequest
from standins.plain_service import PlainServiceState
from standins.world import open_world
from tests.support import check, tests_of

load_tests = tests_of(globals())

ACME_DIGEST = "f" * 64
CONTRACT = {"contract": {"account": "acme", "key_sha256": ACME_DIGEST}}
ENGINES = {"service": {"name": "llm", "kind": "engine"}, "engine": {"models": "story"}}
HOLDS = {"service": {"name": "holds", "kind": "plain"}}


@asynccontextmanager
async def open_small_deployment(entries=2, engines=2, step_s=0.02, contract=CONTRACT):
    """Run a deployment with a few entries, engines and a plain service, configured and started."""
    async with open_world() as world:
        await world.configure(contract__acme=contract, service__llm=ENGINES, service__holds=HOLDS)
        for number in range(engines):
            world.add_engine(
                f"engine-{number}", "llm", ("story",), EngineParameters(step_base_s=step_s)
            )
        world.add_plain("holds-0", "holds", PlainServiceState())
        processes = []
        for number in range(entries):
            processes.append(await world.start(f"entry-{number}", Program.ENTRY))
        await trio.sleep(2)
        yield world, processes


def contract_of(process):
    return process.kernel.get(Configuration).state.contract_by_account["acme"]


async def open_story(process, tokens, stream=True):
    body = GenerationBody(ModelName("story"), f"a story tokens:{tokens}", stream, 1000)
    return await process.kernel.get(SessionHost).open(contract_of(process), body)


async def read_all(session, after=-1):
    """Read a session to its end; return the sequence numbers that were delivered."""
    reader = session.supersede()
    numbers = []
    async for batch in session.batches(reader, after, 5):
        numbers.extend(event.sequence for event in batch)
    return numbers


async def test_a_streamed_session_delivers_every_token_once():
    async with open_small_deployment() as (_, entries):
        session = await open_story(entries[0], 40)
        check.assertEqual(await read_all(session), list(range(41)))
        check.assertEqual(session.outcome.output_tokens, 40)


async def test_another_entry_takes_a_session_over_after_its_owner_was_killed():
    # The entry that serves a stream is killed in the middle. The caller connects to another
    # entry with the session id and the last sequence number it received, and reads the rest of
    # the same generation: the id contains the engine, which still runs it.
    async with open_small_deployment() as (_, entries):
        session = await open_story(entries[0], 60)
        reader = session.supersede()
        delivered = []
        async for batch in session.batches(reader, -1, 5):
            delivered.extend(event.sequence for event in batch)
            if len(delivered) > 20:
                break
        entries[0].kill()
        host = entries[1].kernel.get(SessionHost)
        second = await host.pick_up(contract_of(entries[1]), session.id, delivered[-1])
        check.assertEqual(delivered + await read_all(second, delivered[-1]), list(range(61)))


async def test_an_engine_that_fails_before_the_first_token_is_replaced():
    async with open_small_deployment() as (world, entries):
        session = await open_story(entries[0], 30, stream=False)
        await trio.sleep(0.1)
        busy = [engine for engine in world.engine_by_id.values() if engine.live.by_id]
        busy[0].faults.dead = True
        busy[0].faults.wake()
        await session.wait_for_end()
        check.assertEqual(session.outcome.output_tokens, 30)


async def test_a_call_with_one_key_runs_once():
    async with open_small_deployment() as (world, entries):
        request = CallRequest("POST", "/h", "", (("Idempotency-Key", "k"),), b"{}", 5)
        for entry in entries:
            api = entry.kernel.get(CallerApi)
            answer = await api.call(contract_of(entry), ServiceName("holds"), request)
            check.assertEqual(answer.status, 201)
        check.assertEqual(world.plain_by_id["holds-0"].state.runs_by_key["k"], 1)


async def test_a_wrong_key_is_refused():
    async with open_small_deployment() as (_, entries):
        with check.assertRaises(EgretError) as caught:
            entries[0].kernel.get(Accounts).authenticate("Bearer wrong")
        check.assertIs(caught.exception.kind, ErrorKind.UNAUTHENTICATED)
