"""Connections to an upstream that end before the request was sent."""

from functools import partial

import trio

from egretstack.http1 import RequestHead, UpstreamBroken, connect_upstream, exchange, open_listener
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
