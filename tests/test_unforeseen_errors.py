"""Unforeseen errors: each ends the piece of work that met it, and nothing else."""

from contextlib import contextmanager

import trio
from loguru import logger

from egretstack.detour._wire import encode_request
from egretstack.fleet import FleetView, instance_row
from egretstack.http1 import UpstreamBroken
from egretstack.kernel import (
    MAX_FAILING_S,
    MAX_FAILURES_IN_A_ROW,
    UnforeseenErrors,
    WorkKind,
)
from egretstack.platform import EvacuationEntries, RunnerEntries
from egretstack.relay import PlainRelay
from egretstack.relay._mover import Mover
from egretstack.services.crash_guard import CrashGuardService
from egretstack.services.detour_port import DetourPort
from egretstack.services.directory_port import DirectoryPort
from egretstack.services.engine_reports import EngineReports
from egretstack.services.fleet_port import FleetPort
from egretstack.services.front_port import FrontPort
from egretstack.services.relay_metrics import RelayMetrics
from egretstack.services.relaying import Relaying
from egretstack.services.store_reading import StoreReading
from standins.platform import GENERATION
from tests.platform_site import WAIT_S, platform_site
from tests.raw_connection import exchange_raw
from tests.support import check, on_real_clock, tests_of

load_tests = tests_of(globals())

BUG = "a bug"
EVENTS = 150
"""Events of a stream that goes on until its run is to be copied, for some 3 s."""


def fail(*args, **more):
    """Fail in place of a method."""
    raise ZeroDivisionError(BUG)


@contextmanager
def replaced(owner, name, replacement):
    """Replace an attribute of a class or an object."""
    before = getattr(owner, name)
    setattr(owner, name, replacement)
    try:
        yield before
    finally:
        setattr(owner, name, before)


@contextmanager
def logged():
    """Yield the logged events, as pairs of name and fields."""
    lines = []
    sink = logger.add(
        lambda message: lines.append((message.record["message"], message.record["extra"]))
    )
    try:
        yield lines
    finally:
        logger.remove(sink)


async def read_metrics(site):
    """Return the metrics page of the first entry."""
    query = b"GET / HTTP/1.1\r\nhost: m\r\nconnection: close\r\n\r\n"
    return (await exchange_raw(site.settings(0).metrics_address, query)).decode()


async def check_confined(site, work):
    """Check that an error was counted, and that the entry still serves calls."""
    page = await read_metrics(site)
    counts = [line for line in page.splitlines() if f'errors_total{{work="{work}"}}' in line]
    check.assertGreater(float(counts[0].rpartition(" ")[2]), 0, work)
    head, _ = await site.call("/notes/9", "after")
    check.assertEqual(head.status, 200)
    check.assertTrue(site.kernels[0].get(DirectoryPort).is_ready())


async def test_a_confined_error_is_logged_with_its_traceback_and_counted():
    # Guards against errors that are stopped without a trace, and against a log that one client
    # fills by raising the same error again and again.
    errors = UnforeseenErrors()
    counted = []
    errors.on_error(counted.append)
    with logged() as lines:
        for _ in range(50):
            with errors.confined(WorkKind.ROW, source="store") as work:
                fail()
            check.assertTrue(work.failed)
    check.assertEqual(counted, [WorkKind.ROW] * 50)
    check.assertEqual([name for name, _ in lines], ["error_confined"])
    fields = lines[0][1]
    check.assertIn("in fail", fields["traceback"])
    check.assertEqual((fields["error"], fields["source"]), ("ZeroDivisionError", "store"))


async def test_cancellation_and_lost_memory_are_not_confined():
    # Guards against a service that cannot be stopped, and one that goes on without memory.
    errors = UnforeseenErrors()
    with trio.move_on_after(1) as scope:
        with errors.confined(WorkKind.CONNECTION):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.sleep_forever)
                await trio.sleep_forever()
        check.fail("a cancelled context went on")
    check.assertTrue(scope.cancelled_caught)
    with check.assertRaises(MemoryError), errors.confined(WorkKind.CONNECTION):
        raise MemoryError
    with check.assertRaises(BaseExceptionGroup), errors.confined(WorkKind.CONNECTION):
        raise BaseExceptionGroup("mixed", [ZeroDivisionError(BUG), SystemExit()])


async def test_work_that_always_fails_ends_the_process_after_a_while():
    # Guards against a loop that is dead in an instance that looks ready.
    rounds = UnforeseenErrors().repeated(WorkKind.ROUND)
    began_s, passes = trio.current_time(), 0
    with check.assertRaises(ZeroDivisionError):
        while True:
            passes += 1
            with rounds.attempt():
                fail()
            await trio.sleep(0.25)
    check.assertGreaterEqual(passes, MAX_FAILURES_IN_A_ROW)
    check.assertGreaterEqual(trio.current_time() - began_s, MAX_FAILING_S)


async def test_work_that_fails_now_and_then_goes_on():
    # Guards against a process that ends after a number of errors, however far apart they are.
    rounds = UnforeseenErrors().repeated(WorkKind.ROUND)
    for number in range(10 * MAX_FAILURES_IN_A_ROW):
        with rounds.attempt():
            if number % 2:
                fail()
        await trio.sleep(1.0)
    for _ in range(2 * MAX_FAILURES_IN_A_ROW):
        with rounds.attempt():
            fail()
        await trio.sleep(MAX_FAILING_S + 1.0)


@on_real_clock
async def test_an_error_in_one_request_is_answered_and_ends_no_other():
    # Guards against a bug in one client's request that ends the process, and against what the
    # request held that is never given back.
    async with platform_site(plain=1, engines=1) as site:
        front, relaying = site.kernels[0].get(FrontPort), site.kernels[0].get(Relaying)
        placing = relaying.context.placing
        events = []

        async def read_stream():
            _, body = await site.call("/plans/1", "plan", method=b"POST", headers=GENERATION)
            events.append(body.count(b"id:"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(read_stream)
            await site.until(lambda: site.engines[0].running())
            with replaced(PlainRelay, "serve", fail):
                head, _ = await site.call("/notes/1", "a", method=b"POST", body=b"x" * 100)
                check.assertEqual(head.status, 500)
        check.assertEqual(events, [site.engines[0].events])
        await site.until(lambda: not front._in_progress and not front._relays)
        check.assertEqual(front.body_memory.held_bytes, 0)
        await check_confined(site, "connection")
        with (
            replaced(relaying.context.stream_limits, "record_events", fail),
            check.assertRaises(UpstreamBroken),
        ):
            await site.call("/plans/2", "plan-2", method=b"POST", headers=GENERATION)
        await site.until(lambda: not placing._run_by_attempt)
        check.assertEqual(relaying.context.stream_limits._limit_by_service["llm"].streams, set())


@on_real_clock
async def test_an_error_after_a_call_was_sent_gives_its_place_at_the_runner_back():
    # Guards against a runner that looks busy for good, as calls that failed by a bug still count.
    async with platform_site(plain=1) as site:
        context = site.kernels[0].get(Relaying).context
        runner = next(iter(context.runners.by_id))
        with replaced(PlainRelay, "_send_timeout_s", fail):
            head, _ = await site.call("/holds/1", "hold", method=b"POST")
        check.assertEqual(head.status, 500)
        check.assertEqual(context.balancer.in_flight(runner), 0)
        await check_confined(site, "connection")


@on_real_clock
async def test_an_error_on_one_connection_of_any_port_ends_no_other():
    # Guards against a bug in the answer to one connection that ends the process.
    async with platform_site(entries=2) as site:
        node = site.settings(0)
        get = b"GET /egretstack/ready HTTP/1.1\r\nhost: x\r\n\r\n"
        cases = (
            (node.directory_address, DirectoryPort, "_answer", get),
            (node.ready_address, DirectoryPort, "_answer", get),
            (node.metrics_address, RelayMetrics, "_page", get),
            (f"{node.ip}:{node.first_peer_port}", StoreReading, "packed_configuration", b""),
            (f"{node.ip}:{node.detour_port}", DetourPort, "_refusal", encode_request("a:1", 0.1)),
        )
        for address, owner, name, data in cases:
            with replaced(owner, name, fail):
                await exchange_raw(address, data)
            await check_confined(site, "connection")


@on_real_clock
async def test_an_error_in_one_datagram_or_listener_keeps_no_other_from_its_work():
    # Guards against one peer's message, or one listener of the reports, that ends the process or
    # silences what comes after it.
    async with platform_site(entries=2) as site:
        port, other = (one.get(FleetPort) for one in site.kernels)
        heard = []
        port.on_report_received(fail)
        port.on_report_received(lambda instance, report: heard.append(instance))
        sent = []
        port._report_sent_listeners.insert(
            0, (fail, site.kernels[0].unforeseen.repeated(WorkKind.ROUND))
        )
        port.on_report_sent(lambda: sent.append(1))
        await site.until(lambda: len(heard) > 2 and len(sent) > 2)
        with replaced(port.fleet, "record_referral", fail):
            address = port.fleet.own.instance.peer_address
            other.send(address, FleetView([instance_row(other.fleet.own)]))
            await site.until(lambda: len(heard) > 5)
        await check_confined(site, "datagram")
        await check_confined(site, "round")


@on_real_clock
async def test_an_error_in_one_row_of_the_store_keeps_no_other_from_its_use():
    # Guards against one entry that ends the home, and each home after it, as all read the same.
    async with platform_site(plain=1) as site:
        decode = RunnerEntries.apply

        def apply(entries, changes):
            changes = list(changes)
            if any(change.object.name == "i-odd" for change in changes):
                fail()
            return decode(entries, changes)

        kernel = site.kernels[0]
        runners = kernel.get(FleetPort).runners
        with replaced(RunnerEntries, "apply", apply):
            site.register("i-odd", "desk", "127.9.2.9:8080")
            site.register("i-even", "desk", "127.9.2.8:8080", state="draining")
            await site.until(lambda: any("i-even" in one for one in runners.by_id))
            with replaced(EvacuationEntries, "apply", fail):
                site.evacuate("colima")
                await check_confined_soon(site, "row")
        check.assertFalse(any("i-odd" in one for one in runners.by_id))
        with replaced(StoreReading, "_apply_configuration", fail):
            site.configure()
            await check_confined_soon(site, "row")
        version = site.configure()
        await site.until(lambda: kernel.get(StoreReading).gate.version == version)


async def check_confined_soon(site, work):
    with trio.fail_after(WAIT_S):
        while f'errors_total{{work="{work}"}} 0.0' in await read_metrics(site):
            await trio.sleep(0.05)
    await check_confined(site, work)


@on_real_clock
async def test_a_reading_that_fails_counts_as_not_answered_and_is_tried_again():
    # Guards against a list that is never read again after a bug met while it was applied.
    async with platform_site(plain=1) as site:
        port = site.kernels[0].get(FleetPort)
        with replaced(FleetPort, "apply_runner_list", fail):
            await check_confined_soon(site, "round")
        site.register("i-late", "desk", "127.9.2.8:8080", state="draining")
        await site.until(lambda: any("i-late" in one for one in port.runners.by_id))


@on_real_clock
async def test_an_error_in_one_exchange_with_a_runner_ends_no_other():
    # Guards against one engine's answer that ends the home, and callers that wait for good for the
    # result of a check that failed.
    async with platform_site(plain=1, engines=1) as site:
        kernel = site.kernels[0]
        with replaced(EngineReports, "_check_report", fail):
            await check_confined_soon(site, "exchange")
        guard = kernel.get(CrashGuardService)
        with replaced(CrashGuardService, "_probe_once", fail):
            site.engines[0].cuts = [3]
            with check.assertRaises(UpstreamBroken):
                await site.call("/plans/1", "cut", method=b"POST", headers=GENERATION)
            await site.until(lambda: not guard._broken_by_runner)
        await check_confined(site, "exchange")


@on_real_clock
async def test_a_stream_goes_on_when_copying_its_run_fails():
    # Guards against a stream that is lost by a bug in the copy that is kept for its sake.
    async with platform_site(plain=1, engines=2) as site:
        for engine in site.engines:
            engine.events, engine.stores_copies = EVENTS, False
        moved = []

        async def run(mover):
            moved.append(1)
            fail()

        with replaced(Mover, "run", run):
            async with trio.open_nursery() as nursery:
                result = []

                async def read():
                    result.append(
                        await site.call("/plans/1", "plan", method=b"POST", headers=GENERATION)
                    )

                nursery.start_soon(read)
                await site.until(lambda: any(one.running() for one in site.engines))
                busy = next(one for one in site.engines if one.running())
                site.register(busy.runner_id, "llm", busy.address, state="draining")
                await site.until(lambda: moved)
        check.assertEqual(result[0][1].count(b"id:"), EVENTS)
        check.assertEqual(len(moved), 1)
        await check_confined(site, "exchange")
