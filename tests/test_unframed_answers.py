"""Answers with neither a length nor chunks, which end with their connection."""

import json
import re
from functools import partial

import trio

from egretstack.http1 import open_listener, reset_on_close
from egretstack.services.store_reading import StoreReading
from standins.platform import KEY, PlainFault, configuration
from tests.crash_site import is_known
from tests.platform_site import free_loopback_net, platform_site
from tests.stream_reader import start_reader
from tests.support import check, on_real_clock, tests_of
from tests.test_platform_streams import check_whole

load_tests = tests_of(globals())


@on_real_clock
async def test_an_unframed_answer_is_passed_on_whole():
    async with platform_site(plain=1) as site:
        site.plain[0].faults = [PlainFault.UNFRAMED] * 2
        for path in ("/notes/1", "/holds/1"):
            head, body = await site.call(path, f"u{path}", method=b"POST", body=b"four")
            check.assertEqual((head.status, json.loads(body)["size"]), (200, 4))


@on_real_clock
async def test_an_unframed_answer_that_is_reset_does_not_look_whole():
    # Guards against a part of an answer that a caller takes for all of it.
    async with platform_site(plain=1) as site:
        site.plain[0].faults = [PlainFault.UNFRAMED_RESET]
        head, body = await site.call("/holds/1", "u-1", method=b"POST", body=b"four")
        check.assertEqual(head.status, 502)
        check.assertTrue(json.loads(body)["type"].endswith("outcome-unknown"))


class ResettingRunner:
    """Answers requests of clients before it has read them, and resets within the answer."""

    runner_id = "i-desk-9"

    def __init__(self):
        self.address = f"127.{free_loopback_net()}.2.9:8080"
        self.runs = 0

    async def start(self, nursery):
        """Serve connections."""
        host, _, port = self.address.rpartition(":")
        listener = await open_listener(host, int(port))
        await nursery.start(partial(trio.serve_listeners, self._serve, [listener]))

    async def _serve(self, stream):
        received = b""
        while b"\r\n\r\n" not in received:
            more = await stream.receive_some(500)
            if not more:
                return
            received += more
        attempt = re.search(rb"attempt-id: (\S+)", received)
        if attempt is None:
            health = b"HTTP/1.1 200 OK\r\nrunner-id: %s\r\ncontent-length: 0\r\n\r\n"
            await stream.send_all(health % self.runner_id.encode())
            return
        self.runs += 1
        head = b"HTTP/1.1 200 OK\r\nattempt-id: %s\r\nrunner-seal: x\r\n\r\n" % attempt[1]
        await stream.send_all(head + b"part")
        await trio.sleep(0.02)
        reset_on_close(stream)


async def allow_bodies(site, max_bytes):
    """Configure the longest body, and wait until the entry knows it."""
    site.version += 1
    spec = configuration(site.version, site.routes, (KEY,))
    spec["limits"]["max-body-bytes"] = max_bytes
    site.store.put("config", "main", spec)
    gate = site.kernels[0].get(StoreReading).gate
    await site.until(lambda: gate.version == site.version)


@on_real_clock
async def test_an_early_unframed_answer_that_is_reset_does_not_look_whole():
    # Guards against a reset that is met while the request is sent, and then is not seen any more.
    async with platform_site(plain=0, engines=1) as site:
        runner = ResettingRunner()
        await runner.start(site.nursery)
        site.register(runner.runner_id, "desk", runner.address)
        await site.until(lambda: is_known(site, runner.runner_id))
        body = b"x" * 8_000_000
        await allow_bodies(site, len(body))
        for number in range(8):
            head, _ = await site.call("/holds/1", f"h-{number}", method=b"POST", body=body)
            check.assertEqual(head.status, 502)
        check.assertEqual(runner.runs, 8)


@on_real_clock
async def test_an_unframed_stream_is_passed_on_whole():
    async with platform_site(plain=0, engines=1) as site:
        site.engines[0].unframed = True
        reader = await start_reader(site, "s-1", 99)
        check_whole(reader)


@on_real_clock
async def test_an_unframed_stream_that_ends_inside_an_event_goes_on_at_its_copy():
    # Guards against a stream that was broken off and looks complete.
    async with platform_site(plain=0, engines=2) as site:
        for engine in site.engines:
            engine.unframed, engine.cuts = True, site.engines[0].cuts
        site.engines[0].cuts.append(7)
        reader = await start_reader(site, "s-1", 99)
        check_whole(reader)
        check.assertEqual(sum(len(engine.continued) for engine in site.engines), 1)


@on_real_clock
async def test_an_unframed_stream_that_ends_inside_an_event_is_broken_off_without_a_copy():
    # Guards against a stream that was broken off and looks complete.
    async with platform_site(plain=0, engines=1) as site:
        site.engines[0].unframed = True
        site.engines[0].cuts = [7]
        reader = await start_reader(site, "s-1", 99)
        check.assertEqual((reader.broken, reader.ids), (True, list(range(1, 8))))


@on_real_clock
async def test_an_unframed_stream_is_given_up_by_its_caller():
    # Guards against an engine that works on since nothing but the connection ends its answer.
    async with platform_site(plain=0, engines=1) as site:
        site.engines[0].unframed = True
        site.engines[0].events = 500
        reader = await start_reader(site, "s-1", 3)
        reader.scope.cancel()
        with trio.fail_after(1.0):
            await site.until(lambda: not site.engines[0].running())


@on_real_clock
async def test_an_unframed_stream_whose_run_is_stopped_to_move_goes_on_at_its_copy():
    # Guards against the end of the connection, which the move brings, that is taken for the end.
    async with platform_site(plain=0, engines=2) as site:
        for engine in site.engines:
            engine.unframed, engine.events = True, 150
        source, other = site.engines
        # Without a second engine the run gets no backup, from which it would go on unmoved.
        site.store.remove("servers", other.runner_id)
        await site.until(lambda: not is_known(site, other.runner_id))
        reader = await start_reader(site, "s-1", 5)
        other.runner_id += "-again"
        site.register(other.runner_id, "llm", other.address)
        await site.until(lambda: is_known(site, other.runner_id))
        site.register(source.runner_id, "llm", source.address, "draining")
        await reader.ended.wait()
        check_whole(reader, 150)
        check.assertIn(("s-1", True), source.moves)
