"""Turns configuration into messages and back; what a peer sent is checked here."""

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

PIECE_CHARACTERS = 262_144
"""Text of one piece of a snapshot; far below the largest message of a link."""

MAX_PARTS = 20_000
MAX_SNAPSHOT_CHARACTERS = 67_108_864
MAX_ID_LENGTH = 64


class TransferError(Exception):
    """What a peer sent is no configuration, or not the one it said."""


def delta_message(delta: Delta) -> ConfigTell:
    """Make the message of a delta."""
    return ConfigTell(
        delta.base_revision,
        delta.base_change_id,
        list(delta.change_ids),
        delta.digest,
        delta.sections_by_part,
    )


def parse_delta(message: ConfigTell) -> Delta:
    """Read a delta; raise TransferError."""
    ids = _ids(message.change_ids)
    if not ids:
        raise TransferError("a delta without a change")
    for part, sections in message.sections_by_part.items():
        _check_part(part, sections, may_be_gone=True)
    return Delta(
        Revision(message.base_revision),
        ChangeId(message.base_change_id),
        ids,
        message.digest,
        message.sections_by_part,
    )


def snapshot_piece(snapshot: Snapshot, after: str) -> SnapshotPiece:
    """Give the piece of a snapshot that follows a part's name; empty for the first."""
    head = snapshot.head
    names = sorted(name for name in snapshot.sections_by_part if name > after)
    taken: dict[str, Sections] = {}
    size = 0
    for name in names:
        sections = snapshot.sections_by_part[name]
        size += len(str(sections))
        if taken and size > PIECE_CHARACTERS:
            break
        taken[name] = sections
    recent = [] if after else list(head.recent)
    digest = head_digest(head.digest_by_part)
    more = len(taken) < len(names)
    return SnapshotPiece(head.revision, head.change_id, recent, digest, taken, more)


class SnapshotBuilder:
    """Puts a snapshot together from pieces of one peer."""

    def __init__(self) -> None:
        self._first: SnapshotPiece | None = None
        self._sections_by_part: dict[str, Sections] = {}
        self._size = 0

    @property
    def after(self) -> str:
        """Give the name after which the next piece starts."""
        return max(self._sections_by_part, default="")

    def add(self, message: SnapshotPiece) -> Snapshot | None:
        """Take a piece; give the snapshot after the last one. Raises TransferError."""
        first = self._first or message
        if (message.revision, message.change_id) != (first.revision, first.change_id):
            raise TransferError("the peer moved on between two pieces")
        if message.more and not message.sections_by_part:
            raise TransferError("a piece without a part")
        self._first = first
        after = self.after
        for part, sections in message.sections_by_part.items():
            _check_part(part, sections, may_be_gone=False)
            if part <= after:
                raise TransferError("a part out of order")
            self._size += len(str(sections))
        self._sections_by_part |= message.sections_by_part
        if len(self._sections_by_part) > MAX_PARTS or self._size > MAX_SNAPSHOT_CHARACTERS:
            raise TransferError("a snapshot that is too large")
        return None if message.more else self._whole(first)

    def _whole(self, first: SnapshotPiece) -> Snapshot:
        digests = {part: part_digest(one) for part, one in self._sections_by_part.items()}
        if head_digest(digests) != first.digest:
            raise TransferError("the parts are not those of the head")
        recent = _ids(first.recent)
        head = Head(Revision(first.revision), ChangeId(first.change_id), digests, recent)
        return Snapshot(head, self._sections_by_part)


def is_sections(value: object) -> bool:
    """Tell whether a value has the shape of a part's text."""
    return isinstance(value, dict) and all(
        isinstance(name, str)
        and isinstance(keys, dict)
        and all(isinstance(key, str) and isinstance(one, str) for key, one in keys.items())
        for name, keys in value.items()
    )


def _check_part(part: object, sections: object, *, may_be_gone: bool) -> None:
    gone = may_be_gone and sections is None
    if not isinstance(part, str) or not (gone or is_sections(sections)):
        raise TransferError("a part of another shape")


def _ids(values: list) -> tuple[ChangeId, ...]:
    if len(values) > MAX_RECENT_CHANGES:
        raise TransferError("more change ids than are kept")
    if not all(isinstance(one, str) and len(one) <= MAX_ID_LENGTH for one in values):
        raise TransferError("a change id of another shape")
    return tuple(ChangeId(one) for one in values)
