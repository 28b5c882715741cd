"""The head as the platform keeps it: small, whatever the number of parts.

The versions of all parts are in a manifest, an object that never changes; the head names it and
holds what changed since. Were all versions in the head itself, each change would carry them to
every watcher: 36 KB for 700 parts.
"""

from dataclasses import dataclass, field
from typing import Self

from egretstack.configuration._model import MAX_RECENT_CHANGES, Head, Sections, head_digest
from egretstack.configuration._transfer import is_sections
from egretstack.ids import ChangeId, Revision
from egretstack.objectapi import PlatformAway, Spec

SINCE_KEPT = 64
"""Versions of parts that the head holds before a new manifest is written."""

NO_MANIFEST = ""


@dataclass(frozen=True)
class HeadObject:
    """The content of the head object. `since` holds None for a part that is gone."""

    revision: Revision
    change_id: ChangeId
    manifest: str = NO_MANIFEST
    since: dict[str, str | None] = field(default_factory=dict)
    recent: tuple[ChangeId, ...] = ()
    inline: dict[str, Sections] = field(default_factory=dict)

    @classmethod
    def read(cls, spec: Spec) -> Self:
        """Read the object's content; raise PlatformAway where it is no head."""
        try:
            change_id = ChangeId(str(spec["change_id"]))
            inline = spec.get("inline", {})
            return cls(
                revision=Revision(int(spec["revision"])),
                change_id=change_id,
                manifest=str(spec["manifest"]),
                since={str(part): _digest(one) for part, one in spec["since"].items()},
                recent=tuple(ChangeId(str(one)) for one in spec["recent"])[-MAX_RECENT_CHANGES:],
                inline={part: one for part, one in inline.items() if is_sections(one)},
            )
        except (KeyError, ValueError, TypeError, AttributeError) as error:
            raise PlatformAway(f"a head that cannot be read: {error!r}") from error

    def spec(self) -> Spec:
        """Give the object's content."""
        return {
            "revision": self.revision,
            "change_id": self.change_id,
            "manifest": self.manifest,
            "since": self.since,
            "recent": list(self.recent),
            "inline": self.inline,
        }

    def head(self, manifest: dict[str, str]) -> Head:
        """Give the head, with the versions that the named manifest holds."""
        merged = manifest | self.since
        digests = {part: digest for part, digest in merged.items() if digest is not None}
        return Head(self.revision, self.change_id, digests, self.recent, self.inline)

    def followed_by(self, head: Head, before: dict[str, str]) -> "HeadObject":
        """Give the object of the next head; `before` holds the versions at this one.

        A new manifest holds the versions of the head before, which watchers have already.
        """
        changed = _changed(before, head.digest_by_part)
        manifest, since = self.manifest, self.since | changed
        if len(since) > SINCE_KEPT:
            manifest, since = head_digest(before), changed
        return HeadObject(head.revision, head.change_id, manifest, since, head.recent, head.inline)


def _changed(before: dict[str, str], after: dict[str, str]) -> dict[str, str | None]:
    gone: dict[str, str | None] = dict.fromkeys(before.keys() - after.keys())
    return gone | {part: one for part, one in after.items() if before.get(part) != one}


def _digest(value: object) -> str | None:
    return None if value is None else str(value)
