"""Callers and operators of a cell; each records what it asked and what it was told."""

import json
from dataclasses import dataclass, field

import trio

from egretstack.errors import ANSWERS, ErrorKind, RunState
from standins.http_link import ConnectionBroken, HttpResponse
from standins.world import PORTS, World
from tests.matrix.history import (
    Asked,
    Broken,
    Delivered,
    Finished,
    GaveUp,
    History,
    NotListening,
    Path,
    Refused,
)

KEY = "acme-key"
PATIENCE_S = 90.0
"""How long a caller tries before it counts as left without an answer."""
READ_TIMEOUT_S = 12.0
"""Silence, heartbeats included, after which a caller takes its connection for dead."""
RETRY_DELAY_S = 0.5
CALL_REPEATS = 24
HEADERS = {"authorization": f"Bearer {KEY}", "content-type": "application/json"}
_FINAL_KINDS = frozenset({ErrorKind.GENERATION_LOST, ErrorKind.GENERATION_CANCELLED})


class _Ended(Exception):
    """The caller has its final answer."""


@dataclass
class Caller:
    """What every caller has: the world, the history, its name, and the entries it may use."""

    world: World
    history: History
    name: str
    entries: list[str]
    turn: int = 0

    @property
    def entry(self) -> str:
        """Give the entry to use now."""
        return self.entries[self.turn % len(self.entries)]

    async def run(self) -> None:
        """Try until there is a final answer, or give up."""
        with trio.move_on_after(PATIENCE_S) as patience:
            try:
                while True:
                    await self._attempt()
            except _Ended:
                return
        if patience.cancelled_caught:
            self.history.add(GaveUp, self.name)

    async def _attempt(self) -> None:
        entry = self.entry
        try:
            await self._exchange(entry)
        except ConnectionRefusedError:
            self.history.add(NotListening, self.name, entry)
        except (ConnectionBroken, trio.TooSlowError) as error:
            if isinstance(error, ConnectionBroken):
                self.history.add(Broken, self.name, entry)
        self.turn += 1
        await trio.sleep(RETRY_DELAY_S)

    async def _exchange(self, entry: str) -> None:
        raise NotImplementedError

    def request(self, entry: str, method: str, target: str, headers: dict[str, str], body: bytes):
        """Open a request to an entry."""
        host = self.world.listed_host(entry)
        return self.world.http.request(host, PORTS["caller"], method, target, headers, body)

    async def refuse(self, response: HttpResponse) -> Refused:
        """Read a problem document and record what it says."""
        with trio.fail_after(READ_TIMEOUT_S):
            document = json.loads(await response.read())
        return self.told(document["error"]["code"], document)

    def told(self, code: str, document: dict) -> Refused:
        """Record a final answer other than the one asked for."""
        kind = ErrorKind(code)
        run = RunState(document.get("run", ANSWERS[kind].run.value))
        refused = Refused(
            trio.current_time(),
            self.name,
            kind,
            run,
            document.get("retry_after_s"),
            document.get("delivered_tokens"),
        )
        self.history.happenings.append(refused)
        return refused


@dataclass
class SessionCaller(Caller):
    """Asks for a streamed generation, and comes back with the last number it saw.

    `on_token` is called after each token with how many were received. `leaves_at` makes the
    caller drop its connection once, after that many tokens.
    """

    length: int = 60
    leaves_at: int = 0
    on_token: list = field(default_factory=list)
    before_return: list = field(default_factory=list)
    session_id: str = ""
    received: int = 0

    async def _exchange(self, entry: str) -> None:
        if self.session_id:
            target = f"/v1/responses/{self.session_id}?stream=true&starting_after={self.received}"
            opened = self.request(entry, "GET", target, HEADERS, b"")
        else:
            self.history.add(Asked, self.name, Path.SESSION, entry, self.length)
            body = {
                "model": "story",
                "input": f"r:{self.name} tokens:{self.length}",
                "stream": True,
                "max_output_tokens": 1000,
            }
            opened = self.request(
                entry, "POST", "/v1/responses", HEADERS, json.dumps(body).encode()
            )
        with trio.CancelScope() as wait:
            wait.deadline = trio.current_time() + READ_TIMEOUT_S
            async with opened as response:
                await self._read(response, wait)
        if wait.cancelled_caught:
            raise trio.TooSlowError

    async def _read(self, response: HttpResponse, wait: trio.CancelScope) -> None:
        if response.status != 200:
            await self._refused(response)
            return
        rest = b""
        async for chunk in response.chunks():
            wait.deadline = trio.current_time() + READ_TIMEOUT_S
            *blocks, rest = (rest + chunk).split(b"\n\n")
            for block in blocks:
                self._take(block)
                if self.leaves_at and self.received >= self.leaves_at:
                    self.leaves_at = 0
                    for callback in self.before_return:
                        callback()
                    return

    async def _refused(self, response: HttpResponse) -> None:
        if self.session_id:
            # A refusal of a return says nothing of the generation unless it names its end.
            with trio.fail_after(READ_TIMEOUT_S):
                document = json.loads(await response.read())
            kind = ErrorKind(document["error"]["code"])
            if kind in _FINAL_KINDS or not ANSWERS[kind].retry:
                self.told(kind.value, document)
                raise _Ended
            return
        await self.refuse(response)
        raise _Ended

    def _take(self, block: bytes) -> None:
        data = [line[6:] for line in block.split(b"\n") if line.startswith(b"data: ")]
        if not data:
            return
        event = json.loads(data[0])
        if event["type"] == "response.output_text.delta":
            self._token(event)
        elif event["type"] == "response.created":
            self.session_id = event["response"]["id"]
        elif event["type"] == "response.completed":
            tokens = event["response"]["usage"]["output_tokens"]
            self.history.add(Finished, self.name, self.name, tokens)
            raise _Ended
        elif event["type"] == "response.failed":
            self.told(event["response"]["error"]["code"], event["response"]["problem"])
            raise _Ended

    def _token(self, event: dict) -> None:
        generation, _, number = event["delta"].strip().partition(":")
        self.received += 1
        self.history.add(Delivered, self.name, generation, int(number), event["sequence_number"])
        for callback in self.on_token:
            callback(self.received)


@dataclass
class CallCaller(Caller):
    """Makes one non-idempotent call, and repeats it with its key while told to come back."""

    before_ask: list = field(default_factory=list)
    asked: int = 0

    async def _exchange(self, entry: str) -> None:
        self.asked += 1
        if self.asked > CALL_REPEATS:
            raise _Ended
        self.history.add(Asked, self.name, Path.CALL, entry)
        for callback in self.before_ask:
            callback()
        headers = HEADERS | {"idempotency-key": self.name}
        target = f"/services/holds/hold/{self.name}"
        with trio.fail_after(READ_TIMEOUT_S * 2):
            async with self.request(entry, "POST", target, headers, b"{}") as response:
                if response.status == 201:
                    marker = json.loads(await response.read())["path"].removeprefix("/hold/")
                    self.history.add(Finished, self.name, marker)
                    raise _Ended
                refused = await self.refuse(response)
        if not ANSWERS[refused.kind].retry:
            raise _Ended
        await trio.sleep(refused.retry_after_s or RETRY_DELAY_S)
