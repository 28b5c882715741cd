"""An instance whose whole process is paused, as a machine that is frozen for seconds."""

import signal
import tempfile
from contextlib import asynccontextmanager
from pathlib import Path

import trio

from egretstack.http1 import ConnectFailed, UpstreamBroken, connect_upstream, exchange
from standins.platform import (
    GENERATION,
    KEY,
    EngineStandIn,
    StoreStandIn,
    client_request,
    configuration,
    route,
    runner_spec,
)
from tests.platform_site import WAIT_S, free_loopback_net
from tests.soak.entries import EntryProcess
from tests.support import check, on_real_clock, tests_of

load_tests = tests_of(globals())

PAUSE_S = 3.0
EVENTS = 60
STREAMS = 4
EVENTS_BEFORE = 5
MAX_ANSWER_BYTES = 65_536
READY_WAIT_S = 60.0


@asynccontextmanager
async def paused_site():
    """Start an instance as a process, with engines; yield both once it serves."""
    EngineStandIn.peers_by_address.clear()
    net = free_loopback_net()
    store = StoreStandIn(f"127.{net}.0.10:8742")
    engines = [EngineStandIn(f"127.{net}.3.{n}:8080", f"i-llm-{n}") for n in (1, 2)]
    with tempfile.TemporaryDirectory() as folder:
        hosts = tuple(engine.address.partition(":")[0] for engine in engines)
        ip = f"127.{net}.1.1"
        entry = EntryProcess("edge-1", ip, store.address, f"{ip}:8748", hosts, Path(folder))
        try:
            async with trio.open_nursery() as nursery:
                for server in (store, *engines):
                    await nursery.start(server.run)
                for engine in engines:
                    store.put("servers", engine.runner_id, runner_spec("llm", engine.address))
                routes = [route("plans", "streaming", "llm", **{"timeout-ms": 20_000})]
                store.put("config", "main", configuration(1, routes, (KEY,)))
                entry.start()
                await until_served(entry)
                yield entry, engines
                nursery.cancel_scope.cancel()
        finally:
            entry.end()


async def until_served(entry):
    """Wait until an instance serves a stream."""
    with trio.fail_after(READY_WAIT_S):
        for number in range(1_000_000):
            try:
                connection = await connect_upstream(entry.front, WAIT_S)
                head, body = client_request(
                    "/plans/1", f"first-{number}", method=b"POST", headers=GENERATION
                )
                answer, _ = await exchange(connection, head, body, MAX_ANSWER_BYTES)
                connection.close()
                if answer.status == 200:
                    return
            except (ConnectFailed, UpstreamBroken):
                pass
            await trio.sleep(0.1)


async def read(entry, attempt, ids):
    """Read a stream and record the ids of its events; raises UpstreamBroken."""
    connection = await connect_upstream(entry.front, WAIT_S)
    head, body = client_request("/plans/1", attempt, method=b"POST", headers=GENERATION)
    await connection.send(head, body)
    check.assertEqual((await connection.read_head()).status, 200)
    while (data := await connection.read_body()) is not None:
        lines = data.decode().splitlines()
        ids.extend(int(line.removeprefix("id: ")) for line in lines if line.startswith("id:"))
    connection.close()


@on_real_clock
async def test_an_instance_takes_its_own_pause_for_no_silence_of_its_runners():
    # Guards against streams that leave a runner whose events wait to be read after a pause.
    async with paused_site() as (entry, engines):
        for engine in engines:
            engine.events = EVENTS
        ids = [[] for _ in range(STREAMS)]
        async with trio.open_nursery() as nursery:
            for number, received in enumerate(ids):
                nursery.start_soon(read, entry, f"s-{number}", received)
            while any(len(received) < EVENTS_BEFORE for received in ids):
                await trio.sleep(0.01)
            entry.send(signal.SIGSTOP)
            await trio.sleep(PAUSE_S)
            entry.send(signal.SIGCONT)
        check.assertEqual(ids, [list(range(1, EVENTS + 1))] * STREAMS)
        check.assertEqual([engine.continued for engine in engines], [[], []])
