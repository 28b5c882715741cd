"""Sound runners that fall silent for a second and go on."""

import trio

from egretstack.services.fleet_port import FleetPort
from egretstack.services.runner_links import RunnerLinks
from tests.partition_site import first_tries, served, until_one_home
from tests.platform_site import platform_site
from tests.stream_reader import start_reader
from tests.support import check, on_real_clock, tests_of
from tests.test_platform_streams import check_whole, engine_of

load_tests = tests_of(globals())

SILENCE_S = 1.1


async def fall_silent(site, runner):
    """Let a runner be silent for a second."""
    site.links.silence(runner.address)
    await trio.sleep(SILENCE_S)
    site.links.end_silence(runner.address)


@on_real_clock
async def test_a_stream_stays_on_a_runner_that_is_silent_for_a_second():
    # Guards against a run that goes on elsewhere while its runner still works on it.
    async with platform_site(entries=2, plain=0, engines=3) as site:
        for engine in site.engines:
            engine.events = 150
        await until_one_home(site)
        reader = await start_reader(site, "s-1", 5)
        await fall_silent(site, engine_of(site, "s-1"))
        await reader.ended.wait()
        check_whole(reader, 150)
        check.assertEqual([len(one.continued) for one in site.engines], [0, 0, 0])


@on_real_clock
async def test_no_request_counts_as_ending_a_runner_that_is_silent_for_a_second():
    # Guards against requests that are refused since silent runners are taken for ended ones.
    async with platform_site(entries=2, plain=3) as site:
        await until_one_home(site)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fall_silent, site, site.plain[0])
            for path in ("notes", "holds"):
                nursery.start_soon(check_calls, site, path)
        for kernel in site.kernels:
            check.assertFalse(kernel.get(FleetPort).crashes.shared_records())
            check.assertTrue(kernel.get(RunnerLinks).is_sound)


async def check_calls(site, path):
    """Check that first tries are served, apart from those that the silent runner has."""
    tries = await first_tries(site, path, entry=0, seconds=SILENCE_S, tag=path)
    check.assertGreaterEqual(served(tries), len(tries) - 2, tries)
