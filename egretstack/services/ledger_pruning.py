"""The duty that drops old segments of the ledger; whoever holds the duty calls `prune`."""

import trio

from egretstack.events import Event, log
from egretstack.kernel import Service
from egretstack.ledger import LedgerPruner, Pruned
from egretstack.services.platform_access import PlatformAccess

PRUNE_PERIOD_S = 600.0
"""How often a holder should call `prune`: segments go by the hour, so sooner is of no use."""


class LedgerPruning(Service):
    """Offers one round of pruning. It runs nothing by itself."""

    name = "ledger_pruning"
    requires = ("platform_access",)

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Do nothing until the duty's holder calls."""
        task_status.started()
        await trio.sleep_forever()

    async def prune(self) -> Pruned:
        """Make one round; needs no lease for safety, only to spare calls."""
        pruner = LedgerPruner(self.kernel.get(PlatformAccess).object_api)
        pruned = await pruner.round(self.kernel.epoch.now())
        log(Event.LEDGER_PRUNED, segments=pruned.segments, failed_heads=pruned.failed_heads)
        return pruned
