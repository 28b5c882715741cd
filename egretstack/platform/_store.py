"""Client of the platform's store: objects by kind and name, with revisions, lists and watches.

Every call has a timeout, since a connection may stop answering for good. A connection on which a
call failed is not reused. After a read without an answer the next reads wait for longer, and are
repeated on further connections meanwhile: a store that only answers late would otherwise never be
heard, and one that is back is heard at once.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from urllib.parse import quote

import trio

from egretstack.fleet import era_of, number_of, store_revision
from egretstack.http1 import (
    ConnectFailed,
    ConnectionPool,
    Headers,
    RequestHead,
    UpstreamBroken,
    exchange,
    first_value,
)
from egretstack.ids import StoreRevision
from egretstack.platform._bodies import BadBody, Body, integer, is_unicode, parse_object

_OBJECTS_PATH = "/egretstack/objects/"
_JSON_TYPE = b"application/json"
_ERA = b"store-era"
MAX_ANSWER_BYTES = 8_388_608
"""A list is sent in pages of about 1 MB, so a much larger answer is invalid."""
MAX_PAGES = 200
CALL_TIMEOUT_S = 1.0
"""Timeout of one call; a healthy store answers in a few milliseconds."""
CONNECT_TIMEOUT_S = 0.5
MAX_READS = 3
"""Times that a read is sent after one without an answer; all wait for that many timeouts."""
MAX_ERA_DIGITS = 5
WATCH_MARGIN_S = 0.7
"""How long after its requested time a watch may stay unanswered before its connection is closed."""


class ObjectKind(Enum):
    """Kinds of objects that are read or written; the values are the store's names."""

    CONFIGURATION = "config"
    RUNNER = "servers"
    EVACUATION = "evacuations"
    INSTANCE = "egret-instances"
    """Written by the system itself: one object per instance, under its name."""
    CRASH_RECORD = "egret-crash-records"
    """Written by the system itself: one object per request that runners ended on."""
    PART_RECORD = "egret-crash-parts"
    """Written by the system itself: one object per part of prompts that runners ended on."""


CONFIGURATION_NAME = "main"


class StoreAway(Exception):
    """The store did not answer or refused the call; if the call was a read, nothing was done."""


class StoreOutcomeUnknown(StoreAway):
    """A write was not answered: it may have been applied, or may still be applied seconds later."""


class HistoryGone(Exception):
    """The store has not got the changes since the requested revision; list again.

    It has dropped them, or it came back from an older copy and gives its revisions out anew.
    """


class RevisionConflict(Exception):
    """The object already exists, or its revision is not the one that the write depends on."""


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object. `spec` is its content, in the format of the owner that wrote it."""

    name: str
    revision: int
    spec: Body


@dataclass(frozen=True)
class Listing:
    """All objects of a kind as of a revision of the store."""

    objects: tuple[StoredObject, ...]
    revision: StoreRevision
    unnamed: int = 0
    """Number of items without a readable name; they are skipped."""


@dataclass(frozen=True, slots=True)
class Change:
    """An object that was written, or removed if `deleted` is set."""

    object: StoredObject
    deleted: bool


@dataclass(frozen=True)
class Changes:
    """Changes in order, up to the revision from which the next watch continues."""

    changes: tuple[Change, ...]
    revision: StoreRevision
    unnamed: int = 0
    """Number of changes without a readable object name; they are skipped."""


@dataclass(frozen=True, slots=True)
class _Answer:
    status: int
    body: bytes
    era: int


class Store:
    """Client of the store at one address."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._pool = ConnectionPool(max_idle=2)
        self._late_kinds: set[ObjectKind] = set()
        """Kinds of objects whose last read was not answered within its timeout."""
        self.calls_by_kind = dict.fromkeys(ObjectKind, 0)
        """Number of calls made so far, answered or not; every call has a cost."""
        self.era = 0
        """Number of times that the store came back from an older copy, as far as it has said."""
        self.on_return: Callable[[], None] = lambda: None
        """Called when the store has said that it came back from an older copy once more."""

    async def list(self, kind: ObjectKind, *, allow_stale: bool = False) -> Listing:
        """Read all objects of a kind. Raises StoreAway.

        With `allow_stale` the answer may be seconds old, at a tenth of the cost.
        """
        objects: list[StoredObject] = []
        unnamed = 0
        after = ""
        era = None
        for _ in range(MAX_PAGES):
            query = [f"after={quote(after, safe='')}"] if after else []
            if allow_stale:
                query.append("allow-stale=1")
            path = _object_path(kind) + ("?" + "&".join(query) if query else "")
            answer = await self._read(kind, path, CALL_TIMEOUT_S)
            if answer.era < self.era or era not in (None, answer.era):
                raise StoreAway("an answer of before the store came back from a copy")
            era = answer.era
            page, more = _decode_answer(answer, _decode_page)
            objects.extend(page.objects)
            unnamed += page.unnamed
            if not more or not page.objects:
                return Listing(tuple(objects), page.revision, unnamed)
            after = page.objects[-1].name
        raise StoreAway(f"a list of more than {MAX_PAGES} pages")

    async def watch(self, kind: ObjectKind, since: StoreRevision, wait_s: float) -> Changes:
        """Wait up to `wait_s` for changes after a revision. Raises StoreAway, HistoryGone."""
        if era_of(since) < self.era:
            raise HistoryGone(f"era {era_of(since)}")
        path = f"{_object_path(kind)}?watch={number_of(since)}&wait-ms={round(wait_s * 1000)}"
        answer = await self._read(kind, path, wait_s + WATCH_MARGIN_S)
        if answer.status == 410 or answer.era != era_of(since):
            raise HistoryGone(f"since {since}")
        return _decode_answer(answer, _decode_changes)

    async def create(self, kind: ObjectKind, name: str, spec: Body) -> None:
        """Create an object. Raises RevisionConflict, StoreAway, StoreOutcomeUnknown."""
        self.calls_by_kind[kind] += 1
        await self._write(b"POST", _object_path(kind), {"metadata": {"name": name}, "spec": spec})

    async def replace(self, kind: ObjectKind, name: str, spec: Body) -> bool:
        """Replace an object regardless of its revision; return False if it does not exist.

        Raises StoreAway, StoreOutcomeUnknown.
        """
        self.calls_by_kind[kind] += 1
        document = {"metadata": {"name": name}, "spec": spec}
        return await self._write(b"PUT", _object_path(kind, name), document)

    async def delete(self, kind: ObjectKind, name: str) -> bool:
        """Delete an object; return False if it does not exist.

        Raises StoreAway, StoreOutcomeUnknown.
        """
        self.calls_by_kind[kind] += 1
        return await self._write(b"DELETE", _object_path(kind, name), None)

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    async def _read(self, kind: ObjectKind, path: str, timeout_s: float) -> _Answer:
        """Read once, or several times at once if the last read was answered late or not at all.

        Raises StoreAway.
        """
        began_s = trio.current_time()
        try:
            if kind in self._late_kinds:
                return await self._read_repeatedly(kind, path, timeout_s)
            return await self._read_once(kind, path, timeout_s)
        finally:
            if trio.current_time() - began_s < timeout_s:
                self._late_kinds.discard(kind)
            else:
                self._late_kinds.add(kind)

    async def _read_once(self, kind: ObjectKind, path: str, timeout_s: float) -> _Answer:
        self.calls_by_kind[kind] += 1
        return await self._call(b"GET", path, None, timeout_s)

    async def _read_repeatedly(self, kind: ObjectKind, path: str, timeout_s: float) -> _Answer:
        """Send a read again after each timeout; return the first answer to any of them."""
        answers: list[_Answer] = []
        errors: list[StoreAway] = []
        ended = trio.Event()

        async def read() -> None:
            try:
                answers.append(await self._read_once(kind, path, MAX_READS * timeout_s))
            except StoreAway as error:
                errors.append(error)
            ended.set()

        async with trio.open_nursery() as nursery:
            for sent in range(1, MAX_READS + 1):
                nursery.start_soon(read)
                with trio.move_on_after(timeout_s):
                    while not answers and len(errors) < sent:
                        ended = trio.Event()
                        await ended.wait()
                if answers or len(errors) == sent:
                    break
            nursery.cancel_scope.cancel()
        if not answers:
            raise errors[0] if errors else _Unanswered("no answer to any read")
        return answers[0]

    async def _write(self, method: bytes, path: str, document: object) -> bool:
        try:
            status = (await self._call(method, path, document, CALL_TIMEOUT_S)).status
        except _Unanswered as error:
            raise StoreOutcomeUnknown(str(error)) from error
        if status == 409:
            raise RevisionConflict(path)
        if status == 404:
            return False
        if status >= 300:
            raise StoreAway(f"status {status}")
        return True

    async def _call(self, method: bytes, path: str, document: object, timeout_s: float) -> _Answer:
        body = b"" if document is None else json.dumps(document).encode()
        head = RequestHead(method, path.encode(), self._headers(body))
        try:
            connection = await self._pool.acquire(self._address, CONNECT_TIMEOUT_S)
        except ConnectFailed as error:
            raise StoreAway(str(error)) from error
        try:
            with trio.fail_after(timeout_s):
                answer, data = await exchange(connection, head, body, MAX_ANSWER_BYTES)
        except (UpstreamBroken, trio.TooSlowError) as error:
            connection.close()
            raise _Unanswered(f"no answer: {error!r}") from error
        except BaseException:
            connection.close()
            raise
        self._pool.release(connection)
        return _Answer(answer.status, data, self._note_era(answer.headers))

    def _note_era(self, headers: Headers) -> int:
        """Return the era of an answer; one that cannot be read is taken for the known one."""
        text = first_value(headers, _ERA) or b""
        if not text.isdigit() or len(text) > MAX_ERA_DIGITS:
            return self.era
        era = int(text)
        if era > self.era:
            self.era = era
            self.on_return()
        return era

    def _headers(self, body: bytes) -> tuple[tuple[bytes, bytes], ...]:
        host = (b"host", self._address.encode())
        if not body:
            return (host,)
        return (host, (b"content-type", _JSON_TYPE), (b"content-length", b"%d" % len(body)))


class _Unanswered(StoreAway):
    """The call was sent and not answered."""


def _object_path(kind: ObjectKind, name: str = "") -> str:
    return _OBJECTS_PATH + kind.value + (f"/{quote(name, safe='')}" if name else "")


def _decode_answer(answer: _Answer, decode):
    if answer.status != 200:
        raise StoreAway(f"status {answer.status}")
    try:
        return decode(answer.era, parse_object(answer.body))
    except BadBody as error:
        raise StoreAway(f"an answer that cannot be read: {error}") from error


def _decode_object(item: object) -> StoredObject | None:
    """Decode an object; None if it has no name that can be sent back.

    A missing spec is decoded as an empty one.
    """
    metadata = item.get("metadata") if isinstance(item, dict) else None
    if not isinstance(metadata, dict):
        return None
    name, revision = metadata.get("name"), metadata.get("revision")
    if not isinstance(name, str) or not is_unicode(name):
        return None
    spec = item.get("spec")
    return StoredObject(
        name,
        revision if isinstance(revision, int) else 0,
        spec if isinstance(spec, dict) else {},
    )


def _list_field(body: Body, name: str) -> list[object]:
    """Return a list of unchecked items, so that an invalid item does not invalidate the others."""
    value = body.get(name, [])
    if not isinstance(value, list):
        raise BadBody(f"{name} is not a list")
    return value


def _as_of(era: int, body: Body) -> StoreRevision:
    return store_revision(era, integer(body, "as-of"))


def _decode_page(era: int, body: Body) -> tuple[Listing, bool]:
    items = _list_field(body, "items")
    objects = tuple(stored for item in items if (stored := _decode_object(item)) is not None)
    listing = Listing(objects, _as_of(era, body), len(items) - len(objects))
    return listing, body.get("has-more") is True


def _decode_changes(era: int, body: Body) -> Changes:
    events = _list_field(body, "events")
    changes = tuple(change for event in events if (change := _decode_change(event)) is not None)
    return Changes(changes, _as_of(era, body), len(events) - len(changes))


def _decode_change(event: object) -> Change | None:
    if not isinstance(event, dict):
        return None
    stored = _decode_object(event.get("object"))
    return None if stored is None else Change(stored, event.get("deleted") is True)
