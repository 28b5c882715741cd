"""Tunnels over loopback sockets: how the ends of a runner, a helper and an instance show."""

import trio
import trio.testing

from egretstack.detour import (
    BadTunnelRequest,
    TunnelOutcome,
    TunnelRefused,
    carry,
    open_tunnel,
    read_request,
)
from egretstack.detour._wire import END_FRAME, encode_frame, encode_request
from egretstack.http1 import (
    RequestHead,
    UpstreamBroken,
    UpstreamConnection,
    connect_link,
    exchange,
    reset_on_close,
)
from tests.support import check, on_real_clock, tests_of

load_tests = tests_of(globals())

HEAD = RequestHead(b"GET", b"/", ((b"host", b"runner"),))
UNSIZED = b"HTTP/1.1 200 OK\r\n\r\npart"
"""An answer without a length, which ends with its connection."""
TIMEOUT_S = 5.0


class Site:
    """A runner whose connections `answer` serves, and a helper that carries tunnels to it."""

    def __init__(self, nursery, answer):
        self.nursery = nursery
        self.answer = answer
        self.helper_scope = trio.CancelScope()
        self.runner_disconnected = trio.Event()

    async def start(self):
        """Start both on free ports."""
        self.runner = await self._serve(self.answer)
        self.helper = await self._serve(self._help)

    async def _serve(self, handler):
        listeners = await self.nursery.start(
            lambda task_status: trio.serve_tcp(
                handler, 0, host="127.0.0.1", task_status=task_status
            )
        )
        return listeners[0].socket.getsockname()

    async def _help(self, stream):
        with self.helper_scope:
            address, timeout_s, first = await read_request(stream)
            link = await connect_link(address, timeout_s)
            await stream.send_all(bytes((TunnelOutcome.CONNECTED.value,)))
            await carry(stream, link, first)

    async def connect(self):
        """Return a connection to the runner through the helper."""
        address = "{}:{}".format(*self.runner)
        link = await open_tunnel(self.helper, address, TIMEOUT_S, TIMEOUT_S)
        return UpstreamConnection(link, address)


async def read_through_tunnel(answer, body=b""):
    """Return the body that a client reads through a tunnel, or the error that it meets.

    `body`: the body of its request.
    """
    async with trio.open_nursery() as nursery:
        site = Site(nursery, answer)
        await site.start()
        connection = await site.connect()
        try:
            with trio.fail_after(TIMEOUT_S):
                _, data = await exchange(connection, post_head(body), body, 1_000_000)
        except UpstreamBroken as error:
            return error
        finally:
            nursery.cancel_scope.cancel()
        return data


def post_head(body):
    """Return the head of a request with a body."""
    length = (b"content-length", b"%d" % len(body))
    return RequestHead(b"POST", b"/", (*HEAD.headers, length)) if body else HEAD


@on_real_clock
async def test_an_answer_that_ends_with_its_connection_is_whole_behind_a_tunnel():
    async def answer(stream):
        await stream.receive_some()
        await stream.send_all(UNSIZED + b"x" * 300_000)
        await stream.aclose()

    check.assertEqual(await read_through_tunnel(answer), b"part" + b"x" * 300_000)


@on_real_clock
async def test_an_answer_that_its_runner_resets_does_not_look_whole_behind_a_tunnel():
    async def answer(stream):
        await stream.receive_some()
        await stream.send_all(UNSIZED)
        await trio.sleep(0.1)
        reset_on_close(stream)
        stream.socket.close()

    check.assertIsInstance(await read_through_tunnel(answer), UpstreamBroken)


@on_real_clock
async def test_an_early_answer_that_its_runner_resets_does_not_look_whole_behind_a_tunnel():
    # Guards against a reset that the helper meets while it sends and takes for the runner's end.
    async def answer(stream):
        await stream.receive_some(10)
        await stream.send_all(UNSIZED)
        await trio.sleep(0.05)
        reset_on_close(stream)
        stream.socket.close()

    body = b"x" * 8_000_000
    for _ in range(8):
        check.assertIsInstance(await read_through_tunnel(answer, body), UpstreamBroken)


@on_real_clock
async def test_an_answer_whose_helper_ends_does_not_look_whole():
    # Guards against a truncated answer without a length that is passed on as a whole one.
    async with trio.open_nursery() as nursery:

        async def answer(stream):
            await stream.receive_some()
            await stream.send_all(UNSIZED)
            await trio.sleep_forever()

        site = Site(nursery, answer)
        await site.start()
        connection = await site.connect()
        await connection.send(HEAD, b"")
        await connection.read_head()
        check.assertEqual(await connection.read_body(), b"part")
        site.helper_scope.cancel()
        with check.assertRaises(UpstreamBroken), trio.fail_after(TIMEOUT_S):
            await connection.read_body()
        nursery.cancel_scope.cancel()


@on_real_clock
async def test_a_tunnel_that_ends_within_its_frames_does_not_end_an_answer():
    # Guards against a helper that stops anywhere, and whose end counts as the runner's.
    whole = encode_frame(UNSIZED[:9]) + encode_frame(UNSIZED[9:]) + END_FRAME
    sent = whole

    async def answer(stream):
        await read_request(stream)
        await stream.send_all(bytes((TunnelOutcome.CONNECTED.value,)))
        await stream.receive_some()
        await stream.send_all(sent)

    async with trio.open_nursery() as nursery:
        site = Site(nursery, answer)
        await site.start()
        for cut in range(len(whole) + 1):
            sent = whole[:cut]
            link = await open_tunnel(site.runner, "127.0.0.1:1", TIMEOUT_S, TIMEOUT_S)
            connection = UpstreamConnection(link, "")
            with trio.fail_after(TIMEOUT_S):
                if cut < len(whole):
                    with check.assertRaises(UpstreamBroken, msg=cut):
                        await exchange(connection, HEAD, b"", 1_000)
                else:
                    check.assertEqual((await exchange(connection, HEAD, b"", 1_000))[1], b"part")
            connection.close()
        nursery.cancel_scope.cancel()


@on_real_clock
async def test_a_runner_may_answer_and_close_before_it_has_read_a_long_request():
    # Guards against an answer that is lost since the rest of the request cannot be sent.
    async def answer(stream):
        await stream.receive_some(10)
        await stream.send_all(b"HTTP/1.1 413 No\r\ncontent-length: 4\r\n\r\nlong")
        await trio.sleep(0.2)
        await stream.aclose()

    async with trio.open_nursery() as nursery:
        site = Site(nursery, answer)
        await site.start()
        connection = await site.connect()
        body = b"x" * 3_000_000
        with trio.fail_after(TIMEOUT_S):
            response, data = await exchange(connection, post_head(body), body, 1_000)
        check.assertEqual((response.status, data), (413, b"long"))
        nursery.cancel_scope.cancel()


@on_real_clock
async def test_a_runner_sees_that_the_client_behind_a_tunnel_has_left():
    # Guards against work that goes on at a runner for a client that is gone.
    left = trio.Event()

    async def answer(stream):
        try:
            while await stream.receive_some():
                pass
        except trio.BrokenResourceError:
            pass
        left.set()

    async with trio.open_nursery() as nursery:
        site = Site(nursery, answer)
        await site.start()
        connection = await site.connect()
        await connection.send(HEAD, b"")
        connection.close()
        with trio.fail_after(0.5):
            await left.wait()
        nursery.cancel_scope.cancel()


@on_real_clock
async def test_a_helper_that_does_not_answer_or_answers_nonsense_has_refused():
    # Guards against a request that is taken for sent although no tunnel was opened.
    for data in (b"", b"\xff", None):

        async def answer(stream, data=data):
            if data is None:
                await trio.sleep_forever()
            await stream.send_all(data)

        async with trio.open_nursery() as nursery:
            site = Site(nursery, answer)
            await site.start()
            with check.assertRaises(TunnelRefused) as refused:
                await open_tunnel(site.runner, "127.0.0.1:1", 0.1, 0.2)
            check.assertIsNone(refused.exception.outcome)
            nursery.cancel_scope.cancel()


@on_real_clock
async def test_requests_for_tunnels_that_make_no_sense_are_refused():
    # Guards against a process that ends by what anyone may send to its port.
    bad = [
        encode_request("127.0.0.1:1", -1.0),
        encode_request("127.0.0.1:1", float("nan")),
        encode_request(["127.0.0.1:1"], 1.0),
        (2_000_000_000).to_bytes(4, "big"),
        (3).to_bytes(4, "big") + b"\xc1\xff\x00",
    ]
    for data in bad:
        requester, helper = trio.testing.memory_stream_pair()
        await requester.send_all(data)
        with check.assertRaises(BadTunnelRequest):
            await read_request(helper)
