"""A model engine: streams events at a fixed pace, and copies the memory of runs to others.

Memory and batches are counted and not modelled; what matters here is the order of calls and what
a continued run sends.
"""

import json
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

import trio

from egretstack.http1 import ClientConnection, RequestHead, ResponseHead, first_value
from standins.platform._http import StandInServer, json_body, send

MOVE = b"/egretstack/kv-move"
HANDLE = b"/egretstack/kv-handle/"
REPORT = b"/egretstack/report"
HEALTH = b"/health"


class EngineFault(Enum):
    """How the engine is ill."""

    NONE = "none"
    FULL = "full"
    """It rejects requests, and says so."""
    SILENT = "silent"
    """Streams stand still; everything else is answered."""
    NO_ROOM = "no-room"
    """It takes no copies in."""
    REPEATS = "repeats"
    """A run that goes on here sends its last event again."""
    SKIPS = "skips"
    """A run that goes on here leaves an event out."""


@dataclass
class _Run:
    events: int
    made: int = 0
    stop: trio.Event = field(default_factory=trio.Event)
    crashed: bool = False


class EngineStandIn(StandInServer):
    """An engine; `peers_by_address` lets copies reach the others."""

    peers_by_address: dict[str, "EngineStandIn"] = {}

    def __init__(self, address: str, runner_id: str, *, gap_s: float = 0.02) -> None:
        super().__init__(address)
        self.runner_id = runner_id
        self.gap_s = gap_s
        self.events = 30
        self.fatal_body: bytes | None = None
        """Body of a request that ends the engine when it runs; None for no request."""
        self.fatal_after_events = 0
        """Events that it makes there before the engine ends."""
        self.fatal_runs = 0
        """Runs of that request that began here."""
        self.fault = EngineFault.NONE
        self.leaving = False
        self.started_ms: int | None = None
        """Time of its start that it tells, if it tells any."""
        self.copy_s = 0.03
        self.runs_by_attempt: Counter[str] = Counter()
        """Runs that began here, continued ones not among them."""
        self.continued: list[tuple[str, str]] = []
        """Attempt and last event of each run that goes on here."""
        self.heads: list[RequestHead] = []
        self.copies: dict[str, tuple[str, int]] = {}
        """Copies that lie here, by the name that continues them: attempt, events of the run."""
        self.freed: list[str] = []
        self.moves: list[tuple[str, bool]] = []
        self._run_by_attempt: dict[str, _Run] = {}
        EngineStandIn.peers_by_address[address] = self

    def restart(self, started_ms: int) -> None:
        """Crash and start again under the same name, with nothing of before."""
        self.crash()
        self.freed.clear()
        self.started_ms = started_ms
        self.leaving = False

    def is_running(self, attempt: str) -> bool:
        """Tell whether an attempt is in progress here."""
        return attempt in self._run_by_attempt

    def crash(self) -> None:
        """End every run at once, as a process that restarts does."""
        for run in self._run_by_attempt.values():
            run.crashed = True
            run.stop.set()
        self.copies.clear()

    async def answer(self, connection: ClientConnection, head: RequestHead, body: bytes) -> None:
        """Answer one request."""
        if head.target == HEALTH:
            await self._answer_health(connection)
        elif head.target == REPORT:
            await send(connection, 200, json_body(self._report()))
        elif head.target == MOVE:
            await self._move(connection, json.loads(body))
        elif head.target.startswith(HANDLE):
            self.freed.append(head.target.removeprefix(HANDLE).decode())
            await send(connection, 200)
        else:
            await self._generate(connection, head, body)

    async def _answer_health(self, connection: ClientConnection) -> None:
        status = 503 if self.leaving else 200
        await send(connection, status, headers=((b"runner-id", self.runner_id.encode()),))

    def _report(self) -> dict:
        birth = {} if self.started_ms is None else {"born": self.started_ms}
        return birth | {
            "state": "draining" if self.leaving else "ready",
            "waiting": 0,
            "running": len(self._run_by_attempt),
            "kv-used": 0,
            "kv-total": 34_000,
            "runs": [[name, 100, run.made, 5] for name, run in self._run_by_attempt.items()],
        }

    async def _generate(self, connection: ClientConnection, head: RequestHead, body: bytes) -> None:
        attempt = _text(head, b"attempt-id")
        self.arrivals.append((trio.current_time(), attempt))
        if _text(head, b"expect-runner") not in ("", self.runner_id):
            await send(connection, 421)
            return
        if self.fault is EngineFault.FULL or self.backoff_s is not None:
            await self.reject(connection, attempt)
            return
        origin = _text(head, b"kv-from").partition("/")[2]
        if origin and origin not in self.copies:
            await self.reject(connection, attempt)
            return
        self.heads.append(head)
        is_ending = body == self.fatal_body
        if is_ending:
            self.fatal_runs += 1
            await self._end_unless_later()
        made = self._begin(attempt, origin, _text(head, b"last-event-id"))
        self._back_up(attempt, _text(head, b"kv-backup"))
        await self._stream(connection, attempt, made, is_ending=is_ending)

    async def _end_unless_later(self) -> None:
        if not self.fatal_after_events:
            self.stop()
            await trio.sleep_forever()

    def _begin(self, attempt: str, origin: str, last_event: str) -> int:
        if not origin:
            self.runs_by_attempt[attempt] += 1
            return 0
        del self.copies[origin]
        self.continued.append((attempt, last_event))
        after = int(last_event or 0)
        return after + {EngineFault.REPEATS: -1, EngineFault.SKIPS: 1}.get(self.fault, 0)

    def _back_up(self, attempt: str, address: str) -> None:
        peer = self.peers_by_address.get(address)
        if peer is not None and peer.fault is not EngineFault.NO_ROOM:
            peer.copies[attempt] = (attempt, 0)

    async def _stream(
        self, connection: ClientConnection, attempt: str, made: int, *, is_ending: bool
    ) -> None:
        headers = (
            (b"attempt-id", attempt.encode()),
            (b"runner-seal", b"seal." + self.runner_id.encode()),
            (b"content-type", b"text/event-stream"),
            *self.signal_headers(),
        )
        run = self._run_by_attempt[attempt] = _Run(self.events, made)
        try:
            await connection.start_stream(ResponseHead(200, b"", headers))
            while run.made < run.events and not run.stop.is_set():
                with trio.move_on_after(self.gap_s):
                    await run.stop.wait()
                if self.fault is EngineFault.SILENT:
                    await trio.sleep_forever()
                if not run.stop.is_set():
                    run.made += 1
                    await connection.send_chunk(f"id: {run.made}\ndata: x\n\n".encode())
                if is_ending and run.made - made >= self.fatal_after_events:
                    self.stop()
                    await trio.sleep_forever()
            if run.stop.is_set():
                connection.abort()
            else:
                await connection.finish_stream()
        finally:
            self._run_by_attempt.pop(attempt, None)

    async def _move(self, connection: ClientConnection, order: dict) -> None:
        attempt, stop = order["id"], order["last"]
        self.moves.append((attempt, stop))
        run = self._run_by_attempt.get(attempt)
        peer = self.peers_by_address.get(order["to"])
        if run is None:
            await send(connection, 404, b"{}")
            return
        handle = f"h-{attempt}"
        if stop:
            run.stop.set()
        await trio.sleep(self.copy_s)
        if peer is None or peer.fault is EngineFault.NO_ROOM:
            await send(connection, 503, json_body({"handle": handle} if stop else {}))
            return
        peer.copies[handle] = (attempt, run.made)
        await send(connection, 200, json_body({"handle": handle, "created": run.made}))


def _text(head: RequestHead, name: bytes) -> str:
    return (first_value(head.headers, name) or b"").decode()
