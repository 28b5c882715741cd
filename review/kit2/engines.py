"""An engine stand-in that may fall silent, and sends copies of runs at the pace of its link.

It adds to the project's own engine stand-in what the pages say of backups: a run's memory is sent
as it grows, several times a second, over a link on which transfers run one after another.
"""

from collections.abc import Callable

import trio

from egretstack.http1 import (
    ClientConnection,
    ClientDisconnected,
    RequestHead,
    ResponseHead,
    first_value,
)
from standins.platform import EngineStandIn, json_body

FIRST_EVENT_S = 0.2
"""Time in which some 3,000 tokens of a prompt are read at 14 a millisecond."""
PART_INTERVAL_S = 0.25
TOKEN_BYTES = 327_680
LINK_BITS_PER_S = 47_000e6
TOKENS_PER_EVENT = 4


class TimedEngine(EngineStandIn):
    """An engine with silences, and with copies that take their time."""

    def __init__(self, address: str, runner_id: str, zone: str, *, gap_s: float = 0.02) -> None:
        super().__init__(address, runner_id, gap_s=gap_s)
        self.zone = zone
        self.record = lambda text: None
        self.on_moved: Callable[[str, TimedEngine], None] = lambda attempt, to: None
        """Called when a run was stopped here and its memory has been moved to another engine."""
        self.got: list[tuple[float, str]] = []
        """When each request for a stream arrived, and its attempt."""
        self._speaks = trio.Event()
        self._speaks.set()
        self._link = trio.Lock()
        self._moving: set[str] = set()
        self._copied: dict[tuple[str, str], int] = {}
        """Tokens that were copied, by attempt and address of the other engine."""
        self._backup_by_attempt: dict[str, tuple[str, int]] = {}

    async def fall_silent(self, length_s: float) -> None:
        """Send nothing for some time, and go on then; what came meanwhile is answered late."""
        self.begin_silence()
        await trio.sleep(length_s)
        self.end_silence()

    def begin_silence(self) -> None:
        """Send nothing from now on."""
        self._speaks = trio.Event()
        self.record(f"{self.runner_id} falls silent; runs {self.running()}")

    def end_silence(self) -> None:
        """Go on."""
        self._speaks.set()
        self.record(f"{self.runner_id} goes on; runs {self.running()}")

    def running_without_backup(self) -> list[str]:
        """Return the runs here that were sent without a backup engine."""
        return [one for one in self.running() if not self._backup_by_attempt[one][0]]

    async def answer(self, connection: ClientConnection, head: RequestHead, body: bytes) -> None:
        """Answer one request once this engine speaks."""
        await self._speaks.wait()
        await super().answer(connection, head, body)

    async def _generate(self, connection: ClientConnection, head: RequestHead, body: bytes) -> None:
        attempt = _text(head, b"attempt-id")
        self.got.append((trio.current_time(), attempt))
        tokens = int(_text(head, b"token-count").partition(",")[0] or 0)
        self._backup_by_attempt[attempt] = _text(head, b"kv-backup"), tokens
        source = _text(head, b"kv-from")
        known = (
            ""
            if not source
            else f" from {source}, copy here: {source.split('/')[1] in self.copies}"
        )
        self.record(f"{self.runner_id} gets {attempt}{known}")
        if not source:
            await trio.sleep(FIRST_EVENT_S)
        await super()._generate(connection, head, body)

    def _store_backup(self, attempt: str, address: str) -> None:
        """Do nothing: the copy is sent while the run goes on."""

    async def _stream(
        self, connection: ClientConnection, attempt: str, start: int, *, is_fatal: bool
    ) -> None:
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_backup, attempt)
                await super()._stream(connection, attempt, start, is_fatal=is_fatal)
                nursery.cancel_scope.cancel()
        except* ClientDisconnected:
            connection.close()
        finally:
            self.record(f"{self.runner_id} ends its run of {attempt}")

    async def _send_body(self, connection: ClientConnection, data: bytes) -> None:
        await self._speaks.wait()
        await super()._send_body(connection, data)

    async def _copy_run(self, connection: ClientConnection, request: dict) -> None:
        """Copy a run to another engine, only what is new if it was copied there before."""
        attempt, stop = request["id"], request["last"]
        run = self._run_by_attempt.get(attempt)
        if run is None or attempt in self._moving:
            await _answer_move(connection, 404 if run is None else 409, {})
            return
        if stop:
            run.stop.set()
        peer = self.peers_by_address[request["to"]]
        held = self._backup_by_attempt[attempt][1] + TOKENS_PER_EVENT * run.generated
        self._moving.add(attempt)
        try:
            await self._transfer(peer, held - self._copied.get((attempt, peer.address), 0))
        finally:
            self._moving.discard(attempt)
        self._copied[attempt, peer.address] = held
        handle = f"{self.handle_prefix}{attempt}"
        peer.copies[handle] = (attempt, run.generated)
        if stop:
            self.on_moved(attempt, peer)
        await _answer_move(connection, 200, {"handle": handle, "created": run.generated})

    async def _transfer(self, peer: EngineStandIn, tokens: int) -> None:
        """Send memory to another engine, after what is being sent already."""
        async with self._link:
            near = getattr(peer, "zone", self.zone) == self.zone
            bits = tokens * TOKEN_BYTES * 8 * (1 if near else 2)
            await trio.sleep(bits / LINK_BITS_PER_S)
            await self._speaks.wait()

    async def _send_backup(self, attempt: str) -> None:
        """Send what is new of a run's memory, several times a second."""
        address, tokens = self._backup_by_attempt[attempt]
        peer = self.peers_by_address.get(address)
        while peer is not None:
            await trio.sleep(PART_INTERVAL_S)
            await self._speaks.wait()
            await self._transfer(peer, tokens)
            run = self._run_by_attempt.get(attempt)
            if run is None:
                return
            if attempt not in peer.copies:
                self.record(f"{peer.runner_id} has a copy of {attempt}")
            peer.copies[attempt] = (attempt, run.generated)
            tokens = int(TOKENS_PER_EVENT * PART_INTERVAL_S / self.gap_s)


def _text(head: RequestHead, name: bytes) -> str:
    return (first_value(head.headers, name) or b"").decode()


async def _answer_move(connection: ClientConnection, status: int, document: dict) -> None:
    await connection.send_response(ResponseHead(status, b"", ()), json_body(document))
