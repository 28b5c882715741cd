"""Requests with buffered responses, through complete entries on the platform's stand-ins."""

import json
from unittest.mock import patch

import trio

from egretstack.http1 import first_value
from egretstack.platform import ObjectKind
from egretstack.services import store_reading
from egretstack.services.fleet_port import FleetPort
from egretstack.services.store_reading import FIRST_START_WAIT_S, StoreReading
from standins.platform import ACCOUNT, KEY, PlainFault, StoreFault, route
from tests.platform_site import WAIT_S, node_settings, platform_site
from tests.support import check, on_real_clock, tests_of

load_tests = tests_of(globals())


def run_count(site, attempt):
    """Return how often an attempt ran, over all runners."""
    return sum(runner.runs_by_attempt[attempt] for runner in site.plain)


@on_real_clock
async def test_a_response_is_relayed_unchanged():
    async with platform_site() as site:
        head, body = await site.call(
            "/notes/7?x=1%20y", "a-1", method=b"POST", body=b"{}", headers=((b"tenant", b"forged"),)
        )
        check.assertEqual(head.status, 200)
        check.assertEqual(json.loads(body)["target"], "/notes/7?x=1%20y")
        check.assertEqual(json.loads(body)["size"], 2)
        check.assertIsNotNone(first_value(head.headers, b"runner-seal"))
        seen = next(runner.heads[0] for runner in site.plain if runner.heads)
        check.assertEqual(first_value(seen.headers, b"tenant"), ACCOUNT.encode())
        check.assertIsNone(first_value(seen.headers, b"authorization"))
        check.assertLessEqual(int(first_value(seen.headers, b"deadline-ms")), 5_000)


@on_real_clock
async def test_a_request_without_a_route_or_valid_key_reaches_no_runner():
    async with platform_site() as site:
        for path, key, status in (
            ("/nowhere/1", KEY, 404),
            ("/notes/1", "wrong", 401),
            ("/notes/1", None, 401),
            ("/open/1", None, 200),
        ):
            head, _ = await site.call(path, f"a-{path}-{key}", key=key)
            check.assertEqual(head.status, status, (path, key))
        check.assertEqual(sum(len(runner.heads) for runner in site.plain), 1)


@on_real_clock
async def test_an_idempotent_request_is_retried():
    # The client gets one valid response, however the first runner failed.
    faults = (
        PlainFault.FAILS,
        PlainFault.FULL,
        PlainFault.AMBIGUOUS_503,
        PlainFault.BREAKS,
        PlainFault.WRONG_ATTEMPT,
        PlainFault.UNSEALED,
        PlainFault.ENCODED,
    )
    async with platform_site() as site:
        for fault in faults:
            for runner in site.plain:
                runner.faults = []
            site.plain[0].faults = [fault]
            site.plain[1].faults = []
            site.plain[1].delay_s = 0.0
            head, _ = await site.call("/notes/1", f"a-{fault.value}")
            check.assertEqual(head.status, 200, fault)


@on_real_clock
async def test_a_non_idempotent_request_runs_once_and_is_never_reported_as_not_run():
    # Two riders would be promised the same seat: the runner ran the hold, its response was lost or
    # invalid, and the client was told "not run" and tried again, or the entry sent the request
    # twice. A request that may have run gets a response that promises nothing.
    expected = {
        PlainFault.FAILS: 500,
        PlainFault.AMBIGUOUS_503: 502,
        PlainFault.BREAKS: 502,
        PlainFault.WRONG_ATTEMPT: 502,
        PlainFault.UNSEALED: 502,
        PlainFault.ENCODED: 502,
    }
    async with platform_site(plain=1) as site:
        for fault, status in expected.items():
            site.plain[0].faults = [fault]
            head, _ = await site.call("/holds/1", f"a-{fault.value}", method=b"POST")
            check.assertEqual(head.status, status, fault)
            check.assertEqual(run_count(site, f"a-{fault.value}"), 1, fault)


@on_real_clock
async def test_a_rejected_request_is_reported_as_not_run_with_a_retry_time():
    async with platform_site(plain=1) as site:
        site.plain[0].faults = [PlainFault.FULL]
        head, _ = await site.call("/holds/1", "a-1", method=b"POST")
        check.assertEqual(head.status, 503)
        check.assertGreater(float(first_value(head.headers, b"retry-after")), 0)
        check.assertEqual(run_count(site, "a-1"), 0)


@on_real_clock
async def test_an_unresponsive_runner_is_abandoned_at_the_route_timeout():
    async with platform_site(plain=1) as site:
        site.routes[1]["timeout-ms"] = 300
        site.version += 1
        site.configure()
        await site.until(lambda: _version(site) == site.version)
        site.plain[0].faults = [PlainFault.SILENT]
        head, _ = await site.call("/holds/1", "a-1", method=b"POST")
        check.assertEqual(head.status, 504)


def _version(site):
    return site.kernels[0].get(StoreReading).gate.version


@on_real_clock
async def test_a_second_response_on_a_pooled_connection_is_dropped():
    # The next client would get the response to another request: the runner sent one response too
    # many, and its connection was kept for the next request.
    async with platform_site(plain=1) as site:
        site.plain[0].faults = [PlainFault.EXTRA]
        for number in range(5):
            head, body = await site.call(f"/notes/{number}", f"a-{number}")
            check.assertEqual(head.status, 200)
            check.assertEqual(json.loads(body)["target"], f"/notes/{number}")


@on_real_clock
async def test_a_client_that_disconnects_stops_its_runner():
    async with platform_site(plain=1) as site:
        site.plain[0].delay_s = 30.0
        with trio.move_on_after(0.3):
            await site.call("/notes/1", "a-1")
        await site.until(lambda: site.plain[0].disconnected_runs == 1)


@on_real_clock
async def test_a_leaving_runner_gets_no_more_requests():
    async with platform_site() as site:
        first, second = site.plain
        site.register(first.runner_id, "desk", first.address, state="draining")
        runners = _runners(site)
        await site.until(lambda: not runners.is_ready(first.runner_id))
        for number in range(6):
            await site.call("/notes/1", f"a-{number}")
        check.assertEqual((len(first.heads), len(second.heads)), (0, 6))


@on_real_clock
async def test_an_address_that_another_runner_took_over():
    # A request would be run by a service that its route does not name: the runner has ended and
    # another runner has its address. The request names the expected runner, and the other one
    # rejects it.
    async with platform_site(plain=1) as site:
        site.plain[0].runner_id = "i-someone-else"
        head, _ = await site.call("/notes/1", "a-1")
        check.assertEqual(head.status, 503)
        check.assertEqual(site.plain[0].heads, [])


def _runners(site):
    return site.kernels[0].get(FleetPort).runners


@on_real_clock
async def test_service_continues_while_the_store_is_unavailable():
    async with platform_site() as site:
        for fault in (StoreFault.BUSY, StoreFault.SILENT):
            site.store.fault = fault
            await trio.sleep(0.8)
            head, _ = await site.call("/notes/1", f"a-{fault.value}")
            check.assertEqual(head.status, 200, fault)


@on_real_clock
async def test_a_list_is_read_again_after_its_history_expired():
    # A revoked key would stay valid forever: the store dropped the change before the watch saw it.
    async with platform_site() as site:
        site.store.forget_history()
        site.routes.append(route("late", "idempotent", "desk"))
        site.configure(keys=("another",))
        await site.until(lambda: _version(site) == site.version)
        head, _ = await site.call("/late/1", "a-1", key="another")
        check.assertEqual(head.status, 200)
        head, _ = await site.call("/late/1", "a-2", key=KEY)
        check.assertEqual(head.status, 401)


@on_real_clock
async def test_a_configuration_never_goes_back():
    async with platform_site() as site:
        newest = site.configure()
        await site.until(lambda: _version(site) == newest)
        site.version = newest - 2
        site.configure(keys=())
        await trio.sleep(0.3)
        head, _ = await site.call("/notes/1", "a-1")
        check.assertEqual(head.status, 200)
        check.assertEqual(_version(site), newest)


@on_real_clock
async def test_a_write_whose_response_is_lost_is_repeated_harmlessly():
    async with platform_site(entries=0) as site:
        site.store.fault = StoreFault.LOST
        await site.start_entry(0)
        await site.until(lambda: site.store.spec("egret-instances", "entry-0") is not None)
        site.store.fault = StoreFault.NONE
        await site.until_ready()
        spec = site.store.spec("egret-instances", "entry-0")
        check.assertEqual(spec["front"], site.settings(0).front_address)


@on_real_clock
async def test_a_fleet_that_starts_for_the_first_time_reads_the_store_once():
    # Instances start together and have no home yet. If each read and watched the store for itself,
    # a start of 420 would make 2,500 calls in a second; the seeds read it and inform the others.
    waits = patch.multiple(store_reading, FIRST_START_WAIT_S=WAIT_S, START_WITH_HOME_S=WAIT_S)
    async with platform_site(entries=1) as site:
        waits.start()
        for number in (1, 2, 3):
            seeds = site.settings(0).seeds + (site.settings(0).control_address,)
            # Slower links than the first, so that none of them becomes the home, which has to read.
            await site.start_entry(number, seeds=seeds, first_start=True, link_mbps=10.0)
        await site.until_ready()
        waits.stop()
        for kernel in site.kernels[1:]:
            calls = kernel.get(StoreReading).store.calls_by_kind
            check.assertEqual(calls[ObjectKind.RUNNER] + calls[ObjectKind.EVACUATION], 0)


@on_real_clock
async def test_a_seed_of_a_first_start_reads_the_store_at_once():
    async with platform_site(entries=0) as site:
        address = node_settings(0, site.store.address, []).control_address
        kernel = await site.start_entry(0, seeds=(address,), first_start=True)
        check.assertLess(kernel.get(StoreReading)._home_wait_s, FIRST_START_WAIT_S)
        await site.until_ready()


@on_real_clock
async def test_an_overloaded_store_gets_few_further_calls():
    # The store answers 503 to an instance that has just started. Its peers send it all it needs,
    # and it serves. Further calls would load the store just when it is overloaded, and each call
    # costs.
    async with platform_site(entries=3) as site:
        site.store.fault = StoreFault.BUSY
        kernel = await site.start_entry(3)
        reading, port = kernel.get(StoreReading), kernel.get(FleetPort)
        await site.until(reading.is_informed)
        await site.until(lambda: not port.fleet.is_watcher(trio.current_time()))
        before = sum(reading.store.calls_by_kind.values())
        evacuations = reading.store.calls_by_kind[ObjectKind.EVACUATION]
        await trio.sleep(2.0)
        check.assertLessEqual(sum(reading.store.calls_by_kind.values()) - before, 4)
        check.assertEqual(reading.store.calls_by_kind[ObjectKind.EVACUATION], evacuations)
        head, _ = await site.call("/notes/1", "a-1", entry=3)
        check.assertEqual(head.status, 200)
