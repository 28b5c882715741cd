"""The store's answers, cut off after each of their bytes."""

import json
from contextlib import asynccontextmanager

import trio

from egretstack.platform import ObjectKind, Store, StoreAway, StoreOutcomeUnknown
from standins.platform._http import StandInServer
from tests.platform_site import free_loopback_net
from tests.support import check, on_real_clock, tests_of

load_tests = tests_of(globals())

PAGE = json.dumps({"items": [{"metadata": {"name": "a", "revision": 7}}], "as-of": 12}).encode()
HEAD = b"HTTP/1.1 200 OK\r\nStore-Era: 3\r\n"
FRAMED = HEAD + b"Content-Length: %d\r\n\r\n" % len(PAGE) + PAGE
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(PAGE), PAGE)
UNFRAMED = HEAD + b"\r\n" + PAGE


class CutStore(StandInServer):
    """A store that sends a part of an answer to each call, and closes or resets."""

    data = b""
    is_reset = False

    async def answer(self, connection, head, body):
        """Answer one request."""
        await connection.send_raw(self.data)
        if self.is_reset:
            connection.abort()
        else:
            connection.close()


@asynccontextmanager
async def cut_store():
    """Start a store that cuts its answers off; yield it and its client."""
    async with trio.open_nursery() as nursery:
        server = CutStore(f"127.{free_loopback_net()}.5.2:8742")
        await nursery.start(server.run)
        yield server, Store(server.address)
        nursery.cancel_scope.cancel()


def cuts(*answers):
    """Return parts of answers, and whether the connection is reset after each."""
    for data in answers:
        for cut in range(len(data)):
            for is_reset in (False, True):
                yield data[:cut], is_reset


@on_real_clock
async def test_a_cut_list_is_no_list():
    # Guards against runners or routes that are taken for removed since they are not in a part of
    # a list.
    async with cut_store() as (server, store):
        for server.data, server.is_reset in cuts(FRAMED, CHUNKED, UNFRAMED):
            with check.assertRaises(StoreAway, msg=(server.data, server.is_reset)):
                await store.list(ObjectKind.RUNNER)
        for server.data in (FRAMED, CHUNKED, UNFRAMED):
            server.is_reset = False
            check.assertEqual(len((await store.list(ObjectKind.RUNNER)).objects), 1)


@on_real_clock
async def test_a_write_whose_answer_is_cut_off_may_have_been_applied():
    # Guards against a write that counts as acknowledged or as not done by a part of an answer.
    async with cut_store() as (server, store):
        for server.data, server.is_reset in cuts(FRAMED, CHUNKED, UNFRAMED[: -len(PAGE)]):
            with check.assertRaises(StoreOutcomeUnknown, msg=(server.data, server.is_reset)):
                await store.create(ObjectKind.CRASH_RECORD, "a", {})
