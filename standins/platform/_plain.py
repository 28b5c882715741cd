"""A stand-in for a runner of a plain service."""

from collections import Counter
from enum import Enum

import trio

from egretstack.http1 import ClientConnection, Header, RequestHead, ResponseHead, first_value
from standins.platform._http import StandInServer, json_body, send, start_unframed

HEALTH_PATH = b"/health"
BRITTLE_WINDOW_S = 1.0


class PlainFault(Enum):
    """Faults of the runner, each for one request."""

    NONE = "none"
    FAILS = "fails"
    """Runs the request and answers 500."""
    FULL = "full"
    """Rejects the request, stating that it was not run."""
    AMBIGUOUS_503 = "busy-unsaid"
    """Runs the request and answers 503, without stating whether it ran."""
    BREAKS = "breaks"
    """Runs the request and breaks the connection in the middle of the answer."""
    SILENT = "silent"
    """Runs the request and never answers."""
    WRONG_ATTEMPT = "crossed"
    """Answers with the attempt id of another request."""
    UNSEALED = "unsealed"
    """Leaves the seal header out of the answer."""
    ENCODED = "encoded"
    """Marks the answer as gzip-encoded."""
    UNFRAMED = "unframed"
    """Answers with neither a length nor chunks, and ends with its connection."""
    UNFRAMED_RESET = "unframed-reset"
    """The same, but resets the connection in the middle of the answer."""
    EXTRA = "extra"
    """Sends a second, unrequested answer after the first one."""


class PlainStandIn(StandInServer):
    """Answers with the target and size of each request, and counts the runs of each attempt."""

    def __init__(self, address: str, runner_id: str, delay_s: float = 0.0) -> None:
        super().__init__(address)
        self.runner_id = runner_id
        self.delay_s = delay_s
        self.slots: int | None = None
        """Requests that it processes at the same time; None for any number."""
        self.max_waiting = 0
        """Requests that may wait for a slot; it rejects others."""
        self.rejected_s: list[float] = []
        """Times at which it rejected a request for want of room."""
        self.busy_s = 0.0
        """Time that its slots were in use, added up over them."""
        self.falls_s: list[float] = []
        """Times at which it fell over, as it had to reject too many requests in a second."""
        self._accepted = 0
        self._running = 0
        self._slots_free = trio.Event()
        self.healthy = True
        self.health_delay_s = 0.0
        """Time that it takes for the answer to a health request."""
        self.load_header = b"1,0,6"
        """What it states as its load in every answer."""
        self.fatal_body: bytes | None = None
        """Body of the request that crashes the runner when it starts; None for no such request."""
        self.restarts_immediately = False
        """Whether a new process replaces it at its address before anyone notices that it ended."""
        self.fatal_runs = 0
        """Number of runs of that request that started here."""
        self.faults: list[PlainFault] = []
        """Faults of the next requests, in order."""
        self.runs_by_attempt: Counter[str] = Counter()
        self.heads: list[RequestHead] = []
        self.disconnected_runs = 0
        """Number of requests whose caller disconnected while they ran."""

    async def answer(self, connection: ClientConnection, head: RequestHead, body: bytes) -> None:
        """Answer one request."""
        if head.target == HEALTH_PATH:
            await trio.sleep(self.health_delay_s)
            status = 200 if self.healthy else 503
            await send(connection, status, headers=((b"runner-id", self.runner_id.encode()),))
            return
        attempt = (first_value(head.headers, b"attempt-id") or b"").decode()
        self.arrivals.append((trio.current_time(), attempt))
        fault = self.faults.pop(0) if self.faults else PlainFault.NONE
        if first_value(head.headers, b"expect-runner") not in (None, self.runner_id.encode()):
            await send(connection, 421, headers=((b"runner-id", self.runner_id.encode()),))
            return
        if fault is PlainFault.FULL or self.backoff_s is not None:
            await self.reject(connection, attempt)
            return
        if self.slots is not None and self._accepted >= self.slots + self.max_waiting:
            await self._reject_for_room(connection, attempt)
            return
        self._accepted += 1
        try:
            await self._run_in_turn(connection, head, body, attempt, fault)
        finally:
            self._accepted -= 1

    async def _reject_for_room(self, connection: ClientConnection, attempt: str) -> None:
        now_s = trio.current_time()
        self.rejected_s.append(now_s)
        recent = sum(now_s - at_s <= BRITTLE_WINDOW_S for at_s in self.rejected_s)
        if self.brittle is not None and recent > self.brittle:
            self.falls_s.append(now_s)
            self.rejected_s.clear()
            self.stop()
            await trio.sleep_forever()
        await self.reject(connection, attempt)

    async def _run_in_turn(
        self,
        connection: ClientConnection,
        head: RequestHead,
        body: bytes,
        attempt: str,
        fault: PlainFault,
    ) -> None:
        """Run a request once a slot is free."""
        if self.slots is None:
            await self._run(connection, head, body, attempt, fault)
            return
        while self._running >= self.slots:
            await self._slots_free.wait()
        self._running += 1
        began_s = trio.current_time()
        try:
            await self._run(connection, head, body, attempt, fault)
        finally:
            self.busy_s += trio.current_time() - began_s
            self._running -= 1
            self._slots_free.set()
            self._slots_free = trio.Event()

    async def _run(
        self,
        connection: ClientConnection,
        head: RequestHead,
        body: bytes,
        attempt: str,
        fault: PlainFault,
    ) -> None:
        self.heads.append(head)
        self.runs_by_attempt[attempt] += 1
        if body == self.fatal_body:
            self.fatal_runs += 1
            await self._crash(connection)
            return
        try:
            await trio.sleep(self.delay_s)
        except trio.Cancelled:
            self.disconnected_runs += 1
            raise
        await self._answer_run(connection, head, body, attempt, fault)

    async def _crash(self, connection: ClientConnection) -> None:
        if self.restarts_immediately:
            self.runner_id += "-again"
            connection.abort()
        else:
            self.stop()
            await trio.sleep_forever()

    async def _answer_run(
        self,
        connection: ClientConnection,
        head: RequestHead,
        body: bytes,
        attempt: str,
        fault: PlainFault,
    ) -> None:
        if fault is PlainFault.SILENT:
            await trio.sleep_forever()
        document = json_body(
            {"runner": self.runner_id, "target": head.target.decode(), "size": len(body)}
        )
        headers = self._headers(attempt, fault)
        if fault is PlainFault.BREAKS:
            await connection.start_stream(ResponseHead(200, b"", headers), document[:5])
            connection.abort()
            return
        if fault in (PlainFault.UNFRAMED, PlainFault.UNFRAMED_RESET):
            await start_unframed(connection, 200, headers)
            await self._send_unframed(connection, document, fault)
            return
        status = {PlainFault.FAILS: 500, PlainFault.AMBIGUOUS_503: 503}.get(fault, 200)
        await send(connection, status, document, headers)
        if fault is PlainFault.EXTRA:
            await connection.send_raw(
                b"HTTP/1.1 200 OK\r\nattempt-id: other\r\nrunner-seal: x\r\n"
                b"content-length: 5\r\n\r\nextra"
            )

    @staticmethod
    async def _send_unframed(
        connection: ClientConnection, document: bytes, fault: PlainFault
    ) -> None:
        if fault is PlainFault.UNFRAMED:
            await connection.send_raw(document)
            connection.close()
        else:
            await connection.send_raw(document[:5])
            connection.abort()

    def _headers(self, attempt: str, fault: PlainFault) -> tuple[Header, ...]:
        answered_attempt = b"another" if fault is PlainFault.WRONG_ATTEMPT else attempt.encode()
        headers: list[Header] = [
            (b"attempt-id", answered_attempt),
            (b"runner-load", self.load_header),
            *self.signal_headers(),
        ]
        if fault is not PlainFault.UNSEALED:
            headers.append((b"runner-seal", b"seal." + self.runner_id.encode()))
        if fault is PlainFault.ENCODED:
            headers.append((b"content-encoding", b"gzip"))
        return tuple(headers)
