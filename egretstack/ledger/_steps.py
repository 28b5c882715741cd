"""Operations on a shard and their outcomes, and the steps that its writer requests of the store."""

from dataclasses import dataclass, field
from enum import Enum

from egretstack.ids import AttemptId
from egretstack.ledger._row import KeyId, Row


class OperationKind(Enum):
    """What an operation does to the shard."""

    BEGIN = "begin"
    """Write an intent, unless the key has a row."""
    FINISH = "finish"
    """Replace the attempt's own intent by its outcome."""
    RETRACT = "retract"
    """Make sure that the attempt's own intent, which may still land, does not block the key."""


class Outcome(Enum):
    """How an operation ended."""

    WRITTEN = "written"
    FOUND = "found"
    """The key has another row, which is returned with the outcome."""
    LOST = "lost"
    """The attempt's own row has been replaced: another attempt took over the key."""
    REFUSED = "refused"
    """The store is unavailable; the intent was never written."""
    ABANDONED = "abandoned"
    """The intent may be in the store or land later; it is retracted, and its call is never sent."""


@dataclass(eq=False)
class Operation:
    """One request to a shard's writer; `give_up_at_s` is a time of the runtime's clock.

    `replaces` names an attempt whose intent may be replaced. `in_doubt` is set after a write with
    this operation got no answer, and `in_doubt_version` is the head's version on which the last
    such write was conditional. `has_fresh_head` says that the head was read since the operation
    was submitted. `segments_without_key` names segments that were read and do not hold the key.
    `retraction` is the operation that an abandoned BEGIN leaves to be done. `forwarded` says that
    another process was requested to write the same intent and may do so late, and `for_peer` that
    this process writes it for another.
    """

    kind: OperationKind
    key: KeyId
    row: Row
    give_up_at_s: float
    replaces: AttemptId | None = None
    forwarded: bool = False
    for_peer: bool = False
    in_doubt: bool = False
    in_doubt_version: str | None = None
    has_fresh_head: bool = False
    segments_without_key: set[str] = field(default_factory=set)
    retraction: "Operation | None" = None
    outcome: Outcome | None = None
    found: Row | None = None


@dataclass(frozen=True)
class ReadHead:
    """Read the head."""


@dataclass(frozen=True)
class ReadSegment:
    """Read a segment."""

    name: str


@dataclass(frozen=True)
class CreateSegment:
    """Create a segment under a name that was never used."""

    row_by_key: dict[KeyId, Row]
    until_s: float


@dataclass(frozen=True)
class DeleteSegment:
    """Delete a segment that no head lists and none ever will."""

    name: str


@dataclass(frozen=True)
class WriteHead:
    """Write the head, conditional on `version`; None creates it."""

    spec: dict[str, object] = field(hash=False)
    version: str | None = None


Step = ReadHead | ReadSegment | CreateSegment | DeleteSegment | WriteHead
