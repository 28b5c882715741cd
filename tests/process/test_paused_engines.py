"""Engines whose processes are stopped for a second, as sound ones may be, and go on."""

import json
import random
import signal
import subprocess
import sys
import tempfile
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from math import inf
from pathlib import Path

import trio

from egretstack.http1 import (
    ConnectFailed,
    RequestHead,
    UpstreamBroken,
    connect_upstream,
    exchange,
)
from standins.platform import KEY, StoreStandIn, client_request, configuration, route, runner_spec
from tests.platform_site import WAIT_S, free_loopback_net
from tests.process.paused_engine import EVENTS
from tests.soak.entries import ROOT, EntryProcess
from tests.support import check, on_real_clock, tests_of

load_tests = tests_of(globals())

SEED = 68
STOPS = ((1.0, 1.3), (0.6, 1.1), (1.0, 1.2))
"""Share of the engines that are stopped, one of them leaving, and for how long, each time."""
LEAVES_BEFORE_S = 0.4
BETWEEN_S = 2.0
ENGINES = 6
ENTRIES = 2
STREAMS = 45
BOTH_S = 0.4
"""Longest time for which two engines may work on one run."""
PATHS = ("/plans/1", "/tales/1")
LAST_START_S = 7.5
SETTLE_S = 0.5
MAX_ANSWER_BYTES = 65_536
READY_WAIT_S = 60.0
ROUTE = {"timeout-ms": 30_000, "target-latency-ms": 1_800, "gap-target-ms": 180}


@dataclass
class Engine:
    """The process of an engine."""

    runner_id: str
    address: str
    folder: Path
    process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process."""
        program = [sys.executable, "-m", "tests.process.paused_engine"]
        with (self.folder / f"{self.runner_id}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [*program, self.address, self.runner_id, str(self.folder)],
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )

    def end(self) -> None:
        """Kill the process, stopped or not."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()


@dataclass
class EngineSite:
    """Entries and engines as processes, around a store in this one."""

    store: StoreStandIn
    engines: list[Engine]
    entries: list[EntryProcess]
    folder: Path
    leaving: list[Engine] = field(default_factory=list)
    version: int = 0

    def configure(self) -> None:
        """Write a version that differs in routes and in two timeouts."""
        self.version += 1
        more = ROUTE | {"timeout-ms": ROUTE["timeout-ms"] - 500 * self.version}
        routes = [
            route("plans", "streaming", "llm", **more),
            route("tales", "streaming", "llm", **more, **{"can-resume": True, "max-attempts": 2}),
            *(route(f"more-{number}", "streaming", "llm") for number in range(self.version)),
        ]
        spec = configuration(self.version, routes, (KEY,))
        spec["limits"]["idle-timeout-ms"] -= 500 * self.version
        self.store.put("config", "main", spec)

    def register(self, engine: Engine, state: str = "ready") -> None:
        """Write an engine's entry, as the engine does."""
        spec = runner_spec("llm", engine.address, state)
        self.store.put("servers", engine.runner_id, spec)

    async def stop_some(self, share: float, length_s: float, rng: random.Random) -> None:
        """Let an engine leave, and stop it and others for some time."""
        staying = [engine for engine in self.engines if engine not in self.leaving]
        leaving = rng.choice(staying)
        self.leaving.append(leaving)
        self.register(leaving, "draining")
        await trio.sleep(LEAVES_BEFORE_S)
        others = [engine for engine in self.engines if engine is not leaving]
        stopped = [leaving, *rng.sample(others, round(share * ENGINES) - 1)]
        for engine in stopped:
            engine.process.send_signal(signal.SIGSTOP)
        await trio.sleep(length_s)
        for engine in stopped:
            engine.process.send_signal(signal.SIGCONT)

    def works(self) -> dict[str, list[tuple[float, float, str, bool]]]:
        """Return begin, end and engine of each run of an attempt, and whether it continues one."""
        works: dict[str, list[tuple[float, float, str, bool]]] = {}
        for engine in self.engines:
            text = (self.folder / f"{engine.runner_id}.jsonl").read_text()
            rows = [json.loads(line) for line in text.splitlines()]
            ended = {row["run"]: row["at_s"] for row in rows if row["what"] == "ends"}
            for row in rows:
                if row["what"] == "begins":
                    work = row["at_s"], ended.get(row["run"], inf), engine.runner_id
                    works.setdefault(row["attempt"], []).append((*work, row["continues"]))
        return {attempt: sorted(runs) for attempt, runs in works.items()}


@asynccontextmanager
async def engine_site():
    """Start engines and entries; yield them once the entries are ready."""
    net = free_loopback_net()
    store = StoreStandIn(f"127.{net}.0.10:8742")
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder)
        numbers = range(1, ENGINES + 1)
        engines = [Engine(f"i-llm-{n}", f"127.{net}.3.{n}:8080", path) for n in numbers]
        hosts = tuple(engine.address.partition(":")[0] for engine in engines)
        entries = [
            EntryProcess(f"edge-{n}", f"127.{net}.1.{n}", *(store.address, seeds), hosts, path)
            for seeds in [f"127.{net}.1.1:8748"]
            for n in range(1, ENTRIES + 1)
        ]
        site = EngineSite(store, engines, entries, path)
        try:
            async with trio.open_nursery() as nursery:
                await nursery.start(store.run)
                site.configure()
                for engine in engines:
                    engine.start()
                    site.register(engine)
                for entry in entries:
                    entry.start()
                for address in (f"{entry.ip}:8749" for entry in entries):
                    await until_answered(address, b"/egretstack/ready")
                for engine in engines:
                    await until_answered(engine.address, b"/health")
                yield site
                nursery.cancel_scope.cancel()
        finally:
            for process in (*entries, *engines):
                process.end()


async def until_answered(address, target):
    """Wait until a request is answered with 200."""
    head = RequestHead(b"GET", target, ((b"host", b"x"),))
    with trio.fail_after(READY_WAIT_S):
        while True:
            try:
                connection = await connect_upstream(address, WAIT_S)
                answer, _ = await exchange(connection, head, b"", MAX_ANSWER_BYTES)
                connection.close()
                if answer.status == 200:
                    return
            except (ConnectFailed, UpstreamBroken):
                pass
            await trio.sleep(0.1)


async def read(entry, path, attempt, ids):
    """Read a stream and record the ids of its events, as far as they come."""
    connection = await connect_upstream(entry.front, WAIT_S)
    headers = ((b"model", b"m"), (b"token-count", b"1500,%d" % (4 * EVENTS)))
    prompt = (b"prompt-prefix", b"5c1e07a2:48,%s:1452" % attempt.encode().hex().encode())
    head, body = client_request(
        path, attempt, method=b"POST", deadline_ms=30_000, headers=(*headers, prompt)
    )
    try:
        await connection.send(head, body)
        await connection.read_head()
        while (data := await connection.read_body()) is not None:
            lines = data.decode().splitlines()
            ids.extend(int(line.removeprefix("id: ")) for line in lines if line.startswith("id:"))
    except UpstreamBroken:
        pass
    connection.close()


async def read_through_pauses(site, rng):
    """Read streams while engines are stopped and the configuration changes; return their ids."""
    ids = {}
    async with trio.open_nursery() as nursery:

        async def start(number, delay_s):
            attempt, path = f"s-{number}", PATHS[number // ENTRIES % len(PATHS)]
            ids[attempt] = []
            await trio.sleep(delay_s)
            await read(site.entries[number % ENTRIES], path, attempt, ids[attempt])

        for number in range(STREAMS):
            nursery.start_soon(start, number, rng.uniform(0.0, LAST_START_S))
        for share, length_s in STOPS:
            await trio.sleep(BETWEEN_S)
            site.configure()
            await site.stop_some(share, length_s, rng)
    await trio.sleep(SETTLE_S)
    return ids


def overlaps_s(works):
    """Return for each run of an attempt how long it has worked beside one that began later."""
    return [
        before[1] - after[0]
        for number, before in enumerate(works)
        for after in works[number + 1 :]
        if after[2] != before[2]
    ]


@on_real_clock
async def test_no_second_engine_works_on_a_run_after_engines_were_stopped_for_a_second():
    # Guards against a run that begins at another engine while its own, stopped or not, has it.
    async with engine_site() as site:
        ids = await read_through_pauses(site, random.Random(SEED))
        longest = {one: max(overlaps_s(works), default=0) for one, works in site.works().items()}
    check.assertEqual({one: round(s, 2) for one, s in longest.items() if s > BOTH_S}, {})
    whole = list(range(1, EVENTS + 1))
    check.assertEqual([one for one, got in ids.items() if got != whole], [])
