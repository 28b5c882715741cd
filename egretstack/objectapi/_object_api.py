"""The platform's object API: versions, conditional updates and watches.

Resources and versions follow the Kubernetes API conventions (`metadata.resourceVersion`,
optimistic concurrency answered with 409, watches with bookmarks).
"""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from enum import Enum

MAX_OBJECT_BYTES = 1_048_576
"""Size limit of one object on the platform."""

DEFAULT_WATCH_DURATION_S = 30.0
"""Default duration of one watch, in seconds.

If a device on the path drops the connection's state, an open watch never receives anything again.
Ending each watch regularly, with a bookmark, limits how long changes can go unnoticed.
"""

Spec = dict[str, object]


class ObjectKind(Enum):
    """The kinds of objects that the system stores; the value is the resource's plural name."""

    CONFIG_HEAD = "configheads"
    CONFIG_PART = "configparts"
    LEASE = "leases"
    LEDGER = "ledgershards"
    STATUS = "statuses"


class PlatformError(Exception):
    """A call to the platform failed."""


class Conflict(PlatformError):
    """The object's version is not the one that the update was conditional on."""


class PlatformAway(PlatformError):
    """The call was not executed: no connection, or rejected before it had an effect.

    `retry_after_s` is set if this process itself declined to send the call.
    """

    def __init__(self, detail: str = "", retry_after_s: float | None = None) -> None:
        super().__init__(detail)
        self.retry_after_s = retry_after_s


class PlatformOutcomeUnknown(PlatformError):
    """The call was sent and not answered: it may or may not have taken effect."""


class WatchLost(PlatformError):
    """The watch ended or its start version is too old; list again and watch from there."""


@dataclass(frozen=True)
class StoredObject:
    """One stored object. `version` is opaque; it may only be compared for equality."""

    kind: ObjectKind
    name: str
    version: str
    spec: Spec


class WatchKind(Enum):
    """The type of a watch event."""

    ADDED = "ADDED"
    MODIFIED = "MODIFIED"
    DELETED = "DELETED"
    BOOKMARK = "BOOKMARK"


@dataclass(frozen=True)
class WatchChange:
    """One event of a watch; a bookmark's object has only a version."""

    kind: WatchKind
    object: StoredObject


class ObjectApi(ABC):
    """The calls that the system makes; each docstring lists the PlatformErrors raised."""

    @abstractmethod
    async def get(self, kind: ObjectKind, name: str) -> StoredObject | None:
        """Read one object; None if there is none. Raises PlatformAway."""

    @abstractmethod
    async def list(self, kind: ObjectKind) -> list[StoredObject]:
        """Read all objects of a kind. Raises PlatformAway."""

    @abstractmethod
    async def create(self, kind: ObjectKind, name: str, spec: Spec) -> StoredObject:
        """Create an object. Raises Conflict if it exists, PlatformAway, PlatformOutcomeUnknown."""

    @abstractmethod
    async def replace(self, kind: ObjectKind, name: str, spec: Spec, version: str) -> StoredObject:
        """Replace an object if it still has `version`.

        Raises Conflict, PlatformAway, PlatformOutcomeUnknown.
        """

    @abstractmethod
    async def delete(self, kind: ObjectKind, name: str, version: str) -> None:
        """Delete an object if it still has `version`; raises what `replace` raises."""

    @abstractmethod
    def watch(
        self, kind: ObjectKind, since: str | None, duration_s: float = DEFAULT_WATCH_DURATION_S
    ) -> AbstractAsyncContextManager[AsyncIterator[WatchChange]]:
        """Follow changes after the version `since` for `duration_s`; a bookmark ends the watch.

        Raises PlatformAway, WatchLost.
        """
