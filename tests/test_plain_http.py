"""Plain services over real sockets: what a broken connection proves about the call."""

from contextlib import asynccontextmanager
from dataclasses import replace

import httpx
import trio

from egretstack.errors import EgretError, ErrorKind, NotRunProof
from egretstack.http1 import reset_on_close
from egretstack.upstreams import CallRequest, HttpPlainService, OutcomeUnknown, Unsent
from tests.support import check, on_real_clock, tests_of

load_tests = tests_of(globals())

ANSWER = b"HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\n{}"
HEAD_END = b"\r\n\r\n"


def post(timeout_s=30.0):
    return CallRequest("POST", "/h", "", (("Idempotency-Key", "k"),), b"", timeout_s)


async def read_request(stream):
    """Read one request without a body; return False at the end of the connection."""
    data = b""
    while HEAD_END not in data:
        part = await stream.receive_some()
        if not part:
            return False
        data += part
    return True


@asynccontextmanager
async def upstream(handler):
    """Yield the client of a server that handles each connection with `handler`."""
    async with trio.open_nursery() as nursery, httpx.AsyncClient(trust_env=False) as client:
        listeners = await nursery.start(trio.serve_tcp, handler, 0)
        port = listeners[0].socket.getsockname()[1]
        yield HttpPlainService(client, f"http://127.0.0.1:{port}")
        nursery.cancel_scope.cancel()


@on_real_clock
async def test_a_refused_connection_proves_that_nothing_was_sent():
    with trio.socket.socket() as free:
        await free.bind(("127.0.0.1", 0))
        port = free.getsockname()[1]
        async with httpx.AsyncClient(trust_env=False) as client:
            with check.assertRaises(Unsent) as caught:
                await HttpPlainService(client, f"http://127.0.0.1:{port}").call(post())
    check.assertIsInstance(caught.exception.proof, NotRunProof)


@on_real_clock
async def test_a_reused_connection_that_breaks_proves_nothing():
    # The first call is answered and its connection kept open. The upstream reads the second call
    # and closes. To the sender this looks like an idle connection that was closed before the call.
    read = []

    async def handler(stream):
        while await read_request(stream):
            read.append(1)
            if len(read) == 2:
                return
            await stream.send_all(ANSWER)

    async with upstream(handler) as service:
        check.assertEqual((await service.call(post())).status, 201)
        with check.assertRaises(OutcomeUnknown):
            await service.call(post())
    check.assertEqual(len(read), 2)


@on_real_clock
async def test_a_break_in_the_middle_of_an_answer_proves_nothing():
    async def handler(stream):
        await read_request(stream)
        await stream.send_all(ANSWER[:30])

    async with upstream(handler) as service:
        with check.assertRaises(OutcomeUnknown):
            await service.call(post())


@on_real_clock
async def test_an_unframed_answer_that_is_reset_while_the_call_is_sent_proves_nothing():
    # Guards against a part of an answer that is recorded as the call's: the library drops the error
    # of sending, with which the socket reported the reset.
    async def reset(stream):
        await stream.receive_some(1000)
        await stream.send_all(b"HTTP/1.1 200 OK\r\n\r\npart")
        await trio.sleep(0.05)
        reset_on_close(stream)

    async with upstream(reset) as service:
        with check.assertRaises(OutcomeUnknown):
            await service.call(replace(post(), body=b"x" * 20_000_000))


@on_real_clock
async def test_a_framed_answer_to_a_part_of_a_call_counts():
    # Guards against an early answer that is lost since the rest of its call was not read.
    async def answer(stream):
        await stream.receive_some(1000)
        await stream.send_all(ANSWER)
        await trio.sleep(0.05)
        reset_on_close(stream)

    async with upstream(answer) as service:
        response = await service.call(replace(post(), body=b"x" * 20_000_000))
        check.assertEqual((response.status, response.body), (201, b"{}"))


@on_real_clock
async def test_a_slow_answer_ends_at_the_calls_timeout():
    # The upstream sends a byte now and then, so no single read times out. The call's own timeout
    # ends it, and its outcome is unknown.
    async def handler(stream):
        await read_request(stream)
        await stream.send_all(ANSWER[:30])
        while True:
            await stream.send_all(b"x")
            await trio.sleep(0.02)

    async with upstream(handler) as service:
        with check.assertRaises(OutcomeUnknown):
            await service.call(post(timeout_s=0.5))


@on_real_clock
async def test_a_check_that_fails_before_the_first_byte_sends_nothing():
    # The connection is made, but the intent turns out to be too old: the upstream gets no request.
    read = []
    closed = trio.Event()

    async def handler(stream):
        if await read_request(stream):
            read.append(1)
        closed.set()

    def check_send():
        raise EgretError(ErrorKind.NOT_RUN, "too old", proof=NotRunProof("too old"))

    async with upstream(handler) as service:
        with check.assertRaises(EgretError):
            await service.call(post(), check_send)
        await closed.wait()
    check.assertEqual(read, [])
