"""Service levels that entries record, on the mock clock."""

import trio

from egretstack.callers import GenerationBody
from egretstack.errors import EgretError, ErrorKind, NotRunProof
from egretstack.ids import AccountId, ModelName
from egretstack.metrics import DeliveryPace, LevelTargets, Objective, ServiceLevels
from egretstack.replay import EngineParameters
from egretstack.services.configuration import Configuration
from egretstack.services.platform_access import PlatformAccess
from egretstack.services.session_host import SessionHost
from egretstack.sessions import FinishedAnswer, is_success
from egretstack.settings import Program
from standins.world import open_world
from tests.support import check, tests_of

load_tests = tests_of(globals())

ACME = AccountId("acme")
CONTRACT = {
    "contract": {"account": "acme", "key_sha256": "f" * 64},
    "targets": {"first_token_s": "0.5", "gap_s": "0.06"},
}
ENGINES = {"service": {"name": "llm", "kind": "engine"}, "engine": {"models": "story"}}
TARGETS = LevelTargets(0.63, 0.072, 0.95)


def tally_pairs(levels):
    return {
        objective: (tally.good, tally.total)
        for objective, tally in levels.tally_by_objective.items()
    }


def levels_of(process):
    return process.kernel.get(PlatformAccess).metrics.levels.levels_by_account[ACME]


async def read_story(process, tokens, pause_after=None):
    contract = process.kernel.get(Configuration).state.contract_by_account[ACME]
    body = GenerationBody(ModelName("story"), f"a story tokens:{tokens}", True, 1000)
    session = await process.kernel.get(SessionHost).open(contract, body)
    async for batch in session.batches(session.supersede(), -1, 5):
        if pause_after is not None and batch and batch[-1].sequence >= pause_after:
            pause_after = None
            await trio.sleep(1)
    return session


def test_tokens_that_arrive_together_count_one_gap():
    levels = ServiceLevels().for_account(ACME, TARGETS)
    pace = DeliveryPace(levels, 10.0)
    pace.record_delivered(10.5, 1)
    pace.record_delivered(11.0, 4)
    pace.record_delivered(11.0, 0)
    check.assertEqual(tally_pairs(levels)[Objective.FIRST_TOKEN], (1, 1))
    check.assertEqual(tally_pairs(levels)[Objective.GAP], (3, 4))


def test_a_session_taken_over_has_no_second_first_token():
    levels = ServiceLevels().for_account(ACME, TARGETS)
    DeliveryPace(levels, 10.0, resumed=True).record_delivered(10.5, 1)
    check.assertEqual(tally_pairs(levels)[Objective.FIRST_TOKEN], (0, 0))
    check.assertEqual(tally_pairs(levels)[Objective.GAP], (0, 1))


def test_which_outcomes_count_as_success():
    proof = NotRunProof("a test")
    check.assertTrue(is_success(FinishedAnswer("", 3)))
    check.assertTrue(is_success(EgretError(ErrorKind.ENGINES_FULL, "", proof=proof)))
    check.assertFalse(is_success(EgretError(ErrorKind.GENERATION_LOST, "")))
    check.assertFalse(is_success(EgretError(ErrorKind.INTERNAL, "")))
    check.assertIsNone(is_success(EgretError(ErrorKind.GENERATION_CANCELLED, "")))


async def test_an_entry_counts_what_its_callers_received():
    async with open_world() as world:
        await world.configure(contract__acme=CONTRACT, service__llm=ENGINES)
        world.add_engine("engine-0", "llm", ("story",), EngineParameters())
        entry = await world.start("entry-0", Program.ENTRY)
        await trio.sleep(2)
        await read_story(entry, 20)
        tallies = tally_pairs(levels_of(entry))
        check.assertEqual(tallies[Objective.FIRST_TOKEN], (1, 1))
        check.assertEqual(tallies[Objective.GAP], (19, 19))
        check.assertEqual(tallies[Objective.OUTCOME], (1, 1))


async def test_a_reader_that_pauses_sees_a_long_gap():
    # The caller pauses reading: tokens are buffered in the entry and arrive together afterwards.
    async with open_world() as world:
        await world.configure(contract__acme=CONTRACT, service__llm=ENGINES)
        world.add_engine("engine-0", "llm", ("story",), EngineParameters())
        entry = await world.start("entry-0", Program.ENTRY)
        await trio.sleep(2)
        await read_story(entry, 20, pause_after=5)
        check.assertEqual(tally_pairs(levels_of(entry))[Objective.GAP], (18, 19))


async def test_an_engine_lost_during_an_answer_counts_as_a_bad_outcome():
    # An engine dies permanently in the middle of an answer. The caller is told immediately that the
    # generation was partly lost; although that is true, it counts against the outcome objective.
    async with open_world() as world:
        await world.configure(contract__acme=CONTRACT, service__llm=ENGINES)
        engine = world.add_engine("engine-0", "llm", ("story",), EngineParameters())
        entry = await world.start("entry-0", Program.ENTRY)
        await trio.sleep(2)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(read_story, entry, 400)
            await trio.sleep(1)
            engine.faults.dead = True
            engine.faults.wake()
        check.assertEqual(tally_pairs(levels_of(entry))[Objective.OUTCOME], (0, 1))
