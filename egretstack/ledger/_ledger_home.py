"""Choice of a shard's ledger home, and the requests by which other entries write through it.

A single writer for each shard combines the operations of all entries into the same commits and
causes no write conflicts. This is only an optimization: any entry may write any shard at any
time, since safety depends on the conditional update alone.
"""

import hashlib

from egretstack.ids import AttemptId, InstanceId
from egretstack.ledger._messages import ShardAsk, ShardTell
from egretstack.ledger._row import KEY_ID_LENGTH, KeyId, Row
from egretstack.ledger._shard import SHARD_COUNT
from egretstack.ledger._steps import Operation, OperationKind, Outcome

MAX_ROW_FIELD_LENGTH = 16_384


class InvalidShardRequest(Exception):
    """A peer's request is malformed, too late, or one that no entry of this version makes."""


def find_ledger_home(shard: int, entries: list[InstanceId]) -> InstanceId | None:
    """Return the shard's ledger home, chosen by rendezvous hashing.

    Entries with different lists may choose different ones.
    """
    return max(entries, key=lambda entry: _weight(shard, entry), default=None)


def make_shard_request(shard: int, operation: Operation, until_s: float) -> ShardAsk:
    """Build the request to the ledger home that carries out `operation`."""
    replaces = operation.replaces or ""
    kind, row = operation.kind.value, operation.row.spec()
    return ShardAsk(shard, kind, operation.key, row, replaces, until_s)


def parse_shard_request(request: ShardAsk, epoch_s: float, now_s: float) -> Operation:
    """Parse a request, bounded by the time it has left. Raises InvalidShardRequest.

    A ledger home that was paused may receive requests that are long out of date; their senders
    have written the rows themselves meanwhile.
    """
    if (
        not 0 <= request.shard < SHARD_COUNT
        or len(request.key) != KEY_ID_LENGTH
        or epoch_s > request.until_s
    ):
        raise InvalidShardRequest("no such shard or key, or too late")
    try:
        int(request.key, 16)
        kind = OperationKind(request.wanted)
        row = Row.from_spec(request.row)
    except (ValueError, TypeError) as error:
        raise InvalidShardRequest(repr(error)) from error
    if row.size > MAX_ROW_FIELD_LENGTH or kind is OperationKind.RETRACT:
        raise InvalidShardRequest("a row that is too large, or a retraction")
    give_up_at_s = now_s + request.until_s - epoch_s
    replaces = AttemptId(request.over) or None
    return Operation(kind, KeyId(request.key), row, give_up_at_s, replaces, for_peer=True)


def make_shard_answer(operation: Operation) -> ShardTell:
    """Build the ledger home's answer; its outcome is empty if there is none yet."""
    if operation.outcome is None:
        return ShardTell("", [])
    row = operation.found if operation.outcome is Outcome.FOUND else operation.row
    return ShardTell(operation.outcome.value, row.spec())


def apply_shard_answer(answer: ShardTell, operation: Operation) -> bool:
    """Apply a ledger home's answer to the operation.

    Returns False if the answer settles nothing; the caller then writes the row itself.
    """
    try:
        outcome = Outcome(answer.outcome)
        row = Row.from_spec(answer.row)
    except (ValueError, TypeError):
        return False
    if outcome is Outcome.FOUND:
        operation.found = row
    elif outcome is Outcome.WRITTEN and row.attempt == operation.row.attempt:
        operation.row = row
    elif outcome is not Outcome.LOST:
        return False
    operation.outcome = outcome
    return True


def _weight(shard: int, entry: InstanceId) -> bytes:
    return hashlib.sha256(f"{shard}/{entry}".encode()).digest()
