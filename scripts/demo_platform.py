"""Demo of the users' platform: stand-ins, two entries, and a stream that outlives its runner.

The stand-ins run in this process, on loopback addresses. The entries are separate processes; the
demo ends only the processes that it started.
"""

import json
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import trio

from egretstack.http1 import ConnectFailed, RequestHead, connect_upstream, exchange
from egretstack.platform import SETTINGS_VARIABLE
from standins.platform import (
    GENERATION,
    HOST,
    KEY,
    EngineStandIn,
    PlainStandIn,
    StoreStandIn,
    client_request,
    configuration,
    route,
    runner_spec,
)

NET = os.environ.get("DEMO_NET", "127.0")
TIMEOUT_S = 45.0
MAX_ANSWER_BYTES = 1_000_000
_SETTINGS = """node-name=entry-{number}
zone=leon-a
region=bajio
ip={ip}
listen.front={ip}:8740
listen.ready-address={ip}:8749
listen.directory={ip}:8746
internal-ports=7200,7215
seeds={net}.21.1:8748
platform.address={net}.20.10:8742
bounds.grace-s=3
"""


def print_headline(text: str) -> None:
    """Print a headline."""
    print(f"\n== {text}", flush=True)


async def main() -> None:
    """Run the demo."""
    store = StoreStandIn(f"{NET}.20.10:8742")
    engines = [EngineStandIn(f"{NET}.23.{n}:8080", f"i-llm-{n}") for n in (1, 2)]
    plain_runner = PlainStandIn(f"{NET}.22.1:8080", "i-desk-1")
    for engine in engines:
        engine.events = 60
    with tempfile.TemporaryDirectory() as folder, trio.fail_after(TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            for server in (store, plain_runner, *engines):
                await nursery.start(server.run)
            configure(store, plain_runner, engines)
            entries = [start_entry(number, Path(folder)) for number in (0, 1)]
            try:
                await drive_entries(store, engines, entries)
            finally:
                for entry in entries:
                    entry.kill()
                    entry.wait()
            nursery.cancel_scope.cancel()


def configure(
    store: StoreStandIn, plain_runner: PlainStandIn, engines: list[EngineStandIn]
) -> None:
    """Write the objects of the operator and the runners to the store."""
    store.put("servers", plain_runner.runner_id, runner_spec("desk", plain_runner.address))
    for engine in engines:
        store.put("servers", engine.runner_id, runner_spec("llm", engine.address))
    routes = [route("plans", "streaming", "llm"), route("holds", "non_idempotent", "desk")]
    store.put("config", "main", configuration(1, routes, (KEY,)))


def start_entry(number: int, folder: Path) -> subprocess.Popen:
    """Start an entry process."""
    settings = folder / f"entry-{number}.conf"
    settings.write_text(_SETTINGS.format(number=number, ip=f"{NET}.21.{number + 1}", net=NET))
    return subprocess.Popen(
        [sys.executable, "-m", "egretstack.programs.platform_entry"],
        env={SETTINGS_VARIABLE: str(settings), "PATH": os.environ.get("PATH", "")},
        stdout=(folder / f"entry-{number}.log").open("wb"),
    )


async def drive_entries(
    store: StoreStandIn, engines: list[EngineStandIn], entries: list[subprocess.Popen]
) -> None:
    """Send requests to the entries and print what they answer."""
    print_headline("which entries to use")
    addresses = await wait_for_two_addresses()
    print(json.dumps(addresses))
    print_headline("a seat hold, which runs at most once")
    head, body = client_request("/holds/seat-7", "demo-hold", method=b"POST")
    answer, data = await send_request(addresses[0], head, body)
    print(answer.status, data.decode())
    print_headline("an itinerary, whose engine is told to leave in the middle")
    await read_moved_stream(addresses[0], store, engines)
    print_headline("a planned stop of one entry; the other is the only answer now")
    entries[0].send_signal(signal.SIGTERM)
    await trio.sleep(1.0)
    print(json.dumps(await resolve(1)))
    with trio.move_on_after(10):
        while entries[0].poll() is None:
            await trio.sleep(0.1)
    print("exit code", entries[0].returncode)
    print_headline("metrics")
    head = RequestHead(b"GET", b"/metrics", ((b"host", b"metrics"),))
    _, data = await send_request(f"{NET}.21.2:7201", head, b"")
    lines = [one for one in data.decode().splitlines() if one.startswith("egret_relay")]
    print("\n".join(lines[:6]))


async def read_moved_stream(
    address: str, store: StoreStandIn, engines: list[EngineStandIn]
) -> None:
    """Read a stream whose engine is told to leave after some events."""
    head, body = client_request("/plans/ring-road", "demo-plan", method=b"POST", headers=GENERATION)
    connection = await connect_upstream(address, 2.0)
    await connection.send(head, body)
    await connection.read_head()
    ids: list[int] = []
    has_left = False
    while (data := await connection.read_body()) is not None:
        ids += [int(line[4:]) for line in data.decode().splitlines() if line.startswith("id:")]
        if len(ids) >= 15 and not has_left:
            has_left = True
            source = next(one for one in engines if one.runs_by_attempt["demo-plan"])
            store.put("servers", source.runner_id, runner_spec("llm", source.address, "draining"))
            print(f"{source.runner_id} is told to leave after event {ids[-1]}")
    connection.close()
    destination = next(one.runner_id for one in engines if one.continued)
    is_complete = ids == list(range(1, len(ids) + 1))
    print(f"{len(ids)} events, once and in order: {is_complete}; it went on at {destination}")
    if not is_complete:
        sys.exit(1)


async def wait_for_two_addresses() -> list[str]:
    """Query the directory until both entries are ready; return their addresses."""
    while True:
        try:
            addresses = await resolve(0)
        except (OSError, ValueError, KeyError):
            addresses = []
        if len(addresses) == 2:
            return addresses
        await trio.sleep(0.1)


async def resolve(number: int) -> list[str]:
    """Query the directory of an entry. Raises OSError, ValueError or KeyError."""
    target = f"/egretstack/resolve?name={HOST}&region=bajio&zone=leon-a".encode()
    head = RequestHead(b"GET", target, ((b"host", b"directory"),))
    _, data = await send_request(f"{NET}.21.{number + 1}:8746", head, b"")
    return json.loads(data)["addresses"]


async def send_request(address: str, head: RequestHead, body: bytes):
    """Send one request; return the head and body of the response. Raises OSError."""
    try:
        connection = await connect_upstream(address, 2.0)
    except ConnectFailed as error:
        raise OSError(str(error)) from error
    try:
        return await exchange(connection, head, body, MAX_ANSWER_BYTES)
    finally:
        connection.close()


if __name__ == "__main__":
    trio.run(main)
