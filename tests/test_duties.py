"""Tests of engine orders by one steward at a time while holders are paused, cut off or killed."""

from contextlib import asynccontextmanager

import trio

from egretstack.objectapi import ObjectKind
from egretstack.replay import EngineParameters
from egretstack.services.duties import Duties, orders_of
from egretstack.settings import Program
from egretstack.upstreams import Order
from standins.engine_client import InProcessEngine
from standins.world import open_world
from tests.configuration_fixtures import pause_instance
from tests.support import check, tests_of

load_tests = tests_of(globals())

MAX_TAKEOVER_S = 30.0


def service_description(models, fencing):
    """Return a service description."""
    return {
        "service": {"name": "llm", "kind": "engine", "fencing": fencing},
        "engine": {"models": models},
    }


@asynccontextmanager
async def open_engines(fencing="checked", stewards=4, engines=2):
    """Run a deployment whose engines serve `story`, with one steward that holds the duty."""
    async with open_world() as world:
        await world.configure(service__llm=service_description("story", fencing))
        for number in range(engines):
            checks = fencing == "checked"
            name = f"engine-{number}"
            world.add_engine(name, "llm", ("story",), EngineParameters(), checks_fencing=checks)
        processes = []
        for number in range(stewards):
            zone = "abc"[number % 3]
            processes.append(await world.start(f"i-{number}", Program.STEWARD, zone))
        await wait_until(lambda: holders(processes))
        yield world, processes


async def wait_until(is_true, limit_s=60.0):
    with trio.fail_after(limit_s):
        while not is_true():
            await trio.sleep(0.1)


def holders(processes):
    return [
        process for process in processes if orders_of("llm") in process.kernel.get(Duties).held()
    ]


def served_models(world):
    return {engine.live.models for engine in world.engine_by_id.values()}


def received_orders(world):
    return [order for engine in world.engine_by_id.values() for order in engine.live.orders]


async def test_engines_converge_to_the_service_description():
    async with open_engines() as (world, stewards):
        check.assertEqual(len(holders(stewards)), 1)
        await world.configure(service__llm=service_description("story,poem", "checked"))
        await wait_until(lambda: served_models(world) == {("story", "poem")}, 15.0)
        check.assertEqual(len(received_orders(world)), 2)


async def test_a_killed_holder_is_replaced_with_a_higher_fencing_number():
    async with open_engines() as (world, stewards):
        first = holders(stewards)[0]
        first.kill()
        await world.configure(service__llm=service_description("poem", "checked"))
        others = [steward for steward in stewards if steward is not first]
        await wait_until(lambda: served_models(world) == {("poem",)}, MAX_TAKEOVER_S + 15)
        check.assertEqual(len(holders(others)), 1)
        check.assertEqual({order.fencing for order in received_orders(world)}, {2})


async def test_a_holder_that_stops_gracefully_releases_its_duty_at_once():
    async with open_engines() as (_, stewards):
        first = holders(stewards)[0]
        first.kernel.begin_drain()
        others = [steward for steward in stewards if steward is not first]
        await wait_until(lambda: holders(others), 10.0)


async def test_a_holder_cut_off_from_the_platform_stops_when_its_lease_ends():
    # The holder cannot renew its lease but still reaches the engines. Another steward takes the
    # duty over. By then the first must have stopped by its own clock, without being notified.
    async with open_engines("ignored") as (world, stewards):
        first = holders(stewards)[0]
        pause_instance(world, first)
        max_holders = 0
        for _ in range(400):
            await trio.sleep(0.1)
            max_holders = max(max_holders, len(holders(stewards)))
        check.assertEqual(max_holders, 1)
        check.assertNotEqual(holders(stewards), [first])


class PausingEngine(InProcessEngine):
    """Pauses the whole process while it queries the engine, until after its lease has expired."""

    pauses = 0
    armed = False

    async def models(self):
        """Query the models, then pause for a minute if armed."""
        models = await super().models()
        if PausingEngine.armed:
            PausingEngine.armed = False
            PausingEngine.pauses += 1
            trio.lowlevel.current_clock().jump(60.0)
        return models


async def test_a_holder_paused_past_its_lease_sends_no_order_when_it_resumes():
    # The holder queries an engine and is paused for a minute before it can act on the result.
    # Its engines ignore the fencing number. When it resumes, it must not send the order that it
    # was about to send: another holder may have sent its own in the meantime.
    async with open_engines("ignored") as (world, stewards):
        first = holders(stewards)[0]
        standins = world.engine_by_id
        first.access.engine = lambda member: PausingEngine(
            standins[member.id].live, standins[member.id].faults, 5.0
        )
        PausingEngine.armed = True
        await world.configure(service__llm=service_description("poem", "ignored"))
        await wait_until(lambda: not PausingEngine.armed, 120.0)
        await wait_until(lambda: served_models(world) == {("poem",)}, MAX_TAKEOVER_S + 30)
        numbers = {order.fencing for order in received_orders(world)}
        check.assertEqual(len(numbers), 1)
        check.assertGreater(min(numbers), 1)


async def test_a_holder_that_an_engine_refuses_stops():
    # The engines have seen an order of a newer holder. The older holder learns that from the
    # refusal, before it reads the lease, and sends no further order.
    async with open_engines() as (world, stewards):
        first = holders(stewards)[0]
        for engine in world.engine_by_id.values():
            engine.live.order(Order("x", 99, ("story",)))
        await world.configure(service__llm=service_description("poem", "checked"))
        await wait_until(lambda: first not in holders(stewards), 15.0)
        check.assertEqual(served_models(world), {("story",)})


async def test_a_lost_answer_to_a_lease_write_never_gives_two_holders():
    async with open_engines() as (world, stewards):
        for _ in range(20):
            world.store.faults.lose_answers = 1
            await trio.sleep(2.0)
            check.assertLessEqual(len(holders(stewards)), 1)
        world.store.faults.lose_answers = 0
        await wait_until(lambda: len(holders(stewards)) == 1, MAX_TAKEOVER_S)


async def test_lease_calls_do_not_grow_with_the_fleet():
    calls = []
    for stewards in (4, 12):
        async with open_engines(stewards=stewards) as (world, _):
            before = lease_calls(world)
            await trio.sleep(60.0)
            calls.append(lease_calls(world) - before)
    check.assertLessEqual(calls[1], calls[0] * 1.3)


def lease_calls(world):
    return sum(n for (_, kind), n in world.store.calls.items() if kind is ObjectKind.LEASE)
