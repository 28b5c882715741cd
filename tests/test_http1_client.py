"""Connections to an upstream that answers or ends before it has read the request."""

from functools import partial

import trio

from egretstack.http1 import (
    RequestHead,
    UpstreamBroken,
    connect_link,
    connect_upstream,
    exchange,
    open_listener,
    reset_on_close,
)
from tests.platform_site import free_loopback_net
from tests.support import check, on_real_clock, tests_of

load_tests = tests_of(globals())


@on_real_clock
async def test_an_upstream_that_closes_before_the_request_went_out():
    # Every client of the process would lose its connection: the upstream accepted and closed
    # immediately, the reader saw that before the sender ran, and the unhandled error of the sender
    # ended the process.
    address = f"127.{free_loopback_net()}.6.1:8080"
    host, _, port = address.rpartition(":")

    async def close_at_once(stream):
        await stream.aclose()

    async with trio.open_nursery() as nursery:
        listener = await open_listener(host, int(port))
        await nursery.start(partial(trio.serve_listeners, close_at_once, [listener]))
        head = RequestHead(b"GET", b"/", ((b"host", b"x"),))
        for first in ("reader", "sender"):
            connection = await connect_upstream(address, 2.0)
            if first == "reader":
                with check.assertRaises(UpstreamBroken):
                    await connection.read_head()
                with check.assertRaises(UpstreamBroken):
                    await connection.send(head, b"")
            else:
                with check.assertRaises(UpstreamBroken):
                    await exchange(connection, head, b"", 100)
            connection.close()
        nursery.cancel_scope.cancel()


@on_real_clock
async def test_an_upstream_that_answers_before_the_request_went_out():
    # Guards against an unforeseen error of the sender, which ended the request: the reader saw the
    # response before the sender ran.
    async def answer_at_once(stream):
        await stream.send_all(b"HTTP/1.1 503 Busy\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n")
        await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(
            partial(trio.serve_tcp, answer_at_once, 0, host="127.0.0.1")
        )
        host, port = listeners[0].socket.getsockname()
        head = RequestHead(b"GET", b"/", ((b"host", b"x"),))
        connection = await connect_upstream(f"{host}:{port}", 2.0)
        check.assertEqual((await connection.read_head()).status, 503)
        with check.assertRaises(UpstreamBroken):
            await connection.send(head, b"")
        check.assertFalse(connection.has_sent or connection.is_reusable())
        connection.close()
        for _ in range(12):
            connection = await connect_upstream(f"{host}:{port}", 2.0)
            await trio.sleep(0.01)
            response, _ = await exchange(connection, head, b"", 100)
            check.assertEqual(response.status, 503)
            connection.close()
        nursery.cancel_scope.cancel()


UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\npart"
MORE_THAN_BUFFERS = b"x" * 20_000_000
"""A request that an upstream cannot receive completely unless it reads it."""


async def open_link(nursery, end):
    """Return a link to an upstream that answers a part of a request, and ends it by `end`."""

    async def answer(stream):
        await stream.receive_some(100)
        await stream.send_all(UNFRAMED)
        await end(stream)
        stream.socket.close()

    listeners = await nursery.start(partial(trio.serve_tcp, answer, 0, host="127.0.0.1"))
    host, port = listeners[0].socket.getsockname()
    return await connect_link(f"{host}:{port}", 2.0)


async def receive_after_failed_send(link):
    """Send what is not read to its end, and return what is received. Raises BrokenResourceError."""
    with check.assertRaises(trio.BrokenResourceError):
        await link.send_all(MORE_THAN_BUFFERS)
    received = b""
    while data := await link.receive_some(1000):
        received += data
    return received


@on_real_clock
async def test_a_reset_that_the_sender_saw_does_not_look_like_an_end_to_the_reader():
    # Guards against a part of an unframed answer that counts as whole: a socket reports a reset
    # only once, and then the end of the connection.
    async def reset(stream):
        await trio.sleep(0.05)
        reset_on_close(stream)

    async with trio.open_nursery() as nursery:
        link = await open_link(nursery, reset)
        with trio.fail_after(5.0), check.assertRaises(trio.BrokenResourceError):
            await receive_after_failed_send(link)
        link.close()
        nursery.cancel_scope.cancel()


@on_real_clock
async def test_an_unframed_answer_to_a_part_of_a_request_is_whole_at_its_end():
    # Guards against an early answer that is lost since the rest of its request was not read.
    async def shut_down(stream):
        await stream.send_eof()
        await trio.sleep(0.05)

    async with trio.open_nursery() as nursery:
        link = await open_link(nursery, shut_down)
        with trio.fail_after(5.0):
            check.assertEqual(await receive_after_failed_send(link), UNFRAMED)
        link.close()
        nursery.cancel_scope.cancel()
