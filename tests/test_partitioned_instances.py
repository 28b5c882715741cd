"""Instances that lose their links to all runners, while clients and the others still reach them."""

from unittest.mock import patch

import trio

from egretstack.detour import TunnelOutcome, TunnelRefused, open_tunnel
from egretstack.services.fleet_port import FleetPort
from egretstack.services.relay_metrics import RelayMetrics
from egretstack.services.runner_links import RunnerLinks
from standins.platform import LinkCut
from tests.partition_site import (
    cut,
    first_tries,
    first_try,
    heal,
    home_number,
    served,
    until_one_home,
)
from tests.platform_site import WAIT_S, platform_site
from tests.stream_reader import start_reader
from tests.support import check, on_real_clock, tests_of
from tests.test_platform_streams import check_whole

load_tests = tests_of(globals())

DETECTION_S = 1.0
"""Time after the beginning of a cut from which on first tries have to be served."""
OBSERVED_S = 1.5


async def check_served_without_runners(how, path, *, plain=3, engines=0):
    """Cut two of four entries off, one of them the home, and check the first tries at both."""
    async with platform_site(entries=4, plain=plain, engines=engines) as site:
        await until_one_home(site)
        home = home_number(site)
        lost = (home, (home + 1) % 4)
        cut(site, how, *lost)
        async with trio.open_nursery() as nursery:
            for entry in lost:
                nursery.start_soon(check_first_tries, site, path, entry)


async def check_first_tries(site, path, entry):
    """Check that the first tries at an entry are served, and that calls run once."""
    await first_tries(site, path, entry=entry, seconds=DETECTION_S, tag="early")
    tries = await first_tries(site, path, entry=entry, seconds=OBSERVED_S, tag="late")
    check.assertEqual(served(tries), len(tries), tries)
    if path == "holds":
        runs = [sum(one.runs_by_attempt[it.attempt] for one in site.plain) for it in tries]
        check.assertEqual(runs, [1] * len(tries))


@on_real_clock
async def test_calls_are_served_at_an_instance_whose_links_to_runners_are_reset():
    await check_served_without_runners(LinkCut.RESET, "notes")


@on_real_clock
async def test_calls_are_served_at_an_instance_whose_packets_to_runners_are_dropped():
    await check_served_without_runners(LinkCut.DROPPED, "notes")


@on_real_clock
async def test_calls_that_run_once_are_served_at_an_instance_without_links_to_runners():
    await check_served_without_runners(LinkCut.DROPPED, "holds")


@on_real_clock
async def test_calls_that_run_once_are_served_while_only_open_links_to_runners_live_on():
    await check_served_without_runners(LinkCut.NEW_REFUSED, "holds")


@on_real_clock
async def test_streams_are_served_at_an_instance_whose_links_to_engines_are_reset():
    await check_served_without_runners(LinkCut.RESET, "plans", plain=0, engines=3)


@on_real_clock
async def test_streams_are_served_at_an_instance_whose_packets_to_engines_are_dropped():
    await check_served_without_runners(LinkCut.DROPPED, "plans", plain=0, engines=3)


async def cut_one(site, how=LinkCut.RESET, entry=0):
    """Cut an entry off, and wait until it knows."""
    await until_one_home(site)
    cut(site, how, entry)
    links = site.kernels[entry].get(RunnerLinks)
    with trio.fail_after(WAIT_S):
        while links.is_sound:
            await first_try(site, "notes" if site.plain else "plans", "probe", entry=entry)


@on_real_clock
async def test_an_instance_takes_its_traffic_back_within_a_second_of_the_end_of_a_cut():
    async with platform_site(entries=2, plain=2) as site:
        await cut_one(site)
        name = site.settings(0).instance
        before = site.links.connects_by_entry.get(name, 0)
        heal(site, 0)
        await trio.sleep(1.0)
        tries = await first_tries(site, "holds", entry=0, seconds=0.5, tag="back")
        check.assertEqual(served(tries), len(tries))
        check.assertGreaterEqual(site.links.connects_by_entry.get(name, 0) - before, len(tries))


@on_real_clock
async def test_callers_are_told_of_other_instances_while_one_reaches_no_runner():
    async with platform_site(entries=3, plain=2) as site:
        await cut_one(site)
        others = {site.settings(number).front_address for number in (1, 2)}
        for number in range(3):
            directory = site.settings(number).directory_address
            with trio.fail_after(WAIT_S):
                while set(await site.resolve(directory)) != others:
                    await trio.sleep(0.05)
        heal(site, 0)
        directory = site.settings(1).directory_address
        with trio.fail_after(WAIT_S):
            while len(await site.resolve(directory)) != 3:
                await trio.sleep(0.05)


@on_real_clock
async def test_requests_are_refused_at_once_while_no_instance_reaches_a_runner():
    # Guards against requests that go round in a circle, or wait for what is known to fail.
    async with platform_site(entries=2, plain=2) as site:
        await until_one_home(site)
        cut(site, LinkCut.DROPPED, 0, 1)
        for entry in (0, 1):
            await first_tries(site, "holds", entry=entry, seconds=1.0, tag="early")
        for entry in (0, 1):
            tries = await first_tries(site, "holds", entry=entry, seconds=0.5, tag="late")
            check.assertEqual({one.status for one in tries}, {503})
            check.assertLess(max(one.took_s for one in tries), 0.1)


@on_real_clock
async def test_a_call_whose_answer_is_lost_between_two_instances_is_not_reported_as_not_run():
    # Guards against a call that runs twice since its caller was told that it did not run.
    async with platform_site(entries=2, plain=2) as site:
        await cut_one(site)
        for plain in site.plain:
            plain.delay_s = 0.6
        outcomes = []

        async def send():
            outcomes.append(await first_try(site, "holds", "held", entry=0))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            await site.until(lambda: sum(one.runs_by_attempt["held"] for one in site.plain))
            site.scope_by_instance[site.settings(1).instance].cancel()
        check.assertIn(outcomes[0].status, (502, 504))
        check.assertEqual(sum(one.runs_by_attempt["held"] for one in site.plain), 1)


@on_real_clock
async def test_a_runner_stops_when_the_client_of_a_partitioned_instance_leaves():
    async with platform_site(entries=2, plain=2) as site:
        await cut_one(site)
        for plain in site.plain:
            plain.delay_s = 3.0
        with trio.move_on_after(0.5):
            await site.call("/holds/1", "left", method=b"POST", deadline_ms=5_000)
        left_s = trio.current_time()
        await site.until(lambda: sum(one.disconnected_runs for one in site.plain))
        check.assertLess(trio.current_time() - left_s, 0.5)


@on_real_clock
async def test_a_runner_gets_the_same_request_through_another_instance():
    # Guards against headers that are lost or counted twice on the way.
    async with platform_site(entries=2, plain=1) as site:
        await site.call("/holds/1", "direct", method=b"POST", deadline_ms=2_000)
        await cut_one(site)
        await site.call("/holds/1", "detour", method=b"POST", deadline_ms=2_000)
        own = {b"attempt-id", b"deadline-ms"}
        by_attempt = {dict(one.headers)[b"attempt-id"]: one for one in site.plain[0].heads}
        direct, detour = by_attempt[b"direct"], by_attempt[b"detour"]
        check.assertEqual(
            [one for one in direct.headers if one[0] not in own],
            [one for one in detour.headers if one[0] not in own],
        )
        left_ms = int(dict(detour.headers)[b"deadline-ms"])
        check.assertLessEqual(left_ms, 2_000)
        check.assertGreater(left_ms, 1_000)


@on_real_clock
async def test_streams_in_progress_go_on_when_their_instance_loses_its_runners():
    for how in (LinkCut.RESET, LinkCut.DROPPED):
        async with platform_site(entries=2, plain=0, engines=3) as site:
            for engine in site.engines:
                engine.events = 150
            await until_one_home(site)
            readers = [await start_reader(site, f"s-{number}", 5) for number in range(3)]
            cut(site, how, 0)
            for reader in readers:
                await reader.ended.wait()
                check_whole(reader, 150)


@on_real_clock
async def test_a_stream_goes_on_when_the_instance_that_carries_it_ends():
    async with platform_site(entries=3, plain=0, engines=3) as site:
        for engine in site.engines:
            engine.events = 150
        await cut_one(site)
        readers = [await start_reader(site, f"s-{number}", 5) for number in range(4)]
        site.scope_by_instance[site.settings(1).instance].cancel()
        for reader in readers:
            await reader.ended.wait()
            check_whole(reader, 150)


@on_real_clock
async def test_the_fleet_blames_no_runner_for_the_links_of_one_instance():
    # Guards against runners that get no requests, and requests that are refused as ending runners.
    for how in (LinkCut.RESET, LinkCut.DROPPED):
        async with platform_site(entries=3, plain=2, engines=3) as site:
            for engine in site.engines:
                engine.events = 100
            await until_one_home(site)
            lost = (home_number(site) + 1) % 3
            readers = [
                await start_reader(site, f"s-{number}", 3, entry=lost) for number in range(3)
            ]
            cut(site, how, lost)
            for path in ("notes", "holds", "plans"):
                await first_tries(site, path, entry=lost, seconds=1.0, tag=path)
            ports = [one.get(FleetPort) for one in site.kernels]
            check.assertFalse(any(port.crashes.refused_count() for port in ports))
            check.assertFalse(any(port.crashes.shared_records() for port in ports))
            runners = ports[home_number(site)].runners
            with trio.fail_after(2.0):
                while runners.suspects or runners.unresponsive:
                    await trio.sleep(0.05)
            for reader in readers:
                await reader.ended.wait()


@on_real_clock
async def test_a_runner_that_ends_is_not_taken_for_a_cut():
    # Guards against a detour on days without a cut.
    async with platform_site(entries=2, plain=3) as site:
        await until_one_home(site)
        site.plain[0].stop()
        tries = await first_tries(site, "notes", entry=0, seconds=1.5, tag="ended")
        check.assertEqual(served(tries), len(tries))
        check.assertTrue(site.kernels[0].get(RunnerLinks).is_sound)
        tunnels = [one.get(RelayMetrics).registry for one in site.kernels]
        opened = [
            it.get_sample_value("egret_relay_runner_connects_total", {"outcome": "tunnel"})
            for it in tunnels
        ]
        check.assertEqual([one or 0.0 for one in opened], [0.0, 0.0])


@on_real_clock
async def test_an_instance_that_has_no_room_for_tunnels_refuses_them_at_once():
    async with platform_site(entries=2, plain=2) as site:
        await cut_one(site)
        with patch("egretstack.services.detour_port.MAX_TUNNELS", 0):
            tries = await first_tries(site, "holds", entry=0, seconds=0.3, tag="full")
        check.assertEqual({one.status for one in tries}, {503})
        check.assertLess(max(one.took_s for one in tries), 0.2)
        tries = await first_tries(site, "holds", entry=0, seconds=0.3, tag="room")
        check.assertEqual(served(tries), len(tries))


@on_real_clock
async def test_no_tunnel_leads_to_an_address_that_is_no_runners():
    # Guards against an instance that connects to whatever it is asked for.
    async with platform_site(entries=1, plain=1) as site:
        node = site.settings(0)
        with check.assertRaises(TunnelRefused) as refused:
            await open_tunnel((node.ip, node.detour_port), site.store.address, 1.0, WAIT_S)
        check.assertIs(refused.exception.outcome, TunnelOutcome.UNKNOWN_RUNNER)


@on_real_clock
async def test_a_leaving_instance_opens_no_more_tunnels():
    async with platform_site(entries=2, plain=2) as site:
        await cut_one(site)
        helper = site.settings(1)
        site.kernels[1].begin_drain()
        with check.assertRaises(TunnelRefused) as refused:
            await open_tunnel((helper.ip, helper.detour_port), site.plain[0].address, 1.0, WAIT_S)
        check.assertIs(refused.exception.outcome, TunnelOutcome.LEAVING)
