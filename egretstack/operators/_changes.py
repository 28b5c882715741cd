"""Changes of contracts and service descriptions from files."""

import difflib
import secrets
from dataclasses import dataclass
from pathlib import Path

from egretstack.configuration import (
    Accepted,
    Change,
    ConfigurationStore,
    Head,
    PartKind,
    part_digest,
    part_name,
)
from egretstack.contracts import read_contract, read_service
from egretstack.errors import UserError
from egretstack.ids import ChangeId
from egretstack.schema import read_ini

Sections = dict[str, dict[str, str]]


@dataclass(frozen=True)
class PartFile:
    """A validated file that holds one part of the configuration."""

    path: Path
    kind: PartKind
    name: str
    sections: Sections

    @property
    def part(self) -> str:
        """Return the name of the part."""
        return part_name(self.kind, self.name)


def read_part_file(path: Path, kind: PartKind) -> PartFile:
    """Read and validate a file; raise UserError."""
    sections = read_ini(path)
    if kind is PartKind.CONTRACT:
        return PartFile(path, kind, read_contract(str(path), sections).account, sections)
    return PartFile(path, kind, read_service(str(path), sections).name, sections)


def check_file(path: Path, kind: PartKind) -> str:
    """Validate a file and return the name of what it describes; raise UserError."""
    return read_part_file(path, kind).name


async def part_in_force(store: ConfigurationStore, kind: PartKind, name: str) -> Sections | None:
    """Return the part in force, or None. Raises PlatformAway."""
    head = await store.head()
    return None if head is None else await _read_part(store, head, part_name(kind, name))


async def diff_text(store: ConfigurationStore, file: PartFile) -> str:
    """Return the diff that a file would make, empty for none. Raises PlatformAway."""
    current = await part_in_force(store, file.kind, file.name)
    return sections_diff(current, file.sections, "in force", str(file.path))


async def apply_file(
    store: ConfigurationStore, file: PartFile, base: str | None = None
) -> Accepted:
    """Commit a file as the part's new text.

    `base` is the version that the operator started from; by default the one in force now.
    Raises ApplyConflict, ApplyUnknown, PlatformAway.
    """
    head = await store.head()
    current = None if head is None else head.digest_by_part.get(file.part)
    expected = current if base is None else base
    change = Change(
        ChangeId(secrets.token_hex(8)), {file.part: file.sections}, {file.part: expected}
    )
    if head is not None and current == part_digest(file.sections) and base is None:
        return Accepted(head.revision, head.change_id)
    return await store.apply(change)


async def remove_part(store: ConfigurationStore, kind: PartKind, name: str) -> Accepted:
    """Remove a part from the configuration; raises what `apply_file` raises."""
    part = part_name(kind, name)
    head = await store.head()
    current = None if head is None else head.digest_by_part.get(part)
    if current is None:
        raise UserError(f"no {kind.value} of {name} is in force")
    return await store.apply(Change(ChangeId(secrets.token_hex(8)), {part: None}, {part: current}))


def sections_diff(old: Sections | None, new: Sections | None, old_name: str, new_name: str) -> str:
    """Return the difference between two versions of a part as a unified diff."""
    lines = difflib.unified_diff(_lines(old), _lines(new), old_name, new_name, lineterm="")
    return "\n".join(lines)


def _lines(sections: Sections | None) -> list[str]:
    lines = []
    for section, keys in sorted((sections or {}).items()):
        lines.append(f"[{section}]")
        lines.extend(f"{name} = {value}" for name, value in sorted(keys.items()))
    return lines


async def _read_part(store: ConfigurationStore, head: Head, part: str) -> Sections | None:
    digest = head.digest_by_part.get(part)
    return None if digest is None else await store.part(part, digest)
