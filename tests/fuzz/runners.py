"""Runners that answer odd things to everything."""

import json

import trio

from egretstack.http1 import open_listener
from tests.fuzz.http import odd_answer
from tests.fuzz.values import OddValues

_REPORT = {
    "state": "ready",
    "leaves_ms": 5,
    "running": 1,
    "waiting": 0,
    "kv-used": 100,
    "kv-total": 34_000,
    "runs": [["odd", 100, 5, 5]],
    "born": 1,
}
_MOVE = {"handle": "h-1", "created": 3}
SILENT_SHARE = 0.05
"""Share of the requests that are never answered."""


class OddRunner:
    """Answers each request with whatever the generator draws."""

    def __init__(self, address: str, odd: OddValues) -> None:
        self.address = address
        self.answers = 0
        self._odd = odd

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        host, _, port = self.address.rpartition(":")
        listener = await open_listener(host, int(port))
        async with trio.open_nursery() as nursery:
            await nursery.start(trio.serve_listeners, self._serve, [listener])
            task_status.started()

    async def _serve(self, stream: trio.SocketStream) -> None:
        try:
            while head := await self._read_head(stream):
                self.answers += 1
                if self._odd.rng.random() < SILENT_SHARE:
                    await trio.sleep_forever()
                await stream.send_all(self._answer(head))
                if self._odd.rng.random() < 0.3:
                    return
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    @staticmethod
    async def _read_head(stream: trio.SocketStream) -> bytes:
        data = b""
        while b"\r\n\r\n" not in data:
            more = await stream.receive_some(65_536)
            if not more:
                return b""
            data += more
        return data

    def _answer(self, head: bytes) -> bytes:
        lines = head.split(b"\r\n")
        attempts = [
            one.partition(b":")[2].strip() for one in lines if one.startswith(b"attempt-id")
        ]
        return odd_answer(self._odd, attempts[0] if attempts else b"", self._body(lines[0]))

    def _body(self, request_line: bytes) -> bytes:
        odd = self._odd
        if b"/egretstack/report" in request_line:
            return odd.json(odd.mutated(_REPORT))
        if b"/egretstack/kv-move" in request_line:
            return odd.json(odd.mutated(_MOVE))
        if b"/odd-streams" in request_line:
            events = b"".join(b"id: %d\ndata: x\n\n" % (n + 1) for n in range(odd.rng.randrange(5)))
            return odd.spoilt(events) if odd.rng.random() < 0.5 else events
        return json.dumps(odd.value()).encode()
