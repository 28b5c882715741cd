"""The configuration stored in the platform's object API.

Parts are immutable objects named by their digest. A single head object names the version of each
part. A change is accepted by a conditional update of the head, so accepted changes have a total
order and each is applied atomically.
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
MANIFEST_PREFIX = "manifest"
MAX_APPLY_ATTEMPTS = 8
RETRY_DELAY_S = 0.2
MAX_INLINE_CHARACTERS = 8192
"""Maximum length of a change's text that is stored inline in the head."""


@dataclass(frozen=True)
class Accepted:
    """An accepted change and the revision that it made."""

    revision: Revision
    change_id: ChangeId


class ApplyConflict(Exception):
    """Another operator changed a part first; carries the part's current sections."""

    def __init__(self, part: str, current_sections: Sections | None) -> None:
        super().__init__(f"{part} was changed by someone else")
        self.part = part
        self.current_sections = current_sections


class ApplyUnknown(Exception):
    """It is unknown whether the change was accepted; query its outcome by its id."""

    def __init__(self, change_id: ChangeId) -> None:
        super().__init__(f"change {change_id} may have been accepted")
        self.change_id = change_id


class _UnconfirmedWrite:
    """Tracks whether an update of the head whose answer was lost may still take effect.

    It no longer can once a read returns another version without the change, since the update was
    conditional on the earlier version. A conflict alone proves nothing: the update itself may have
    caused it.
    """

    def __init__(self) -> None:
        self.may_take_effect = False
        self._version: str | None = None

    def record_sent(self, version: str | None) -> None:
        """Record an update, conditional on a version, that got no answer."""
        self.may_take_effect = True
        self._version = version

    def record_read(self, version: str | None) -> None:
        """Record a read that does not contain the change."""
        if version != self._version:
            self.may_take_effect = False


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
        """Parse a head object; read its manifest unless `known` has it. Raises PlatformAway."""
        head_object = HeadObject.from_spec(stored.spec)
        return head_object.to_head(await self._load_manifest(head_object.manifest, known))

    async def snapshot(self, known: Snapshot | None = None) -> Snapshot | None:
        """Read the head and every part that `known` does not have. Raises PlatformAway."""
        head = await self.head(known)
        return None if head is None else await self.load_snapshot(head, known)

    async def load_snapshot(self, head: Head, known: Snapshot | None) -> Snapshot:
        """Read the parts of a head that `known` does not have. Raises PlatformAway."""
        sections_by_part: dict[str, Sections] = {}
        for part, digest in head.digest_by_part.items():
            if known is not None and known.head.digest_by_part.get(part) == digest:
                sections_by_part[part] = known.sections_by_part[part]
            elif part in head.inline and part_digest(head.inline[part]) == digest:
                # The platform may become unavailable after the head was read, before the part is.
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
        """Commit a change. Raises ApplyConflict, ApplyUnknown, PlatformAway."""
        for part, sections in change.sections_by_part.items():
            if sections is not None:
                await self._write_part(part, sections)
        unconfirmed = _UnconfirmedWrite()
        for _ in range(MAX_APPLY_ATTEMPTS):
            try:
                return await self._try_apply(change, unconfirmed)
            except (Conflict, PlatformOutcomeUnknown):
                pass
            except PlatformAway:
                if not unconfirmed.may_take_effect:
                    raise
            await trio.sleep(RETRY_DELAY_S * random.random())
        if not unconfirmed.may_take_effect:
            raise PlatformAway("others change the configuration too fast; nothing was accepted")
        raise ApplyUnknown(change.id)

    async def find_accepted(self, change_id: ChangeId) -> Accepted | None:
        """Look up an accepted change; None if no recent one has the id. Raises PlatformAway."""
        head = await self.head()
        revision = None if head is None else head.revision_of(change_id)
        return None if revision is None else Accepted(revision, change_id)

    async def recover(self, snapshot: Snapshot) -> list[ChangeId]:
        """Write a snapshot that is in force to a store that was restored from an older copy.

        Returns the ids of the changes that only the store had. Raises UserError if the store is
        neither older nor of another history; Conflict, PlatformAway, PlatformOutcomeUnknown.
        """
        stored = await self._api.get(ObjectKind.CONFIG_HEAD, HEAD_NAME)
        versions = snapshot.head.digest_by_part
        spec = HeadObject(
            snapshot.head.revision,
            snapshot.head.change_id,
            head_digest(versions),
            recent=snapshot.head.recent,
        ).to_spec()
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
        return [change_id for change_id in head.recent if change_id not in snapshot.head.recent]

    async def _load_manifest(self, manifest: str, known: Snapshot | None) -> dict[str, str]:
        if manifest == NO_MANIFEST:
            return {}
        if self._manifest[0] != manifest:
            self._manifest = (manifest, await self._read_manifest(manifest, known))
        return self._manifest[1]

    async def _read_manifest(self, manifest: str, known: Snapshot | None) -> dict[str, str]:
        if known is not None and head_digest(known.head.digest_by_part) == manifest:
            return known.head.digest_by_part
        stored = await self._api.get(ObjectKind.CONFIG_PART, f"{MANIFEST_PREFIX}.{manifest}")
        versions = None if stored is None else stored.spec.get("versions")
        if not isinstance(versions, dict) or head_digest(versions) != manifest:
            raise PlatformAway(f"manifest {manifest} is missing or cannot be read")
        return versions

    async def _write_manifest(self, versions: dict[str, str]) -> None:
        await self._write_object(
            f"{MANIFEST_PREFIX}.{head_digest(versions)}", {"versions": versions}
        )

    async def _write_part(self, part: str, sections: Sections) -> None:
        await self._write_object(f"{part}.{part_digest(sections)}", {"sections": sections})

    async def _write_object(self, name: str, spec: Spec) -> None:
        """Write an immutable object; one that already exists has the same content."""
        for _ in range(MAX_APPLY_ATTEMPTS):
            try:
                await self._api.create(ObjectKind.CONFIG_PART, name, spec)
                return
            except Conflict:
                return
            except PlatformOutcomeUnknown:
                await trio.sleep(RETRY_DELAY_S)
        raise PlatformAway(f"{name} could not be written")

    async def _try_apply(self, change: Change, unconfirmed: "_UnconfirmedWrite") -> Accepted:
        stored = await self._api.get(ObjectKind.CONFIG_HEAD, HEAD_NAME)
        head_object = _NO_HEAD if stored is None else HeadObject.from_spec(stored.spec)
        current = head_object.to_head(await self._load_manifest(head_object.manifest, None))
        revision = current.revision_of(change.id)
        if revision is not None:
            # An earlier attempt took effect and its answer was lost. Others may have changed
            # the configuration since, and committing again would undo their changes.
            return Accepted(revision, change.id)
        version = None if stored is None else stored.version
        unconfirmed.record_read(version)
        await self._check_expected(change, current)
        head = _next_head(current, change)
        next_object = head_object.next_object(head, current.digest_by_part)
        if next_object.manifest != head_object.manifest:
            await self._write_manifest(current.digest_by_part)
        try:
            await self._write_head(next_object.to_spec(), version)
        except PlatformOutcomeUnknown:
            unconfirmed.record_sent(version)
            raise
        return Accepted(head.revision, change.id)

    async def _write_head(self, spec: Spec, version: str | None) -> None:
        if version is None:
            await self._api.create(ObjectKind.CONFIG_HEAD, HEAD_NAME, spec)
        else:
            await self._api.replace(ObjectKind.CONFIG_HEAD, HEAD_NAME, spec, version)

    async def _check_expected(self, change: Change, current: Head) -> None:
        for part, expected in change.expected.items():
            digest = current.digest_by_part.get(part)
            if digest != expected:
                current_sections = None if digest is None else await self.part(part, digest)
                raise ApplyConflict(part, current_sections)


def _next_head(current: Head, change: Change) -> Head:
    digests = dict(current.digest_by_part)
    for part, sections in change.sections_by_part.items():
        if sections is None:
            digests.pop(part, None)
        else:
            digests[part] = part_digest(sections)
    recent = (*current.recent, change.id)[-MAX_RECENT_CHANGES:]
    inline = {
        part: sections for part, sections in change.sections_by_part.items() if sections is not None
    }
    if len(json.dumps(inline)) > MAX_INLINE_CHARACTERS:
        inline = {}
    return Head(Revision(current.revision + 1), change.id, digests, recent, inline)
