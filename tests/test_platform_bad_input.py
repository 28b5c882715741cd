"""Invalid requests of clients to an instance, and invalid answers of the store."""

import trio

from egretstack.http1 import BodyMemory, ClientConnection, RequestHead, ResponseHead
from egretstack.platform import ObjectKind, Store, StoreAway
from egretstack.services.front_port import FrontPort
from standins.platform import HOST, KEY, StandInServer
from tests.platform_site import WAIT_S, free_loopback_net, platform_site
from tests.support import check, on_real_clock, tests_of

load_tests = tests_of(globals())

HEAD = f"host: {HOST}\r\nattempt-id: a-1\r\nauthorization: Bearer {KEY}\r\n".encode()


async def send_raw(site, *parts, gap_s=0.0):
    """Send raw bytes and return the status of the first answer; None if there is none."""
    host, _, port = site.settings(0).front_address.rpartition(":")
    stream = await trio.open_tcp_stream(host, int(port))
    async with stream:
        with trio.fail_after(WAIT_S):
            try:
                for part in parts:
                    await stream.send_all(part)
                    await trio.sleep(gap_s)
                data = b""
                while more := await stream.receive_some(65_536):
                    data += more
            except trio.BrokenResourceError:
                pass
    return int(data.split()[1]) if data else None


@on_real_clock
async def test_invalid_requests_are_rejected_and_not_forwarded():
    # Guards against request smuggling, where a second request hidden in the first runs as another
    # client, and against clients that hold resources by sending slowly or too much.
    async with platform_site() as site:
        post = b"POST /holds/1 HTTP/1.1\r\n" + HEAD
        cases = {
            "no request": (400, (b"NONSENSE\r\n\r\n",)),
            "no host": (400, (b"GET /notes/1 HTTP/1.1\r\n\r\n",)),
            "two framings": (
                400,
                (
                    post + b"content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n"
                    b"0\r\n\r\nGET /notes/9 HTTP/1.1\r\n" + HEAD + b"\r\n",
                ),
            ),
            "two lengths": (400, (post + b"content-length: 1\r\ncontent-length: 2\r\n\r\nxx",)),
            "bad length": (400, (post + b"content-length: -1\r\n\r\n",)),
            "unknown coding": (501, (post + b"transfer-encoding: gzip\r\n\r\n",)),
            "head too large": (431, (post + b"x: " + b"y" * 20_000 + b"\r\n\r\n",)),
            "body too large": (413, (post + b"content-length: 200000\r\n\r\n" + b"z" * 150_000,)),
            "slow head": (408, (b"POST /holds/1 HTTP/1.1\r\nhost: x\r\n",)),
            "slow body": (408, (post + b"content-length: 5\r\n\r\nab",)),
        }
        for name, (status, parts) in cases.items():
            check.assertEqual(await send_raw(site, *parts), status, name)
        check.assertEqual(sum(len(runner.heads) for runner in site.plain), 0)
        head, _ = await site.call("/notes/1", "a-2")
        check.assertEqual(head.status, 200)


@on_real_clock
async def test_pipelined_requests_are_answered():
    async with platform_site() as site:
        first = b"GET /notes/1 HTTP/1.1\r\n" + HEAD + b"\r\n"
        second = b"GET /notes/2 HTTP/1.1\r\n" + HEAD + b"connection: close\r\n\r\n"
        check.assertEqual(await send_raw(site, first + second), 200)
        check.assertEqual(sum(len(runner.heads) for runner in site.plain), 2)


class HostileStore(StandInServer):
    """Answers every call with a configured status and body."""

    def __init__(self, address):
        super().__init__(address)
        self.status = 200
        self.body = b""
        self.breaks_off = False

    async def answer(self, connection: ClientConnection, head: RequestHead, body: bytes) -> None:
        if self.breaks_off:
            await connection.start_stream(ResponseHead(200, b"", ()), b'{"items": [')
            connection.abort()
            return
        await connection.send_response(ResponseHead(self.status, b"", ()), self.body)


@on_real_clock
async def test_invalid_answers_of_the_store_count_as_unavailable():
    async with trio.open_nursery() as nursery:
        server = HostileStore(f"127.{free_loopback_net()}.5.1:8742")
        await nursery.start(server.run)
        store = Store(server.address)
        for body in (
            b"",
            b"[]",
            b"{}",
            b'{"items": 3, "events": 3, "as-of": 1}',
            b"\xff" * 100,
            b"[" * 100_000,
        ):
            server.body = body
            with check.assertRaises(StoreAway, msg=body[:20]):
                await store.list(ObjectKind.RUNNER)
            with check.assertRaises(StoreAway, msg=body[:20]):
                await store.watch(ObjectKind.RUNNER, 1, 0.1)
        for status in (429, 500, 503):
            server.status = status
            with check.assertRaises(StoreAway):
                await store.list(ObjectKind.CONFIGURATION)
        server.breaks_off = True
        with check.assertRaises(StoreAway):
            await store.list(ObjectKind.CONFIGURATION)
        store.close()
        nursery.cancel_scope.cancel()


@on_real_clock
async def test_memory_for_concurrent_bodies_is_bounded():
    # Guards against an instance that is killed for running out of memory, which breaks all its
    # streams: the size of one body is bounded, but dozens of concurrent bodies were not. A body
    # beyond the total bound is answered 503, so that the client retries.
    async with platform_site() as site:
        front = site.kernels[0].get(FrontPort)
        front.body_memory = BodyMemory(50_000)
        post = b"POST /holds/1 HTTP/1.1\r\n" + HEAD + b"content-length: 40000\r\n\r\n"
        host, _, port = site.settings(0).front_address.rpartition(":")
        async with await trio.open_tcp_stream(host, int(port)) as first:
            await first.send_all(post + b"z" * 39_999)
            await site.until(lambda: front.body_memory.held_bytes >= 39_999)
            check.assertEqual(await send_raw(site, post + b"z" * 40_000), 503)
            check.assertEqual(sum(len(runner.heads) for runner in site.plain), 0)
            await first.send_all(b"z")
            check.assertIn(b" 200 ", await first.receive_some(100))
        await site.until(lambda: front.body_memory.held_bytes == 0)
        last = post.replace(b"\r\n\r\n", b"\r\nconnection: close\r\n\r\n")
        check.assertEqual(await send_raw(site, last + b"z" * 40_000), 200)


@on_real_clock
async def test_directory_port_releases_the_memory_of_each_body():
    # Guards against body memory that is not released on this port: the next request would then be
    # refused with an error that is not handled and ends the process.
    async with platform_site() as site:
        host, _, port = site.settings(0).directory_address.rpartition(":")
        body = b"z" * 900
        query = b"GET /egretstack/resolve?name=x HTTP/1.1\r\nhost: d\r\ncontent-length: 900\r\n\r\n"
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            for _ in range(6):
                await stream.send_all(query + body)
                check.assertIn(b"HTTP/1.1", await stream.receive_some(4_000))
