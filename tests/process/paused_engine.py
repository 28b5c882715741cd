"""Program: an engine in a process of its own, which can be stopped and go on.

Its arguments are its address, its id and a folder that all engines share. There it records the
begin and end of each run in ID.jsonl, on the system's monotonic clock, and the copies that were
used: each is used once, wherever it is kept.
"""

import json
import os
import sys
import time
from pathlib import Path

import trio

from egretstack.http1 import (
    ClientConnection,
    ClientDisconnected,
    ConnectFailed,
    Header,
    RequestHead,
    ResponseHead,
    UpstreamBroken,
    connect_upstream,
    exchange,
    first_value,
)
from standins.platform import EngineStandIn, json_body

GAP_S = 0.03
EVENTS = 200
BACKUP_AFTER_S = 0.25
CLOSE_SEEN_AFTER_S = 0.03
"""Time after which a closed connection ends its run; requests that have arrived begin before."""
POLL_INTERVAL_S = 0.02
PAUSE_S = 0.5
"""Delay of a wake-up from which it is taken for a pause of the process."""
BUSY_S = 1.0
SLOW_ANSWER_S = 0.5
"""Time before the head of an answer for `BUSY_S` after a pause, with its work to make up for."""
COPY_PATH = b"/copies"
MAX_ANSWER_BYTES = 4_096
CONNECT_TIMEOUT_S = 2.0


class PausedEngine(EngineStandIn):
    """An engine that sends copies of its runs to the processes of other engines."""

    def __init__(self, address: str, runner_id: str, folder: Path, nursery: trio.Nursery) -> None:
        super().__init__(address, runner_id, gap_s=GAP_S)
        self.events = EVENTS
        self._folder = folder
        self._nursery = nursery
        self._moves = 0
        self._runs = 0
        self._busy_until_s = 0.0
        self._record_file = (folder / f"{runner_id}.jsonl").open("a", buffering=1)

    def record(self, run: int, attempt: str, what: str, **more: object) -> None:
        """Record the begin or the end of a run."""
        row = {"at_s": time.monotonic(), "run": run, "attempt": attempt, "what": what, **more}
        self._record_file.write(json.dumps(row) + "\n")

    async def notice_pauses(self) -> None:
        """Notice pauses of this process, until cancelled."""
        while True:
            began_s = trio.current_time()
            await trio.sleep(POLL_INTERVAL_S)
            now_s = trio.current_time()
            if now_s - began_s > PAUSE_S:
                self._busy_until_s = now_s + BUSY_S

    async def answer(self, connection: ClientConnection, head: RequestHead, body: bytes) -> None:
        """Answer one request, or keep a copy that another engine sends."""
        if head.target == COPY_PATH:
            handle, attempt, generated = json.loads(body)
            self.copies[handle] = (attempt, generated)
            await _reply(connection, 200, {})
        else:
            await super().answer(connection, head, body)

    async def _answer_until_disconnected(
        self, connection: ClientConnection, head: RequestHead, body: bytes
    ) -> None:
        async with trio.open_nursery() as nursery:

            async def watch() -> None:
                await connection.wait_until_disconnected()
                await trio.sleep(CLOSE_SEEN_AFTER_S)
                nursery.cancel_scope.cancel()

            nursery.start_soon(watch)
            try:
                await self.answer(connection, head, body)
            except ClientDisconnected:
                connection.close()
            nursery.cancel_scope.cancel()

    async def _generate(self, connection: ClientConnection, head: RequestHead, body: bytes) -> None:
        place = (first_value(head.headers, b"kv-from") or b"").decode()
        handle = place.partition("/")[2]
        if handle in self.copies and not self._use(place):
            del self.copies[handle]
        await super()._generate(connection, head, body)

    def _use(self, place: str) -> bool:
        """Return whether a copy was not used before, neither here nor where else it is kept."""
        path = self._folder / f"used-{place.replace('/', '-')}"
        try:
            os.close(os.open(path, os.O_CREAT | os.O_EXCL))
        except FileExistsError:
            return False
        return True

    def _start_run(self, attempt: str, source_copy: str, last_event: str) -> int:
        self._runs += 1
        self.record(self._runs, attempt, "begins", continues=bool(source_copy))
        return super()._start_run(attempt, source_copy, last_event)

    async def _stream(
        self, connection: ClientConnection, attempt: str, start: int, *, is_fatal: bool
    ) -> None:
        run = self._runs
        try:
            await super()._stream(connection, attempt, start, is_fatal=is_fatal)
        finally:
            self.record(run, attempt, "ends")

    async def _send_head(self, connection: ClientConnection, headers: tuple[Header, ...]) -> None:
        if trio.current_time() < self._busy_until_s:
            await trio.sleep(SLOW_ANSWER_S)
        await super()._send_head(connection, headers)

    def _store_backup(self, attempt: str, address: str) -> None:
        if address:
            self._nursery.start_soon(self._send_backup, attempt, address)

    async def _send_backup(self, attempt: str, address: str) -> None:
        await trio.sleep(BACKUP_AFTER_S)
        await self._send_copy(address, attempt, attempt)

    async def _copy_run(self, connection: ClientConnection, request: dict) -> None:
        attempt, stop = request["id"], request["last"]
        run = self._run_by_attempt.get(attempt)
        if run is None:
            await _reply(connection, 404, {})
            return
        self._moves += 1
        handle = f"{self.runner_id}-{self._moves}"
        if stop:
            run.stop.set()
            self.copies[handle] = (attempt, run.generated)
        await trio.sleep(self.copy_s)
        if await self._send_copy(request["to"], handle, attempt):
            await _reply(connection, 200, {"handle": handle, "created": run.generated})
        else:
            await _reply(connection, 503, {"handle": handle} if stop else {})

    async def _send_copy(self, address: str, handle: str, attempt: str) -> bool:
        body = json_body([handle, attempt, 0])
        headers = ((b"host", address.encode()), (b"content-length", b"%d" % len(body)))
        try:
            connection = await connect_upstream(address, CONNECT_TIMEOUT_S)
        except ConnectFailed:
            return False
        try:
            head = RequestHead(b"POST", COPY_PATH, headers)
            answer, _ = await exchange(connection, head, body, MAX_ANSWER_BYTES)
        except UpstreamBroken:
            return False
        finally:
            connection.close()
        return answer.status == 200


async def _reply(connection: ClientConnection, status: int, document: dict) -> None:
    await connection.send_response(ResponseHead(status, b"", ()), json_body(document))


async def main(address: str, runner_id: str, folder: str) -> None:
    """Serve until the process ends."""
    async with trio.open_nursery() as nursery:
        engine = PausedEngine(address, runner_id, Path(folder), nursery)
        nursery.start_soon(engine.notice_pauses)
        await engine.run()


if __name__ == "__main__":
    trio.run(main, *sys.argv[1:])
