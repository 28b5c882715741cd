"""Orders to engines by one steward at a time, through pauses, cuts and kills of the holder."""

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

TAKE_OVER_S = 30.0


def described(models, fencing):
    """Give a service description."""
    return {
        "service": {"name": "llm", "kind": "engine", "fencing": fencing},
        "engine": {"models": models},
    }


@asynccontextmanager
async def engine_site(fencing="checked", stewards=4, engines=2):
    """Give a world whose engines serve `story`, and wait until one steward holds the duty."""
    async with open_world() as world:
        await world.configure(service__llm=described("story", fencing))
        for number in range(engines):
            checks = fencing == "checked"
            name = f"engine-{number}"
            world.add_engine(name, "llm", ("story",), EngineParameters(), checks_fencing=checks)
        started = []
        for number in range(stewards):
            zone = "abc"[number % 3]
            started.append(await world.start(f"i-{number}", Program.STEWARD, zone))
        await wait_until(lambda: holders(started))
        yield world, started


async def wait_until(is_true, limit_s=60.0):
    with trio.fail_after(limit_s):
        while not is_true():
            await trio.sleep(0.1)


def holders(processes):
    return [one for one in processes if orders_of("llm") in one.kernel.get(Duties).held()]


def served(world):
    return {engine.live.models for engine in world.engine_by_id.values()}


def orders(world):
    return [order for engine in world.engine_by_id.values() for order in engine.live.orders]


async def test_engines_are_brought_to_what_the_description_says():
    async with engine_site() as (world, stewards):
        check.assertEqual(len(holders(stewards)), 1)
        await world.configure(service__llm=described("story,poem", "checked"))
        await wait_until(lambda: served(world) == {("story", "poem")}, 15.0)
        check.assertEqual(len(orders(world)), 2)


async def test_a_killed_holder_is_followed_by_another_with_a_higher_number():
    async with engine_site() as (world, stewards):
        first = holders(stewards)[0]
        first.kill()
        await world.configure(service__llm=described("poem", "checked"))
        left = [one for one in stewards if one is not first]
        await wait_until(lambda: served(world) == {("poem",)}, TAKE_OVER_S + 15)
        check.assertEqual(len(holders(left)), 1)
        check.assertEqual({order.fencing for order in orders(world)}, {2})


async def test_a_holder_that_stops_gracefully_frees_its_duty_at_once():
    async with engine_site() as (_, stewards):
        first = holders(stewards)[0]
        first.kernel.begin_drain()
        left = [one for one in stewards if one is not first]
        await wait_until(lambda: holders(left), 10.0)


async def test_a_holder_cut_off_from_the_platform_stops_when_its_lease_ends():
    # The holder cannot renew and still reaches the engines. Another takes the duty over. The
    # first must have stopped by then, by its own clock, though nothing told it so.
    async with engine_site("ignored") as (world, stewards):
        first = holders(stewards)[0]
        pause_instance(world, first)
        at_most = 0
        for _ in range(400):
            await trio.sleep(0.1)
            at_most = max(at_most, len(holders(stewards)))
        check.assertEqual(at_most, 1)
        check.assertNotEqual(holders(stewards), [first])


class PausingEngine(InProcessEngine):
    """The whole process is paused while it reads the engine, past the end of its lease."""

    pauses = 0
    armed = False

    async def models(self):
        """Read, then be paused for a minute."""
        found = await super().models()
        if PausingEngine.armed:
            PausingEngine.armed = False
            PausingEngine.pauses += 1
            trio.lowlevel.current_clock().jump(60.0)
        return found


async def test_a_holder_paused_past_its_lease_gives_no_order_when_it_goes_on():
    # The holder reads an engine and is paused for a minute before it can act on what it read.
    # Its engines ignore the fencing number. When it goes on, the order it was about to give
    # must not leave: another holder may have given its own in the meantime.
    async with engine_site("ignored") as (world, stewards):
        first = holders(stewards)[0]
        standins = world.engine_by_id
        first.access.engine = lambda member: PausingEngine(
            standins[member.id].live, standins[member.id].faults, 5.0
        )
        PausingEngine.armed = True
        await world.configure(service__llm=described("poem", "ignored"))
        await wait_until(lambda: not PausingEngine.armed, 120.0)
        await wait_until(lambda: served(world) == {("poem",)}, TAKE_OVER_S + 30)
        numbers = {order.fencing for order in orders(world)}
        check.assertEqual(len(numbers), 1)
        check.assertGreater(min(numbers), 1)


async def test_a_holder_that_an_engine_refuses_stops():
    # An engine has seen an order of a newer holder. The older one learns it from the refusal,
    # before the platform tells it, and gives no further order.
    async with engine_site() as (world, stewards):
        first = holders(stewards)[0]
        for engine in world.engine_by_id.values():
            engine.live.order(Order("x", 99, ("story",)))
        await world.configure(service__llm=described("poem", "checked"))
        await wait_until(lambda: first not in holders(stewards), 15.0)
        check.assertEqual(served(world), {("story",)})


async def test_a_lost_answer_to_a_lease_write_leaves_one_holder():
    async with engine_site() as (world, stewards):
        for _ in range(20):
            world.store.faults.lose_answers = 1
            await trio.sleep(2.0)
            check.assertLessEqual(len(holders(stewards)), 1)
        world.store.faults.lose_answers = 0
        await wait_until(lambda: len(holders(stewards)) == 1, TAKE_OVER_S)


async def test_lease_calls_do_not_grow_with_the_fleet():
    calls = []
    for stewards in (4, 12):
        async with engine_site(stewards=stewards) as (world, _):
            before = lease_calls(world)
            await trio.sleep(60.0)
            calls.append(lease_calls(world) - before)
    check.assertLessEqual(calls[1], calls[0] * 1.3)


def lease_calls(world):
    return sum(n for (_, kind), n in world.store.calls.items() if kind is ObjectKind.LEASE)
