"""Runners that send bytes without end, in any part of an answer, until their connection is closed.

The bytes are drawn by a seed.
"""

import random
from collections.abc import Iterator
from itertools import chain, repeat

import trio

from egretstack.http1 import ClientDisconnected
from egretstack.http1._client import MAX_HEAD_BYTES
from egretstack.relay._events import MAX_COMMENT_BYTES, MAX_EVENT_BYTES
from egretstack.services.fleet_port import FleetPort
from standins.platform import EngineStandIn
from tests.platform_site import platform_site
from tests.stream_reader import start_reader
from tests.support import check, on_real_clock, tests_of

load_tests = tests_of(globals())

SEED = 65
PIECE_BYTES = 16_384
READ_AHEAD_BYTES = 4_000_000
"""What the buffers of a connection hold beyond what its reader has taken."""
CLOSED_WITHIN_S = 5.0
OK = b"HTTP/1.1 200 OK\r\nattempt-id: %s\r\nrunner-seal: seal.x\r\n"
TEXT = b"abcdefghijklmnopqrstuvwxyz0123456789"


def text(rng: random.Random) -> bytes:
    """Return a piece of text without line ends or blanks."""
    return bytes(rng.choices(TEXT, k=PIECE_BYTES))


def header(rng: random.Random) -> bytes:
    """Return a header."""
    return b"x-%s: y\r\n" % text(rng)[:20]


HEAD_LIMIT = 2 * MAX_HEAD_BYTES + READ_AHEAD_BYTES
STREAM = OK + b"content-type: text/event-stream\r\n\r\n"
STREAM_KINDS = {
    "head": (OK, header, HEAD_LIMIT),
    "event": (STREAM + b"id: 1\ndata: ", text, MAX_EVENT_BYTES + READ_AHEAD_BYTES),
    "comments": (
        STREAM + b"id: 1\ndata: x\n\n",
        lambda rng: b": %s\n\n" % text(rng)[:1_000],
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
