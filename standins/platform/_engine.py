"""An engine stand-in that streams events at a fixed rate and copies the memory of runs to others.

Memory and batches are not modelled; it serves tests of the order of calls and of what a continued
run sends.
"""

import json
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

import trio

from egretstack.http1 import ClientConnection, Header, RequestHead, ResponseHead, first_value
from standins.platform._http import StandInServer, json_body, send, start_unframed

MOVE_PATH = b"/egretstack/kv-move"
HANDLE_PATH = b"/egretstack/kv-handle/"
REPORT_PATH = b"/egretstack/report"
HEALTH_PATH = b"/health"
BEFORE_HEAD = -1


class EngineFault(Enum):
    """Faults of the engine, of which one is active at a time."""

    NONE = "none"
    FULL = "full"
    """Rejects requests, stating that they were not run."""
    SILENT = "silent"
    """Streams stall; every other request is answered."""
    NO_ROOM = "no-room"
    """Accepts no copies."""
    REPEATS = "repeats"
    """A run that is continued or resumed here repeats its last event."""
    SKIPS = "skips"
    """A run that is continued or resumed here skips an event."""


@dataclass
class _Run:
    events: int
    generated: int = 0
    stop: trio.Event = field(default_factory=trio.Event)
    crashed: bool = False


class EngineStandIn(StandInServer):
    """An engine; it finds the other engines for copies in `peers_by_address`."""

    peers_by_address: dict[str, "EngineStandIn"] = {}
    loses_answers_of: frozenset[str] = frozenset()
    """Attempts whose next run that is continued here starts without a response head."""

    continue_delay_s = 0.0
    """Time from the start of a run that is continued here to its response head."""
    pause_before_stop_s = 0.0
    """Pause that begins as an order to stop a run arrives, and after which it is read."""

    def __init__(self, address: str, runner_id: str, *, gap_s: float = 0.02) -> None:
        super().__init__(address)
        self.runner_id = runner_id
        self.gap_s = gap_s
        self.events = 30
        self.fatal_body: bytes | None = None
        """Body of the request that crashes the engine when it runs; None for no such request."""
        self.fatal_after_events = 0
        """Number of events of that request before the engine ends."""
        self.fatal_runs = 0
        """Number of runs of that request that started here."""
        self.fatal_parts: frozenset[str] = frozenset()
        """Ids of the parts of a prompt, other than its last, on which the engine crashes as it
        begins to write an answer."""
        self.part_arrivals: list[tuple[float, str]] = []
        """Arrival time and part of each request with one of them that was not rejected."""
        self.part_delay_s = 0.0
        """Time from such a request's arrival to the crash."""
        self.writes_on_parts = False
        """Whether the engine sends a head and an event before that crash."""
        self.fault = EngineFault.NONE
        self.cuts: list[int] = []
        """Events after which the next runs break off in the middle of an event; engines may share
        the list. A run breaks off before its response head if the next one is `BEFORE_HEAD`."""
        self.unframed = False
        """Whether streams come with neither a length nor chunks and end with their connection; one
        that breaks off inside an event then ends without a reset."""
        self.delays_head = False
        """Whether new runs start without sending a response head."""
        self.stores_copies = True
        self.leaving = False
        self.handle_prefix = "h-"
        """First part of the handles of copies."""
        self.started_ms: int | None = None
        """Start time that it reports, in Unix milliseconds; None to report none."""
        self.copy_s = 0.03
        self.runs_by_attempt: Counter[str] = Counter()
        """Number of runs started here, without continued ones."""
        self.continued: list[tuple[str, str]] = []
        """Attempt and last event of each run that was continued here."""
        self.resumed: list[tuple[str, str]] = []
        """Attempt and `Last-Event-Id` of each run that was started here after an event."""
        self.heads: list[RequestHead] = []
        self.copies: dict[str, tuple[str, int]] = {}
        """Copies stored here, by handle: attempt and number of events of the run."""
        self.freed: list[str] = []
        self.moves: list[tuple[str, bool]] = []
        self.work_times: list[tuple[str, float, float]] = []
        """Attempt, start and end of each run that has ended here."""
        self._run_by_attempt: dict[str, _Run] = {}
        self._speaks = trio.Event()
        self._speaks.set()
        EngineStandIn.peers_by_address[address] = self

    def restart(self, started_ms: int) -> None:
        """Crash and restart under the same name, with empty state."""
        self.crash()
        self.freed.clear()
        self.started_ms = started_ms
        self.leaving = False

    def fall_silent(self) -> None:
        """Send nothing, and start nothing, from now on; connections are accepted."""
        self._speaks = trio.Event()

    def end_silence(self) -> None:
        """Go on with everything that came meanwhile."""
        self._speaks.set()

    def pause(self) -> None:
        """Stand still as a stopped process does; its kernel accepts connections."""
        super().pause()
        self.fall_silent()

    def end_pause(self) -> None:
        """Go on."""
        super().end_pause()
        self.end_silence()

    def is_running(self, attempt: str) -> bool:
        """Return whether an attempt is in progress here."""
        return attempt in self._run_by_attempt

    def running(self) -> list[str]:
        """Return the attempts in progress here."""
        return list(self._run_by_attempt)

    def crash(self) -> None:
        """End every run immediately, as a process that restarts does."""
        for run in self._run_by_attempt.values():
            run.crashed = True
            run.stop.set()
        self.copies.clear()

    async def answer(self, connection: ClientConnection, head: RequestHead, body: bytes) -> None:
        """Answer one request."""
        await self._speaks.wait()
        if head.target == HEALTH_PATH:
            await self._answer_health(connection)
        elif head.target == REPORT_PATH:
            await send(connection, 200, json_body(self._report()))
        elif head.target == MOVE_PATH:
            await self._copy_run(connection, json.loads(body))
        elif head.target.startswith(HANDLE_PATH):
            self.freed.append(head.target.removeprefix(HANDLE_PATH).decode())
            await send(connection, 200)
        else:
            await self._generate(connection, head, body)

    async def _answer_health(self, connection: ClientConnection) -> None:
        status = 503 if self.leaving else 200
        await send(connection, status, headers=((b"runner-id", self.runner_id.encode()),))

    def _report(self) -> dict:
        start_time = {} if self.started_ms is None else {"born": self.started_ms}
        return start_time | {
            "state": "draining" if self.leaving else "ready",
            "waiting": 0,
            "running": len(self._run_by_attempt),
            "kv-used": 0,
            "kv-total": 34_000,
            "runs": [[name, 100, run.generated, 5] for name, run in self._run_by_attempt.items()],
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
        source_copy = _text(head, b"kv-from").partition("/")[2]
        if source_copy and source_copy not in self.copies:
            await self.reject(connection, attempt)
            return
        self.heads.append(head)
        await self._end_if_part_is_fatal(connection, head, attempt)
        is_fatal = body == self.fatal_body
        if is_fatal:
            self.fatal_runs += 1
            await self._end_if_before_first_event()
        start = self._start_run(attempt, source_copy, _text(head, b"last-event-id"))
        self._store_backup(attempt, _text(head, b"kv-backup"))
        await self._stream(connection, attempt, start, is_fatal=is_fatal)

    async def _end_if_part_is_fatal(
        self, connection: ClientConnection, head: RequestHead, attempt: str
    ) -> None:
        parts = [item.partition(":")[0] for item in _text(head, b"prompt-prefix").split(",")][:-1]
        fatal = [part for part in parts if part in self.fatal_parts]
        if not fatal:
            return
        self.part_arrivals.append((trio.current_time(), fatal[0]))
        self._start_run(attempt, "", "")
        await trio.sleep(self.part_delay_s)
        if self.writes_on_parts:
            await connection.start_stream(ResponseHead(200, b"", self._stream_headers(attempt)))
            await connection.send_chunk(b"id: 1\ndata: x\n\n")
        self.stop()
        await trio.sleep_forever()

    async def _end_if_before_first_event(self) -> None:
        if not self.fatal_after_events:
            self.stop()
            await trio.sleep_forever()

    def _start_run(self, attempt: str, source_copy: str, last_event: str) -> int:
        if source_copy:
            for engine in self.peers_by_address.values():
                engine.copies.pop(source_copy, None)
            self.continued.append((attempt, last_event))
        else:
            self.runs_by_attempt[attempt] += 1
            if not last_event:
                return 0
            self.resumed.append((attempt, last_event))
        after = int(last_event or 0)
        return after + {EngineFault.REPEATS: -1, EngineFault.SKIPS: 1}.get(self.fault, 0)

    def _store_backup(self, attempt: str, address: str) -> None:
        peer = self.peers_by_address.get(address)
        if _takes_copies(peer):
            peer.copies[attempt] = (attempt, 0)

    async def _stream(
        self, connection: ClientConnection, attempt: str, start: int, *, is_fatal: bool
    ) -> None:
        headers = self._stream_headers(attempt)
        run = self._run_by_attempt[attempt] = _Run(self.events, start)
        began_s = trio.current_time()
        try:
            if self.cuts and self.cuts[0] == BEFORE_HEAD:
                self.cuts.pop(0)
                connection.abort()
                return
            if self.delays_head or (start and attempt in self.loses_answers_of):
                self.loses_answers_of -= {attempt}
                await trio.sleep_forever()
            if start and self.continue_delay_s:
                await trio.sleep(self.continue_delay_s)
            await self._send_head(connection, headers)
            # An engine has a machine of its own: a busy test process delays events, not its pace.
            due_s = trio.current_time()
            while run.generated < run.events and not run.stop.is_set():
                due_s += self.gap_s
                with trio.move_on_at(due_s):
                    await run.stop.wait()
                if self.fault is EngineFault.SILENT:
                    await trio.sleep_forever()
                if self.cuts and run.generated == self.cuts[0]:
                    self.cuts.pop(0)
                    await self._send_body(connection, b"id: %d\ndata: x" % (run.generated + 1))
                    run.stop.set()
                if not run.stop.is_set():
                    run.generated += 1
                    await self._send_body(connection, b"id: %d\ndata: x\n\n" % run.generated)
                if is_fatal and run.generated - start >= self.fatal_after_events:
                    self.stop()
                    await trio.sleep_forever()
            await self._end_stream(connection, run)
        finally:
            self._run_by_attempt.pop(attempt, None)
            self.work_times.append((attempt, began_s, trio.current_time()))
            if self.unframed and self.has_ended:
                connection.abort()

    async def _end_stream(self, connection: ClientConnection, run: _Run) -> None:
        if self.unframed and not run.crashed:
            connection.close()
        elif run.stop.is_set():
            connection.abort()
        else:
            await connection.finish_stream()

    async def _send_head(self, connection: ClientConnection, headers: tuple[Header, ...]) -> None:
        await self._speaks.wait()
        if self.unframed:
            await start_unframed(connection, 200, headers)
        else:
            await connection.start_stream(ResponseHead(200, b"", headers))

    async def _send_body(self, connection: ClientConnection, data: bytes) -> None:
        await self._speaks.wait()
        if self.unframed:
            await connection.send_raw(data)
        else:
            await connection.send_chunk(data)

    def _stream_headers(self, attempt: str) -> tuple[Header, ...]:
        return (
            (b"attempt-id", attempt.encode()),
            (b"runner-seal", b"seal." + self.runner_id.encode()),
            (b"content-type", b"text/event-stream"),
            *self.signal_headers(),
        )

    async def _copy_run(self, connection: ClientConnection, request: dict) -> None:
        attempt, stop = request["id"], request["last"]
        if stop and self.pause_before_stop_s:
            self.pause()
            await trio.sleep(self.pause_before_stop_s)
            self.end_pause()
        self.moves.append((attempt, stop))
        run = self._run_by_attempt.get(attempt)
        peer = self.peers_by_address.get(request["to"])
        if run is None:
            await send(connection, 404, b"{}")
            return
        handle = f"{self.handle_prefix}{attempt}"
        if stop:
            run.stop.set()
        await trio.sleep(self.copy_s)
        await self._speaks.wait()
        if stop:
            self.copies[handle] = (attempt, run.generated)
        if not _takes_copies(peer):
            await send(connection, 503, json_body({"handle": handle} if stop else {}))
            return
        peer.copies[handle] = (attempt, run.generated)
        await send(connection, 200, json_body({"handle": handle, "created": run.generated}))


def _takes_copies(engine: EngineStandIn | None) -> bool:
    if engine is None or engine.has_ended or engine.fault is EngineFault.NO_ROOM:
        return False
    return engine.stores_copies


def _text(head: RequestHead, name: bytes) -> str:
    return (first_value(head.headers, name) or b"").decode()
