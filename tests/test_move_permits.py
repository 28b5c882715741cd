"""Runs that have to move off a leaving engine: permits, and the choice of destinations."""

from dataclasses import replace

import trio

from egretstack.fleet import MoveTurn
from egretstack.ids import RunnerId
from egretstack.placing import MovePermits
from egretstack.services.fleet_port import FleetPort
from egretstack.services.placing_home import PlacingHome
from standins.platform import EngineFault, runner_spec
from tests.platform_site import platform_site
from tests.stream_reader import start_reader
from tests.support import check, on_real_clock, tests_of
from tests.test_platform_streams import check_whole, engine_of

load_tests = tests_of(globals())

DRAINING = "draining"
SOURCE = RunnerId("i-llm-0")


def test_a_run_that_has_ended_does_not_keep_its_permit():
    # If the report that a run ended is lost, the engine's other runs would wait until the permit
    # expires, which takes longer than the engine's notice.
    permits = MovePermits()
    check.assertTrue(permits.request(0.0, SOURCE, "ended", 1.0))
    check.assertFalse(permits.request(0.1, SOURCE, "next", 2.0))
    permits.release_ended(SOURCE, lambda attempt: attempt == "other")
    check.assertEqual(permits.holder(SOURCE), "ended")
    permits.release_ended(SOURCE, lambda attempt: attempt == "ended")
    check.assertIsNone(permits.holder(SOURCE))
    check.assertTrue(permits.request(0.1, SOURCE, "next", 2.0))


@on_real_clock
async def test_a_permit_that_no_run_waits_for_is_returned():
    # Datagrams may be reordered: a permit request that overtakes the report that its run ended
    # makes the home grant a permit to a run that needs none. The run's instance returns it, and
    # the next run gets it.
    async with platform_site(entries=2, plain=0, engines=1) as site:
        ports = [kernel.get(FleetPort) for kernel in site.kernels]
        await site.until(lambda: sorted(port.is_home() for port in ports) == [False, True])
        await site.until(lambda: len({port.fleet.home(trio.current_time()) for port in ports}) == 1)
        home, other = sorted(site.kernels, key=lambda kernel: not kernel.get(FleetPort).is_home())
        service = home.get(PlacingHome)
        await site.until(lambda: home.get(FleetPort).address_of(other.settings.instance))
        service._permits.request(trio.current_time(), SOURCE, "s-ended", 0.0)
        check.assertEqual(service._permits.holder(SOURCE), "s-ended")
        service._answer(other.settings.instance, MoveTurn("s-ended", SOURCE, "i-llm-9"))
        await site.until(lambda: service._permits.holder(SOURCE) is None)


@on_real_clock
async def test_a_run_moves_elsewhere_when_an_engine_has_no_memory():
    # The nearest engine looks free but is not: only the engine itself knows what fills its memory.
    # The run would be sent there again and again until its own engine ends, and be lost with it.
    async with platform_site(plain=0, engines=3) as site:
        for engine in site.engines:
            engine.events = 150
            engine.fault = EngineFault.NO_ROOM
        reader = await start_reader(site, "s-1", 3)
        source = engine_of(site, "s-1")
        full, free = (engine for engine in site.engines if engine is not source)
        free.fault = source.fault = EngineFault.NONE
        table = site.kernels[0].get(FleetPort).runners
        site.store.put(
            "servers", free.runner_id, runner_spec("llm", free.address) | {"zone": "leon-b"}
        )
        await site.until(lambda: table.by_id[RunnerId(free.runner_id)].zone == "leon-b")
        site.register(source.runner_id, "llm", source.address, DRAINING)
        await site.until(lambda: ("s-1", True) in source.moves)
        await reader.ended.wait()
        check_whole(reader, 150)
        check.assertEqual(len(free.continued), 1)
        check.assertEqual(len(full.continued), 0)


@on_real_clock
async def test_the_next_run_gets_the_permit_when_the_first_fits_nowhere():
    # Two runs have to move off an engine. The first in order fits nowhere, and each time requests
    # a permit before the other does. If the permit were not passed on, both would be lost with
    # their engine.
    async with platform_site(plain=0, engines=2) as site:
        home = site.kernels[0].get(PlacingHome)
        for engine in site.engines:
            engine.events = 150
            engine.fault = EngineFault.NO_ROOM
        target = site.engines[1]
        table = site.kernels[0].get(FleetPort).runners
        site.register(target.runner_id, "llm", target.address, DRAINING)
        await site.until(lambda: not table.is_ready(RunnerId(target.runner_id)))
        readers = [await start_reader(site, name, 3) for name in ("s-1", "s-2")]
        run = home.placer.registry.find_run("s-1")
        run.request = _huge(run.request)
        source, target = site.engines[0], site.engines[1]
        target.fault = EngineFault.NONE
        site.store.remove("servers", target.runner_id)
        site.store.put("servers", "i-llm-new", runner_spec("llm", target.address))
        target.runner_id = "i-llm-new"
        await site.until(lambda: table.is_ready(RunnerId("i-llm-new")))
        site.register(source.runner_id, "llm", source.address, DRAINING)
        await site.until(lambda: ("s-2", True) in source.moves)
        await readers[1].ended.wait()
        check_whole(readers[1], 150)
        readers[0].scope.cancel()


def _huge(request):
    """Return a request that needs more memory than any engine has."""
    return replace(request, prompt_tokens=40_000)
