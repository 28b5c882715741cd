"""Responses that are cut off after each of their bytes, as a client of an upstream reads them.

In-memory links play the upstream: they close or reset at the cut, in pieces of several sizes.
"""

from contextlib import suppress

import trio

from egretstack.http1 import Link, RequestHead, UpstreamBroken, UpstreamConnection, exchange
from tests.support import check, tests_of

load_tests = tests_of(globals())

BODY = b"id: 1\ndata: x\n\nid: 2\ndata: y\n\n"
START = b"HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\nRunner-Seal: 3e1b.07\r\n"
LENGTH = b"Content-Length: %d\r\n\r\n%s" % (len(BODY), BODY)
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x;x=y\r\n%s\r\n0\r\n" % (
    11,
    BODY[:11],
    len(BODY) - 11,
    BODY[11:],
)
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
CLOSE = b"Connection: close\r\n"
FRAMED = {
    "length": START + LENGTH,
    "length last but one": START + LENGTH.replace(b"\r\n\r\n", b"\r\nServer-Leaving: 1\r\n\r\n", 1),
    "chunks": START + CHUNKED + b"\r\n",
    "chunks with a trailer": START + CHUNKED + b"Weight-Versions: 3\r\n\r\n",
    "interim responses": INTERIM + START + LENGTH,
    "close": START + CLOSE + LENGTH,
    "older version": START.replace(b"1.1", b"1.0") + LENGTH,
    "older version, chunks": START.replace(b"1.1", b"1.0") + CHUNKED + b"\r\n",
    "line feeds": (START + LENGTH).replace(b"\r\n", b"\n"),
    "line feed at the end of the head": START + LENGTH.replace(b"\r\n\r\n", b"\r\n\n", 1),
    "line feeds before the end of the head": START.replace(b"\r\n", b"\n") + LENGTH,
    "folded line": START.replace(b"Seal: ", b"Seal:\r\n ") + LENGTH,
    "no headers before the length": b"HTTP/1.1 200 OK\r\n" + LENGTH,
}
"""Whole responses of which no part may count as one."""
UNFRAMED = {
    "HTTP/1.1": START + b"\r\n" + BODY,
    "HTTP/1.0": START.replace(b"1.1", b"1.0") + b"\r\n" + BODY,
    "interim responses": INTERIM + START + CLOSE + b"\r\n" + BODY,
    "line feeds": (START + b"\r\n").replace(b"\r\n", b"\n") + BODY,
}
"""Responses that end with their connection, of which each part of the body counts as whole."""
BODILESS = {
    "length 0": (b"GET", START + b"Content-Length: 0\r\n\r\n"),
    "204": (b"GET", START.replace(b"200 OK", b"204 No Content") + b"\r\n"),
    "304": (b"GET", START.replace(b"200 OK", b"304 Not Modified") + LENGTH.removesuffix(BODY)),
    "HEAD": (b"HEAD", START + LENGTH.removesuffix(BODY)),
    "HEAD, unframed": (b"HEAD", START + b"\r\n"),
}
"""Methods of requests, and responses that are whole with their heads."""
MAX_BYTES = 1_000


class ScriptedLink(Link):
    """Receives the given pieces and then the end of the connection, or its reset."""

    def __init__(self, pieces, *, reset):
        self._pieces = list(pieces)
        self._reset = reset
        self._sent = trio.Event()

    async def send_all(self, data):
        """Send data to the upstream, which begins to answer then."""
        await trio.lowlevel.checkpoint()
        self._sent.set()

    async def receive_some(self, max_bytes):
        """Receive the next piece."""
        await self._sent.wait()
        if self._pieces:
            return self._pieces.pop(0)
        if self._reset:
            raise trio.BrokenResourceError("reset")
        return b""

    def is_open_and_quiet(self):
        """Return whether nothing is left to read."""
        return not self._pieces

    def close(self):
        """Close nothing."""


def in_pieces(data, size):
    """Return data in pieces of a size; in one piece if that is None."""
    step = size or max(1, len(data))
    return [data[start : start + step] for start in range(0, len(data), step)]


def links(data):
    """Return a description and a link for each way in which data may arrive and end."""
    for size in (None, 1):
        for reset in (False, True):
            description = (data[-30:], size, "reset" if reset else "closed")
            yield description, reset, ScriptedLink(in_pieces(data, size), reset=reset)


async def read(connection, method=b"GET"):
    """Return the body of a whole response; None if there is none."""
    head = RequestHead(method, b"/", ((b"host", b"x"),))
    with suppress(UpstreamBroken):
        _, body = await exchange(connection, head, b"", MAX_BYTES)
        return body
    return None


async def read_parts(connection):
    """Return what a stream's reader gets: bytes until the end, and whether that is a proper one."""
    received = b""
    try:
        await connection.send(RequestHead(b"GET", b"/", ((b"host", b"x"),)), b"")
        await connection.read_head()
        while (data := await connection.read_body()) is not None:
            received += data
    except UpstreamBroken:
        return received, False
    return received, True


async def test_a_response_with_a_length_or_chunks_is_whole_with_its_last_byte_only():
    # Guards against a response whose upstream stopped within it, and that counts as whole.
    for name, data in FRAMED.items():
        for cut in range(len(data)):
            for reset in (False, True):
                link = ScriptedLink([data[:cut]] if cut else [], reset=reset)
                body = await read(UpstreamConnection(link, ""))
                check.assertIsNone(body, (name, cut, reset))
        for how, _, link in links(data):
            check.assertEqual(await read(UpstreamConnection(link, "")), BODY, (name, how))


async def test_a_cut_response_with_a_length_or_chunks_has_no_proper_end_for_a_stream():
    # Guards against a stream that looks complete and lacks its end.
    for name, data in FRAMED.items():
        for cut in range(len(data)):
            for how, _, link in links(data[:cut]):
                received, is_whole = await read_parts(UpstreamConnection(link, ""))
                check.assertFalse(is_whole, (name, cut, how))
                check.assertTrue(BODY.startswith(received), (name, cut, how))


async def test_an_unframed_response_is_cut_off_within_its_head_and_by_a_reset():
    # Guards against a head that lost its last lines, and counts as one without a length.
    for name, data in UNFRAMED.items():
        head_size = len(data) - len(BODY)
        for cut in range(len(data) + 1):
            for how, is_reset, link in links(data[:cut]):
                connection = UpstreamConnection(link, "")
                whole = None if is_reset or cut < head_size else data[head_size:cut]
                check.assertEqual(await read(connection), whole, (name, cut, how))


async def test_a_response_without_a_body_is_whole_with_its_head_only():
    # Guards against a head that is cut off and needs no body to count.
    for name, (method, data) in BODILESS.items():
        for cut in range(len(data) + 1):
            for how, is_reset, link in links(data[:cut]):
                connection = UpstreamConnection(link, "")
                body = await read(connection, method)
                if cut < len(data):
                    check.assertIsNone(body, (name, cut, how))
                else:
                    check.assertEqual(body, b"", (name, how, is_reset))
                check.assertFalse(connection.is_unframed and method == b"HEAD", name)


async def test_a_cut_response_on_a_connection_that_was_used_before_is_not_whole():
    # Guards against the head or the end of the response before it that is taken for its own.
    first = START + LENGTH
    for name in ("length", "chunks", "interim responses"):
        data = FRAMED[name]
        for cut in range(len(data)):
            for reset in (False, True):
                link = ScriptedLink([first, data[:cut]] if cut else [first], reset=reset)
                connection = UpstreamConnection(link, "")
                check.assertEqual(await read(connection), BODY)
                check.assertTrue(connection.is_reusable())
                connection.start_next(0.0)
                check.assertIsNone(await read(connection), (name, cut, reset))
