"""The configuration in force on one instance; its revision never decreases."""

from enum import Enum

from egretstack.configuration._model import (
    MAX_RECENT_CHANGES,
    Delta,
    Head,
    Sections,
    Snapshot,
    head_digest,
    part_digest,
)
from egretstack.configuration._parts import PartTable
from egretstack.contracts import Contract, ServiceSpec
from egretstack.errors import UserError
from egretstack.ids import AccountId, ChangeId, ModelName, Revision, ServiceName

MAX_DELTA_CHARACTERS = 262_144
"""Maximum length of a delta's text; an instance further behind loads the snapshot in pieces."""


class OfferResult(Enum):
    """The outcome of offering a head, snapshot or delta."""

    NEWER = "newer"
    """It may be put in force; nothing was applied yet."""
    APPLIED = "applied"
    SAME = "same"
    OLDER = "older"
    FORKED = "forked"
    """It comes from a different history of changes than what is in force."""
    BAD = "bad"
    """A part is invalid."""
    GAP = "gap"
    """The delta does not start from what is in force, or its result does not match its digest."""


class NoDelta(Enum):
    """Why a requester gets no delta."""

    UP_TO_DATE = "level"
    TOO_OLD = "far"
    FORKED = "forked"


class ConfigurationState:
    """Contracts and services by name, as of one revision."""

    def __init__(self) -> None:
        self.snapshot: Snapshot | None = None
        self.error_text = ""
        """Why the latest offer was BAD; empty once one was applied."""
        self.account_by_digest: dict[str, AccountId] = {}
        self.service_by_model: dict[ModelName, ServiceName] = {}
        self._table = PartTable()
        self._changed_at: dict[str, Revision] = {}
        self._first_revision = Revision(0)

    @property
    def revision(self) -> Revision:
        """Return the revision in force; 0 before the first."""
        return Revision(0) if self.snapshot is None else self.snapshot.head.revision

    @property
    def change_id(self) -> ChangeId:
        """Return the change that made the revision in force; empty before the first."""
        return ChangeId("") if self.snapshot is None else self.snapshot.head.change_id

    @property
    def contract_by_account(self) -> dict[AccountId, Contract]:
        """Return the contracts in force."""
        return self._table.contract_by_account

    @property
    def service_by_name(self) -> dict[ServiceName, ServiceSpec]:
        """Return the services in force."""
        return self._table.service_by_name

    def compare(self, head: Head) -> OfferResult:
        """Compare a head with the one in force: NEWER, SAME, OLDER or FORKED."""
        if self.snapshot is None:
            return OfferResult.NEWER
        current = self.snapshot.head
        if head.revision > current.revision:
            # A store restored from an older copy counts on from there: once it has passed the
            # revision in force, only the change ids show that accepted changes are missing.
            same_history = head.change_id_at(current.revision) in (None, current.change_id)
            return OfferResult.NEWER if same_history else OfferResult.FORKED
        if current.change_id_at(head.revision) not in (None, head.change_id):
            return OfferResult.FORKED
        # Applying an older one would undo an accepted change on this instance alone.
        return OfferResult.SAME if head.revision == current.revision else OfferResult.OLDER

    def offer(self, snapshot: Snapshot) -> OfferResult:
        """Put a newer snapshot in force; reject an older, forked or invalid one."""
        result = self.compare(snapshot.head)
        if result is not OfferResult.NEWER:
            return result
        return self._apply(snapshot, _changed_sections(self.snapshot, snapshot))

    def offer_delta(self, delta: Delta) -> OfferResult:
        """Put in force the changes since the current revision."""
        if self.snapshot is None:
            return OfferResult.GAP
        current = self.snapshot.head
        if delta.revision <= current.revision:
            return OfferResult.SAME
        if delta.base_revision != current.revision:
            return OfferResult.GAP
        if delta.base_change_id != current.change_id:
            return OfferResult.FORKED
        snapshot = _apply_delta(self.snapshot, delta)
        if head_digest(snapshot.head.digest_by_part) != delta.digest:
            # The sender never had a part that was added and removed between two of its own
            # revisions, so its delta does not remove that part here; only the digest over all
            # parts shows it.
            return OfferResult.GAP
        return self._apply(snapshot, delta.sections_by_part)

    def delta_since(self, revision: int, change_id: str) -> Delta | NoDelta:
        """Return the changes since a requester's revision, or why there is no delta."""
        if self.snapshot is None or revision > self.revision:
            return NoDelta.UP_TO_DATE
        head = self.snapshot.head
        known_id = head.change_id_at(revision)
        if known_id is not None and revision > 0 and known_id != change_id:
            return NoDelta.FORKED
        if revision == head.revision:
            return NoDelta.UP_TO_DATE
        if known_id is None or revision < self._first_revision:
            return NoDelta.TOO_OLD
        changed = {part for part, changed_at in self._changed_at.items() if changed_at > revision}
        sections = {part: self.snapshot.sections_by_part.get(part) for part in sorted(changed)}
        if len(str(sections)) > MAX_DELTA_CHARACTERS:
            return NoDelta.TOO_OLD
        ids = head.recent[len(head.recent) - (head.revision - revision) :]
        digest = head_digest(head.digest_by_part)
        return Delta(Revision(revision), ChangeId(change_id), ids, digest, sections)

    def _apply(self, snapshot: Snapshot, changed: dict[str, Sections | None]) -> OfferResult:
        try:
            table = self._table.with_changes(changed)
        except UserError as error:
            self.error_text = str(error)
            return OfferResult.BAD
        self._record_changed(snapshot, changed)
        self._table = table
        self.account_by_digest = table.account_by_digest()
        self.service_by_model = table.service_by_model()
        self.snapshot = snapshot
        self.error_text = ""
        return OfferResult.APPLIED

    def _record_changed(self, snapshot: Snapshot, changed: dict[str, Sections | None]) -> None:
        revision = snapshot.head.revision
        if self.snapshot is None:
            self._first_revision = revision
            return
        self._changed_at |= dict.fromkeys(changed, revision)
        oldest = revision - MAX_RECENT_CHANGES
        self._changed_at = {
            part: changed_at for part, changed_at in self._changed_at.items() if changed_at > oldest
        }


def _changed_sections(old: Snapshot | None, new: Snapshot) -> dict[str, Sections | None]:
    before = {} if old is None else old.head.digest_by_part
    after = new.head.digest_by_part
    changed: dict[str, Sections | None] = dict.fromkeys(before.keys() - after.keys())
    for part, digest in after.items():
        if before.get(part) != digest:
            changed[part] = new.sections_by_part[part]
    return changed


def _apply_delta(base: Snapshot, delta: Delta) -> Snapshot:
    digests = dict(base.head.digest_by_part)
    sections_by_part = dict(base.sections_by_part)
    for part, sections in delta.sections_by_part.items():
        if sections is None:
            digests.pop(part, None)
            sections_by_part.pop(part, None)
        else:
            digests[part] = part_digest(sections)
            sections_by_part[part] = sections
    recent = (base.head.recent or (base.head.change_id,)) + delta.change_ids
    head = Head(delta.revision, delta.change_ids[-1], digests, recent[-MAX_RECENT_CHANGES:])
    return Snapshot(head, sections_by_part)
