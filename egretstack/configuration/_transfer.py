"""Converts configuration to messages and back, and validates what a peer sent."""

from egretstack.configuration._messages import ConfigTell, SnapshotPiece
from egretstack.configuration._model import (
    MAX_RECENT_CHANGES,
    Delta,
    Head,
    Sections,
    Snapshot,
    head_digest,
    part_digest,
)
from egretstack.ids import ChangeId, Revision

MAX_PIECE_CHARACTERS = 262_144
"""Maximum length of one piece of a snapshot; far below the maximum message size of a link."""

MAX_PARTS = 20_000
MAX_SNAPSHOT_CHARACTERS = 67_108_864
MAX_ID_LENGTH = 64


class TransferError(Exception):
    """A peer sent data that is not a configuration, or does not match the announced one."""


def delta_message(delta: Delta) -> ConfigTell:
    """Return the message for a delta."""
    return ConfigTell(
        delta.base_revision,
        delta.base_change_id,
        list(delta.change_ids),
        delta.digest,
        delta.sections_by_part,
    )


def parse_delta(message: ConfigTell) -> Delta:
    """Validate and decode a delta; raise TransferError."""
    ids = _parse_ids(message.change_ids)
    if not ids:
        raise TransferError("delta without change ids")
    for part, sections in message.sections_by_part.items():
        _check_part(part, sections, allow_removed=True)
    return Delta(
        Revision(message.base_revision),
        ChangeId(message.base_change_id),
        ids,
        message.digest,
        message.sections_by_part,
    )


def snapshot_piece(snapshot: Snapshot, after: str) -> SnapshotPiece:
    """Return the piece whose parts sort after the name `after`, which is empty for the first."""
    head = snapshot.head
    names = sorted(name for name in snapshot.sections_by_part if name > after)
    selected: dict[str, Sections] = {}
    size = 0
    for name in names:
        sections = snapshot.sections_by_part[name]
        size += len(str(sections))
        if selected and size > MAX_PIECE_CHARACTERS:
            break
        selected[name] = sections
    recent = [] if after else list(head.recent)
    digest = head_digest(head.digest_by_part)
    more = len(selected) < len(names)
    return SnapshotPiece(head.revision, head.change_id, recent, digest, selected, more)


class SnapshotBuilder:
    """Assembles a snapshot from the pieces that one peer sends."""

    def __init__(self) -> None:
        self._first: SnapshotPiece | None = None
        self._sections_by_part: dict[str, Sections] = {}
        self._size = 0

    @property
    def after(self) -> str:
        """Return the name after which the next piece starts."""
        return max(self._sections_by_part, default="")

    def add(self, message: SnapshotPiece) -> Snapshot | None:
        """Add a piece; return the snapshot once complete, else None. Raises TransferError."""
        first = self._first or message
        if (message.revision, message.change_id) != (first.revision, first.change_id):
            raise TransferError("the peer's revision changed between two pieces")
        if message.more and not message.sections_by_part:
            raise TransferError("piece without parts, though more should follow")
        self._first = first
        after = self.after
        for part, sections in message.sections_by_part.items():
            _check_part(part, sections, allow_removed=False)
            if part <= after:
                raise TransferError("parts are not sorted by name")
            self._size += len(str(sections))
        self._sections_by_part |= message.sections_by_part
        if len(self._sections_by_part) > MAX_PARTS or self._size > MAX_SNAPSHOT_CHARACTERS:
            raise TransferError("snapshot too large")
        return None if message.more else self._build(first)

    def _build(self, first: SnapshotPiece) -> Snapshot:
        digests = {part: part_digest(text) for part, text in self._sections_by_part.items()}
        if head_digest(digests) != first.digest:
            raise TransferError("the parts do not match the digest of the head")
        recent = _parse_ids(first.recent)
        head = Head(Revision(first.revision), ChangeId(first.change_id), digests, recent)
        return Snapshot(head, self._sections_by_part)


def is_sections(value: object) -> bool:
    """Return whether a value has the structure of a part's text."""
    return isinstance(value, dict) and all(
        isinstance(name, str)
        and isinstance(keys, dict)
        and all(isinstance(key, str) and isinstance(text, str) for key, text in keys.items())
        for name, keys in value.items()
    )


def _check_part(part: object, sections: object, *, allow_removed: bool) -> None:
    removed = allow_removed and sections is None
    if not isinstance(part, str) or not (removed or is_sections(sections)):
        raise TransferError("malformed part")


def _parse_ids(values: list) -> tuple[ChangeId, ...]:
    if len(values) > MAX_RECENT_CHANGES:
        raise TransferError("too many change ids")
    if not all(isinstance(one, str) and len(one) <= MAX_ID_LENGTH for one in values):
        raise TransferError("malformed change id")
    return tuple(ChangeId(one) for one in values)
