"""The configuration as the platform's object API keeps it.

Parts are objects named by their digest and never change. The one head object names the version
of each part; a change is accepted by the conditional update of the head, so all accepted
changes are in one order and a change is in force whole or not at all.
"""

import json
import random
from dataclasses import dataclass

import trio

from egretstack.configuration._head_object import NO_MANIFEST, HeadObject
from egretstack.configuration._model import (
    MAX_RECENT_CHANGES,
    Change,
    Head,
    Sections,
    Snapshot,
    head_digest,
    part_digest,
)
from egretstack.configuration._transfer import is_sections
from egretstack.errors import UserError
from egretstack.ids import ChangeId, Revision
from egretstack.objectapi import (
    Conflict,
    ObjectApi,
    ObjectKind,
    PlatformAway,
    PlatformOutcomeUnknown,
    Spec,
    StoredObject,
)

HEAD_NAME = "head"
MANIFEST = "manifest"
APPLY_ATTEMPTS = 8
RETRY_DELAY_S = 0.2
MAX_INLINE_CHARACTERS = 8192
"""Largest text of a change that the head carries itself."""


@dataclass(frozen=True)
class Accepted:
    """A change is accepted: the revision that it made."""

    revision: Revision
    change_id: ChangeId


class ApplyConflict(Exception):
    """Another operator changed a part first; carries what stands there now."""

    def __init__(self, part: str, current_sections: Sections | None) -> None:
        super().__init__(f"{part} was changed by someone else")
        self.part = part
        self.current_sections = current_sections


class ApplyUnknown(Exception):
    """It is not known whether the change was accepted; ask again with its id."""

    def __init__(self, change_id: ChangeId) -> None:
        super().__init__(f"change {change_id} may have been accepted")
        self.change_id = change_id


class _LostWrite:
    """Whether an update of the head whose answer was lost may still take effect.

    It cannot once a read shows another version and not the change: the update was conditional on
    the version before. A conflict alone shows nothing, since it may come from the update itself.
    """

    def __init__(self) -> None:
        self.is_open = False
        self._version: str | None = None

    def sent(self, version: str | None) -> None:
        """Note an update conditional on a version, without an answer."""
        self.is_open = True
        self._version = version

    def read(self, version: str | None) -> None:
        """Note a read that does not show the change."""
        if version != self._version:
            self.is_open = False


_NO_HEAD = HeadObject(Revision(0), ChangeId(""))


class ConfigurationStore:
    """Reads and changes the configuration in the object API."""

    def __init__(self, api: ObjectApi) -> None:
        self._api = api
        self._manifest: tuple[str, dict[str, str]] = (NO_MANIFEST, {})

    async def head(self, known: Snapshot | None = None) -> Head | None:
        """Read the head. Raises PlatformAway."""
        stored = await self._api.get(ObjectKind.CONFIG_HEAD, HEAD_NAME)
        return None if stored is None else await self.parse_head(stored, known)

    async def parse_head(self, stored: StoredObject, known: Snapshot | None = None) -> Head:
        """Read a head object; the manifest only where `known` is not it. Raises PlatformAway."""
        found = HeadObject.read(stored.spec)
        return found.head(await self._versions(found.manifest, known))

    async def snapshot(self, known: Snapshot | None = None) -> Snapshot | None:
        """Read the head and every part that `known` does not hold. Raises PlatformAway."""
        head = await self.head(known)
        return None if head is None else await self.load_snapshot(head, known)

    async def load_snapshot(self, head: Head, known: Snapshot | None) -> Snapshot:
        """Read the parts of a head that `known` does not hold. Raises PlatformAway."""
        sections_by_part: dict[str, Sections] = {}
        for part, digest in head.digest_by_part.items():
            if known is not None and known.head.digest_by_part.get(part) == digest:
                sections_by_part[part] = known.sections_by_part[part]
            elif part in head.inline and part_digest(head.inline[part]) == digest:
                # The platform may go away between the head and a read of the part.
                sections_by_part[part] = head.inline[part]
            else:
                sections_by_part[part] = await self.part(part, digest)
        return Snapshot(head, sections_by_part)

    async def part(self, part: str, digest: str) -> Sections:
        """Read one version of a part. Raises PlatformAway."""
        stored = await self._api.get(ObjectKind.CONFIG_PART, f"{part}.{digest}")
        if stored is None:
            raise PlatformAway(f"part {part} version {digest} is missing")
        sections = stored.spec.get("sections")
        if not is_sections(sections) or part_digest(sections) != digest:
            raise PlatformAway(f"part {part} version {digest} cannot be read")
        return sections

    async def apply(self, change: Change) -> Accepted:
        """Accept a change. Raises ApplyConflict, ApplyUnknown, PlatformAway."""
        for part, sections in change.sections_by_part.items():
            if sections is not None:
                await self._write_part(part, sections)
        lost = _LostWrite()
        for _ in range(APPLY_ATTEMPTS):
            try:
                return await self._accept(change, lost)
            except (Conflict, PlatformOutcomeUnknown):
                pass
            except PlatformAway:
                if not lost.is_open:
                    raise
            await trio.sleep(RETRY_DELAY_S * random.random())
        if not lost.is_open:
            raise PlatformAway("others change the configuration too fast; nothing was accepted")
        raise ApplyUnknown(change.id)

    async def find_accepted(self, change_id: ChangeId) -> Accepted | None:
        """Find what became of a change; None if no recent one has the id. Raises PlatformAway."""
        head = await self.head()
        revision = None if head is None else head.revision_of(change_id)
        return None if revision is None else Accepted(revision, change_id)

    async def recover(self, snapshot: Snapshot) -> list[ChangeId]:
        """Make a store that was restored from an older copy hold a snapshot that is in force.

        Gives the ids of the changes that the store alone held. Raises UserError where the store
        is not older and not of another history, Conflict, PlatformAway, PlatformOutcomeUnknown.
        """
        stored = await self._api.get(ObjectKind.CONFIG_HEAD, HEAD_NAME)
        versions = snapshot.head.digest_by_part
        spec = HeadObject(
            snapshot.head.revision,
            snapshot.head.change_id,
            head_digest(versions),
            recent=snapshot.head.recent,
        ).spec()
        for part, sections in snapshot.sections_by_part.items():
            await self._write_part(part, sections)
        await self._write_manifest(versions)
        if stored is None:
            await self._api.create(ObjectKind.CONFIG_HEAD, HEAD_NAME, spec)
            return []
        head = await self.parse_head(stored)
        if head.change_id_at(snapshot.head.revision) == snapshot.head.change_id:
            raise UserError("the store holds this revision or a later one of the same history")
        await self._api.replace(ObjectKind.CONFIG_HEAD, HEAD_NAME, spec, stored.version)
        return [one for one in head.recent if one not in snapshot.head.recent]

    async def _versions(self, manifest: str, known: Snapshot | None) -> dict[str, str]:
        if manifest == NO_MANIFEST:
            return {}
        if self._manifest[0] != manifest:
            self._manifest = (manifest, await self._read_manifest(manifest, known))
        return self._manifest[1]

    async def _read_manifest(self, manifest: str, known: Snapshot | None) -> dict[str, str]:
        if known is not None and head_digest(known.head.digest_by_part) == manifest:
            return known.head.digest_by_part
        stored = await self._api.get(ObjectKind.CONFIG_PART, f"{MANIFEST}.{manifest}")
        versions = None if stored is None else stored.spec.get("versions")
        if not isinstance(versions, dict) or head_digest(versions) != manifest:
            raise PlatformAway(f"manifest {manifest} is missing or cannot be read")
        return versions

    async def _write_manifest(self, versions: dict[str, str]) -> None:
        await self._write_object(f"{MANIFEST}.{head_digest(versions)}", {"versions": versions})

    async def _write_part(self, part: str, sections: Sections) -> None:
        await self._write_object(f"{part}.{part_digest(sections)}", {"sections": sections})

    async def _write_object(self, name: str, spec: Spec) -> None:
        """Write an object that never changes; one that is there already is the same."""
        for _ in range(APPLY_ATTEMPTS):
            try:
                await self._api.create(ObjectKind.CONFIG_PART, name, spec)
                return
            except Conflict:
                return
            except PlatformOutcomeUnknown:
                await trio.sleep(RETRY_DELAY_S)
        raise PlatformAway(f"{name} could not be written")

    async def _accept(self, change: Change, lost: "_LostWrite") -> Accepted:
        stored = await self._api.get(ObjectKind.CONFIG_HEAD, HEAD_NAME)
        found = _NO_HEAD if stored is None else HeadObject.read(stored.spec)
        current = found.head(await self._versions(found.manifest, None))
        revision = current.revision_of(change.id)
        if revision is not None:
            # An earlier attempt took effect and its answer was lost. Others may have changed
            # the configuration since: accepting again would undo what they did.
            return Accepted(revision, change.id)
        version = None if stored is None else stored.version
        lost.read(version)
        await self._refuse_stale(change, current)
        head = _next_head(current, change)
        following = found.followed_by(head, current.digest_by_part)
        if following.manifest != found.manifest:
            await self._write_manifest(current.digest_by_part)
        try:
            await self._update(following.spec(), version)
        except PlatformOutcomeUnknown:
            lost.sent(version)
            raise
        return Accepted(head.revision, change.id)

    async def _update(self, spec: Spec, version: str | None) -> None:
        if version is None:
            await self._api.create(ObjectKind.CONFIG_HEAD, HEAD_NAME, spec)
        else:
            await self._api.replace(ObjectKind.CONFIG_HEAD, HEAD_NAME, spec, version)

    async def _refuse_stale(self, change: Change, current: Head) -> None:
        for part, expected in change.expected.items():
            digest = current.digest_by_part.get(part)
            if digest != expected:
                theirs = None if digest is None else await self.part(part, digest)
                raise ApplyConflict(part, theirs)


def _next_head(current: Head, change: Change) -> Head:
    digests = dict(current.digest_by_part)
    for part, sections in change.sections_by_part.items():
        if sections is None:
            digests.pop(part, None)
        else:
            digests[part] = part_digest(sections)
    recent = (*current.recent, change.id)[-MAX_RECENT_CHANGES:]
    inline = {part: one for part, one in change.sections_by_part.items() if one is not None}
    if len(json.dumps(inline)) > MAX_INLINE_CHARACTERS:
        inline = {}
    return Head(Revision(current.revision + 1), change.id, digests, recent, inline)
