"""Refusals and times to return while datagrams are lost and homes end."""

from contextlib import asynccontextmanager
from dataclasses import replace

import trio

from egretstack.fleet import PlaceAnswer, PlaceAsk
from egretstack.ids import RunnerId, ServiceName
from egretstack.placing import Placement, RefusalReason, Run, request_row
from egretstack.relay import RequestFailed
from egretstack.services.engine_placing import EnginePlacingService
from egretstack.services.fleet_port import FleetPort
from egretstack.services.placing_home import PlacingHome
from egretstack.services.store_reading import StoreReading
from tests.fleet_fixtures import generation_request
from tests.platform_site import platform_site
from tests.support import check, on_real_clock, tests_of

load_tests = tests_of(globals())

LLM = ServiceName("llm")
ENGINE = RunnerId("i-llm-0")


def generation(attempt, *, wait_s=4.0, prompt_id=""):
    request = generation_request(attempt, wait_s=wait_s, rank=2, prompt_id=prompt_id)
    return replace(request, service=LLM, time_left_s=15.0)


@asynccontextmanager
async def scarce_site(entries):
    """Start a site with one engine, the home last; runs of the first entry fill the engine."""
    async with platform_site(entries=0, plain=1, engines=1) as site:
        for number in range(entries):
            await site.start_entry(number, shares_capacity=True)
        await site.until_ready()
        ports = [kernel.get(FleetPort) for kernel in site.kernels]
        await site.until(lambda: len({port.fleet.home(trio.current_time()) for port in ports}) == 1)
        await site.until(lambda: sum(port.is_home() for port in ports) == 1)
        site.kernels.sort(key=lambda kernel: kernel.get(FleetPort).is_home())
        await site.until(lambda: all(port.runners.is_ready(ENGINE) for port in ports))
        first, home = site.kernels[0], site.kernels[-1].get(PlacingHome)
        for number in range(12):
            run = Run(generation(f"r{number}"), ENGINE, None, 100, True)
            first.get(EnginePlacingService).add_run(run)
        await site.until(
            lambda: home.own_runs()
            or home.placer.registry.loads(trio.current_time(), fleet_wide=True)[ENGINE].runs >= 12
        )
        yield site


async def place(kernel, request, outcomes):
    engine = kernel.get(StoreReading).engine(LLM)
    try:
        outcome = await kernel.get(EnginePlacingService).place(request, engine)
    except RequestFailed as error:
        outcome = error
    outcomes[request.attempt] = outcome


def free_engine(kernel):
    kernel.get(EnginePlacingService)._run_by_attempt.clear()


def is_queued(site, attempt):
    placers = [kernel.get(PlacingHome).placer for kernel in site.kernels]
    return any(
        placer._queue.find(attempt) or attempt in placer.registry._pending_by_attempt
        for placer in placers
    )


@on_real_clock
async def test_a_lost_refusal_is_repeated():
    # The instance gets no answer and sends its request again. It is not queued, is not taken for
    # an early return, and its caller is told the same time.
    async with scarce_site(1) as site:
        home, answers = site.kernels[0].get(PlacingHome), []
        home.on_local_answer = answers.append
        request = generation("w", wait_s=0.01, prompt_id="p")
        ask = PlaceAsk(site.kernels[0].settings.instance, request_row(request))
        home.handle_request(ask)
        home.handle_request(ask)
        first, second = answers
        check.assertTrue(first.refused and second.refused)
        check.assertAlmostEqual(first.retry_after_ms, second.retry_after_ms, delta=100)
        check.assertFalse(is_queued(site, "w"))
        check.assertEqual(home.placer.refusals.take_outcomes(), [])


@on_real_clock
async def test_a_refused_caller_is_answered_without_waiting_for_another_answer():
    # Each refusal reached its caller a quarter of a second late, when the request would be renewed.
    async with scarce_site(1) as site:
        service, waits, outcomes = site.kernels[0].get(EnginePlacingService), [], {}
        wait_for_answer = service._wait_for_answer

        async def count_wait(attempt, *arguments):
            waits.append(attempt)
            return await wait_for_answer(attempt, *arguments)

        service._wait_for_answer = count_wait
        await place(site.kernels[0], generation("w", wait_s=1.0, prompt_id="p"), outcomes)
        check.assertIsInstance(outcomes["w"], RequestFailed)
        check.assertEqual(waits, ["w"])


@on_real_clock
async def test_a_granted_place_is_granted_again():
    # The answer was lost, or the request runs by now; meanwhile its account has too many waiting.
    async with scarce_site(1) as site:
        home, answers = site.kernels[0].get(PlacingHome), []
        free_engine(site.kernels[0])
        home.on_local_answer = answers.append
        ask = PlaceAsk(site.kernels[0].settings.instance, request_row(generation("w")))
        home.handle_request(ask)
        home.placer.sharing.refusal = lambda *request: RefusalReason.ACCOUNT_LIMIT
        home.handle_request(ask)
        check.assertEqual([(one.runner, one.refused) for one in answers], [(ENGINE, False)] * 2)
        check.assertEqual(len(home.placer._queue), 0)


@on_real_clock
async def test_the_late_refusal_of_a_former_home_is_ignored():
    # The request waits at the home that followed. Its caller would be told that it never runs,
    # while a place for it is on its way.
    async with scarce_site(3) as site:
        first, former, home = site.kernels
        outcomes = {}
        # On a busy machine the role moves while the test runs, and an instance that is the home at
        # that moment is not a former one.
        for kernel in site.kernels:
            kernel.get(FleetPort).fleet.home = lambda now_s: home.settings.instance
        # The home itself refuses nothing, whatever it forecasts.
        home.get(PlacingHome).placer.refusals.decide = lambda *request: None
        async with trio.open_nursery() as nursery:
            # Nor is the request dropped as late, however long the test takes.
            request = replace(generation("w", wait_s=20.0), first_token_budget_s=20.0)
            nursery.start_soon(place, first, request, outcomes)
            await site.until(lambda: is_queued(site, "w"))
            address = f"{first.get(FleetPort).fleet.own.instance.peer_address}"
            refusal = PlaceAnswer("w", "", "", 100, [], True)
            for _ in range(5):
                former.get(FleetPort).send(address, refusal)
                await trio.sleep(0.05)
            check.assertEqual(outcomes, {})
            free_engine(first)
        check.assertIsInstance(outcomes["w"], Placement)


@on_real_clock
async def test_callers_are_served_by_the_next_home():
    # The home ends with a queue and slots. Those who wait are placed or refused by the next home
    # or by their instance, and none that was refused stays queued. A caller returns and is served.
    async with scarce_site(3) as site:
        first, _, home = site.kernels
        outcomes = {}
        async with trio.open_nursery() as nursery:
            refused = generation("refused", wait_s=0.01, prompt_id="p")
            await place(first, refused, outcomes)
            check.assertIsInstance(outcomes["refused"], RequestFailed)
            for number in range(3):
                nursery.start_soon(place, first, generation(f"w{number}"), outcomes)
            # The forecast may refuse some of them at once.
            names = [f"w{number}" for number in range(3)]
            await site.until(lambda: all(is_queued(site, n) or n in outcomes for n in names))
            check.assertTrue(any(is_queued(site, name) for name in names))
            site.scope_by_instance[home.settings.instance].cancel()
            site.kernels.remove(home)
            await trio.sleep(0.2)
            free_engine(first)
        for number in range(3):
            outcome = outcomes[f"w{number}"]
            check.assertIsInstance(outcome, Placement | RequestFailed)
            if isinstance(outcome, RequestFailed):
                await site.until(lambda name=f"w{number}": not is_queued(site, name))
        ports = [kernel.get(FleetPort) for kernel in site.kernels]
        await site.until(lambda: any(port.is_home() for port in ports))
        await place(first, generation("back", prompt_id="p"), outcomes)
        check.assertIsInstance(outcomes["back"], Placement)
