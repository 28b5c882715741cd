"""What the cases share: the project's entries as processes, and small stand-ins around them.

Everything listens on loopback addresses. The store is the project's stand-in; runners and clients
are the small ones below, which speak HTTP/1.1 on trio streams.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

import trio

from standins.platform import StoreStandIn

ROOT = Path(__file__).resolve().parent.parent
RUN = ("python3", "-m", "egretstack.programs.platform_entry")
"""The `run` of deploy/system.toml."""
HOST = "ficu95.example"
MAX_SECONDS = 115
STABLE_WINDOW_S = 3.0
BROKEN = (trio.BrokenResourceError, trio.ClosedResourceError)

_SETTINGS = """node-name={name}
role=entry
machine-class=edge
serves=edge,directory,control_plane
ip={ip}
zone={zone}
region=reykjavik
zones.hafnar-hall=reykjavik
zones.hofda-hall=reykjavik
zones.vellir-hall=reykjavik
listen.front={ip}:8740
listen.ready-address={ip}:8749
listen.control={ip}:8748
listen.directory={ip}:8746
internal-ports=7200,7215
seeds={seeds}
bootstrap=true
counts-as-loss=false
limits.cpu-share=0.537
limits.cores=2
limits.memory-mb=300
limits.max-fds=4100
limits.link-mbps=1000.0
limits.disk-mb=0
discovery=platform
entry=directory
heartbeat-ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform
fault-tolerance.machines=2
fault-tolerance.zones=0
fault-tolerance.regions=0
bounds.seed-lag-s=3
bounds.reuse-after-s=2
bounds.stable-window-ms=3000
bounds.ack-ms=4000
bounds.catch-up-s=4
bounds.drain-ms=2000
bounds.grace-s=8
bounds.loss-slack-ms=200
bounds.config-apply-ms=2000
bounds.rollback-slack-ms=250
bounds.max-skew-ms=5000
bounds.fail-closed=false
bounds.revoke-ms=5000
bounds.retry-ratio=0.2
bounds.budget-window-s=10
bounds.budget-slack=52
bounds.recover-s=12
bounds.pass-ms=120
bounds.reuse-window-s=6.9
bounds.ttl_max_s=5
platform.address={store}
platform.form=objects
platform.writes-per-s=400
platform.reads-per-s=2000
platform.history-s=20
platform.value-bytes=1048576
platform.ttl-min-ms=1000
"""
"""As `fleetbench wire` prints them for sites/hjol-egret.toml, with loopback addresses."""

ZONES = ("hafnar-hall", "hofda-hall", "vellir-hall")


class Record:
    """Writes `record.txt`, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began_s = trio.current_time()

    def now(self) -> float:
        """Return the seconds since the start."""
        return trio.current_time() - self._began_s

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


# --- HTTP ---------------------------------------------------------------------------------------


@dataclass
class Message:
    """The start line and headers of a request or a response, and the body if it was read."""

    start: str
    headers: dict[str, str]
    body: bytes = b""
    complete: bool = True

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start.split(" ")[1])


class Reader:
    """Reads messages from a stream."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._data = b""

    async def _more(self) -> bool:
        data = await self._stream.receive_some(65_536)
        self._data += data
        return bool(data)

    async def head(self) -> Message | None:
        """Read a head; None if the peer closes before it is complete."""
        while b"\r\n\r\n" not in self._data:
            if not await self._more():
                return None
        head, self._data = self._data.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines[1:])
        return Message(lines[0], {name.lower(): value.strip() for name, _, value in pairs})

    async def exactly(self, count: int) -> bytes | None:
        """Read so many bytes; None if the peer closes before."""
        while len(self._data) < count:
            if not await self._more():
                return None
        data, self._data = self._data[:count], self._data[count:]
        return data

    async def chunk(self) -> bytes | None:
        """Read a chunk of a chunked body, empty at its end; None if the peer closes before."""
        while b"\r\n" not in self._data:
            if not await self._more():
                return None
        line, self._data = self._data.split(b"\r\n", 1)
        data = await self.exactly(int(line, 16) + 2)
        return None if data is None else data[:-2]

    async def closed(self) -> None:
        """Return once the peer has closed or reset the connection."""
        try:
            while await self._more():
                pass
        except BROKEN:
            return


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message with a length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body


class Server:
    """Serves one request at a time on each connection; a leaving caller ends its request."""

    def __init__(self, address: str) -> None:
        self.address = address

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        host, _, port = self.address.rpartition(":")
        listeners = await trio.open_tcp_listeners(int(port), host=host)
        async with trio.open_nursery() as nursery:
            await nursery.start(trio.serve_listeners, self._serve, listeners)
            task_status.started()

    async def _serve(self, stream: trio.SocketStream) -> None:
        reader = Reader(stream)
        try:
            while (request := await reader.head()) is not None:
                length = int(request.headers.get("content-length", "0"))
                request.body = await reader.exactly(length) or b""
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._end_if_closed, reader, nursery.cancel_scope)
                    await self._answer_safely(stream, request)
                    nursery.cancel_scope.cancel()
        except BROKEN:
            return
        finally:
            stream.socket.close()

    async def _answer_safely(self, stream: trio.SocketStream, request: Message) -> None:
        try:
            await self.answer(stream, request)
        except BROKEN:
            return

    @staticmethod
    async def _end_if_closed(reader: Reader, scope: trio.CancelScope) -> None:
        await reader.closed()
        scope.cancel()

    async def answer(self, stream: trio.SocketStream, request: Message) -> None:
        """Answer one request."""
        raise NotImplementedError


# --- runners ------------------------------------------------------------------------------------


class Runner(Server):
    """What plain runners and engines share: id, health, and the answer to a wrong address."""

    def __init__(self, address: str, name: str, record: Record) -> None:
        super().__init__(address)
        self.name = name
        self.record = record

    async def answer(self, stream: trio.SocketStream, request: Message) -> None:
        """Answer a health check, or turn away what is meant for another runner, or serve."""
        target = request.start.split(" ")[1]
        if target == "/health":
            await stream.send_all(encode("HTTP/1.1 200 OK", {"Runner-Id": self.name}))
        elif request.headers.get("expect-runner", self.name) != self.name:
            await stream.send_all(
                encode("HTTP/1.1 421 Misdirected Request", {"Runner-Id": self.name})
            )
        else:
            await self.serve(stream, request, target)

    async def serve(self, stream: trio.SocketStream, request: Message, target: str) -> None:
        """Serve a request that is meant for this runner."""
        raise NotImplementedError


class DeskRunner(Runner):
    """A plain runner that works for a fixed time on each request."""

    def __init__(
        self, address: str, name: str, record: Record, work_s: float, slots: int = 6
    ) -> None:
        super().__init__(address, name, record)
        self.work_s = work_s
        self.ran: set[str] = set()
        self._slots = trio.Semaphore(slots)

    async def serve(self, stream: trio.SocketStream, request: Message, target: str) -> None:
        """Run a request and answer it; a HEAD gets the head of the same answer."""
        attempt = request.headers.get("attempt-id", "")
        async with self._slots:
            self.ran.add(attempt)
            self.record.write(f"{self.name} runs {attempt}")
            await trio.sleep(self.work_s)
        answer = encode("HTTP/1.1 200 OK", {"Attempt-Id": attempt, "Runner-Seal": "s"}, b"x" * 800)
        if request.start.startswith("HEAD "):
            answer = answer.split(b"\r\n\r\n")[0] + b"\r\n\r\n"
        await stream.send_all(answer)


COPY_S = 0.03
"""How long a copy of a run's memory takes."""


@dataclass
class Flag:
    """A flag that several stand-ins share."""

    value: bool = False


@dataclass
class Work:
    """One span in which an engine worked on a request."""

    engine: str
    attempt: str
    began_s: float
    continues: bool
    ended_s: float | None = None


class Engine(Runner):
    """An engine that streams events at a fixed pace and keeps copies of the runs of others."""

    by_address: dict[str, "Engine"] = {}

    def __init__(
        self, address: str, name: str, record: Record, first_s: float, gap_s: float
    ) -> None:
        super().__init__(address, name, record)
        self.first_s = first_s
        """Time to the first event of a new run."""
        self.gap_s = gap_s
        self.events: int | None = None
        """Most events of a stream; None for as many as the request allows."""
        self.copies: set[str] = set()
        self.work: list[Work] = []
        self.stops: dict[str, trio.Event] = {}
        """Set for a run that stops, as the last part of it is copied."""
        self.leaving = False
        self.answers = 0
        """How many requests and calls it has answered."""
        self.spoil_next_copy = Flag()
        """Set while the next answer to an order to copy a run that goes on is to be spoilt; engines
        may share it."""
        Engine.by_address[address] = self

    async def serve(self, stream: trio.SocketStream, request: Message, target: str) -> None:
        """Answer a report or a call about copies, or run a request."""
        self.answers += 1
        if target == "/egretstack/report":
            await stream.send_all(encode("HTTP/1.1 200 OK", {}, self._report()))
        elif target == "/egretstack/kv-move":
            await self._move(stream, json.loads(request.body))
        elif target.startswith("/egretstack/kv-handle/"):
            await stream.send_all(encode("HTTP/1.1 200 OK", {}))
        else:
            await self._generate(stream, request)

    def _report(self) -> bytes:
        running = [work for work in self.work if work.ended_s is None]
        report = {
            "stage": "hybrid",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "state": "draining" if self.leaving else "ready",
            "busy": False,
            "seq-no": 1,
            "waiting": 0,
            "running": len(running),
            "kv-used": 2_000 * len(running),
            "kv-total": 34_240,
            "handles": len(self.copies),
            "runs": [[work.attempt, 2_000, 0, 5] for work in running],
        }
        return json.dumps(report).encode()

    async def _move(self, stream: trio.SocketStream, order: dict) -> None:
        attempt, peer = order["id"], self.by_address.get(order["to"])
        runs = any(work.attempt == attempt and work.ended_s is None for work in self.work)
        if not runs or peer is None:
            await stream.send_all(encode("HTTP/1.1 404 Not Found", {}, b"{}"))
            return
        if order["last"]:
            self.stops[attempt].set()
        await trio.sleep(COPY_S)
        handle = f"c-{attempt}"
        peer.copies.add(handle)
        body = json.dumps({"handle": handle, "created": 1}).encode()
        if self.spoil_next_copy.value and not order["last"] and not self.leaving:
            self.spoil_next_copy.value = False
            at = body.index(b"c-") + 1
            body = body[:at] + bytes([body[at] ^ 0x80]) + body[at + 1 :]
            self.record.write(f"{self.name} spoils a byte of its answer about {attempt}: {body!r}")
        await stream.send_all(encode("HTTP/1.1 200 OK", {}, body))
        self.record.write(f"{self.name} has copied {attempt} to {peer.name}")

    async def _generate(self, stream: trio.SocketStream, request: Message) -> None:
        headers = request.headers
        attempt = headers["attempt-id"]
        origin = headers.get("kv-from", "").partition("/")[2]
        if origin and origin not in self.copies:
            await stream.send_all(encode("HTTP/1.1 503 Service Unavailable", {"Not-Executed": "1"}))
            return
        self.copies.discard(origin)
        backup = self.by_address.get(headers.get("kv-backup", ""))
        if backup is not None:
            backup.copies.add(attempt)
        work = Work(self.name, attempt, self.record.now(), bool(origin))
        self.work.append(work)
        self.stops[attempt] = trio.Event()
        what = f"goes on with {attempt} after event" if origin else f"runs {attempt}"
        self.record.write(f"{self.name} {what} {headers.get('last-event-id', '')}".rstrip())
        ended = "without its end"
        try:
            await self._write(stream, request, after=int(headers.get("last-event-id", "0")))
            ended = "to its end"
        finally:
            work.ended_s = self.record.now()
            self.record.write(f"{self.name} stops work on {attempt}, {ended}")

    async def _write(self, stream: trio.SocketStream, request: Message, after: int) -> None:
        attempt = request.headers["attempt-id"]
        events = int(request.headers["token-count"].split(",")[1]) // 4
        if self.events is not None:
            events = min(self.events, events)
        due_s = trio.current_time() + (self.gap_s if after else self.first_s)
        await trio.sleep_until(due_s)
        await stream.send_all(
            (
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"Attempt-Id: {attempt}\r\nRunner-Seal: s\r\n"
                "Transfer-Encoding: chunked\r\n\r\n"
            ).encode()
        )
        for number in range(after + 1, events + 1):
            event = b"id: %d\ndata: xxxx\n\n" % number
            await stream.send_all(b"%x\r\n%s\r\n" % (len(event), event))
            due_s += self.gap_s
            with trio.move_on_at(due_s):
                await self.stops[attempt].wait()
                stream.socket.close()
                return
        await stream.send_all(b"0\r\n\r\n")


# --- clients ------------------------------------------------------------------------------------


class ConnectionLost(Exception):
    """The connection ended without a complete answer."""


class Client:
    """One connection to an entry, kept for many requests."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.requests = 0
        self._stream: trio.SocketStream | None = None
        self._reader: Reader | None = None

    async def open(self) -> None:
        """Connect, within the second that clients allow. Raises ConnectionLost."""
        host, _, port = self.address.rpartition(":")
        try:
            with trio.fail_after(1.0):
                self._stream = await trio.open_tcp_stream(host, int(port))
        except (OSError, trio.TooSlowError) as error:
            raise ConnectionLost(repr(error)) from error
        self._reader = Reader(self._stream)

    def close(self) -> None:
        """Close the connection."""
        if self._stream is not None:
            self._stream.socket.close()

    async def send(
        self, method: str, path: str, headers: dict[str, str], body: bytes = b""
    ) -> Message:
        """Send a request and read the head of its answer. Raises ConnectionLost."""
        self.requests += 1
        request = {"Host": HOST, **headers}
        try:
            await self._stream.send_all(encode(f"{method} {path} HTTP/1.1", request, body))
            head = await self._reader.head()
        except BROKEN as error:
            raise ConnectionLost(repr(error)) from error
        if head is None:
            raise ConnectionLost("closed before an answer")
        return head

    async def call(
        self, method: str, path: str, headers: dict[str, str], body: bytes = b""
    ) -> Message:
        """Send a request and read its answer. Raises ConnectionLost."""
        head = await self.send(method, path, headers, body)
        if method == "HEAD":
            return head
        try:
            data = await self._reader.exactly(int(head.headers.get("content-length", "0")))
        except BROKEN as error:
            raise ConnectionLost(repr(error)) from error
        if data is None:
            raise ConnectionLost("closed within an answer")
        head.body = data
        return head

    async def next_chunk(self) -> bytes:
        """Read a piece of a stream, empty at its end. Raises ConnectionLost."""
        try:
            data = await self._reader.chunk()
        except BROKEN as error:
            raise ConnectionLost(repr(error)) from error
        if data is None:
            raise ConnectionLost("closed within the stream")
        return data


KEPT_S = 2.0
"""How long a client keeps its connection after a stream; it might send another request."""


@dataclass
class Stream:
    """What a client sees of one stream."""

    attempt: str
    record: "Record"
    sent_s: float = 0.0
    events: int = 0
    outcome: str = "open"
    ended_s: float = 0.0

    async def read(self, address: str, key: str, tokens: int) -> None:
        """Send the request and read the stream to its end."""
        client = Client(address)
        headers = {
            "Attempt-Id": self.attempt,
            "Model": "m",
            "Token-Count": f"600,{tokens}",
            "Prompt-Prefix": f"5c1e07a2:350,{self.attempt.encode().hex()}:250",
            "Deadline-Ms": "39000",
            "Authorization": f"Bearer {key}",
        }
        try:
            await client.open()
            self.sent_s = self.record.now()
            self.record.write(f"{self.attempt} is sent to {address}")
            head = await client.send("POST", "/plans/2f", headers, b"a ride")
            self.outcome = str(head.status)
            if head.status == 200:
                while data := await client.next_chunk():
                    self.events += data.count(b"id:")
                self.outcome = "complete"
        except ConnectionLost as error:
            self.outcome = f"cut ({error})"
        self.ended_s = self.record.now()
        self.record.write(f"{self.attempt}: {self.outcome} after {self.events} events")
        await trio.sleep(KEPT_S)
        client.close()

    @property
    def has_ended(self) -> bool:
        """Whether nothing more will come."""
        return self.outcome not in ("open", "200")


@dataclass
class Calls:
    """Bookings on kept connections, one after the other on each."""

    record: "Record"
    key: str
    sent: int = 0
    answered: int = 0
    closed: list[str] = field(default_factory=list)
    """Attempts on kept connections that closed without an answer, at entries whose process was
    started once, long before, and that were in touch all the while."""

    async def repeat(self, entry: "Entry") -> None:
        """Make one booking after the other on a connection; open a new one once it has closed."""
        while True:
            client = Client(entry.front)
            try:
                await client.open()
                while True:
                    await self._call(client, entry)
            except ConnectionLost:
                await trio.sleep(0.2)
            finally:
                client.close()

    async def _call(self, client: Client, entry: "Entry") -> None:
        self.sent += 1
        attempt = f"hold-{self.sent}"
        headers = {
            "Attempt-Id": attempt,
            "Deadline-Ms": "1500",
            "Authorization": f"Bearer {self.key}",
        }
        try:
            answer = await client.call("POST", "/holds/2f", headers, b"a seat")
        except ConnectionLost:
            self.record.write(f"{entry.name} closed without an answer to {attempt}")
            if client.requests > 1 and entry.starts == 1:
                self.closed.append(attempt)
            raise
        self.answered += 1
        self.record.write(f"{attempt} gets {answer.status} from {entry.name}")


# --- entries ------------------------------------------------------------------------------------


@dataclass
class Entry:
    """One instance of the project's program; its process may be started many times."""

    number: int
    net: str
    store: str
    folder: Path
    record: Record
    process: subprocess.Popen | None = None
    ended: list[int] = field(default_factory=list)
    """Return codes of processes that ended without a signal of this script."""
    stopped_s: float | None = None
    """When this script sent SIGTERM."""
    starts: int = 0
    """How often its process was started."""

    @property
    def name(self) -> str:
        """Name of the instance."""
        return f"edge-{self.number}"

    @property
    def ip(self) -> str:
        """Its address."""
        return f"{self.net}.1.{self.number}"

    @property
    def front(self) -> str:
        """Where clients connect."""
        return f"{self.ip}:8740"

    def start(self) -> None:
        """Start the process as the deploy file says."""
        settings = self.folder / f"{self.name}.conf"
        settings.write_text(
            _SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone=ZONES[self.number % len(ZONES)],
                seeds=",".join(f"{self.net}.1.{number}:8748" for number in (1, 2, 3)),
                store=self.store,
            )
        )
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment["EGRETSTACK_NODE_FILE"] = str(settings)
        environment["PYTHONPATH"] = f"{ROOT / 'target' / 'deps'}{os.pathsep}{ROOT}"
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                RUN, cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )
        self.starts += 1
        self.record.write(f"{self.name} is started")

    def terminate(self) -> None:
        """Send SIGTERM, as the platform does to stop a process."""
        self.stopped_s = self.record.now()
        self.record.write(f"{self.name} gets SIGTERM")
        self.process.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def last_error(self) -> str:
        """Return the last line that its processes wrote outside of their logs."""
        text = (self.folder / f"{self.name}.log").read_text(errors="replace")
        lines = [line for line in text.splitlines() if line and not line.startswith("{")]
        return lines[-1] if lines else ""

    async def keep_running(self, restart_s: float) -> None:
        """Start the process again after a short delay, as the platform does, until cancelled."""
        while True:
            await trio.sleep(0.02)
            code = self.process.poll()
            if code is None:
                continue
            if self.stopped_s is None:
                self.ended.append(code)
                self.record.write(
                    f"{self.name} has ended by itself, code {code}: {self.last_error()}"
                )
            else:
                self.record.write(f"{self.name} has ended after SIGTERM, code {code}")
                return
            await trio.sleep(restart_s)
            self.start()


@dataclass
class Site:
    """A small deployment."""

    net: str
    record: Record
    store: StoreStandIn
    entries: list[Entry]
    nursery: trio.Nursery
    trouble: bool
    """Whether the disruption is played."""

    async def add_runner(self, runner: Runner, service: str, slots: int, **more) -> None:
        """Start a runner, which registers in the store; `more` are further fields of its entry."""
        await self.nursery.start(runner.run)
        self.store.put("servers", runner.name, entry_of(runner, service, slots) | more)

    async def until_in_touch(self) -> None:
        """Start the entries; wait until all are ready, and then for the stable window."""
        for entry in self.entries:
            entry.start()
        with trio.fail_after(20):
            for entry in self.entries:
                while not await is_ready(entry):
                    await trio.sleep(0.1)
        self.record.write("all entries are ready")
        await trio.sleep(STABLE_WINDOW_S + 1.0)

    async def resolve(self, entry: Entry) -> list[str]:
        """Return the addresses that an entry's directory names."""
        client = Client(f"{entry.ip}:8746")
        await client.open()
        path = f"/egretstack/resolve?name={HOST}&region=reykjavik&zone={ZONES[0]}"
        answer = await client.call("GET", path, {})
        client.close()
        return json.loads(answer.body)["addresses"]


async def is_ready(entry: Entry) -> bool:
    """Return whether an entry says that it is ready."""
    client = Client(f"{entry.ip}:8749")
    try:
        await client.open()
        return (await client.call("GET", "/egretstack/ready", {})).status == 200
    except ConnectionLost:
        return False
    finally:
        client.close()


def entry_of(runner: Runner, service: str, slots: int, state: str = "ready") -> dict:
    """Return a runner's entry in the store."""
    return {
        "service": service,
        "address": runner.address,
        "zone": ZONES[0],
        "version": "v1",
        "slots": slots,
        "state": state,
        "cold-remaining-ms": 0,
        "seq-no": 1,
    }


def route(name: str, kind: str, service: str, timeout_ms: int, target_ms: int, **more) -> dict:
    """Return a route of the operator's configuration."""
    return {
        "name": name,
        "host": HOST,
        "path-prefix": f"/{name}/",
        "route-type": kind,
        "timeout-ms": timeout_ms,
        "target-latency-ms": target_ms,
        "priority": 1,
        "service": service,
        "max-attempts": 2 if kind == "idempotent" else 1,
        "allow-anonymous": False,
        **more,
    }


def configuration(version: int, routes: list[dict], keys_by_tenant: dict[str, list[str]]) -> dict:
    """Return an operator's configuration with an engine service `llm` and a plain one, `desk`."""
    engine = {
        "slots": 24,
        "kv-capacity-tokens": 34_240,
        "kv-token-bytes": 327_680,
        "link-mbps": 47_000.0,
        "moves": True,
        "backups": True,
        "stride": 4,
        "handle-s": 5.0,
    }
    tenants = [{"name": name, "api-keys": keys} for name, keys in keys_by_tenant.items()]
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "llm", "health-path": "/health", "max-conns": 222, "engine": engine},
            {"name": "desk", "health-path": "/health", "max-conns": 96},
        ],
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
        "tenants": tenants,
    }


def free_net() -> tuple[str, socket.socket]:
    """Return the start of loopback addresses that nothing uses, and what reserves them."""
    for octet in range(90, 250):
        guard = socket.socket()
        try:
            guard.bind((f"127.{octet}.0.1", 8999))
            with socket.socket() as store:
                store.bind((f"127.{octet}.0.10", 8742))
        except OSError:
            guard.close()
            continue
        return f"127.{octet}", guard
    raise RuntimeError("no free loopback addresses")


def end_on_sigterm(entries: list[Entry]) -> None:
    """End the entries too if this script is ended from outside."""

    def end(signal_number: int, frame: object) -> None:
        for entry in entries:
            entry.kill()
        os._exit(2)

    signal.signal(signal.SIGTERM, end)


Play = Callable[[Site], Awaitable[bool]]


async def _play(folder: Path, entries: int, play: Play) -> bool:
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"TROUBLE={int(trouble)}")
    net, guard = free_net()
    with guard, tempfile.TemporaryDirectory() as temporary:
        async with trio.open_nursery() as nursery:
            store = StoreStandIn(f"{net}.0.10:8742")
            await nursery.start(store.run)
            make = partial(
                Entry, net=net, store=store.address, folder=Path(temporary), record=record
            )
            site = Site(net, record, store, [make(n + 1) for n in range(entries)], nursery, trouble)
            end_on_sigterm(site.entries)
            try:
                with trio.fail_after(MAX_SECONDS):
                    held = await play(site)
            finally:
                for entry in site.entries:
                    entry.kill()
                if os.environ.get("KEEP"):
                    for log in Path(temporary).glob("*.log"):
                        Path(os.environ["KEEP"], log.name).write_bytes(log.read_bytes())
            nursery.cancel_scope.cancel()
    record.write("held" if held else "BROKEN")
    return held


def run_case(folder: Path, entries: int, play: Play) -> None:
    """Play a case and exit: 1 if its rule was broken, 0 if it held, 2 if it could not run."""
    try:
        held = trio.run(_play, folder, entries, play)
    except BaseException:
        traceback.print_exc()
        sys.exit(2)
    sys.exit(0 if held else 1)
