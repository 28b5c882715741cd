"""Runners that send bytes without end, in any part of an answer, until their connection is closed.

The bytes are drawn by a seed.
"""

import gc
import random
import tracemalloc
from collections.abc import Iterator
from contextlib import suppress
from functools import partial
from itertools import chain, repeat

import trio

from egretstack.http1 import (
    AnswerMemory,
    AnswerMemoryFull,
    AnswerTooLarge,
    ClientDisconnected,
    connect_upstream,
    exchange,
)
from egretstack.http1._answer_memory import SMALL_BYTES
from egretstack.http1._client import MAX_HEAD_BYTES
from egretstack.relay._events import MAX_COMMENT_BYTES, MAX_EVENT_BYTES
from egretstack.relay._plain import MAX_RESPONSE_BYTES
from egretstack.services.fleet_port import FleetPort
from egretstack.services.relaying import Relaying
from standins.platform import EngineStandIn, PlainStandIn, client_request
from standins.platform._engine import MOVE_PATH, REPORT_PATH
from tests.platform_site import platform_site
from tests.stream_reader import start_reader
from tests.support import check, on_real_clock, tests_of
from tests.test_run_places import EVENTS

load_tests = tests_of(globals())

SEED = 65
PIECE_BYTES = 16_384
READ_AHEAD_BYTES = 4_000_000
"""What the buffers of a connection hold beyond what its reader has taken."""
CLOSED_WITHIN_S = 5.0
OK = b"HTTP/1.1 200 OK\r\nattempt-id: %s\r\nrunner-seal: seal.x\r\n"
CHUNKED = OK + b"transfer-encoding: chunked\r\n\r\n"
TEXT = b"abcdefghijklmnopqrstuvwxyz0123456789"


def text(rng: random.Random, size: int = PIECE_BYTES) -> bytes:
    """Return a piece of text without line ends or blanks."""
    return bytes(rng.choices(TEXT, k=size))


def chunk(rng: random.Random) -> bytes:
    """Return a chunk of a body."""
    return b"%x\r\n%s\r\n" % (PIECE_BYTES, text(rng))


def line(rng: random.Random) -> bytes:
    """Return a line."""
    return text(rng, rng.randint(1, 200)) + b"\r\n"


def header(rng: random.Random) -> bytes:
    """Return a header."""
    return b"x-%s: y\r\n" % text(rng, 20)


def interim(rng: random.Random) -> bytes:
    """Return an interim answer."""
    return b"HTTP/1.1 103 Early Hints\r\nlink: </%s>\r\n\r\n" % text(rng, 20)


BODY_LIMIT = MAX_RESPONSE_BYTES + READ_AHEAD_BYTES
HEAD_LIMIT = 2 * MAX_HEAD_BYTES + READ_AHEAD_BYTES
INTERIM_LIMIT = 60_000
KINDS = {
    "text": (b"", text, HEAD_LIMIT),
    "lines": (b"", line, HEAD_LIMIT),
    "status line": (b"HTTP/1.1 200 ", text, HEAD_LIMIT),
    "header": (OK + b"x: ", text, HEAD_LIMIT),
    "headers": (OK, header, HEAD_LIMIT),
    "interim answers": (b"", interim, INTERIM_LIMIT),
    "chunk size": (CHUNKED, lambda rng: b"0" * PIECE_BYTES, HEAD_LIMIT),
    "chunk extension": (CHUNKED + b"5;", text, HEAD_LIMIT),
    "trailers": (CHUNKED + b"0\r\n", header, HEAD_LIMIT),
    "after an answer": (OK + b"content-length: 2\r\n\r\nok", text, HEAD_LIMIT),
    "chunks": (CHUNKED, chunk, BODY_LIMIT),
    "unframed body": (OK + b"\r\n", text, BODY_LIMIT),
    "body of a 503": (b"HTTP/1.1 503 Full\r\nnot-executed: 1\r\n\r\n", text, BODY_LIMIT),
}
"""Start of an answer, the piece that is repeated after it, and how much may be sent."""
STREAM = OK + b"content-type: text/event-stream\r\n\r\n"
STREAM_KINDS = {
    "head": (OK, header, HEAD_LIMIT),
    "event": (STREAM + b"id: 1\ndata: ", text, MAX_EVENT_BYTES + READ_AHEAD_BYTES),
    "comments": (
        STREAM + b"id: 1\ndata: x\n\n",
        lambda rng: b": %s\n\n" % text(rng, 1_000),
        MAX_COMMENT_BYTES + READ_AHEAD_BYTES,
    ),
}


class Endless:
    """Sends an answer of a kind to each connection until that is closed."""

    def __init__(self, kind, seed=SEED, pace_s=0.0):
        self._start, self._piece, self.limit = kind
        self._rng = random.Random(seed)
        self._pace_s = pace_s
        self.sent: list[int] = []
        """Bytes sent on each connection that has been closed."""

    async def send(self, connection, attempt):
        """Send until the connection is closed."""
        start = self._start.replace(b"%s", attempt)
        sent = 0
        try:
            for data in chain([start], self._pieces()):
                await connection.send_raw(data)
                sent += len(data)
                await trio.sleep(self._pace_s)
        except ClientDisconnected:
            return
        finally:
            self.sent.append(sent)

    def _pieces(self) -> Iterator[bytes]:
        return (self._piece(self._rng) for _ in repeat(None))


class EndlessPlain(PlainStandIn):
    """A plain runner that answers without end."""

    def __init__(self, address, runner_id, endless):
        super().__init__(address, runner_id)
        self.endless = endless

    async def answer(self, connection, head, body):
        """Answer one request."""
        headers = dict(head.headers)
        if b"attempt-id" not in headers:
            await super().answer(connection, head, body)
        else:
            await self.endless.send(connection, headers[b"attempt-id"])


class EndlessEngine(EngineStandIn):
    """An engine that answers some requests without end."""

    def __init__(self, address, runner_id, endless, path=b""):
        super().__init__(address, runner_id)
        self.endless = endless
        self.path = path
        """Path of the requests that it answers so; empty for those for streams."""

    async def answer(self, connection, head, body):
        """Answer one request."""
        headers = dict(head.headers)
        attempt = headers.get(b"attempt-id", b"")
        if (head.target == self.path) if self.path else attempt:
            await self.endless.send(connection, attempt)
        else:
            await super().answer(connection, head, body)


async def add(site, kind, service, *args):
    """Start one more runner of a site, and return it once the instance knows it."""
    net = site.store.address.split(".")[1]
    number = 100 + len(site.kernels[0].get(FleetPort).runners.by_id)
    runner = kind(f"127.{net}.3.{number}:8080", f"i-more-{number}", *args)
    await site.nursery.start(runner.run)
    site.register(runner.runner_id, service, runner.address)
    runners = site.kernels[0].get(FleetPort).runners
    await site.until(lambda: runner.address in [one.address for one in runners.by_id.values()])
    return runner


def memory_of(site):
    """Return the memory that the answers at the first instance share."""
    return site.kernels[0].get(Relaying).context.answer_memory


@on_real_clock
async def test_answers_without_end_are_closed_whatever_they_consist_of():
    # Guards against a connection that is read for ever, and against calls to other runners that
    # are lost beside it.
    for name, kind in KINDS.items():
        async with platform_site(plain=1) as site:
            runner = await add(site, EndlessPlain, "desk", Endless(kind))
            statuses = []
            for number in range(6):
                head, _ = await site.call("/notes/1", f"n-{number}")
                statuses.append(head.status)
            with trio.move_on_after(CLOSED_WITHIN_S):
                await site.until(lambda runner=runner: runner.endless.sent)
            check.assertTrue(runner.endless.sent, name)
            check.assertLess(max(runner.endless.sent), runner.endless.limit, name)
            check.assertEqual(statuses, [200] * 6, name)
            check.assertEqual(memory_of(site).held_bytes, 0, name)


@on_real_clock
async def test_streams_without_end_are_closed_and_their_runner_does_not_seem_alive():
    # Guards against comments, or an event without end, that keep a stream and a processor busy.
    for name, kind in STREAM_KINDS.items():
        async with platform_site(plain=1) as site:
            runner = await add(site, EndlessEngine, "llm", Endless(kind))
            reader = await start_reader(site, "s-1")
            with trio.move_on_after(CLOSED_WITHIN_S):
                await reader.ended.wait()
            check.assertTrue(reader.ended.is_set(), name)
            check.assertTrue(reader.broken or reader.status == 502, name)
            await site.until(lambda runner=runner: runner.endless.sent)
            check.assertLess(max(runner.endless.sent), runner.endless.limit, name)
            head, _ = await site.call("/notes/1", "n-1")
            check.assertEqual(head.status, 200)
            check.assertEqual(memory_of(site).held_bytes, 0, name)


@on_real_clock
async def test_reports_health_and_answers_to_copies_without_end_are_closed():
    # Guards against an endless answer to a request of the instance itself.
    kinds = (b"/health", REPORT_PATH, MOVE_PATH)
    for path in kinds:
        endless = Endless((b"HTTP/1.1 200 OK\r\n\r\n", text, BODY_LIMIT))
        async with platform_site(plain=1) as site:
            runner = await add(site, EndlessEngine, "llm", endless, path)
            runner.events = EVENTS
            reader = await start_reader(site, "s-1", 3)
            other = await add(site, EngineStandIn, "llm")
            other.events = EVENTS
            if path == MOVE_PATH:
                await site.until(lambda endless=endless: endless.sent)
            else:
                await trio.sleep(1.5)
            check.assertLess(max(endless.sent, default=0), endless.limit, path)
            await reader.ended.wait()
            check.assertEqual(reader.ids, list(range(1, EVENTS + 1)), path)


@on_real_clock
async def test_endless_answers_together_leave_room_for_small_ones():
    # Guards against a process that exceeds its memory, and against small answers that are refused
    # because of large ones.
    max_bytes = 4_000_000
    async with platform_site(plain=1) as site:
        context = site.kernels[0].get(Relaying).context
        context.answer_memory = AnswerMemory(max_bytes)
        await add(site, EndlessPlain, "desk", Endless(KINDS["chunks"], pace_s=0.02))
        statuses, held = [], []

        async def call(number):
            head, _ = await site.call("/holds/1", f"h-{number}", method=b"POST")
            statuses.append(head.status)

        with trio.move_on_after(4.0):
            async with trio.open_nursery() as nursery:
                for number in range(96):
                    nursery.start_soon(call, number)
                while True:
                    held.append(context.answer_memory.held_bytes)
                    await trio.sleep(0.02)
        check.assertLessEqual(max(held), max_bytes)
        check.assertGreater(max(held), max_bytes / 2)
        check.assertGreaterEqual(statuses.count(200), 10)
        check.assertEqual(set(statuses) - {200, 502}, set())
        await site.until(lambda: context.answer_memory.held_bytes == 0)


async def read_pieces(memory, sizes, results, name):
    """Read an answer of growing size, and keep it until cancelled."""
    with memory.reserve() as reservation:
        try:
            with reservation.reading():
                for size in sizes:
                    reservation.resize(size)
                    await trio.sleep(1)
        except AnswerMemoryFull:
            results[name] = "refused"
            return
        results[name] = "read"
        await trio.sleep_forever()


async def test_the_largest_answer_makes_way_for_smaller_ones():
    # Guards against small answers that are refused because of a few large ones.
    memory, results = AnswerMemory(1_000_000), {}
    async with trio.open_nursery() as nursery:
        grow = partial(nursery.start_soon, read_pieces, memory)
        grow([500_000, 600_000, 700_000], results, "large")
        await trio.sleep(0.5)
        grow([200_000, 300_000], results, "medium")
        for number in range(5):
            grow([SMALL_BYTES], results, f"small-{number}")
        await trio.sleep(10)
        check.assertEqual(results.pop("large"), "refused")
        check.assertEqual(set(results.values()), {"read"})
        check.assertEqual(memory.held_bytes, 300_000 + 5 * SMALL_BYTES)
        nursery.cancel_scope.cancel()
    check.assertEqual(memory.held_bytes, 0)


async def test_large_answers_that_are_passed_on_leave_room_for_small_ones():
    # Guards against small answers that are refused while clients read large ones slowly.
    memory, results = AnswerMemory(1_000_000), {}
    async with trio.open_nursery() as nursery:
        for number in range(4):
            nursery.start_soon(read_pieces, memory, [300_000], results, f"large-{number}")
        await trio.sleep(5)
        for number in range(3):
            nursery.start_soon(read_pieces, memory, [SMALL_BYTES], results, f"small-{number}")
        await trio.sleep(5)
        check.assertEqual([results[f"small-{number}"] for number in range(3)], ["read"] * 3)
        check.assertEqual(list(results.values()).count("refused"), 2)
        nursery.cancel_scope.cancel()
    check.assertEqual(memory.held_bytes, 0)


async def test_memory_is_given_back_however_an_answer_ends():
    # Guards against memory that fills up with answers which have long ended.
    memory = AnswerMemory(1_000_000)
    with check.assertRaises(ValueError), memory.reserve() as reservation, reservation.reading():
        reservation.resize(500_000)
        raise ValueError
    check.assertEqual(memory.held_bytes, 0)
    with trio.move_on_after(1), memory.reserve() as reservation, reservation.reading():
        reservation.resize(500_000)
        await trio.sleep_forever()
    check.assertEqual(memory.held_bytes, 0)
    with memory.reserve() as reservation:
        with reservation.reading():
            reservation.resize(100_000)
        with check.assertRaises(AnswerMemoryFull), reservation.reading():
            reservation.resize(2_000_000)
        check.assertEqual(memory.held_bytes, 100_000)
    check.assertEqual(memory.held_bytes, 0)


@on_real_clock
async def test_what_was_read_of_an_answer_without_end_is_freed_at_once():
    # Guards against bodies that stay in memory until the next run of the garbage collector.
    max_bytes = 4_000_000
    async with platform_site(plain=1) as site:
        runner = await add(site, EndlessPlain, "desk", Endless(KINDS["chunks"]))
        head, body = client_request("/notes/1", "n-1")
        gc.collect()
        gc.disable()
        tracemalloc.start()
        try:
            before, _ = tracemalloc.get_traced_memory()
            for _ in range(3):
                connection = await connect_upstream(runner.address, 1.0)
                # `assertRaises` would clear the frames of the error's traceback.
                with suppress(AnswerTooLarge):
                    await exchange(connection, head, body, max_bytes)
                connection.close()
            after, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
            gc.enable()
        check.assertLess(after - before, max_bytes / 2)
