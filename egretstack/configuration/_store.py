"""The configuration as the platform's object API keeps it.

Parts are objects named by their digest and never change. The one head object names the version
of each part; a change is accepted by the conditional update of the head, so all accepted
changes are in one order and a change is in force whole or not at all.
"""

import trio

from egretstack.configuration._model import Change, Head, Sections, Snapshot, part_digest
from egretstack.ids import ChangeId, Revision
from egretstack.platform import (
    Conflict,
    ObjectApi,
    ObjectKind,
    PlatformAway,
    PlatformOutcomeUnknown,
    StoredObject,
)

HEAD_NAME = "head"
APPLY_ATTEMPTS = 8
RETRY_DELAY_S = 0.2


class ApplyConflict(Exception):
    """Another operator changed a part first; carries what stands there now."""

    def __init__(self, part: str, theirs: Sections | None) -> None:
        super().__init__(f"{part} was changed by someone else")
        self.part = part
        self.theirs = theirs


class ApplyUnknown(Exception):
    """It is not known whether the change was accepted; ask again with its id."""

    def __init__(self, change_id: ChangeId) -> None:
        super().__init__(f"change {change_id} may have been accepted")
        self.change_id = change_id


class ConfigurationStore:
    """Reads and changes the configuration in the object API."""

    def __init__(self, api: ObjectApi) -> None:
        self._api = api

    async def head(self) -> Head | None:
        """Read the head. Raises PlatformAway."""
        stored = await self._api.get(ObjectKind.CONFIG_HEAD, HEAD_NAME)
        return None if stored is None else head_of(stored)

    async def snapshot(self, known: Snapshot | None = None) -> Snapshot | None:
        """Read the head and every part that `known` does not hold. Raises PlatformAway."""
        head = await self.head()
        return None if head is None else await self.complete(head, known)

    async def complete(self, head: Head, known: Snapshot | None) -> Snapshot:
        """Read the parts of a head that `known` does not hold. Raises PlatformAway."""
        sections_by_part: dict[str, Sections] = {}
        for part, digest in head.digest_by_part.items():
            if known is not None and known.head.digest_by_part.get(part) == digest:
                sections_by_part[part] = known.sections_by_part[part]
            else:
                sections_by_part[part] = await self.part(part, digest)
        return Snapshot(head, sections_by_part)

    async def part(self, part: str, digest: str) -> Sections:
        """Read one version of a part. Raises PlatformAway."""
        stored = await self._api.get(ObjectKind.CONFIG_PART, f"{part}.{digest}")
        if stored is None:
            raise PlatformAway(f"part {part} version {digest} is missing")
        return stored.spec["sections"]

    async def apply(self, change: Change) -> Head:
        """Accept a change. Raises ApplyConflict, ApplyUnknown, PlatformAway."""
        for part, sections in change.sections_by_part.items():
            if sections is not None:
                await self._write_part(part, sections)
        sent = False
        for _ in range(APPLY_ATTEMPTS):
            try:
                return await self._accept(change)
            except Conflict:
                continue
            except PlatformOutcomeUnknown:
                sent = True
            except PlatformAway:
                if not sent:
                    raise
            await trio.sleep(RETRY_DELAY_S)
        raise ApplyUnknown(change.id)

    async def settle(self, change_id: ChangeId) -> Head | None:
        """Find the head a change made, if the change is the newest one accepted."""
        head = await self.head()
        return head if head is not None and head.change_id == change_id else None

    async def _write_part(self, part: str, sections: Sections) -> None:
        name = f"{part}.{part_digest(sections)}"
        for _ in range(APPLY_ATTEMPTS):
            try:
                await self._api.create(ObjectKind.CONFIG_PART, name, {"sections": sections})
                return
            except Conflict:
                return
            except PlatformOutcomeUnknown:
                await trio.sleep(RETRY_DELAY_S)
        raise PlatformAway(f"part {part} could not be written")

    async def _accept(self, change: Change) -> Head:
        stored = await self._api.get(ObjectKind.CONFIG_HEAD, HEAD_NAME)
        current = Head(Revision(0), ChangeId("")) if stored is None else head_of(stored)
        if current.change_id == change.id:
            # An earlier attempt took effect and its answer was lost.
            return current
        await self._refuse_stale(change, current)
        head = _next_head(current, change)
        if stored is None:
            await self._api.create(ObjectKind.CONFIG_HEAD, HEAD_NAME, _head_spec(head))
        else:
            await self._api.replace(
                ObjectKind.CONFIG_HEAD, HEAD_NAME, _head_spec(head), stored.version
            )
        return head

    async def _refuse_stale(self, change: Change, current: Head) -> None:
        for part, expected in change.expected.items():
            digest = current.digest_by_part.get(part)
            if digest != expected:
                theirs = None if digest is None else await self.part(part, digest)
                raise ApplyConflict(part, theirs)


def head_of(stored: StoredObject) -> Head:
    """Read a head object."""
    spec = stored.spec
    return Head(Revision(spec["revision"]), ChangeId(spec["change_id"]), dict(spec["parts"]))


def _next_head(current: Head, change: Change) -> Head:
    digests = dict(current.digest_by_part)
    for part, sections in change.sections_by_part.items():
        if sections is None:
            digests.pop(part, None)
        else:
            digests[part] = part_digest(sections)
    return Head(Revision(current.revision + 1), change.id, digests)


def _head_spec(head: Head) -> dict[str, object]:
    return {
        "revision": head.revision,
        "change_id": head.change_id,
        "parts": head.digest_by_part,
    }
