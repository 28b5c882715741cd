"""The stored form of the head, whose size does not depend on the number of parts.

The versions of all parts are in a manifest, an immutable object. The head names the manifest and
holds the versions that changed since. If the head held all versions, each change would send them
to every watcher: 36 KB for 700 parts.
"""

from dataclasses import dataclass, field
from typing import Self

from egretstack.configuration._model import MAX_RECENT_CHANGES, Head, Sections, head_digest
from egretstack.configuration._transfer import is_sections
from egretstack.ids import ChangeId, Revision
from egretstack.objectapi import PlatformAway, Spec

MAX_SINCE_PARTS = 64
"""Maximum number of changed versions in the head; beyond it a new manifest is written."""

NO_MANIFEST = ""


@dataclass(frozen=True)
class HeadObject:
    """The content of the head object. `since` holds None for a part that was removed."""

    revision: Revision
    change_id: ChangeId
    manifest: str = NO_MANIFEST
    since: dict[str, str | None] = field(default_factory=dict)
    recent: tuple[ChangeId, ...] = ()
    inline: dict[str, Sections] = field(default_factory=dict)

    @classmethod
    def from_spec(cls, spec: Spec) -> Self:
        """Parse the object's content; raise PlatformAway if it is not a valid head."""
        try:
            change_id = ChangeId(str(spec["change_id"]))
            inline = spec.get("inline", {})
            return cls(
                revision=Revision(int(spec["revision"])),
                change_id=change_id,
                manifest=str(spec["manifest"]),
                since={
                    str(part): _optional_digest(digest) for part, digest in spec["since"].items()
                },
                recent=tuple(ChangeId(str(one)) for one in spec["recent"])[-MAX_RECENT_CHANGES:],
                inline={
                    part: sections for part, sections in inline.items() if is_sections(sections)
                },
            )
        except (KeyError, ValueError, TypeError, AttributeError) as error:
            raise PlatformAway(f"a head that cannot be read: {error!r}") from error

    def to_spec(self) -> Spec:
        """Return the object's content."""
        return {
            "revision": self.revision,
            "change_id": self.change_id,
            "manifest": self.manifest,
            "since": self.since,
            "recent": list(self.recent),
            "inline": self.inline,
        }

    def to_head(self, manifest: dict[str, str]) -> Head:
        """Return the head; `manifest` holds the versions of the manifest that the object names."""
        merged = manifest | self.since
        digests = {part: digest for part, digest in merged.items() if digest is not None}
        return Head(self.revision, self.change_id, digests, self.recent, self.inline)

    def next_object(self, head: Head, before: dict[str, str]) -> "HeadObject":
        """Return the object of the next head; `before` holds the versions at this one.

        A new manifest holds the versions of the previous head, which watchers already have.
        """
        changed = _changed_digests(before, head.digest_by_part)
        manifest, since = self.manifest, self.since | changed
        if len(since) > MAX_SINCE_PARTS:
            manifest, since = head_digest(before), changed
        return HeadObject(head.revision, head.change_id, manifest, since, head.recent, head.inline)


def _changed_digests(before: dict[str, str], after: dict[str, str]) -> dict[str, str | None]:
    removed: dict[str, str | None] = dict.fromkeys(before.keys() - after.keys())
    return removed | {part: digest for part, digest in after.items() if before.get(part) != digest}


def _optional_digest(value: object) -> str | None:
    return None if value is None else str(value)
