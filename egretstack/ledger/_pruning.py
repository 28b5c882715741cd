"""Deletion of ledger segments whose rows have all expired."""

from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass

import trio

from egretstack.ledger._shard import SHARD_COUNT, CorruptShard, Shard, head_name
from egretstack.objectapi import (
    Conflict,
    ObjectApi,
    ObjectKind,
    PlatformAway,
    PlatformOutcomeUnknown,
)

PRUNE_MARGIN_S = 300.0
"""How long after its expiry a segment is deleted; more than any difference between two clocks.

An entry whose clock is behind still reads the segment until then. If it were missing, that entry
would refuse every new call of the shard.
"""

MAX_UNLIST_ATTEMPTS = 8


@dataclass(frozen=True)
class PruneResult:
    """The result of one round: segments deleted, and heads that could not be pruned."""

    segments: int
    failed_heads: int


class LedgerPruner:
    """Prunes every head; `before_pair` is awaited before a read and the write that depends on it.

    Concurrent rounds do no harm, nor does one that resumes late: an expired segment stays
    expired, its name is never used again, and each update of a head is conditional on its
    version.
    """

    def __init__(
        self,
        api: ObjectApi,
        shards: int = SHARD_COUNT,
        before_pair: Callable[[], Awaitable[None]] = trio.lowlevel.checkpoint,
    ) -> None:
        self._api = api
        self._before_pair = before_pair
        self._shards = shards

    async def prune(self, epoch_s: float) -> PruneResult:
        """Delete the segments that have expired at `epoch_s`, in seconds since the epoch."""
        dropped = failed = 0
        for number in range(self._shards):
            try:
                dropped += await self._prune_head(head_name(number), epoch_s)
            except (PlatformAway, PlatformOutcomeUnknown, Conflict, CorruptShard):
                # Another writer was first or the store is unavailable: the next round retries.
                failed += 1
        return PruneResult(dropped, failed)

    async def _prune_head(self, name: str, epoch_s: float) -> int:
        shard = Shard.from_stored(await self._api.get(ObjectKind.LEDGER, name))
        expired = {one.name for one in shard.segments if one.until_s + PRUNE_MARGIN_S <= epoch_s}
        if not expired:
            return 0
        # Each segment is deleted before it is removed from the list, so that after a stop in
        # between the next round still finds it. In the other order it would stay in the store
        # forever.
        for segment in expired:
            await self._delete(segment)
        await self._unlist(name, expired)
        return len(expired)

    async def _delete(self, segment: str) -> None:
        stored = await self._api.get(ObjectKind.LEDGER, segment)
        if stored is None:
            return
        # A segment never changes, so a conflict means that another round has deleted it.
        with suppress(Conflict):
            await self._api.delete(ObjectKind.LEDGER, segment, stored.version)

    async def _unlist(self, name: str, dropped: set[str]) -> None:
        # Entries write the head many times a second, and the deletions since it was read took
        # seconds. An update conditional on that version would always conflict, and the list
        # would grow until the shard accepts no call. So the head is read again just before the
        # update.
        for _ in range(MAX_UNLIST_ATTEMPTS):
            await self._before_pair()
            stored = await self._api.get(ObjectKind.LEDGER, name)
            shard = Shard.from_stored(stored)
            remaining = tuple(one for one in shard.segments if one.name not in dropped)
            if remaining == shard.segments:
                return
            fresh = Shard(shard.row_by_key, remaining, shard.write_count + 1)
            with suppress(Conflict):
                await self._api.replace(ObjectKind.LEDGER, name, fresh.spec(), stored.version)
                return
        raise Conflict(name)
