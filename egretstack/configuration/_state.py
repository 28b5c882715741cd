"""The configuration in force on one instance; it only moves up."""

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
"""Largest text of a delta; an instance further behind takes the snapshot in pieces."""


class OfferResult(Enum):
    """What became of a head, snapshot or delta that was offered."""

    NEWER = "newer"
    """It may be put in force; nothing is done yet."""
    APPLIED = "applied"
    SAME = "same"
    OLDER = "older"
    FORKED = "forked"
    """It comes from another history of changes than what is in force."""
    BAD = "bad"
    """A part does not pass its checks."""
    GAP = "gap"
    """A delta that does not start from what is in force, or does not lead to what it says."""


class NoDelta(Enum):
    """Why there is no delta for an asker."""

    UP_TO_DATE = "level"
    TOO_OLD = "far"
    FORKED = "forked"


class ConfigurationState:
    """Contracts and services by name, as of one revision."""

    def __init__(self) -> None:
        self.snapshot: Snapshot | None = None
        self.fault = ""
        """Why the latest offer was BAD; empty after one was applied."""
        self.account_by_digest: dict[str, AccountId] = {}
        self.service_by_model: dict[ModelName, ServiceName] = {}
        self._table = PartTable()
        self._changed_at: dict[str, Revision] = {}
        self._floor = Revision(0)

    @property
    def revision(self) -> Revision:
        """Give the revision in force; 0 before the first."""
        return Revision(0) if self.snapshot is None else self.snapshot.head.revision

    @property
    def change_id(self) -> ChangeId:
        """Give the change that made the revision in force; empty before the first."""
        return ChangeId("") if self.snapshot is None else self.snapshot.head.change_id

    @property
    def contract_by_account(self) -> dict[AccountId, Contract]:
        """Give the contracts in force."""
        return self._table.contract_by_account

    @property
    def service_by_name(self) -> dict[ServiceName, ServiceSpec]:
        """Give the services in force."""
        return self._table.service_by_name

    def compare(self, head: Head) -> OfferResult:
        """Tell what would become of a head: NEWER, SAME, OLDER or FORKED."""
        if self.snapshot is None:
            return OfferResult.NEWER
        known = self.snapshot.head
        if head.revision > known.revision:
            # A store restored from an older copy counts up again from there: when it has passed
            # the revision in force, only the ids show that accepted changes are missing.
            same_history = head.change_id_at(known.revision) in (None, known.change_id)
            return OfferResult.NEWER if same_history else OfferResult.FORKED
        if known.change_id_at(head.revision) not in (None, head.change_id):
            return OfferResult.FORKED
        # Taking an older one would undo an accepted change on this instance alone.
        return OfferResult.SAME if head.revision == known.revision else OfferResult.OLDER

    def offer(self, snapshot: Snapshot) -> OfferResult:
        """Put a newer snapshot in force; refuse an older, foreign or faulty one."""
        judged = self.compare(snapshot.head)
        if judged is not OfferResult.NEWER:
            return judged
        return self._apply(snapshot, _difference(self.snapshot, snapshot))

    def offer_delta(self, delta: Delta) -> OfferResult:
        """Put in force what changed since the present revision."""
        if self.snapshot is None:
            return OfferResult.GAP
        known = self.snapshot.head
        if delta.revision <= known.revision:
            return OfferResult.SAME
        if delta.base_revision != known.revision:
            return OfferResult.GAP
        if delta.base_change_id != known.change_id:
            return OfferResult.FORKED
        snapshot = _advanced(self.snapshot, delta)
        if head_digest(snapshot.head.digest_by_part) != delta.digest:
            # The sender never saw a part that came and went between its own revisions, so its
            # delta leaves that part here; only the digest over the whole shows it.
            return OfferResult.GAP
        return self._apply(snapshot, delta.sections_by_part)

    def delta_since(self, revision: int, change_id: str) -> Delta | NoDelta:
        """Give what changed since an asker's revision, or why it cannot be given."""
        if self.snapshot is None or revision > self.revision:
            return NoDelta.UP_TO_DATE
        head = self.snapshot.head
        known_id = head.change_id_at(revision)
        if known_id is not None and revision > 0 and known_id != change_id:
            return NoDelta.FORKED
        if revision == head.revision:
            return NoDelta.UP_TO_DATE
        if known_id is None or revision < self._floor:
            return NoDelta.TOO_OLD
        changed = {part for part, at in self._changed_at.items() if at > revision}
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
            self.fault = str(error)
            return OfferResult.BAD
        self._note_changed(snapshot, changed)
        self._table = table
        self.account_by_digest = table.account_by_digest()
        self.service_by_model = table.service_by_model()
        self.snapshot = snapshot
        self.fault = ""
        return OfferResult.APPLIED

    def _note_changed(self, snapshot: Snapshot, changed: dict[str, Sections | None]) -> None:
        revision = snapshot.head.revision
        if self.snapshot is None:
            self._floor = revision
            return
        self._changed_at |= dict.fromkeys(changed, revision)
        oldest = revision - MAX_RECENT_CHANGES
        self._changed_at = {part: at for part, at in self._changed_at.items() if at > oldest}


def _difference(old: Snapshot | None, new: Snapshot) -> dict[str, Sections | None]:
    before = {} if old is None else old.head.digest_by_part
    after = new.head.digest_by_part
    changed: dict[str, Sections | None] = dict.fromkeys(before.keys() - after.keys())
    for part, digest in after.items():
        if before.get(part) != digest:
            changed[part] = new.sections_by_part[part]
    return changed


def _advanced(known: Snapshot, delta: Delta) -> Snapshot:
    digests = dict(known.head.digest_by_part)
    sections_by_part = dict(known.sections_by_part)
    for part, sections in delta.sections_by_part.items():
        if sections is None:
            digests.pop(part, None)
            sections_by_part.pop(part, None)
        else:
            digests[part] = part_digest(sections)
            sections_by_part[part] = sections
    recent = (known.head.recent or (known.head.change_id,)) + delta.change_ids
    head = Head(delta.revision, delta.change_ids[-1], digests, recent[-MAX_RECENT_CHANGES:])
    return Snapshot(head, sections_by_part)
