"""Drops segments of the ledger whose rows may all be forgotten."""

from dataclasses import dataclass

from egretstack.ledger._shard import SHARDS, BadShard, Segment, Shard, head_name
from egretstack.platform import (
    Conflict,
    ObjectApi,
    ObjectKind,
    PlatformAway,
    PlatformOutcomeUnknown,
    StoredObject,
)

PRUNE_MARGIN_S = 300.0
"""How long after a segment's time it is dropped; above any difference between two clocks.

An entry whose clock is behind still reads the segment until then; were it gone, that entry would
refuse every new call of the shard.
"""


@dataclass(frozen=True)
class Pruned:
    """What one round did: segments dropped, and heads that could not be done."""

    segments: int
    failed_heads: int


class LedgerPruner:
    """One round over every head. Two at once do no harm: each step is conditional."""

    def __init__(self, api: ObjectApi, shards: int = SHARDS) -> None:
        self._api = api
        self._shards = shards

    async def round(self, epoch_s: float) -> Pruned:
        """Drop what may be forgotten at `epoch_s`, in seconds since the epoch."""
        dropped = failed = 0
        for number in range(self._shards):
            try:
                dropped += await self._prune_head(head_name(number), epoch_s)
            except (PlatformAway, PlatformOutcomeUnknown, Conflict, BadShard):
                # Another writer came first or the store is away: the next round does it.
                failed += 1
        return Pruned(dropped, failed)

    async def _prune_head(self, name: str, epoch_s: float) -> int:
        stored = await self._api.get(ObjectKind.LEDGER, name)
        shard = Shard.from_stored(stored)
        old = [one for one in shard.segments if one.until_s + PRUNE_MARGIN_S <= epoch_s]
        if not old:
            return 0
        # Deleted before it is taken off the list: after a stop in between, the list still leads
        # the next round to it. The other way round it would stay in the store for ever.
        for segment in old:
            await self._delete(segment)
        await self._unlist(stored, shard, old)
        return len(old)

    async def _delete(self, segment: Segment) -> None:
        stored = await self._api.get(ObjectKind.LEDGER, segment.name)
        if stored is not None:
            await self._api.delete(ObjectKind.LEDGER, segment.name, stored.version)

    async def _unlist(self, stored: StoredObject, shard: Shard, old: list[Segment]) -> None:
        left = tuple(segment for segment in shard.segments if segment not in old)
        fresh = Shard(shard.row_by_key, left, shard.turn + 1)
        await self._api.replace(ObjectKind.LEDGER, stored.name, fresh.spec(), stored.version)
