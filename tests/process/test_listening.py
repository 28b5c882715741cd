"""The listening socket of an entry's HTTP port."""

import socket
import sys
from contextlib import ExitStack

import trio
from quart_trio import QuartTrio

from egretstack.callers import CallerDependencies, CallerLimits, make_caller_app
from egretstack.errors import EgretError, ErrorKind
from egretstack.kernel import Kernel
from egretstack.services.platform_access import PlatformAccess
from egretstack.settings import Program, schema_for
from standins.access import SESSION_KEY
from tests.support import check, on_real_clock, tests_of

load_tests = tests_of(globals())

CALLERS = 300
HOST = "127.0.0.1"
CONNECT_TIMEOUT_S = 30
TOTAL_RETRANS_OFFSET = 100
_SETTINGS = {
    "instance": {
        "id": "entry",
        "zone": "a",
        "operator_address": f"{HOST}:1",
        "peer_address": f"{HOST}:2",
    },
    "sessions": {"key_file": "unused"},
    "platform": {"object_api": "http://unused"},
}


class FixedKeyAccess(PlatformAccess):
    """Platform access with a fixed session key instead of a key file."""

    def _keys(self):
        return [SESSION_KEY]


def free_port():
    with socket.create_server((HOST, 0)) as server:
        return server.getsockname()[1]


def retransmitted_packets(connection):
    """Read `tcpi_total_retrans` of the kernel's `tcp_info` (linux/tcp.h)."""
    info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TOTAL_RETRANS_OFFSET + 4)
    return int.from_bytes(info[TOTAL_RETRANS_OFFSET:], sys.byteorder)


@on_real_clock
async def test_callers_that_connect_at_once_all_get_a_connection():
    # Another entry died and its callers connect here at the same moment, while the event loop is
    # busy and accepts none. The listen backlog has to hold them all: if it is too short, the kernel
    # drops a caller's first packet, and the caller retransmits it only after seconds.
    access = FixedKeyAccess(Kernel(schema_for(Program.STEWARD).check("test", _SETTINGS)))
    port = free_port()
    stop = trio.Event()
    with ExitStack() as callers:
        async with trio.open_nursery() as nursery:
            await nursery.start(access.serve_http, QuartTrio("nothing"), f"{HOST}:{port}", stop)
            # No checkpoint in this loop: the server cannot accept meanwhile.
            for _ in range(CALLERS):
                caller = callers.enter_context(socket.socket())
                caller.settimeout(CONNECT_TIMEOUT_S)
                caller.connect((HOST, port))
                check.assertEqual(retransmitted_packets(caller), 0)
            stop.set()
            nursery.cancel_scope.cancel()


class RefusingDependencies(CallerDependencies):
    """An entry that accepts no new requests."""

    def authenticate(self, authorization):
        raise EgretError(ErrorKind.UNAUTHENTICATED, "no such key")

    def check_open(self):
        raise EgretError(ErrorKind.DRAINING, "ask which entry to use")

    def entries(self, contract):
        return {}

    async def call(self, contract, service, call):
        raise EgretError(ErrorKind.DRAINING, "ask which entry to use")

    def count_refusal(self, kind):
        return


@on_real_clock
async def test_a_refusal_before_the_body_arrived_announces_that_the_connection_closes():
    # The refusal is sent when the head has arrived and the body has not. The server cannot find
    # the start of the next request and closes the connection. Without `connection: close`, the
    # caller's next request would end without an answer, and it could not know whether it ran.
    access = FixedKeyAccess(Kernel(schema_for(Program.STEWARD).check("test", _SETTINGS)))
    port = free_port()
    stop = trio.Event()
    app = make_caller_app(RefusingDependencies(), None, CallerLimits(1_000_000, 5.0))
    async with trio.open_nursery() as nursery:
        await nursery.start(access.serve_http, app, f"{HOST}:{port}", stop)
        caller = await trio.open_tcp_stream(HOST, port)
        await caller.send_all(
            b"POST /v1/responses HTTP/1.1\r\nHost: e\r\nContent-Length: 10\r\n"
            b"Content-Type: application/json\r\n\r\n"
        )
        answer = await caller.receive_some(65_536)
        check.assertIn(b" 401 ", answer.splitlines()[0] + b" ")
        check.assertIn(b"connection: close", answer.lower())
        stop.set()
        nursery.cancel_scope.cancel()
