"""Callers of a cell; each records its requests and the answers that it got."""

import json
from dataclasses import dataclass, field

import trio

from egretstack.errors import ANSWERS, ErrorKind, RunState
from standins.http_link import ConnectionBroken, HttpResponse
from standins.world import PORTS, World
from tests.matrix.history import (
    ConnectRefused,
    Disconnected,
    Finished,
    History,
    Path,
    Refused,
    RequestSent,
    TimedOut,
    TokenDelivered,
)

KEY = "acme-key"
CALLER_TIMEOUT_S = 90.0
"""Time that a caller retries before it counts as having got no answer."""
READ_TIMEOUT_S = 12.0
"""Time without data, heartbeats included, after which a caller considers its connection dead."""
RETRY_DELAY_S = 0.5
MAX_CALL_ATTEMPTS = 24
HEADERS = {"authorization": f"Bearer {KEY}", "content-type": "application/json"}
_FINAL_KINDS = frozenset({ErrorKind.GENERATION_LOST, ErrorKind.GENERATION_CANCELLED})


class _FinalAnswer(Exception):
    """The caller has got its final answer."""


@dataclass
class Caller:
    """A caller with its name and the entries that it may use; it records to the history."""

    world: World
    history: History
    name: str
    entries: list[str]
    attempt_index: int = 0

    @property
    def entry(self) -> str:
        """Return the entry for the next attempt."""
        return self.entries[self.attempt_index % len(self.entries)]

    async def run(self) -> None:
        """Retry until there is a final answer, or time out."""
        with trio.move_on_after(CALLER_TIMEOUT_S) as timeout:
            try:
                while True:
                    await self._attempt()
            except _FinalAnswer:
                return
        if timeout.cancelled_caught:
            self.history.add(TimedOut, self.name)

    async def _attempt(self) -> None:
        entry = self.entry
        try:
            await self._exchange(entry)
        except ConnectionRefusedError:
            self.history.add(ConnectRefused, self.name, entry)
        except (ConnectionBroken, trio.TooSlowError) as error:
            if isinstance(error, ConnectionBroken):
                self.history.add(Disconnected, self.name, entry)
        self.attempt_index += 1
        await trio.sleep(RETRY_DELAY_S)

    async def _exchange(self, entry: str) -> None:
        raise NotImplementedError

    def request(self, entry: str, method: str, target: str, headers: dict[str, str], body: bytes):
        """Open a request to an entry."""
        host = self.world.listed_host(entry)
        return self.world.http.request(host, PORTS["caller"], method, target, headers, body)

    async def read_refusal(self, response: HttpResponse) -> Refused:
        """Read a problem document and record it."""
        with trio.fail_after(READ_TIMEOUT_S):
            document = json.loads(await response.read())
        return self.record_refusal(document["error"]["code"], document)

    def record_refusal(self, code: str, document: dict) -> Refused:
        """Record a final answer other than the requested one."""
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
        self.history.events.append(refused)
        return refused


@dataclass
class SessionCaller(Caller):
    """Requests a streamed generation, and after a disconnect resumes it after its last event.

    The callbacks `on_token` get the number of received tokens after each token. With
    `disconnect_after`, the caller drops its connection once after that many tokens, and calls
    `before_reconnect`.
    """

    length: int = 60
    disconnect_after: int = 0
    on_token: list = field(default_factory=list)
    before_reconnect: list = field(default_factory=list)
    session_id: str = ""
    received: int = 0

    async def _exchange(self, entry: str) -> None:
        if self.session_id:
            target = f"/v1/responses/{self.session_id}?stream=true&starting_after={self.received}"
            opened = self.request(entry, "GET", target, HEADERS, b"")
        else:
            self.history.add(RequestSent, self.name, Path.SESSION, entry, self.length)
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
            await self._on_refusal(response)
            return
        remainder = b""
        async for chunk in response.chunks():
            wait.deadline = trio.current_time() + READ_TIMEOUT_S
            *blocks, remainder = (remainder + chunk).split(b"\n\n")
            for block in blocks:
                self._on_event(block)
                if self.disconnect_after and self.received >= self.disconnect_after:
                    self.disconnect_after = 0
                    for callback in self.before_reconnect:
                        callback()
                    return

    async def _on_refusal(self, response: HttpResponse) -> None:
        if self.session_id:
            # A refusal to resume says nothing about the generation unless it reports its end.
            with trio.fail_after(READ_TIMEOUT_S):
                document = json.loads(await response.read())
            kind = ErrorKind(document["error"]["code"])
            if kind in _FINAL_KINDS or not ANSWERS[kind].retry:
                self.record_refusal(kind.value, document)
                raise _FinalAnswer
            return
        await self.read_refusal(response)
        raise _FinalAnswer

    def _on_event(self, block: bytes) -> None:
        data = [line[6:] for line in block.split(b"\n") if line.startswith(b"data: ")]
        if not data:
            return
        event = json.loads(data[0])
        if event["type"] == "response.output_text.delta":
            self._on_token(event)
        elif event["type"] == "response.created":
            self.session_id = event["response"]["id"]
        elif event["type"] == "response.completed":
            tokens = event["response"]["usage"]["output_tokens"]
            self.history.add(Finished, self.name, self.name, tokens)
            raise _FinalAnswer
        elif event["type"] == "response.failed":
            self.record_refusal(event["response"]["error"]["code"], event["response"]["problem"])
            raise _FinalAnswer

    def _on_token(self, event: dict) -> None:
        generation, _, number = event["delta"].strip().partition(":")
        self.received += 1
        self.history.add(
            TokenDelivered, self.name, generation, int(number), event["sequence_number"]
        )
        for callback in self.on_token:
            callback(self.received)


@dataclass
class CallCaller(Caller):
    """Makes one non-idempotent call, and repeats it with its key while the answer asks to retry."""

    before_send: list = field(default_factory=list)
    sent: int = 0

    async def _exchange(self, entry: str) -> None:
        self.sent += 1
        if self.sent > MAX_CALL_ATTEMPTS:
            raise _FinalAnswer
        self.history.add(RequestSent, self.name, Path.CALL, entry)
        for callback in self.before_send:
            callback()
        headers = HEADERS | {"idempotency-key": self.name}
        target = f"/services/holds/hold/{self.name}"
        with trio.fail_after(READ_TIMEOUT_S * 2):
            async with self.request(entry, "POST", target, headers, b"{}") as response:
                if response.status == 201:
                    marker = json.loads(await response.read())["path"].removeprefix("/hold/")
                    self.history.add(Finished, self.name, marker)
                    raise _FinalAnswer
                refused = await self.read_refusal(response)
        if not ANSWERS[refused.kind].retry:
            raise _FinalAnswer
        await trio.sleep(refused.retry_after_s or RETRY_DELAY_S)
