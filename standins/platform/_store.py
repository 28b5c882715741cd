"""A stand-in for the platform's store: objects by kind and name, with revisions and watches."""

import json
from enum import Enum
from urllib.parse import parse_qs, urlsplit

import trio

from egretstack.http1 import ClientConnection, Header, RequestHead
from standins.platform._http import StandInServer, json_body, send

PREFIX = "/egretstack/objects/"


class StoreFault(Enum):
    """Faults of the store, of which one is active at a time."""

    NONE = "none"
    BUSY = "busy"
    """Answers 503 without doing anything."""
    SILENT = "silent"
    """Never answers, and does nothing."""
    LOST = "lost"
    """Applies writes and does not answer them."""


class StoreStandIn(StandInServer):
    """Keeps objects and the full history of changes in memory."""

    def __init__(self, address: str) -> None:
        super().__init__(address)
        self.fault = StoreFault.NONE
        self.answer_delay_s = 0.0
        """Time from each call until it is handled."""
        self.calls: list[tuple[str, str]] = []
        self.oldest = 0
        """Watches from before this revision are answered 410, as after the history was dropped."""
        self.era = 0
        """Number of times that it came back from a copy."""
        self._revision = 1
        self._objects: dict[tuple[str, str], dict] = {}
        self._history: list[tuple[int, str, dict, bool]] = []
        self._changed = trio.Event()

    def put(self, kind: str, name: str, spec: dict) -> int:
        """Write an object as an operator or a runner does; return its revision."""
        self._revision += 1
        metadata = {"name": name, "revision": self._revision, "created": 1, "finalizers": []}
        stored = {"metadata": metadata, "spec": spec, "status": None}
        self._objects[(kind, name)] = stored
        self._record_change(kind, stored, deleted=False)
        return self._revision

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        stored = self._objects.pop((kind, name), None)
        if stored is not None:
            self._revision += 1
            self._record_change(kind, stored, deleted=True)

    def spec(self, kind: str, name: str) -> dict | None:
        """Return the spec that was written last; None if the object does not exist."""
        stored = self._objects.get((kind, name))
        return None if stored is None else stored["spec"]

    def names(self, kind: str) -> set[str]:
        """Return the names of all objects of a kind."""
        return {name for other, name in self._objects if other == kind}

    def copy(self) -> tuple[int, dict]:
        """Return a copy of all objects, for `return_from`."""
        return self._revision, dict(self._objects)

    def return_from(self, copy: tuple[int, dict]) -> None:
        """Come back as the store was when it was copied; what was written since is gone."""
        self._revision, self._objects = copy[0], dict(copy[1])
        self._history = [one for one in self._history if one[0] <= self._revision]
        self.era += 1
        self._notify_watches()

    def forget_history(self) -> None:
        """Drop the history, so that every watch has to list again."""
        self._revision += 1
        self.oldest = self._revision
        self._notify_watches()

    async def answer(self, connection: ClientConnection, head: RequestHead, body: bytes) -> None:
        """Answer one call."""
        url = urlsplit(head.target.decode())
        self.calls.append((head.method.decode(), url.path))
        if self.fault is StoreFault.SILENT:
            await trio.sleep_forever()
        if self.fault is StoreFault.BUSY:
            await send(connection, 503, headers=self._era_header())
            return
        await trio.sleep(self.answer_delay_s)
        kind, _, name = url.path.removeprefix(PREFIX).partition("/")
        status, document = await self._handle(head.method, kind, name, parse_qs(url.query), body)
        if self.fault is StoreFault.LOST and head.method != b"GET" and status < 300:
            await trio.sleep_forever()
        await send(connection, status, json_body(document), self._era_header())

    def _era_header(self) -> tuple[Header, ...]:
        return ((b"store-era", b"%d" % self.era),)

    async def _handle(
        self, method: bytes, kind: str, name: str, query: dict[str, list[str]], body: bytes
    ) -> tuple[int, object]:
        if method == b"GET" and name:
            stored = self._objects.get((kind, name))
            return (404, {}) if stored is None else (200, stored)
        if method == b"GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"][0]), int(query["wait-ms"][0]))
        if method == b"GET":
            items = [stored for (other, _), stored in self._objects.items() if other == kind]
            return 200, {"items": items, "has-more": False, "as-of": self._revision}
        document = json.loads(body) if body else {}
        return self._write(method, kind, name or document["metadata"]["name"], document)

    def _write(self, method: bytes, kind: str, name: str, document: dict) -> tuple[int, object]:
        existing = self._objects.get((kind, name))
        if method == b"POST" and existing is not None:
            return 409, existing
        if method in (b"PUT", b"DELETE") and existing is None:
            return 404, {}
        if method == b"DELETE":
            self.remove(kind, name)
            return 200, {}
        self.put(kind, name, document["spec"])
        return 200, self._objects[(kind, name)]

    async def _watch(self, kind: str, since: int, wait_ms: int) -> tuple[int, object]:
        with trio.move_on_after(wait_ms / 1000):
            while self._has_history(since) and not self._changes(kind, since):
                await self._changed.wait()
        if not self._has_history(since):
            return 410, {}
        return 200, {"events": self._changes(kind, since), "as-of": self._revision}

    def _has_history(self, since: int) -> bool:
        return self.oldest <= since <= self._revision

    def _changes(self, kind: str, since: int) -> list[dict]:
        return [
            {"deleted": deleted, "object": stored}
            for revision, changed_kind, stored, deleted in self._history
            if changed_kind == kind and revision > since
        ]

    def _record_change(self, kind: str, stored: dict, *, deleted: bool) -> None:
        self._history.append((self._revision, kind, stored, deleted))
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
