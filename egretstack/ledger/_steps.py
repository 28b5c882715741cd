"""What a shard's writer is asked, what it asks of the platform, and what it answers."""

from dataclasses import dataclass, field
from enum import Enum

from egretstack.ids import AttemptId
from egretstack.ledger._row import KeyId, Row


class OperationKind(Enum):
    """What an operation wants of the shard."""

    BEGIN = "begin"
    """Write an intent, unless the key has a row."""
    FINISH = "finish"
    """Write the outcome over one's own intent."""
    RETRACT = "retract"
    """Make sure that one's own intent, which may land yet, does not block the key."""


class Outcome(Enum):
    """How an operation ended."""

    WRITTEN = "written"
    FOUND = "found"
    """The key has another row, given with the outcome."""
    LOST = "lost"
    """One's own row is not there any more: another attempt took the key over."""
    REFUSED = "refused"
    """The store is away; the intent was never sent to it."""
    ABANDONED = "abandoned"
    """The intent may be in the store or land later; it is being retracted and never sent."""


@dataclass(eq=False)
class Operation:
    """One request to a shard's writer; `give_up_s` is a time of the runtime's clock.

    `over` names an attempt whose intent may be replaced. `doubt` is the head's version that the
    last unanswered write with this operation was conditional on. `fresh` tells that the head was
    read since it came, `cleared` names segments that were read and do not hold the key, and
    `retraction` is what an abandoned beginning left to do. `forwarded` tells that another process
    was asked to write the same intent and may do so late; `for_peer` that this process was asked.
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
    """Create a segment under a name that nobody used."""

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
