"""Runners that state beside an answer that they are leaving get no more requests."""

import trio

from egretstack.services.fleet_port import FleetPort
from standins.platform import StoreFault
from tests.limited_site import send_steadily
from tests.platform_site import platform_site
from tests.stream_reader import start_reader
from tests.support import check, on_real_clock, tests_of
from tests.test_runner_limits import SMALL_GENERATION

load_tests = tests_of(globals())

IN_FLIGHT_S = 0.3
"""Time after the first such answer in which requests in flight still reach the runner."""


def first_stated_s(runner):
    """Return when a runner first stated that it is leaving."""
    return runner.said_leaving_s[0]


def late_requests(runner):
    """Return how many requests reached a runner after it had stated that it is leaving."""
    until_s = first_stated_s(runner) + IN_FLIGHT_S
    return sum(at > until_s for at in runner.arrived_s)


def knows_leaving(site, runner, entry=0):
    """Return whether an instance knows that a runner is leaving."""
    return site.kernels[entry].get(FleetPort).runners.stopped_since_s(runner.runner_id) is not None


def isolate(site):
    """Cut the instances off from each other."""
    for kernel in site.kernels:
        port = kernel.get(FleetPort)
        port.send_encoded = lambda address, data: None


@on_real_clock
async def test_calls_avoid_a_runner_that_states_it_is_leaving():
    # Guards against a list from before an outage that overrules what a runner states itself.
    async with platform_site(entries=2, plain=2) as site:
        leaving, other = site.plain
        site.store.fault = StoreFault.SILENT
        leaving.says_leaving = True
        answers = await send_steadily(site, "/holds/1", 60, 0.05, method=b"POST")
        check.assertEqual(late_requests(leaving), 0)
        check.assertEqual({one.status for one in answers}, {200})
        check.assertGreater(len(other.arrived_s), 40)


@on_real_clock
async def test_an_instance_applies_a_notice_that_it_alone_received():
    # Guards against a statement that counts only once the home has sent it.
    async with platform_site(entries=2, plain=2) as site:
        leaving = site.plain[0]
        isolate(site)
        site.store.fault = StoreFault.SILENT
        leaving.says_leaving = True
        await send_steadily(site, "/notes/1", 60, 0.05, entries=[1])
        check.assertEqual(late_requests(leaving), 0)


@on_real_clock
async def test_other_instances_learn_that_a_runner_is_leaving():
    # Guards against instances that each find out by a request of their own.
    async with platform_site(entries=3, plain=2) as site:
        leaving = site.plain[0]
        site.store.fault = StoreFault.SILENT
        leaving.says_leaving = True
        while not leaving.said_leaving_s:
            await send_steadily(
                site, "/notes/1", 1, 0.0, tag=f"n{trio.current_time()}", entries=[2]
            )
        await site.until(lambda: all(knows_leaving(site, leaving, entry) for entry in range(3)))
        before = len(leaving.arrived_s)
        await send_steadily(site, "/notes/1", 40, 0.02, tag="o", entries=[0, 1])
        check.assertEqual(len(leaving.arrived_s), before)


@on_real_clock
async def test_a_restarted_instance_learns_that_a_runner_is_leaving():
    # Guards against a restart that makes a leaving runner available again.
    async with platform_site(entries=2, plain=2) as site:
        leaving = site.plain[0]
        leaving.says_leaving = True
        await send_steadily(site, "/notes/1", 20, 0.01)
        await site.until(lambda: all(knows_leaving(site, leaving, entry) for entry in range(2)))
        site.scope_by_instance[site.settings(1).instance].cancel()
        await site.start_entry(2)
        await site.until(lambda: knows_leaving(site, leaving, 2))
        before = len(leaving.arrived_s)
        await send_steadily(site, "/notes/1", 40, 0.02, tag="o", entries=[0, 2])
        check.assertEqual(len(leaving.arrived_s), before)


@on_real_clock
async def test_generations_avoid_an_engine_that_states_it_is_leaving():
    # Guards against a home that places on an engine which has stated that it is leaving.
    async with platform_site(entries=2, plain=0, engines=2) as site:
        leaving = site.engines[0]
        for engine in site.engines:
            engine.events = 2
        site.store.fault = StoreFault.SILENT
        leaving.says_leaving = True
        more = {"method": b"POST", "headers": SMALL_GENERATION}
        answers = await send_steadily(site, "/plans/1", 60, 0.05, **more)
        check.assertEqual(late_requests(leaving), 0)
        check.assertEqual({one.status for one in answers}, {200})


@on_real_clock
async def test_an_instance_places_no_generation_where_it_alone_received_a_notice():
    # Guards against the home's answer naming an engine that has notified this instance that it is
    # leaving.
    async with platform_site(entries=2, plain=0, engines=2) as site:
        leaving = site.engines[0]
        for engine in site.engines:
            engine.events = 2
        ports = [kernel.get(FleetPort) for kernel in site.kernels]
        await site.until(lambda: sum(port.is_home() for port in ports) == 1)
        entry = 1 if ports[0].is_home() else 0
        ports[entry].leaving = list
        leaving.says_leaving = True
        more = {"method": b"POST", "headers": SMALL_GENERATION}
        answers = await send_steadily(site, "/plans/1", 60, 0.05, entries=[entry], **more)
        check.assertEqual(late_requests(leaving), 0)
        check.assertEqual({one.status for one in answers}, {200})


@on_real_clock
async def test_streams_move_off_an_engine_that_states_beside_an_answer_that_it_is_leaving():
    # Guards against streams that are lost with an engine whose notice did not reach the store.
    async with platform_site(entries=2, plain=0, engines=2) as site:
        leaving, other = site.engines
        for engine in site.engines:
            engine.events = 200
        readers = [
            await start_reader(site, f"s-{n}", 1, entry=n % 2, deadline_ms=60_000) for n in range(6)
        ]
        site.store.fault = StoreFault.SILENT
        leaving.says_leaving = True
        number = 0
        while not leaving.said_leaving_s:
            number += 1
            readers.append(await start_reader(site, f"t-{number}", 1, deadline_ms=60_000))
        for reader in readers:
            await reader.ended.wait()
            check.assertEqual(reader.ids, list(range(1, 201)))
        check.assertGreater(len(other.continued), 0)
